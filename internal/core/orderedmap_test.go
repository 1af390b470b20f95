package core

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
)

// Whatever comes and goes, also on the way, a walk meets every name that stays once
// and in order.
func TestOrderedMapIteratesInOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	x, want := newOrderedMap[int](), map[string]int{}
	set := func(name string, v int) { x.set(name, v); want[name] = v }
	drop := func(name string) { x.delete(name); delete(want, name) }
	for i := range 20_000 {
		name := "n-" + strconv.Itoa(r.IntN(60))
		switch r.IntN(5) {
		case 0, 1:
			set(name, i)
		case 2:
			drop(name)
		case 3:
			for met := range x.all() {
				if met == name {
					drop(met)
					set("m-"+strconv.Itoa(r.IntN(9)), i)
					set(met, i)
				}
			}
		default:
			var got []string
			for met, v := range x.all() {
				if got = append(got, met); want[met] != v {
					t.Fatalf("%s is %d, not %d", met, v, want[met])
				}
			}
			if all := slices.Sorted(maps.Keys(want)); !slices.Equal(got, all) || x.len() != len(all) {
				t.Fatalf("%d: met %v of %v", i, got, all)
			}
		}
	}
}
