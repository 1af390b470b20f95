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
	s.eventually(240*second, "all are done", s.Users.AllFinal)
}

// Jobs submitted with a mistake fail everywhere: users are told so, and when one task is tried
// next; no machine is quarantined, and other work goes on.
func TestCrashLoopingJobsAreBackedOff(t *testing.T) {
	s := newScenario(t, 61)
	var bad []*simulation.Job
	for range 3 {
		job := s.Users.Submit(simulation.Array(24), 10)
		job.FailsEverywhere = true
		bad = append(bad, job)
	}
	good := s.Users.Submit(simulation.Array(12), 25)
	s.eventually(120*second, "the good job is done", func() bool { return good.LastState == protocol.JobDone })
	s.eventually(60*second, "a bad one says why", func() bool { return strings.Contains(bad[0].LastResponse.Reason, "one is tried again at") })
	s.Run(s.Now + 100*second)
	failed := 0
	for _, line := range s.Logs {
		if strings.Contains(line, "quarantined") {
			t.Fatalf("a machine is quarantined: %s", line)
		}
		if strings.Contains(line, "task failed") {
			failed++
		}
	}
	if failed > 3*24*3/2 {
		t.Fatalf("%d failed starts of 72 tasks", failed)
	}
	bad[1].FailsEverywhere = false // it was the machines after all
	s.eventually(200*second, "a job that has been repaired is done", func() bool { return bad[1].LastState == protocol.JobDone })
	s.Users.Cancel(bad[0])
	s.Users.Cancel(bad[2])
	s.eventually(60*second, "all are over", s.Users.AllFinal)
}

// A gang starts only once room for all of its tasks is held; when one is lost,
// the whole gang starts again.
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

// Long tasks of a best-effort team must not take, in a quiet moment, all that the others' work
// needs as it comes in; nor does the best-effort team starve.
func TestBestEffortTeamLeavesHeadroom(t *testing.T) {
	s := newScenario(t, 38)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 4
	for i := range 6 {
		s.After(time.Duration(20*i)*second, func() { s.Users.Submit(simulation.Array(60), 18) })
	}
	s.Run(s.Now + 125*second) // now nothing of the others runs
	long := simulation.Array(64)
	long.Team = "guest"
	job := s.Users.Submit(long, 100)
	most := 0
	for range 25 {
		s.Run(s.Now + second)
		most = max(most, job.RunningTasks())
	}
	if most < 8 || most > 56 {
		t.Fatalf("the best-effort team took %d of 64 CPUs", most)
	}
	s.Users.Submit(simulation.Array(16), 18)
	s.eventually(600*second, "every job is done", s.Users.AllFinal)
}

// What the others have left idle for two leases a best-effort team may use, however much of their
// work came in before.
func TestBestEffortTeamUsesIdleCapacity(t *testing.T) {
	s := newScenario(t, 39)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 1
	burst := simulation.Array(800)
	burst.EstimateS = 60 // or so it seems
	s.Users.Submit(burst, 1)
	s.eventually(200*second, "the others' work is done", s.Users.AllFinal)
	spec := simulation.Array(3)
	spec.Team, spec.CPUs = "guest", 4 // more than an eighth of the only machine
	job := s.Users.Submit(spec, 10)
	s.eventually(45*second, "the best-effort job starts", func() bool { return job.RunningTasks() > 0 })
	s.eventually(60*second, "it is done", s.Users.AllFinal)
}

// Of two jobs of one team and class, the one with less left comes first.
func TestSmallerJobOfSameClassRunsFirst(t *testing.T) {
	s := newScenario(t, 36)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	s.Cloud.AddRunning("barn", "a", true)
	large := s.Users.Submit(simulation.Array(300), 10)
	s.Run(s.Now + 5*second)
	small := s.Users.Submit(simulation.Array(16), 10)
	s.eventually(40*second, "the small job is done", func() bool { return small.LastState == protocol.JobDone })
	if large.LastState == protocol.JobDone {
		t.Fatal("the large job was done first")
	}
}

// A job to be spread over two zones runs by halves where there is only one; one whose
// tasks must run together can't.
func TestSpreadJobsWhereThereIsOneZone(t *testing.T) {
	types := simulation.MachineTypes()[:1]
	types[0].Zones = []string{"a"}
	s := &scenario{Cluster: simulation.NewWithSettings(44, simulation.Settings(3), types), t: t}
	halves, gang := simulation.Array(9), simulation.Array(4)
	halves.Spread, gang.Spread, gang.Kind = true, true, protocol.KindGang
	halvesJob, gangJob := s.Users.Submit(halves, 10), s.Users.Submit(gang, 10)
	s.eventually(60*second, "half of it runs", func() bool { return halvesJob.RunningTasks() == 5 })
	s.eventually(120*second, "it is done", func() bool { return halvesJob.LastState == protocol.JobDone })
	if gangJob.Rejected != 422 {
		t.Fatalf("the gang is answered %d", gangJob.Rejected)
	}
}

// Where the zone of a spread job's first task has no room, those of the other zone start.
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
	s.eventually(60*second, "the other zone goes on", func() bool { return job.LastResponse.Done >= before+12 })
}

// Long after the others' work has ended, a best-effort team's gang may use every machine.
func TestBestEffortGangUsesAllIdleCapacity(t *testing.T) {
	s := newScenario(t, 57)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for range 2 {
		s.Cloud.AddRunning("box", "a", true)
	}
	s.Users.Submit(simulation.Array(2), 5)
	s.eventually(40*second, "the others' work is done", s.Users.AllFinal)
	gang := simulation.Array(8)
	gang.Team, gang.Kind = "guest", protocol.KindGang
	s.Users.Submit(gang, 10)
	s.eventually(600*second, "the gang is done", s.Users.AllFinal)
}
