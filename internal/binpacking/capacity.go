package binpacking

import (
	"cmp"
	"slices"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// RoundingSlack absorbs rounding in sums of resources.
const RoundingSlack = 1e-6

// Capacity is what is free on a machine, and what matters for choosing it. The
// leader plans with it and the part that owns the machine places with it.
type Capacity struct {
	CPUs, GPUs, MemoryGB float64
	TypeName, Zone       string
	Spot                 bool
	CachedImages         map[string]bool
}

func (r *Capacity) Fits(j *protocol.Job) bool {
	return r.CPUs+RoundingSlack >= j.CPUs && r.GPUs+RoundingSlack >= j.GPUs && r.MemoryGB+RoundingSlack >= j.MemoryGB
}

func (r *Capacity) Allocate(j *protocol.Job) {
	r.CPUs -= j.CPUs
	r.GPUs -= j.GPUs
	r.MemoryGB -= j.MemoryGB
}

func (r *Capacity) Release(j *protocol.Job) {
	r.CPUs += j.CPUs
	r.GPUs += j.GPUs
	r.MemoryGB += j.MemoryGB
}

func (r *Capacity) HasImage(image string) bool { return r.CachedImages[image] }

// ImageCache is what a machine's cache should hold: it keeps those that were used
// last, as many as fit.
type ImageCache struct {
	Recency []string // used last at the end
	Cached  map[string]bool
	sizesGB map[string]float64
	totalGB float64
}

// Use notes that an image is used, and reports whether it is new.
func (x *ImageCache) Use(name string, gb, cache float64) bool {
	if x.Cached == nil {
		x.Cached, x.sizesGB = map[string]bool{}, map[string]float64{}
	}
	fresh := !x.Cached[name]
	if fresh {
		x.Cached[name], x.sizesGB[name] = true, gb
		x.totalGB += gb
	} else {
		x.Recency = slices.DeleteFunc(x.Recency, func(n string) bool { return n == name })
	}
	x.Recency = append(x.Recency, name)
	for x.totalGB > cache && len(x.Recency) > 1 {
		old := x.Recency[0]
		x.Recency = x.Recency[1:]
		x.totalGB -= x.sizesGB[old]
		delete(x.Cached, old)
		delete(x.sizesGB, old)
	}
	return fresh
}

// AllowsType reports whether a job may run on a machine type at all.
func AllowsType(j *protocol.Job, typ string) bool {
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

// FitsMachineType reports whether an empty machine of the type has room for one task.
func FitsMachineType(t *protocol.MachineType, j *protocol.Job) bool {
	return t.CPUs+RoundingSlack >= j.CPUs && t.GPUs+RoundingSlack >= j.GPUs && t.MemoryGB+RoundingSlack >= j.MemoryGB
}

// AllowsMachine reports whether a job allows a type, zone and kind of machine.
func AllowsMachine(j *protocol.Job, typ, zone string, spot bool) bool {
	return AllowsType(j, typ) && (j.Zone == "" || j.Zone == zone) && (!spot || j.AllowSpot)
}

// TaskMayRunOn reports whether task i of a job may be on such a machine. Guards
// against wrong_place: type, zone and kind, and for a job tied to one zone or
// spread over two, the zones written into its record before its first start.
func TaskMayRunOn(rec *records.Job, i int, typ, zone string, spot bool) bool {
	j := &rec.Spec
	if !AllowsMachine(j, typ, zone, spot) {
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

// BetterFit reports whether a is the better room of two that fit: first one that
// holds the image, since a fetch is paid and waited for, then a cheap one, then
// the one that is left with less (consolidated). Dear machines that are not
// needed are parked and do not come here.
func BetterFit(a, b *Capacity, image string) bool {
	if x, y := a.HasImage(image), b.HasImage(image); x != y {
		return x
	}
	if a.Spot != b.Spot {
		return a.Spot
	}
	return a.TighterThan(b)
}

// TighterThan reports whether less is left here than there.
func (r *Capacity) TighterThan(b *Capacity) bool { return r.CompareFree(b) < 0 }

// CompareFree orders rooms by what is left in them, the least first.
func (r *Capacity) CompareFree(b *Capacity) int {
	return cmp.Or(cmp.Compare(r.CPUs, b.CPUs), cmp.Compare(r.MemoryGB, b.MemoryGB))
}
