package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// startPhase is how certain the shard is that a start has reached its machine. The order
// counts: up to phaseQueued nothing has been sent.
type startPhase int

const (
	phaseHeld         startPhase = iota // holds capacity and waits for the rest of its gang
	phaseQueued                         // not sent yet
	phaseSentInReply                    // sent in the response to a heartbeat
	phaseSentDirectly                   // sent by a call to the machine, outcome unknown
	phaseListed                         // the machine has listed it
)

// taskAttempt is one attempt of a task that is on a machine, on its way to one, or waits
// in the shard for a machine with capacity.
type taskAttempt struct {
	task      string // its name: the job's id and the index
	jobID     string
	taskIndex int
	number    uint64
	spec      *protocol.Job // nil while the mirror does not hold the job
	// recordVersion is the version of the job's record that the dispatch rests on, 0 if
	// the placement of the job's tasks does not depend on the record.
	recordVersion uint64
	unplacedSince time.Duration // when it was dispatched without a machine

	phase      startPhase
	callID     uint64 // the call that carried the start, if one did
	startToken uint64 // the fencing token that the start was sent with

	state        string // as the machine listed it last
	exitReason   string
	lastListed   uint64        // the machine's listsRead when it was last listed
	runningSince time.Duration // when it was first seen running, 0: not yet
	// foundRunning says that it was running when this owner first saw it, so that it
	// is not known when it began.
	foundRunning bool
	endedAt      time.Duration // when it was first seen to have ended
	ranSeconds   float64       // how long it ran, 0: not known

	stopRequested bool // by the leader
	stopNow       bool // without time to save a checkpoint
	published     bool // the leader has been told of its present state
}

// live reports whether the attempt occupies capacity.
func (a *taskAttempt) live() bool { return a.state != protocol.TaskExited }
