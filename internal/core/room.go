package core

import (
	"cmp"
	"slices"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// slack absorbs rounding in sums of resources.
const slack = 1e-6

// room is what is free on a machine, and what matters for choosing it. The
// leader plans with it and the part that owns the machine places with it.
type room struct {
	cpus, gpus, mem float64
	typ, zone       string
	spot            bool
	images          map[string]bool
}

func (r *room) fits(j *wire.Job) bool {
	return r.cpus+slack >= j.CPUs && r.gpus+slack >= j.GPUs && r.mem+slack >= j.MemoryGB
}

func (r *room) take(j *wire.Job) { r.cpus -= j.CPUs; r.gpus -= j.GPUs; r.mem -= j.MemoryGB }

func (r *room) give(j *wire.Job) { r.cpus += j.CPUs; r.gpus += j.GPUs; r.mem += j.MemoryGB }

func (r *room) has(image string) bool { return r.images[image] }

// images is what a machine's cache should hold: it keeps those that were used
// last, as many as fit.
type images struct {
	names []string // used last at the end
	has   map[string]bool
	gb    map[string]float64
	sum   float64
}

// use notes that an image is used, and reports whether it is new.
func (x *images) use(name string, gb, cache float64) bool {
	if x.has == nil {
		x.has, x.gb = map[string]bool{}, map[string]float64{}
	}
	fresh := !x.has[name]
	if fresh {
		x.has[name], x.gb[name] = true, gb
		x.sum += gb
	} else {
		x.names = slices.DeleteFunc(x.names, func(n string) bool { return n == name })
	}
	x.names = append(x.names, name)
	for x.sum > cache && len(x.names) > 1 {
		old := x.names[0]
		x.names = x.names[1:]
		x.sum -= x.gb[old]
		delete(x.has, old)
		delete(x.gb, old)
	}
	return fresh
}

// allows reports whether a job may run on a machine type at all.
func allows(j *wire.Job, typ string) bool {
	if len(j.Types) == 0 {
		return true
	}
	for _, t := range j.Types {
		if t == typ {
			return true
		}
	}
	return false
}

// holds reports whether an empty machine of the type has room for one task.
func holds(t *wire.MachineType, j *wire.Job) bool {
	return t.CPUs+slack >= j.CPUs && t.GPUs+slack >= j.GPUs && t.MemoryGB+slack >= j.MemoryGB
}

// mayUse reports whether a job allows a type, zone and kind of machine.
func mayUse(j *wire.Job, typ, zone string, spot bool) bool {
	return allows(j, typ) && (j.Zone == "" || j.Zone == zone) && (!spot || j.Spot)
}

// mayRun reports whether task i of a job may be on such a machine. Guards
// against wrong_place: type, zone and kind, and for a job tied to one zone or
// spread over two, the zones written into its record before its first start.
func mayRun(rec *wire.JobRecord, i int, typ, zone string, spot bool) bool {
	j := &rec.Spec
	if !mayUse(j, typ, zone, spot) {
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

// better reports whether a is the better room of two that fit: first one that
// holds the image, since a fetch is paid and waited for, then a cheap one, then
// the one that is left with less (consolidated). Dear machines that are not
// needed are parked and do not come here.
func better(a, b *room, image string) bool {
	if x, y := a.has(image), b.has(image); x != y {
		return x
	}
	if a.spot != b.spot {
		return a.spot
	}
	return a.tighter(b)
}

// tighter reports whether less is left here than there.
func (r *room) tighter(b *room) bool { return r.compare(b) < 0 }

// compare orders rooms by what is left in them, the least first.
func (r *room) compare(b *room) int {
	return cmp.Or(cmp.Compare(r.cpus, b.cpus), cmp.Compare(r.mem, b.mem))
}
