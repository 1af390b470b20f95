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

// The dispatches and stop requests of one round for a member with thousands of machines, and the tasks
// that the member returns at once, pass a link that accepts no line of over 16 MiB. The test guards
// against sending either as a single line, which exceeds that limit.
func TestDispatchesForWholeFleetFitLinkLimit(t *testing.T) {
	const tasks = 64 // per machine
	for _, machines := range []int{4000, 8000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			s := newScenario(t, 95)
			s.Run(s.Now + 10*second)
			leader, member := s.leader(), s.follower()
			s.SetLinks(leader.Label, member.Label, simulation.Link{MaxMessageBytes: peerproto.MaxLineBytes})
			var dispatches []peerproto.TaskAttempt // of a job that the member does not know: it returns all of them
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
			leader.Core.QueueForShard(member.Label, dispatches, stops)
			s.eventually(5*second, "the member has returned all dispatches", func() bool { return len(returned) >= len(dispatches) })
			if !slices.Equal(got, dispatches) || !slices.Equal(stopped, stops) {
				t.Fatalf("%d of %d dispatches and %d stop requests arrived, or they arrived out of order", len(got), len(dispatches), len(stopped))
			}
			for i := range returned {
				if returned[i].Task != dispatches[i].Task || returned[i].Attempt != dispatches[i].Attempt {
					t.Fatalf("returned attempt %+v does not match dispatch %+v", returned[i], dispatches[i])
				}
			}
		})
	}
}

// Jobs are cancelled as fast as the state service accepts changes while one controller is partitioned
// from it; then the state service serves no controller. The controllers list all of these cancellations
// to each other, so degraded mode keeps the workers alive and no task is lost. The test guards against a
// limit on this list: where a mirror may be 9 s old, 1,024 cancellations were too few from about 1,650
// machines on, at the rates of a site of 1,454 machines with 100 changes per second.
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
			s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0 // the jobs that follow wait
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
			for i := range 80 { // 8 s; after 9 s a mirror is too old to be used
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
				t.Fatalf("only %d cancellations were confirmed, want at least 1500", confirmed)
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
				t.Fatalf("%d of 12 tasks were left after %d cancellations, or degraded mode was not entered\n%s", fewest, confirmed, s.lastLogs(*logLines))
			}
		})
	}
}
