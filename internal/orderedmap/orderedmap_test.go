package orderedmap

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
)

// Whatever is set and deleted, also during an iteration, the next full iteration visits every name
// in the map once and in sorted order.
func TestOrderedMapIteratesInOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	m, want := New[int](), map[string]int{}
	set := func(name string, value int) { m.Set(name, value); want[name] = value }
	remove := func(name string) { m.Delete(name); delete(want, name) }
	for i := range 20_000 {
		name := "n-" + strconv.Itoa(r.IntN(60))
		switch r.IntN(5) {
		case 0, 1:
			set(name, i)
		case 2:
			remove(name)
		case 3:
			for visited := range m.All() {
				if visited == name {
					remove(visited)
					set("m-"+strconv.Itoa(r.IntN(9)), i)
					set(visited, i)
				}
			}
		default:
			var got []string
			for visited, value := range m.All() {
				if got = append(got, visited); want[visited] != value {
					t.Fatalf("value of %s: got %d, want %d", visited, value, want[visited])
				}
			}
			if all := slices.Sorted(maps.Keys(want)); !slices.Equal(got, all) || m.Len() != len(all) {
				t.Fatalf("step %d: visited %v, want %v", i, got, all)
			}
		}
	}
}
