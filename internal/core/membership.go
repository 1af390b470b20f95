package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chalkhub/chalkhub/internal/stepdown"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// membership keeps this node's lease and key, and, on the leader, the map.
type membership struct {
	c *Core

	lease     uint64
	leaseSent time.Duration // when the newest answered renewal left
	askedAt   time.Duration // when the newest renewal left, answered or not
	unheard   bool          // nothing came back of it
	asking    bool
	writing   bool // a write of the node key or the leader key is under way
	mapping   bool // a write of the map is under way
	readySaid bool
	readyNow  bool
	target    string

	helm     stepdown.Tracker
	empty    time.Duration // since when nobody leads
	ledSince time.Duration // since when the leader key is ours
	leading  bool
	away     map[string]time.Duration // controllers outside the map, since when
	watched  *wire.MapRecord          // the map that this was read from
	want     map[string]string        // members, as they should be
}

func newMembership(c *Core) *membership {
	return &membership{c: c, target: "\x00", away: map[string]time.Duration{}, helm: stepdown.Tracker{BaseBackoff: c.times.lease}}
}

// entitled reports whether this node may answer workers and users act on it:
// its lease was renewed and its mirror confirmed within fresh.
//
// Guards against two owners of a machine: a node that is cut off must fall
// silent before the others count its lease as over.
func (m *membership) entitled() bool {
	return m.lease != 0 && m.c.now.Steady-m.leaseSent < m.c.times.fresh && m.c.ledger.fresh()
}

// member reports whether the map in force names this very process.
func (m *membership) member() bool {
	rec := m.c.ledger.mapRec
	return rec != nil && rec.Members[m.c.set.Label] == m.c.boot
}

// speaksForAnother reports whether the map in force names another process under a label
// than boot. Until the next map such a process has nothing to say of the label's machines.
//
// Guards against taking what the former process was given for lost: a process that was back
// before the map changed told that it has no machines, and all that had just been given to
// the former one was started a second time.
func (m *membership) speaksForAnother(label, boot string) bool {
	rec := m.c.ledger.mapRec
	return rec != nil && rec.Members[label] != "" && rec.Members[label] != boot
}

func (m *membership) epoch() uint64 {
	if rec := m.c.ledger.mapRec; rec != nil {
		return rec.Epoch
	}
	return 0
}

// owner is the member that rendezvous hashing gives a machine to.
func (m *membership) owner(machine string) string {
	rec := m.c.ledger.mapRec
	if rec == nil {
		return ""
	}
	best, bestHash := "", uint64(0)
	for label := range rec.Members {
		h := xxhash.Sum64String(label + " " + machine)
		if best == "" || h > bestHash || h == bestHash && label < best {
			best, bestHash = label, h
		}
	}
	return best
}

// leaderGuard ties a write to our leadership.
func (m *membership) leaderGuard() wire.Guard { return m.c.ledger.guard(keyLeader) }

// deaf reports whether the lease is better left to end: nothing has come back from the state
// service for so long that this node may do nothing, and its renewals may arrive all the same.
// It asks again once the lease must have ended, or when the mirror hears the service.
//
// Guards against a leader whose requests arrive and whose answers do not: its renewals kept
// its keys alive, so that nobody led and its machines stood still for as long as that lasted.
func (m *membership) deaf() bool {
	t := &m.c.times
	return m.lease != 0 && m.unheard && !m.c.ledger.fresh() && m.c.now.Steady-m.leaseSent >= t.fresh &&
		m.c.now.Steady-m.askedAt < t.ttl*5/4
}

func (m *membership) react() {
	c := m.c
	c.ledger.step()
	if !m.asking && (m.lease == 0 || c.now.Steady-m.leaseSent >= c.times.ttl/6) && !m.deaf() {
		m.asking, m.askedAt = true, c.now.Steady
		c.emit(Lease{Lease: m.lease, TTL: c.times.ttl})
	}
	// In an outage that all see, users are told at once to come again, by nodes that the
	// load balancer finds where they were when it is over.
	ready := m.entitled() && !c.outage.alone() || c.outage.holds()
	if ready != m.readyNow || !m.readySaid {
		m.readyNow, m.readySaid = ready, true
		c.emit(Ready{Yes: ready})
	}
	if !c.ledger.ready {
		return
	}
	target := ""
	if l := c.ledger.leader; l != nil && l.Boot != c.boot {
		target = l.Label
	}
	if target != m.target {
		m.target = target
		c.emit(PeerTarget{Label: target})
	}
	was := m.leading
	m.leading = c.ledger.leader != nil && c.ledger.leader.Boot == c.boot
	if m.leading != was {
		if m.leading {
			m.ledSince = c.now.Steady
			clear(m.away)
			m.watched = nil
			c.info("this node leads", "revision", c.ledger.versions[keyLeader])
		} else {
			c.info("this node no longer leads")
		}
		c.orch.leadership(m.leading)
	}
	if m.lease == 0 || m.writing || !c.ledger.fresh() {
		return
	}
	if c.ledger.nodes[c.set.Label].Boot != c.boot {
		// Guarded against a write of this label's former process that is carried out late: it
		// took the place of the new one, whose machines were others' until it wrote again.
		key := keyNode + c.set.Label
		m.write([]wire.Guard{c.ledger.guard(key)}, wire.Op{Put: key, Value: wire.NodeRecord{Boot: c.boot, Level: wire.Level}, Lease: m.lease})
		return
	}
	// A leader that was restarted takes its own key over at once: its former
	// process is surely dead, and whatever that one still has in flight is
	// guarded by the version this write ends.
	l := c.ledger.leader
	if l != nil {
		m.empty = c.now.Steady
	}
	others, empty := len(c.ledger.nodes) > 1, c.now.Steady-m.empty
	if l == nil && (m.helm.ShouldAbstain(c.now.Steady, others, empty, c.times.ttl) || c.part.fit.unfit && others && empty < c.times.round) {
		return // one who reaches machines should lead
	}
	if l == nil || l.Label == c.set.Label && l.Boot != c.boot {
		op := wire.Op{Put: keyLeader, Value: wire.LeaderRecord{Label: c.set.Label, Boot: c.boot}, Lease: m.lease}
		m.write([]wire.Guard{c.ledger.guard(keyLeader)}, op)
		return
	}
	if m.leading {
		m.watchNodes()
		m.keepMap()
	}
}

