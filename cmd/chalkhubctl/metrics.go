package main

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/valyala/fasthttp"
	"github.com/willabides/kongplete"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/httpserver"
	"github.com/chalkhub/chalkhub/internal/local"
)

type completionCmd struct {
	kongplete.InstallCompletions
}

type metricsCmd struct {
	Listen string `default:"127.0.0.1:9477" help:"Address that serves them."`
}

// statusCollector collects the controllers' status pages when it is asked, so that the
// controllers themselves need no metrics library and keep no second set of counters.
type statusCollector struct {
	controllers []local.Controller
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("chalkhub_"+name, help, append([]string{"controller"}, labels...), nil)
}

var (
	upDesc       = desc("up", "Whether the controller shows its status page.")
	epochDesc    = desc("epoch", "Epoch of the map that the controller knows.")
	leadsDesc    = desc("leads", "Whether the controller leads.")
	entitledDesc = desc("entitled", "Whether the controller may answer workers.")
	jobsDesc     = desc("jobs", "Jobs by state, as the controller knows them.", "state")
	machinesDesc = desc("machines", "The controller's own machines by zone.", "zone")
	tasksDesc    = desc("tasks", "Tasks on the controller's own machines by zone.", "zone")
	waitingDesc  = desc("waiting_tasks", "Tasks that wait in the leader's queue.")
	teamDesc     = desc("team_cpus", "CPUs that a team's tasks take, as the leader counts them.", "team")
	desiredDesc  = desc("desired_cpus", "CPUs that the leader wants to have.")
	unseenDesc   = desc("machines_unseen", "Machines that a take-over still waits for.")
	refusedDesc  = desc("refused_requests_total", "Requests refused because too many were under way.", "kind")
	answersDesc  = desc("answer_seconds", "Answer times of the controller's requests.")
	waitsDesc    = desc("task_wait_seconds", "Time from submission to start by urgency, on the leader.", "urgency")
)

// Describe lists nothing: what there is depends on the pages.
func (f *statusCollector) Describe(chan<- *prometheus.Desc) {}

// Collect reads all pages at once.
func (f *statusCollector) Collect(out chan<- prometheus.Metric) {
	var wg sync.WaitGroup
	for _, c := range f.controllers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.collectController(c, out)
		}()
	}
	wg.Wait()
}

func (f *statusCollector) collectController(c local.Controller, out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, append([]string{c.Label}, labels...)...)
	}
	flag := func(d *prometheus.Desc, b bool) {
		if b {
			gauge(d, 1)
		} else {
			gauge(d, 0)
		}
	}
	spread := func(d *prometheus.Desc, s core.LatencySummary, labels ...string) {
		out <- prometheus.MustNewConstSummary(d, uint64(s.Count), 0, map[float64]float64{
			0.5: float64(s.P50) / 1000, 0.9: float64(s.P90) / 1000, 0.99: float64(s.P99) / 1000, 1: float64(s.Max) / 1000,
		}, append([]string{c.Label}, labels...)...)
	}
	var s core.Status
	err := local.ReadStatus(c.Status, &s)
	flag(upDesc, err == nil)
	if err != nil {
		return
	}
	gauge(epochDesc, float64(s.Epoch))
	flag(leadsDesc, s.Leader == s.Label)
	flag(entitledDesc, s.Entitled)
	for state, n := range s.Jobs {
		gauge(jobsDesc, float64(n), state)
	}
	machines, tasks := map[string]int{}, map[string]int{}
	for _, m := range s.Machines {
		machines[m.Zone]++
		tasks[m.Zone] += m.Tasks
	}
	for zone, n := range machines {
		gauge(machinesDesc, float64(n), zone)
		gauge(tasksDesc, float64(tasks[zone]), zone)
	}
	for kind, n := range s.RejectedRequests {
		out <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(n), c.Label, kind)
	}
	spread(answersDesc, s.ResponseTimes)
	if s.Leader != s.Label {
		return
	}
	waiting := 0
	for _, q := range s.Queue {
		waiting += q.Waiting
	}
	gauge(waitingDesc, float64(waiting))
	gauge(desiredDesc, s.DesiredCPUs)
	gauge(unseenDesc, float64(s.UnseenMachines))
	for team, cpus := range s.TeamCPUs {
		gauge(teamDesc, cpus, team)
	}
	for urgency, w := range s.StartLatencies {
		spread(waitsDesc, w, urgency)
	}
}

// metricsText is all figures in the usual text format.
func (f *statusCollector) metricsText() ([]byte, error) {
	r := prometheus.NewRegistry()
	if err := r.Register(f); err != nil {
		return nil, err
	}
	families, err := r.Gather()
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	for _, m := range families {
		if _, err := expfmt.MetricFamilyToText(&b, m); err != nil {
			return nil, err
		}
	}
	return b.Bytes(), nil
}

// Run serves the figures.
func (c *metricsCmd) Run(ctx context.Context, top *cli) error {
	a, err := top.addresses()
	if err != nil {
		return err
	}
	f := &statusCollector{controllers: a.Controllers}
	var l net.Listener
	if l, err = listen(c.Listen); err != nil {
		return err
	}
	srv := &fasthttp.Server{Name: "chalk-metrics", ReadTimeout: time.Minute, WriteTimeout: time.Minute, Handler: func(ctx *fasthttp.RequestCtx) {
		if !strings.HasPrefix(string(ctx.Path()), "/metrics") {
			ctx.Error("the figures are at /metrics", 404)
			return
		}
		b, err := f.metricsText()
		if err != nil {
			ctx.Error(err.Error(), 500)
			return
		}
		ctx.SetContentType("text/plain; version=0.0.4; charset=utf-8")
		ctx.Response.SetBodyRaw(b)
	}}
	logger().Info("serving figures", "at", "http://"+c.Listen+"/metrics")
	return httpserver.Serve(ctx, srv, l)
}
