package core_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

func TestCancellationStopsEveryTask(t *testing.T) {
	s := newScenario(t, 50)
	spec := simulation.Array(20)
	spec.CheckpointS, spec.SaveS = 5, 4
	job := s.Users.Submit(spec, 300)
	s.eventually(60*second, "tasks run", func() bool { return job.RunningTasks() > 5 })
	s.Users.Cancel(job)
	s.leader().Crash(5 * second)
	s.eventually(40*second, "no task is left", func() bool { return job.LastState == protocol.JobCancelled && job.RunningTasks() == 0 })
	s.Run(s.Now + 60*second)
	s.requireInvariants()
	if !strings.Contains(job.LastResponse.Reason, "cancelled") {
		t.Fatalf("the reason is %q", job.LastResponse.Reason)
	}
}

func TestServiceRunsUntilCancelled(t *testing.T) {
	s := newScenario(t, 54)
	spec := simulation.Array(4)
	spec.Kind, spec.EstimateS = protocol.KindService, 0
	job := s.Users.Submit(spec, 0)
	s.eventually(60*second, "all replicas run", func() bool { return job.RunningTasks() == 4 })
	s.Cloud.Remove(job.MachineOf(0))
	s.eventually(90*second, "lost replicas run again", func() bool { return job.RunningTasks() == 4 })
	s.Run(s.Now + 60*second)
	s.Users.Cancel(job)
	s.eventually(60*second, "it is over", s.Users.AllFinal)
}

func TestInfeasibleJobsAreRejected(t *testing.T) {
	s := newScenario(t, 64)
	team, size, zone, limit := simulation.Array(1), simulation.Array(1), simulation.Array(1), simulation.Array(1)
	team.Team = "green"
	size.CPUs = 17
	zone.Zone, zone.MachineTypes = "b", []string{"barn"}
	limit.Team, limit.Kind, limit.Tasks = "red", protocol.KindService, 25
	s.requireRejected(team, size, zone, limit)
}

// A job of more tasks than one value of the state service can hold.
func TestJobWithMaxTasksIsAccepted(t *testing.T) {
	s := newScenario(t, 66)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 1
	job := s.Users.Submit(simulation.Array(protocol.MaxTasks), 1)
	s.eventually(120*second, "progress is published", func() bool { return job.LastResponse.Done > 100 })
}

// A site that names no team limits none.
func TestSiteWithoutTeamsRunsJobs(t *testing.T) {
	set := simulation.Settings(1)
	set.Site.Teams = nil
	s := &scenario{Cluster: simulation.NewWithSettings(45, set, simulation.MachineTypes()), t: t}
	s.Users.Submit(simulation.Array(8), 10)
	s.eventually(90*second, "the job is done", s.Users.AllFinal)
}

// More machine types than one value holds.
func TestMachineTypesLargerThanAValueAreUsed(t *testing.T) {
	set := simulation.Settings(3)
	set.Site.Store.ValueKB, set.Site.Store.MaxTxnOps, set.Site.Store.WriteRPS = 4, 4, 10
	types := simulation.MachineTypes()
	for i := range 60 {
		extra := types[0]
		extra.Name = fmt.Sprintf("box-%d", i)
		types = append(types, extra)
	}
	s := &scenario{Cluster: simulation.NewWithSettings(46, set, types), t: t}
	last := simulation.Array(6)
	last.MachineTypes = []string{"box-59"}
	s.Users.Submit(last, 10)
	s.eventually(90*second, "the job is done", s.Users.AllFinal)
}

// Many who submit at once share writes: all are accepted within a second or two at a
// state service of ten changes a second, whatever controller they ask and however often, and
// the batches are deleted when their jobs are over.
func TestSubmissionBurstSharesWrites(t *testing.T) {
	set := simulation.Settings(3)
	set.Site.Store.WriteRPS = 10
	s := &scenario{Cluster: simulation.NewWithSettings(54, set, simulation.MachineTypes()), t: t}
	for range 8 {
		s.Cloud.AddRunning("barn", "a", true)
	}
	s.Run(s.Now + 5*second)
	writes := s.Store.Writes
	var jobs []*simulation.Job
	for i := range 120 {
		spec := simulation.Array(1)
		spec.OneZone = i%9 == 0
		jobs = append(jobs, s.Users.Submit(spec, 5))
		if i%3 == 0 {
			s.Users.Resubmit(jobs[i]) // at another controller, at the same time
		}
	}
	all := func() bool {
		return !slices.ContainsFunc(jobs, func(job *simulation.Job) bool { return !job.Accepted })
	}
	s.eventually(4*second, "all are accepted", all)
	if n := s.Store.Writes - writes; n > 40 {
		t.Fatalf("%d writes for 120 jobs", n)
	}
	s.Users.Cancel(jobs[7])
	s.Users.Cancel(jobs[18])
	s.leader().Crash(2 * second)
	for _, job := range jobs[:20] {
		s.Users.Resubmit(job)
	}
	s.eventually(200*second, "every job is over", s.Users.AllFinal)
	s.eventually(60*second, "the batches are deleted", func() bool { return s.Store.CountKeys("c/accepted/") == 0 })
	for _, job := range jobs {
		s.Users.Resubmit(job) // the answer is its state, however late
	}
	s.Run(s.Now + 20*second)
	s.requireInvariants()
}

// An admission batch fits into a value, however large that may be: a batch was once filled by a
// byte too many for each job, and refused as malformed.
func TestAdmissionBatchesFitValueLimit(t *testing.T) {
	for i := range 24 {
		set := simulation.Settings(3)
		set.Site.Store.WriteRPS, set.Site.Store.ValueKB = 10, 5+float64(i*23)/1024
		s := &scenario{Cluster: simulation.NewWithSettings(58, set, simulation.MachineTypes()), t: t}
		s.Run(5 * second)
		var jobs []*simulation.Job
		for range 120 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(1), 5))
		}
		s.eventually(8*second, "all are accepted", func() bool {
			return !slices.ContainsFunc(jobs, func(job *simulation.Job) bool { return !job.Accepted })
		})
	}
}
