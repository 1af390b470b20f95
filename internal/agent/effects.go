package agent

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Effect is an action that the agent's caller must carry out. Handle and Tick return
// effects in the order in which they must be carried out.
type Effect interface{ isEffect() }

// StatusReply replies to the CommandsReceived or StatusRequested with the same ID. Status
// is an HTTP status.
type StatusReply struct {
	ID        int
	Status    int
	Heartbeat protocol.Heartbeat
}

// SendHeartbeat sends a heartbeat to a controller, given by its index in
// Settings.Controllers. The caller must pass a HeartbeatCompleted to Handle afterwards,
// also if the heartbeat fails.
type SendHeartbeat struct {
	Controller int
	Heartbeat  protocol.Heartbeat
}

// DescribeJob reads the description of an attempt's job from the artifact server, and
// whether the task's result is stored. The caller passes the outcome to Handle as a
// JobDescribed.
type DescribeJob struct{ AttemptKey }

// FetchImage fetches an attempt's image, which takes Duration. The caller then passes an
// ImageFetched to Handle.
type FetchImage struct {
	AttemptKey
	Image    string
	Duration time.Duration
}

// LaunchAttempt starts an attempt's command. The caller passes an AttemptExited to Handle
// once the command has exited or could not be started.
type LaunchAttempt struct {
	AttemptKey
	Description protocol.JobDescription
}

// TerminateAttempt asks an attempt's command to save a checkpoint and exit.
type TerminateAttempt struct{ AttemptKey }

// KillAttempt kills an attempt's processes without a grace period. The caller passes an
// AttemptExited to Handle once none of them is left.
type KillAttempt struct{ AttemptKey }

// ExtendLease sets the time, on the agent's clock, at which the worker's lease expires.
type ExtendLease struct{ Until time.Duration }

func (StatusReply) isEffect()      {}
func (SendHeartbeat) isEffect()    {}
func (DescribeJob) isEffect()      {}
func (FetchImage) isEffect()       {}
func (LaunchAttempt) isEffect()    {}
func (TerminateAttempt) isEffect() {}
func (KillAttempt) isEffect()      {}
func (ExtendLease) isEffect()      {}
