// Package reachability decides whether a controller reaches the machines that it owns. One
// that hears the leader but no machine must give its place in the shard map up, since others
// may reach them, and take it again once machines answer.
//
// It owns the counts and times of what was heard of machines. It knows machines by name only,
// and has no clock, input or output: the caller says what happened and when, and carries out
// what a Verdict asks for.
//
// Its invariants: silence is believed only after some machines were asked whether they can be
// reached, and had time to answer; and who has left the map in vain stays away for longer each
// time.
package reachability

import "time"

const (
	// probesPerRound is how many machines are asked at once whether they can be reached.
	probesPerRound = 3

	// silenceLeaseDivisor is the share of a worker's lease that a controller may hear no machine: the
	// rest is for the next owner to reach the machines before their leases run out.
	silenceLeaseDivisor = 3

	// probeValidityHeartbeats is for how many heartbeat periods the answer to a probe counts, which is
	// longer than until the next ones are answered.
	probeValidityHeartbeats = 4

	// maxAbsenceDoublings is how often the time to stay outside the map doubles.
	maxAbsenceDoublings = 6

	// minRegisteredMachines is how many machines a member must own for their silence to say
	// something of the member: a single one may be dead.
	minRegisteredMachines = 2

	// minLostCalls is how many calls in a row must be lost for the direction to the machines
	// to be in doubt.
	minLostCalls = 2
)

// Fleet is what a Tracker may ask about machines.
type Fleet interface {
	// KnownCount is how many machines the registry holds.
	KnownCount() int
	// KnownNames are their names in order.
	KnownNames() []string
	// OwnedCount is how many machines this controller owns.
	OwnedCount() int
	// RegisteredCount is how many of these the registry holds: they surely are expected to
	// send heartbeats.
	RegisteredCount() int
	// HeardWithin reports whether any of those was heard within a span, and whether one that
	// was found to be has confirmed the controller's fencing token.
	HeardWithin(span time.Duration) (heard, confirmed bool)
}

// View is the state of the controller at one moment.
type View struct {
	Now         time.Duration // on a steady clock, as all times here
	IsMember    bool          // of the shard map in force
	MemberSince time.Duration // since when that map is in force
	Fleet       Fleet
}

// Verdict is what a check asks for, in this order.
type Verdict struct {
	Probe    []string // machines to ask whether they can be reached
	Left     bool     // the controller has just become unreachable, and leaves the map
	Rejoined bool     // it has just become reachable again, and may be a member
}

// Tracker follows whether a controller reaches its machines. The zero value with its spans set
// has heard nothing yet.
type Tracker struct {
	// Lease is the lease of a worker and Heartbeat how often a worker sends a heartbeat.
	Lease, Heartbeat time.Duration

	unreachable       bool
	rejoinNotBefore   time.Duration
	consecutiveLeaves int // without reaching a machine in between

	nextProbeAt      time.Duration
	nextProbeIndex   int           // the index of the next to be asked, modulo their number
	lastProbeReplyAt time.Duration // 0: no answer since the controller became unreachable

	lastContactAt        time.Duration // when any machine was last heard, whoever owns it
	silentSince          time.Duration // since when that is doubtfully long ago, 0: it is not
	consecutiveLostCalls int           // since a call to a machine was last answered
	firstLostCallAt      time.Duration // the first of them
}

// Unreachable reports whether the controller reaches no machine.
func (t *Tracker) Unreachable() bool { return t.unreachable }

// Contact notes that a machine was heard.
func (t *Tracker) Contact(now time.Duration) { t.lastContactAt = now }

// CallEnded notes whether a call to a machine was answered.
func (t *Tracker) CallEnded(now time.Duration, answered bool) {
	switch {
	case answered:
		t.lastContactAt, t.consecutiveLostCalls = now, 0
	case t.consecutiveLostCalls == 0:
		t.consecutiveLostCalls, t.firstLostCallAt = 1, now
	default:
		t.consecutiveLostCalls++
	}
}

// ProbeEnded notes whether a machine that was asked whether it can be reached has answered.
func (t *Tracker) ProbeEnded(now time.Duration, answered bool) {
	t.CallEnded(now, answered)
	if answered {
		t.lastProbeReplyAt = now
	}
}

// EnterEpoch begins a new shard map: what was lost under an earlier one says nothing of it.
func (t *Tracker) EnterEpoch() { t.consecutiveLostCalls, t.silentSince = 0, 0 }

// Check decides whether the controller leaves the shard map, or may join it again.
func (t *Tracker) Check(v View) Verdict {
	switch {
	case t.unreachable:
		return t.checkUnreachable(v)
	case !v.IsMember:
		return t.checkNonMember(v)
	default:
		return t.checkMember(v)
	}
}

