package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Controllers that crash and restart within a fraction of a second, at critical moments.
// In all of these, duplicates of messages arrive later, work goes on, and one job is
// cancelled in the middle.
func TestFastRestarts(t *testing.T) {
	const soon = second / 20
	for name, ends := range map[string]func(s *scenario){
		"the leader restarts before its keys have expired": func(s *scenario) { s.leader().Crash(soon) },
		"it crashes again as soon as it has the leader key": func(s *scenario) {
			node := s.leader()
			for range 4 {
				node.Crash(soon)
				s.eventually(30*second, "it leads again", func() bool { return s.currentLeader() == node })
			}
		},
		"it crashes between the shard map and the first dispatch": func(s *scenario) {
			node := s.leader()
			node.Crash(soon)
			s.Logs = nil
			s.eventually(30*second, "there is a new shard map", func() bool { return s.logged(node.Label + " new shard map") })
			node.Crash(soon)
		},
		"a member restarts while messages of its former process are delayed": func(s *scenario) {
			node := s.follower()
			s.Partition(node.Label, "state", true)
			s.Partition(node.Label, "workers", true)
			s.Run(s.Now + second)
			node.Crash(soon)
			s.Run(s.Now + second/2)
			node.Crash(soon) // none of the three can be heard
			s.After(20*second, func() { s.Heal(node.Label, "state"); s.Heal(node.Label, "workers") })
		},
		"all crash and restart in another order": func(s *scenario) {
			for i, node := range s.Nodes {
				node.Crash(soon * time.Duration(1+(i+2)%3))
			}
		},
		"ten crashes in ten seconds": func(s *scenario) {
			for i := range 10 {
				s.Nodes[i%3].Crash(soon)
				s.Run(s.Now + second)
			}
		},
		"every new leader crashes": func(s *scenario) {
			for range 3 {
				s.leader().Crash(8 * second)
				s.eventually(30*second, "another one leads", func() bool { return s.currentLeader() != nil })
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				s := newScenario(t, 800+seed)
				s.DuplicateShare, s.MaxDuplicateDelay = 0.3, 100*second
				long := s.submitAccepted(simulation.Array(12), 30)
				next := s.submitAccepted(dependentArray(6, long), 5)
				cancelled := s.submitAccepted(simulation.Array(10), 200)
				for range 3 {
					s.Users.Submit(simulation.Array(8), 6)
				}
				s.Run(s.Now + 20*second)
				ends(s)
				s.Users.Cancel(cancelled)
				s.Users.Submit(simulation.Array(5), 4)
				s.eventually(300*second, "all come to their end", s.Users.AllFinal)
				s.Run(s.Now + 100*second) // the last copies arrive
				s.requireInvariants()
				if !lastStateIs(protocol.JobDone, long, next)() || cancelled.LastState != protocol.JobCancelled {
					t.Fatal(long.LastState, next.LastState, cancelled.LastState)
				}
			}
		})
	}
}

// A member that has restarted while the shard map still names its former process has no
// machines to report. That says nothing of what its former process was given: its starts
// may still be on their way, and the leader once took them for lost and had them run twice.
func TestNewProcessUnderStaleMapReportsNothing(t *testing.T) {
	for _, old := range []bool{false, true} { // the leader, as it is in production
		s := newScenario(t, 90)
		for range 12 {
			s.Cloud.AddRunning("box", "b", true)
		}
		s.Run(s.Now + 10*second)
		if node := s.leader(); old {
			node.PreviousVersion = true
			node.Crash(second / 10)
			s.Run(s.Now + 10*second)
		}
		member, ended, epoch, given := s.follower(), false, uint64(0), map[string]uint64{}
		s.SetLink(member.Label, "workers", simulation.Link{Delay: 300 * time.Millisecond})
		s.OnApplied = func(n *simulation.Node, cmds []core.Command, _ time.Duration) {
			for _, command := range cmds {
				line, ok := command.(core.PeerReceived)
				if ok && ended && n != member && line.Message.Snapshot && line.Message.Epoch == epoch {
					t.Error("the new process reports the former one's machines")
				}
				if !ok || n != member {
					continue
				}
				if !ended {
					epoch = line.Message.Epoch
				}
				for _, dispatched := range line.Message.Dispatch {
					if before := given[dispatched.Task]; before != 0 && before != dispatched.Attempt && before>>28 == dispatched.Attempt>>28 {
						t.Errorf("%s is dispatched again under one and the same map", dispatched.Task)
					}
					given[dispatched.Task] = dispatched.Attempt
				}
				if len(given) > 0 && !ended {
					ended = true
					s.SetLink(s.leader().Label, "state", simulation.Link{Delay: second / 10}) // the next map takes its time
					s.After(time.Millisecond/4, func() { n.Crash(second / 50) })              // before anybody hears of it
				}
			}
		}
		for range 8 {
			s.Users.Submit(simulation.Array(4), 10)
		}
		s.eventually(30*second, "the member crashes", func() bool { return ended })
		s.Run(s.Now + 5*second)
		s.SetLink(member.Label, "workers", simulation.Link{})
		s.eventually(200*second, "the work ends", s.Users.AllFinal)
	}
}
