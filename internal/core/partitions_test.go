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
	linkEnds  = []string{"leader", "second", "third", "state", "workers"}
	linkPairs = [][2]int{{0, 3}, {0, 4}, {1, 3}, {1, 4}, {2, 3}, {2, 4}, {0, 1}, {0, 2}, {1, 2}}
)

// cutSet is a set of directions that are cut: bit 2i for the one of link i that leaves a
// controller, bit 2i+1 for the other.
type cutSet uint32

// bidirectional is the set of whole links.
func bidirectional(links uint) (c cutSet) {
	for i := range linkPairs {
		c |= cutSet(links>>i&1) * 3 << (2 * i)
	}
	return c
}

func (c cutSet) cuts(link int) bool { return c>>(2*link)&3 != 0 }

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
	for i, l := range linkPairs {
		if sign := []string{"", ">", "<", "-"}[c>>(2*i)&3]; sign != "" {
			out = append(out, linkEnds[l[0]]+sign+linkEnds[l[1]])
		}
	}
	return strings.Join(out, " ")
}

// workMustContinue reports whether work must go on: some controller reaches the state service and the
// workers, both ways.
func (c cutSet) workMustContinue() bool {
	for n := range 3 {
		if !c.cuts(2*n) && !c.cuts(2*n+1) {
			return true
		}
	}
	return false
}

// cutResult is what came of a day with a set of cuts.
type cutResult struct {
	name          string
	starts        int    // while it was cut, once everybody had time to act
	timedOutUsers int    // users who waited for a timeout
	failure       string // what failed otherwise
	logs          []string
}

