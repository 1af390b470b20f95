package local

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chalkhub/chalkhub/client"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

// BenchmarkSubmissions hands jobs to a cluster from 32 users for ten seconds:
//
//	go test ./internal/local -run XXX -bench Submissions -benchtime 1x
func BenchmarkSubmissions(b *testing.B) {
	for name, batch := range map[string]int{"batched": 256, "one by one": 1} {
		b.Run(name, func(b *testing.B) {
			s := testSettings()
			s.State.RPS, s.State.WriteRPS, s.State.TxnOps = 1e6, 1e6, 64
			s.Cloud.Types[0].MaxPerZone = 1
			c := start(b, Options{Dir: b.TempDir(), Settings: s, MaxBatch: batch})
			defer func() { _ = c.Close() }()
			var mu sync.Mutex
			took := hdrhistogram.New(1, 60_000_000, 3)
			var refused atomic.Int64
			end := time.Now().Add(10 * time.Second)
			var wg sync.WaitGroup
			for u := range 32 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					call := rpc.New(1, 5*time.Second)
					to := c.Controllers[u%len(c.Controllers)].Serve
					for time.Now().Before(end) {
						id, err := client.NewID()
						if err != nil {
							b.Error(err)
							return
						}
						job := map[string]any{"Ref": id, "Lotclass": "c", "Desk": "main", "Genre": "array", "Urgency": "idle", "Lots": 1, "Cpus": 1.0, "MemoryGb": 1.0,
							"Kit": "none", "ImageGb": 0.0, "GuessS": 1.0}
						for k, v := range protocol.JobDefaults() {
							if _, ok := job[k]; !ok {
								job[k] = v
							}
						}
						at := time.Now()
						if call.Call("POST", to, "/v2/runs", job, nil, 5*time.Second) != 201 {
							refused.Add(1)
							time.Sleep(100 * time.Millisecond)
							continue
						}
						mu.Lock()
						_ = took.RecordValue(time.Since(at).Microseconds()) // within a minute
						mu.Unlock()
					}
				}()
			}
			wg.Wait()
			b.ReportMetric(float64(took.TotalCount())/10, "submissions/s")
			b.ReportMetric(float64(took.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(took.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(refused.Load()), "refused")
		})
	}
}

// BenchmarkAgents fills a cluster with so many agents, each with a simulated task, and
// tells how long the controllers take to answer and how many machines they find silent:
//
//	go test ./internal/local -run XXX -bench Agents -benchtime 1x
func BenchmarkAgents(b *testing.B) {
	for _, n := range []int{50, 100, 200, 400, 800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := testSettings()
			s.Workers.ReportS, s.Workers.LeaseS, s.Workers.CancelS = 1, 6, 14
			s.Cloud.Types[0].MaxPerZone = n
			s.Teams[0].CPUs = float64(n)
			c := start(b, Options{Dir: b.TempDir(), Settings: s})
			defer func() { _ = c.Close() }()
			cl, err := c.Client()
			if err != nil {
				b.Fatal(err)
			}
			ctx, stop := context.WithTimeout(context.Background(), 80*time.Second)
			defer stop()
			j := client.Job{Team: "main", Tasks: n, CPUs: 1, MemoryGB: 1, Estimate: time.Hour, Simulate: time.Hour}
			if _, err := cl.Submit(ctx, &j); err != nil {
				b.Fatal(err)
			}
			began := time.Now()
			running := 0
			for running < n && ctx.Err() == nil {
				if s, err := cl.Query(ctx, j.ID); err == nil {
					running = s.Running
				}
				time.Sleep(200 * time.Millisecond)
			}
			full := time.Since(began)
			time.Sleep(10 * time.Second)
			p99, silent, seen := int64(0), 0, 0
			for _, x := range c.Controllers {
				var s core.Status
				if ReadStatus(x.Status, &s) != nil {
					continue
				}
				p99 = max(p99, s.ResponseTimes.P99)
				for _, m := range s.Machines {
					seen++
					if m.Silent {
						silent++
					}
				}
			}
			b.ReportMetric(float64(running), "running")
			b.ReportMetric(full.Seconds(), "s-to-full")
			b.ReportMetric(float64(p99), "answer-p99-ms")
			b.ReportMetric(float64(seen), "machines")
			b.ReportMetric(float64(silent), "silent")
			b.ReportMetric(float64(residentMB(c.AgentPIDs()))/float64(max(len(c.AgentPIDs()), 1)), "MB/agent")
		})
	}
}

// residentMB is how much memory processes hold together, in MB.
func residentMB(pids map[string]int) (mb int) {
	for _, pid := range pids {
		b, err := os.ReadFile(filepath.Join("/proc", fmt.Sprint(pid), "statm"))
		if err != nil {
			continue
		}
		var size, resident int
		if n, _ := fmt.Sscan(string(b), &size, &resident); n == 2 {
			mb += resident * os.Getpagesize() >> 20
		}
	}
	return mb
}
