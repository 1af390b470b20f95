package core

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// usage is what tasks take.
type usage struct{ cpus, gpus, mem float64 }

func (u *usage) add(s *wire.Job, n float64) {
	u.cpus += n * s.CPUs
	u.gpus += n * s.GPUs
	u.mem += n * s.MemoryGB
}

// use is what each team's tasks may be taking. Every machine that has not been
// seen counts as full of the team's tasks.
func (o *orchestrator) use() map[string]*usage {
	var u usage
	for name, v := range o.rigs.all() { // every machine of the register has a view
		switch {
		case !v.registered || v.known() || v.leaving && o.c.fleet.wasDeleted(name):
		case v.mt == nil:
			u.cpus, u.gpus = math.Inf(1), math.Inf(1)
		default:
			u.cpus += v.mt.CPUs - v.taken.cpus // these are counted already
			u.gpus += v.mt.GPUs - v.taken.gpus
		}
	}
	use := map[string]*usage{}
	for i := range o.c.set.Site.Teams {
		t := o.c.set.Site.Teams[i].Name
		x := usage{cpus: max(u.cpus, 0), gpus: max(u.gpus, 0)}
		if own := o.used[t]; own != nil {
			x.cpus += own.cpus
			x.gpus += own.gpus
		}
		use[t] = &x
	}
	return use
}

// guarantees marks the jobs that, with their team's earlier unfinished ones,
// fit into the team's guarantee.
func (o *orchestrator) guarantees() {
	byTeam := map[string][]*queued{}
	for _, q := range o.queue.all() {
		q.in = false
		if !q.j.final() {
			byTeam[q.j.rec.Spec.Team] = append(byTeam[q.j.rec.Spec.Team], q)
		}
	}
	for i := range o.c.set.Site.Teams {
		t := &o.c.set.Site.Teams[i]
		jobs := byTeam[t.Name]
		slices.SortStableFunc(jobs, func(a, b *queued) int { return cmp.Compare(a.j.since(), b.j.since()) })
		var cpus, gpus float64
		for _, q := range jobs {
			s := &q.j.rec.Spec
			n := float64(s.Tasks)
			cpus += n * s.CPUs
			gpus += n * s.GPUs
			if cpus > t.CPUs+slack || gpus > t.GPUs+slack {
				break
			}
			q.in = true
		}
	}
}

// overLimit says why n more tasks of a team may not be dispatched, if so: they
// would take it past its limit, or they are a guest's and the others need the room.
func (o *orchestrator) overLimit(s *wire.Job, n float64, p *plan) string {
	t, u := o.c.team(s.Team), p.use[s.Team]
	switch {
	case t == nil:
	case t.CPUsMax > 0 && u.cpus+n*s.CPUs > t.CPUsMax+slack || t.GPUsMax > 0 && u.gpus+n*s.GPUs > t.GPUsMax+slack:
		return fmt.Sprintf("team %s is at its limit", s.Team)
	case o.c.guests[s.Team] && p.guests+n*s.CPUs > p.spare:
		return fmt.Sprintf("team %s has no guarantee and waits for what the others leave", s.Team)
	}
	return ""
}

// guestTeams lists the teams that have no guarantee where others have one.
func guestTeams(teams []config.Team) map[string]bool {
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

// guestShare is the share of the machines that guests may use whatever the others
// need, so that they do not starve.
const guestShare = 1.0 / 8

// leave works out what guests may take: what the others' work, as it has been
// coming in, does not need.
//
// Guards against long tasks of a guest that fill every machine in a quiet moment:
// with an inflow of 2,600 CPUs of reports they once held 5,000 of 6,000 CPUs for
// minutes, and a team did not even get its guarantee.
//
// What is left on machines that were given nothing for so long the others do not need
// either. Guards against a guest that waits beside idle machines after a burst of theirs.
func (o *orchestrator) leave(p *plan) {
	var all, idle float64
	for _, m := range p.rooms {
		all += m.view.mt.CPUs
		if o.c.now.Steady-m.view.takenAt >= o.c.times.idle {
			idle += m.cpus
		}
	}
	// Less than a CPU is nothing: what is left of an inflow that ended long ago once kept
	// a gang that needs every machine from starting, for a millionth of a CPU.
	hosts := o.c.fleet.hosts
	if hosts < 1 {
		hosts = 0
	}
	p.spare = max(all-hosts/2, all*guestShare)
	for t := range o.c.guests {
		if own := o.used[t]; own != nil {
			p.guests += own.cpus
		}
	}
	p.spare = max(p.spare, p.guests+idle)
}
