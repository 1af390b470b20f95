// Package binpacking says which machines a task may run on, whether it fits there, and which of
// several machines it should go to.
//
// It owns the arithmetic of free resources, the constraints of jobs on types, zones and kinds of
// machines, and the order of preference among machines. The leader plans with it and the shard
// that owns a machine places with it, so that both come to the same choice. It is pure: it knows
// neither the queue nor who owns a machine, no clock and no store.
//
// Invariants: what Allocate takes, Release gives back, up to RoundingSlack; no task goes where
// TaskMayRunOn does not allow it.
package binpacking

import (
	"cmp"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// RoundingSlack absorbs rounding in sums of resources.
const RoundingSlack = 1e-6

// Capacity is what is free on a machine, and what else matters for choosing it.
type Capacity struct {
	CPUs, GPUs, MemoryGB float64
	TypeName, Zone       string
	Spot                 bool
	CachedImages         map[string]bool
}

// Fits reports whether there is room for a task of a job.
func (c *Capacity) Fits(job *protocol.Job) bool {
	return c.CPUs+RoundingSlack >= job.CPUs &&
		c.GPUs+RoundingSlack >= job.GPUs &&
		c.MemoryGB+RoundingSlack >= job.MemoryGB
}

// Allocate takes the resources of a task.
func (c *Capacity) Allocate(job *protocol.Job) {
	c.CPUs -= job.CPUs
	c.GPUs -= job.GPUs
	c.MemoryGB -= job.MemoryGB
}

// Release gives the resources of a task back.
func (c *Capacity) Release(job *protocol.Job) {
	c.CPUs += job.CPUs
	c.GPUs += job.GPUs
	c.MemoryGB += job.MemoryGB
}

// HasImage reports whether the machine need not pull an image.
func (c *Capacity) HasImage(image string) bool { return c.CachedImages[image] }

// AllowsJob reports whether a job allows the machine's type, zone and kind.
func (c *Capacity) AllowsJob(job *protocol.Job) bool {
	return AllowsMachine(job, c.TypeName, c.Zone, c.Spot)
}

// AllowsTask reports whether a task of a job may be on the machine: see TaskMayRunOn.
func (c *Capacity) AllowsTask(record *records.Job, taskIndex int) bool {
	return TaskMayRunOn(record, taskIndex, c.TypeName, c.Zone, c.Spot)
}

// CompareFree orders machines by what is free on them, the least first.
func (c *Capacity) CompareFree(other *Capacity) int {
	return cmp.Or(cmp.Compare(c.CPUs, other.CPUs), cmp.Compare(c.MemoryGB, other.MemoryGB))
}

// BetterFit reports whether a is the better of two machines that a task fits on: first one that
// holds its image, since a pull is paid and waited for, then a spot instance, then the one with
// less free, so that tasks are consolidated. On-demand machines that are not needed are
// unschedulable and do not come here.
func BetterFit(a, b *Capacity, image string) bool {
	if cachedOnA, cachedOnB := a.HasImage(image), b.HasImage(image); cachedOnA != cachedOnB {
		return cachedOnA
	}
	if a.Spot != b.Spot {
		return a.Spot
	}
	return a.CompareFree(b) < 0
}
