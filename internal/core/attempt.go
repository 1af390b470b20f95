package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// startPhase is how certain the shard is that the start command of an attempt has reached the
// machine. The order matters: up to phaseQueued nothing has been sent.
type startPhase int

const (
	phaseHeld         startPhase = iota // has capacity reserved and waits for the rest of its gang
	phaseQueued                         // start command not sent yet
	phaseSentInReply                    // sent in the response to a heartbeat
	phaseSentDirectly                   // sent in a call to the machine, outcome unknown
	phaseListed                         // the machine's task list has contained the attempt
)

// taskAttempt is one execution of a task, as the shard knows it: on a machine, on its way to one, or
// waiting in the shard for a machine with capacity.
type taskAttempt struct {
	task      string // name of the task: the job's ID and the task's index
	jobID     string
	taskIndex int
	number    uint64
	spec      *protocol.Job // nil while the mirror does not hold the job
	// recordVersion is the version of the job's record that the dispatch is based on, 0 if the
	// placement of the job's tasks does not depend on the record.
	recordVersion uint64
	unplacedSince time.Duration // when it was dispatched without a machine

	phase      startPhase
	callID     uint64 // the direct call that carried the start command, 0 if none did
	startToken uint64 // the fencing token that the start was sent with

	state        string // its state in the machine's last task list that contained it
	exitReason   string
	lastListed   uint64        // value of the machine's listsRead when it was last listed
	runningSince time.Duration // when this shard first saw it running, 0: not yet
	// foundRunning means that it was already running when this shard first saw it, so that its
	// start time is unknown.
	foundRunning bool
	endedAt      time.Duration // when this shard first saw that it has ended
	runSeconds   float64       // how long it ran, 0: unknown

	stopRequested bool // the leader has requested its stop
	stopNow       bool // stop it without time to save a checkpoint
	published     bool // its present state has been published to the leader
}

// live reports whether the attempt occupies capacity.
func (a *taskAttempt) live() bool { return a.state != protocol.TaskExited }
