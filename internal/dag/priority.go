package dag

import "slices"

// Priority is what a job's place in the queue depends on, by itself or for the sake of its
// dependents.
type Priority struct {
	Urgency      int     // the smaller the more urgent
	LatestFinish float64 // time of day by which it is to be done, in seconds; +Inf: no deadline
	Duration     float64 // seconds that it is predicted to take once it is ready
}

// refreshInterval is in how many calls of UpdatePriorities each waiting job's own priority is
// asked for once. What is predicted of it changes slowly, and with ten thousands of waiting
// jobs asking for all took most of a leader's scheduling round.
const refreshInterval = 16

// UpdatePriorities computes the effective priority of each job in the graph: the urgency of the
// most urgent job that depends on it, and the latest finish that lets all of those be in time,
// with their predicted durations taken off along the longest path (latest finish times of
// critical-path scheduling). own tells a job's priority by itself: it is asked for jobs that
// may start and for new ones at every call, for the others in turn.
func (g *Graph) UpdatePriorities(own func(id string) Priority) {
	if g.orderStale {
		g.sortTopologically()
	}
	g.refreshTurn = (g.refreshTurn + 1) % refreshInterval
	for i, n := range g.topological {
		if n.unmet == 0 || !n.hasPriority() || i%refreshInterval == g.refreshTurn {
			n.ownPriority = own(n.id)
		}
		n.effectivePriority = n.ownPriority
	}
	for _, n := range g.topological {
		for _, dependency := range n.dependencies {
			dependency.inheritFrom(n)
		}
	}
}

// Priority is a job's effective priority at the last UpdatePriorities; not ok if the job is not
// in the graph, or was added since.
func (g *Graph) Priority(id string) (priority Priority, ok bool) {
	n := g.nodes[id]
	if n == nil || !n.hasPriority() {
		return Priority{}, false
	}
	return n.effectivePriority, true
}

// hasPriority reports whether the job's own priority was ever asked for.
func (n *node) hasPriority() bool { return n.ownPriority != Priority{} }

// inheritFrom makes a job at least as urgent as one that depends on it.
func (n *node) inheritFrom(dependent *node) {
	latestStart := dependent.effectivePriority.LatestFinish - dependent.ownPriority.Duration
	n.effectivePriority.Urgency = min(n.effectivePriority.Urgency, dependent.effectivePriority.Urgency)
	n.effectivePriority.LatestFinish = min(n.effectivePriority.LatestFinish, latestStart)
}

// sortTopologically puts the jobs into an order in which each comes before those that it
// depends on (Kahn's algorithm), and forgets removed ones.
func (g *Graph) sortTopologically() {
	g.orderStale = false
	g.insertionOrder = slices.DeleteFunc(g.insertionOrder, func(n *node) bool { return n.removed })
	g.countDependents()
	g.topological = g.topological[:0]
	for _, n := range g.insertionOrder {
		if n.unsortedDependents == 0 {
			g.topological = append(g.topological, n)
		}
	}
	for i := 0; i < len(g.topological); i++ {
		for _, dependency := range g.topological[i].dependencies {
			dependency.unsortedDependents--
			if dependency.unsortedDependents == 0 && !dependency.removed {
				g.topological = append(g.topological, dependency)
			}
		}
	}
}

func (g *Graph) countDependents() {
	for _, n := range g.insertionOrder {
		n.unsortedDependents = 0
	}
	for _, n := range g.insertionOrder {
		for _, dependency := range n.dependencies {
			dependency.unsortedDependents++
		}
	}
}
