package core

import "time"

// fitness is whether a member reaches its machines. One that hears the leader but
// no machine gives its place in the map up, since others may reach them, and comes
// back once machines answer it again.
type fitness struct {
	unfit   bool
	till    time.Duration // not back before
	times   int           // unfit in a row
	probeAt time.Duration
	probed  int           // how many machines were asked
	reached time.Duration // when one last answered
	heard   *rig          // one that was heard when last looked at
	contact time.Duration // when any machine was last heard, whosever it is
	doubt   time.Duration // since when that is doubtfully long ago, 0: it is not
	lost    int           // calls to machines without an answer since one was answered
	lostAt  time.Duration // the first of them
}

// probes is how many machines are asked at once whether they can be reached.
const probes = 3

// checkFitness leaves the map, or joins it again.
func (p *part) checkFitness() {
	c, f := p.c, &p.fit
	if f.unfit {
		p.probe()
		// Joining blindly after a while cost the machines a change of owner and
		// back while the cut lasted, and a longer absence after it was over.
		reached := c.ledger.machines.len() == 0 || f.reached > 0 && c.now.Steady-f.reached < 4*c.times.report
		if c.now.Steady >= f.till && reached {
			f.unfit = false
			c.info("machines can be reached, joining again")
		}
		return
	}
	// Outside the map it is told of few machines or none. What it has not heard for long it
	// asks first: controllers that came back from a cut took a third of the machines each
	// time, for the four seconds in which they found that they reach none.
	if !p.mine {
		if c.ledger.machines.len() > 0 && c.now.Steady-f.contact >= c.times.lease/3 {
			f.unfit, f.reached, f.till = true, 0, c.now.Steady
			p.probe()
		}
		return
	}
	if !p.doubtful() {
		f.doubt = 0
	} else {
		if f.doubt == 0 {
			f.doubt = c.now.Steady
		}
		p.probe()
		if c.now.Steady-f.doubt >= p.quiet()/2 {
			p.leave()
			return
		}
	}
	// Machines may be heard, and hear nothing: then each report is answered in vain, and
	// their tasks ended with their leases while this node held on to them.
	if f.lost >= 2 {
		p.probe()
		if c.now.Steady-f.lostAt >= p.quiet()+2*c.times.report && p.registered() >= 2 {
			p.leave()
			return
		}
	}
	if c.now.Steady-p.since < c.times.lease/3 {
		return
	}
	if r := f.heard; r != nil && r.trusted && p.rigs.get(r.name) == r && c.now.Steady-r.heard < c.times.lease/3 {
		f.times = 0
		return
	}
	for _, r := range p.rigs.all() {
		// One that is not registered may be gone: nobody is told of those withdrawn.
		if r.registered && c.now.Steady-r.heard < c.times.lease/3 {
			if r.trusted {
				f.times = 0
			}
			f.heard = r
			return
		}
	}
	if p.registered() >= 2 {
		p.leave()
	}
}

// quiet is how long no machine may be heard, until this node leaves the map: a report
// period and a quarter, and the time in which one of n machines that report at random is
// heard but once in three thousand; a third of a lease at most.
func (p *part) quiet() time.Duration {
	t := &p.c.times
	return min(t.lease/3, t.report*5/4+8*t.report/time.Duration(max(p.rigs.len(), 1)))
}

// doubtful reports whether no machine has been heard for half of that. Then some are asked
// whether they can be reached, and their answer is as good as a report. Only after as long
// again is it believed.
//
// Guards against the word of a process that stood still: it has heard nobody, and all that
// was said to it is still to be read.
func (p *part) doubtful() bool {
	return p.mine && p.c.now.Steady-p.fit.contact >= p.quiet()/2 && p.registered() >= 2
}

// leave gives the place in the map up.
func (p *part) leave() {
	c, f := p.c, &p.fit
	// Each time in vain it stays away for twice as long: when it is the machines
	// that are dead, leaving and joining in turn kept every new owner from ever
	// finding that out.
	f.unfit, f.reached, f.till = true, 0, c.now.Steady+c.times.lease<<min(f.times, 6)
	f.times++
	c.info("none of this node's machines can be heard, leaving the map", "machines", p.rigs.len())
}

// registered is how many machines are surely expected to report.
func (p *part) registered() (n int) {
	for _, r := range p.rigs.all() {
		if r.registered {
			n++
		}
	}
	return n
}

// probe asks a few machines, others each time, whether they can be reached.
func (p *part) probe() {
	c, f := p.c, &p.fit
	names := c.ledger.machines.sorted()
	if c.now.Steady < f.probeAt || len(names) == 0 {
		return
	}
	f.probeAt = c.now.Steady + 2*c.times.report
	for range min(probes, len(names)) {
		name := names[f.probed%len(names)]
		f.probed += len(names)/probes + 1
		c.emit(Inspect{Machine: name, Addr: c.ledger.machines.get(name).Addr})
	}
}

// called takes note of whether a call to a machine was answered.
func (p *part) called(answered bool) {
	f, now := &p.fit, p.c.now.Steady
	switch {
	case answered:
		f.contact, f.lost = now, 0
	case f.lost == 0:
		f.lost, f.lostAt = 1, now
	default:
		f.lost++
	}
}

func (p *part) inspected(d InspectDone) {
	p.called(d.OK)
	if d.OK {
		p.fit.reached = p.c.now.Steady
	}
}
