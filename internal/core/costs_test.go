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

// BenchmarkCosts says what single things cost a controller, by size of the fleet:
// a report, a poll and a round (medians), a full picture of a member (to make, to
// take, and its bytes on the link), and all that a new leader does until it has seen
// every machine, with the longest single batch of that.
func BenchmarkCosts(b *testing.B) {
	for _, n := range []int{1000, 3000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				measureCosts(b, n)
			}
		})
	}
}

func measureCosts(b *testing.B, n int) {
	s := startLoaded(b, 1, n)
	us := map[string]*hdrhistogram.Histogram{}
	note := func(what string, took time.Duration) {
		if us[what] == nil {
			us[what] = hdrhistogram.New(1, 60_000_000, 3)
		}
		_ = us[what].RecordValue(min(max(took.Microseconds(), 1), 60_000_000)) // within bounds
	}
	due := false
	s.Applied = func(_ *simulation.Node, cmds []core.Command, took time.Duration) {
		if due {
			note("round", took)
			due = false
			return
		}
		if len(cmds) != 1 {
			return
		}
		switch cmds[0].(type) {
		case core.Heartbeat:
			note("report", took)
		case core.QueryJob:
			note("poll", took)
		}
	}
	lead := s.leader()
	for range 10 {
		s.Run(s.Now + second/5)
		lead.Core.ForceRound()
		due = true
		lead.Post(core.Tick{})
		s.Run(s.Now + second/5)
	}
	follower := s.follower()
	for range 5 {
		begin := time.Now()
		m := follower.Core.FullSnapshot()
		line, err := json.Marshal(&m)
		if err != nil {
			b.Fatal(err)
		}
		note("picture-made", time.Since(begin))
		begin = time.Now()
		lead.Core.ApplySnapshot(follower.Label, m)
		note("picture-taken", time.Since(begin))
		b.ReportMetric(float64(len(line))/1024, "picture-KB")
	}
	var total, longest time.Duration
	seen := false
	s.Applied = func(n *simulation.Node, _ []core.Command, took time.Duration) {
		if n.Core.IsLeader() && !seen {
			total += took
			longest = max(longest, took)
		}
	}
	lead.Crash(0)
	s.Logs = nil
	s.eventually(60*second, "every machine has been seen", func() bool { seen = seen || s.logged("every machine has been seen"); return seen })
	for what, h := range us {
		b.ReportMetric(float64(h.ValueAtQuantile(50)), what+"-us")
	}
	b.ReportMetric(total.Seconds()*1000, "takeover-ms")
	b.ReportMetric(longest.Seconds()*1000, "longest-ms")
}

// BenchmarkEnded is what jobs that are over cost a controller that starts: the time
// to load the mirror and the memory that it then holds.
func BenchmarkEnded(b *testing.B) {
	for _, n := range []int{10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newScenario(b, 1)
			s.State.Ended(n)
			s.Run(s.Now + 20*second) // the others read them anew: so many changes are not kept
			for range b.N {
				nd := s.Nodes[0]
				nd.Crash(0)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				took, most := time.Duration(0), time.Duration(0)
				s.Applied = func(x *simulation.Node, _ []core.Command, d time.Duration) {
					if x == nd {
						took, most = took+d, max(most, d)
					}
				}
				nd.Start()
				s.eventually(240*second, "the node is ready", func() bool { return nd.Ready })
				s.Applied = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(took.Seconds()*1000, "load-ms")
				b.ReportMetric(most.Seconds()*1000, "longest-ms")
				b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/(1<<20), "MB")
			}
		})
	}
}
