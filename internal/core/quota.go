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

func (u *usage) add(s *protocol.Job, n float64) {
	u.cpus += n * s.CPUs
	u.gpus += n * s.GPUs
	u.memoryGB += n * s.MemoryGB
}

// computeTeamUsage is what each team's tasks may be taking. Every machine that has not been
// seen counts as full of the team's tasks.
func (o *scheduler) computeTeamUsage() map[string]*usage {
	var u usage
	for name, v := range o.machines.all() { // every machine of the register has a view
		switch {
		case !v.registered || v.listComplete() || v.leaving && o.core.fleet.wasDeleted(name):
		case v.machineType == nil:
			u.cpus, u.gpus = math.Inf(1), math.Inf(1)
		default:
			u.cpus += v.machineType.CPUs - v.used.cpus // these are counted already
			u.gpus += v.machineType.GPUs - v.used.gpus
		}
	}
	use := map[string]*usage{}
	for i := range o.core.settings.Site.Teams {
		t := o.core.settings.Site.Teams[i].Name
		x := usage{cpus: max(u.cpus, 0), gpus: max(u.gpus, 0)}
		if own := o.teamUsage[t]; own != nil {
			x.cpus += own.cpus
			x.gpus += own.gpus
		}
		use[t] = &x
	}
	return use
}

// markWithinGuarantee marks the jobs that, with their team's earlier unfinished ones,
// fit into the team's guarantee.
func (o *scheduler) markWithinGuarantee() {
	byTeam := map[string][]*queuedJob{}
	for _, q := range o.queue.all() {
		q.withinGuarantee = false
		if !q.entry.isFinal() {
			byTeam[q.entry.record.Spec.Team] = append(byTeam[q.entry.record.Spec.Team], q)
		}
	}
	for i := range o.core.settings.Site.Teams {
		t := &o.core.settings.Site.Teams[i]
		jobs := byTeam[t.Name]
		slices.SortStableFunc(jobs, func(a, b *queuedJob) int { return cmp.Compare(a.entry.waitingSince(), b.entry.waitingSince()) })
		var cpus, gpus float64
		for _, q := range jobs {
			s := &q.entry.record.Spec
			n := float64(s.Tasks)
			cpus += n * s.CPUs
			gpus += n * s.GPUs
			if cpus > t.CPUs+binpacking.RoundingSlack || gpus > t.GPUs+binpacking.RoundingSlack {
				break
			}
			q.withinGuarantee = true
		}
	}
}

// overLimitReason says why n more tasks of a team may not be dispatched, if so: they
// would take it past its limit, or they are a guest's and the others need the room.
func (o *scheduler) overLimitReason(s *protocol.Job, n float64, p *schedulingRound) string {
	t, u := o.core.team(s.Team), p.teamUsage[s.Team]
	switch {
	case t == nil:
	case t.CPUsMax > 0 && u.cpus+n*s.CPUs > t.CPUsMax+binpacking.RoundingSlack || t.GPUsMax > 0 && u.gpus+n*s.GPUs > t.GPUsMax+binpacking.RoundingSlack:
		return fmt.Sprintf("team %s is at its limit", s.Team)
	case o.core.bestEffortTeams[s.Team] && p.bestEffortCPUs+n*s.CPUs > p.bestEffortLimit:
		return fmt.Sprintf("team %s has no guarantee and waits for what the others leave", s.Team)
	}
	return ""
}

// bestEffortTeams lists the teams that have no guarantee where others have one.
func bestEffortTeams(teams []config.Team) map[string]bool {
	guests := map[string]bool{}
	for i := range teams {
		if t := &teams[i]; t.CPUs == 0 && t.GPUs == 0 {
			guests[t.Name] = true
		}
	}
	if len(guests) == len(teams) {
		return nil
	}
	return guests
}

// bestEffortShare is the share of the machines that guests may use whatever the others
// need, so that they do not starve.
const bestEffortShare = 1.0 / 8

// limitBestEffort works out what guests may take: what the others' work, as it has been
// coming in, does not need.
//
// Guards against long tasks of a guest that fill every machine in a quiet moment:
// with an inflow of 2,600 CPUs of reports they once held 5,000 of 6,000 CPUs for
// minutes, and a team did not even get its guarantee.
//
// What is left on machines that were given nothing for so long the others do not need
// either. Guards against a guest that waits beside idle machines after a burst of theirs.
func (o *scheduler) limitBestEffort(p *schedulingRound) {
	var all, idle float64
	for _, m := range p.machines {
		all += m.view.machineType.CPUs
		if o.core.now.Monotonic-m.view.lastClaimedAt >= o.core.intervals.reservationExpiry {
			idle += m.CPUs
		}
	}
	// Less than a CPU is nothing: what is left of an inflow that ended long ago once kept
	// a gang that needs every machine from starting, for a millionth of a CPU.
	hosts := o.core.fleet.guaranteedInflow
	if hosts < 1 {
		hosts = 0
	}
	p.bestEffortLimit = max(all-hosts/2, all*bestEffortShare)
	for t := range o.core.bestEffortTeams {
		if own := o.teamUsage[t]; own != nil {
			p.bestEffortCPUs += own.cpus
		}
	}
	p.bestEffortLimit = max(p.bestEffortLimit, p.bestEffortCPUs+idle)
}