// watchNodes notes which controllers are outside the map, for those on call.
func (m *membership) watchNodes() {
	rec := m.c.ledger.mapRec
	if rec == nil || rec == m.watched {
		return
	}
	m.watched = rec
	for _, label := range m.c.labels {
		_, in := rec.Members[label]
		since, was := m.away[label]
		switch {
		case !in && !was:
			m.away[label] = m.c.now.Steady
			m.c.info("a controller is outside the map", "controller", label)
		case in && was:
			delete(m.away, label)
			m.c.info("a controller is back in the map", "controller", label, "away", m.c.now.Steady-since)
		}
	}
}

func (m *membership) write(guards []wire.Guard, op wire.Op) {
	m.writing = true
	m.c.ledger.commit(guards, []wire.Op{op}, func(d CommitDone) {
		if d.Status == 400 {
			m.lease, m.writing = 0, false // the lease has ended
			return
		}
		m.c.ledger.lookAgain(d.Status == 200 || d.Status == 409, m.c.times.fresh/16, func() { m.writing = false })
	})
}

// keepMap writes a new map when the members are not who they should be: those
// with a live key that this leader can hear. If nobody is left whose machines answer, and
// others live that it cannot hear, it lets one of them lead.
//
// Guards against a leader that reaches the state service alone: it kept the map to itself,
// and nothing started, while another reached both the state service and the machines.
func (m *membership) keepMap() {
	c := m.c
	if m.mapping {
		return
	}
	rec := c.ledger.mapRec
	if m.want == nil {
		m.want = map[string]string{}
	}
	clear(m.want) // looked at with every batch of commands
	want := m.want
	settled := c.now.Steady-m.ledSince > c.times.report
	missing, unheard := false, false
	for label, n := range c.ledger.nodes {
		switch {
		case label == c.set.Label:
			if !c.part.fit.unfit || len(c.ledger.nodes) == 1 {
				want[label] = n.Boot
			}
		case c.orch.hears(label, n.Boot):
			want[label] = n.Boot
		default:
			missing = true
			unheard = unheard || !c.orch.saysUnfit(label, n.Boot)
		}
	}
	idle := len(want) == 0 && unheard
	if m.helm.ShouldStepDown(c.now.Steady, idle, c.times.round) && !m.writing {
		c.info("no machine can be heard here or by any member, another that is not heard may lead")
		m.helm.SteppedDown(c.now.Steady)
		m.write([]wire.Guard{m.leaderGuard()}, wire.Op{Delete: keyLeader})
		return
	}
	// A map of this node alone would take the machines from those who may well serve them,
	// just before another leads, or before this node knows that it reaches none.
	if idle || unheard && c.part.doubtful() && !c.part.fit.unfit {
		return
	}
	if len(want) == 0 {
		want[c.set.Label] = c.boot
	}
	// A new leader gives the others a moment to call, so that a change of
	// leader is one new map and not several.
	if !settled && (missing || rec == nil && len(want) < c.set.Site.InitialSize) {
		return
	}
	if m.epoch() > c.orch.epochAtStart && maps.Equal(rec.Members, want) {
		return
	}
	next := wire.MapRecord{Epoch: 1, Leader: c.set.Label, Members: maps.Clone(want)}
	if rec != nil {
		next.Epoch = rec.Epoch + 1
	}
	m.mapping = true
	guards := []wire.Guard{m.leaderGuard(), c.ledger.guard(keyMap)}
	c.ledger.commit(guards, []wire.Op{{Put: keyMap, Value: next}}, func(d CommitDone) {
		c.ledger.lookAgain(d.Status == 200, c.times.fresh/16, func() { m.mapping = false })
	})
}

func (m *membership) leased(d LeaseDone) {
	m.asking, m.unheard = false, d.Status == 0
	m.c.outage.refused = d.Status != 200 && d.Status != 404
	switch d.Status {
	case 200:
		if d.Lease != m.lease {
			m.lease = d.Lease
		}
		m.leaseSent = max(m.leaseSent, d.Sent)
	case 404:
		m.c.info("the lease has ended")
		m.lease = 0
	default:
		m.asking = true
		m.c.after(m.c.times.ttl/12, func() { m.asking = false })
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
