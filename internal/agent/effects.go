package agent

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Effect is something that an agent wants done; Handle and Tick return them in the order
// in which they are to be carried out.
type Effect interface{ isEffect() }

// StatusReply answers CommandsReceived or StatusRequested. Status is an HTTP status.
type StatusReply struct {
	ID        int
	Status    int
	Heartbeat protocol.Heartbeat
}

// SendHeartbeat sends a heartbeat to a controller, given by its index in
// Settings.Controllers. HeartbeatAnswered follows.
type SendHeartbeat struct {
	Controller int
	Heartbeat  protocol.Heartbeat
}

// DescribeJob reads the job of an attempt and whether the task's result is stored.
// JobDescribed follows.
type DescribeJob struct{ AttemptKey }

// FetchImage gets an attempt's image, which takes Duration. ImageFetched follows.
type FetchImage struct {
	AttemptKey
	Image    string
	Duration time.Duration
}

// LaunchAttempt starts an attempt's command. AttemptExited follows.
type LaunchAttempt struct {
	AttemptKey
	Description protocol.JobDescription
}

// TerminateAttempt asks an attempt to save a checkpoint and exit.
type TerminateAttempt struct{ AttemptKey }

// KillAttempt ends an attempt at once. AttemptExited follows.
type KillAttempt struct{ AttemptKey }

// ExtendLease gives the time at which the worker's lease expires from now on.
type ExtendLease struct{ Until time.Duration }

func (StatusReply) isEffect()      {}
func (SendHeartbeat) isEffect()    {}
func (DescribeJob) isEffect()      {}
func (FetchImage) isEffect()       {}
func (LaunchAttempt) isEffect()    {}
func (TerminateAttempt) isEffect() {}
func (KillAttempt) isEffect()      {}
func (ExtendLease) isEffect()      {}
