package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// startLoaded starts a scenario with n machines of 16 CPUs, nearly all of which are occupied, and with as
// many tasks waiting as run.
func startLoaded(tb testing.TB, seed uint64, n int) *scenario {
	tb.Helper()
	s := newScenario(tb, seed)
	for i := range n {
		zone := "a"
		if i%2 == 1 {
			zone = "b"
		}
		s.Cloud.AddRunning("barn", zone, true)
	}
	for range n / 10 {
		s.Users.Submit(simulation.Array(16*10*2), 20+s.Rand.Float64()*20)
	}
	s.eventually(90*second, "nearly every CPU is in use", func() bool { return s.Users.RunningTasks() >= n*15 })
	return s
}

// BenchmarkSecond measures one simulated second of a busy deployment, with all heartbeats and scheduling
// rounds. What matters is how the cost grows with the number of machines.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{1000, 3000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := startLoaded(b, 1, n)
			b.ReportAllocs()
			var coreTime time.Duration
			s.OnApplied = func(_ *simulation.Node, _ []core.Command, took time.Duration) { coreTime += took }
			b.ResetTimer()
			defer func() { b.ReportMetric(coreTime.Seconds()*1000/float64(b.N), "core-ms/op") }()
			for range b.N {
				s.Users.Submit(simulation.Array(n/2), 30)
				s.Run(s.Now + second)
			}
		})
	}
}

// BenchmarkDependents measures one simulated second of a deployment with thousands of jobs that wait for
// others: half of them depend on one job alone, half form chains of a hundred.
func BenchmarkDependents(b *testing.B) {
	for _, n := range []int{0, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := startLoaded(b, 1, 1000)
			first := simulation.Array(1)
			first.ID, first.CPUs = "job-900000000", 16
			s.Store.AddDependentJobs(first, n)
			s.Run(s.Now + 60*second) // the controllers reload everything, since the store does not keep so many events for their watches
			var coreTime time.Duration
			s.OnApplied = func(_ *simulation.Node, _ []core.Command, took time.Duration) { coreTime += took }
			b.ResetTimer()
			defer func() { b.ReportMetric(coreTime.Seconds()*1000/float64(b.N), "core-ms/op") }()
			for range b.N {
				s.Users.Submit(simulation.Array(500), 30)
				s.Run(s.Now + second)
			}
		})
	}
}

// When hundreds of machines start at once, their registration must not use up the write budget of many
// seconds, and all of them must run tasks soon. 200 machines may cause at most 40 writes.
func TestRegistrationBatchesWrites(t *testing.T) {
	s := newScenario(t, 33)
	s.Users.Submit(simulation.Array(3200), 60)
	s.Run(s.Now + 2*second)
	before := s.Store.Writes
	for range 200 {
		s.Cloud.AddRunning("barn", "a", true)
	}
	s.eventually(8*second, "every machine is fully occupied", func() bool { return s.Users.RunningTasks() >= 3200 })
	if n := s.Store.Writes - before; n > 40 {
		t.Fatalf("registering 200 machines caused %d writes, expected at most 40", n)
	}
}

// The invariants hold on 150 machines too when the leader crashes, the store has an outage, machines are
// removed and all controllers crash. No accepted job may be lost.
func TestLoadedClusterSurvivesFaults(t *testing.T) {
	s := startLoaded(t, 34, 150)
	s.leader().Crash(3 * second)
	s.Run(s.Now + 10*second)
	s.Store.Outage(8 * second)
	for _, worker := range s.RandomWorkers(15) {
		s.Cloud.Remove(worker.Info.Name)
	}
	s.Run(s.Now + 15*second)
	for _, n := range s.Nodes {
		n.Crash(4 * second)
	}
	s.eventually(60*second, "nearly every CPU of the remaining machines is in use again", func() bool { return s.Users.RunningTasks() >= 130*15 })
	s.eventually(400*second, "every accepted job is done or cancelled", s.Users.AllFinal)
}

// All controllers crash and restart after three seconds. Within five seconds of the crash the leader must have
// seen all 300 machines again, and none of them may be deleted.
func TestFailoverAtScale(t *testing.T) {
	s := startLoaded(t, 37, 300)
	deleted := s.Cloud.Deleted
	for _, n := range s.Nodes {
		n.Crash(3 * second)
	}
	s.Logs = nil
	s.eventually(5*second, "the leader has seen every machine", func() bool {
		return s.logged("every machine has been seen")
	})
	s.Run(s.Now + 10*second)
	if n := s.Cloud.Deleted - deleted; n > 0 {
		t.Fatalf("%d machines were deleted after the failover", n)
	}
}

// BenchmarkPoll measures how the core handles a user's poll of an unfinished job. Many polls share one read
// of the store.
func BenchmarkPoll(b *testing.B) {
	s := newScenario(b, 1)
	j := s.Users.Submit(simulation.Array(4), 1e6)
	s.eventually(30*second, "the job is accepted", func() bool { return j.Accepted })
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		s.Nodes[0].Request(func(id core.RequestID) core.Command { return core.QueryJob{ID: id, JobID: j.Spec.ID} }, func(core.Reply) {})
		if i%50 == 0 {
			s.Run(s.Now + second/10)
		}
	}
}

// BenchmarkTaskStartGap measures the longest time in which no task starts after controllers have crashed,
// while short tasks are always waiting. It varies which controllers crash and after how long they restart,
// and reports the median and the maximum over five seeds.
func BenchmarkTaskStartGap(b *testing.B) {
	for _, crash := range []struct {
		name   string
		inject func(s *scenario, restartDelay time.Duration)
	}{
		{"leader", func(s *scenario, restartDelay time.Duration) { s.leader().Crash(restartDelay) }},
		{"member", func(s *scenario, restartDelay time.Duration) { s.follower().Crash(restartDelay) }},
		{"all", func(s *scenario, restartDelay time.Duration) {
			for _, n := range s.Nodes {
				n.Crash(restartDelay)
			}
		}},
		{"leader twice", func(s *scenario, restartDelay time.Duration) {
			n := s.leader()
			n.Crash(restartDelay)
			s.After(restartDelay+second/10, func() { n.Crash(restartDelay) })
		}},
	} {
		for _, restartDelay := range []time.Duration{second / 20, second / 5, second, 8 * second} {
			b.Run(fmt.Sprint(crash.name, " restarts after ", restartDelay), func(b *testing.B) {
				gaps := hdrhistogram.New(1, 100_000, 3)
				for seed := range uint64(5) {
					s := newScenario(b, 700+seed)
					s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0 // no machines can be rented beside the 16 that run
					for i := range 16 {
						s.Cloud.AddRunning("box", []string{"a", "b"}[i%2], true)
					}
					for range 30 {
						s.Users.Submit(simulation.Array(100), 3+s.Rand.Float64()*3)
					}
					s.Run(s.Now + 25*second)
					crash.inject(s, restartDelay)
					last, count, worst := s.Now, s.Users.Starts, time.Duration(0)
					for until := s.Now + 40*second; s.Now < until; s.Run(s.Now + second/50) {
						if s.Users.Starts > count {
							last, count = s.Now, s.Users.Starts
						}
						worst = max(worst, s.Now-last)
					}
					s.requireInvariants()
					_ = gaps.RecordValue(worst.Milliseconds()) // cannot fail: the value is within the bounds of the histogram
				}
				b.ReportMetric(float64(gaps.ValueAtQuantile(50)), "median-ms")
				b.ReportMetric(float64(gaps.Max()), "most-ms")
			})
		}
	}
}
