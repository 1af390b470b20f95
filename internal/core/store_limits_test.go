package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// The limits of the state service fall without notice, to sizes that what is stored is
// larger than.
func TestStoreLimitsAreLowered(t *testing.T) {
	set := simulation.Settings(3)
	set.Site.State = config.State{RPS: 200, WriteRPS: 40, ValueKB: 32, TxnOps: 20,
		Next: &config.State{WriteRPS: 28, ValueKB: 2, TxnOps: 5}}
	s := &scenario{World: simulation.Build(307, set, simulation.Types()), t: t}
	s.startOldVersion()
	for range 60 {
		s.Cloud.Add("box", "a", false)
	}
	s.Run(s.Now + 20*second) // old controllers fill large values
	var jobs []*simulation.Job
	for k := range 80 {
		spec := simulation.Array(6)
		spec.Class = fmt.Sprintf("class-%d", k)
		jobs = append(jobs, s.Users.Submit(spec, 10))
	}
	s.Run(s.Now + 20*second)
	for _, n := range s.Nodes {
		n.Old = false
		n.Crash(second / 5)
		s.Run(s.Now + 5*second)
	}
	s.State.Lowered = true
	huge := simulation.Array(40_000)
	huge.Team, huge.CPUs = "blue", 0.01
	big := s.submitAccepted(huge, 1)
	for range 40 {
		s.Cloud.Add("box", "b", false)
	}
	s.eventually(300*second, "all is done", toldState(protocol.JobDone, jobs...))
	s.Run(s.Now + 60*second)
	s.Users.Abort(big)
	s.eventually(60*second, "the huge one is cancelled", toldState(protocol.JobCancelled, big))
	s.crashAll(second / 5)
	s.Run(s.Now + 60*second)
	s.requireInvariants()
}

// A list of needs that is larger than several values, while every controller ends again
// and again: it is accepted once, whole, and nothing of the other tries is left.
func TestDependencyListLargerThanAValue(t *testing.T) {
	set := simulation.Settings(3)
	set.Site.State.Next = &config.State{ValueKB: 2, TxnOps: 5}
	s := &scenario{World: simulation.Build(308, set, simulation.Types()), t: t}
	s.State.Lowered = true
	s.Run(s.Now + 5*second)
	var needs []*simulation.Job
	for k := range 700 {
		spec := simulation.Array(1)
		spec.ID = fmt.Sprintf("job-%018d", 7_919_000_003*(k+1)*(k+7)%1_000_000_007*1_000_003)
		needs = append(needs, s.Users.Submit(spec, 2))
	}
	s.eventually(300*second, "all are accepted", func() bool {
		return !slices.ContainsFunc(needs, func(j *simulation.Job) bool { return !j.Accepted })
	})
	first := s.submitAccepted(simulation.Array(1), 90)
	last := s.Users.Submit(dependentArray(2, append(needs, first)...), 3)
	for k := range 6 {
		s.Run(s.Now + 1500*time.Millisecond)
		s.Nodes[k%3].Crash(second / 5)
	}
	s.eventually(60*second, "the list is accepted", func() bool { return last.Accepted })
	s.eventually(10*second, "it waits", func() bool { return last.Told == protocol.JobQueued })
	s.crashAll(second / 5)
	s.eventually(400*second, "all is done", s.Users.AllTold)
	s.eventually(500*second, "nothing of it is left", func() bool { return s.State.Count("c/long/") == 0 })
}

// Progress of a job whose block is larger than a value, some of it written before the
// limits fell.
func TestProgressOfHugeJob(t *testing.T) {
	set := simulation.Settings(3)
	set.Site.State.Next = &config.State{ValueKB: 2, TxnOps: 5}
	s := &scenario{World: simulation.Build(309, set, simulation.Types()), t: t}
	s.startOldVersion()
	for range 40 {
		s.Cloud.Add("box", "a", false)
	}
	s.Run(s.Now + 10*second)
	spec := simulation.Array(18_000)
	spec.CPUs, spec.MemoryGB, spec.Class = 0.25, 0.1, "grains"
	j := s.Users.Submit(spec, 4)
	s.eventually(300*second, "a third is done and written", func() bool { return j.Answer.Done > 6000 })
	s.upgradeAll()
	s.State.Lowered = true
	s.Run(s.Now + 30*second)
	was := j.Answer.Done
	s.crashAll(second / 5)
	s.Run(s.Now + 10*second)
	if j.Answer.Done < was {
		t.Fatalf("%d tasks were done, now %d", was, j.Answer.Done)
	}
	s.eventually(900*second, "it is done", toldState(protocol.JobDone, j))
	s.eventually(100*second, "nothing of it is left", func() bool { return s.State.Count("c/fine/")+s.State.Count("c/prog/") == 0 })
}

// A job whose description no longer fits into a value runs, in the zone that is chosen for
// it, and ends.
func TestJobSpecLargerThanAValue(t *testing.T) {
	set := simulation.Settings(3)
	set.Site.State.Next = &config.State{ValueKB: 2}
	s := &scenario{World: simulation.Build(310, set, simulation.Types()), t: t}
	s.Run(s.Now + 5*second)
	wide := simulation.Array(6)
	wide.OneZone, wide.MachineTypes = true, []string{"box"}
	for k := range 200 {
		wide.MachineTypes = append(wide.MachineTypes, fmt.Sprintf("a-type-of-another-cloud-%d", k))
	}
	s.startOldVersion()
	s.Run(s.Now + 5*second)
	old := s.submitAccepted(wide, 5)
	s.Cloud.Out = true // it can't start yet
	s.upgradeAll()
	s.State.Lowered = true
	s.Run(s.Now + 5*second)
	s.Cloud.Out = false
	now := s.Users.Submit(wide, 5)
	gone := s.Users.Submit(wide, 500)
	s.eventually(100*second, "it is accepted too", func() bool { return now.Accepted && gone.Accepted })
	s.Users.Abort(gone)
	s.eventually(200*second, "all come to their end", s.Users.AllTold)
	if old.Told != protocol.JobDone || now.Told != protocol.JobDone {
		t.Fatal(old.Told, now.Told)
	}
}
