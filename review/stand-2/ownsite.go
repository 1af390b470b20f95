package main

import (
	"os"
	"os/exec"
	"strings"
	"time"
)

// ownSite is a deployment whose cloud and agents are the project's own programs too.
type ownSite struct {
	*run
	state, cloud *process
	controllers  []*controller
	addresses    string // the file with them, for chalkhubctl
}

// newOwnSite starts a deployment of two zones, with at most one machine of a type in each.
func newOwnSite(r *run, cpus float64) *ownSite {
	set := valparaiso()
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
			"name": "pacifico", "cpus": cpus, "memory_gb": 256, "cache_gb": 60, "fetch_gb_per_s": 0.6, "price": 2.41, "spot_price": 0.76,
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
