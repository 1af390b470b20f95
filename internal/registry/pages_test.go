package registry

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/chalkhub/chalkhub/internal/records"
)

// store is what plans are carried out on.
type store struct {
	pages   map[string][]string
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

// apply carries a plan out and returns how many pages it changed.
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

// listed are the machines that are on any page.
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

// One machine takes 64 bytes, its name, its address, its type and its zone.
var machineBytes = RecordSize("n-000000", &records.Machine{Addr: "10.0.0.1:80", Type: "box", Zone: "a"})

func TestMachinesFillPagesInOrder(t *testing.T) {
	s := newStore()
	limits := Limits{ValueBytes: 1 << 20, PageBytes: 4 * machineBytes, PagesPerPlan: 8}
	if n := s.apply(Plan(s.registry(), names(0, 10), limits)); n != 3 {
		t.Fatalf("%d pages written, want 3", n)
	}
	if got := len(s.pages[PageKey(0)]); got != 4 {
		t.Errorf("%d machines on the first page, want 4", got)
	}
	s.apply(Plan(s.registry(), names(10, 12), limits))
	if got := len(s.pages[PageKey(2)]); got != 4 {
		t.Errorf("%d machines on the last page, want 4: it had room for two", got)
	}
}

func TestPlanChangesAtMostPagesPerPlan(t *testing.T) {
	s := newStore()
	limits := Limits{ValueBytes: 1 << 20, PageBytes: 2 * machineBytes, PagesPerPlan: 3}
	missing := names(0, 20)
	for range 20 {
		if n := s.apply(Plan(s.registry(), missing, limits)); n > 3 {
			t.Fatalf("%d pages in one plan, want 3 at most", n)
		}
		listed := s.listed()
		missing = slices.DeleteFunc(missing, func(name string) bool { return listed[name] })
	}
	if len(missing) > 0 {
		t.Errorf("%d machines are on no page in the end", len(missing))
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
	if _, there := s.pages[PageKey(0)]; there {
		t.Error("an empty page stays")
	}
	if got := len(s.listed()); got != 3 {
		t.Errorf("%d machines are listed, want 3", got)
	}
}

// A page that can't be written any more is emptied without a moment in which a machine is on no
// page, however few pages may change at once.
func TestOversizedPageMovesWithoutUnlistingMachines(t *testing.T) {
	for _, pagesPerPlan := range []int{1, 2, 8} {
		t.Run(fmt.Sprint(pagesPerPlan), func(t *testing.T) {
			s := newStore()
			wide := Limits{ValueBytes: 1 << 20, PageBytes: 12 * machineBytes, PagesPerPlan: 8}
			s.apply(Plan(s.registry(), names(0, 20), wide))
			narrow := Limits{ValueBytes: 6 * machineBytes, PageBytes: 4 * machineBytes, PagesPerPlan: pagesPerPlan}
			for range 20 {
				s.apply(Plan(s.registry(), nil, narrow))
				if got := len(s.listed()); got != 20 {
					t.Fatalf("%d machines are listed, want 20 all the time", got)
				}
			}
			for key, names := range s.pages {
				if len(names) > 4 {
					t.Errorf("page %s still has %d machines", key, len(names))
				}
			}
		})
	}
}
