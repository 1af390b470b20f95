package core_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// BenchmarkCosts measures the cost of single operations of a controller, by fleet size: the median of
// a heartbeat, a poll and a scheduling round; encoding and applying a member's snapshot, and its size
// on the link; and the total work of a new leader until it has seen every machine, with the longest
// single batch of commands.
func BenchmarkCosts(b *testing.B) {
	for _, machines := range []int{1000, 3000, 10000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for range b.N {
				s := startLoaded(b, 1, machines)
				durations := durationsByName{}
				measureCommands(s, durations)
				measureSnapshots(b, s, durations)
				measureFailover(b, s)
				for name, histogram := range durations {
					b.ReportMetric(float64(histogram.ValueAtQuantile(50)), name+"-us")
				}
			}
		})
	}
}

// maxMeasuredMicros is the longest duration that a histogram distinguishes: a minute.
const maxMeasuredMicros = 60_000_000

// durationsByName holds a histogram of durations in microseconds for each measured operation.
type durationsByName map[string]*hdrhistogram.Histogram

func (d durationsByName) record(name string, duration time.Duration) {
	if d[name] == nil {
		d[name] = hdrhistogram.New(1, maxMeasuredMicros, 3)
	}
	_ = d[name].RecordValue(min(max(duration.Microseconds(), 1), maxMeasuredMicros)) // the value is limited to the histogram's range
}

// measureCommands measures ten scheduling rounds, and the heartbeats and polls that form a batch of
// their own.
func measureCommands(s *scenario, durations durationsByName) {
	roundDue := false
	s.OnApplied = func(_ *simulation.Node, commands []core.Command, took time.Duration) {
		if roundDue {
			durations.record("round", took)
			roundDue = false
			return
		}
		if len(commands) != 1 {
			return
		}
		switch commands[0].(type) {
		case core.Heartbeat:
			durations.record("heartbeat", took)
		case core.QueryJob:
			durations.record("poll", took)
		}
	}
	leader := s.leader()
	for range 10 {
		s.Run(s.Now + second/5)
		leader.Core.ForceSchedulingRound()
		roundDue = true
		leader.Post(core.Tick{})
		s.Run(s.Now + second/5)
	}
}

// measureSnapshots measures five times how long a member takes to encode a snapshot and the leader to
// apply it, and reports the snapshot's size.
func measureSnapshots(b *testing.B, s *scenario, durations durationsByName) {
	b.Helper()
	leader, follower := s.leader(), s.follower()
	for range 5 {
		begin := time.Now()
		snapshot := follower.Core.FullSnapshot()
		line, err := json.Marshal(&snapshot)
		if err != nil {
			b.Fatal(err)
		}
		durations.record("snapshot-encode", time.Since(begin))
		begin = time.Now()
		leader.Core.ApplySnapshot(follower.Label, snapshot)
		durations.record("snapshot-apply", time.Since(begin))
		b.ReportMetric(float64(len(line))/1024, "snapshot-KB")
	}
}

// measureFailover measures the processing time of a new leader until it has seen every machine: the
// total, and that of the longest batch of commands.
func measureFailover(b *testing.B, s *scenario) {
	b.Helper()
	var total, longest time.Duration
	allSeen := false
	s.OnApplied = func(n *simulation.Node, _ []core.Command, took time.Duration) {
		if n.Core.IsLeader() && !allSeen {
			total += took
			longest = max(longest, took)
		}
	}
	s.leader().Crash(0)
	s.Logs = nil
	s.eventually(60*second, "every machine has been seen", func() bool {
		allSeen = allSeen || s.logged("every machine has been seen")
		return allSeen
	})
	b.ReportMetric(total.Seconds()*1000, "failover-ms")
	b.ReportMetric(longest.Seconds()*1000, "longest-ms")
}

// BenchmarkLoadArchivedJobs measures what archived jobs cost a controller that starts: the time to load
// the mirror, and the memory that it then occupies.
func BenchmarkLoadArchivedJobs(b *testing.B) {
	for _, n := range []int{10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newScenario(b, 1)
			s.Store.AddFinishedJobs(n)
			s.Run(s.Now + 20*second) // the running controllers reload too: the store's change history is too short for so many changes
			for range b.N {
				restarted := s.Nodes[0]
				restarted.Crash(0)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				total, longest := time.Duration(0), time.Duration(0)
				s.OnApplied = func(node *simulation.Node, _ []core.Command, took time.Duration) {
					if node == restarted {
						total, longest = total+took, max(longest, took)
					}
				}
				restarted.Start()
				s.eventually(240*second, "the restarted controller is ready", func() bool { return restarted.Ready })
				s.OnApplied = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(total.Seconds()*1000, "load-ms")
				b.ReportMetric(longest.Seconds()*1000, "longest-ms")
				b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/(1<<20), "MB")
			}
		})
	}
}

// BenchmarkStoreRequests counts the requests of three controllers to the state service in a busy minute:
// five jobs a second, two of them with dependencies, and users who poll.
func BenchmarkStoreRequests(b *testing.B) {
	const rounds = 60
	for range b.N {
		s := newScenario(b, 1)
		requests := map[string]float64{}
		s.OnApplied = func(_ *simulation.Node, commands []core.Command, _ time.Duration) {
			for _, command := range commands {
				switch command := command.(type) {
				case core.CommitResult:
					requests["commits"]++
				case core.WatchResult:
					if command.Barrier {
						requests["barriers"]++
					} else {
						requests["watches"]++
					}
				}
			}
		}
		for range rounds {
			head := s.Users.Submit(simulation.Array(4), 5)
			s.Users.Submit(simulation.Array(2), 5)
			s.Users.Submit(simulation.Array(1), 5)
			s.Run(s.Now + second/2)
			s.Users.Submit(dependentArray(1, head), 2)
			s.Users.Submit(dependentArray(2, head), 2)
			s.Run(s.Now + second/2)
		}
		s.requireInvariants()
		for name, count := range requests {
			b.ReportMetric(count/float64(b.N), name)
		}
	}
}
