package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Controllers crash at critical moments and restart within a fraction of a second, or after 8 seconds where every
// new leader crashes. Meanwhile, duplicates of messages arrive up to 100 seconds late, users submit jobs and one
// job is cancelled. All jobs must reach their final state.
func TestJobsCompleteThroughFastRestarts(t *testing.T) {
	const restartDelay = second / 20
	for name, inject := range map[string]func(s *scenario){
		"the leader restarts before its keys have expired": func(s *scenario) { s.leader().Crash(restartDelay) },
		"the leader crashes each time it has the leader key": func(s *scenario) {
			node := s.leader()
			for range 4 {
				node.Crash(restartDelay)
				s.eventually(30*second, "the same controller is the leader again", func() bool { return s.currentLeader() == node })
			}
		},
		"the leader crashes between the shard map and the first dispatch": func(s *scenario) {
			node := s.leader()
			node.Crash(restartDelay)
			s.Logs = nil
			s.eventually(30*second, "the restarted controller takes part in a new shard map", func() bool { return s.logged(node.Label + " new shard map") })
			node.Crash(restartDelay)
		},
		"a follower restarts while messages of its former process are delayed": func(s *scenario) {
			node := s.follower()
			s.Partition(node.Label, "state", true)
			s.Partition(node.Label, "workers", true)
			s.Run(s.Now + second)
			node.Crash(restartDelay)
			s.Run(s.Now + second/2)
			node.Crash(restartDelay) // no message of its three processes gets through until the partition heals
			s.After(20*second, func() { s.Heal(node.Label, "state"); s.Heal(node.Label, "workers") })
		},
		"all controllers crash and restart in another order": func(s *scenario) {
			for i, node := range s.Nodes {
				node.Crash(restartDelay * time.Duration(1+(i+2)%3))
			}
		},
		"ten crashes in ten seconds": func(s *scenario) {
			for i := range 10 {
				s.Nodes[i%3].Crash(restartDelay)
				s.Run(s.Now + second)
			}
		},
		"every new leader crashes": func(s *scenario) {
			for range 3 {
				s.leader().Crash(8 * second)
				s.eventually(30*second, "a controller is the leader again", func() bool { return s.currentLeader() != nil })
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				s := newScenario(t, 800+seed)
				s.DuplicateShare, s.MaxDuplicateDelay = 0.3, 100*second
				long := s.submitAccepted(simulation.Array(12), 30)
				dependent := s.submitAccepted(dependentArray(6, long), 5)
				cancelled := s.submitAccepted(simulation.Array(10), 200)
				for range 3 {
					s.Users.Submit(simulation.Array(8), 6)
				}
				s.Run(s.Now + 20*second)
				inject(s)
				s.Users.Cancel(cancelled)
				s.Users.Submit(simulation.Array(5), 4)
				s.eventually(300*second, "every job is done or cancelled", s.Users.AllFinal)
				s.Run(s.Now + 100*second) // the last duplicates arrive
				s.requireInvariants()
				if !lastStateIs(protocol.JobDone, long, dependent)() || cancelled.LastState != protocol.JobCancelled {
					t.Fatal(long.LastState, dependent.LastState, cancelled.LastState)
				}
			}
		})
	}
}

// A member that has restarted while the shard map still names its former process must not report that it
// has no machines. Start commands of the former process may still be in flight. The leader once treated
// these dispatches as lost, dispatched the tasks again and had them run twice.
func TestRestartedMemberSendsNoSnapshotForFormerEpoch(t *testing.T) {
	for _, previousVersion := range []bool{false, true} { // whether the leader runs the previous version, the one in production
		s := newScenario(t, 90)
		for range 12 {
			s.Cloud.AddRunning("box", "b", true)
		}
		s.Run(s.Now + 10*second)
		if node := s.leader(); previousVersion {
			node.PreviousVersion = true
			node.Crash(second / 10)
			s.Run(s.Now + 10*second)
		}
		member, crashed, epoch, dispatchedAttempts := s.follower(), false, uint64(0), map[string]uint64{}
		s.SetLink(member.Label, "workers", simulation.Link{Delay: 300 * time.Millisecond})
		s.OnApplied = func(receiver *simulation.Node, cmds []core.Command, _ time.Duration) {
			for _, command := range cmds {
				received, ok := command.(core.PeerReceived)
				if ok && crashed && receiver != member && received.Message.Snapshot && received.Message.Epoch == epoch {
					t.Error("the new process sent a snapshot for the epoch of its former process")
				}
				if !ok || receiver != member {
					continue
				}
				if !crashed {
					epoch = received.Message.Epoch
				}
				for _, dispatched := range received.Message.Dispatch {
					if earlier := dispatchedAttempts[dispatched.Task]; earlier != 0 && earlier != dispatched.Attempt && earlier>>28 == dispatched.Attempt>>28 {
						t.Errorf("%s was dispatched again in the same epoch of the shard map", dispatched.Task)
					}
					dispatchedAttempts[dispatched.Task] = dispatched.Attempt
				}
				if len(dispatchedAttempts) > 0 && !crashed {
					crashed = true
					s.SetLink(s.leader().Label, "state", simulation.Link{Delay: second / 10}) // delays the next shard map
					s.After(time.Millisecond/4, func() { receiver.Crash(second / 50) })       // before any other process receives a message about the dispatch
				}
			}
		}
		for range 8 {
			s.Users.Submit(simulation.Array(4), 10)
		}
		s.eventually(30*second, "the member crashes after a dispatch", func() bool { return crashed })
		s.Run(s.Now + 5*second)
		s.SetLink(member.Label, "workers", simulation.Link{})
		s.eventually(200*second, "every job is done or cancelled", s.Users.AllFinal)
	}
}
