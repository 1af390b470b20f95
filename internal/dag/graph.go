// Package dag follows which jobs need which: who waits for whom, who may start, who
// is cancelled because of whom, and how urgent a job is for the sake of those behind it.
// It is pure: what the records of jobs say goes in, verdicts come out, and every
// controller that has read the same records reaches the same ones, in whatever order it
// read them.
//
// Two facts carry it. Done is final, so a job that is ready stays ready. And no task of a
// job starts before all that it needs is done, so a job behind one that is cancelled has
// never had a task: that it is cancelled too is derived from the one record, without a
// write for each and without touching a machine.
//
// Nothing here recurses: a user's chain may be thousands of jobs long. Telling the graph of
// a job costs time in proportion to the edges that this settles, and each edge is settled
// once. Ways weighed, with sources, are in docs/pipelines.md.
package dag

import "slices"

// State is how a job stands.
type State int

const (
	Unknown State = iota // nothing has been read of it yet; it is taken for open
	Open                 // not over
	Done
	Aborted // by its user, or because one that it needs is
)

// Event is news of a job that needs others: it has become ready, or is aborted.
type Event struct {
	Job     string
	Aborted bool
	Cause   string  // with Aborted: the job that was cancelled by its user
	ReadyAt float64 // without: time of day when the last job that it needs was done, in seconds
}

// Graph holds the jobs that need others and those that are needed by a job that is not
// over. The others are not in it.
type Graph struct {
	nodes        map[string]*node
	arrivals     []*node // in the order in which they came, some of them gone
	events       []Event
	waitingCount int // jobs that need one that is not done
	orderStale   bool
	topological  []*node // open jobs, each before those that it needs
	refreshTurn  int     // of those that are asked for their own weights anew
}

// refreshInterval is how many times Weigh is called until every waiting job has been asked for
// its own weight anew: what is predicted of it changes slowly, and with ten thousands of
// them asking took most of a leader's round.
const refreshInterval = 16

type node struct {
	id                string
	state             State
	dependenciesKnown bool    // what it needs is known
	dependencies      []*node // some of them done by now,
	unmet             int     // and so many not
	dependents        []*node // that need it, some of them over by now,
	liveDependents    int     // and so many not
	countedWaiting    bool    // it is counted among those that wait
	readyAt           float64 // when the newest of those that are done was
	eventPending      bool    // it is aborted, and nobody has taken the news
	removed           bool    // out of the graph

	own, effective     Priority
	unplacedDependents int // used by sort
}

// New makes an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*node{}} }

func (g *Graph) node(id string) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{id: id}
		g.nodes[id] = n
		g.arrivals = append(g.arrivals, n)
	}
	return n
}

// Lookup says how a job stands that the graph may not have met: what the mirror holds of it,
// and when it was done, as a time of day in seconds.
type Lookup func(id string) (State, float64)

// AddJob tells of an open job that needs others. A second time changes nothing: what a job
// needs never does.
func (g *Graph) AddJob(id string, needs []string, look Lookup) {
	n := g.node(id)
	if n.dependenciesKnown {
		return
	}
	n.dependenciesKnown, n.state, g.orderStale = true, Open, true
	for _, name := range needs {
		m := g.nodes[name]
		state, at := Unknown, 0.0
		if m == nil || m.state == Unknown {
			state, at = look(name)
		} else {
			state = m.state
		}
		switch state {
		case Done:
			n.readyAt = max(n.readyAt, at)
		case Aborted:
			g.abort(n, name)
			return
		default:
			m = g.node(name)
			m.state = state
			n.dependencies, n.unmet = append(n.dependencies, m), n.unmet+1
			m.dependents, m.liveDependents = append(m.dependents, n), m.liveDependents+1
		}
	}
	if n.unmet == 0 {
		g.markReady(n)
		return
	}
	n.countedWaiting = true
	g.waitingCount++
}

// MarkOpen tells that an open job has been read that others may need.
func (g *Graph) MarkOpen(id string) {
	if n := g.nodes[id]; n != nil && n.state == Unknown {
		n.state = Open
	}
}

// MarkFinished tells of a job that its own record calls done, at that time of day in seconds, or
// cancelled.
func (g *Graph) MarkFinished(id string, done bool, at float64) {
	n := g.nodes[id]
	if n == nil {
		return
	}
	if !done {
		g.abort(n, id)
		return
	}
	g.detach(n) // it needs nothing that is not done, or an older version ran it
	n.state, g.orderStale = Done, true
	by := n.dependents
	n.dependents, n.liveDependents = nil, 0
	g.removeIfUnneeded(n)
	for _, d := range by {
		if d.state != Open {
			continue
		}
		d.readyAt = max(d.readyAt, at)
		if d.unmet--; d.unmet == 0 {
			d.countedWaiting = false
			g.waitingCount--
			g.markReady(d)
		}
	}
}

// markReady says that a job may start now.
func (g *Graph) markReady(n *node) {
	g.events = append(g.events, Event{Job: n.id, ReadyAt: n.readyAt})
	g.removeIfUnneeded(n)
}

