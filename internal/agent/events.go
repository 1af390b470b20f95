package agent

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// AttemptKey identifies one attempt of a task.
type AttemptKey struct {
	Task    string
	Attempt uint64
}

// Event is an input of Agent.Handle.
type Event interface{ isEvent() }

// CommandsReceived is a request of a controller with commands. The agent replies to it with
// a StatusReply with the same ID.
type CommandsReceived struct {
	ID      int
	Request protocol.DirectCommands
}

// StatusRequested is a request for the machine's status. The agent replies to it with a
// StatusReply with the same ID.
type StatusRequested struct{ ID int }

// HeartbeatCompleted is the outcome of a SendHeartbeat. Status is the response's HTTP
// status, or 0 if there was no response. Response is set for status 200 and Redirect for
// status 421.
type HeartbeatCompleted struct {
	Status   int
	Response protocol.HeartbeatResponse
	Redirect protocol.Redirect
}

// JobDescribed is the outcome of a DescribeJob. Found is false if the artifact server has
// no description of the job. If the artifact server does not respond, the caller retries
// instead of passing this event.
type JobDescribed struct {
	AttemptKey
	Found        bool
	Description  protocol.JobDescription
	ResultStored bool // an earlier attempt of the task has stored its result
}

// ImageFetched reports that an attempt's image is on the machine.
type ImageFetched struct{ AttemptKey }

// AttemptExited reports that no process of an attempt is left on the machine. ExitCode may
// be 0 only once the task's result is durable.
type AttemptExited struct {
	AttemptKey
	ExitCode int // negative: the command was ended by a signal or could not be started
	Error    string
}

// PreemptionNotice reports that the cloud terminates the machine at the time At on the
// agent's clock.
type PreemptionNotice struct{ At time.Duration }

func (CommandsReceived) isEvent()   {}
func (StatusRequested) isEvent()    {}
func (HeartbeatCompleted) isEvent() {}
func (JobDescribed) isEvent()       {}
func (ImageFetched) isEvent()       {}
func (AttemptExited) isEvent()      {}
func (PreemptionNotice) isEvent()   {}
