// Package records defines the values that controllers store in the state service, under the keys
// that package core defines. Values written by any earlier version must stay readable: a new field
// is added with omitempty, and its absence means that the writer did not know the field.
package records

import "github.com/chalkhub/chalkhub/internal/protocol"

// Job is a job's durable state. State is JobQueued until the job is over.
type Job struct {
	Spec        protocol.Job `msgpack:"spec"`
	State       string       `msgpack:"state"`
	SubmittedAt float64      `msgpack:"at"`               // Unix time of the submission, in seconds
	Zones       []string     `msgpack:"zones,omitempty"`  // zones chosen for a job that must run in one zone or spread over two
	StopReason  string       `msgpack:"why,omitempty"`    // why the job was stopped
	Chunks      int          `msgpack:"pieces,omitempty"` // if not 0, the full record is stored in this many chunks
	ChunkNonce  string       `msgpack:"nonce,omitempty"`  // part of the chunks' keys; if there are chunks, this record itself provides only the job's id, State, SubmittedAt and Zones
	DoneAt      float64      `msgpack:"over,omitempty"`   // Unix time when the job was done, in seconds; 0: written by a version without this field
}

// IsAcceptance reports whether the record is unchanged since the job was accepted. Every later
// record either has another state, because the job is over, or names the job's zones.
func (j *Job) IsAcceptance() bool { return j.State == protocol.JobQueued && len(j.Zones) == 0 }

// Chunk is one part of a chunked record, which is a record too large for a single value. The
// record is encoded as MessagePack, deflated and base64-encoded before it is split.
type Chunk struct {
	Text string `msgpack:"text"`
}

// AdmissionBatch holds jobs that were accepted in one transaction.
type AdmissionBatch struct {
	Jobs []Job `msgpack:"jobs"`
}

// Progress holds the completed tasks of one block of a job's tasks.
type Progress struct {
	Bits string `msgpack:"bits"` // TaskSet.Text of the block
}

// Node states that a controller is running.
type Node struct {
	BootID string `msgpack:"boot"`
	Level  int    `msgpack:"level,omitempty"` // FormatLevel of the controller's version
}

// FormatLevel is the newest record format that this version understands. Level 1 adds dependent
// jobs. Older versions write no level, which is read as 0.
const FormatLevel = 1

// Leader names the controller that leads.
type Leader struct {
	Label  string `msgpack:"label"`
	BootID string `msgpack:"boot"`
}

// ShardMap lists the controllers that the machines are divided among.
type ShardMap struct {
	Epoch   uint64            `msgpack:"epoch"`
	Leader  string            `msgpack:"leader"`
	Members map[string]string `msgpack:"members"` // boot id by label
}

// RegistryPage is the value of one key of the machine registry, which holds many machines.
type RegistryPage struct {
	Machines map[string]Machine `msgpack:"machines"`
}

// Machine is a machine's entry in the registry. It states that the machine may have been given
// tasks.
type Machine struct {
	Addr string `msgpack:"addr"`
	Type string `msgpack:"type"`
	Zone string `msgpack:"zone"`
	Spot bool   `msgpack:"spot"`
}

// Estimates is the stored history of the duration estimator.
type Estimates struct {
	Means []Mean `msgpack:"means"`
}

// Mean is the running mean of the task durations of one team, class, and number of CPUs and GPUs.
type Mean struct {
	Team   string  `msgpack:"team"`
	Class  string  `msgpack:"class"`
	CPUs   float64 `msgpack:"cpus"`
	GPUs   float64 `msgpack:"gpus"`
	Mean   float64 `msgpack:"mean"` // seconds
	Count  float64 `msgpack:"n"`    // weight of the mean, in durations
	LastAt float64 `msgpack:"last"` // Unix time, in seconds, at which the newest duration was observed
}
