package estimator

import (
	"cmp"
	"fmt"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Key identifies tasks whose durations are averaged: those of jobs with the same team, class, and
// CPUs and GPUs per task.
type Key struct {
	Team, Class string
	CPUs, GPUs  float64
}

// KeyOf returns the key of a job's tasks.
func KeyOf(job *protocol.Job) Key { return Key{job.Team, job.Class, job.CPUs, job.GPUs} }

// String formats a key for operators.
func (k Key) String() string { return fmt.Sprintf("%s %s %g %g", k.Team, k.Class, k.CPUs, k.GPUs) }

func (k Key) compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.Team, other.Team),
		cmp.Compare(k.Class, other.Class),
		cmp.Compare(k.CPUs, other.CPUs),
		cmp.Compare(k.GPUs, other.GPUs),
	)
}

// sameDemand reports whether tasks of both keys need the same number of GPUs or, if they need none,
// the same number of CPUs.
func (k Key) sameDemand(other Key) bool {
	return k.GPUs == other.GPUs && (other.GPUs > 0 || k.CPUs == other.CPUs)
}

// RunningMean is a mean of durations in seconds. Once it holds a given number of durations, newer
// ones displace the older ones gradually. The zero value is ready to use.
type RunningMean struct {
	mean   float64
	count  float64 // weight of the mean, in durations; bounded by Estimator.maxTasks
	lastAt float64 // wall-clock time of the newest duration, in seconds
}

// Empty reports whether no duration was observed.
func (m *RunningMean) Empty() bool { return m.count == 0 }

func (m *RunningMean) add(seconds, now, maxCount float64) {
	m.count = min(m.count+1, maxCount)
	m.mean += (seconds - m.mean) / m.count
	m.lastAt = now
}

// merge combines the mean with another one, weighted by their counts. It does not update lastAt.
func (m *RunningMean) merge(other *RunningMean) {
	m.mean = (m.mean*m.count + other.mean*other.count) / (m.count + other.count)
	m.count += other.count
}
