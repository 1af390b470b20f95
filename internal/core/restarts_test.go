package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Processes that end and are back within a fraction of a second, at the moments that matter.
// In all of these copies of what was sent arrive later, work goes on, and one job is
// cancelled in the middle.
func TestFastRestarts(t *testing.T) {
	const soon = second / 20
	for name, ends := range map[string]func(s *scenario){
		"the leader is back before its keys have ended": func(s *scenario) { s.leader().Crash(soon) },
		"it ends again as soon as it has the leader key": func(s *scenario) {
			n := s.leader()
			for range 4 {
				n.Crash(soon)
				s.eventually(30*second, "it leads again", func() bool { return s.currentLeader() == n })
			}
		},
		"it ends between the map and the first dispatch": func(s *scenario) {
			n := s.leader()
			n.Crash(soon)
			s.Logs = nil
			s.eventually(30*second, "there is a new map", func() bool { return s.logged(n.Label + " new shard map") })
			n.Crash(soon)
		},
		"a member is back while its former life's words are held": func(s *scenario) {
			n := s.follower()
			s.Cut(n.Label, "state", true)
			s.Cut(n.Label, "workers", true)
			s.Run(s.Now + second)
			n.Crash(soon)
			s.Run(s.Now + second/2)
			n.Crash(soon) // none of the three can be heard
			s.After(20*second, func() { s.Mend(n.Label, "state"); s.Mend(n.Label, "workers") })
		},
		"all end and return in another order": func(s *scenario) {
			for i, n := range s.Nodes {
				n.Crash(soon * time.Duration(1+(i+2)%3))
			}
		},
		"ten ends in ten seconds": func(s *scenario) {
			for i := range 10 {
				s.Nodes[i%3].Crash(soon)
				s.Run(s.Now + second)
			}
		},
		"whoever takes the lead ends": func(s *scenario) {
			for range 3 {
				s.leader().Crash(8 * second)
				s.eventually(30*second, "another one leads", func() bool { return s.currentLeader() != nil })
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				s := newScenario(t, 800+seed)
				s.Copies, s.CopyBy = 0.3, 100*second
				long := s.submitAccepted(simulation.Array(12), 30)
				next := s.submitAccepted(dependentArray(6, long), 5)
				cut := s.submitAccepted(simulation.Array(10), 200)
				for range 3 {
					s.Users.Submit(simulation.Array(8), 6)
				}
				s.Run(s.Now + 20*second)
				ends(s)
				s.Users.Abort(cut)
				s.Users.Submit(simulation.Array(5), 4)
				s.eventually(300*second, "all come to their end", s.Users.AllTold)
				s.Run(s.Now + 100*second) // the last copies arrive
				s.requireInvariants()
				if !toldState(protocol.JobDone, long, next)() || cut.Told != protocol.JobCancelled {
					t.Fatal(long.Told, next.Told, cut.Told)
				}
			}
		})
	}
}

// A member that is back at once, while the map still names its former process, has no
// machines to tell of. That is no word about what its former process was given: its starts
// may still be on their way, and the leader once took them for lost and had them run twice.
func TestNewProcessUnderStaleMapReportsNothing(t *testing.T) {
	for _, old := range []bool{false, true} { // the leader, as it is in production
		s := newScenario(t, 90)
		for range 12 {
			s.Cloud.Add("box", "b", true)
		}
		s.Run(s.Now + 10*second)
		if l := s.leader(); old {
			l.Old = true
			l.Crash(second / 10)
			s.Run(s.Now + 10*second)
		}
		member, ended, epoch, given := s.follower(), false, uint64(0), map[string]uint64{}
		s.Link(member.Label, "workers", simulation.Link{Delay: 300 * time.Millisecond})
		s.Applied = func(n *simulation.Node, cmds []core.Command, _ time.Duration) {
			for _, c := range cmds {
				line, ok := c.(core.PeerReceived)
				if ok && ended && n != member && line.Message.Snapshot && line.Message.Epoch == epoch {
					t.Error("the new process tells of the former one's machines")
				}
				if !ok || n != member {
					continue
				}
				if !ended {
					epoch = line.Message.Epoch
				}
				for _, d := range line.Message.Dispatch {
					if before := given[d.Task]; before != 0 && before != d.Attempt && before>>28 == d.Attempt>>28 {
						t.Errorf("%s is dispatched again under one and the same map", d.Task)
					}
					given[d.Task] = d.Attempt
				}
				if len(given) > 0 && !ended {
					ended = true
					s.Link(s.leader().Label, "state", simulation.Link{Delay: second / 10}) // the next map takes its time
					s.After(time.Millisecond/4, func() { n.Crash(second / 50) })           // before anybody hears of it
				}
			}
		}
		for range 8 {
			s.Users.Submit(simulation.Array(4), 10)
		}
		s.eventually(30*second, "the member ends", func() bool { return ended })
		s.Run(s.Now + 5*second)
		s.Link(member.Label, "workers", simulation.Link{})
		s.eventually(200*second, "the work ends", s.Users.AllTold)
	}
}