// abort takes out a job and all behind it.
func (g *Graph) abort(n *node, cause string) {
	g.orderStale = true
	for todo := []*node{n}; len(todo) > 0; {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if n.state == Aborted || n.state == Done {
			continue
		}
		g.detach(n)
		n.state = Aborted
		todo = append(todo, n.dependents...)
		n.dependents, n.liveDependents = nil, 0
		if n.id == cause {
			g.removeIfUnneeded(n)
			continue
		}
		// It stays until the news is taken: until then whoever looks it up elsewhere finds
		// it open, and a job that needs it would wait for ever.
		n.eventPending = true
		g.events = append(g.events, Event{Job: n.id, Aborted: true, Cause: cause})
	}
}

// detach has a waiting job wait no more.
func (g *Graph) detach(n *node) {
	if n.unmet == 0 {
		return
	}
	n.unmet = 0
	if n.countedWaiting {
		n.countedWaiting = false
		g.waitingCount--
	}
	for _, m := range n.dependencies {
		if m.liveDependents > 0 {
			m.liveDependents--
		}
		g.removeIfUnneeded(m)
	}
}

// removeIfUnneeded forgets a job that nobody needs any more and that waits for nobody.
func (g *Graph) removeIfUnneeded(n *node) {
	if n.liveDependents == 0 && n.unmet == 0 && !n.eventPending && !n.removed {
		n.removed, g.orderStale = true, true
		delete(g.nodes, n.id)
	}
}

// TakeEvents are the verdicts since the last call, in the order in which they fell.
func (g *Graph) TakeEvents() []Event {
	news := g.events
	g.events = nil
	for i := range news {
		if n := g.nodes[news[i].Job]; n != nil && news[i].Aborted {
			n.eventPending = false
			g.removeIfUnneeded(n)
		}
	}
	return news
}

// IsWaiting reports whether a job needs one that is not done.
func (g *Graph) IsWaiting(id string) bool {
	n := g.nodes[id]
	return n != nil && n.unmet > 0
}

// WaitingCount is how many jobs do.
func (g *Graph) WaitingCount() int { return g.waitingCount }

// UnmetDependencies names up to most of the jobs that a job waits for, and how many more there are.
func (g *Graph) UnmetDependencies(id string, most int) (names []string, more int) {
	n := g.nodes[id]
	if n == nil {
		return nil, 0
	}
	for _, m := range n.dependencies {
		if m.state != Done && len(names) < most {
			names = append(names, m.id)
		}
	}
	return names, n.unmet - len(names)
}

// Priority is how a job counts in a pipeline.
type Priority struct {
	Urgency      int     // the smaller the more urgent
	LatestFinish float64 // time of day by which it is to be done, in seconds; +Inf: no matter
	Duration     float64 // seconds that it will take once it is ready
}

// UpdatePriorities works out anew what each open job of a pipeline counts with: the urgency of the
// most urgent job that needs it, and the earliest moment by which it must be done for all
// of those to be in time, their predicted times taken off along the longest path (latest
// finish times of critical-path scheduling). own tells of a job by itself: of those that
// may start and of new ones at every call, of the others by turns.
func (g *Graph) UpdatePriorities(own func(id string) Priority) {
	if g.orderStale {
		g.sortTopologically()
	}
	g.refreshTurn = (g.refreshTurn + 1) % refreshInterval
	for i, n := range g.topological {
		if n.unmet == 0 || n.own == (Priority{}) || i%refreshInterval == g.refreshTurn {
			n.own = own(n.id)
		}
		n.effective = n.own
	}
	for _, n := range g.topological {
		for _, m := range n.dependencies {
			m.effective.Urgency = min(m.effective.Urgency, n.effective.Urgency)
			m.effective.LatestFinish = min(m.effective.LatestFinish, n.effective.LatestFinish-n.own.Duration)
		}
	}
}

// sortTopologically puts the open jobs into an order in which each comes before those that it needs.
func (g *Graph) sortTopologically() {
	g.orderStale = false
	g.arrivals = slices.DeleteFunc(g.arrivals, func(n *node) bool { return n.removed })
	for _, n := range g.arrivals {
		n.unplacedDependents = 0
	}
	for _, n := range g.arrivals {
		for _, m := range n.dependencies {
			m.unplacedDependents++
		}
	}
	g.topological = g.topological[:0]
	for _, n := range g.arrivals {
		if n.unplacedDependents == 0 {
			g.topological = append(g.topological, n)
		}
	}
	for i := 0; i < len(g.topological); i++ {
		for _, m := range g.topological[i].dependencies {
			if m.unplacedDependents--; m.unplacedDependents == 0 && !m.removed {
				g.topological = append(g.topological, m)
			}
		}
	}
}

// Priority is what Weigh last made of a job; not ok if it is in no pipeline, or has only
// just come.
func (g *Graph) Priority(id string) (Priority, bool) {
	n := g.nodes[id]
	if n == nil || n.own == (Priority{}) {
		return Priority{}, false
	}
	return n.effective, true
}
