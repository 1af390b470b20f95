package registry

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/chalkhub/chalkhub/internal/records"
)

// store is an in-memory registry to which plans are applied.
type store struct {
	pages   map[string][]string // names of the machines on each page, by key
	removed map[string]bool
}

func newStore() *store { return &store{pages: map[string][]string{}, removed: map[string]bool{}} }

func (s *store) registry() Registry {
	return Registry{
		Pages: func(yield func(string, []string) bool) {
			for _, key := range slices.Sorted(maps.Keys(s.pages)) {
				if !yield(key, s.pages[key]) {
					return
				}
			}
		},
		Page:      func(key string) []string { return s.pages[key] },
		PageCount: len(s.pages),
		Record: func(string) records.Machine {
			return records.Machine{Addr: "10.0.0.1:80", Type: "box", Zone: "a"}
		},
		Removed: func(name string) bool { return s.removed[name] },
	}
}

// apply applies a plan and returns how many pages it changed.
func (s *store) apply(plan map[string]*Page) int {
	for key, page := range plan {
		if len(page.Machines) == 0 {
			delete(s.pages, key)
		} else {
			s.pages[key] = slices.Sorted(maps.Keys(page.Machines))
		}
	}
	return len(plan)
}

// listed returns the set of machines that are on at least one page.
func (s *store) listed() map[string]bool {
	listed := map[string]bool{}
	for _, names := range s.pages {
		for _, name := range names {
			listed[name] = true
		}
	}
	return listed
}

func names(from, to int) (out []string) {
	for n := from; n < to; n++ {
		out = append(out, fmt.Sprintf("n-%06d", n))
	}
	return out
}

// machineBytes is the size of each machine of these tests: 64 bytes plus the lengths of its name,
// address, type and zone.
var machineBytes = RecordSize("n-000000", &records.Machine{Addr: "10.0.0.1:80", Type: "box", Zone: "a"})

func TestMachinesFillPagesInOrder(t *testing.T) {
	s := newStore()
	limits := Limits{ValueBytes: 1 << 20, PageBytes: 4 * machineBytes, PagesPerPlan: 8}
	if n := s.apply(Plan(s.registry(), names(0, 10), limits)); n != 3 {
		t.Fatalf("%d pages written, want 3", n)
	}
	if got := len(s.pages[PageKey(0)]); got != 4 {
		t.Errorf("first page has %d machines, want 4", got)
	}
	s.apply(Plan(s.registry(), names(10, 12), limits))
	if got := len(s.pages[PageKey(2)]); got != 4 {
		t.Errorf("last page has %d machines, want 4: it had space for the two that were added", got)
	}
}

func TestPlanChangesAtMostPagesPerPlan(t *testing.T) {
	s := newStore()
	limits := Limits{ValueBytes: 1 << 20, PageBytes: 2 * machineBytes, PagesPerPlan: 3}
	missing := names(0, 20)
	for range 20 {
		if n := s.apply(Plan(s.registry(), missing, limits)); n > 3 {
			t.Fatalf("one plan changed %d pages, want 3 at most", n)
		}
		listed := s.listed()
		missing = slices.DeleteFunc(missing, func(name string) bool { return listed[name] })
	}
	if len(missing) > 0 {
		t.Errorf("%d machines are on no page after 20 plans, want 0", len(missing))
	}
}

func TestRemovedMachinesLeaveTheirPages(t *testing.T) {
	s := newStore()
	limits := Limits{ValueBytes: 1 << 20, PageBytes: 4 * machineBytes, PagesPerPlan: 8}
	s.apply(Plan(s.registry(), names(0, 8), limits))
	for _, name := range names(0, 5) {
		s.removed[name] = true
	}
	s.apply(Plan(s.registry(), nil, limits))
	if _, exists := s.pages[PageKey(0)]; exists {
		t.Error("the page whose machines were all removed still exists")
	}
	if got := len(s.listed()); got != 3 {
		t.Errorf("%d machines are on a page, want 3", got)
	}
}

// If the limit of a value is lowered, a page may become too large to be written. Its machines move
// to other pages, however few pages a plan may change, and each of them is on some page after every
// plan.
func TestOversizedPageMovesWithoutUnlistingMachines(t *testing.T) {
	for _, pagesPerPlan := range []int{1, 2, 8} {
		t.Run(fmt.Sprint(pagesPerPlan), func(t *testing.T) {
			s := newStore()
			initialLimits := Limits{ValueBytes: 1 << 20, PageBytes: 12 * machineBytes, PagesPerPlan: 8}
			s.apply(Plan(s.registry(), names(0, 20), initialLimits))
			loweredLimits := Limits{ValueBytes: 6 * machineBytes, PageBytes: 4 * machineBytes, PagesPerPlan: pagesPerPlan}
			for range 20 {
				s.apply(Plan(s.registry(), nil, loweredLimits))
				if got := len(s.listed()); got != 20 {
					t.Fatalf("%d machines are on a page, want 20 after every plan", got)
				}
			}
			for key, names := range s.pages {
				if len(names) > 4 {
					t.Errorf("page %s still has %d machines, want 4 at most", key, len(names))
				}
			}
		})
	}
}
