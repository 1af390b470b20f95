package dag

import "slices"

// Priority holds the properties of a job from which its rank in the queue is computed and which
// affect the ranks of its dependencies.
type Priority struct {
	Urgency      int     // a smaller number is more urgent
	LatestFinish float64 // wall-clock time by which the job must be done, in seconds; +Inf: no deadline
	Duration     float64 // predicted seconds that the job takes once it is ready
}

// refreshInterval is the number of calls of UpdatePriorities in which the own priority of each
// waiting job is refreshed once. With tens of thousands of waiting jobs, refreshing all of them in
// every call took most of a leader's scheduling round. Predicted durations change slowly, so a
// refresh in one of 16 calls is enough.
const refreshInterval = 16

// UpdatePriorities computes the effective priority of each job in the graph. The urgency is that of
// the most urgent job among the job itself and all that depend on it. The latest finish is the time
// that still allows all of them to meet their deadlines: the predicted durations of the dependents
// are subtracted along the longest path, as in the latest finish times of critical-path scheduling.
// ownPriority returns a job's priority without its dependents. Each call queries it for all jobs
// that have no unmet dependency and for new ones, and for one of refreshInterval of the others in
// turn.
func (g *Graph) UpdatePriorities(ownPriority func(id string) Priority) {
	if g.orderStale {
		g.sortTopologically()
	}
	g.refreshTurn = (g.refreshTurn + 1) % refreshInterval
	for i, n := range g.topological {
		if n.unmet == 0 || !n.hasPriority() || i%refreshInterval == g.refreshTurn {
			n.ownPriority = ownPriority(n.id)
		}
		n.effectivePriority = n.ownPriority
	}
	for _, n := range g.topological {
		for _, dependency := range n.dependencies {
			dependency.inheritFrom(n)
		}
	}
}

// Priority returns a job's effective priority as of the last UpdatePriorities. ok is false if the
// job is not in the graph or was added since.
func (g *Graph) Priority(id string) (priority Priority, ok bool) {
	n := g.nodes[id]
	if n == nil || !n.hasPriority() {
		return Priority{}, false
	}
	return n.effectivePriority, true
}

// hasPriority reports whether the job's own priority was ever queried.
func (n *node) hasPriority() bool { return n.ownPriority != Priority{} }

// inheritFrom makes a job at least as urgent as one that depends on it, and its latest finish no
// later than the latest start of that one.
func (n *node) inheritFrom(dependent *node) {
	latestStart := dependent.effectivePriority.LatestFinish - dependent.ownPriority.Duration
	n.effectivePriority.Urgency = min(n.effectivePriority.Urgency, dependent.effectivePriority.Urgency)
	n.effectivePriority.LatestFinish = min(n.effectivePriority.LatestFinish, latestStart)
}

// sortTopologically orders the jobs so that each comes before those that it depends on (Kahn's
// algorithm), and drops removed nodes from the insertion order.
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
