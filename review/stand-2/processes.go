package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// process is one of the project's programs.
type process struct {
	run  *run
	name string
	args []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	wanted bool // an exit was caused by the case
	ends   int  // exits that the case did not cause
}

func (r *run) start(name string, args ...string) *process {
	p := &process{run: r, name: name, args: args}
	p.launch()
	r.atEnd(func() { p.terminate(10 * time.Second) })
	return p
}

func (p *process) launch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(p.run.path(p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		giveUp("%v", err)
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		giveUp("start %s: %v", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.wanted = cmd, exited, false
	p.run.log("process %s starts", p.name)
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.wanted {
			p.ends++
			p.run.log("process %s ended by itself: %v", p.name, err)
		}
		p.mu.Unlock()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.run.log("signal %v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

func (p *process) kill() {
	p.mu.Lock()
	p.wanted = true
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	p.run.log("kill %s", p.name)
	_ = cmd.Process.Kill()
	<-exited
}

// terminate asks the process to end, and kills it if it takes too long.
func (p *process) terminate(timeout time.Duration) {
	p.mu.Lock()
	p.wanted = true
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	p.run.log("terminate %s", p.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(timeout):
		_ = cmd.Process.Kill()
		<-exited
	}
}

// endedByItself reports how often the process has ended without a signal of the case.
func (p *process) endedByItself() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends
}

// Addresses of the project's programs have ports below the range from which the kernel takes those of
// connections and of the stand-ins, so that no other socket gets them before the program starts.
const (
	firstPort = 10_000
	portCount = 20_000
)

var usedPorts = map[int]bool{}

// freeAddr returns a loopback address that nothing listens on.
func freeAddr() string {
	for range 1000 {
		port := firstPort + rand.IntN(portCount)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp4", addr)
		if err != nil || usedPorts[port] {
			continue
		}
		_ = listener.Close()
		usedPorts[port] = true
		return addr
	}
	giveUp("no free port")
	return ""
}

func (r *run) writeJSON(name string, value any) string {
	b, err := json.MarshalIndent(value, "", "  ")
	if err == nil {
		err = os.WriteFile(r.path(name), b, 0o600)
	}
	if err != nil {
		giveUp("%v", err)
	}
	return r.path(name)
}

// controller is one controller with the links to it and from it.
type controller struct {
	*process
	label       string
	serve       string // address for users and workers
	peer        string
	toState     *proxy
	toCloud     *proxy
	fromWorkers *proxy
	fromUsers   *proxy
	toPeers     map[string]*proxy // by label
}

// site is a small deployment: controllers, the state service, the cloud and its machines.
type site struct {
	*run
	settings    siteSettings
	state       *process
	stateAddr   string
	depotAddr   string
	cloud       *cloud
	controllers []*controller
	check       *checker
}

// siteSettings is a deployment in the form of the deploy page.
type siteSettings struct {
	zones          []string
	teams          []team
	reportS        float64
	leaseS         float64
	cancelS        float64
	rps, writeRPS  float64
	valueKB        float64
	txnOps         int
	cloudRPS       float64
	listLagS       float64
	ramMB          float64
	sockets        int
	clockErrorMS   float64
	types          []machineType
	next           map[string]any
	restartDelay   time.Duration
	controllers    int
	initialMachine []placedMachine
}

type team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

type placedMachine struct {
	typeName, zone string
	spot           bool
}

// valparaiso is the small deployment ordenes-valparaiso.
func valparaiso() siteSettings {
	return siteSettings{
		zones: []string{"valparaiso", "santiago"}, teams: []team{{Name: "mesaordenes"}},
		reportS: 1.5, leaseS: 12, cancelS: 42, rps: 250, writeRPS: 25, valueKB: 32, txnOps: 20, cloudRPS: 5, listLagS: 3,
		ramMB: 125, sockets: 1000, clockErrorMS: 5, restartDelay: 3 * time.Second, controllers: 3,
		types: []machineType{
			{name: "cordillera", cpus: 32, memoryGB: 256, price: 2.41, spotPrice: 0.76, cacheGB: 60, fetch: 0.6, bootS: 35},
			{name: "pacifico", cpus: 64, memoryGB: 256, price: 4.23, spotPrice: 1.33, cacheGB: 40, fetch: 0.25, bootS: 35},
		},
		initialMachine: []placedMachine{
			{"cordillera", "valparaiso", false}, {"cordillera", "santiago", false},
			{"pacifico", "valparaiso", false}, {"pacifico", "santiago", false},
		},
	}
}

// siteObjectives are aims of the site for its classes, in the form of the deploy page.
func siteObjectives() []map[string]any {
	return []map[string]any{
		{"kind": "deadline", "class": "orderchecks", "share": 0.94, "times": 1.0},
		{"kind": "wait", "class": "confirmations", "within_s": 35.0, "share": 0.975},
		{"kind": "finished", "class": "confirmations", "within_s": 50.0, "share": 0.96},
		{"kind": "finished", "class": "dailyreports", "within_s": 250.0, "share": 0.97},
		{"kind": "finished", "class": "dailyreports", "within_s": 400.0, "share": 0.97},
	}
}

// newSite starts a deployment and waits until its controllers are ready.
func newSite(r *run, settings siteSettings) *site {
	s := &site{run: r, settings: settings}
	s.check = newChecker(s)
	s.stateAddr, s.depotAddr = freeAddr(), freeAddr()
	config := r.writeJSON("state.json", map[string]any{
		"listen": s.stateAddr, "depot_listen": s.depotAddr, "file": r.path("state.db"), "depot_folder": r.path("depot"),
		"limits": map[string]any{"rps": settings.rps, "write_rps": settings.writeRPS, "value_kb": settings.valueKB, "txn_ops": settings.txnOps},
		"batch":  256,
	})
	s.state = r.start("state", "target/chalkhubctl", "state", "run", "--config", config)
	s.cloud = newCloud(s)
	for i := range settings.controllers {
		c := &controller{label: fmt.Sprintf("rig-%d", i), serve: freeAddr(), peer: freeAddr(), toPeers: map[string]*proxy{}}
		c.toState, c.toCloud = newProxy(s.stateAddr), newProxy(s.cloud.addr)
		c.fromWorkers, c.fromUsers = newProxy(c.serve), newProxy(c.serve)
		s.controllers = append(s.controllers, c)
	}
	for i, c := range s.controllers {
		c.process = r.start(c.label, "target/chalkhub", "--config", s.writeSettings(i, c))
	}
	for _, m := range settings.initialMachine {
		s.cloud.addRunning(m)
	}
	if !eventually(20*time.Second, func() bool { return s.readyCount() == len(s.controllers) }) {
		giveUp("the controllers did not become ready")
	}
	return s
}

func (s *site) writeSettings(i int, c *controller) string {
	set := &s.settings
	var siblings []map[string]any
	for _, other := range s.controllers {
		if other != c {
			c.toPeers[other.label] = newProxy(other.peer)
			siblings = append(siblings, map[string]any{"label": other.label, "area": set.zones[0], "address": c.toPeers[other.label].addr()})
		}
	}
	state := map[string]any{"rps": set.rps, "write_rps": set.writeRPS, "value_kb": set.valueKB, "txn_ops": set.txnOps}
	if set.next != nil {
		state["next"] = set.next
	}
	return s.writeJSON(fmt.Sprintf("rig-%d.json", i), map[string]any{
		"label": c.label, "area": set.zones[0], "serve_on": c.serve, "peer_listen": c.peer, "siblings": siblings,
		"external": map[string]any{"cloud": c.toCloud.addr(), "state": c.toState.addr()},
		"settings": map[string]any{
			"initial_size": set.controllers, "zones": set.zones, "teams": set.teams, "objectives": siteObjectives(),
			"workers":        map[string]any{"report_s": set.reportS, "lease_s": set.leaseS, "gang_wait_s": 50.0, "gang_peer_s": 4.0, "cancel_s": set.cancelS},
			"state":          state,
			"cloud":          map[string]any{"rps": set.cloudRPS, "list_lag_s": set.listLagS},
			"resources":      map[string]any{"cores": 0.18, "ram_mb": set.ramMB, "max_sockets": set.sockets},
			"clock_error_ms": set.clockErrorMS,
		},
	})
}

var probeClient = &http.Client{Timeout: time.Second}

func (c *controller) ready() bool {
	resp, err := probeClient.Get("http://" + c.serve + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *site) readyCount() (n int) {
	for _, c := range s.controllers {
		if c.ready() {
			n++
		}
	}
	return n
}

// crash kills a controller and starts it again after the deployment's delay.
func (s *site) crash(c *controller) {
	c.kill()
	time.AfterFunc(s.settings.restartDelay, c.launch)
}

// stop ends every process of the site.
func (s *site) stop() {
	s.check.stop()
	s.cloud.stop()
	for _, c := range s.controllers {
		c.kill()
	}
	s.state.kill()
}
