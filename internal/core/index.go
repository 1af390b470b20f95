package core

import (
	"iter"
	"slices"
)

// index is a map whose names are kept in order: a walk in a settled order costs
// no sort. With a thousand machines the sorts took more of the processor than
// all decisions together.
type index[V any] struct {
	byName map[string]V
	names  []string // a walk keeps the slice it began with, so deletes make a new one
}

func newIndex[V any]() *index[V] { return &index[V]{byName: map[string]V{}} }

func (x *index[V]) get(name string) V { return x.byName[name] }

func (x *index[V]) len() int { return len(x.names) }

func (x *index[V]) set(name string, v V) {
	if _, ok := x.byName[name]; !ok {
		if n := len(x.names); n == 0 || x.names[n-1] < name {
			x.names = append(x.names, name)
		} else {
			at, _ := slices.BinarySearch(x.names, name)
			x.names = slices.Concat(x.names[:at], []string{name}, x.names[at:])
		}
	}
	x.byName[name] = v
}

func (x *index[V]) delete(name string) {
	if _, ok := x.byName[name]; !ok {
		return
	}
	delete(x.byName, name)
	at, _ := slices.BinarySearch(x.names, name)
	x.names = slices.Concat(x.names[:at], x.names[at+1:])
}

// all walks in the order of the names. What is deleted on the way is left out,
// what is added need not be met.
func (x *index[V]) all() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, name := range x.names {
			if v, ok := x.byName[name]; ok && !yield(name, v) {
				return
			}
		}
	}
}
