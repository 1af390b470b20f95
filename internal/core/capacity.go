package core

import (
	"cmp"
	"slices"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// roundingSlack absorbs rounding in sums of resources.
const roundingSlack = 1e-6

// freeCapacity is what is free on a machine, and what matters for choosing it. The
// leader plans with it and the part that owns the machine places with it.
type freeCapacity struct {
	cpus, gpus, memoryGB float64
	typeName, zone       string
	spot                 bool
	cachedImages         map[string]bool
}

func (r *freeCapacity) fits(j *protocol.Job) bool {
	return r.cpus+roundingSlack >= j.CPUs && r.gpus+roundingSlack >= j.GPUs && r.memoryGB+roundingSlack >= j.MemoryGB
}

func (r *freeCapacity) allocate(j *protocol.Job) {
	r.cpus -= j.CPUs
	r.gpus -= j.GPUs
	r.memoryGB -= j.MemoryGB
}

func (r *freeCapacity) release(j *protocol.Job) {
	r.cpus += j.CPUs
	r.gpus += j.GPUs
	r.memoryGB += j.MemoryGB
}

func (r *freeCapacity) hasImage(image string) bool { return r.cachedImages[image] }

// imageCache is what a machine's cache should hold: it keeps those that were used
// last, as many as fit.
type imageCache struct {
	recency []string // used last at the end
	cached  map[string]bool
	sizesGB map[string]float64
	totalGB float64
}

// use notes that an image is used, and reports whether it is new.
func (x *imageCache) use(name string, gb, cache float64) bool {
	if x.cached == nil {
		x.cached, x.sizesGB = map[string]bool{}, map[string]float64{}
	}
	fresh := !x.cached[name]
	if fresh {
		x.cached[name], x.sizesGB[name] = true, gb
		x.totalGB += gb
	} else {
		x.recency = slices.DeleteFunc(x.recency, func(n string) bool { return n == name })
	}
	x.recency = append(x.recency, name)
	for x.totalGB > cache && len(x.recency) > 1 {
		old := x.recency[0]
		x.recency = x.recency[1:]
		x.totalGB -= x.sizesGB[old]
		delete(x.cached, old)
		delete(x.sizesGB, old)
	}
	return fresh
}

// allowsType reports whether a job may run on a machine type at all.
func allowsType(j *protocol.Job, typ string) bool {
	if len(j.MachineTypes) == 0 {
		return true
	}
	for _, t := range j.MachineTypes {
		if t == typ {
			return true
		}
	}
	return false
}

// fitsEmptyMachine reports whether an empty machine of the type has room for one task.
func fitsEmptyMachine(t *protocol.MachineType, j *protocol.Job) bool {
	return t.CPUs+roundingSlack >= j.CPUs && t.GPUs+roundingSlack >= j.GPUs && t.MemoryGB+roundingSlack >= j.MemoryGB
}

// allowsMachine reports whether a job allows a type, zone and kind of machine.
func allowsMachine(j *protocol.Job, typ, zone string, spot bool) bool {
	return allowsType(j, typ) && (j.Zone == "" || j.Zone == zone) && (!spot || j.AllowSpot)
}

// taskMayRunOn reports whether task i of a job may be on such a machine. Guards
// against wrong_place: type, zone and kind, and for a job tied to one zone or
// spread over two, the zones written into its record before its first start.
func taskMayRunOn(rec *records.Job, i int, typ, zone string, spot bool) bool {
	j := &rec.Spec
	if !allowsMachine(j, typ, zone, spot) {
		return false
	}
	switch {
	case j.OneZone:
		return len(rec.Zones) == 1 && rec.Zones[0] == zone
	case j.Spread:
		return len(rec.Zones) > 0 && rec.Zones[i%len(rec.Zones)] == zone
	}
	return true
}

// betterFit reports whether a is the better room of two that fit: first one that
// holds the image, since a fetch is paid and waited for, then a cheap one, then
// the one that is left with less (consolidated). Dear machines that are not
// needed are parked and do not come here.
func betterFit(a, b *freeCapacity, image string) bool {
	if x, y := a.hasImage(image), b.hasImage(image); x != y {
		return x
	}
	if a.spot != b.spot {
		return a.spot
	}
	return a.tighterThan(b)
}

// tighterThan reports whether less is left here than there.
func (r *freeCapacity) tighterThan(b *freeCapacity) bool { return r.compareFree(b) < 0 }

// compareFree orders rooms by what is left in them, the least first.
func (r *freeCapacity) compareFree(b *freeCapacity) int {
	return cmp.Or(cmp.Compare(r.cpus, b.cpus), cmp.Compare(r.memoryGB, b.memoryGB))
}
