package core

import (
	"math"
	"sort"

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
	for name, rec := range o.unseen() {
		mt := o.c.types()[rec.Type]
		if mt == nil {
			u = usage{cpus: math.Inf(1), gpus: math.Inf(1)}
			break
		}
		u.cpus += mt.CPUs
		u.gpus += mt.GPUs
		if v := o.rigs.get(name); v != nil {
			u.cpus -= v.taken.cpus // these are counted already
			u.gpus -= v.taken.gpus
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
		sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].j.rec.At < jobs[b].j.rec.At })
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

// overLimit reports whether n more tasks would take a team past its limit.
func (o *orchestrator) overLimit(s *wire.Job, n float64, p *plan) bool {
	t, u := o.c.team(s.Team), p.use[s.Team]
	return t != nil && (t.CPUsMax > 0 && u.cpus+n*s.CPUs > t.CPUsMax+slack ||
		t.GPUsMax > 0 && u.gpus+n*s.GPUs > t.GPUsMax+slack)
}
