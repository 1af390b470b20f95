package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// startLoaded begins a scenario with n machines of 16 CPUs that are full, and as much work again
// waiting.
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
	s.eventually(90*second, "nearly every CPU is taken", func() bool { return s.Users.RunningTasks() >= n*15 })
	return s
}

// BenchmarkSecond is a second of a busy deployment: heartbeats, rounds and all.
// The growth between the sizes is what counts.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{1000, 3000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := startLoaded(b, 1, n)
			b.ReportAllocs()
			var own time.Duration
			s.OnApplied = func(_ *simulation.Node, _ []core.Command, took time.Duration) { own += took }
			b.ResetTimer()
			defer func() { b.ReportMetric(own.Seconds()*1000/float64(b.N), "core-ms/op") }()
			for range b.N {
				s.Users.Submit(simulation.Array(n/2), 30)
				s.Run(s.Now + second)
			}
		})
	}
}

// BenchmarkDependents is a second of a deployment with thousands of jobs that wait for
// others: a fan behind one job, and chains of a hundred.
func BenchmarkDependents(b *testing.B) {
	for _, n := range []int{0, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := startLoaded(b, 1, 1000)
			first := simulation.Array(1)
			first.ID, first.CPUs = "job-900000000", 16
			s.Store.AddDependentJobs(first, n)
			s.Run(s.Now + 60*second) // the others read them anew: so many changes are not kept
			var own time.Duration
			s.OnApplied = func(_ *simulation.Node, _ []core.Command, took time.Duration) { own += took }
			b.ResetTimer()
			defer func() { b.ReportMetric(own.Seconds()*1000/float64(b.N), "core-ms/op") }()
			for range b.N {
				s.Users.Submit(simulation.Array(500), 30)
				s.Run(s.Now + second)
			}
		})
	}
}

// Hundreds of machines come up at once: the registry must not take the write budget of many seconds,
// and all of them work soon.
func TestRegistrationBatchesWrites(t *testing.T) {
	s := newScenario(t, 33)
	s.Users.Submit(simulation.Array(3200), 60)
	s.Run(s.Now + 2*second)
	before := s.Store.Writes
	for range 200 {
		s.Cloud.AddRunning("barn", "a", true)
	}
	s.eventually(8*second, "every machine works", func() bool { return s.Users.RunningTasks() >= 3200 })
	if n := s.Store.Writes - before; n > 40 {
		t.Fatalf("%d writes for 200 machines", n)
	}
}

// The invariants hold at scale too: a crash of the leader, an outage of the store, a crash of every
// node, and machines that are taken away.
func TestLoadedClusterSurvivesFaults(t *testing.T) {
	s := startLoaded(t, 34, 150)
	s.leader().Crash(3 * second)
	s.Run(s.Now + 10*second)
	s.Store.Outage(8 * second)
	for _, k := range s.RandomWorkers(15) {
		s.Cloud.Remove(k.Info.Name)
	}
	s.Run(s.Now + 15*second)
	for _, n := range s.Nodes {
		n.Crash(4 * second)
	}
	s.eventually(60*second, "the machines are full again", func() bool { return s.Users.RunningTasks() >= 130*15 })
	s.eventually(400*second, "nothing accepted is lost", s.Users.AllFinal)
}

// After all nodes have crashed, hundreds of machines are seen again within a few seconds, and none is
// given up.
func TestFailoverAtScale(t *testing.T) {
	s := startLoaded(t, 37, 300)
	deleted := s.Cloud.Deleted
	for _, n := range s.Nodes {
		n.Crash(3 * second)
	}
	s.Logs = nil
	s.eventually(5*second, "every machine has been seen", func() bool {
		return s.logged("every machine has been seen")
	})
	s.Run(s.Now + 10*second)
	if n := s.Cloud.Deleted - deleted; n > 0 {
		t.Fatalf("%d machines were given up", n)
	}
}

// BenchmarkPoll is a poll of an unfinished job, as the core sees it: many share one read of the
// store.
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

// BenchmarkTaskStartGap is how long no task starts after controllers end, with short tasks
// waiting all the while, by who ends and how soon they are back: median and most.
func BenchmarkTaskStartGap(b *testing.B) {
	for _, end := range []struct {
		who  string
		ends func(s *scenario, back time.Duration)
	}{
		{"leader", func(s *scenario, back time.Duration) { s.leader().Crash(back) }},
		{"member", func(s *scenario, back time.Duration) { s.follower().Crash(back) }},
		{"all", func(s *scenario, back time.Duration) {
			for _, n := range s.Nodes {
				n.Crash(back)
			}
		}},
		{"leader twice", func(s *scenario, back time.Duration) {
			n := s.leader()
			n.Crash(back)
			s.After(back+second/10, func() { n.Crash(back) })
		}},
	} {
		for _, back := range []time.Duration{second / 20, second / 5, second, 8 * second} {
			b.Run(fmt.Sprint(end.who, " back in ", back), func(b *testing.B) {
				gaps := hdrhistogram.New(1, 100_000, 3)
				for seed := range uint64(5) {
					s := newScenario(b, 700+seed)
					s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0 // what is up must do
					for i := range 16 {
						s.Cloud.AddRunning("box", []string{"a", "b"}[i%2], true)
					}
					for range 30 {
						s.Users.Submit(simulation.Array(100), 3+s.Rand.Float64()*3)
					}
					s.Run(s.Now + 25*second)
					end.ends(s, back)
					last, count, worst := s.Now, s.Users.Starts, time.Duration(0)
					for until := s.Now + 40*second; s.Now < until; s.Run(s.Now + second/50) {
						if s.Users.Starts > count {
							last, count = s.Now, s.Users.Starts
						}
						worst = max(worst, s.Now-last)
					}
					s.requireInvariants()
					_ = gaps.RecordValue(worst.Milliseconds()) // within bounds
				}
				b.ReportMetric(float64(gaps.ValueAtQuantile(50)), "median-ms")
				b.ReportMetric(float64(gaps.Max()), "most-ms")
			})
		}
	}
}
