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

// Verdict is news of a job that needs others: it has become ready, or is aborted.
type Verdict struct {
	Job     string
	Aborted bool
	Cause   string  // with Aborted: the job that was cancelled by its user
	Ready   float64 // without: time of day when the last job that it needs was done, in seconds
}

// Graph holds the jobs that need others and those that are needed by a job that is not
// over. The others are not in it.
type Graph struct {
	nodes   map[string]*node
	all     []*node // in the order in which they came, some of them gone
	news    []Verdict
	waiting int // jobs that need one that is not done
	changed bool
	order   []*node // open jobs, each before those that it needs
	turn    int     // of those that are asked for their own weights anew
}

// askedShare is how many times Weigh is called until every waiting job has been asked for
// its own weight anew: what is predicted of it changes slowly, and with ten thousands of
// them asking took most of a leader's round.
const askedShare = 16

type node struct {
	id    string
	state State
	put   bool    // what it needs is known
	needs []*node // some of them done by now,
	open  int     // and so many not
	by    []*node // that need it, some of them over by now,
	live  int     // and so many not
	waits bool    // it is counted among those that wait
	ready float64 // when the newest of those that are done was
	told  bool    // it is aborted, and nobody has taken the news
	gone  bool    // out of the graph

	own, total Weight
	left       int // used by sort
}

// New makes an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*node{}} }

func (g *Graph) node(id string) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{id: id}
		g.nodes[id] = n
		g.all = append(g.all, n)
	}
	return n
}

// Look says how a job stands that the graph may not have met: what the mirror holds of it,
// and when it was done, as a time of day in seconds.
type Look func(id string) (State, float64)

// Put tells of an open job that needs others. A second time changes nothing: what a job
// needs never does.
func (g *Graph) Put(id string, needs []string, look Look) {
	n := g.node(id)
	if n.put {
		return
	}
	n.put, n.state, g.changed = true, Open, true
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
			n.ready = max(n.ready, at)
		case Aborted:
			g.abort(n, name)
			return
		default:
			m = g.node(name)
			m.state = state
			n.needs, n.open = append(n.needs, m), n.open+1
			m.by, m.live = append(m.by, n), m.live+1
		}
	}
	if n.open == 0 {
		g.ripe(n)
		return
	}
	n.waits = true
	g.waiting++
}

// Met tells that an open job has been read that others may need.
func (g *Graph) Met(id string) {
	if n := g.nodes[id]; n != nil && n.state == Unknown {
		n.state = Open
	}
}

// Over tells of a job that its own record calls done, at that time of day in seconds, or
// cancelled.
func (g *Graph) Over(id string, done bool, at float64) {
	n := g.nodes[id]
	if n == nil {
		return
	}
	if !done {
		g.abort(n, id)
		return
	}
	g.leave(n) // it needs nothing that is not done, or an older version ran it
	n.state, g.changed = Done, true
	by := n.by
	n.by, n.live = nil, 0
	g.drop(n)
	for _, d := range by {
		if d.state != Open {
			continue
		}
		d.ready = max(d.ready, at)
		if d.open--; d.open == 0 {
			d.waits = false
			g.waiting--
			g.ripe(d)
		}
	}
}

// ripe says that a job may start now.
func (g *Graph) ripe(n *node) {
	g.news = append(g.news, Verdict{Job: n.id, Ready: n.ready})
	g.drop(n)
}

// abort takes out a job and all behind it.
func (g *Graph) abort(n *node, cause string) {
	g.changed = true
	for todo := []*node{n}; len(todo) > 0; {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if n.state == Aborted || n.state == Done {
			continue
		}
		g.leave(n)
		n.state = Aborted
		todo = append(todo, n.by...)
		n.by, n.live = nil, 0
		if n.id == cause {
			g.drop(n)
			continue
		}
		// It stays until the news is taken: until then whoever looks it up elsewhere finds
		// it open, and a job that needs it would wait for ever.
		n.told = true
		g.news = append(g.news, Verdict{Job: n.id, Aborted: true, Cause: cause})
	}
}

