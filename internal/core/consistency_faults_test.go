package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Users ask at all nodes within milliseconds, and hand in again, whatever was accepted, has
// ended or is called cancelled, of every kind of job, while nodes start and read anew and the
// service is slow: no node says anything older.
func TestReadsAreMonotonicAcrossNodes(t *testing.T) {
	acrossSeeds(t, 3000, 3, func(t *testing.T, k, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, nil)
		s.addMachines(8)
		s.Users.CloseLooks, s.Users.AtEnd = true, 0.3
		kinds := []protocol.Job{simulation.Array(1), simulation.Array(3), simulation.Array(40), simulation.Array(2), simulation.Array(1)}
		kinds[3].MachineTypes = []string{"box", "barn"}
		kinds[4] = withManyTypes(kinds[4]) // its description goes into pieces
		var last *simulation.Job
		for k := range 24 {
			spec := kinds[k%len(kinds)]
			if k%6 == 5 && last != nil && last.Accepted {
				spec.Dependencies = []string{last.Spec.ID}
			}
			j := s.Users.Submit(spec, float64(1+k%4))
			for range 6 * (k % 3 / 2) { // some come many at a time, into lots
				s.Users.Submit(simulation.Array(1), 2)
			}
			last = j
			switch k % 8 {
			case 1:
				s.Until(s.Now+5*second, func() bool { return j.Accepted })
				s.Users.Abort(j)
			case 3:
				s.After(3*second, func() { s.Users.Abort(j) })
			case 5:
				s.State.Forgot[s.Nodes[k%controllers].Label] = true
			case 6:
				s.Nodes[k%controllers].Crash(second / 5)
			case 7:
				s.State.Slow = time.Duration(k%3) * 100 * time.Millisecond
			}
			s.Run(s.Now + 2*second)
		}
		s.recoverAndFinish(200 * second)
		if s.Users.Looks < 1000 {
			t.Fatalf("only %d close looks were answered", s.Users.Looks)
		}
	})
}

// A cancellation, questions at all nodes and a repeated submission meet the end of a job's last
// task, at that moment and in the milliseconds around it, with no other trouble: one final word
// is told, at once, by all.
func TestRequestsAtJobCompletion(t *testing.T) {
	done, gone := 0, 0
	for seed := range uint64(12) {
		s := newScenario(t, 3800+seed)
		s.addMachines(8)
		s.Users.CloseLooks = true
		var jobs []*simulation.Job
		for k := range 20 {
			j := s.Users.Submit(simulation.Array(1+k%3), 5)
			jobs = append(jobs, j)
			if !s.Until(s.Now+40*second, func() bool { return s.Users.Done(j) == j.Spec.Tasks }) {
				t.Fatal("it does not end")
			}
			s.Run(s.Now + time.Duration(k*k)*time.Millisecond)
			s.Users.Look(j)
			s.Users.Abort(j)
			s.Users.Resubmit(j)
			s.eventually(3*second, "it is over", func() bool { return toldState(protocol.JobDone, j)() || toldState(protocol.JobCancelled, j)() })
			if j.Told == protocol.JobDone {
				done++
			} else {
				gone++
			}
		}
		s.recoverAndFinish(20 * second)
	}
	if done == 0 || gone == 0 {
		t.Fatalf("%d were done and %d cancelled: one side was not shown", done, gone)
	}
}

// A job is accepted at one node and comes again, changed so that it could not run, at all
// nodes, of which one reads late: each answers by the job's state.
func TestAcceptedJobIsNotRejectedByStaleMirror(t *testing.T) {
	for seed := range uint64(3) {
		s := newScenario(t, 4800+seed)
		slow := s.follower()
		s.Link("state", slow.Label, simulation.Link{Delay: 6 * second / 10})
		s.Run(s.Now + 5*second)
		s.Users.Only = s.leader()
		j := s.Users.Submit(simulation.Array(2), 15)
		s.eventually(10*second, "it is accepted", func() bool { return j.Accepted })
		s.Users.Only = nil
		again, answers := j.Spec, map[string]core.ReplyStatus{}
		again.CPUs = 4096
		for _, n := range s.Nodes {
			n.Ask(func(id core.RequestID) core.Command { return core.SubmitJob{ID: id, Spec: again} }, func(r core.Reply) { answers[n.Label] = r.Status })
		}
		s.Run(s.Now + 5*second)
		for _, n := range s.Nodes {
			if got := answers[n.Label]; got != 200 && (got != 503 || n != slow) {
				t.Fatalf("%s answers %d", n.Label, got)
			}
		}
		s.Link("state", slow.Label, simulation.Link{})
		s.eventually(60*second, "it is done", s.Users.AllTold)
	}
}
