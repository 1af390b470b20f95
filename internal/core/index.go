package core

import (
	"iter"
	"slices"
)

// index is a map whose names are walked in order. What comes and goes between two
// walks is merged by the next one, which passes over all of them anyway: kept sorted
// at every change, ten thousand machines that came up cost a copy of all names each.
type index[V any] struct {
	byName map[string]V
	names  []string // in order; a walk keeps the slice it began with, so a merge makes a new one
	come   []string // set since, in no order
	gone   int      // names that are no longer in the map, at most: some may be back
}

func newIndex[V any]() *index[V] { return &index[V]{byName: map[string]V{}} }

func (x *index[V]) get(name string) V { return x.byName[name] }

func (x *index[V]) len() int { return len(x.byName) }

func (x *index[V]) set(name string, v V) {
	if _, ok := x.byName[name]; !ok {
		if n := len(x.names); x.gone == 0 && len(x.come) == 0 && (n == 0 || x.names[n-1] < name) {
			x.names = append(x.names, name)
		} else {
			x.come = append(x.come, name)
		}
	}
	x.byName[name] = v
}

func (x *index[V]) delete(name string) {
	if _, ok := x.byName[name]; ok {
		delete(x.byName, name)
		x.gone++
	}
}

// sorted merges what has come and gone and returns the names in order.
func (x *index[V]) sorted() []string {
	if x.gone == 0 && len(x.come) == 0 {
		return x.names
	}
	slices.Sort(x.come)
	out := make([]string, 0, len(x.byName)+len(x.byName)/8)
	put := func(name string) {
		if _, ok := x.byName[name]; ok && (len(out) == 0 || out[len(out)-1] != name) {
			out = append(out, name)
		}
	}
	come := x.come
	for _, name := range x.names {
		for len(come) > 0 && come[0] < name {
			put(come[0])
			come = come[1:]
		}
		put(name)
	}
	for _, name := range come {
		put(name)
	}
	x.names, x.come, x.gone = out, nil, 0
	return out
}

// all walks in the order of the names. What is deleted on the way is left out,
// what is added need not be met.
func (x *index[V]) all() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, name := range x.sorted() {
			if v, ok := x.byName[name]; ok && !yield(name, v) {
				return
			}
		}
	}
}
