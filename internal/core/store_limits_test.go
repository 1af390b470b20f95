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

// All jobs complete although the limits of the state service are lowered without notice, below the sizes
// of values that are already stored.
func TestJobsCompleteAfterStoreLimitsAreLowered(t *testing.T) {
	settings := simulation.Settings(3)
	settings.Site.Store = config.StoreLimits{RPS: 200, WriteRPS: 40, ValueKB: 32, MaxTxnOps: 20,
		Next: &config.StoreLimits{WriteRPS: 28, ValueKB: 2, MaxTxnOps: 5}}
	s := &scenario{Cluster: simulation.NewWithSettings(307, settings, simulation.MachineTypes()), t: t}
	s.startOldVersion()
	for range 60 {
		s.Cloud.AddRunning("box", "a", false)
	}
	s.Run(s.Now + 20*second) // while controllers of the previous version write large values
	var jobs []*simulation.Job
	for k := range 80 {
		spec := simulation.Array(6)
		spec.Class = fmt.Sprintf("class-%d", k)
		jobs = append(jobs, s.Users.Submit(spec, 10))
	}
	s.Run(s.Now + 20*second)
	for _, node := range s.Nodes {
		upgrade(node)
		s.Run(s.Now + 5*second)
	}
	s.Store.LimitsLowered = true
	spec := simulation.Array(40_000)
	spec.Team, spec.CPUs = "blue", 0.01
	huge := s.submitAccepted(spec, 1)
	for range 40 {
		s.Cloud.AddRunning("box", "b", false)
	}
	s.eventually(300*second, "all jobs are done", lastStateIs(protocol.JobDone, jobs...))
	s.Run(s.Now + 60*second)
	s.Users.Cancel(huge)
	s.eventually(60*second, "the huge job is cancelled", lastStateIs(protocol.JobCancelled, huge))
	s.crashAll(second / 5)
	s.Run(s.Now + 60*second)
	s.requireInvariants()
}

// A job whose list of dependencies is larger than several values is accepted once and with the complete
// list, although every controller crashes repeatedly meanwhile. When all jobs are done, none of the
// chunks that the attempts to store the list have written is left.
func TestDependencyListLargerThanAValueIsStored(t *testing.T) {
	settings := simulation.Settings(3)
	settings.Site.Store.Next = &config.StoreLimits{ValueKB: 2, MaxTxnOps: 5}
	s := &scenario{Cluster: simulation.NewWithSettings(308, settings, simulation.MachineTypes()), t: t}
	s.Store.LimitsLowered = true
	s.Run(s.Now + 5*second)
	var dependencies []*simulation.Job
	for k := range 700 {
		spec := simulation.Array(1)
		spec.ID = fmt.Sprintf("job-%018d", 7_919_000_003*(k+1)*(k+7)%1_000_000_007*1_000_003)
		dependencies = append(dependencies, s.Users.Submit(spec, 2))
	}
	s.eventually(300*second, "all dependencies are accepted", func() bool {
		return !slices.ContainsFunc(dependencies, func(job *simulation.Job) bool { return !job.Accepted })
	})
	first := s.submitAccepted(simulation.Array(1), 90)
	last := s.Users.Submit(dependentArray(2, append(dependencies, first)...), 3)
	for k := range 6 {
		s.Run(s.Now + 1500*time.Millisecond)
		s.Nodes[k%3].Crash(second / 5)
	}
	s.eventually(60*second, "the job with the long list is accepted", func() bool { return last.Accepted })
	s.eventually(10*second, "the job is queued", func() bool { return last.LastState == protocol.JobQueued })
	s.crashAll(second / 5)
	s.eventually(400*second, "all jobs are final", s.Users.AllFinal)
	s.eventually(500*second, "all chunks are deleted", func() bool { return s.Store.CountKeys("c/long/") == 0 })
}

// No progress is lost of a job whose progress blocks are larger than a value. Some blocks were written
// before the limits were lowered.
func TestProgressOfHugeJobSurvivesLoweredLimits(t *testing.T) {
	settings := simulation.Settings(3)
	settings.Site.Store.Next = &config.StoreLimits{ValueKB: 2, MaxTxnOps: 5}
	s := &scenario{Cluster: simulation.NewWithSettings(309, settings, simulation.MachineTypes()), t: t}
	s.startOldVersion()
	for range 40 {
		s.Cloud.AddRunning("box", "a", false)
	}
	s.Run(s.Now + 10*second)
	spec := simulation.Array(18_000)
	spec.CPUs, spec.MemoryGB, spec.Class = 0.25, 0.1, "grains"
	job := s.Users.Submit(spec, 4)
	s.eventually(300*second, "a third of the job is done and stored", func() bool { return job.LastResponse.Done > 6000 })
	s.upgradeAll()
	s.Store.LimitsLowered = true
	s.Run(s.Now + 30*second)
	before := job.LastResponse.Done
	s.crashAll(second / 5)
	s.Run(s.Now + 10*second)
	if job.LastResponse.Done < before {
		t.Fatalf("%d tasks were done before all controllers crashed, only %d after", before, job.LastResponse.Done)
	}
	s.eventually(900*second, "the job is done", lastStateIs(protocol.JobDone, job))
	s.eventually(100*second, "all progress blocks are deleted", func() bool { return s.Store.CountKeys("c/fine/")+s.Store.CountKeys("c/prog/") == 0 })
}

// A job whose description no longer fits into a value runs in the zone that is chosen for it, and
// completes.
func TestJobSpecLargerThanAValueRuns(t *testing.T) {
	settings := simulation.Settings(3)
	settings.Site.Store.Next = &config.StoreLimits{ValueKB: 2}
	s := &scenario{Cluster: simulation.NewWithSettings(310, settings, simulation.MachineTypes()), t: t}
	s.Run(s.Now + 5*second)
	spec := simulation.Array(6)
	spec.OneZone, spec.MachineTypes = true, []string{"box"}
	for k := range 200 {
		spec.MachineTypes = append(spec.MachineTypes, fmt.Sprintf("a-type-of-another-cloud-%d", k))
	}
	s.startOldVersion()
	s.Run(s.Now + 5*second)
	before := s.submitAccepted(spec, 5)
	s.Cloud.Down = true // so that the job cannot start yet
	s.upgradeAll()
	s.Store.LimitsLowered = true
	s.Run(s.Now + 5*second)
	s.Cloud.Down = false
	after := s.Users.Submit(spec, 5)
	toCancel := s.Users.Submit(spec, 500)
	s.eventually(100*second, "the jobs submitted after the upgrade are accepted", func() bool { return after.Accepted && toCancel.Accepted })
	s.Users.Cancel(toCancel)
	s.eventually(200*second, "all jobs are final", s.Users.AllFinal)
	if before.LastState != protocol.JobDone || after.LastState != protocol.JobDone {
		t.Fatal(before.LastState, after.LastState)
	}
}
