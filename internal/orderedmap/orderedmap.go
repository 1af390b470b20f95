// Package orderedmap implements a map that iterates over its names in sorted order, so that results
// computed from an iteration are deterministic.
//
// It is optimized for iterations over all entries with a few changes in between, as in the rounds
// of a scheduler. It is not safe for concurrent use.
package orderedmap

import (
	"iter"
	"slices"
)

// Map is a map from names to values. Changes to the set of names between two iterations are merged
// into the sorted order by the next iteration, which visits all names anyway. If the order were
// updated at every change, then all names would be copied once for each of ten thousand machines
// that are added.
//
// Invariant: each name in values is in ordered, in added or in both. Either may also contain names
// that were deleted since the last merge; removed is then not 0.
type Map[V any] struct {
	values  map[string]V
	ordered []string // sorted; a merge makes a new slice, because an iteration keeps the one it began with
	added   []string // names added since the last merge that addName could not append to ordered; unsorted
	removed int      // deletions since the last merge; some of the names may have been added again
}

// New returns an empty map.
func New[V any]() *Map[V] { return &Map[V]{values: map[string]V{}} }

// Get returns the value of a name, or the zero value if the name is not in the map.
func (m *Map[V]) Get(name string) V { return m.values[name] }

// Len returns the number of names.
func (m *Map[V]) Len() int { return len(m.values) }

// Set sets the value of a name.
func (m *Map[V]) Set(name string, value V) {
	if _, ok := m.values[name]; !ok {
		m.addName(name)
	}
	m.values[name] = value
}

// addName appends a name to the sorted names if it sorts after all of them and no merge is pending.
// It leaves other names to the next merge.
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

// Keys returns the names in sorted order. The caller must not change the slice.
func (m *Map[V]) Keys() []string {
	if m.removed == 0 && len(m.added) == 0 {
		return m.ordered
	}
	slices.Sort(m.added)
	merged := make([]string, 0, len(m.values)+len(m.values)/8) // with spare capacity for names that addName appends
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

// All iterates over the entries in the sorted order of their names. The loop body may change the
// map: names deleted before they are reached are skipped, and names added during the iteration may
// or may not be visited.
func (m *Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, name := range m.Keys() {
			if value, ok := m.values[name]; ok && !yield(name, value) {
				return
			}
		}
	}
}
