package simulation

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/fairshare"
)

// ClassProgress holds the number of jobs of a class, and of its jobs that have started or are done.
type ClassProgress struct {
	Jobs                  int     // accepted jobs that Users.ClassProgress counts
	Started               int     // counted jobs with a task that is on a machine or has completed
	Done                  int     // counted jobs whose tasks have all completed
	SmallerHalfCPUSeconds float64 // CPU seconds that the smaller half of the counted jobs needs in total
}

// ClassProgress counts, by team and class, the accepted jobs that were submitted up to the given
// simulated time. Jobs whose user has requested their cancellation do not count, nor do jobs that
// fail on every machine, because they cannot be completed.
func (u *Users) ClassProgress(until time.Duration) map[fairshare.Account]*ClassProgress {
	classes := map[fairshare.Account]*ClassProgress{}
	cpuSecondsByAccount := map[fairshare.Account][]float64{}
	for _, job := range u.jobs {
		if !job.Accepted || job.cancelRequested || job.FailsEverywhere || job.submittedAt > until {
			continue
		}
		account := fairshare.Account{Team: job.Spec.Team, Class: job.Spec.Class}
		if classes[account] == nil {
			classes[account] = &ClassProgress{}
		}
		classes[account].count(job)
		cpuSecondsByAccount[account] = append(cpuSecondsByAccount[account], float64(job.Spec.Tasks)*job.Spec.CPUs*job.RunS)
	}
	for account, amounts := range cpuSecondsByAccount {
		classes[account].SmallerHalfCPUSeconds = sumOfSmallerHalf(amounts)
	}
	return classes
}

// count adds a job to Jobs, Started and Done.
func (p *ClassProgress) count(job *Job) {
	p.Jobs++
	if len(job.completed) > 0 || len(job.machines) > 0 {
		p.Started++
	}
	if len(job.completed) == job.Spec.Tasks {
		p.Done++
	}
}

// sumOfSmallerHalf returns the sum of the smaller half of amounts; of an odd number of amounts it
// includes the middle one. It sorts amounts in place.
func sumOfSmallerHalf(amounts []float64) (sum float64) {
	slices.Sort(amounts)
	for _, amount := range amounts[:int(math.Ceil(float64(len(amounts))/2))] {
		sum += amount
	}
	return sum
}

// UnderservedClasses returns the classes of which less than half of the jobs are done, sorted by
// team and class. capacityByTeam holds the CPU seconds that each team could use. Only classes of
// teams for which this was sufficient for the smaller halves of the jobs of all their classes
// together are evaluated; evaluated is the number of these classes. Jobs count as in ClassProgress.
func (u *Users) UnderservedClasses(until time.Duration, capacityByTeam map[string]float64) (underserved []fairshare.Account, evaluated int) {
	classes := u.ClassProgress(until)
	neededByTeam := map[string]float64{} // CPU seconds, by team
	for account, progress := range classes {
		neededByTeam[account.Team] += progress.SmallerHalfCPUSeconds
	}
	for account, progress := range classes {
		if neededByTeam[account.Team] > capacityByTeam[account.Team] {
			continue
		}
		evaluated++
		if 2*progress.Done < progress.Jobs {
			underserved = append(underserved, account)
		}
	}
	slices.SortFunc(underserved, func(a, b fairshare.Account) int {
		if order := strings.Compare(a.Team, b.Team); order != 0 {
			return order
		}
		return strings.Compare(a.Class, b.Class)
	})
	return underserved, evaluated
}
