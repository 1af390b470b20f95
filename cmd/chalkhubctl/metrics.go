package main

import (
	"bytes"
	"context"
	"os"
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
	"github.com/chalkhub/chalkhub/internal/logging"
)

type completionCmd struct {
	kongplete.InstallCompletions
}

type metricsCmd struct {
	Listen string `default:"127.0.0.1:9477" help:"Address that serves them."`
}

// statusCollector is a Prometheus collector that reads the controllers' status pages on each
// scrape. The controllers therefore need no metrics library and keep no second set of counters.
type statusCollector struct {
	controllers []local.Controller
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("chalkhub_"+name, help, append([]string{"controller"}, labels...), nil)
}

var (
	upDesc               = newDesc("up", "Whether the controller shows its status page.")
	epochDesc            = newDesc("epoch", "Epoch of the map that the controller knows.")
	isLeaderDesc         = newDesc("leads", "Whether the controller leads.")
	mayServeDesc         = newDesc("entitled", "Whether the controller may answer workers.")
	jobsDesc             = newDesc("jobs", "Jobs by state, as the controller knows them.", "state")
	machinesDesc         = newDesc("machines", "The controller's own machines by zone.", "zone")
	tasksDesc            = newDesc("tasks", "Tasks on the controller's own machines by zone.", "zone")
	waitingTasksDesc     = newDesc("waiting_tasks", "Tasks that wait in the leader's queue.")
	teamCPUsDesc         = newDesc("team_cpus", "CPUs that a team's tasks take, as the leader counts them.", "team")
	desiredCPUsDesc      = newDesc("desired_cpus", "CPUs that the leader wants to have.")
	unseenMachinesDesc   = newDesc("machines_unseen", "Machines that a take-over still waits for.")
	rejectedRequestsDesc = newDesc("refused_requests_total", "Requests refused because too many were under way.", "kind")
	responseTimesDesc    = newDesc("answer_seconds", "Answer times of the controller's requests.")
	startLatenciesDesc   = newDesc("task_wait_seconds", "Time from submission to start by urgency, on the leader.", "urgency")
)

// Describe sends no descriptors, because the set of metrics depends on the content of the status
// pages.
func (c *statusCollector) Describe(chan<- *prometheus.Desc) {}

// Collect reads the status pages of all controllers concurrently and sends their metrics.
func (c *statusCollector) Collect(out chan<- prometheus.Metric) {
	var wg sync.WaitGroup
	for _, controller := range c.controllers {
		wg.Go(func() { collectController(controller, out) })
	}
	wg.Wait()
}

// collectController reads a controller's status page and sends its metrics. It sends the
// cluster-wide metrics only if the controller is the leader, because only the leader knows them.
func collectController(controller local.Controller, out chan<- prometheus.Metric) {
	m := controllerMetrics{label: controller.Label, out: out}
	var status core.Status
	err := local.ReadStatus(controller.StatusAddr, &status)
	m.boolGauge(upDesc, err == nil)
	if err != nil {
		return
	}
	m.sendControllerMetrics(&status)
	if status.Leader == status.Label {
		m.sendClusterMetrics(&status)
	}
}

// controllerMetrics sends metrics that carry a controller's label.
type controllerMetrics struct {
	label string
	out   chan<- prometheus.Metric
}

func (m *controllerMetrics) labels(extra []string) []string {
	return append([]string{m.label}, extra...)
}

func (m *controllerMetrics) gauge(desc *prometheus.Desc, value float64, labels ...string) {
	m.out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, m.labels(labels)...)
}

func (m *controllerMetrics) counter(desc *prometheus.Desc, value float64, labels ...string) {
	m.out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, value, m.labels(labels)...)
}

func (m *controllerMetrics) boolGauge(desc *prometheus.Desc, set bool) {
	value := 0.0
	if set {
		value = 1
	}
	m.gauge(desc, value)
}

