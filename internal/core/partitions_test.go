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

// TestEveryPartition simulates a fixed part of the subsets of cut links by default. To simulate all of
// them:
//
//	go test ./internal/core -run EveryPartition -everycut
//
// To simulate only one of them and show its log, add:
//
//	-cuts "second<workers third>workers" -debuglogs
var (
	everyCut = flag.Bool("everycut", false, "EveryPartition simulates every subset of cut links")
	onlyCuts = flag.String("cuts", "", "EveryPartition simulates this subset alone and shows its log")
)

// linkEndpoints are the endpoints between which links are cut: three controllers, the state service,
// and all workers together as one endpoint. linkPairs are the links, as pairs of indexes into
// linkEndpoints.
var (
	linkEndpoints = []string{"leader", "second", "third", "state", "workers"}
	linkPairs     = [][2]int{{0, 3}, {0, 4}, {1, 3}, {1, 4}, {2, 3}, {2, 4}, {0, 1}, {0, 2}, {1, 2}}
)

// cutSet is the set of the directions of links that are cut. Bit 2i is for the direction of link i that
// leads away from the first endpoint of its pair, bit 2i+1 for the opposite one.
type cutSet uint32

// bidirectional returns the set of both directions of some links. Bit i of links is for link i.
func bidirectional(links uint) (c cutSet) {
	for i := range linkPairs {
		c |= cutSet(links>>i&1) * 3 << (2 * i)
	}
	return c
}

// cuts reports whether at least one direction of a link is cut.
func (c cutSet) cuts(link int) bool { return c>>(2*link)&3 != 0 }

// mirrored returns the set with the second and third controllers exchanged. It is equivalent to c, since
// neither of them leads.
func (c cutSet) mirrored() (m cutSet) {
	for i, j := range []int{0, 1, 4, 5, 2, 3, 7, 6, 8} {
		m |= c >> (2 * i) & 3 << (2 * j)
	}
	if d := m >> 16 & 3; d == 1 || d == 2 { // the link between these two controllers is reversed
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

// workMustContinue reports whether tasks must be started in spite of the cuts, because some controller
// has uncut links to the state service and to the workers.
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
	starts        int    // tasks started while links were cut, after the controllers had time to react
	timedOutUsers int    // requests of users that got no response in time
	failure       string // empty if there was none
	logs          []string
}

// simulateCuts runs a simulation in which the link directions of c are cut and then healed in two steps:
// the lower one of c's halves first if lowFirst is set, the other one first if not. blocked is the fault
// of each direction that is cut, and mode its name.
func simulateCuts(t testing.TB, c cutSet, blocked simulation.Link, mode string, lowFirst bool) (result cutResult) {
	result.name = fmt.Sprintf("%s: %s, lower half healed first %v", mode, c, lowFirst)
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
		result.failure = "jobs are not final 150 s after the last links were healed"
	}
	if len(s.Violations) > 0 {
		result.failure = strings.Join(s.Violations, "\n")
	}
	result.logs = s.Logs
	return result
}

// endpointLabels returns the labels of linkEndpoints in the scenario's cluster, in the same order.
func (s *scenario) endpointLabels() []string {
	ends := []string{s.leader().Label}
	for _, node := range s.Nodes {
		if node.Label != ends[0] {
			ends = append(ends, node.Label)
		}
	}
	return append(ends, "state", "workers")
}

// halves splits a set by its links. lower gets links from the lowest on, until they have half of the
// set's directions, rounded down, or one more. upper gets the other links.
func (c cutSet) halves() (lower, upper cutSet) {
	for i := range linkPairs {
		if c.cuts(i) && bits.OnesCount32(uint32(lower)) < bits.OnesCount32(uint32(c))/2 {
			lower |= c & (3 << (2 * i))
		}
	}
	return lower, c &^ lower
}

// TestEveryPartition cuts links between three controllers, the state service and the workers: each link
// alone, each pair of links, and each direction alone. With the flag everycut it cuts every subset of
// links and each pair of directions as well. Whatever is cut, no invariant may be violated, and all jobs
// must become final once the links are healed. While links are cut, tasks must start if some controller
// reaches both the state service and the workers, and every user request must get a response in time.
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

