package core

import (
	"slices"
	"strings"

	"github.com/chalkhub/chalkhub/internal/binpacking"
)

// taskShape holds the properties that decide which machines a task fits on. Tasks of equal shape fit on
// the same machines.
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

// feasibleMachines lists the machines with capacity for a job's tasks, in the order in which they are
// filled. It removes machines that have become full from the round's withCapacity list.
func (s *scheduler) feasibleMachines(q *queuedJob, round *schedulingRound) []*candidateMachine {
	shape := s.shapeOf(q)
	if round.infeasible[shape] {
		return nil // capacity only shrinks within a round
	}
	spec := q.spec()
	var feasible []*candidateMachine
	freeByShard := map[*shardView]float64{}
	withCapacity := round.withCapacity[:0]
	for _, machine := range round.withCapacity {
		if machine.CPUs <= binpacking.RoundingSlack {
			continue
		}
		withCapacity = append(withCapacity, machine)
		if !machine.Fits(spec) || !machine.AllowsJob(spec) || machine.reservedForPreemptor(shape) {
			continue
		}
		machine.imageCached = machine.HasImage(spec.Image)
		feasible = append(feasible, machine)
		freeByShard[machine.shard] += machine.CPUs
	}
	round.withCapacity = withCapacity
	if len(feasible) == 0 {
		round.infeasible[shape] = true
	}
	slices.SortStableFunc(feasible, func(a, b *candidateMachine) int { return compareFillOrder(a, b, freeByShard) })
	return feasible
}

// reservedForPreemptor reports whether a task of the given shape must not use this machine because
// tasks are being stopped here for another job, and the task is best-effort or less urgent than that
// job.
//
// Otherwise small tasks would gradually take the capacity for which others were preempted. This
// happened with further tasks of a best-effort team, and with the tasks of two less urgent jobs, which
// were preempted in turn on the only machine that an urgent job could use, once per round for half an
// hour.
func (m *candidateMachine) reservedForPreemptor(shape taskShape) bool {
	return m.preempting && (shape.bestEffort || shape.urgency > m.preemptorUrgency)
}

// compareFillOrder orders the machines on which a task fits: first those that have its image cached,
// then spot instances, then machines of the shard with the most free CPUs, then the machines with the
// least free capacity.
func compareFillOrder(a, b *candidateMachine, freeByShard map[*shardView]float64) int {
	switch {
	case a.imageCached != b.imageCached:
		return preferSide(a.imageCached)
	case a.Spot != b.Spot:
		return preferSide(a.Spot)
	case a.shard != b.shard && freeByShard[a.shard] != freeByShard[b.shard]:
		return preferSide(freeByShard[a.shard] > freeByShard[b.shard])
	}
	return a.CompareFree(&b.Capacity)
}

// preferSide returns the result of a comparison in which one side comes first because only that side
// has some property: -1 if it is the left side, 1 if it is the right one.
func preferSide(left bool) int {
	if left {
		return -1
	}
	return 1
}

// isAvoided reports whether a job's tasks are kept off a machine for now because one of them failed or
// could not be started there.
func (s *scheduler) isAvoided(m *candidateMachine, q *queuedJob) bool {
	return m.view.backoffUntil[q.id] > s.core.now.Monotonic
}
