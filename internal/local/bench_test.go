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

// benchmarkDuration is how long jobs are submitted.
const benchmarkDuration = 10 * time.Second

// BenchmarkSubmissions submits jobs to a cluster from 32 users for ten seconds:
//
//	go test ./internal/local -run XXX -bench Submissions -benchtime 1x
func BenchmarkSubmissions(b *testing.B) {
	for name, maxBatch := range map[string]int{"batched": 256, "one by one": 1} {
		b.Run(name, func(b *testing.B) {
			s := testSettings()
			s.State.RPS, s.State.WriteRPS, s.State.TxnOps = 1e6, 1e6, 64
			s.Cloud.Types[0].MaxPerZone = 1
			c := start(b, Options{Dir: b.TempDir(), Settings: s, MaxBatch: maxBatch})
			defer func() { _ = c.Close() }()
			load := &submissionLoad{b: b, end: time.Now().Add(benchmarkDuration), latencies: hdrhistogram.New(1, 60_000_000, 3)}
			var users sync.WaitGroup
			for u := range 32 {
				users.Go(func() { load.submitJobs(c.Controllers[u%len(c.Controllers)].ServeAddr) })
			}
			users.Wait()
			b.ReportMetric(float64(load.latencies.TotalCount())/benchmarkDuration.Seconds(), "submissions/s")
			b.ReportMetric(float64(load.latencies.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(load.latencies.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(load.rejected.Load()), "refused")
		})
	}
}

// submissionLoad is users that submit jobs until its end.
type submissionLoad struct {
	b        *testing.B
	end      time.Time
	rejected atomic.Int64

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram // in microseconds
}

// submitJobs is one user: it submits one job after another to a controller.
func (l *submissionLoad) submitJobs(controller string) {
	client := rpc.New(1, 5*time.Second)
	for time.Now().Before(l.end) {
		job, err := benchmarkJob()
		if err != nil {
			l.b.Error(err)
			return
		}
		sentAt := time.Now()
		if client.Call("POST", controller, "/v2/runs", job, nil, 5*time.Second) != 201 {
			l.rejected.Add(1)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		l.record(time.Since(sentAt))
	}
}

func (l *submissionLoad) record(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.latencies.RecordValue(took.Microseconds()) // within a minute
}

// benchmarkJob is a job of one task, as it is on the wire.
func benchmarkJob() (map[string]any, error) {
	id, err := client.NewID()
	if err != nil {
		return nil, err
	}
	job := map[string]any{"Ref": id, "Lotclass": "c", "Desk": "main", "Genre": "array", "Urgency": "idle", "Lots": 1, "Cpus": 1.0, "MemoryGb": 1.0,
		"Kit": "none", "ImageGb": 0.0, "GuessS": 1.0}
	for field, value := range protocol.JobDefaults() {
		if _, ok := job[field]; !ok {
			job[field] = value
		}
	}
	return job, nil
}

// BenchmarkAgents fills a cluster with so many agents, each with a simulated task, and
// reports how long the controllers take to answer and how many machines they find silent:
//
//	go test ./internal/local -run XXX -bench Agents -benchtime 1x
func BenchmarkAgents(b *testing.B) {
	for _, count := range []int{50, 100, 200, 400, 800} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s := testSettings()
			s.Workers.ReportS, s.Workers.LeaseS, s.Workers.CancelS = 1, 6, 14
			s.Cloud.Types[0].MaxPerZone = count
			s.Teams[0].CPUs = float64(count)
			c := start(b, Options{Dir: b.TempDir(), Settings: s})
			defer func() { _ = c.Close() }()
			running, took := fillCluster(b, c, count)
			b.ReportMetric(float64(running), "running")
			b.ReportMetric(took.Seconds(), "s-to-full")
			time.Sleep(10 * time.Second)
			reportControllerMetrics(b, c)
			agents := c.AgentPIDs()
			b.ReportMetric(float64(residentMB(agents))/float64(max(len(agents), 1)), "MB/agent")
		})
	}
}

// fillCluster submits so many simulated tasks, and returns how many run once all do, after 80
// seconds at the latest, and how long that took.
func fillCluster(b *testing.B, c *Cluster, tasks int) (running int, took time.Duration) {
	b.Helper()
	cl, err := c.Client()
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Second)
	defer cancel()
	job := client.Job{Team: "main", Tasks: tasks, CPUs: 1, MemoryGB: 1, Estimate: time.Hour, Simulate: time.Hour}
	if _, err := cl.Submit(ctx, &job); err != nil {
		b.Fatal(err)
	}
	startedAt := time.Now()
	for running < tasks && ctx.Err() == nil {
		if status, err := cl.Query(ctx, job.ID); err == nil {
			running = status.Running
		}
		time.Sleep(200 * time.Millisecond)
	}
	return running, time.Since(startedAt)
}

// reportControllerMetrics reports the controllers' slowest answers and their machines.
func reportControllerMetrics(b *testing.B, c *Cluster) {
	b.Helper()
	p99, silent, machines := int64(0), 0, 0
	for _, controller := range c.Controllers {
		var status core.Status
		if ReadStatus(controller.StatusAddr, &status) != nil {
			continue
		}
		p99 = max(p99, status.ResponseTimes.P99)
		for _, m := range status.Machines {
			machines++
			if m.LeaseExpired {
				silent++
			}
		}
	}
	b.ReportMetric(float64(p99), "answer-p99-ms")
	b.ReportMetric(float64(machines), "machines")
	b.ReportMetric(float64(silent), "silent")
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
