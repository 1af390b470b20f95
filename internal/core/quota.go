package core

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// usage is a sum of the resources that tasks occupy.
type usage struct{ cpus, gpus, memoryGB float64 }

// add adds the resources of the given number of tasks of a job; a negative number subtracts them.
func (u *usage) add(spec *protocol.Job, tasks float64) {
	u.cpus += tasks * spec.CPUs
	u.gpus += tasks * spec.GPUs
	u.memoryGB += tasks * spec.MemoryGB
}

// exceeds reports whether the usage is above a team's limit. A limit of 0 means no limit.
func (u *usage) exceeds(team *config.Team) bool {
	return team.CPUsMax > 0 && u.cpus > team.CPUsMax+binpacking.RoundingSlack ||
		team.GPUsMax > 0 && u.gpus > team.GPUsMax+binpacking.RoundingSlack
}

// addUsage adds a task that is dispatched in this round to its team's usage.
func (r *schedulingRound) addUsage(spec *protocol.Job, bestEffort bool) {
	if used := r.teamUsage[spec.Team]; used != nil {
		used.add(spec, 1)
	}
	if bestEffort {
		r.bestEffortCPUs += spec.CPUs
	}
}

// computeTeamUsage returns the most CPUs and GPUs that each team's tasks can be using now. The unknown part
// of every machine that has not been seen yet counts as fully occupied by each team, so that no limit
// can be exceeded by tasks of which this leader does not know.
func (s *scheduler) computeTeamUsage() map[string]*usage {
	unseen := s.unseenCapacity()
	byTeam := map[string]*usage{}
	for i := range s.core.settings.Site.Teams {
		team := s.core.settings.Site.Teams[i].Name
		used := usage{cpus: max(unseen.cpus, 0), gpus: max(unseen.gpus, 0)}
		if tracked := s.teamUsage[team]; tracked != nil {
			used.cpus += tracked.cpus
			used.gpus += tracked.gpus
		}
		byTeam[team] = &used
	}
	return byTeam
}

// unseenCapacity returns the resources that tasks unknown to this leader may occupy on machines that it
// has not seen yet.
func (s *scheduler) unseenCapacity() usage {
	var unseen usage
	for name, view := range s.machines.All() { // every machine of the registry has a view
		switch {
		case !view.registered || view.listComplete() || view.terminating && s.core.fleet.wasDeleted(name):
		case view.machineType == nil:
			unseen.cpus, unseen.gpus = math.Inf(1), math.Inf(1)
		default:
			// The usage of its known tasks is already counted for their teams.
			unseen.cpus += view.machineType.CPUs - view.used.cpus
			unseen.gpus += view.machineType.GPUs - view.used.gpus
		}
	}
	return unseen
}

// markWithinGuarantee marks the jobs that, together with their team's unfinished jobs that have waited
// longer, fit into the team's guarantee.
func (s *scheduler) markWithinGuarantee() {
	byTeam := map[string][]*queuedJob{}
	for _, q := range s.queue.All() {
		q.withinGuarantee = false
		if !q.entry.isFinal() {
			byTeam[q.spec().Team] = append(byTeam[q.spec().Team], q)
		}
	}
	for i := range s.core.settings.Site.Teams {
		team := &s.core.settings.Site.Teams[i]
		jobs := byTeam[team.Name]
		slices.SortStableFunc(jobs, func(a, b *queuedJob) int {
			return cmp.Compare(a.entry.waitingSince(), b.entry.waitingSince())
		})
		var total usage
		for _, q := range jobs {
			total.add(q.spec(), float64(q.spec().Tasks))
			if total.cpus > team.CPUs+binpacking.RoundingSlack || total.gpus > team.GPUs+binpacking.RoundingSlack {
				break
			}
			q.withinGuarantee = true
		}
	}
}

// overLimitReason returns the reason for which the given number of tasks of a job may not be dispatched
// in addition: they would exceed the team's limit, or the team is best-effort and the capacity is kept
// for the other teams. It is empty if they may be dispatched.
func (s *scheduler) overLimitReason(spec *protocol.Job, tasks float64, round *schedulingRound) string {
	team := s.core.team(spec.Team)
	if team == nil {
		return ""
	}
	usageWithTasks := *round.teamUsage[spec.Team]
	usageWithTasks.add(spec, tasks)
	switch {
	case usageWithTasks.exceeds(team):
		return fmt.Sprintf("team %s is at its limit", spec.Team)
	case s.core.bestEffortTeams[spec.Team] && round.bestEffortCPUs+tasks*spec.CPUs > round.bestEffortLimit:
		return fmt.Sprintf("team %s has no guarantee and waits for what the others leave", spec.Team)
	}
	return ""
}

// bestEffortTeams returns the teams that have no guarantee. If no team has one, it returns nil: no team
// is best-effort then.
func bestEffortTeams(teams []config.Team) map[string]bool {
	bestEffort := map[string]bool{}
	for i := range teams {
		if team := &teams[i]; team.CPUs == 0 && team.GPUs == 0 {
			bestEffort[team.Name] = true
		}
	}
	if len(bestEffort) == len(teams) {
		return nil
	}
	return bestEffort
}

const (
	// bestEffortShare is the share of all CPUs that best-effort teams may use regardless of what the
	// other teams need, so that best-effort teams do not starve.
	bestEffortShare = 1.0 / 8

	// inflowHeadroom is the share of the other teams' inflow, in CPUs, that is kept free of
	// best-effort tasks.
	inflowHeadroom = 1.0 / 2

	// minInflowCPUs is the smallest inflow that counts. The inflow decays but never reaches zero: a
	// remainder of a millionth of a CPU, from work that had ended long before, once kept a gang that
	// needs every machine from starting.
	minInflowCPUs = 1
)

// limitBestEffort computes how many CPUs best-effort teams may occupy in a round: those that the other
// teams do not need, judging by the recent inflow of their work.
//
// Without this limit, long best-effort tasks fill every machine whenever the other teams have little
// work for a short time. With an inflow of 2,600 CPUs of other teams' jobs, they once held 5,000 of
// 6,000 CPUs for minutes, and a team did not even get its guarantee.
//
// Free CPUs of machines that got no new task for reservationExpiry are available as well. Otherwise a
// best-effort team would wait while machines are idle after a burst of the other teams' work.
func (s *scheduler) limitBestEffort(round *schedulingRound) {
	var total, idle float64
	for _, machine := range round.machines {
		total += machine.view.machineType.CPUs
		if s.core.now.Monotonic-machine.view.lastClaimedAt >= s.core.intervals.reservationExpiry {
			idle += machine.CPUs
		}
	}
	inflow := s.core.fleet.guaranteedInflow
	if inflow < minInflowCPUs {
		inflow = 0
	}
	for team := range s.core.bestEffortTeams {
		if used := s.teamUsage[team]; used != nil {
			round.bestEffortCPUs += used.cpus
		}
	}
	round.bestEffortLimit = max(total-inflow*inflowHeadroom, total*bestEffortShare, round.bestEffortCPUs+idle)
}
