package stand

import (
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// MachineType is a machine type of the stand-in for the cloud.
type MachineType = protocol.MachineType

// Machine is a machine of the stand-in for the cloud.
type Machine struct {
	protocol.Instance
	rentedAt time.Time
	listedAt time.Time // from when the list has it
	goneAt   time.Time // from when the list lacks it, zero: never
}

// Cloud is a stand-in for the cloud. It has the machines that the case adds, and gives no others:
// each request for machines gets "no capacity".
type Cloud struct {
	Address string
	Types   []MachineType
	// Deleted is called for each machine that is deleted, before the response.
	Deleted func(name string)

	run      *Run
	mu       sync.Mutex
	machines map[string]*Machine
}

// Add adds a machine that is rented and up now. The list has it from listedAt on.
func (c *Cloud) Add(i protocol.Instance, listedAt time.Time) Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines == nil {
		c.machines = map[string]*Machine{}
	}
	i.State = protocol.MachineRunning
	m := &Machine{Instance: i, rentedAt: time.Now(), listedAt: listedAt}
	c.machines[i.Name] = m
	return *m
}

// Gone records that a machine was taken back; the list has it until goneAt.
func (c *Cloud) Gone(name string, goneAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[name].goneAt = goneAt
}

func (c *Cloud) start(r *Run) {
	c.run = r
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	c.Address = l.Addr().String()
	go func() { _ = fasthttp.Serve(l, c.handle) }() // ends with this process
}

func (c *Cloud) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET /machine_types":
		Reply(ctx, fasthttp.StatusOK, protocol.MachineTypes{Types: c.Types})
	case "GET /machines":
		Reply(ctx, fasthttp.StatusOK, c.list(string(ctx.QueryArgs().Peek("Since"))))
	case "POST /machines":
		Reply(ctx, fasthttp.StatusServiceUnavailable, protocol.ErrorResponse{Error: "no capacity"})
	case "POST /machines/delete":
		var names protocol.MachineNames
		if err := protocol.Decode(ctx.PostBody(), &names); err != nil {
			Reply(ctx, fasthttp.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()})
			return
		}
		c.delete(names.Machines)
		Reply(ctx, fasthttp.StatusOK, struct{}{})
	default:
		Reply(ctx, fasthttp.StatusNotFound, protocol.ErrorResponse{Error: "no such page"})
	}
}

func (c *Cloud) list(after string) protocol.InstanceList {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	list := protocol.InstanceList{Machines: []protocol.Instance{}}
	for _, m := range c.machines {
		if m.Name > after && !now.Before(m.listedAt) && (m.goneAt.IsZero() || now.Before(m.goneAt)) {
			i := m.Instance
			i.AgeS = now.Sub(m.rentedAt).Seconds()
			list.Machines = append(list.Machines, i)
		}
	}
	slices.SortFunc(list.Machines, func(a, b protocol.Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (c *Cloud) delete(names []string) {
	for _, name := range names {
		c.run.Log("cloud: machine %s is deleted by request", name)
		if c.Deleted != nil {
			c.Deleted(name)
		}
		c.mu.Lock()
		delete(c.machines, name)
		c.mu.Unlock()
	}
}

// Reply responds to a request with a status and a body.
func Reply(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(protocol.ContentType)
	ctx.SetBody(protocol.Encode(body))
}
