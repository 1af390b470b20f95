package core

import (
	"slices"
	"strings"

	"github.com/chalkhub/chalkhub/internal/binpacking"
)

// taskShape is what decides which machines a task fits on.
type taskShape struct {
	cpus, gpus, memoryGB float64
	zone                 string
	spot, bestEffort     bool
	types                string
	urgency              int
}

func (s *scheduler) shapeOf(q *queuedJob) taskShape {
	spec := q.spec()
	return taskShape{
		cpus:       spec.CPUs,
		gpus:       spec.GPUs,
		memoryGB:   spec.MemoryGB,
		zone:       spec.Zone,
		spot:       spec.AllowSpot,
		bestEffort: s.core.bestEffortTeams[spec.Team],
		types:      strings.Join(spec.MachineTypes, " "),
		urgency:    q.effectiveUrgency,
	}
}

// feasibleMachines lists the machines with room for a job's tasks, in the order in which they are
// filled. A machine that is full by now leaves the round's machines with room.
func (s *scheduler) feasibleMachines(q *queuedJob, round *schedulingRound) []*candidateMachine {
	shape := s.shapeOf(q)
	if round.infeasible[shape] {
		return nil // within a round room only shrinks
	}
	spec := q.spec()
	var feasible []*candidateMachine
	freeByShard := map[*shardView]float64{}
	withRoom := round.withCapacity[:0]
	for _, machine := range round.withCapacity {
		if machine.CPUs <= binpacking.RoundingSlack {
			continue
		}
		withRoom = append(withRoom, machine)
		if !machine.Fits(spec) || !machine.AllowsJob(spec) || machine.reservedForPreemptor(shape) {
			continue
		}
		machine.imageCached = machine.HasImage(spec.Image)
		feasible = append(feasible, machine)
		freeByShard[machine.shard] += machine.CPUs
	}
	round.withCapacity = withRoom
	if len(feasible) == 0 {
		round.infeasible[shape] = true
	}
	slices.SortStableFunc(feasible, func(a, b *candidateMachine) int { return compareFillOrder(a, b, freeByShard) })
	return feasible
}

// reservedForPreemptor reports whether the room that tasks are being stopped for here is not for such a
// task.
//
// Guards against small tasks that take, bit by bit, the room that others were preempted for: the
// next ones of a best-effort team did, and those of two less urgent jobs that were preempted in
// turn on the only machine that an urgent one could use, once a round for half an hour.
func (m *candidateMachine) reservedForPreemptor(shape taskShape) bool {
	return m.preempting && (shape.bestEffort || shape.urgency > m.preemptorUrgency)
}

// compareFillOrder orders the machines that a task may go to: first those that hold its image, then
// spot instances, then those of the shard with most room, then those with least.
func compareFillOrder(a, b *candidateMachine, freeByShard map[*shardView]float64) int {
	switch {
	case a.imageCached != b.imageCached:
		return trueFirst(a.imageCached)
	case a.Spot != b.Spot:
		return trueFirst(a.Spot)
	case a.shard != b.shard && freeByShard[a.shard] != freeByShard[b.shard]:
		return trueFirst(freeByShard[a.shard] > freeByShard[b.shard])
	}
	return a.CompareFree(&b.Capacity)
}

// trueFirst is what a comparison returns if its left side, and only that, has a property.
func trueFirst(left bool) int {
	if left {
		return -1
	}
	return 1
}

// isAvoided reports whether the shard of a machine puts none of a job's tasks there, since some
// have failed there.
func (s *scheduler) isAvoided(m *candidateMachine, q *queuedJob) bool {
	return m.view.backoffUntil[q.id] > s.core.now.Monotonic
}
