// Package dag tracks the dependencies between jobs: which jobs each job waits for, when it becomes
// ready, which jobs are aborted because a dependency was aborted, and the priority that a job
// inherits from its dependents.
//
// # What it owns
//
// The dependency graph of unfinished jobs, and the events and priorities derived from it. The
// package is pure: the caller passes what the records of jobs say, and the package returns events
// and priorities. It has no clock, input or output, and must not know where records are stored,
// what a task is, or how a job is ranked.
//
// # Invariants
//
// Every controller that has read the same records gets the same result, in whatever order it read
// them. This follows from two facts. Done is final, so a job that is ready stays ready. And no task
// of a job starts before all of its dependencies are done, so no task of a dependent of a cancelled
// job has ever started. The abort of all dependents is therefore derived from the record of the
// cancelled job alone, without a write for each dependent and without a message to any machine.
//
// Nothing here recurses, because a user's chain of jobs may be thousands of jobs long. Marking a
// job as finished takes time proportional to the number of edges that it resolves, and each edge is
// resolved only once. docs/dependencies.md describes the alternatives that were considered, with
// sources.
package dag

// State is the part of a job's state on which its dependents depend.
type State int

// The states of a job.
const (
	Unknown State = iota // its record has not been read yet; treated as open
	Open                 // unfinished
	Done
	Aborted // cancelled by its user, or aborted because one of its dependencies was aborted
)

// Event reports that a job with dependencies has become ready or has been aborted.
type Event struct {
	Job     string
	Aborted bool
	Cause   string  // if aborted: the aborted job, a direct or indirect dependency, that caused it
	ReadyAt float64 // if ready: wall-clock time at which the last of its dependencies was done, in seconds
}

// Lookup returns the state of a job that may not be in the graph, as the mirror of the store has
// it, and the wall-clock time in seconds at which the job was done, if it is.
type Lookup func(id string) (state State, doneAt float64)

// Graph holds the unfinished jobs that wait for others, and the jobs that they wait for. Other
// jobs are not in it. It is not safe for concurrent use.
type Graph struct {
	nodes          map[string]*node
	insertionOrder []*node // in the order in which they were added; includes nodes removed since the last sort
	events         []Event // not yet returned by TakeEvents
	waitingCount   int     // jobs with an unmet dependency

	orderStale  bool    // the graph has changed since topological was computed
	topological []*node // unfinished jobs, each before the jobs that it depends on
	refreshTurn int     // selects the jobs whose own priorities are refreshed next; below refreshInterval
}

// node is a job. Its lists may include finished nodes; its counts exclude them.
type node struct {
	id    string
	state State

	dependenciesKnown bool // AddJob was called for the job
	dependencies      []*node
	unmet             int // dependencies that are not done
	dependents        []*node
	liveDependents    int // dependents that still wait

	countedWaiting bool    // the job is counted in Graph.waitingCount
	readyAt        float64 // latest wall-clock time at which one of its dependencies was done, in seconds
	eventPending   bool    // the job is aborted, and TakeEvents has not returned the event yet
	removed        bool    // the node was removed from Graph.nodes

	ownPriority, effectivePriority Priority
	unsortedDependents             int // dependents that sortTopologically has not added to the order yet
}

// New returns an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*node{}} }

// node returns the node of a job, and adds one in state Unknown if there is none.
func (g *Graph) node(id string) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{id: id}
		g.nodes[id] = n
		g.insertionOrder = append(g.insertionOrder, n)
	}
	return n
}

// AddJob adds an unfinished job that depends on others. lookup is called for dependencies whose
// state the graph does not know. Further calls for the same job have no effect, because a job's
// dependencies never change.
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

// addDependency adds an edge if the dependency is not finished, and returns the dependency's state.
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

// MarkOpen records that the record of a job was read and that the job is unfinished. Other jobs may
// depend on it.
func (g *Graph) MarkOpen(id string) {
	if n := g.nodes[id]; n != nil && n.state == Unknown {
		n.state = Open
	}
}

// MarkFinished records that, according to its own record, a job is done or, if done is false,
// cancelled. doneAt is the wall-clock time in seconds at which it was done.
func (g *Graph) MarkFinished(id string, done bool, doneAt float64) {
	n := g.nodes[id]
	if n == nil {
		return // no waiting job depends on it
	}
	if done {
		g.markDone(n, doneAt)
	} else {
		g.abort(n, id)
	}
}

func (g *Graph) markDone(n *node, doneAt float64) {
	g.detach(n) // a job that an older version of the software ran may have unmet dependencies
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

// meetDependency records that one of the dependencies of a waiting job is done, and marks the job
// as ready if it was the last one.
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

// abort aborts a job and, without recursion, all of its direct and indirect dependents.
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

// reportAbort adds an event for an aborted job, unless the job itself is the cause.
func (g *Graph) reportAbort(n *node, cause string) {
	if n.id == cause {
		g.removeIfUnneeded(n)
		return
	}
	// The node stays in the graph until the event is taken. Until then a Lookup still reports
	// the job as open, so a new job that depends on it would wait forever.
	n.eventPending = true
	g.events = append(g.events, Event{Job: n.id, Aborted: true, Cause: cause})
}

// detach makes a job stop waiting for its dependencies, and removes those that are no longer needed.
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

// removeIfUnneeded removes a job that no other job waits for, that waits for none, and that has no
// pending event.
func (g *Graph) removeIfUnneeded(n *node) {
	if n.liveDependents == 0 && n.unmet == 0 && !n.eventPending && !n.removed {
		n.removed, g.orderStale = true, true
		delete(g.nodes, n.id)
	}
}

// TakeEvents returns the events since the last call, in the order in which they occurred, and
// removes the aborted jobs among them from the graph.
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

// WaitingCount returns the number of jobs with an unmet dependency.
func (g *Graph) WaitingCount() int { return g.waitingCount }

// UnmetDependencies returns the ids of up to limit jobs that a job waits for, and the number of
// further ones.
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
