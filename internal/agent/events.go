package agent

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// AttemptKey names one attempt to run a task.
type AttemptKey struct {
	Task    string
	Attempt uint64
}

// Event is something that happened to an agent; Handle takes it.
type Event interface{ isEvent() }

// CommandsReceived is a direct command of a controller. A StatusReply with the same ID
// answers it.
type CommandsReceived struct {
	ID      int
	Request protocol.DirectCommands
}

// StatusRequested asks for the machine's heartbeat. A StatusReply with the same ID
// answers it.
type StatusRequested struct{ ID int }

// HeartbeatCompleted is how a heartbeat ended; Status is 0 if no response came.
type HeartbeatCompleted struct {
	Status   int
	Response protocol.HeartbeatResponse
	Redirect protocol.Redirect
}

// JobDescribed answers DescribeJob. Found is false if nobody uploaded the job. While the
// artifact server does not respond, whoever runs the agent asks it again.
type JobDescribed struct {
	AttemptKey
	Found        bool
	Description  protocol.JobDescription
	ResultStored bool // by an earlier attempt of the task
}

// ImageFetched says that an attempt's image is on the machine.
type ImageFetched struct{ AttemptKey }

// AttemptExited says that no process of an attempt is left on the machine. It may give
// exit code 0 only once the task's result is durable.
type AttemptExited struct {
	AttemptKey
	ExitCode int // negative: a signal ended it, or it didn't start
	Error    string
}

// PreemptionNotice says that the cloud takes the machine back at a moment of the agent's clock.
type PreemptionNotice struct{ At time.Duration }

func (CommandsReceived) isEvent()   {}
func (StatusRequested) isEvent()    {}
func (HeartbeatCompleted) isEvent() {}
func (JobDescribed) isEvent()       {}
func (ImageFetched) isEvent()       {}
func (AttemptExited) isEvent()      {}
func (PreemptionNotice) isEvent()   {}
