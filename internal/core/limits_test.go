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
func TestOrdersForWholeFleetPassTheLink(t *testing.T) {
	const tasks = 64 // of a machine
	for _, machines := range []int{4000, 8000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			s := newScenario(t, 95)
			s.Run(s.Now + 10*second)
			leader, member := s.leader(), s.follower()
			s.Between(leader.Label, member.Label, simulation.Link{Largest: peerproto.MaxLineBytes})
			var asked []peerproto.TaskAttempt // of a job that is unknown there: all of them come back
			var stops []peerproto.StopTask
			for i := range machines * tasks {
				try := peerproto.TaskAttempt{Task: protocol.TaskName("job-900000001", i), Attempt: 1<<40 + uint64(i), Machine: fmt.Sprintf("n-%07d", i/tasks)}
				asked = append(asked, try)
				stops = append(stops, peerproto.StopTask{Task: try.Task, Machine: try.Machine, Reason: "room for a more urgent job"})
			}
			var got, returned []peerproto.TaskAttempt
			var stopped []peerproto.StopTask
			s.Applied = func(n *simulation.Node, cmds []core.Command, _ time.Duration) {
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
			leader.Core.AskOf(member.Label, asked, stops)
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
