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
// go test ./internal/core -run EveryPartition -everycut
// Or one, with its log: -cuts "second<workers third>workers" -debuglogs
var (
	everyCut = flag.Bool("everycut", false, "EveryPartition simulates every subset of cut links")
	onlyCuts = flag.String("cuts", "", "EveryPartition simulates this subset alone and shows its log")
)

// The ends of the links of three controllers: the leader, two others, the state service, and
// all workers as one end. A link is a pair of them.
var (
	linkEndpoints = []string{"leader", "second", "third", "state", "workers"}
	linkPairs     = [][2]int{{0, 3}, {0, 4}, {1, 3}, {1, 4}, {2, 3}, {2, 4}, {0, 1}, {0, 2}, {1, 2}}
)

// cutSet is a set of directions that are cut: bit 2i for the one of link i that leaves a
// controller, bit 2i+1 for the other.
type cutSet uint32

// bidirectional is the set of both directions of links, one bit each.
func bidirectional(links uint) (c cutSet) {
	for i := range linkPairs {
		c |= cutSet(links>>i&1) * 3 << (2 * i)
	}
	return c
}

// cuts reports whether any direction of a link is cut.
func (c cutSet) cuts(link int) bool { return c>>(2*link)&3 != 0 }

// mirrored is the same set with the second controller for the third, which is equivalent.
func (c cutSet) mirrored() (m cutSet) {
	for i, j := range []int{0, 1, 4, 5, 2, 3, 7, 6, 8} {
		m |= c >> (2 * i) & 3 << (2 * j)
	}
	if d := m >> 16 & 3; d == 1 || d == 2 { // the link between the two changes its direction
		m ^= 3 << 16
	}
	return m
}

func (c cutSet) String() string {
	var out []string
	for i, link := range linkPairs {
		if sign := []string{"", ">", "<", "-"}[c>>(2*i)&3]; sign != "" {
			out = append(out, linkEndpoints[link[0]]+sign+linkEndpoints[link[1]])
		}
	}
	return strings.Join(out, " ")
}

// workMustContinue reports whether tasks must be started in spite of the cuts: some controller
// reaches the state service and the workers, both ways.
func (c cutSet) workMustContinue() bool {
	for controller := range 3 {
		if !c.cuts(2*controller) && !c.cuts(2*controller+1) {
			return true
		}
	}
	return false
}

// cutResult is the outcome of a simulation with a set of cuts.
type cutResult struct {
	name          string
	starts        int    // of tasks while links were cut, once everybody had time to react
	timedOutUsers int    // that got no answer
	failure       string // empty: none
	logs          []string
}

// simulateCuts simulates links that are cut, and mended in two parts, the set's lower links
// first or last.
func simulateCuts(t testing.TB, c cutSet, blocked simulation.Link, mode string, lowFirst bool) (result cutResult) {
	result.name = fmt.Sprintf("%s: %s, mended low first %v", mode, c, lowFirst)
	cluster := simulation.New(7, 3)
	for i := range 12 {
		cluster.Cloud.AddRunning("box", []string{"a", "b"}[i%2], false)
	}
	s := &scenario{Cluster: cluster, t: t}
	s.Run(12 * second)
	ends := s.endpointLabels()
	setLinks := func(part cutSet, link simulation.Link) {
		for i, pair := range linkPairs {
			if part>>(2*i)&1 != 0 {
				s.SetLink(ends[pair[0]], ends[pair[1]], link)
			}
			if part>>(2*i)&2 != 0 {
				s.SetLink(ends[pair[1]], ends[pair[0]], link)
			}
		}
	}
	const cutAt, firstHealAt, lastHealAt = 16 * time.Second, 80 * time.Second, 100 * time.Second
	for at := 6 * second; at < lastHealAt; at += 2 * second {
		s.At(at, func() {
			spec := simulation.Array(2)
			spec.ImageGB, spec.EstimateS = 0.1, 3
			s.Users.Submit(spec, 3)
		})
	}
	first, last := c.halves()
	if !lowFirst {
		first, last = last, first
	}
	s.Run(cutAt)
	setLinks(c, blocked)
	s.Run(firstHealAt - 20*second)
	before := s.Users.Starts
	s.Run(firstHealAt)
	result.starts = s.Users.Starts - before
	result.timedOutUsers = s.Users.TimedOut
	setLinks(first, simulation.Link{})
	s.Run(lastHealAt)
	setLinks(last, simulation.Link{})
	if !s.RunUntil(lastHealAt+150*second, s.Users.AllFinal) {
		result.failure = "the work does not end"
	}
	if len(s.Violations) > 0 {
		result.failure = strings.Join(s.Violations, "\n")
	}
	result.logs = s.Logs
	return result
}

