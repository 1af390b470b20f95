package core

import "time"

// reachability is whether a member reaches its machines. One that hears the leader but
// no machine gives its place in the map up, since others may reach them, and comes
// back once machines answer it again.
type reachability struct {
	unreachable       bool
	rejoinNotBefore   time.Duration // not back before
	consecutiveLeaves int           // unfit in a row
	nextProbeAt       time.Duration
	machinesProbed    int           // how many machines were asked
	probeAnsweredAt   time.Duration // when one last answered
	lastHeardMachine  *machine      // one that was heard when last looked at
	lastContactAt     time.Duration // when any machine was last heard, whosever it is
	doubtfulSince     time.Duration // since when that is doubtfully long ago, 0: it is not
	callsLost         int           // calls to machines without an answer since one was answered
	firstLostAt       time.Duration // the first of them
}

// probesAtOnce is how many machines are asked at once whether they can be reached.
const probesAtOnce = 3

// checkReachability leaves the map, or joins it again.
func (p *shard) checkReachability() {
	c, f := p.core, &p.reachability
	if f.unreachable {
		p.probeMachines()
		// Joining blindly after a while cost the machines a change of owner and
		// back while the cut lasted, and a longer absence after it was over.
		reached := c.mirror.machineRecords.len() == 0 || f.probeAnsweredAt > 0 && c.now.Monotonic-f.probeAnsweredAt < 4*c.intervals.heartbeat
		if c.now.Monotonic >= f.rejoinNotBefore && reached {
			f.unreachable = false
			c.logInfo("machines can be reached, joining again")
		}
		return
	}
	// Outside the map it is told of few machines or none. What it has not heard for long it
	// asks first: controllers that came back from a cut took a third of the machines each
	// time, for the four seconds in which they found that they reach none.
	if !p.isMember {
		if c.mirror.machineRecords.len() > 0 && c.now.Monotonic-f.lastContactAt >= c.intervals.workerLease/3 {
			f.unreachable, f.probeAnsweredAt, f.rejoinNotBefore = true, 0, c.now.Monotonic
			p.probeMachines()
		}
		return
	}
	if !p.machinesSilent() {
		f.doubtfulSince = 0
	} else {
		if f.doubtfulSince == 0 {
			f.doubtfulSince = c.now.Monotonic
		}
		p.probeMachines()
		if c.now.Monotonic-f.doubtfulSince >= p.maxSilence()/2 {
			p.leaveShardMap()
			return
		}
	}
	// Machines may be heard, and hear nothing: then each report is answered in vain, and
	// their tasks ended with their leases while this node held on to them.
	if f.callsLost >= 2 {
		p.probeMachines()
		if c.now.Monotonic-f.firstLostAt >= p.maxSilence()+2*c.intervals.heartbeat && p.registeredCount() >= 2 {
			p.leaveShardMap()
			return
		}
	}
	if c.now.Monotonic-p.epochSince < c.intervals.workerLease/3 {
		return
	}
	if r := f.lastHeardMachine; r != nil && r.isTrusted() && p.machines.get(r.name) == r && c.now.Monotonic-r.lastHeardAt < c.intervals.workerLease/3 {
		f.consecutiveLeaves = 0
		return
	}
	for _, r := range p.machines.all() {
		// One that is not registered may be gone: nobody is told of those withdrawn.
		if r.registered && c.now.Monotonic-r.lastHeardAt < c.intervals.workerLease/3 {
			if r.isTrusted() {
				f.consecutiveLeaves = 0
			}
			f.lastHeardMachine = r
			return
		}
	}
	if p.registeredCount() >= 2 {
		p.leaveShardMap()
	}
}

// maxSilence is how long no machine may be heard, until this node leaves the map: a report
// period and a quarter, and the time in which one of n machines that report at random is
// heard but once in three thousand; a third of a lease at most.
func (p *shard) maxSilence() time.Duration {
	t := &p.core.intervals
	return min(t.workerLease/3, t.heartbeat*5/4+8*t.heartbeat/time.Duration(max(p.machines.len(), 1)))
}

// machinesSilent reports whether no machine has been heard for half of that. Then some are asked
// whether they can be reached, and their answer is as good as a report. Only after as long
// again is it believed.
//
// Guards against the word of a process that stood still: it has heard nobody, and all that
// was said to it is still to be read.
func (p *shard) machinesSilent() bool {
	return p.isMember && p.core.now.Monotonic-p.reachability.lastContactAt >= p.maxSilence()/2 && p.registeredCount() >= 2
}

// leaveShardMap gives the place in the map up.
func (p *shard) leaveShardMap() {
	c, f := p.core, &p.reachability
	// Each time in vain it stays away for twice as long: when it is the machines
	// that are dead, leaving and joining in turn kept every new owner from ever
	// finding that out.
	f.unreachable, f.probeAnsweredAt, f.rejoinNotBefore = true, 0, c.now.Monotonic+c.intervals.workerLease<<min(f.consecutiveLeaves, 6)
	f.consecutiveLeaves++
	c.logInfo("none of this node's machines can be heard, leaving the map", "machines", p.machines.len())
}

// registeredCount is how many machines are surely expected to report.
func (p *shard) registeredCount() (n int) {
	for _, r := range p.machines.all() {
		if r.registered {
			n++
		}
	}
	return n
}

// probeMachines asks a few machines, others each time, whether they can be reached.
func (p *shard) probeMachines() {
	c, f := p.core, &p.reachability
	names := c.mirror.machineRecords.sortedNames()
	if c.now.Monotonic < f.nextProbeAt || len(names) == 0 {
		return
	}
	f.nextProbeAt = c.now.Monotonic + 2*c.intervals.heartbeat
	for range min(probesAtOnce, len(names)) {
		name := names[f.machinesProbed%len(names)]
		f.machinesProbed += len(names)/probesAtOnce + 1
		c.emit(ProbeWorker{Machine: name, Addr: c.mirror.machineRecords.get(name).Addr})
	}
}

// recordCall takes note of whether a call to a machine was answered.
func (p *shard) recordCall(answered bool) {
	f, now := &p.reachability, p.core.now.Monotonic
	switch {
	case answered:
		f.lastContactAt, f.callsLost = now, 0
	case f.callsLost == 0:
		f.callsLost, f.firstLostAt = 1, now
	default:
		f.callsLost++
	}
}

func (p *shard) handleProbeResult(d ProbeResult) {
	p.recordCall(d.OK)
	if d.OK {
		p.reachability.probeAnsweredAt = p.core.now.Monotonic
	}
}
