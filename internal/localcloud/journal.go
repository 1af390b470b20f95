package localcloud

import (
	"bufio"
	"os"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// journalRecord is a line of the cloud's journal. It records the machines that a request created, the
// process ID of one machine's agent, or the machines that were deleted.
type journalRecord struct {
	Request    string   `json:"request,omitempty"`
	Machines   []string `json:"names,omitempty"`
	Type       string   `json:"type,omitempty"`
	Zone       string   `json:"zone,omitempty"`
	Spot       bool     `json:"spot,omitempty"`
	Deleted    []string `json:"gone,omitempty"`
	PID        int      `json:"pid,omitempty"`
	LastNumber int      `json:"next"` // highest number used in a machine's name, so that no name is used twice
}

// appendRecord appends a record to the journal and makes it durable before it returns.
func (c *Cloud) appendRecord(r journalRecord) error {
	r.LastNumber = c.lastNumber
	b, err := json.Marshal(&r)
	if err != nil {
		return err
	}
	if _, err = c.journal.Write(append(b, '\n')); err != nil {
		return err
	}
	return c.journal.Sync()
}

// replay restores the machines from the journal of earlier processes. If the file can't be opened,
// the cloud starts without machines.
func (c *Cloud) replay(path string) {
	f, err := os.Open(path)
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }() // the file was only read
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var r journalRecord
		if json.Unmarshal(lines.Bytes(), &r) != nil {
			return // a truncated last line, for which no response was sent
		}
		c.replayRecord(&r)
	}
}

func (c *Cloud) replayRecord(r *journalRecord) {
	c.lastNumber = max(c.lastNumber, r.LastNumber)
	if r.PID != 0 {
		if m := c.machines[r.Machines[0]]; m != nil {
			m.pid = r.PID
		}
		return
	}
	if r.Request != "" {
		c.namesByRequest[r.Request] = r.Machines
	}
	for _, name := range r.Machines {
		c.machines[name] = &instance{
			Instance: protocol.Instance{
				Name: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
				Addr: unreachableAddr, State: protocol.MachineFailed,
			},
			exited: make(chan struct{}),
			cancel: func() {}, // its agent exits when the earlier process of the cloud does
		}
	}
	for _, name := range r.Deleted {
		delete(c.machines, name)
	}
}