// endpointLabels are the labels that stand for linkEnds in a cluster.
func (s *scenario) endpointLabels() []string {
	ends := []string{s.leader().Label}
	for _, node := range s.Nodes {
		if node.Label != ends[0] {
			ends = append(ends, node.Label)
		}
	}
	return append(ends, "state", "workers")
}

// halves divides a set by its links: the lower ones, with half of its directions or a few more,
// and the others.
func (c cutSet) halves() (lower, upper cutSet) {
	for i := range linkPairs {
		if c.cuts(i) && bits.OnesCount32(uint32(lower)) < bits.OnesCount32(uint32(c))/2 {
			lower |= c & (3 << (2 * i))
		}
	}
	return lower, c &^ lower
}

// TestEveryPartition cuts links between three controllers, the state service and the workers:
// each link singly and in pairs, each direction singly, and everything a controller has;
// with a flag every subset. Whatever is cut, no rule is broken and the work ends once it
// is mended; while it is cut, work starts if some controller reaches both the state
// service and the workers, and no user waits in vain for an answer.
func TestEveryPartition(t *testing.T) {
	t.Parallel()
	sets := cutSetsToSimulate()
	var mu sync.Mutex
	var results []cutResult
	var simulations errgroup.Group
	simulations.SetLimit(runtime.NumCPU())
	for _, c := range sets {
		for mode, blocked := range map[string]simulation.Link{"held": simulation.Held, "dropped": simulation.Dropped} {
			for _, lowFirst := range []bool{true, false} {
				if bits.OnesCount32(uint32(c)) <= 2 && !lowFirst && !*everyCut {
					continue
				}
				simulations.Go(func() error {
					result := simulateCuts(t, c, blocked, mode, lowFirst)
					result.check(c)
					mu.Lock()
					defer mu.Unlock()
					results = append(results, result)
					return nil
				})
			}
		}
	}
	_ = simulations.Wait() // they return no errors
	slices.SortFunc(results, func(a, b cutResult) int { return strings.Compare(a.name, b.name) })
	failed := 0
	for _, result := range results {
		if result.failure != "" {
			failed++
			t.Errorf("%s: %s", result.name, result.failure)
		}
		if *onlyCuts != "" {
			t.Logf("%s: %d starts\n%s", result.name, result.starts, strings.Join(result.logs, "\n"))
		}
	}
	t.Logf("%d sets of cuts, %d simulations, %d failed", len(sets), len(results), failed)
}

