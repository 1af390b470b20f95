package core_test

import (
	"slices"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// startOldVersion starts all controllers with the previous version.
func (s *scenario) startOldVersion() {
	for _, node := range s.Nodes {
		node.PreviousVersion = true
		node.Start()
	}
}

// upgradeAll restarts all controllers with the present version.
func (s *scenario) upgradeAll() {
	for _, node := range s.Nodes {
		node.PreviousVersion = false
	}
	s.crashAll(second / 5)
}

// upgrade restarts a controller with the present version.
func upgrade(node *simulation.Node) {
	node.PreviousVersion = false
	node.Crash(second / 5)
}

// One controller after another restarts with the present version, the leader first: what is new
// is rejected while one of the previous version lives, and works at once after.
func TestRollingUpgrade(t *testing.T) {
	s := newScenario(t, 306)
	for _, node := range s.Nodes {
		node.PreviousVersion = true
		node.Crash(second / 20)
	}
	s.Run(s.Now + 30*second)
	before := s.submitAccepted(simulation.Array(30), 20)
	var after *simulation.Job
	for k := range s.Nodes {
		node := s.leader()
		for i := k; !node.PreviousVersion; i++ {
			node = s.Nodes[i%len(s.Nodes)]
		}
		upgrade(node)
		s.Run(s.Now + 8*second)
		if k == 1 {
			old := s.Nodes[slices.IndexFunc(s.Nodes, func(node *simulation.Node) bool { return node.PreviousVersion })]
			s.SetLink("users", old.Label, simulation.Refused) // it would accept the job without its dependencies
			after = s.Users.Submit(dependentArray(2, before), 3)
			s.Run(s.Now + 6*second)
			if after.Accepted {
				t.Fatal("accepted while a controller of the previous version lives")
			}
			s.SetLink("users", old.Label, simulation.Link{})
		}
	}
	s.eventually(200*second, "all is done", lastStateIs(protocol.JobDone, before, after))
}

// A rolling upgrade with a controller that is partitioned, one that is paused, limits that are
// lowered during an outage, a wave of machines, and a crash of all when half are upgraded.
func TestRollingUpgradeDuringFaults(t *testing.T) {
	for seed := range uint64(12) {
		settings := simulation.Settings(4)
		settings.Site.Store.Next = &config.StoreLimits{WriteRPS: 30, ValueKB: 2, MaxTxnOps: 5}
		s := &scenario{Cluster: simulation.NewWithSettings(320+seed, settings, simulation.MachineTypes()), t: t}
		s.startOldVersion()
		for range 30 {
			s.Cloud.AddRunning("box", "a", true)
		}
		s.Run(s.Now + 10*second)
		var jobs []*simulation.Job
		for range 8 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(30), 12))
		}
		s.Run(s.Now + 10*second)
		s.partition(25*second, s.Nodes[0].Label, "state")
		for k, node := range s.Nodes {
			upgrade(node)
			s.Run(s.Now + 3*second)
			switch k {
			case 1:
				s.crashAllInOutage(seed)
			case 2:
				s.Run(s.Now + 2*second)
				s.Nodes[3].Pause(20 * second)
			}
		}
		s.Run(s.Now + 30*second)
		jobs = append(jobs, s.Users.Submit(simulation.Array(5), 4))
		s.eventually(60*second, "it is accepted", func() bool { return jobs[8].Accepted })
		jobs = append(jobs, s.Users.Submit(dependentArray(5, jobs...), 4))
		s.eventually(400*second, "all is done", lastStateIs(protocol.JobDone, jobs...))
	}
}

// crashAllInOutage crashes all controllers, which come back in an order of the seed, in an outage
// of the state service in which its limits are lowered and many machines come up.
func (s *scenario) crashAllInOutage(seed uint64) {
	for i, node := range s.Nodes {
		node.Crash(second * time.Duration(1+(i+int(seed))%4) / 10)
	}
	s.Store.Outage(12 * second)
	s.After(4*second, func() { s.Store.LimitsLowered = true })
	for range 60 {
		s.Cloud.AddRunning("box", "b", true)
	}
}
