// Package reachability decides whether a controller reaches the machines that it owns. A
// controller that reaches the leader but no machine must leave the shard map, because other
// controllers may reach the machines, and may rejoin it once machines respond again.
//
// The package owns the counts and times of contacts with machines. It knows machines by name only
// and has no clock, input or output: the caller reports what happened and when, and carries out
// what a Verdict requests.
//
// Invariants: silence of its machines makes a member leave only after some of them were probed and
// had time to respond; and if a controller leaves again before a machine has confirmed its fencing
// token, the minimum time for which it stays outside the map doubles, up to a limit.
package reachability

import "time"

const (
	// probesPerRound is how many machines are probed at once.
	probesPerRound = 3

	// silenceLeaseDivisor divides a worker's lease: a member that hears from no machine for a third
	// of a lease leaves the shard map. In the other two thirds the next owner can reach the machines
	// before their leases expire.
	silenceLeaseDivisor = 3

	// probeValidityHeartbeats is for how many heartbeat periods a reply to a probe stays valid.
	// That is longer than it takes until the replies to the next round of probes arrive.
	probeValidityHeartbeats = 4

	// maxAbsenceDoublings limits how often the minimum time outside the shard map is doubled.
	maxAbsenceDoublings = 6

	// minRegisteredMachines is how many registered machines a member must own before their silence
	// counts against the member: a single silent machine may have failed by itself.
	minRegisteredMachines = 2

	// minLostCalls is how many consecutive calls to machines must get no reply before the member
	// suspects that it can't reach machines that still reach it.
	minLostCalls = 2
)

// Fleet provides the information about machines that a Tracker needs.
type Fleet interface {
	// KnownCount returns how many machines the machine registry holds.
	KnownCount() int
	// KnownNames returns the names of the machines in the registry, sorted.
	KnownNames() []string
	// OwnedCount returns how many machines this controller owns.
	OwnedCount() int
	// RegisteredCount returns how many of the owned machines are in the registry. Heartbeats are
	// expected from all of these.
	RegisteredCount() int
	// HeardWithin reports whether any owned, registered machine was heard from within the given
	// span before now, and whether the one that was found has confirmed the controller's fencing
	// token.
	HeardWithin(span time.Duration) (heard, confirmed bool)
}

// View is the state of the controller at the time Now.
type View struct {
	Now         time.Duration // on a monotonic clock, like all times in this package
	IsMember    bool          // whether the controller is in the current shard map
	MemberSince time.Duration // when the current shard map came into force
	Fleet       Fleet
}

// Verdict is the result of a check. The caller carries it out in the order of the fields.
type Verdict struct {
	Probe    []string // names of machines to probe
	Left     bool     // the controller has just become unreachable and leaves the shard map
	Rejoined bool     // the controller has just become reachable again and may become a member
}

// Tracker tracks whether a controller reaches its machines. Lease and Heartbeat must be set; it
// then starts as a controller that is reachable and has had no contact with a machine yet. It is
// not safe for concurrent use.
type Tracker struct {
	// Lease is the duration of a worker's lease, and Heartbeat the period of its heartbeats.
	Lease, Heartbeat time.Duration

	unreachable       bool
	rejoinNotBefore   time.Duration
	consecutiveLeaves int // leaves since a machine last confirmed the fencing token

	nextProbeAt      time.Duration
	nextProbeIndex   int           // index of the next machine to probe, modulo the number of known machines
	lastProbeReplyAt time.Duration // 0: no reply since the controller became unreachable

	lastContactAt        time.Duration // last contact with any machine, whoever owns it
	silentSince          time.Duration // time since which Silent has been true; 0 while it is false
	consecutiveLostCalls int           // calls without a reply since the last one with a reply
	firstLostCallAt      time.Duration // when the first of these calls ended
}

// Unreachable reports whether the controller is considered to reach no machine.
func (t *Tracker) Unreachable() bool { return t.unreachable }

// Contact records that a machine was heard from, for example by its heartbeat.
func (t *Tracker) Contact(now time.Duration) { t.lastContactAt = now }