// cutSetsToSimulate are the sets that the flags ask for, each once of two that are mirrored.
func cutSetsToSimulate() (sets []cutSet) {
	maxLinks := 2
	if *everyCut {
		maxLinks = len(linkPairs)
	}
	add := func(c cutSet) {
		if !slices.Contains(sets, c) && !slices.Contains(sets, c.mirrored()) {
			sets = append(sets, c)
		}
	}
	for links := uint(1); links < 1<<len(linkPairs); links++ {
		if bits.OnesCount(links) <= maxLinks {
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
	if *onlyCuts != "" {
		sets = slices.DeleteFunc(sets, func(c cutSet) bool { return c.String() != *onlyCuts })
	}
	return sets
}

// check notes as a failure what must not happen with a set of cuts.
func (r *cutResult) check(c cutSet) {
	switch {
	case r.failure != "":
	case c.workMustContinue() && r.starts == 0:
		r.failure = "nothing starts"
	case r.timedOutUsers > 0:
		r.failure = fmt.Sprintf("%d users wait for an answer that never comes", r.timedOutUsers)
	}
}

// startWithMachines begins a busy scenario with so many more machines, all of them booting.
func startWithMachines(t *testing.T, seed uint64, machines int) *scenario {
	s := newBusyScenario(t, seed, 10*second)
	for range machines {
		s.Cloud.AddRunning("box", "b", false)
	}
	s.Run(s.Now + 10*second)
	return s
}

// anotherLeads reports whether another node than this one leads, whatever this one believes.
func (s *scenario) anotherLeads(except *simulation.Node) bool {
	return slices.ContainsFunc(s.Nodes, func(node *simulation.Node) bool {
		return node != except && node.Alive() && node.Core.IsLeader()
	})
}

// A leader whose requests arrive at the state service and whose answers are lost lets its lease
// expire: its renewals kept its keys alive, and nobody led for as long as that lasted.
func TestLeaderWithoutResponsesLetsItsLeaseExpire(t *testing.T) {
	for seed, blocked := range []simulation.Link{simulation.Dropped, simulation.Held} {
		s := newBusyScenario(t, 400+uint64(seed), 10*second)
		leader := s.leader()
		s.SetLink("state", leader.Label, blocked)
		s.eventually(40*second, "another leads", func() bool { return s.anotherLeads(leader) })
		s.Run(s.Now + 30*second)
		s.SetLink("state", leader.Label, simulation.Link{})
		s.eventually(200*second, "the work ends", s.Users.AllFinal)
		s.eventually(40*second, "it takes part again", func() bool { return leader.Ready })
	}
}

// A leader that reaches the state service and neither a machine nor a member steps down, once;
// while all machines are silent and the others report that they reach none either, the leader
// stays.
func TestLeaderThatReachesNobodyStepsDown(t *testing.T) {
	s := startWithMachines(t, 410, 6)
	leader, changes := s.leader(), 0
	for _, other := range []string{"workers", "node-0", "node-1", "node-2"} {
		if other != leader.Label {
			s.Partition(leader.Label, other, false)
		}
	}
	s.eventually(30*second, "another leads", func() bool { return s.anotherLeads(leader) })
	for range 600 {
		previous := s.currentLeader()
		s.Run(s.Now + second)
		if s.currentLeader() != previous {
			changes++
		}
	}
	if changes > 0 {
		t.Fatalf("the leader changed %d times in ten minutes of one and the same cut", changes)
	}
	s.eventually(10*second, "the work has ended meanwhile", s.Users.AllFinal)

	s = startWithMachines(t, 411, 6)
	leader = s.leader()
	for _, node := range s.Nodes {
		s.Partition(node.Label, "workers", false)
	}
	s.Run(s.Now + 60*second)
	for _, node := range s.Nodes {
		s.Heal(node.Label, "workers")
	}
	if s.currentLeader() != leader {
		t.Fatal("the leader changed although nobody else reaches more")
	}
	s.eventually(200*second, "the work ends", s.Users.AllFinal)
}

// A leader without reachable machines that loses its members' links steps down, and does not
// take the machines that they serve meanwhile, whether it knows already that it reaches none or
// has yet to find out.
func TestLeaderWithoutReachableMachinesTakesNone(t *testing.T) {
	for seed, detected := range []bool{true, false} {
		s := startWithMachines(t, 420+uint64(seed), 60)
		leader := s.leader()
		s.Partition(leader.Label, "workers", false)
		if s.Run(s.Now + 2*second); detected {
			s.eventually(15*second, "it leaves the shard map", func() bool { return s.logged("leaving the shard map") })
			s.Run(s.Now + 5*second)
		}
		for _, other := range s.Nodes {
			if other != leader {
				s.SetLinks(leader.Label, other.Label, simulation.Refused)
			}
		}
		s.eventually(6*second, "another leads", func() bool { return s.anotherLeads(leader) })
		s.Run(s.Now + 20*second)
		if s.logged("members [" + leader.Label + "]") {
			t.Fatal("it took all machines for itself, and reaches none")
		}
		s.eventually(200*second, "the work ends", s.Users.AllFinal)
	}
}

// A member that was cut from everything and reaches the state service again, but no machine,
// is not given any; once machines answer it, it is.
func TestRejoiningMemberWithoutReachableMachinesIsGivenNone(t *testing.T) {
	s := startWithMachines(t, 430, 6)
	s.Users.Submit(simulation.Array(24), 100) // or the machines are returned meanwhile, and there are none to reach
	node := s.follower()
	for _, end := range []string{"state", "workers", "node-0", "node-1", "node-2"} {
		if end != node.Label {
			s.Partition(node.Label, end, true)
		}
	}
	s.Run(s.Now + 30*second)
	s.Logs = nil
	for _, end := range []string{"state", "node-0", "node-1", "node-2"} {
		s.Heal(node.Label, end)
	}
	s.Run(s.Now + 20*second)
	if s.logged("controller rejoined the shard map") {
		t.Fatal("it is given machines that it does not reach")
	}
	s.Heal(node.Label, "workers")
	s.eventually(12*second, "it takes part again", func() bool { return s.logged("controller rejoined the shard map") })
	s.eventually(200*second, "the work ends", s.Users.AllFinal)
}

// A controller that loses the machines notices it soon after a heartbeat period, whatever the
// lease; one whose process only stood still does not leave the shard map.
func TestUnreachableMachinesAreDetectedSoonAfterAHeartbeatPeriod(t *testing.T) {
	s := startWithMachines(t, 440, 60)
	node := s.follower()
	node.Pause(5 * second) // less than its lease
	s.Run(s.Now + 15*second)
	if s.logged("leaving the shard map") {
		t.Fatal("it leaves the shard map for having stood still")
	}
	s.Partition(node.Label, "workers", false)
	s.eventually(4*second, "it leaves the shard map", func() bool { return s.logged("leaving the shard map") })
}

// A member whose machines are heard and hear nothing gives them up before their leases end,
// whether its calls are lost or their answers.
func TestMemberLeavesShardMapDuringOneWayPartition(t *testing.T) {
	s := newScenario(t, 450)
	for range 30 {
		s.Cloud.AddRunning("box", "b", true)
	}
	for at := 10 * second; at < 90*second; at += second {
		s.At(at, func() { s.Users.Submit(simulation.Array(3), 5) })
	}
	s.Run(30 * second)
	node := s.follower()
	s.SetLink(node.Label, "workers", simulation.Dropped)
	s.eventually(13*second, "it leaves the shard map", func() bool { return s.logged("leaving the shard map") })
	s.Run(s.Now + 40*second)
	s.SetLink(node.Label, "workers", simulation.Link{})
	s.eventually(60*second, "it takes part again", func() bool { return s.logged("rejoining the shard map") })
	s.eventually(200*second, "the work ends", s.Users.AllFinal)
}

// A controller that the state service does not serve is soon not ready, so that users are sent
// to others; in an outage that all see, users still find some that tell them to retry.
func TestNodeWithoutStoreIsNotReady(t *testing.T) {
	s := newBusyScenario(t, 460, 10*second)
	node := s.follower()
	s.Partition(node.Label, "state", false)
	s.eventually(3500*time.Millisecond, "it is not ready", func() bool { return !node.Ready })
	s.Heal(node.Label, "state")
	s.eventually(10*second, "it is ready", func() bool { return node.Ready })
	s.Store.Outage(20 * second)
	noneReady := time.Duration(0)
	for range 200 {
		s.Run(s.Now + second/10)
		if !slices.ContainsFunc(s.Nodes, func(n *simulation.Node) bool { return n.Ready }) {
			noneReady += second / 10
		}
	}
	if noneReady > second {
		t.Fatalf("for %v of an outage users find nobody", noneReady)
	}
}

// A member that was cut off with the machines of its zone, and comes back, does not count the
// calls that were lost at the beginning of the cut against its links.
func TestRejoinedMemberStaysInTheShardMap(t *testing.T) {
	s := newScenario(t, 470)
	for i := range 30 {
		s.Cloud.AddRunning("box", []string{"a", "b"}[i%2], true)
	}
	s.Run(s.Now + 10*second)
	node := s.follower()
	node.Zone = "b"
	for at := s.Now; at < s.Now+100*second; at += second / 4 {
		s.At(at, func() { s.Users.Submit(simulation.Array(6), 5) })
	}
	s.Run(s.Now + 5*second)
	s.PartitionZone("b", "", false)
	s.Run(s.Now + 60*second)
	s.Logs = nil
	s.HealZone("b", "")
	s.eventually(10*second, "it takes part again", func() bool { return s.logged("controller rejoined the shard map") })
	s.Run(s.Now + 30*second)
	if s.logged("leaving the shard map") {
		t.Fatal("it leaves at once, for what was lost during the cut")
	}
}
