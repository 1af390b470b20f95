package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// What one round asks of a member with thousands of machines, and what that gives back at
// once, passes links that take no line of over 16 MiB: by themselves they once were one line.
func TestDispatchesForWholeFleetFitLinkLimit(t *testing.T) {
	const tasks = 64 // of a machine
	for _, machines := range []int{4000, 8000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			s := newScenario(t, 95)
			s.Run(s.Now + 10*second)
			leader, member := s.leader(), s.follower()
			s.SetLinks(leader.Label, member.Label, simulation.Link{MaxMessageBytes: peerproto.MaxLineBytes})
			var asked []peerproto.TaskAttempt // of a job that is unknown there: all of them come back
			var stops []peerproto.StopTask
			for i := range machines * tasks {
				try := peerproto.TaskAttempt{Task: protocol.TaskName("job-900000001", i), Attempt: 1<<40 + uint64(i), Machine: fmt.Sprintf("n-%07d", i/tasks)}
				asked = append(asked, try)
				stops = append(stops, peerproto.StopTask{Task: try.Task, Machine: try.Machine, Reason: "room for a more urgent job"})
			}
			var got, returned []peerproto.TaskAttempt
			var stopped []peerproto.StopTask
			s.OnApplied = func(n *simulation.Node, cmds []core.Command, _ time.Duration) {
				for _, c := range cmds {
					line, ok := c.(core.PeerReceived)
					switch {
					case ok && n == member:
						got, stopped = append(got, line.Message.Dispatch...), append(stopped, line.Message.Stop...)
					case ok && n == leader:
						returned = append(returned, line.Message.Returned...)
					}
				}
			}
			leader.Core.QueueForShard(member.Label, asked, stops)
			s.eventually(5*second, "all is asked and given back", func() bool { return len(returned) >= len(asked) })
			if !slices.Equal(got, asked) || !slices.Equal(stopped, stops) {
				t.Fatalf("%d of %d dispatches and %d stops arrive, or not in their order", len(got), len(asked), len(stopped))
			}
			for i := range returned {
				if returned[i].Task != asked[i].Task || returned[i].Attempt != asked[i].Attempt {
					t.Fatalf("%+v is given back for %+v", returned[i], asked[i])
				}
			}
		})
	}
}

// Jobs are cancelled as fast as the state service of a fleet takes changes while one
// controller hears nothing of it; then nobody is served. All of these cancellations are
// listed, so that workers are kept alive and no task is lost. Where a mirror may lag 9 s, 1,024
// of them were too few from some 1,650 machines on, at the rates of a site of 1,454 machines
// with 100 changes a second.
func TestCancellationsOfWholeFleetAreListed(t *testing.T) {
	for _, machines := range []int{4000, 8000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			set := simulation.Settings(3)
			set.Site.Store.RPS, set.Site.Store.WriteRPS = 250*float64(machines)/1454, 100*float64(machines)/1454
			set.Site.Workers.LeaseS, set.Site.Workers.CancelS = 26.5, 51.5
			s := &scenario{Cluster: simulation.NewWithSettings(96, set, simulation.MachineTypes()), t: t}
			s.Run(s.Now + 10*second)
			long := s.Users.Submit(simulation.Array(12), 150)
			s.eventually(60*second, "all tasks run", func() bool { return long.RunningTasks() == 12 })
			s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0 // the others wait
			perTick := int(set.Site.Store.WriteRPS * 0.9 / 10)
			var gone []*simulation.Job
			for range 80 * perTick {
				gone = append(gone, s.Users.Submit(simulation.Array(1), 300))
			}
			s.eventually(60*second, "all jobs are accepted", func() bool {
				return !slices.ContainsFunc(gone, func(j *simulation.Job) bool { return !j.Accepted })
			})
			s.Users.OnlyNode = s.leader()
			behind := s.follower()
			s.Partition(behind.Label, "state", true)
			for i := range 80 { // 8 s: a mirror is too old to act on after 9
				for _, j := range gone[i*perTick : (i+1)*perTick] {
					s.Users.Cancel(j)
				}
				s.Run(s.Now + second/10)
			}
			told := 0
			for _, j := range gone {
				if j.LastState == protocol.JobCancelled {
					told++
				}
			}
			if told < 1500 {
				t.Fatalf("only %d users were told", told)
			}
			s.Store.Outage(40 * second)
			s.Heal(behind.Label, "state")
			s.Logs = nil
			least := 12
			for range 38 {
				s.Run(s.Now + second)
				least = min(least, long.RunningTasks())
			}
			s.requireInvariants()
			if least < 12 || !s.logged("workers are kept alive") {
				t.Fatalf("%d of 12 tasks were left after %d cancellations\n%s", least, told, s.lastLogs(*logLines))
			}
		})
	}
}