// simulateCuts plays a day on which the links are cut, and mended in two parts, the set's lower
// links first or last.
func simulateCuts(t testing.TB, c cutSet, how simulation.Link, mode string, lowFirst bool) (d cutResult) {
	d.name = fmt.Sprintf("%s: %s, mended low first %v", mode, c, lowFirst)
	w := simulation.New(7, 3)
	for i := range 12 {
		w.Cloud.Add("box", []string{"a", "b"}[i%2], false)
	}
	s := &scenario{World: w, t: t}
	s.Run(12 * second)
	ends := []string{s.leader().Label}
	for _, n := range s.Nodes {
		if n.Label != ends[0] {
			ends = append(ends, n.Label)
		}
	}
	ends = append(ends, "state", "workers")
	set := func(part cutSet, l simulation.Link) {
		for i, x := range linkPairs {
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
	for i := range linkPairs {
		if c.cuts(i) && bits.OnesCount32(uint32(low)) < bits.OnesCount32(uint32(c))/2 {
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
	d.timedOutUsers = s.Users.Late
	set(first, simulation.Link{})
	s.Run(rest)
	set(last, simulation.Link{})
	if !s.Until(rest+150*second, s.Users.AllTold) {
		d.failure = "the work does not end"
	}
	if len(s.Broken) > 0 {
		d.failure = strings.Join(s.Broken, "\n")
	}
	d.logs = s.Logs
	return d
}

// TestEveryPartition cuts links between three controllers, the state service and the workers:
// each link singly and in pairs, each direction singly, and everything a controller has;
// with a flag every subset. Whatever is cut, no rule is broken and the work ends once it
// is mended; while it is cut, work starts if some controller reaches both the state
// service and the workers, and no user waits in vain for an answer.
func TestEveryPartition(t *testing.T) {
	t.Parallel()
	most := 2
	if *everyCut {
		most = len(linkPairs)
	}
	var sets []cutSet
	add := func(c cutSet) {
		if !slices.Contains(sets, c) && !slices.Contains(sets, c.mirrored()) {
			sets = append(sets, c)
		}
	}
	for links := uint(1); links < 1<<len(linkPairs); links++ {
		if bits.OnesCount(links) <= most {
			add(bidirectional(links))
		}
	}
	for i := range 2 * len(linkPairs) {
		add(1 << i)
		for j := range i {
			if *everyCut {
				add(1<<i | 1<<j)
			}
		}
	}
	var mu sync.Mutex
	var days []cutResult
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
					d := simulateCuts(t, c, how, mode, lowFirst)
					if d.failure == "" && c.workMustContinue() && d.starts == 0 {
						d.failure = "nothing starts"
					}
					if d.failure == "" && d.timedOutUsers > 0 {
						d.failure = fmt.Sprintf("%d users wait for an answer that never comes", d.timedOutUsers)
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
	slices.SortFunc(days, func(a, b cutResult) int { return strings.Compare(a.name, b.name) })
	failed := 0
	for _, d := range days {
		if d.failure != "" {
			failed++
			t.Errorf("%s: %s", d.name, d.failure)
		}
		if *onlyCuts != "" {
			t.Logf("%s: %d starts\n%s", d.name, d.starts, strings.Join(d.logs, "\n"))
		}
	}
	t.Logf("%d sets of cuts, %d days, %d failed", len(sets), len(days), failed)
}

// startWithMachines begins a busy story with so many more machines, all of them under way.
func startWithMachines(t *testing.T, seed uint64, machines int) *scenario {
	s := newBusyScenario(t, seed, 10*second)
	for range machines {
		s.Cloud.Add("box", "b", false)
	}
	s.Run(s.Now + 10*second)
	return s
}

// anotherLeads reports whether another than n leads, whatever n itself believes.
func (s *scenario) anotherLeads(n *simulation.Node) bool {
	return slices.ContainsFunc(s.Nodes, func(x *simulation.Node) bool { return x != n && x.Alive() && x.Core.IsLeader() })
}

// A leader whose requests arrive at the state service and whose answers do not lets its
// lease end: its renewals kept its keys alive, and nobody led for as long as that lasted.
func TestLeaderWithoutAnswersLetsItsLeaseExpire(t *testing.T) {
	for seed, how := range []simulation.Link{simulation.Dropped, simulation.Held} {
		s := newBusyScenario(t, 400+uint64(seed), 10*second)
		n := s.leader()
		s.Link("state", n.Label, how)
		s.eventually(40*second, "another leads", func() bool { return s.anotherLeads(n) })
		s.Run(s.Now + 30*second)
		s.Link("state", n.Label, simulation.Link{})
		s.eventually(200*second, "the work ends", s.Users.AllTold)
		s.eventually(40*second, "it takes part again", func() bool { return n.Ready })
	}
}

// A leader that reaches the state service and neither a machine nor a member lets another
// lead, once; while all machines are silent and the others say that they hear none either,
// the leader stays.
func TestLeaderThatReachesNobodyStepsDown(t *testing.T) {
	s := startWithMachines(t, 410, 6)
	n, changes := s.leader(), 0
	for _, other := range []string{"workers", "node-0", "node-1", "node-2"} {
		if other != n.Label {
			s.Cut(n.Label, other, false)
		}
	}
	s.eventually(30*second, "another leads", func() bool { return s.anotherLeads(n) })
	for range 600 {
		was := s.currentLeader()
		s.Run(s.Now + second)
		if s.currentLeader() != was {
			changes++
		}
	}
	if changes > 0 {
		t.Fatalf("the leader changed %d times in ten minutes of one and the same cut", changes)
	}
	s.eventually(10*second, "the work has ended meanwhile", s.Users.AllTold)

	s = startWithMachines(t, 411, 6)
	n = s.leader()
	for _, x := range s.Nodes {
		s.Cut(x.Label, "workers", false)
	}
	s.Run(s.Now + 60*second)
	for _, x := range s.Nodes {
		s.Mend(x.Label, "workers")
	}
	if s.currentLeader() != n {
		t.Fatal("the leader changed although nobody else reaches more")
	}
	s.eventually(200*second, "the work ends", s.Users.AllTold)
}

// A leader without machines that loses its members' links lets another lead, and does not
// take the machines that they serve meanwhile, be it that it knows already or finds out.
func TestLeaderWithoutReachableMachinesTakesNone(t *testing.T) {
	for seed, knows := range []bool{true, false} {
		s := startWithMachines(t, 420+uint64(seed), 60)
		n := s.leader()
		s.Cut(n.Label, "workers", false)
		if s.Run(s.Now + 2*second); knows {
			s.eventually(15*second, "it leaves the map", func() bool { return s.logged("leaving the shard map") })
			s.Run(s.Now + 5*second)
		}
		for _, x := range s.Nodes {
			if x != n {
				s.Between(n.Label, x.Label, simulation.Refused)
			}
		}
		s.eventually(6*second, "another leads", func() bool { return s.anotherLeads(n) })
		s.Run(s.Now + 20*second)
		if s.logged("members [" + n.Label + "]") {
			t.Fatal("it took all machines for itself, and reaches none")
		}
		s.eventually(200*second, "the work ends", s.Users.AllTold)
	}
}

// A member that was cut from everything and reaches the state service again, but no machine,
// is not given any; once machines answer it, it is.
func TestRejoiningMemberWithoutReachableMachinesIsGivenNone(t *testing.T) {
	s := startWithMachines(t, 430, 6)
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
	if s.logged("controller rejoined the shard map") {
		t.Fatal("it is given machines that it does not reach")
	}
	s.Mend(n.Label, "workers")
	s.eventually(12*second, "it takes part again", func() bool { return s.logged("controller rejoined the shard map") })
	s.eventually(200*second, "the work ends", s.Users.AllTold)
}

// A controller that loses the machines knows it soon after a report period, whatever the
// lease; one that only stood still does not leave the map.
func TestUnreachableMachinesAreNoticedWithinAReportPeriod(t *testing.T) {
	s := startWithMachines(t, 440, 60)
	n := s.follower()
	n.StandStill(5 * second) // less than its lease
	s.Run(s.Now + 15*second)
	if s.logged("leaving the shard map") {
		t.Fatal("it leaves the map for having stood still")
	}
	s.Cut(n.Label, "workers", false)
	s.eventually(4*second, "it leaves the map", func() bool { return s.logged("leaving the shard map") })
}

// A member whose machines are heard and hear nothing gives them up before their leases end,
// be it that what it sends is lost or that their answers are.
func TestOneWayPartitionFromTheMachines(t *testing.T) {
	s := newScenario(t, 450)
	for range 30 {
		s.Cloud.Add("box", "b", true)
	}
	for at := 10 * second; at < 90*second; at += second {
		s.At(at, func() { s.Users.Submit(simulation.Array(3), 5) })
	}
	s.Run(30 * second)
	n := s.follower()
	s.Link(n.Label, "workers", simulation.Dropped)
	s.eventually(13*second, "it leaves the map", func() bool { return s.logged("leaving the shard map") })
	s.Run(s.Now + 40*second)
	s.Link(n.Label, "workers", simulation.Link{})
	s.eventually(60*second, "it takes part again", func() bool { return s.logged("rejoining the shard map") })
	s.eventually(200*second, "the work ends", s.Users.AllTold)
}

// A controller that the state service does not serve is soon not ready, so that users are
// sent to others; in an outage that all see, users still find some that tell them to come again.
func TestNodeWithoutStoreIsNotReady(t *testing.T) {
	s := newBusyScenario(t, 460, 10*second)
	n := s.follower()
	s.Cut(n.Label, "state", false)
	s.eventually(3500*time.Millisecond, "it is not ready", func() bool { return !n.Ready })
	s.Mend(n.Label, "state")
	s.eventually(10*second, "it is ready", func() bool { return n.Ready })
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
func TestRejoinedMemberStaysInTheShardMap(t *testing.T) {
	s := newScenario(t, 470)
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
	s.eventually(10*second, "it takes part again", func() bool { return s.logged("controller rejoined the shard map") })
	s.Run(s.Now + 30*second)
	if s.logged("leaving the shard map") {
		t.Fatal("it leaves at once, for what was lost during the cut")
	}
}
