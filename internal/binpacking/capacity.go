// Package binpacking decides which machines a task may run on, whether it fits on them, and which of
// several machines is preferred for it.
//
// It owns the arithmetic of free resources, the constraints of jobs on machine types, zones and spot
// instances, and the order of preference among machines. The leader uses it for planning and the
// shard that owns a machine uses it for placement, so that both make the same choice. It is pure: it
// must not know the queue, the owners of machines, a clock or the store.
//
// Invariants: Release restores what Allocate subtracts, up to RoundingSlack; a task is never placed
// on a machine that TaskMayRunOn rejects.
package binpacking

import (
	"cmp"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// RoundingSlack is the tolerance for rounding errors in sums of CPUs, GPUs or gigabytes.
const RoundingSlack = 1e-6

// Capacity holds the free resources of a machine and its other properties that affect placement.
type Capacity struct {
	CPUs, GPUs, MemoryGB float64
	TypeName, Zone       string
	Spot                 bool
	CachedImages         map[string]bool
}

// Fits reports whether the free resources suffice for one task of a job.
func (c *Capacity) Fits(job *protocol.Job) bool {
	return c.CPUs+RoundingSlack >= job.CPUs &&
		c.GPUs+RoundingSlack >= job.GPUs &&
		c.MemoryGB+RoundingSlack >= job.MemoryGB
}

// Allocate subtracts the resources of one task of a job. It does not check that they are free.
func (c *Capacity) Allocate(job *protocol.Job) {
	c.CPUs -= job.CPUs
	c.GPUs -= job.GPUs
	c.MemoryGB -= job.MemoryGB
}

// Release adds back the resources of one task of a job.
func (c *Capacity) Release(job *protocol.Job) {
	c.CPUs += job.CPUs
	c.GPUs += job.GPUs
	c.MemoryGB += job.MemoryGB
}

// HasImage reports whether the machine has an image in its cache, so that it need not pull it.
func (c *Capacity) HasImage(image string) bool { return c.CachedImages[image] }

// AllowsJob reports whether a job allows the machine's type and zone and, if the machine is a spot
// instance, spot instances.
func (c *Capacity) AllowsJob(job *protocol.Job) bool {
	return AllowsMachine(job, c.TypeName, c.Zone, c.Spot)
}

// AllowsTask reports whether a task of a job may run on the machine; see TaskMayRunOn.
func (c *Capacity) AllowsTask(record *records.Job, taskIndex int) bool {
	return TaskMayRunOn(record, taskIndex, c.TypeName, c.Zone, c.Spot)
}

// CompareFree orders machines by free CPUs and then by free memory, the least first.
func (c *Capacity) CompareFree(other *Capacity) int {
	return cmp.Or(cmp.Compare(c.CPUs, other.CPUs), cmp.Compare(c.MemoryGB, other.MemoryGB))
}

// BetterFit reports whether a is preferred over b for a task that fits on both and uses image. A
// machine that has the image cached is preferred, because a pull delays the task while the machine
// is paid for; then a spot instance; then the machine with less free capacity, so that tasks are
// consolidated. On-demand machines that are not needed are unschedulable, so callers do not pass
// them.
func BetterFit(a, b *Capacity, image string) bool {
	if cachedOnA, cachedOnB := a.HasImage(image), b.HasImage(image); cachedOnA != cachedOnB {
		return cachedOnA
	}
	if a.Spot != b.Spot {
		return a.Spot
	}
	return a.CompareFree(b) < 0
}
