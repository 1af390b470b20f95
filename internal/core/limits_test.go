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
			var dispatches []peerproto.TaskAttempt // of a job that is unknown there: all of them come back
			var stops []peerproto.StopTask
			for i := range machines * tasks {
				attempt := peerproto.TaskAttempt{Task: protocol.TaskName("job-900000001", i), Attempt: 1<<40 + uint64(i), Machine: fmt.Sprintf("n-%07d", i/tasks)}
				dispatches = append(dispatches, attempt)
				stops = append(stops, peerproto.StopTask{Task: attempt.Task, Machine: attempt.Machine, Reason: "room for a more urgent job"})
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
			leader.Core.AskOf(member.Label, dispatches, stops)
			s.eventually(5*second, "all is asked and given back", func() bool { return len(returned) >= len(dispatches) })
			if !slices.Equal(got, dispatches) || !slices.Equal(stopped, stops) {
				t.Fatalf("%d of %d dispatches and %d stops arrive, or not in their order", len(got), len(dispatches), len(stopped))
			}
			for i := range returned {
				if returned[i].Task != dispatches[i].Task || returned[i].Attempt != dispatches[i].Attempt {
					t.Fatalf("%+v is given back for %+v", returned[i], dispatches[i])
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
			settings := simulation.Settings(3)
			settings.Site.Store.RPS, settings.Site.Store.WriteRPS = 250*float64(machines)/1454, 100*float64(machines)/1454
			settings.Site.Workers.LeaseS, settings.Site.Workers.CancelS = 26.5, 51.5
			s := &scenario{Cluster: simulation.NewWithSettings(96, settings, simulation.MachineTypes()), t: t}
			s.Run(s.Now + 10*second)
			long := s.Users.Submit(simulation.Array(12), 150)
			s.eventually(60*second, "all tasks run", func() bool { return long.RunningTasks() == 12 })
			s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0 // the others wait
			perTick := int(settings.Site.Store.WriteRPS * 0.9 / 10)
			var toCancel []*simulation.Job
			for range 80 * perTick {
				toCancel = append(toCancel, s.Users.Submit(simulation.Array(1), 300))
			}
			s.eventually(60*second, "all jobs are accepted", func() bool {
				return !slices.ContainsFunc(toCancel, func(j *simulation.Job) bool { return !j.Accepted })
			})
			s.Users.OnlyNode = s.leader()
			lagging := s.follower()
			s.Partition(lagging.Label, "state", true)
			for i := range 80 { // 8 s: a mirror is too old to act on after 9
				for _, j := range toCancel[i*perTick : (i+1)*perTick] {
					s.Users.Cancel(j)
				}
				s.Run(s.Now + second/10)
			}
			confirmed := 0
			for _, j := range toCancel {
				if j.LastState == protocol.JobCancelled {
					confirmed++
				}
			}
			if confirmed < 1500 {
				t.Fatalf("only %d users were told", confirmed)
			}
			s.Store.Outage(40 * second)
			s.Heal(lagging.Label, "state")
			s.Logs = nil
			fewest := 12
			for range 38 {
				s.Run(s.Now + second)
				fewest = min(fewest, long.RunningTasks())
			}
			s.requireInvariants()
			if fewest < 12 || !s.logged("workers are kept alive") {
				t.Fatalf("%d of 12 tasks were left after %d cancellations\n%s", fewest, confirmed, s.lastLogs(*logLines))
			}
		})
	}
}
