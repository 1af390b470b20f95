// Package dag follows which jobs depend on which: what each waits for, when it becomes ready,
// which jobs are aborted because one that they depend on is, and how urgent a job is for the
// sake of its dependents.
//
// # What it owns
//
// The dependency graph of unfinished jobs, and what follows from it. It is pure: what the
// records of jobs say goes in, events and priorities come out. It has no clock, input or
// output, and must not know where records are kept, what a task is, or how a job is ranked.
//
// # Invariants
//
// Every controller that has read the same records reaches the same result, in whatever order
// it read them. Two facts carry that. Done is final, so a job that is ready stays ready. And
// no task of a job starts before everything that it depends on is done, so a dependent of a
// cancelled job has never had a task: that it is aborted, too, is derived from the one record,
// without a write for each dependent and without a word to any machine.
//
// Nothing here recurses: a user's chain may be thousands of jobs long. To mark a job costs time
// in proportion to the edges that this settles, and each edge is settled once. The ways that
// were weighed, with sources, are in docs/dependencies.md.
package dag

// State is how a job stands.
type State int

// The states of a job.
const (
	Unknown State = iota // nothing has been read of it yet; it counts as open
	Open                 // unfinished
	Done
	Aborted // cancelled by its user, or because of one that it depends on
)

// Event is news of a job that depends on others: it has become ready, or is aborted.
type Event struct {
	Job     string
	Aborted bool
	Cause   string  // if aborted: the job whose abort caused it
	ReadyAt float64 // if ready: time of day when the last of its dependencies was done, in seconds
}

// Lookup tells how a job stands that the graph may not hold: its state in the store's mirror
// and, if it is done, since when, as a time of day in seconds.
type Lookup func(id string) (state State, doneAt float64)

// Graph holds the unfinished jobs that wait for others, and the jobs that they wait for. Other
// jobs are not in it.
type Graph struct {
	nodes          map[string]*node
	insertionOrder []*node // in the order in which they came; some of them removed
	events         []Event // not taken yet
	waitingCount   int     // jobs with an unmet dependency

	orderStale  bool    // the graph has changed since topological was made
	topological []*node // unfinished jobs, each before those that it depends on
	refreshTurn int     // which jobs' own priorities are asked for anew next
}

// node is a job. Its lists may hold nodes that are finished; the counts do not.
type node struct {
	id    string
	state State

	dependenciesKnown bool // the job's own record was read
	dependencies      []*node
	unmet             int // dependencies that are not done
	dependents        []*node
	liveDependents    int // dependents that still wait

	countedWaiting bool    // in Graph.waitingCount
	readyAt        float64 // when the newest of the dependencies that are done was
	eventPending   bool    // it is aborted, and nobody has taken the event yet
	removed        bool    // from the graph

	ownPriority, effectivePriority Priority
	unsortedDependents             int // while the topological order is made
}

// New makes an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*node{}} }

// node finds a job, or adds it with an unknown state.
func (g *Graph) node(id string) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{id: id}
		g.nodes[id] = n
		g.insertionOrder = append(g.insertionOrder, n)
	}
	return n
}

// AddJob adds an unfinished job that depends on others. A second time changes nothing, since
// a job's dependencies never change.
func (g *Graph) AddJob(id string, dependencies []string, lookup Lookup) {
	n := g.node(id)
	if n.dependenciesKnown {
		return
	}
	n.dependenciesKnown, n.state, g.orderStale = true, Open, true
	for _, dependency := range dependencies {
		if g.addDependency(n, dependency, lookup) == Aborted {
			g.abort(n, dependency)
			return
		}
	}
	if n.unmet == 0 {
		g.markReady(n)
		return
	}
	n.countedWaiting = true
	g.waitingCount++
}

// addDependency adds an edge if the dependency is not finished, and returns how it stands.
func (g *Graph) addDependency(n *node, id string, lookup Lookup) State {
	state, doneAt := Unknown, 0.0
	if known := g.nodes[id]; known != nil {
		state = known.state
	}
	if state == Unknown {
		state, doneAt = lookup(id)
	}
	switch state {
	case Done:
		n.readyAt = max(n.readyAt, doneAt)
	case Unknown, Open:
		dependency := g.node(id)
		dependency.state = state
		n.dependencies = append(n.dependencies, dependency)
		n.unmet++
		dependency.dependents = append(dependency.dependents, n)
		dependency.liveDependents++
	}
	return state
}

