// Package records holds what controllers keep in the state service: the values below the
// keys that package core names. Values that any version has written stay readable, so a
// field is added with omitempty and its absence means that the writer did not know it.
package records

import (
	"encoding/base64"
	"math/bits"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// What chalkhub itself keeps in the state service. These values are ours, so
// their names are plain.

// JobRecord is a job's durable state. State is JobQueued until the job is over.
type JobRecord struct {
	Spec   protocol.Job `msgpack:"spec"`
	State  string       `msgpack:"state"`
	At     float64      `msgpack:"at"`               // time of day of the submission, in seconds
	Zones  []string     `msgpack:"zones,omitempty"`  // chosen for a job tied to one zone or spread over two
	Bad    string       `msgpack:"why,omitempty"`    // why the job was stopped
	Pieces int          `msgpack:"pieces,omitempty"` // the whole record is in so many keys,
	Nonce  string       `msgpack:"nonce,omitempty"`  // all of this name; here are only its id and state
	Over   float64      `msgpack:"over,omitempty"`   // time of day when it was done, in seconds; 0: an older version wrote it
}

// PieceRecord is a piece of a record that is larger than a value: of its MessagePack,
// deflated, as base64.
type PieceRecord struct {
	Text string `msgpack:"text"`
}

// LotRecord holds jobs that were accepted together.
type LotRecord struct {
	Jobs []JobRecord `msgpack:"jobs"`
}

// ProgressRecord holds the completed tasks of one block of a job.
type ProgressRecord struct {
	Bits string `msgpack:"bits"`
}

// NodeRecord says that a controller is alive.
type NodeRecord struct {
	Boot  string `msgpack:"boot"`
	Level int    `msgpack:"level,omitempty"` // what it understands: Level of its version
}

// Level is what this version understands of what is stored. Older ones say nothing, 0.
const Level = 1 // jobs that need others

// LeaderRecord says who leads.
type LeaderRecord struct {
	Label string `msgpack:"label"`
	Boot  string `msgpack:"boot"`
}

// MapRecord says who divides the machines.
type MapRecord struct {
	Epoch   uint64            `msgpack:"epoch"`
	Leader  string            `msgpack:"leader"`
	Members map[string]string `msgpack:"members"` // label -> boot
}

// MachinesRecord is one key of the register of machines.
type MachinesRecord struct {
	Machines map[string]MachineRecord `msgpack:"machines"`
}

// MachineRecord says that a machine may have been given tasks.
type MachineRecord struct {
	Addr string `msgpack:"addr"`
	Type string `msgpack:"type"`
	Zone string `msgpack:"zone"`
	Spot bool   `msgpack:"spot"`
}

// EstimateRecord is the estimator's history.
type EstimateRecord struct {
	Means []MeanRecord `msgpack:"means"`
}

// MeanRecord is one running mean.
type MeanRecord struct {
	Team  string  `msgpack:"team"`
	Class string  `msgpack:"class"`
	CPUs  float64 `msgpack:"cpus"`
	GPUs  float64 `msgpack:"gpus"`
	Mean  float64 `msgpack:"mean"`
	N     float64 `msgpack:"n"`
	Last  float64 `msgpack:"last"` // time of day of the newest duration
}

// TaskSet is a set of task numbers.
type TaskSet []byte

// Has reports whether i is in the set.
func (s TaskSet) Has(i int) bool { return i>>3 < len(s) && s[i>>3]&(1<<(i&7)) != 0 }

// Add puts i into the set and reports whether it was new.
func (s *TaskSet) Add(i int) bool {
	for i>>3 >= len(*s) {
		*s = append(*s, 0)
	}
	if s.Has(i) {
		return false
	}
	(*s)[i>>3] |= 1 << (i & 7)
	return true
}

// Join adds another set, whose first byte is so many behind the first of this one, and
// returns how many were new.
func (s *TaskSet) Join(o TaskSet, at int) (added int) {
	for at+len(o) > len(*s) {
		*s = append(*s, 0)
	}
	for i, b := range o {
		added += bits.OnesCount8(b &^ (*s)[at+i])
		(*s)[at+i] |= b
	}
	return added
}

// Len counts the set.
func (s TaskSet) Len() int {
	n := 0
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}

// Text is the set as text.
func (s TaskSet) Text() string { return base64.RawStdEncoding.EncodeToString(s) }

// ParseTaskSet reads what Text wrote.
func ParseTaskSet(t string) (TaskSet, error) { return base64.RawStdEncoding.DecodeString(t) }
