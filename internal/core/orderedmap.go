package core

import (
	"iter"
	"slices"
)

// orderedMap is a map whose names are walked in order. What comes and goes between two
// walks is merged by the next one, which passes over all of them anyway: kept sorted
// at every change, ten thousand machines that came up cost a copy of all names each.
type orderedMap[V any] struct {
	values  map[string]V
	ordered []string // in order; a walk keeps the slice it began with, so a merge makes a new one
	added   []string // set since, in no order
	removed int      // names that are no longer in the map, at most: some may be back
}

func newOrderedMap[V any]() *orderedMap[V] { return &orderedMap[V]{values: map[string]V{}} }

func (x *orderedMap[V]) get(name string) V { return x.values[name] }

func (x *orderedMap[V]) len() int { return len(x.values) }

func (x *orderedMap[V]) set(name string, v V) {
	if _, ok := x.values[name]; !ok {
		if n := len(x.ordered); x.removed == 0 && len(x.added) == 0 && (n == 0 || x.ordered[n-1] < name) {
			x.ordered = append(x.ordered, name)
		} else {
			x.added = append(x.added, name)
		}
	}
	x.values[name] = v
}

func (x *orderedMap[V]) delete(name string) {
	if _, ok := x.values[name]; ok {
		delete(x.values, name)
		x.removed++
	}
}

// sortedNames merges what has come and gone and returns the names in order.
func (x *orderedMap[V]) sortedNames() []string {
	if x.removed == 0 && len(x.added) == 0 {
		return x.ordered
	}
	slices.Sort(x.added)
	out := make([]string, 0, len(x.values)+len(x.values)/8)
	put := func(name string) {
		if _, ok := x.values[name]; ok && (len(out) == 0 || out[len(out)-1] != name) {
			out = append(out, name)
		}
	}
	come := x.added
	for _, name := range x.ordered {
		for len(come) > 0 && come[0] < name {
			put(come[0])
			come = come[1:]
		}
		put(name)
	}
	for _, name := range come {
		put(name)
	}
	x.ordered, x.added, x.removed = out, nil, 0
	return out
}

// all walks in the order of the names. What is deleted on the way is left out,
// what is added need not be met.
func (x *orderedMap[V]) all() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, name := range x.sortedNames() {
			if v, ok := x.values[name]; ok && !yield(name, v) {
				return
			}
		}
	}
}
