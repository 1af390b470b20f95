package core_test

import (
	"flag"
	"fmt"
	"math/bits"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Every subset of cut links of three controllers, and not only the fixed part:
// go test ./internal/core -run EveryCut -everycut
// Or one, with its log: -cuts "second<workers third>workers" -debuglogs
var (
	everyCut = flag.Bool("everycut", false, "EveryCut plays every subset of cut links")
	onlyCuts = flag.String("cuts", "", "EveryCut plays this subset alone and shows its log")
)

// The ends of three controllers' links: the leader, two others, and the rest of the world
// as one end each. A link is a pair of them.
var (
	cutEnds  = []string{"leader", "second", "third", "state", "workers"}
	cutLinks = [][2]int{{0, 3}, {0, 4}, {1, 3}, {1, 4}, {2, 3}, {2, 4}, {0, 1}, {0, 2}, {1, 2}}
)

// cutSet is a set of directions that are cut: bit 2i for the one of link i that leaves a
// controller, bit 2i+1 for the other.
type cutSet uint32

// bothWays is the set of whole links.
func bothWays(links uint) (c cutSet) {
	for i := range cutLinks {
		c |= cutSet(links>>i&1) * 3 << (2 * i)
	}
	return c
}

func (c cutSet) has(link int) bool { return c>>(2*link)&3 != 0 }

// mirrored is the same set with the second controller for the third: the same story.
func (c cutSet) mirrored() (m cutSet) {
	for i, j := range []int{0, 1, 4, 5, 2, 3, 7, 6, 8} {
		m |= c >> (2 * i) & 3 << (2 * j)
	}
	if d := m >> 16 & 3; d == 1 || d == 2 { // the link between the two is turned
		m ^= 3 << 16
	}
	return m
}

func (c cutSet) String() string {
	var out []string
	for i, l := range cutLinks {
		if sign := []string{"", ">", "<", "-"}[c>>(2*i)&3]; sign != "" {
			out = append(out, cutEnds[l[0]]+sign+cutEnds[l[1]])
		}
	}
	return strings.Join(out, " ")
}

// works reports whether work must go on: some controller reaches the state service and the
// workers, both ways.
func (c cutSet) works() bool {
	for n := range 3 {
		if !c.has(2*n) && !c.has(2*n+1) {
			return true
		}
	}
	return false
}

// cutDay is what came of a day with a set of cuts.
type cutDay struct {
	name   string
	starts int    // while it was cut, once everybody had time to act
	late   int    // users who waited for a timeout
	wrong  string // what failed otherwise
	logs   []string
}

// playCuts plays a day on which the links are cut, and mended in two parts, the set's lower
// links first or last.
func playCuts(t testing.TB, c cutSet, how simulation.Link, mode string, lowFirst bool) (d cutDay) {
	d.name = fmt.Sprintf("%s: %s, mended low first %v", mode, c, lowFirst)
	w := simulation.New(7, 3)
	for i := range 12 {
		w.Cloud.Add("box", []string{"a", "b"}[i%2], false)
	}
	s := &story{World: w, t: t}
	s.Run(12 * second)
	ends := []string{s.leader().Label}
	for _, n := range s.Nodes {
		if n.Label != ends[0] {
			ends = append(ends, n.Label)
		}
	}
	ends = append(ends, "state", "workers")
	set := func(part cutSet, l simulation.Link) {
		for i, x := range cutLinks {
			if part>>(2*i)&1 != 0 {
				s.Link(ends[x[0]], ends[x[1]], l)
			}
			if part>>(2*i)&2 != 0 {
				s.Link(ends[x[1]], ends[x[0]], l)
			}
		}
	}
	const cut, mend, rest = 16 * time.Second, 80 * time.Second, 100 * time.Second
	for at := 6 * second; at < rest; at += 2 * second {
		s.At(at, func() {
			j := simulation.Array(2)
			j.ImageGB, j.EstimateS = 0.1, 3
			s.Users.Submit(j, 3)
		})
	}
	low := cutSet(0)
	for i := range cutLinks {
		if c.has(i) && bits.OnesCount32(uint32(low)) < bits.OnesCount32(uint32(c))/2 {
			low |= c & (3 << (2 * i))
		}
	}
	first, last := low, c&^low
	if !lowFirst {
		first, last = last, first
	}
	s.Run(cut)
	set(c, how)
	s.Run(mend - 20*second)
	before := s.Users.Starts
	s.Run(mend)
	d.starts = s.Users.Starts - before
	d.late = s.Users.Late
	set(first, simulation.Link{})
	s.Run(rest)
	set(last, simulation.Link{})
	if !s.Until(rest+150*second, s.Users.AllTold) {
		d.wrong = "the work does not end"
	}
	if len(s.Broken) > 0 {
		d.wrong = strings.Join(s.Broken, "\n")
	}
	d.logs = s.Logs
	return d
}

// TestEveryCut cuts links between three controllers, the state service and the workers:
// each link singly and in pairs, each direction singly, and everything a controller has;
// with a flag every subset. Whatever is cut, no rule is broken and the work ends once it
// is mended; while it is cut, work starts if some controller reaches both the state
// service and the workers, and no user waits in vain for an answer.
func TestEveryCut(t *testing.T) {
	t.Parallel()
	most := 2
	if *everyCut {
		most = len(cutLinks)
	}
	var sets []cutSet
	add := func(c cutSet) {
		if !slices.Contains(sets, c) && !slices.Contains(sets, c.mirrored()) {
			sets = append(sets, c)
		}
	}
	for links := uint(1); links < 1<<len(cutLinks); links++ {
		if bits.OnesCount(links) <= most {
			add(bothWays(links))
		}
	}
	for i := range 2 * len(cutLinks) {
		add(1 << i)
		for j := range i {
			if *everyCut {
				add(1<<i | 1<<j)
			}
		}
	}
	var mu sync.Mutex
	var days []cutDay
	var g errgroup.Group
	g.SetLimit(runtime.NumCPU())
	if *onlyCuts != "" {
		sets = slices.DeleteFunc(sets, func(c cutSet) bool { return c.String() != *onlyCuts })
	}
	for _, c := range sets {
		for mode, how := range map[string]simulation.Link{"held": simulation.Held, "dropped": simulation.Dropped} {
			for _, lowFirst := range []bool{true, false} {
				if bits.OnesCount32(uint32(c)) <= 2 && !lowFirst && !*everyCut {
					continue
				}
				g.Go(func() error {
					d := playCuts(t, c, how, mode, lowFirst)
					if d.wrong == "" && c.works() && d.starts == 0 {
						d.wrong = "nothing starts"
					}
					if d.wrong == "" && d.late > 0 {
						d.wrong = fmt.Sprintf("%d users wait for an answer that never comes", d.late)
					}
					mu.Lock()
					defer mu.Unlock()
					days = append(days, d)
					return nil
				})
			}
		}
	}
	g.Wait()
	slices.SortFunc(days, func(a, b cutDay) int { return strings.Compare(a.name, b.name) })
	failed := 0
	for _, d := range days {
		if d.wrong != "" {
			failed++
			t.Errorf("%s: %s", d.name, d.wrong)
		}
		if *onlyCuts != "" {
			t.Logf("%s: %d starts\n%s", d.name, d.starts, strings.Join(d.logs, "\n"))
		}
	}
	t.Logf("%d sets of cuts, %d days, %d failed", len(sets), len(days), failed)
}

// withBoxes begins a busy story with so many more machines, all of them under way.
func withBoxes(t *testing.T, seed uint64, machines int) *story {
	s := busy(t, seed, 10*second)
	for range machines {
		s.Cloud.Add("box", "b", false)
	}
	s.Run(s.Now + 10*second)
	return s
}

// leadsBut reports whether another than n leads, whatever n itself believes.
func (s *story) leadsBut(n *simulation.Node) bool {
	return slices.ContainsFunc(s.Nodes, func(x *simulation.Node) bool { return x != n && x.Alive() && x.Core.Leads() })
}

// A leader whose requests arrive at the state service and whose answers do not lets its
// lease end: its renewals kept its keys alive, and nobody led for as long as that lasted.
func TestLeaderThatHearsNoAnswerLetsGo(t *testing.T) {
	for seed, how := range []simulation.Link{simulation.Dropped, simulation.Held} {
		s := busy(t, 400+uint64(seed), 10*second)
		n := s.leader()
		s.Link("state", n.Label, how)
		s.within(40*second, "another leads", func() bool { return s.leadsBut(n) })
		s.Run(s.Now + 30*second)
		s.Link("state", n.Label, simulation.Link{})
		s.within(200*second, "the work ends", s.Users.AllTold)
		s.within(40*second, "it takes part again", func() bool { return n.Ready })
	}
}

// A leader that reaches the state service and neither a machine nor a member lets another
// lead, once; while all machines are silent and the others say that they hear none either,
// the leader stays.
func TestLeaderThatReachesNobodyHandsOver(t *testing.T) {
	s := withBoxes(t, 410, 6)
	n, changes := s.leader(), 0
	for _, other := range []string{"workers", "node-0", "node-1", "node-2"} {
		if other != n.Label {
			s.Cut(n.Label, other, false)
		}
	}
	s.within(30*second, "another leads", func() bool { return s.leadsBut(n) })
	for range 600 {
		was := s.leads()
		s.Run(s.Now + second)
		if s.leads() != was {
			changes++
		}
	}
	if changes > 0 {
		t.Fatalf("the leader changed %d times in ten minutes of one and the same cut", changes)
	}
	s.within(10*second, "the work has ended meanwhile", s.Users.AllTold)

	s = withBoxes(t, 411, 6)
	n = s.leader()
	for _, x := range s.Nodes {
		s.Cut(x.Label, "workers", false)
	}
	s.Run(s.Now + 60*second)
	for _, x := range s.Nodes {
		s.Mend(x.Label, "workers")
	}
	if s.leads() != n {
		t.Fatal("the leader changed although nobody else reaches more")
	}
	s.within(200*second, "the work ends", s.Users.AllTold)
}

// A leader without machines that loses its members' links lets another lead, and does not
// take the machines that they serve meanwhile, be it that it knows already or finds out.
func TestLeaderWithoutMachinesTakesNone(t *testing.T) {
	for seed, knows := range []bool{true, false} {
		s := withBoxes(t, 420+uint64(seed), 60)
		n := s.leader()
		s.Cut(n.Label, "workers", false)
		if s.Run(s.Now + 2*second); knows {
			s.within(15*second, "it leaves the map", func() bool { return s.said("leaving the map") })
			s.Run(s.Now + 5*second)
		}
		for _, x := range s.Nodes {
			if x != n {
				s.Between(n.Label, x.Label, simulation.Refused)
			}
		}
		s.within(6*second, "another leads", func() bool { return s.leadsBut(n) })
		s.Run(s.Now + 20*second)
		if s.said("members [" + n.Label + "]") {
			t.Fatal("it took all machines for itself, and reaches none")
		}
		s.within(200*second, "the work ends", s.Users.AllTold)
	}
}

// A member that was cut from everything and reaches the state service again, but no machine,
// is not given any; once machines answer it, it is.
func TestMemberThatComesBackWithoutMachinesIsGivenNone(t *testing.T) {
	s := withBoxes(t, 430, 6)
	s.Users.Submit(simulation.Array(24), 100) // or the machines are returned meanwhile, and there are none to reach
	n := s.follower()
	for _, end := range []string{"state", "workers", "node-0", "node-1", "node-2"} {
		if end != n.Label {
			s.Cut(n.Label, end, true)
		}
	}
	s.Run(s.Now + 30*second)
	s.Logs = nil
	for _, end := range []string{"state", "node-0", "node-1", "node-2"} {
		s.Mend(n.Label, end)
	}
	s.Run(s.Now + 20*second)
	if s.said("controller is back in the map") {
		t.Fatal("it is given machines that it does not reach")
	}
	s.Mend(n.Label, "workers")
	s.within(12*second, "it takes part again", func() bool { return s.said("controller is back in the map") })
	s.within(200*second, "the work ends", s.Users.AllTold)
}

// A controller that loses the machines knows it soon after a report period, whatever the
// lease; one that only stood still does not leave the map.
func TestLostMachinesAreSoonNoticed(t *testing.T) {
	s := withBoxes(t, 440, 60)
	n := s.follower()
	n.StandStill(5 * second) // less than its lease
	s.Run(s.Now + 15*second)
	if s.said("leaving the map") {
		t.Fatal("it leaves the map for having stood still")
	}
	s.Cut(n.Label, "workers", false)
	s.within(4*second, "it leaves the map", func() bool { return s.said("leaving the map") })
}

// A member whose machines are heard and hear nothing gives them up before their leases end,
// be it that what it sends is lost or that their answers are.
func TestHalfALinkToTheMachines(t *testing.T) {
	s := begin(t, 450)
	for range 30 {
		s.Cloud.Add("box", "b", true)
	}
	for at := 10 * second; at < 90*second; at += second {
		s.At(at, func() { s.Users.Submit(simulation.Array(3), 5) })
	}
	s.Run(30 * second)
	n := s.follower()
	s.Link(n.Label, "workers", simulation.Dropped)
	s.within(13*second, "it leaves the map", func() bool { return s.said("leaving the map") })
	s.Run(s.Now + 40*second)
	s.Link(n.Label, "workers", simulation.Link{})
	s.within(60*second, "it takes part again", func() bool { return s.said("joining again") })
	s.within(200*second, "the work ends", s.Users.AllTold)
}

// A controller that the state service does not serve is soon not ready, so that users are
// sent to others; in an outage that all see, users still find some that tell them to come again.
func TestUsersAreSentToThoseWhoAreServed(t *testing.T) {
	s := busy(t, 460, 10*second)
	n := s.follower()
	s.Cut(n.Label, "state", false)
	s.within(3500*time.Millisecond, "it is not ready", func() bool { return !n.Ready })
	s.Mend(n.Label, "state")
	s.within(10*second, "it is ready", func() bool { return n.Ready })
	s.State.Outage(20 * second)
	nobody := time.Duration(0)
	for range 200 {
		s.Run(s.Now + second/10)
		if !slices.ContainsFunc(s.Nodes, func(n *simulation.Node) bool { return n.Ready }) {
			nobody += second / 10
		}
	}
	if nobody > second {
		t.Fatalf("for %v of an outage users find nobody", nobody)
	}
}

// A member that was cut off with the machines of its zone, and comes back, does not hold the
// calls that were lost at the beginning of that against its links.
func TestMemberComesBackForGood(t *testing.T) {
	s := begin(t, 470)
	for i := range 30 {
		s.Cloud.Add("box", []string{"a", "b"}[i%2], true)
	}
	s.Run(s.Now + 10*second)
	n := s.follower()
	n.Zone = "b"
	for at := s.Now; at < s.Now+100*second; at += second / 4 {
		s.At(at, func() { s.Users.Submit(simulation.Array(6), 5) })
	}
	s.Run(s.Now + 5*second)
	s.CutZone("b", "", false)
	s.Run(s.Now + 60*second)
	s.Logs = nil
	s.MendZone("b", "")
	s.within(10*second, "it takes part again", func() bool { return s.said("controller is back in the map") })
	s.Run(s.Now + 30*second)
	if s.said("leaving the map") {
		t.Fatal("it leaves at once, for what was lost during the cut")
	}
}
