package core_test

import (
	"strings"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

func TestQuotaLimitIsGivenAsReason(t *testing.T) {
	s := newScenario(t, 52)
	spec := simulation.Array(40)
	spec.Team, spec.EstimateS = "red", 100
	job := s.Users.Submit(spec, 200)
	s.eventually(90*second, "the reason names the limit", func() bool {
		return strings.Contains(job.LastResponse.Reason, "team red is at its limit")
	})
}

func TestJobsWithZoneConstraintsComplete(t *testing.T) {
	s := newScenario(t, 53)
	together, apart, pinned := simulation.Array(9), simulation.Array(9), simulation.Array(5)
	together.OneZone, apart.Spread, pinned.Zone = true, true, "b"
	pinned.AllowSpot = false
	pinned.MachineTypes = []string{"box"}
	s.Users.Submit(together, 15)
	s.Users.Submit(apart, 15)
	s.Users.Submit(pinned, 15)
	s.After(25*second, func() { s.leader().Crash(3 * second) })
	s.eventually(240*second, "all jobs are final", s.Users.AllFinal)
}

// Jobs that fail everywhere, because their users made a mistake, are backed off. The reason in the
// responses about them says so, and names the time at which the next task is tried. No machine is
// quarantined, and other work continues.
func TestCrashLoopingJobsAreBackedOff(t *testing.T) {
	s := newScenario(t, 61)
	var failing []*simulation.Job
	for range 3 {
		job := s.Users.Submit(simulation.Array(24), 10)
		job.FailsEverywhere = true
		failing = append(failing, job)
	}
	working := s.Users.Submit(simulation.Array(12), 25)
	s.eventually(120*second, "the working job is done", func() bool { return working.LastState == protocol.JobDone })
	s.eventually(60*second, "a failing job's reason names the next try", func() bool { return strings.Contains(failing[0].LastResponse.Reason, "one is tried again at") })
	s.Run(s.Now + 100*second)
	failed := 0
	for _, line := range s.Logs {
		if strings.Contains(line, "quarantined") {
			t.Fatalf("a healthy machine is quarantined: %s", line)
		}
		if strings.Contains(line, "task failed") {
			failed++
		}
	}
	if failed > 3*24*3/2 {
		t.Fatalf("%d failed starts of 72 tasks, want at most 108", failed)
	}
	failing[1].FailsEverywhere = false // as if its machines had been at fault
	s.eventually(200*second, "the repaired job is done", func() bool { return failing[1].LastState == protocol.JobDone })
	s.Users.Cancel(failing[0])
	s.Users.Cancel(failing[2])
	s.eventually(60*second, "all jobs are final", s.Users.AllFinal)
}

// A gang starts only once capacity for all of its tasks is reserved. When one task is lost, the whole
// gang starts again.
func TestGangStartsTogether(t *testing.T) {
	for seed := range uint64(3) {
		s := newScenario(t, 70+seed)
		spec := simulation.Array(20)
		spec.Kind, spec.EstimateS = protocol.KindGang, 30
		spec.OneZone = seed == 1
		spec.Spread = seed == 2
		if seed == 1 {
			spec.Zone = "a"
		}
		job := s.Users.Submit(spec, 30)
		s.Users.Submit(simulation.Array(10), 20)
		s.eventually(120*second, "all tasks run", func() bool { return job.RunningTasks() == 20 })
		s.Run(s.Now + 5*second)
		if seed == 0 {
			s.leader().Crash(3 * second)
		} else {
			s.Cloud.Remove(job.MachineOf(7))
		}
		s.eventually(300*second, "both jobs are done", s.Users.AllFinal)
	}
}

// When other teams happen to have no work, long tasks of a best-effort team must not take all the
// capacity that these teams need for the work that they regularly submit. The best-effort team must
// get some capacity as well.
func TestBestEffortTeamLeavesHeadroom(t *testing.T) {
	s := newScenario(t, 38)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 4
	for i := range 6 {
		s.After(time.Duration(20*i)*second, func() { s.Users.Submit(simulation.Array(60), 18) })
	}
	s.Run(s.Now + 125*second) // until no task of the other teams runs
	long := simulation.Array(64)
	long.Team = "guest"
	job := s.Users.Submit(long, 100)
	peak := 0
	for range 25 {
		s.Run(s.Now + second)
		peak = max(peak, job.RunningTasks())
	}
	if peak < 8 || peak > 56 {
		t.Fatalf("the best-effort team used %d of 64 CPUs, want 8 to 56", peak)
	}
	s.Users.Submit(simulation.Array(16), 18)
	s.eventually(600*second, "every job is done", s.Users.AllFinal)
}

// A best-effort team may use capacity that the other teams have left idle for two worker leases, however
// much work these teams submitted before.
func TestBestEffortTeamUsesIdleCapacity(t *testing.T) {
	s := newScenario(t, 39)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 1
	burst := simulation.Array(800)
	burst.EstimateS = 60 // far above the real duration
	s.Users.Submit(burst, 1)
	s.eventually(200*second, "the other teams' work is done", s.Users.AllFinal)
	spec := simulation.Array(3)
	spec.Team, spec.CPUs = "guest", 4 // more than an eighth of the only machine
	job := s.Users.Submit(spec, 10)
	s.eventually(45*second, "the best-effort job starts", func() bool { return job.RunningTasks() > 0 })
	s.eventually(60*second, "the best-effort job is done", s.Users.AllFinal)
}

// Of two jobs of the same team and class, the one with less remaining work runs first.
func TestSmallerJobOfSameClassRunsFirst(t *testing.T) {
	s := newScenario(t, 36)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	s.Cloud.AddRunning("barn", "a", true)
	large := s.Users.Submit(simulation.Array(300), 10)
	s.Run(s.Now + 5*second)
	small := s.Users.Submit(simulation.Array(16), 10)
	s.eventually(40*second, "the small job is done", func() bool { return small.LastState == protocol.JobDone })
	if large.LastState == protocol.JobDone {
		t.Fatal("the large job was done before the small one")
	}
}

// A job that is to be spread over two zones runs one half after the other where there is only one zone.
// A gang that is to be spread is rejected there, because its tasks must run at the same time.
func TestSpreadJobsWhereThereIsOneZone(t *testing.T) {
	types := simulation.MachineTypes()[:1]
	types[0].Zones = []string{"a"}
	s := &scenario{Cluster: simulation.NewWithSettings(44, simulation.Settings(3), types), t: t}
	halves, gang := simulation.Array(9), simulation.Array(4)
	halves.Spread, gang.Spread, gang.Kind = true, true, protocol.KindGang
	halvesJob, gangJob := s.Users.Submit(halves, 10), s.Users.Submit(gang, 10)
	s.eventually(60*second, "half of the spread job runs", func() bool { return halvesJob.RunningTasks() == 5 })
	s.eventually(120*second, "the spread job is done", func() bool { return halvesJob.LastState == protocol.JobDone })
	if gangJob.Rejected != 422 {
		t.Fatalf("the spread gang got response status %d, want 422", gangJob.Rejected)
	}
}

// If there is no capacity in the zone of a spread job's first task, the job's tasks in the other zone
// start nevertheless.
func TestSpreadJobUsesZoneWithCapacity(t *testing.T) {
	s := newScenario(t, 56)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	s.Cloud.AddRunning("box", "a", true)
	s.Cloud.AddRunning("box", "b", true)
	spec := simulation.Array(40)
	spec.Spread = true
	job := s.Users.Submit(spec, 8)
	s.eventually(30*second, "both zones are used", func() bool { return job.RunningTasks() == 8 })
	for i := range 40 {
		if machine := job.MachineOf(i); machine != "" && s.Workers[machine].Info.Zone == "a" {
			s.Cloud.Remove(machine)
		}
	}
	before := job.LastResponse.Done
	s.eventually(60*second, "tasks in the other zone complete", func() bool { return job.LastResponse.Done >= before+12 })
}

// A gang of a best-effort team may use every machine long after the other teams' work has completed.
func TestBestEffortGangUsesAllIdleCapacity(t *testing.T) {
	s := newScenario(t, 57)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for range 2 {
		s.Cloud.AddRunning("box", "a", true)
	}
	s.Users.Submit(simulation.Array(2), 5)
	s.eventually(40*second, "the other teams' work is done", s.Users.AllFinal)
	gang := simulation.Array(8)
	gang.Team, gang.Kind = "guest", protocol.KindGang
	s.Users.Submit(gang, 10)
	s.eventually(600*second, "the gang is done", s.Users.AllFinal)
}