// checkUnreachable asks machines until they answer. Joining blindly after a while would cost
// the machines a change of owner and back while the cut lasts, and a longer absence after it.
func (t *Tracker) checkUnreachable(v View) Verdict {
	verdict := Verdict{Probe: t.probe(v)}
	answered := t.lastProbeReplyAt > 0 && v.Now-t.lastProbeReplyAt < probeValidityHeartbeats*t.Heartbeat
	if v.Now >= t.rejoinNotBefore && (v.Fleet.KnownCount() == 0 || answered) {
		t.unreachable = false
		verdict.Rejoined = true
	}
	return verdict
}

// checkNonMember checks a controller that is not a member, and is told of few machines or none.
// What it has not heard for long it asks first: controllers that came back from a cut took a
// third of the machines each time, for the seconds in which they found that they reach none.
func (t *Tracker) checkNonMember(v View) Verdict {
	if v.Fleet.KnownCount() == 0 || v.Now-t.lastContactAt < t.Lease/silenceLeaseDivisor {
		return Verdict{}
	}
	t.unreachable, t.lastProbeReplyAt, t.rejoinNotBefore = true, 0, v.Now
	return Verdict{Probe: t.probe(v)}
}

// checkMember checks a member, which leaves the map if it reaches no machine.
func (t *Tracker) checkMember(v View) (verdict Verdict) {
	if t.Silent(v) {
		if t.silentSince == 0 {
			t.silentSince = v.Now
		}
		verdict.Probe = t.probe(v)
		if v.Now-t.silentSince >= t.maxSilence(v)/2 {
			return t.leave(v, verdict)
		}
	} else {
		t.silentSince = 0
	}
	// Machines may be heard, and hear nothing: then each heartbeat is answered in vain, and
	// their tasks end with their leases while this controller holds on to them.
	if t.consecutiveLostCalls >= minLostCalls {
		verdict.Probe = append(verdict.Probe, t.probe(v)...)
		if v.Now-t.firstLostCallAt >= t.maxSilence(v)+2*t.Heartbeat && v.Fleet.RegisteredCount() >= minRegisteredMachines {
			return t.leave(v, verdict)
		}
	}
	if v.Now-v.MemberSince < t.Lease/silenceLeaseDivisor {
		return verdict
	}
	heard, confirmed := v.Fleet.HeardWithin(t.Lease / silenceLeaseDivisor)
	if confirmed {
		t.consecutiveLeaves = 0
	}
	if !heard && v.Fleet.RegisteredCount() >= minRegisteredMachines {
		return t.leave(v, verdict)
	}
	return verdict
}

// maxSilence is how long no machine may be heard until the controller leaves the map: a
// heartbeat period and a quarter, and the time in which one of n machines that send heartbeats
// at random is heard but once in three thousand; a third of a lease at most.
func (t *Tracker) maxSilence(v View) time.Duration {
	owned := time.Duration(max(v.Fleet.OwnedCount(), 1))
	return min(t.Lease/silenceLeaseDivisor, t.Heartbeat*5/4+8*t.Heartbeat/owned)
}

// Silent reports whether a member has heard no machine for half of the time that it may. Then
// some are asked whether they can be reached, and their answer is as good as a heartbeat. Only
// after as long again is it believed.
//
// Guards against the word of a process that stood still: it has heard nobody, and all that was
// sent to it is still to be read.
func (t *Tracker) Silent(v View) bool {
	return v.IsMember && v.Now-t.lastContactAt >= t.maxSilence(v)/2 && v.Fleet.RegisteredCount() >= minRegisteredMachines
}

// leave gives the place in the map up. Each time in vain it is for twice as long: when it is
// the machines that are dead, leaving and joining in turn kept every new owner from ever
// finding that out.
func (t *Tracker) leave(v View, verdict Verdict) Verdict {
	t.unreachable, t.lastProbeReplyAt = true, 0
	t.rejoinNotBefore = v.Now + t.Lease<<min(t.consecutiveLeaves, maxAbsenceDoublings)
	t.consecutiveLeaves++
	verdict.Left = true
	return verdict
}

// probe names a few machines, others each time, to be asked whether they can be reached. It
// names none while the last ones have time to answer.
func (t *Tracker) probe(v View) []string {
	if v.Now < t.nextProbeAt {
		return nil
	}
	names := v.Fleet.KnownNames()
	if len(names) == 0 {
		return nil
	}
	t.nextProbeAt = v.Now + 2*t.Heartbeat
	probes := make([]string, 0, probesPerRound)
	for range min(probesPerRound, len(names)) {
		probes = append(probes, names[t.nextProbeIndex%len(names)])
		t.nextProbeIndex += len(names)/probesPerRound + 1
	}
	return probes
}
