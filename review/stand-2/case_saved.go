package main

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"
)

func init() { cases["4"] = savedIsDone }

// ownSite is a deployment whose cloud and agents are the project's own programs too.
type ownSite struct {
	*run
	state, cloud *process
	controllers  []*controller
	addresses    string // the file with them, for chalkhubctl
}

// newOwnSite starts a deployment with one zone and one machine of four CPUs.
func newOwnSite(r *run) *ownSite {
	set := valparaiso()
	set.zones = []string{"valparaiso"}
	s := &ownSite{run: r}
	stateAddr, depotAddr, cloudAddr := freeAddr(), freeAddr(), freeAddr()
	for _, dir := range []string{"logs", "machines", "saves"} {
		if err := os.MkdirAll(r.path(dir), 0o700); err != nil {
			giveUp("%v", err)
		}
	}
	limits := map[string]any{"rps": set.rps, "write_rps": set.writeRPS, "value_kb": set.valueKB, "txn_ops": set.txnOps}
	s.state = r.start("state", "target/chalkhubctl", "state", "run", "--config", r.writeJSON("state.json", map[string]any{
		"listen": stateAddr, "depot_listen": depotAddr, "file": r.path("state.db"), "depot_folder": r.path("depot"), "limits": limits, "batch": 256}))
	var addresses []map[string]any
	for i := range set.controllers {
		c := &controller{label: "rig-" + string(rune('0'+i)), serve: freeAddr(), peer: freeAddr()}
		s.controllers = append(s.controllers, c)
		addresses = append(addresses, map[string]any{"label": c.label, "zone": set.zones[0], "serve_on": c.serve, "status": c.peer})
	}
	cluster := map[string]any{"controllers": addresses, "state": stateAddr, "depot": depotAddr, "cloud": cloudAddr}
	s.addresses = r.writeJSON("cluster.json", cluster)
	workers := map[string]any{"report_s": set.reportS, "lease_s": set.leaseS, "cancel_s": set.cancelS}
	s.cloud = r.start("cloud", "target/chalkhubctl", "cloud", "--config", r.writeJSON("cloud.json", map[string]any{
		"listen": cloudAddr, "folder": r.dir, "cluster": cluster, "workers": workers,
		"rent": map[string]any{"rps": set.cloudRPS, "list_lag_s": set.listLagS, "types": []map[string]any{{
			"name": "cordillera", "cpus": 4, "memory_gb": 256, "cache_gb": 60, "fetch_gb_per_s": 0.6, "price": 2.41, "spot_price": 0.76,
			"boot_s": 1, "zones": set.zones, "most": 1}}}}))
	for _, c := range s.controllers {
		var siblings []map[string]any
		for _, other := range s.controllers {
			if other != c {
				siblings = append(siblings, map[string]any{"label": other.label, "area": set.zones[0], "address": other.peer})
			}
		}
		c.process = r.start(c.label, "target/chalkhub", "--config", r.writeJSON(c.label+".json", map[string]any{
			"label": c.label, "area": set.zones[0], "serve_on": c.serve, "peer_listen": c.peer, "siblings": siblings,
			"external": map[string]any{"cloud": cloudAddr, "state": stateAddr},
			"settings": map[string]any{"initial_size": set.controllers, "zones": set.zones, "teams": set.teams, "workers": workers,
				"objectives": []map[string]any{{"kind": "deadline", "class": "orderchecks", "share": 0.94, "times": 1.0}}, "state": limits,
				"cloud":     map[string]any{"rps": set.cloudRPS, "list_lag_s": set.listLagS},
				"resources": map[string]any{"cores": 0.18, "ram_mb": set.ramMB, "max_sockets": set.sockets}, "clock_error_ms": set.clockErrorMS}}))
	}
	ready := func() bool {
		for _, c := range s.controllers {
			if !c.ready() {
				return false
			}
		}
		return true
	}
	if !eventually(20*time.Second, ready) {
		giveUp("the controllers did not become ready")
	}
	return s
}

