// Package orderedmap is a map whose names are walked in order, so that everything that follows
// from a walk comes out the same every time.
//
// It is made for walks over all entries with a few changes in between, as in the rounds of a
// scheduler. Not safe for concurrent use.
package orderedmap

import (
	"iter"
	"slices"
)

// Map is a map from names to values. What is set and deleted between two walks is merged by the
// next one, which passes over all names anyway: kept sorted at every change, ten thousand machines
// that came up cost a copy of all names each.
//
// Invariant: a name of values is in ordered or in added; both may name what was deleted since, and
// then removed is not 0.
type Map[V any] struct {
	values  map[string]V
	ordered []string // as of the last merge; a walk keeps the slice it began with, so a merge makes a new one
	added   []string // set since, in no order
	removed int      // how many were deleted since; some of them may have been set again
}

// New makes an empty map.
func New[V any]() *Map[V] { return &Map[V]{values: map[string]V{}} }

// Get is the value of a name, the zero value if it is not in the map.
func (m *Map[V]) Get(name string) V { return m.values[name] }

// Len is how many names there are.
func (m *Map[V]) Len() int { return len(m.values) }

// Set sets the value of a name.
func (m *Map[V]) Set(name string, value V) {
	if _, ok := m.values[name]; !ok {
		m.addName(name)
	}
	m.values[name] = value
}

// addName appends a name that is the last in order at once, and leaves others to the next merge.
func (m *Map[V]) addName(name string) {
	merged := m.removed == 0 && len(m.added) == 0
	if last := len(m.ordered) - 1; merged && (last < 0 || m.ordered[last] < name) {
		m.ordered = append(m.ordered, name)
	} else {
		m.added = append(m.added, name)
	}
}

// Delete deletes a name, if it is in the map.
func (m *Map[V]) Delete(name string) {
	if _, ok := m.values[name]; ok {
		delete(m.values, name)
		m.removed++
	}
}

// Keys lists the names in order. The caller must not change the slice.
func (m *Map[V]) Keys() []string {
	if m.removed == 0 && len(m.added) == 0 {
		return m.ordered
	}
	slices.Sort(m.added)
	merged := make([]string, 0, len(m.values)+len(m.values)/8) // with room for names that come in order
	appendName := func(name string) {
		_, ok := m.values[name]
		if ok && (len(merged) == 0 || merged[len(merged)-1] != name) {
			merged = append(merged, name)
		}
	}
	added := m.added
	for _, name := range m.ordered {
		for len(added) > 0 && added[0] < name {
			appendName(added[0])
			added = added[1:]
		}
		appendName(name)
	}
	for _, name := range added {
		appendName(name)
	}
	m.ordered, m.added, m.removed = merged, nil, 0
	return merged
}

// All walks in the order of the names. What is deleted on the way is left out, what is added need
// not be met.
func (m *Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, name := range m.Keys() {
			if value, ok := m.values[name]; ok && !yield(name, value) {
				return
			}
		}
	}
}
