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

// The view fits 80 columns and the screen's height, leads with who leads, and keeps
// the last good page of a controller that is away, with its age.
func TestTopShowsLastStatusOfUnreachableControllers(t *testing.T) {
	view := clusterView{views: make([]controllerView, 3), width: 80, height: 24, teams: map[string]config.Team{"main": {CPUs: 16, CPUsMax: 40}}}
	for i := range 3 {
		view.controllers = append(view.controllers, local.Controller{Label: fmt.Sprintf("ctl-%d", i)})
	}
	if text := view.render(time.Now()); !strings.Contains(text, "no controller has said that it leads") {
		t.Errorf("before anything is known:\n%s", text)
	}
	now := time.Now()
	lead := core.Status{Label: "ctl-1", Leader: "ctl-1", Epoch: 4, MayServe: true, TeamCPUs: map[string]float64{"main": 12},
		Machines: map[string]core.MachineStatus{"n-1": {Zone: "a", Tasks: 3}}, Jobs: map[string]int{"running": 40, "done": 9}}
	for i := range 40 {
		lead.Queue = append(lead.Queue, core.QueuedJobStatus{JobID: fmt.Sprintf("job-%017d", i), Waiting: i, Reason: strings.Repeat("waits for room ", 9)})
	}
	away := errors.New("connection refused")
	view.update([]controllerView{{status: core.Status{Label: "ctl-0", Leader: "ctl-1", Epoch: 4, MayServe: true}, readAt: now}, {status: lead, readAt: now}, {err: away}})
	view.update([]controllerView{{err: away}, {err: away}, {err: away}})
	text := view.render(now.Add(7 * time.Second))
	for _, want := range []string{"away, seen 7 s ago", "the leader is away; below is what it said 7 s ago", "ctl-2     not seen yet", "main                12.0      16.0      40.0", "job-00000000000000039", "more"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing:\n%s", want, text)
		}
	}
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	if len(lines) > 24 {
		t.Errorf("%d lines on a screen of 24", len(lines))
	}
	for _, l := range lines {
		if w := runewidth.StringWidth(l); w > 80 {
			t.Errorf("%d columns: %q", w, l)
		}
	}
	// A new leader's page takes over from the old one's.
	view.update([]controllerView{{status: core.Status{Label: "ctl-0", Leader: "ctl-0", Epoch: 5, MayServe: true, UnseenMachines: 2}, readAt: now}, {err: away}, {err: away}})
	if text := view.render(now); !strings.Contains(text, "a take-over waits for 2 machines") || strings.Contains(text, "the leader is away") {
		t.Errorf("after a take-over:\n%s", text)
	}
}

// A job file is read with all its mistakes, and a sound one is the job that it says.
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
			t.Errorf("%q: %v", text, err)
		}
	}
	writeFile(t, path, "tasks: 3\nurgency: high\nestimate: 1m30s\nafter: [job-1, job-22]\ncommand: [sh, -c, 'echo $X']\nenv: {X: '1'}\n")
	f, err := readJob(path, jobFields{Team: "main", CPUs: 2})
	if err != nil {
		t.Fatal(err)
	}
	if j := f.job(); j.Tasks != 3 || j.Urgency != "high" || j.Estimate != 90*time.Second || j.Team != "main" || j.CPUs != 2 || j.Env["X"] != "1" || len(j.After) != 2 {
		t.Errorf("%+v", j)
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// The files under deploy are settings that the commands take.
func TestDeployFilesAreValidSettings(t *testing.T) {
	if s, err := local.Read("../../deploy/local.yaml"); err != nil || len(s.Cloud.Types) != 2 || s.State.TxnOps != local.Defaults().State.TxnOps {
		t.Errorf("%+v, %v", s, err)
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

// The figures of a controller that answers are there under the usual names, and one that
// does not answer is said to be down.
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
	go func() { _ = srv.Serve(l) }() // it ends with the test
	defer func() { _ = srv.Shutdown() }()
	f := &statusCollector{controllers: []local.Controller{{Label: "ctl-0", StatusAddr: l.Addr().String()}, {Label: "ctl-1", StatusAddr: "127.0.0.1:1"}}}
	b, err := f.metricsText()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`chalkhub_up{controller="ctl-0"} 1`, `chalkhub_up{controller="ctl-1"} 0`, `chalkhub_jobs{controller="ctl-0",state="done"} 7`,
		`chalkhub_waiting_tasks{controller="ctl-0"} 5`, `chalkhub_answer_seconds{controller="ctl-0",quantile="0.99"} 0.04`, `chalkhub_team_cpus{controller="ctl-0",team="main"} 2`} {
		if !strings.Contains(string(b), want+"\n") {
			t.Errorf("%s is missing in\n%s", want, b)
		}
	}
}