// stop ends every process of the site. The agents and their tasks end with the cloud.
func (s *ownSite) stop() {
	s.cloud.terminate(15 * time.Second)
	for _, c := range s.controllers {
		c.kill()
	}
	s.state.kill()
}

// ctl runs a command of chalkhubctl and returns what it prints.
func (s *ownSite) ctl(args ...string) (string, error) {
	cmd := exec.Command("target/chalkhubctl", append([]string{"--cluster", s.addresses}, args...)...)
	out, err := cmd.CombinedOutput()
	text := strings.TrimSpace(string(out))
	s.log("chalkhubctl %s: %s (%v)", strings.Join(args, " "), text, err)
	return text, err
}

// submit submits a job and returns its id.
func (s *ownSite) submit(args ...string) string {
	id, err := s.ctl(append([]string{"submit"}, args...)...)
	if err != nil {
		giveUp("submit: %s", id)
	}
	return id
}

// status returns the state of a job.
func (s *ownSite) status(id string) (state string, running int) {
	out, err := s.ctl("--output", "json", "status", id)
	var status struct {
		State   string `json:"state"`
		Running int    `json:"running"`
	}
	if err != nil || json.Unmarshal([]byte(out), &status) != nil {
		return "", 0
	}
	return status.State, status.Running
}

// savedIsDone runs a task that saves its progress when it is stopped, and then exits with code 0 as
// programs do that end in order on SIGTERM. With the trouble, urgent work stops it.
func savedIsDone(r *run) {
	s := newOwnSite(r)
	defer s.stop()
	work := r.path("work")
	if err := os.MkdirAll(work, 0o700); err != nil {
		giveUp("%v", err)
	}
	// Twelve steps of a second. Each is counted in the folder that outlives attempts, and in a list.
	script := `n=$(cat $CHALK_SAVES/n 2>/dev/null || echo 0)
echo "attempt $CHALK_ATTEMPT begins at step $n" >> ` + work + `/steps
trap 'echo "attempt $CHALK_ATTEMPT saves at step $n" >> ` + work + `/steps; echo $n > $CHALK_SAVES/n; exit 0' TERM
while [ $n -lt 12 ]; do sleep 1 & wait $!; n=$((n+1)); done
echo "attempt $CHALK_ATTEMPT completes step $n" >> ` + work + `/steps
touch ` + work + `/complete`
	long := s.submit("--team", "mesaordenes", "--class", "dailyreports", "--urgency", "low", "--cpus", "4", "--memory", "1",
		"--estimate", "12s", "--checkpoint", "2s", "--save", "3s", "--", "sh", "-c", script)
	if !eventually(30*time.Second, func() bool { _, running := s.status(long); time.Sleep(300 * time.Millisecond); return running == 1 }) {
		giveUp("the long job did not start")
	}
	time.Sleep(4 * time.Second)
	if r.trouble {
		urgent := s.submit("--team", "mesaordenes", "--class", "orderchecks", "--urgency", "normal", "--cpus", "4", "--memory", "1",
			"--estimate", "2s", "--deadline", "14s", "--", "sh", "-c", "sleep 2")
		if _, err := s.ctl("wait", "--timeout", "40s", urgent); err != nil {
			giveUp("the urgent job did not end")
		}
	}
	if _, err := s.ctl("wait", "--timeout", "40s", long); err != nil {
		r.log("the long job is not over in time, which is no broken rule here")
	}
	state, _ := s.status(long)
	steps, _ := os.ReadFile(work + "/steps")
	for _, line := range strings.Split(strings.TrimSpace(string(steps)), "\n") {
		r.log("task: %s", line)
	}
	_, err := os.Stat(work + "/complete")
	if state == "done" && err != nil {
		r.violate("not_done", "%s is called done, and its task has not run to completion", long)
	}
	if resp, err := http.Get("http://" + s.controllers[0].serve + "/v2/runs/" + long); err == nil {
		r.log("GET /v2/runs/%s at %s: %d", long, s.controllers[0].label, resp.StatusCode)
		_ = resp.Body.Close()
	}
}