// cutSetsToSimulate returns the sets that the flags select, only one of each two that are mirrored.
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

// check sets failure if the result violates what TestEveryPartition requires with the set c.
func (r *cutResult) check(c cutSet) {
	switch {
	case r.failure != "":
	case c.workMustContinue() && r.starts == 0:
		r.failure = "no task starts although a controller reaches the state service and the workers"
	case r.timedOutUsers > 0:
		r.failure = fmt.Sprintf("%d requests of users got no response in time", r.timedOutUsers)
	}
}

// startWithMachines starts a busy scenario, adds the given number of running machines, and runs it for
// another 10 s.
func startWithMachines(t *testing.T, seed uint64, machines int) *scenario {
	s := newBusyScenario(t, seed, 10*second)
	for range machines {
		s.Cloud.AddRunning("box", "b", false)
	}
	s.Run(s.Now + 10*second)
	return s
}

// anotherLeads reports whether a node other than except leads, whether or not except itself still acts as
// the leader.
func (s *scenario) anotherLeads(except *simulation.Node) bool {
	return slices.ContainsFunc(s.Nodes, func(node *simulation.Node) bool {
		return node != except && node.Alive() && node.Core.IsLeader()
	})
}

// A leader's requests arrive at the state service, but it receives no responses. It must let its lease
// expire. Guards against the fault that it continued to renew the lease, which kept its keys, so that no
// controller led for as long as the responses were lost.
func TestLeaderWithoutResponsesLetsItsLeaseExpire(t *testing.T) {
	for seed, blocked := range []simulation.Link{simulation.Dropped, simulation.Held} {
		s := newBusyScenario(t, 400+uint64(seed), 10*second)
		leader := s.leader()
		s.SetLink("state", leader.Label, blocked)
		s.eventually(40*second, "another controller leads", func() bool { return s.anotherLeads(leader) })
		s.Run(s.Now + 30*second)
		s.SetLink("state", leader.Label, simulation.Link{})
		s.eventually(200*second, "all jobs are final", s.Users.AllFinal)
		s.eventually(40*second, "the former leader is ready again", func() bool { return leader.Ready })
	}
}

// A leader that reaches the state service, but neither a machine nor another controller, steps down,
// and does so only once. If all machines are silent, and the other controllers report that they reach
// none either, the leader does not step down.
func TestLeaderThatReachesOnlyTheStoreStepsDown(t *testing.T) {
	s := startWithMachines(t, 410, 6)
	leader, changes := s.leader(), 0
	for _, other := range []string{"workers", "node-0", "node-1", "node-2"} {
		if other != leader.Label {
			s.Partition(leader.Label, other, false)
		}
	}
	s.eventually(30*second, "another controller leads", func() bool { return s.anotherLeads(leader) })
	for range 600 {
		previous := s.currentLeader()
		s.Run(s.Now + second)
		if s.currentLeader() != previous {
			changes++
		}
	}
	if changes > 0 {
		t.Fatalf("the leader changed %d times in ten minutes of the same partition, want no change", changes)
	}
	s.eventually(10*second, "all jobs are final", s.Users.AllFinal)

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
		t.Fatal("the leader changed although no other controller reaches a machine")
	}
	s.eventually(200*second, "all jobs are final", s.Users.AllFinal)
}

// A leader that reaches no machine and then loses its links to the other members steps down. It must
// not take over the machines that these members serve, whether or not it has already detected that it
// reaches none.
func TestLeaderWithoutReachableMachinesTakesOverNone(t *testing.T) {
	for seed, detected := range []bool{true, false} {
		s := startWithMachines(t, 420+uint64(seed), 60)
		leader := s.leader()
		s.Partition(leader.Label, "workers", false)
		if s.Run(s.Now + 2*second); detected {
			s.eventually(15*second, "the leader leaves the shard map", func() bool { return s.logged("leaving the shard map") })
			s.Run(s.Now + 5*second)
		}
		for _, other := range s.Nodes {
			if other != leader {
				s.SetLinks(leader.Label, other.Label, simulation.Refused)
			}
		}
		s.eventually(6*second, "another controller leads", func() bool { return s.anotherLeads(leader) })
		s.Run(s.Now + 20*second)
		if s.logged("members [" + leader.Label + "]") {
			t.Fatal("the leader wrote a shard map with itself as the only member, and reaches no machine")
		}
		s.eventually(200*second, "all jobs are final", s.Users.AllFinal)
	}
}

