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

// usage is what tasks take.
type usage struct{ cpus, gpus, memoryGB float64 }

// add adds what so many tasks of a job take.
func (u *usage) add(spec *protocol.Job, tasks float64) {
	u.cpus += tasks * spec.CPUs
	u.gpus += tasks * spec.GPUs
	u.memoryGB += tasks * spec.MemoryGB
}

// exceeds reports whether this is more than a team may use. A limit of 0 is none.
func (u *usage) exceeds(team *config.Team) bool {
	return team.CPUsMax > 0 && u.cpus > team.CPUsMax+binpacking.RoundingSlack ||
		team.GPUsMax > 0 && u.gpus > team.GPUsMax+binpacking.RoundingSlack
}

// addUsage counts a task that is dispatched in this round.
func (r *schedulingRound) addUsage(spec *protocol.Job, bestEffort bool) {
	if used := r.teamUsage[spec.Team]; used != nil {
		used.add(spec, 1)
	}
	if bestEffort {
		r.bestEffortCPUs += spec.CPUs
	}
}

// computeTeamUsage is what each team's tasks may be taking. Every machine that has not been seen
// counts as full of the team's tasks.
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

// unseenCapacity is what tasks that this leader does not know may be taking on machines that it has
// not seen.
func (s *scheduler) unseenCapacity() usage {
	var unseen usage
	for name, view := range s.machines.All() { // every machine of the registry has a view
		switch {
		case !view.registered || view.listComplete() || view.terminating && s.core.fleet.wasDeleted(name):
		case view.machineType == nil:
			unseen.cpus, unseen.gpus = math.Inf(1), math.Inf(1)
		default:
			// What its known tasks take is counted already.
			unseen.cpus += view.machineType.CPUs - view.used.cpus
			unseen.gpus += view.machineType.GPUs - view.used.gpus
		}
	}
	return unseen
}

// markWithinGuarantee marks the jobs that, with their team's earlier unfinished ones, fit into the
// team's guarantee.
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

// overLimitReason says why so many more tasks of a job may not be dispatched: they would take its
// team past its limit, or the team is best-effort and the others need the room. It is empty if they
// may.
func (s *scheduler) overLimitReason(spec *protocol.Job, tasks float64, round *schedulingRound) string {
	team := s.core.team(spec.Team)
	if team == nil {
		return ""
	}
	after := *round.teamUsage[spec.Team]
	after.add(spec, tasks)
	switch {
	case after.exceeds(team):
		return fmt.Sprintf("team %s is at its limit", spec.Team)
	case s.core.bestEffortTeams[spec.Team] && round.bestEffortCPUs+tasks*spec.CPUs > round.bestEffortLimit:
		return fmt.Sprintf("team %s has no guarantee and waits for what the others leave", spec.Team)
	}
	return ""
}

// bestEffortTeams lists the teams that have no guarantee where others have one.
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
	// bestEffortShare is the share of the machines that best-effort teams may use whatever the
	// others need, so that they do not starve.
	bestEffortShare = 1.0 / 8

	// inflowHeadroom is the share of the other teams' inflow that is kept free of best-effort
	// tasks.
	inflowHeadroom = 1.0 / 2

	// minInflowCPUs is the least inflow that counts. What is left of an inflow that ended long
	// ago once kept a gang that needs every machine from starting, for a millionth of a CPU.
	minInflowCPUs = 1
)

// limitBestEffort works out what best-effort teams may take in a round: what the others' work, as
// it has been coming in, does not need.
//
// Guards against long best-effort tasks that fill every machine in a quiet moment: with an inflow
// of 2,600 CPUs of reports they once held 5,000 of 6,000 CPUs for minutes, and a team did not even
// get its guarantee.
//
// The others do not need what is left on machines that were given nothing for long either. Guards
// against a best-effort team that waits beside idle machines after a burst of the others.
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