// CallEnded records the end of a call to a machine and whether the machine replied.
func (t *Tracker) CallEnded(now time.Duration, replied bool) {
	switch {
	case replied:
		t.lastContactAt, t.consecutiveLostCalls = now, 0
	case t.consecutiveLostCalls == 0:
		t.consecutiveLostCalls, t.firstLostCallAt = 1, now
	default:
		t.consecutiveLostCalls++
	}
}

// ProbeEnded records the end of a probe and whether the machine replied.
func (t *Tracker) ProbeEnded(now time.Duration, replied bool) {
	t.CallEnded(now, replied)
	if replied {
		t.lastProbeReplyAt = now
	}
}

// EnterEpoch begins a new epoch of the shard map. Silence and lost calls of an earlier epoch do
// not count in it.
func (t *Tracker) EnterEpoch() { t.consecutiveLostCalls, t.silentSince = 0, 0 }

// Check decides which machines to probe, and whether the controller leaves the shard map or may
// rejoin it.
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

// checkUnreachable probes machines until one replies. Without a reply the controller must not rejoin
// the shard map: during a partition it would be assigned machines and lose them again each time, and
// after the partition it would have to stay outside the map for longer.
func (t *Tracker) checkUnreachable(v View) Verdict {
	verdict := Verdict{Probe: t.probe(v)}
	recentReply := t.lastProbeReplyAt > 0 && v.Now-t.lastProbeReplyAt < probeValidityHeartbeats*t.Heartbeat
	if v.Now >= t.rejoinNotBefore && (v.Fleet.KnownCount() == 0 || recentReply) {
		t.unreachable = false
		verdict.Rejoined = true
	}
	return verdict
}

// checkNonMember checks a controller that is not a member and therefore hears from few machines
// or none. If its last contact was a third of a lease ago or earlier, one of the machines in the
// registry must reply to a probe before it may join. Without this probe, a controller that joined
// the map again after a partition took over a third of the machines each time, although it reached
// none of them, and kept them for the seconds until it detected that.
func (t *Tracker) checkNonMember(v View) Verdict {
	if v.Fleet.KnownCount() == 0 || v.Now-t.lastContactAt < t.Lease/silenceLeaseDivisor {
		return Verdict{}
	}
	t.unreachable, t.lastProbeReplyAt, t.rejoinNotBefore = true, 0, v.Now
	return Verdict{Probe: t.probe(v)}
}

// checkMember checks a member, which leaves the shard map if it reaches no machine.
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
	// In a one-way partition heartbeats arrive, but the machines receive neither the responses nor
	// calls. Their leases expire and their tasks end, while this controller keeps owning them.
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

// maxSilence returns how long a member may hear from no machine before it leaves the shard map:
// one and a quarter heartbeat periods plus 8/n of a period for n owned machines, but at most a
// third of a lease. If n machines send heartbeats at random times, all of them are silent for 8/n
// of a period in one case out of three thousand.
func (t *Tracker) maxSilence(v View) time.Duration {
	owned := time.Duration(max(v.Fleet.OwnedCount(), 1))
	return min(t.Lease/silenceLeaseDivisor, t.Heartbeat*5/4+8*t.Heartbeat/owned)
}

// Silent reports whether a member has heard from no machine for half of maxSilence. Machines are
// then probed, and a reply counts as contact just like a heartbeat. The member leaves only if the
// silence lasts for the other half as well.
//
// Without this delay, a process that was paused would leave by mistake when it resumes: it has
// heard from no machine only because what was sent to it meanwhile is still unread.
func (t *Tracker) Silent(v View) bool {
	return v.IsMember && v.Now-t.lastContactAt >= t.maxSilence(v)/2 && v.Fleet.RegisteredCount() >= minRegisteredMachines
}

// leave makes the controller leave the shard map for at least a lease, and for twice as long each
// further time until a machine confirms its fencing token. If the machines themselves have failed,
// controllers that left and rejoined in turn would otherwise change the owner so often that no
// owner ever detects it.
func (t *Tracker) leave(v View, verdict Verdict) Verdict {
	t.unreachable, t.lastProbeReplyAt = true, 0
	t.rejoinNotBefore = v.Now + t.Lease<<min(t.consecutiveLeaves, maxAbsenceDoublings)
	t.consecutiveLeaves++
	verdict.Left = true
	return verdict
}

// probe returns the names of a few machines to probe, different ones each time. It returns none
// while replies to the previous probes may still arrive.
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
