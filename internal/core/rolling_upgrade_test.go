package core_test

import (
	"slices"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// startOldVersion has all controllers run the version before, allNew ends them and has them come
// back with this one, allEnd only ends them.
func (s *scenario) startOldVersion() {
	for _, n := range s.Nodes {
		n.Old = true
		n.Start()
	}
}

func (s *scenario) upgradeAll() {
	for _, n := range s.Nodes {
		n.Old = false
	}
	s.crashAll(second / 5)
}

// A roll: one controller after another comes back with the new version, the leader first;
// what is new is refused while an old one lives, and works at once after.
func TestRollingUpgrade(t *testing.T) {
	s := newScenario(t, 306)
	for _, n := range s.Nodes {
		n.Old = true
		n.Crash(second / 20)
	}
	s.Run(s.Now + 30*second)
	before := s.submitAccepted(simulation.Array(30), 20)
	var after *simulation.Job
	for k := range s.Nodes {
		n := s.leader()
		for i := k; !n.Old; i++ {
			n = s.Nodes[i%len(s.Nodes)]
		}
		n.Old = false
		n.Crash(second / 5)
		s.Run(s.Now + 8*second)
		if k == 1 {
			old := s.Nodes[slices.IndexFunc(s.Nodes, func(n *simulation.Node) bool { return n.Old })]
			s.Link("users", old.Label, simulation.Refused) // it would take the job without its needs
			after = s.Users.Submit(dependentArray(2, before), 3)
			s.Run(s.Now + 6*second)
			if after.Accepted {
				t.Fatal("accepted while an old controller lives")
			}
			s.Link("users", old.Label, simulation.Link{})
		}
	}
	s.eventually(200*second, "all is done", func() bool { return toldState(protocol.JobDone, before)() && after.Told == protocol.JobDone })
}

// Everything at once across a roll: a controller that is cut off, one that stands still,
// limits that fall during an outage, a wave of machines, and all end when half are new.
func TestRollingUpgradeDuringFaults(t *testing.T) {
	for seed := range uint64(12) {
		set := simulation.Settings(4)
		set.Site.State.Next = &config.State{WriteRPS: 30, ValueKB: 2, TxnOps: 5}
		s := &scenario{World: simulation.Build(320+seed, set, simulation.Types()), t: t}
		s.startOldVersion()
		for range 30 {
			s.Cloud.Add("box", "a", true)
		}
		s.Run(s.Now + 10*second)
		var jobs []*simulation.Job
		for range 8 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(30), 12))
		}
		s.Run(s.Now + 10*second)
		s.partition(25*second, s.Nodes[0].Label, "state")
		for k, n := range s.Nodes {
			n.Old = false
			n.Crash(second / 5)
			s.Run(s.Now + 3*second)
			switch k {
			case 1:
				for i, x := range s.Nodes {
					x.Crash(second * time.Duration(1+(i+int(seed))%4) / 10)
				}
				s.State.Outage(12 * second)
				s.After(4*second, func() { s.State.Lowered = true })
				for range 60 {
					s.Cloud.Add("box", "b", true)
				}
			case 2:
				s.Run(s.Now + 2*second)
				s.Nodes[3].StandStill(20 * second)
			}
		}
		s.Run(s.Now + 30*second)
		jobs = append(jobs, s.Users.Submit(simulation.Array(5), 4))
		s.eventually(60*second, "it is accepted", func() bool { return jobs[8].Accepted })
		jobs = append(jobs, s.Users.Submit(dependentArray(5, jobs...), 4))
		s.eventually(400*second, "all is done", toldState(protocol.JobDone, jobs...))
	}
}