// summary sends latencies in seconds; status pages hold them in milliseconds.
func (m *controllerMetrics) summary(desc *prometheus.Desc, s core.LatencySummary, labels ...string) {
	quantiles := map[float64]float64{
		0.5:  float64(s.P50) / 1000,
		0.9:  float64(s.P90) / 1000,
		0.99: float64(s.P99) / 1000,
		1:    float64(s.Max) / 1000,
	}
	m.out <- prometheus.MustNewConstSummary(desc, uint64(s.Count), 0, quantiles, m.labels(labels)...)
}

// sendControllerMetrics sends what every controller knows about itself and the machines in its
// shard.
func (m *controllerMetrics) sendControllerMetrics(s *core.Status) {
	m.gauge(epochDesc, float64(s.Epoch))
	m.boolGauge(isLeaderDesc, s.Leader == s.Label)
	m.boolGauge(mayServeDesc, s.MayServe)
	for state, count := range s.Jobs {
		m.gauge(jobsDesc, float64(count), state)
	}
	machines, tasks := map[string]int{}, map[string]int{}
	for _, machine := range s.Machines {
		machines[machine.Zone]++
		tasks[machine.Zone] += machine.Tasks
	}
	for zone, count := range machines {
		m.gauge(machinesDesc, float64(count), zone)
		m.gauge(tasksDesc, float64(tasks[zone]), zone)
	}
	for kind, count := range s.RejectedRequests {
		m.counter(rejectedRequestsDesc, float64(count), kind)
	}
	m.summary(responseTimesDesc, s.ResponseTimes)
}

// sendClusterMetrics sends what only the leader knows about the whole cluster: waiting tasks, desired
// CPUs, machines that may run tasks which the leader does not know of yet after a failover, CPUs by
// team, and start latencies.
func (m *controllerMetrics) sendClusterMetrics(s *core.Status) {
	waiting := 0
	for _, job := range s.Queue {
		waiting += job.Waiting
	}
	m.gauge(waitingTasksDesc, float64(waiting))
	m.gauge(desiredCPUsDesc, s.DesiredCPUs)
	m.gauge(unseenMachinesDesc, float64(s.UnseenMachines))
	for team, cpus := range s.TeamCPUs {
		m.gauge(teamCPUsDesc, cpus, team)
	}
	for urgency, latencies := range s.StartLatencies {
		m.summary(startLatenciesDesc, latencies, urgency)
	}
}

// metricsText returns all metrics in the Prometheus text format.
func (c *statusCollector) metricsText() ([]byte, error) {
	registry := prometheus.NewRegistry()
	if err := registry.Register(c); err != nil {
		return nil, err
	}
	families, err := registry.Gather()
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(&b, family); err != nil {
			return nil, err
		}
	}
	return b.Bytes(), nil
}

func (c *statusCollector) handleRequest(ctx *fasthttp.RequestCtx) {
	if !strings.HasPrefix(string(ctx.Path()), "/metrics") {
		ctx.Error("the figures are at /metrics", fasthttp.StatusNotFound)
		return
	}
	text, err := c.metricsText()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("text/plain; version=0.0.4; charset=utf-8")
	ctx.Response.SetBodyRaw(text)
}

// Run serves the controllers' metrics over HTTP at /metrics until ctx ends.
func (c *metricsCmd) Run(ctx context.Context, root *cli) error {
	addresses, err := root.addresses()
	if err != nil {
		return err
	}
	l, err := listen(c.Listen)
	if err != nil {
		return err
	}
	collector := &statusCollector{controllers: addresses.Controllers}
	srv := &fasthttp.Server{
		Name:         "chalk-metrics",
		Handler:      collector.handleRequest,
		ReadTimeout:  time.Minute,
		WriteTimeout: time.Minute,
	}
	log := logging.New(os.Stderr)
	log.Info("serving metrics", "at", "http://"+c.Listen+"/metrics")
	return httpserver.Serve(ctx, srv, l)
}