// leave has a waiting job wait no more.
func (g *Graph) leave(n *node) {
	if n.open == 0 {
		return
	}
	n.open = 0
	if n.waits {
		n.waits = false
		g.waiting--
	}
	for _, m := range n.needs {
		if m.live > 0 {
			m.live--
		}
		g.drop(m)
	}
}

// drop forgets a job that nobody needs any more and that waits for nobody.
func (g *Graph) drop(n *node) {
	if n.live == 0 && n.open == 0 && !n.told && !n.gone {
		n.gone, g.changed = true, true
		delete(g.nodes, n.id)
	}
}

// News are the verdicts since the last call, in the order in which they fell.
func (g *Graph) News() []Verdict {
	news := g.news
	g.news = nil
	for i := range news {
		if n := g.nodes[news[i].Job]; n != nil && news[i].Aborted {
			n.told = false
			g.drop(n)
		}
	}
	return news
}

// Waits reports whether a job needs one that is not done.
func (g *Graph) Waits(id string) bool {
	n := g.nodes[id]
	return n != nil && n.open > 0
}

// Waiting is how many jobs do.
func (g *Graph) Waiting() int { return g.waiting }

// For names up to most of the jobs that a job waits for, and how many more there are.
func (g *Graph) For(id string, most int) (names []string, more int) {
	n := g.nodes[id]
	if n == nil {
		return nil, 0
	}
	for _, m := range n.needs {
		if m.state != Done && len(names) < most {
			names = append(names, m.id)
		}
	}
	return names, n.open - len(names)
}

// Weight is how a job counts in a pipeline.
type Weight struct {
	Urgency int     // the smaller the more urgent
	Latest  float64 // time of day by which it is to be done, in seconds; +Inf: no matter
	Takes   float64 // seconds that it will take once it is ready
}

// Weigh works out anew what each open job of a pipeline counts with: the urgency of the
// most urgent job that needs it, and the earliest moment by which it must be done for all
// of those to be in time, their predicted times taken off along the longest path (latest
// finish times of critical-path scheduling). own tells of a job by itself: of those that
// may start and of new ones at every call, of the others by turns.
func (g *Graph) Weigh(own func(id string) Weight) {
	if g.changed {
		g.sort()
	}
	g.turn = (g.turn + 1) % askedShare
	for i, n := range g.order {
		if n.open == 0 || n.own == (Weight{}) || i%askedShare == g.turn {
			n.own = own(n.id)
		}
		n.total = n.own
	}
	for _, n := range g.order {
		for _, m := range n.needs {
			m.total.Urgency = min(m.total.Urgency, n.total.Urgency)
			m.total.Latest = min(m.total.Latest, n.total.Latest-n.own.Takes)
		}
	}
}

// sort puts the open jobs into an order in which each comes before those that it needs.
func (g *Graph) sort() {
	g.changed = false
	g.all = slices.DeleteFunc(g.all, func(n *node) bool { return n.gone })
	for _, n := range g.all {
		n.left = 0
	}
	for _, n := range g.all {
		for _, m := range n.needs {
			m.left++
		}
	}
	g.order = g.order[:0]
	for _, n := range g.all {
		if n.left == 0 {
			g.order = append(g.order, n)
		}
	}
	for i := 0; i < len(g.order); i++ {
		for _, m := range g.order[i].needs {
			if m.left--; m.left == 0 && !m.gone {
				g.order = append(g.order, m)
			}
		}
	}
}

// Weight is what Weigh last made of a job; not ok if it is in no pipeline, or has only
// just come.
func (g *Graph) Weight(id string) (Weight, bool) {
	n := g.nodes[id]
	if n == nil || n.own == (Weight{}) {
		return Weight{}, false
	}
	return n.total, true
}
