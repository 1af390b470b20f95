package simulation

import (
	"math"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/fairshare"
)

// Share is how a class of a team fared.
type Share struct {
	Jobs, Started, Done int
	Half                float64 // CPU seconds that the smaller half of its jobs takes
}

// Shares counts the jobs that were accepted up to a moment and not cancelled, by class
// and team. Jobs that fail wherever they run can't be served and do not count.
func (u *Users) Shares(until time.Duration) map[fairshare.Account]*Share {
	out := map[fairshare.Account]*Share{}
	work := map[fairshare.Account][]float64{}
	for _, j := range u.jobs {
		if !j.Accepted || j.cancelRequested || j.Mistaken || j.submittedAt > until {
			continue
		}
		s := &j.Spec
		a := fairshare.Account{Team: s.Team, Class: s.Class}
		x := out[a]
		if x == nil {
			x = &Share{}
			out[a] = x
		}
		x.Jobs++
		if len(j.completed) > 0 || len(j.machines) > 0 {
			x.Started++
		}
		if len(j.completed) == s.Tasks {
			x.Done++
		}
		work[a] = append(work[a], float64(s.Tasks)*s.CPUs*j.RunS)
	}
	for a, list := range work {
		slices.Sort(list)
		for _, w := range list[:int(math.Ceil(float64(len(list))/2))] {
			out[a].Half += w
		}
	}
	return out
}

// FloorsBroken lists the classes of which less than half is done although the capacity
// that their team could use, in CPU seconds, was enough for the smaller half of the jobs
// of each of its classes. judged is of how many classes that is so.
func (u *Users) FloorsBroken(until time.Duration, capacity map[string]float64) (broken []fairshare.Account, judged int) {
	need := map[string]float64{}
	shares := u.Shares(until)
	for a, x := range shares {
		need[a.Team] += x.Half
	}
	for a, x := range shares {
		if need[a.Team] > capacity[a.Team] {
			continue
		}
		judged++
		if 2*x.Done < x.Jobs {
			broken = append(broken, a)
		}
	}
	slices.SortFunc(broken, func(x, y fairshare.Account) int {
		return slices.Compare([]string{x.Team, x.Class}, []string{y.Team, y.Class})
	})
	return broken, judged
}

// Reasons lists what the users of the jobs that are not over were told last.
func (u *Users) Reasons() []string {
	var out []string
	for _, j := range u.jobs {
		if j.Answer.Reason != "" {
			out = append(out, j.Answer.Reason)
		}
	}
	return out
}
