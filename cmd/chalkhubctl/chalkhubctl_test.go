package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"github.com/mattn/go-runewidth"
	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/local"
)

// The view fits into 80 columns and the height of the terminal. It takes the leader's data from
// the status page with the newest epoch. A controller that cannot be read keeps its last status
// page, which is shown with its age.
func TestTopShowsLastStatusOfUnreachableControllers(t *testing.T) {
	view := clusterView{views: make([]controllerView, 3), width: 80, height: 24, teams: map[string]config.Team{"main": {CPUs: 16, CPUsMax: 40}}}
	for i := range 3 {
		view.controllers = append(view.controllers, local.Controller{Label: fmt.Sprintf("ctl-%d", i)})
	}
	if text := view.render(time.Now()); !strings.Contains(text, "no controller is known to be the leader") {
		t.Errorf("view before any status page was read:\n%s", text)
	}
	now := time.Now()
	leaderStatus := core.Status{Label: "ctl-1", Leader: "ctl-1", Epoch: 4, MayServe: true, TeamCPUs: map[string]float64{"main": 12},
		Machines: map[string]core.MachineStatus{"n-1": {Zone: "a", Tasks: 3}}, Jobs: map[string]int{"running": 40, "done": 9}}
	for i := range 40 {
		leaderStatus.Queue = append(leaderStatus.Queue, core.QueuedJobStatus{JobID: fmt.Sprintf("job-%017d", i), Waiting: i, Reason: strings.Repeat("waits for room ", 9)})
	}
	errRefused := errors.New("connection refused")
	view.update([]controllerView{{status: core.Status{Label: "ctl-0", Leader: "ctl-1", Epoch: 4, MayServe: true}, readAt: now}, {status: leaderStatus, readAt: now}, {err: errRefused}})
	view.update([]controllerView{{err: errRefused}, {err: errRefused}, {err: errRefused}})
	text := view.render(now.Add(7 * time.Second))
	for _, want := range []string{"last seen 7 s ago", "the leader is unreachable; its status below was read 7 s ago", "ctl-2     no status received yet", "main                12.0      16.0      40.0", "job-00000000000000039", "more"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in the view:\n%s", want, text)
		}
	}
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	if len(lines) > 24 {
		t.Errorf("the view has %d lines, want at most 24", len(lines))
	}
	for _, l := range lines {
		if w := runewidth.StringWidth(l); w > 80 {
			t.Errorf("line has %d columns, want at most 80: %q", w, l)
		}
	}
	// The status page of the next leader, with a newer epoch, replaces that of the previous one.
	view.update([]controllerView{{status: core.Status{Label: "ctl-0", Leader: "ctl-0", Epoch: 5, MayServe: true, UnseenMachines: 2}, readAt: now}, {err: errRefused}, {err: errRefused}})
	if text := view.render(now); !strings.Contains(text, "failover in progress: 2 machines may run tasks unknown to the leader") || strings.Contains(text, "the leader is unreachable") {
		t.Errorf("view after a failover:\n%s", text)
	}
}

// A job file that violates the schema is refused with an error that names the violation, and a
// valid one gives the job that it describes.
func TestJobFileReportsViolations(t *testing.T) {
	dir := t.TempDir()
	path := dir + "/job.yaml"
	for text, want := range map[string]string{
		"command: [sh]\ncheckpoint: 5s\n": "save",
		"tasks: 2\n":                      "command",
		"command: [sh]\nsimulate: 2s\n":   "oneOf",
		"command: [sh]\nestimate: soon\n": ":2: estimate",
		"command: [sh]\nkind: gang\n":     ":2: kind",
		"command: [sh]\nafter: [job-x]\n": ":2: after",
	} {
		writeFile(t, path, text)
		if _, err := readJob(path, jobFields{}); err == nil || !strings.Contains(err.Error(), want) || exitCode(err) != exitMalformed {
			t.Errorf("job file %q: error %v", text, err)
		}
	}
	writeFile(t, path, "tasks: 3\nurgency: high\nestimate: 1m30s\nafter: [job-1, job-22]\ncommand: [sh, -c, 'echo $X']\nenv: {X: '1'}\n")
	f, err := readJob(path, jobFields{Team: "main", CPUs: 2})
	if err != nil {
		t.Fatal(err)
	}
	if j := f.job(); j.Tasks != 3 || j.Urgency != "high" || j.Estimate != 90*time.Second || j.Team != "main" || j.CPUs != 2 || j.Env["X"] != "1" || len(j.After) != 2 {
		t.Errorf("job read from a valid file: %+v", j)
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// The settings files in the deploy directory are accepted by the commands that read them.
func TestDeployFilesAreValidSettings(t *testing.T) {
	if s, err := local.Read("../../deploy/local.yaml"); err != nil || len(s.Cloud.Types) != 2 || s.State.TxnOps != local.Defaults().State.TxnOps {
		t.Errorf("deploy/local.yaml: settings %+v, error %v", s, err)
	}
	var st local.StateFile
	if err := readJSON("../../deploy/state.json", &st); err != nil {
		t.Error(err)
	} else if err := (&stateRunCmd{Config: "state.json"}).check(&st); err != nil {
		t.Error(err)
	}
	var a local.AgentFile
	if err := readJSON("../../deploy/agent.json", &a); err != nil {
		t.Error(err)
	} else if err := (&agentCmd{Config: "agent.json"}).check(&a); err != nil {
		t.Error(err)
	}
}

// The metrics of a controller whose status page can be read have their documented names and
// values. A controller that cannot be reached is reported as down.
func TestMetricsOfReachableAndUnreachableControllers(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	page, err := json.Marshal(&core.Status{Label: "ctl-0", Leader: "ctl-0", Epoch: 3, Jobs: map[string]int{"done": 7}, TeamCPUs: map[string]float64{"main": 2},
		ResponseTimes: core.LatencySummary{Count: 9, P50: 2, P99: 40, Max: 50}, Queue: []core.QueuedJobStatus{{JobID: "job-1", Waiting: 4}, {JobID: "job-2", Waiting: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBody(page) }}
	go func() { _ = srv.Serve(l) }() // ends when the test shuts the server down
	defer func() { _ = srv.Shutdown() }()
	collector := &statusCollector{controllers: []local.Controller{{Label: "ctl-0", StatusAddr: l.Addr().String()}, {Label: "ctl-1", StatusAddr: "127.0.0.1:1"}}}
	b, err := collector.metricsText()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`chalkhub_up{controller="ctl-0"} 1`, `chalkhub_up{controller="ctl-1"} 0`, `chalkhub_jobs{controller="ctl-0",state="done"} 7`,
		`chalkhub_waiting_tasks{controller="ctl-0"} 5`, `chalkhub_answer_seconds{controller="ctl-0",quantile="0.99"} 0.04`, `chalkhub_team_cpus{controller="ctl-0",team="main"} 2`} {
		if !strings.Contains(string(b), want+"\n") {
			t.Errorf("%s is missing in the metrics:\n%s", want, b)
		}
	}
}
