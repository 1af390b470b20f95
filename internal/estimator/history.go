package estimator

import (
	"cmp"
	"fmt"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Key is what tasks have in common that are expected to run for equally long.
type Key struct {
	Team, Class string
	CPUs, GPUs  float64
}

// KeyOf is the key of a job's tasks.
func KeyOf(job *protocol.Job) Key { return Key{job.Team, job.Class, job.CPUs, job.GPUs} }

// String shows a key to the operators.
func (k Key) String() string { return fmt.Sprintf("%s %s %g %g", k.Team, k.Class, k.CPUs, k.GPUs) }

func (k Key) compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.Team, other.Team),
		cmp.Compare(k.Class, other.Class),
		cmp.Compare(k.CPUs, other.CPUs),
		cmp.Compare(k.GPUs, other.GPUs),
	)
}

// sameDemand reports whether tasks of another key ask for as many GPUs, or without any for as
// many CPUs.
func (k Key) sameDemand(other Key) bool {
	return k.GPUs == other.GPUs && (other.GPUs > 0 || k.CPUs == other.CPUs)
}

// RunningMean is a mean of durations in seconds that follows the newer ones. The zero value is
// ready.
type RunningMean struct {
	mean   float64
	count  float64 // durations that the mean stands for, bounded
	lastAt float64 // time of day of the newest
}

// Empty reports whether no duration was observed.
func (m *RunningMean) Empty() bool { return m.count == 0 }

func (m *RunningMean) add(seconds, now, maxCount float64) {
	m.count = min(m.count+1, maxCount)
	m.mean += (seconds - m.mean) / m.count
	m.lastAt = now
}

// merge takes in the durations of another mean.
func (m *RunningMean) merge(other *RunningMean) {
	m.mean = (m.mean*m.count + other.mean*other.count) / (m.count + other.count)
	m.count += other.count
}
