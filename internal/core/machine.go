package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// startPhase is how sure the part is that a start has reached its machine.
type startPhase int

const (
	phaseHeld         startPhase = iota // has room, waits for the rest of its gang
	phaseQueued                         // not sent yet
	phaseSentInReply                    // sent in the response to a report
	phaseSentDirectly                   // sent by /do, outcome open
	phaseListed                         // the machine lists it
)

// taskAttempt is one attempt of a task on a machine, or on its way there.
type taskAttempt struct {
	task          string
	jobID         string
	taskIndex     int
	number        uint64
	recordVersion uint64 // of the job's record that its dispatch rests on, 0: it rests on none
	phase         startPhase
	callID        uint64 // of the /do that carried the start
	startToken    uint64 // that the start was sent with
	state         string
	exitReason    string
	runningSince  time.Duration // when it was seen running
	foundRunning  bool          // this owner found it running: when it began is not known
	ranSeconds    float64
	stopRequested bool // asked to stop
	stopNow       bool // without time to save
	spec          *protocol.Job
	lastListed    uint64        // of the list it was last seen in
	endedAt       time.Duration // when it was first seen to have ended
	published     bool          // the leader knows of it as it is
}

// live reports whether the attempt takes room.
func (p *taskAttempt) live() bool { return p.state != protocol.TaskExited }

// machine is a machine that this member owns.
type machine struct {
	name, addr, typeName, zone string
	spot                       bool
	machineType                *protocol.MachineType

	session, seq       uint64                        // newest message seen
	lastHeartbeat      struct{ session, seq uint64 } // newest of them that was a report
	token              uint64                        // ours for this machine
	minToken           uint64                        // the first that is: what it lists with this or a later one is believed
	trusted            bool                          // the newest message carried one of them
	keptFromLastEpoch  bool                          // it was trusted in the last epoch, and ours then too
	lastAnsweredAt     time.Duration
	maybeAnsweredUntil time.Duration // until when it may have been answered before this epoch was ours
	fenced             bool          // it has shown a token of this epoch
	lastHeardAt        time.Duration
	unansweredCalls    int  // calls in a row that it let pass
	silent             bool // not heard for half a lease, or mute after a change of the map
	leaseExpired       bool // silent for so long that its worker has dropped everything
	interruptionNotice bool
	draining           bool
	cordoned           bool   // gets no new tasks for now
	callInFlight       uint64 // the /do under way
	nextCallAt         time.Duration
	queuedForFencing   bool // to be asked
	expedited          bool // send commands without waiting for the next report
	registered         bool
	attempts           []*taskAttempt
	images             binpacking.ImageCache
	backoffUntil       map[string]time.Duration // jobs whose tasks failed here
	listsRead          uint64

	fullStateDue    bool                // the leader needs the whole picture of it
	imagesChanged   bool                // its images have changed
	droppedTasks    []string            // tasks that were dropped since the leader was told
	unpublished     bool                // its picture has changed since it was last told
	cachedCapacity  binpacking.Capacity // what room found, while counted is set
	capacityValid   bool
	capacityChanged bool // its room may have changed since tasks were last placed
}

// freeCapacity is what is free on a machine, starts under way counted. It is counted
// anew only once something has changed.
func (r *machine) freeCapacity() *binpacking.Capacity {
	if r.capacityValid {
		return &r.cachedCapacity
	}
	m := binpacking.Capacity{CPUs: r.machineType.CPUs, GPUs: r.machineType.GPUs, MemoryGB: r.machineType.MemoryGB, TypeName: r.typeName, Zone: r.zone, Spot: r.spot, CachedImages: r.images.Set()}
	for _, t := range r.attempts {
		if t.live() && t.spec != nil {
			m.Allocate(t.spec)
		}
	}
	r.cachedCapacity, r.capacityValid = m, true
	return &r.cachedCapacity
}

func (r *machine) acceptsTasks() bool {
	return r.trusted && r.registered && !r.leaseExpired && !r.interruptionNotice && !r.draining && !r.cordoned && r.machineType != nil
}
