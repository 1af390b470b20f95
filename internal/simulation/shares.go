package simulation

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/fairshare"
)

// ClassProgress is how a class of a team fared.
type ClassProgress struct {
	Jobs                  int     // that count
	Started               int     // those of them with a task that has been on a machine
	Done                  int     // those of them of which all tasks have completed
	SmallerHalfCPUSeconds float64 // CPU seconds that the smaller half of its jobs takes
}

// ClassProgress counts the jobs that were handed in up to a moment, accepted and not cancelled, by
// team and class. Jobs that fail wherever they run can't be served and do not count.
func (u *Users) ClassProgress(until time.Duration) map[fairshare.Account]*ClassProgress {
	shares := map[fairshare.Account]*ClassProgress{}
	cpuSeconds := map[fairshare.Account][]float64{}
	for _, job := range u.jobs {
		if !job.Accepted || job.cancelRequested || job.FailsEverywhere || job.submittedAt > until {
			continue
		}
		account := fairshare.Account{Team: job.Spec.Team, Class: job.Spec.Class}
		if shares[account] == nil {
			shares[account] = &ClassProgress{}
		}
		shares[account].count(job)
		cpuSeconds[account] = append(cpuSeconds[account], float64(job.Spec.Tasks)*job.Spec.CPUs*job.RunS)
	}
	for account, amounts := range cpuSeconds {
		shares[account].SmallerHalfCPUSeconds = sumOfSmallerHalf(amounts)
	}
	return shares
}

// count counts a job.
func (s *ClassProgress) count(job *Job) {
	s.Jobs++
	if len(job.completed) > 0 || len(job.machines) > 0 {
		s.Started++
	}
	if len(job.completed) == job.Spec.Tasks {
		s.Done++
	}
}

// sumOfSmallerHalf sorts amounts and sums up the smaller half of them.
func sumOfSmallerHalf(amounts []float64) (sum float64) {
	slices.Sort(amounts)
	for _, amount := range amounts[:int(math.Ceil(float64(len(amounts))/2))] {
		sum += amount
	}
	return sum
}

// UnderservedClasses lists the classes of which less than half is done although the capacity
// that their team could use, in CPU seconds, was enough for the smaller half of the jobs
// of each of its classes. judged is of how many classes that is so.
func (u *Users) UnderservedClasses(until time.Duration, capacity map[string]float64) (broken []fairshare.Account, judged int) {
	shares := u.ClassProgress(until)
	needed := map[string]float64{} // by team
	for account, share := range shares {
		needed[account.Team] += share.SmallerHalfCPUSeconds
	}
	for account, share := range shares {
		if needed[account.Team] > capacity[account.Team] {
			continue
		}
		judged++
		if 2*share.Done < share.Jobs {
			broken = append(broken, account)
		}
	}
	slices.SortFunc(broken, func(a, b fairshare.Account) int {
		if order := strings.Compare(a.Team, b.Team); order != 0 {
			return order
		}
		return strings.Compare(a.Class, b.Class)
	})
	return broken, judged
}