// A member was partitioned from everything. Once it reaches the state service and the other controllers
// again, but no machine, it must not rejoin the shard map. Once it reaches machines, it must rejoin.
func TestMemberRejoinsShardMapOnlyOnceItReachesMachines(t *testing.T) {
	s := startWithMachines(t, 430, 6)
	s.Users.Submit(simulation.Array(24), 100) // keeps the machines in use, otherwise they would be returned and there would be none to reach
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
		t.Fatal("the controller rejoined the shard map although it reaches no machine")
	}
	s.Heal(node.Label, "workers")
	s.eventually(12*second, "the controller rejoins the shard map", func() bool { return s.logged("controller rejoined the shard map") })
	s.eventually(200*second, "all jobs are final", s.Users.AllFinal)
}

// A controller that is partitioned from all machines detects this soon after one heartbeat period,
// whatever the lease is. A controller whose process was only paused does not leave the shard map.
func TestUnreachableMachinesAreDetectedSoonAfterAHeartbeatPeriod(t *testing.T) {
	s := startWithMachines(t, 440, 60)
	node := s.follower()
	node.Pause(5 * second) // shorter than the controller's lease
	s.Run(s.Now + 15*second)
	if s.logged("leaving the shard map") {
		t.Fatal("a controller left the shard map because its process was paused")
	}
	s.Partition(node.Label, "workers", false)
	s.eventually(4*second, "the partitioned controller leaves the shard map", func() bool { return s.logged("leaving the shard map") })
}

// A member receives heartbeats from its machines, but neither its calls nor its responses reach them. It
// must leave the shard map, and so release the machines, before their leases expire.
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
	s.eventually(13*second, "the member leaves the shard map", func() bool { return s.logged("leaving the shard map") })
	s.Run(s.Now + 40*second)
	s.SetLink(node.Label, "workers", simulation.Link{})
	s.eventually(60*second, "the controller rejoins the shard map", func() bool { return s.logged("rejoining the shard map") })
	s.eventually(200*second, "all jobs are final", s.Users.AllFinal)
}

// A controller that the state service does not serve soon reports that it is not ready, so that the
// load balancer sends users to others. In an outage that affects all controllers, some stay ready and
// respond that users should retry.
func TestNodeWithoutStoreIsNotReady(t *testing.T) {
	s := newBusyScenario(t, 460, 10*second)
	node := s.follower()
	s.Partition(node.Label, "state", false)
	s.eventually(3500*time.Millisecond, "the controller is not ready", func() bool { return !node.Ready })
	s.Heal(node.Label, "state")
	s.eventually(10*second, "the controller is ready again", func() bool { return node.Ready })
	s.Store.Outage(20 * second)
	noneReady := time.Duration(0)
	for range 200 {
		s.Run(s.Now + second/10)
		if !slices.ContainsFunc(s.Nodes, func(n *simulation.Node) bool { return n.Ready }) {
			noneReady += second / 10
		}
	}
	if noneReady > second {
		t.Fatalf("no controller was ready for %v of an outage, want 1 s at the most", noneReady)
	}
}

// A member was partitioned together with the machines of its zone and rejoins the shard map. It must
// not leave the map again because of calls that were lost when the partition began.
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
	s.eventually(10*second, "the member rejoins the shard map", func() bool { return s.logged("controller rejoined the shard map") })
	s.Run(s.Now + 30*second)
	if s.logged("leaving the shard map") {
		t.Fatal("the member left the shard map again, because of calls that were lost during the partition")
	}
}
