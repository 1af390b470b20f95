// Package records holds what controllers keep in the state service: the values below the
// keys that package core names. Values that any version has written stay readable, so a
// field is added with omitempty and its absence means that the writer did not know it.
package records

import "github.com/chalkhub/chalkhub/internal/protocol"

// Job is a job's durable state. State is JobQueued until the job is over.
type Job struct {
	Spec        protocol.Job `msgpack:"spec"`
	State       string       `msgpack:"state"`
	SubmittedAt float64      `msgpack:"at"`               // time of day of the submission, in seconds
	Zones       []string     `msgpack:"zones,omitempty"`  // chosen for a job tied to one zone or spread over two
	StopReason  string       `msgpack:"why,omitempty"`    // why the job was stopped
	Chunks      int          `msgpack:"pieces,omitempty"` // the whole record is in so many keys
	ChunkNonce  string       `msgpack:"nonce,omitempty"`  // of this name; this one has only its id and state
	DoneAt      float64      `msgpack:"over,omitempty"`   // time of day when it was done, in seconds; 0: an older version wrote it
}

// IsAcceptance reports whether the record is as it was when the job was accepted. Every later one
// says that the job is over, or names its zones.
func (j *Job) IsAcceptance() bool { return j.State == protocol.JobQueued && len(j.Zones) == 0 }

// Chunk is a part of a record that is larger than a value: of its MessagePack, deflated, as
// base64.
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
	Level  int    `msgpack:"level,omitempty"` // FormatLevel of its version
}

// FormatLevel is the newest form of records that this version understands: 1 has dependent jobs.
// Versions before it say nothing, 0.
const FormatLevel = 1

// Leader says who leads.
type Leader struct {
	Label  string `msgpack:"label"`
	BootID string `msgpack:"boot"`
}

// ShardMap says which controllers divide the machines among themselves.
type ShardMap struct {
	Epoch   uint64            `msgpack:"epoch"`
	Leader  string            `msgpack:"leader"`
	Members map[string]string `msgpack:"members"` // boot id by label
}

// RegistryPage is one key of the machine registry.
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
