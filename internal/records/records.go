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

// Job is a job's durable state. State is JobQueued until the job is over.
type Job struct {
	Spec        protocol.Job `msgpack:"spec"`
	State       string       `msgpack:"state"`
	SubmittedAt float64      `msgpack:"at"`               // time of day of the submission, in seconds
	Zones       []string     `msgpack:"zones,omitempty"`  // chosen for a job tied to one zone or spread over two
	StopReason  string       `msgpack:"why,omitempty"`    // why the job was stopped
	Chunks      int          `msgpack:"pieces,omitempty"` // the whole record is in so many keys,
	ChunkNonce  string       `msgpack:"nonce,omitempty"`  // all of this name; here are only its id and state
	DoneAt      float64      `msgpack:"over,omitempty"`   // time of day when it was done, in seconds; 0: an older version wrote it
}

// Chunk is a piece of a record that is larger than a value: of its MessagePack,
// deflated, as base64.
type Chunk struct {
	Text string `msgpack:"text"`
}

// AdmissionBatch holds jobs that were accepted together.
type AdmissionBatch struct {
	Jobs []Job `msgpack:"jobs"`
}

// Progress holds the completed tasks of one block of a job.
type Progress struct {
	Bits string `msgpack:"bits"`
}

// Node says that a controller is alive.
type Node struct {
	BootID string `msgpack:"boot"`
	Level  int    `msgpack:"level,omitempty"` // what it understands: Level of its version
}

// FormatLevel is what this version understands of what is stored. Older ones say nothing, 0.
const FormatLevel = 1 // jobs that need others

// Leader says who leads.
type Leader struct {
	Label  string `msgpack:"label"`
	BootID string `msgpack:"boot"`
}

// ShardMap says who divides the machines.
type ShardMap struct {
	Epoch   uint64            `msgpack:"epoch"`
	Leader  string            `msgpack:"leader"`
	Members map[string]string `msgpack:"members"` // label -> boot
}

// RegistryPage is one key of the register of machines.
type RegistryPage struct {
	Machines map[string]Machine `msgpack:"machines"`
}

// Machine says that a machine may have been given tasks.
type Machine struct {
	Addr string `msgpack:"addr"`
	Type string `msgpack:"type"`
	Zone string `msgpack:"zone"`
	Spot bool   `msgpack:"spot"`
}

// Estimates is the estimator's history.
type Estimates struct {
	Means []Mean `msgpack:"means"`
}

// Mean is one running mean.
type Mean struct {
	Team   string  `msgpack:"team"`
	Class  string  `msgpack:"class"`
	CPUs   float64 `msgpack:"cpus"`
	GPUs   float64 `msgpack:"gpus"`
	Mean   float64 `msgpack:"mean"`
	Count  float64 `msgpack:"n"`
	LastAt float64 `msgpack:"last"` // time of day of the newest duration
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

// Merge adds another set, whose first byte is so many behind the first of this one, and
// returns how many were new.
func (s *TaskSet) Merge(o TaskSet, at int) (added int) {
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
