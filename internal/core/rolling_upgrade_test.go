package core_test

import (
	"slices"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

func (s *scenario) startOldVersion() {
	for _, node := range s.Nodes {
		node.PreviousVersion = true
		node.Start()
	}
}

// upgradeAll crashes all controllers, which restart with the present version.
func (s *scenario) upgradeAll() {
	for _, node := range s.Nodes {
		node.PreviousVersion = false
	}
	s.crashAll(second / 5)
}

// upgrade crashes a controller, which restarts with the present version.
func upgrade(node *simulation.Node) {
	node.PreviousVersion = false
	node.Crash(second / 5)
}

// One controller after another restarts with the present version, the leader first. A job with dependencies,
// which the previous version does not know, is not accepted while a controller of the previous version is
// alive, and is accepted and done after the last upgrade.
func TestRollingUpgrade(t *testing.T) {
	s := newScenario(t, 306)
	for _, node := range s.Nodes {
		node.PreviousVersion = true
		node.Crash(second / 20)
	}
	s.Run(s.Now + 30*second)
	first := s.submitAccepted(simulation.Array(30), 20)
	var dependent *simulation.Job
	for k := range s.Nodes {
		node := s.leader()
		for i := k; !node.PreviousVersion; i++ {
			node = s.Nodes[i%len(s.Nodes)]
		}
		upgrade(node)
		s.Run(s.Now + 8*second)
		if k == 1 {
			old := s.Nodes[slices.IndexFunc(s.Nodes, func(node *simulation.Node) bool { return node.PreviousVersion })]
			s.SetLink("users", old.Label, simulation.Refused) // the previous version would accept the job without its dependencies
			dependent = s.Users.Submit(dependentArray(2, first), 3)
			s.Run(s.Now + 6*second)
			if dependent.Accepted {
				t.Fatal("a job with dependencies was accepted while a controller of the previous version was alive")
			}
			s.SetLink("users", old.Label, simulation.Link{})
		}
	}
	s.eventually(200*second, "both jobs are done", lastStateIs(protocol.JobDone, first, dependent))
}

// A rolling upgrade during which one controller is partitioned from the state service and one is paused.
// When half of the controllers are upgraded, all of them crash during an outage of the state service, in
// which its limits are lowered and 60 machines start. Every job must be done in the end.
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
		s.eventually(60*second, "a job submitted after the upgrade is accepted", func() bool { return jobs[8].Accepted })
		jobs = append(jobs, s.Users.Submit(dependentArray(5, jobs...), 4))
		s.eventually(400*second, "all jobs are done", lastStateIs(protocol.JobDone, jobs...))
	}
}

// crashAllInOutage crashes all controllers and begins an outage of the state service. The seed determines
// the order in which the controllers restart. During the outage the limits of the state service are
// lowered, and 60 machines start.
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
