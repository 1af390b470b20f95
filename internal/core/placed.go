package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// phase is how sure the part is that a start has reached its machine.
type phase int

const (
	phaseHeld     phase = iota // has room, waits for the rest of its gang
	phaseQueued                // not sent yet
	phaseAnswered              // sent in the response to a report
	phaseDirect                // sent by /do, outcome open
	phaseListed                // the machine lists it
)

// placed is one attempt of a task on a machine, or on its way there.
type placed struct {
	task    string
	ref     string
	index   int
	attempt uint64
	version uint64 // of the job's record that its dispatch rests on, 0: it rests on none
	phase   phase
	doID    uint64 // of the /do that carried the start
	token   uint64 // that the start was sent with
	state   string
	why     string
	since   time.Duration // when it was seen running
	met     bool          // this owner found it running: when it began is not known
	ranS    float64
	stop    bool // asked to stop
	now     bool // without time to save
	spec    *wire.Job
	stamp   uint64        // of the list it was last seen in
	ended   time.Duration // when it was first seen to have ended
	told    bool          // the leader knows of it as it is
}

// live reports whether the attempt takes room.
func (p *placed) live() bool { return p.state != wire.TaskExited }

// rig is a machine that this member owns.
type rig struct {
	name, addr, typ, zone string
	spot                  bool
	mt                    *wire.MachineType

	session, seq   uint64                        // newest message seen
	reported       struct{ session, seq uint64 } // newest of them that was a report
	token          uint64                        // ours for this machine
	base           uint64                        // the first that is: what it lists with this or a later one is believed
	trusted        bool                          // the newest message carried one of them
	kept           bool                          // it was trusted in the last epoch, and ours then too
	answered       time.Duration
	answeredBefore time.Duration // until when it may have been answered before this epoch was ours
	fenced         bool          // it has shown a token of this epoch
	heard          time.Duration
	unanswered     int  // calls in a row that it let pass
	silent         bool // not heard for half a lease, or mute after a change of the map
	lapsed         bool // silent for so long that its worker has dropped everything
	notice         bool
	draining       bool
	closing        bool   // gets no new tasks for now
	asking         uint64 // the /do under way
	askAgain       time.Duration
	waits          bool // to be asked
	urgent         bool // send commands without waiting for the next report
	registered     bool
	tasks          []*placed
	images         images
	avoid          map[string]time.Duration // jobs whose tasks failed here
	stamp          uint64

	whole   bool     // the leader needs the whole picture of it
	repaint bool     // its images have changed
	left    []string // tasks that were dropped since the leader was told
	dirty   bool     // its picture has changed since it was last told
	free    room     // what room found, while counted is set
	counted bool
	touched bool // its room may have changed since tasks were last placed
}

// room is what is free on a machine, starts under way counted. It is counted
// anew only once something has changed.
func (r *rig) room() *room {
	if r.counted {
		return &r.free
	}
	m := room{cpus: r.mt.CPUs, gpus: r.mt.GPUs, mem: r.mt.MemoryGB, typ: r.typ, zone: r.zone, spot: r.spot, images: r.images.has}
	for _, t := range r.tasks {
		if t.live() && t.spec != nil {
			m.take(t.spec)
		}
	}
	r.free, r.counted = m, true
	return &r.free
}

func (r *rig) open() bool {
	return r.trusted && r.registered && !r.lapsed && !r.notice && !r.draining && !r.closing && r.mt != nil
}