// MarkOpen records that an unfinished job was read on which others may depend.
func (g *Graph) MarkOpen(id string) {
	if n := g.nodes[id]; n != nil && n.state == Unknown {
		n.state = Open
	}
}

// MarkFinished records what a job's own record says: that it is done, at that time of day in
// seconds, or else cancelled.
func (g *Graph) MarkFinished(id string, done bool, doneAt float64) {
	n := g.nodes[id]
	if n == nil {
		return // nothing depends on it
	}
	if done {
		g.markDone(n, doneAt)
	} else {
		g.abort(n, id)
	}
}

func (g *Graph) markDone(n *node, doneAt float64) {
	g.detach(n) // it may have unmet dependencies if an older version ran it
	n.state, g.orderStale = Done, true
	dependents := n.dependents
	n.dependents, n.liveDependents = nil, 0
	g.removeIfUnneeded(n)
	for _, dependent := range dependents {
		if dependent.state == Open {
			g.meetDependency(dependent, doneAt)
		}
	}
}

// meetDependency records that one of the dependencies of a waiting job is done.
func (g *Graph) meetDependency(n *node, doneAt float64) {
	n.readyAt = max(n.readyAt, doneAt)
	n.unmet--
	if n.unmet == 0 {
		n.countedWaiting = false
		g.waitingCount--
		g.markReady(n)
	}
}

func (g *Graph) markReady(n *node) {
	g.events = append(g.events, Event{Job: n.id, ReadyAt: n.readyAt})
	g.removeIfUnneeded(n)
}

// abort aborts a job and, without recursion, everything that depends on it.
func (g *Graph) abort(first *node, cause string) {
	g.orderStale = true
	pending := []*node{first}
	for len(pending) > 0 {
		n := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if n.state == Aborted || n.state == Done {
			continue
		}
		g.detach(n)
		n.state = Aborted
		pending = append(pending, n.dependents...)
		n.dependents, n.liveDependents = nil, 0
		g.reportAbort(n, cause)
	}
}

// reportAbort adds the event of an aborted job, unless its own record was the cause.
func (g *Graph) reportAbort(n *node, cause string) {
	if n.id == cause {
		g.removeIfUnneeded(n)
		return
	}
	// It stays in the graph until the event is taken. Until then a lookup elsewhere finds the
	// job open, and a new job that depends on it would wait for ever.
	n.eventPending = true
	g.events = append(g.events, Event{Job: n.id, Aborted: true, Cause: cause})
}

// detach ends a job's wait for its dependencies.
func (g *Graph) detach(n *node) {
	if n.unmet == 0 {
		return
	}
	n.unmet = 0
	if n.countedWaiting {
		n.countedWaiting = false
		g.waitingCount--
	}
	for _, dependency := range n.dependencies {
		if dependency.liveDependents > 0 {
			dependency.liveDependents--
		}
		g.removeIfUnneeded(dependency)
	}
}

// removeIfUnneeded removes a job on which no other waits and that waits for none.
func (g *Graph) removeIfUnneeded(n *node) {
	if n.liveDependents == 0 && n.unmet == 0 && !n.eventPending && !n.removed {
		n.removed, g.orderStale = true, true
		delete(g.nodes, n.id)
	}
}

// TakeEvents returns the events since the last call, in the order in which they occurred.
func (g *Graph) TakeEvents() []Event {
	events := g.events
	g.events = nil
	for i := range events {
		if n := g.nodes[events[i].Job]; n != nil && events[i].Aborted {
			n.eventPending = false
			g.removeIfUnneeded(n)
		}
	}
	return events
}

// IsWaiting reports whether a job has an unmet dependency.
func (g *Graph) IsWaiting(id string) bool {
	n := g.nodes[id]
	return n != nil && n.unmet > 0
}

// WaitingCount is the number of jobs with an unmet dependency.
func (g *Graph) WaitingCount() int { return g.waitingCount }

// UnmetDependencies names up to limit of the jobs that a job waits for, and says how many
// more there are.
func (g *Graph) UnmetDependencies(id string, limit int) (names []string, more int) {
	n := g.nodes[id]
	if n == nil {
		return nil, 0
	}
	for _, dependency := range n.dependencies {
		if dependency.state != Done && len(names) < limit {
			names = append(names, dependency.id)
		}
	}
	return names, n.unmet - len(names)
}
