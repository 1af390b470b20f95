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
	s.eventually(40*second, "the job is cancelled and none of its tasks runs", func() bool { return job.LastState == protocol.JobCancelled && job.RunningTasks() == 0 })
	s.Run(s.Now + 60*second)
	s.requireInvariants()
	if !strings.Contains(job.LastResponse.Reason, "cancelled") {
		t.Fatalf("the reason of the cancelled job is %q, want one that names the cancellation", job.LastResponse.Reason)
	}
}

func TestServiceRunsUntilCancelled(t *testing.T) {
	s := newScenario(t, 54)
	spec := simulation.Array(4)
	spec.Kind, spec.EstimateS = protocol.KindService, 0
	job := s.Users.Submit(spec, 0)
	s.eventually(60*second, "all replicas run", func() bool { return job.RunningTasks() == 4 })
	s.Cloud.Remove(job.MachineOf(0))
	s.eventually(90*second, "the lost replica runs again", func() bool { return job.RunningTasks() == 4 })
	s.Run(s.Now + 60*second)
	s.Users.Cancel(job)
	s.eventually(60*second, "the service is final", s.Users.AllFinal)
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

// A job with the maximum number of tasks, more than fit into one value of the state service, is accepted
// and makes progress.
func TestJobWithMaxTasksIsAccepted(t *testing.T) {
	s := newScenario(t, 66)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 1
	job := s.Users.Submit(simulation.Array(protocol.MaxTasks), 1)
	s.eventually(120*second, "progress is published", func() bool { return job.LastResponse.Done > 100 })
}

// Where the settings name no teams, no team has a limit, and jobs of any team run.
func TestSiteWithoutTeamsRunsJobs(t *testing.T) {
	settings := simulation.Settings(1)
	settings.Site.Teams = nil
	s := &scenario{Cluster: simulation.NewWithSettings(45, settings, simulation.MachineTypes()), t: t}
	s.Users.Submit(simulation.Array(8), 10)
	s.eventually(90*second, "the job is done", s.Users.AllFinal)
}

// Machine types that do not fit into one value of the state service are all usable.
func TestMachineTypesLargerThanAValueAreUsed(t *testing.T) {
	settings := simulation.Settings(3)
	settings.Site.Store.ValueKB, settings.Site.Store.MaxTxnOps, settings.Site.Store.WriteRPS = 4, 4, 10
	types := simulation.MachineTypes()
	for i := range 60 {
		extra := types[0]
		extra.Name = fmt.Sprintf("box-%d", i)
		types = append(types, extra)
	}
	s := &scenario{Cluster: simulation.NewWithSettings(46, settings, types), t: t}
	last := simulation.Array(6)
	last.MachineTypes = []string{"box-59"}
	s.Users.Submit(last, 10)
	s.eventually(90*second, "the job is done", s.Users.AllFinal)
}

// Jobs that many users submit at once share writes. All are accepted within a second or two where the
// state service allows ten changes per second, whichever controllers the users submit to and however often.
// The admission batches are deleted when their jobs are finished.
func TestSubmissionBurstSharesWrites(t *testing.T) {
	settings := simulation.Settings(3)
	settings.Site.Store.WriteRPS = 10
	s := &scenario{Cluster: simulation.NewWithSettings(54, settings, simulation.MachineTypes()), t: t}
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
			s.Users.Resubmit(jobs[i]) // may reach another controller at the same time
		}
	}
	allAccepted := func() bool {
		return !slices.ContainsFunc(jobs, func(job *simulation.Job) bool { return !job.Accepted })
	}
	s.eventually(4*second, "all jobs are accepted", allAccepted)
	if n := s.Store.Writes - writes; n > 40 {
		t.Fatalf("%d writes for 120 jobs, want at most 40", n)
	}
	s.Users.Cancel(jobs[7])
	s.Users.Cancel(jobs[18])
	s.leader().Crash(2 * second)
	for _, job := range jobs[:20] {
		s.Users.Resubmit(job)
	}
	s.eventually(200*second, "every job is final", s.Users.AllFinal)
	s.eventually(60*second, "the batches are deleted", func() bool { return s.Store.CountKeys("c/accepted/") == 0 })
	for _, job := range jobs {
		s.Users.Resubmit(job) // the response must be the job's final state, however late this is
	}
	s.Run(s.Now + 20*second)
	s.requireInvariants()
}

// Admission batches fit into a value, whatever the limit on its size. The test guards against a size
// estimate that is one byte too small for each job: the state service refused such batches as malformed.
func TestAdmissionBatchesFitValueLimit(t *testing.T) {
	for i := range 24 {
		settings := simulation.Settings(3)
		settings.Site.Store.WriteRPS, settings.Site.Store.ValueKB = 10, 5+float64(i*23)/1024
		s := &scenario{Cluster: simulation.NewWithSettings(58, settings, simulation.MachineTypes()), t: t}
		s.Run(5 * second)
		var jobs []*simulation.Job
		for range 120 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(1), 5))
		}
		s.eventually(8*second, "all jobs are accepted", func() bool {
			return !slices.ContainsFunc(jobs, func(job *simulation.Job) bool { return !job.Accepted })
		})
	}
}
