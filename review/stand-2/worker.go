package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

const tick = 20 * time.Millisecond

// lot is one attempt of a task on a machine.
type lot struct {
	protocol.TaskStatus
	job       *job
	fetchLeft time.Duration
	runLeft   time.Duration
	saveLeft  time.Duration
	onMachine bool
}

// worker is a stand-in of a machine's worker, by the protocol.
type worker struct {
	site      *site
	name      string
	number    int
	typ       *machineType
	zone      string
	spot      bool
	addr      string
	listener  net.Listener
	server    *http.Server
	bootTimer *time.Timer
	createdAt time.Time

	mu         sync.Mutex
	upAt       time.Time // zero: boots
	removedAt  time.Time // zero: exists
	shift      uint64
	tally      uint64
	baton      uint64
	lots       []*lot
	images     map[string]bool
	recall     *float64
	leaseStart time.Time
	reportSent time.Time
	changed    bool
	node       int
	batonAt    time.Time // when a higher token last caused a report

	hung       bool
	mute       bool          // reaches no controller
	deaf       bool          // gets no response and no direct command
	doDelay    time.Duration // direct commands are carried out so much later, without an answer
	failing    bool          // each task fails
	reportCopy func([]byte)  // gets a copy of each report
	clients    []*http.Client
}

func newWorker(s *site, name string, t *machineType, zone string, spot bool) *worker {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		giveUp("listen: %v", err)
	}
	number, _ := strconv.Atoi(strings.TrimPrefix(name, "n-"))
	return &worker{site: s, name: name, number: number, typ: t, zone: zone, spot: spot, addr: listener.Addr().String(), listener: listener, server: &http.Server{},
		createdAt: time.Now(), shift: 1, images: map[string]bool{}}
}

func (m *worker) isUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.upAt.IsZero() && m.removedAt.IsZero()
}

func (m *worker) existedAt(t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.createdAt.Before(t) && (m.removedAt.IsZero() || m.removedAt.After(t))
}

func (m *worker) statusAt(t time.Time) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.upAt.IsZero() || m.upAt.After(t) {
		return protocol.MachineBooting
	}
	return protocol.MachineRunning
}

// up begins the worker once its machine has booted.
func (m *worker) up() {
	m.mu.Lock()
	if !m.removedAt.IsZero() || !m.upAt.IsZero() {
		m.mu.Unlock()
		return
	}
	m.upAt, m.leaseStart = time.Now(), time.Now()
	m.node = rand.IntN(len(m.site.controllers))
	for range m.site.controllers {
		m.clients = append(m.clients, &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}})
	}
	m.mu.Unlock()
	m.site.log("machine %s is up", m.name)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", m.do)
	mux.HandleFunc("GET /inspect", m.inspect)
	m.server.Handler = mux
	go func() { _ = m.server.Serve(m.listener) }()
	go m.run()
	go m.reports()
}

// remove ends the machine and everything on it.
func (m *worker) remove() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.removedAt.IsZero() {
		return
	}
	m.removedAt = time.Now()
	m.bootTimer.Stop()
	m.drop()
	_ = m.listener.Close()
	_ = m.server.Close()
}

// drop ends all tasks. The caller holds the lock.
func (m *worker) drop() {
	for _, l := range m.lots {
		m.leave(l)
	}
	m.lots = nil
}

func (m *worker) leave(l *lot) {
	if l.onMachine {
		l.onMachine = false
		m.site.check.taskLeft(m, l)
	}
}

func (m *worker) lease() time.Duration {
	return time.Duration(m.site.settings.leaseS * float64(time.Second))
}

// run advances the tasks and checks the lease.
func (m *worker) run() {
	for {
		time.Sleep(tick)
		m.mu.Lock()
		if !m.removedAt.IsZero() {
			m.mu.Unlock()
			return
		}
		m.checkLease()
		if !m.hung {
			m.advance()
		}
		m.mu.Unlock()
	}
}

func (m *worker) checkLease() {
	if time.Since(m.leaseStart) <= m.lease() {
		return
	}
	m.site.log("machine %s: the lease of session %d has expired, %d tasks end", m.name, m.shift, len(m.lots))
	m.drop()
	m.shift++
	m.leaseStart, m.changed = time.Now(), true
}

func (m *worker) advance() {
	for _, l := range m.lots {
		switch l.State {
		case protocol.TaskFetching:
			if l.fetchLeft -= tick; l.fetchLeft <= 0 {
				m.begin(l)
			}
		case protocol.TaskRunning:
			if l.runLeft -= tick; l.runLeft <= 0 {
				m.site.check.taskDone(l)
				m.exit(l, protocol.ExitDone)
			}
		case protocol.TaskSaving:
			if l.saveLeft -= tick; l.saveLeft <= 0 {
				l.Saved = true
				m.exit(l, protocol.ExitStopped)
			}
		}
	}
}

func (m *worker) begin(l *lot) {
	m.images[l.job.image] = true
	l.State, l.onMachine, m.changed = protocol.TaskRunning, true, true
	m.site.check.taskBegan(m, l)
	switch {
	case m.site.check.isTaskDone(l.Task):
		m.exit(l, protocol.ExitDone)
	case m.failing || l.job.failing:
		m.exit(l, protocol.ExitFailed)
	}
}

func (m *worker) exit(l *lot, cause string) {
	m.leave(l)
	l.State, l.ExitReason, m.changed = protocol.TaskExited, cause, true
}

func (m *worker) report() *protocol.Heartbeat {
	m.tally++
	h := &protocol.Heartbeat{Machine: m.name, Addr: m.addr, Type: m.typ.name, Zone: m.zone, Spot: m.spot,
		Session: m.shift, Seq: m.tally, Token: m.baton, NoticeS: m.recall, Tasks: []protocol.TaskStatus{}}
	for _, l := range m.lots {
		h.Tasks = append(h.Tasks, l.TaskStatus)
	}
	return h
}

// reports sends reports, one at a time.
func (m *worker) reports() {
	next := time.Now()
	for {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		now := time.Now()
		due := !now.Before(next) || m.changed && now.Sub(m.reportSent) >= 500*time.Millisecond
		if !m.removedAt.IsZero() {
			m.mu.Unlock()
			return
		}
		if !due || m.hung {
			m.mu.Unlock()
			continue
		}
		m.changed, m.reportSent = false, now
		shift, node, mute, deaf, keep := m.shift, m.node, m.mute, m.deaf, m.reportCopy
		body := protocol.Encode(m.report())
		m.mu.Unlock()
		if keep != nil {
			keep(body)
		}
		status, answer := 0, protocol.HeartbeatReply{}
		if !mute {
			status, answer = m.send(node, body)
		}
		if deaf {
			time.Sleep(time.Until(now.Add(4 * time.Second)))
			status = 0
		}
		for m.isHung() {
			time.Sleep(tick)
		}
		next = m.handle(status, &answer, now, shift)
	}
}

func (m *worker) isHung() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hung && m.removedAt.IsZero()
}

func (m *worker) send(node int, body []byte) (status int, answer protocol.HeartbeatReply) {
	url := "http://" + m.site.controllers[node].fromWorkers.addr() + "/v1/report"
	resp, err := m.clients[node].Post(url, protocol.ContentType, bytes.NewReader(body))
	if err != nil {
		return 0, answer
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, answer
	}
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusMisdirectedRequest {
		if protocol.Decode(b, &answer) != nil {
			return 0, answer
		}
	}
	return resp.StatusCode, answer
}

// handle acts on the outcome of a report, and returns when the next one is due.
func (m *worker) handle(status int, answer *protocol.HeartbeatReply, sentAt time.Time, shift uint64) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.checkLease()
	switch status {
	case http.StatusOK:
		if m.shift == shift && now.Sub(sentAt) <= 4*time.Second && answer.Token > 0 && answer.Token >= m.baton {
			m.seeBaton(answer.Token)
			if sentAt.After(m.leaseStart) {
				m.leaseStart = sentAt
			}
			m.execute(answer.Commands)
		}
		return now.Add(time.Duration(m.site.settings.reportS * (0.75 + rand.Float64()/2) * float64(time.Second)))
	case http.StatusMisdirectedRequest:
		for i, c := range m.site.controllers {
			if c.label == answer.ReportTo && i != m.node {
				m.node = i
				return now.Add(time.Duration(rand.IntN(500)) * time.Millisecond)
			}
		}
	}
	m.node = (m.node + 1) % len(m.site.controllers)
	m.changed = false
	return now.Add(time.Second)
}

func (m *worker) seeBaton(baton uint64) {
	if baton <= m.baton {
		return
	}
	m.baton = baton
	if time.Since(m.batonAt) >= m.lease()/2 {
		m.batonAt, m.changed = time.Now(), true
	}
}

func (m *worker) find(task string, try uint64) *lot {
	for _, l := range m.lots {
		if l.Task == task && l.Attempt == try {
			return l
		}
	}
	return nil
}

func (m *worker) execute(orders []protocol.Command) {
	for _, order := range orders {
		l := m.find(order.Task, order.Attempt)
		switch order.Kind {
		case protocol.CommandStart:
			if l == nil {
				m.startLot(order)
			}
		case protocol.CommandStop:
			if l != nil && l.State != protocol.TaskExited {
				m.stopLot(l, order.GraceS)
			}
		case protocol.CommandForget:
			if l != nil && l.State == protocol.TaskExited {
				m.forget(l)
			}
		}
	}
}

func (m *worker) forget(gone *lot) {
	for i, l := range m.lots {
		if l == gone {
			m.lots = append(m.lots[:i:i], m.lots[i+1:]...)
			m.changed = true
			return
		}
	}
}

func (m *worker) startLot(order protocol.Command) {
	l := &lot{TaskStatus: protocol.TaskStatus{Task: order.Task, Attempt: order.Attempt, State: protocol.TaskFetching}}
	m.changed = true
	id, index, err := protocol.ParseTaskName(order.Task)
	l.job = m.site.check.job(id)
	cpus, memory := m.typ.cpus, m.typ.memoryGB
	busy := false
	for _, other := range m.lots {
		if other.State != protocol.TaskExited {
			cpus, memory = cpus-other.job.cpus, memory-other.job.memoryGB
			busy = busy || other.Task == l.Task
		}
	}
	m.lots = append(m.lots, l)
	switch {
	case err != nil || l.job == nil || index >= l.job.tasks:
		l.State, l.ExitReason = protocol.TaskExited, protocol.ExitUnknownTask
	case busy:
		l.State, l.ExitReason = protocol.TaskExited, protocol.ExitDuplicate
	case cpus+1e-9 < l.job.cpus || memory+1e-9 < l.job.memoryGB:
		l.State, l.ExitReason = protocol.TaskExited, protocol.ExitNoCapacity
	default:
		l.runLeft = l.job.runTime(index)
		if !m.images[l.job.image] {
			l.fetchLeft = time.Duration(l.job.imageGB / m.typ.fetch * float64(time.Second))
		}
	}
}

func (m *worker) stopLot(l *lot, graceS float64) {
	m.changed = true
	switch {
	case l.State == protocol.TaskRunning && l.job.bookmarkS > 0 && graceS >= l.job.stashS:
		l.State, l.saveLeft = protocol.TaskSaving, time.Duration(l.job.stashS*float64(time.Second))
	case l.State == protocol.TaskSaving && graceS > 0:
	default:
		m.exit(l, protocol.ExitStopped)
	}
}

// do carries out direct commands.
func (m *worker) do(w http.ResponseWriter, req *http.Request) {
	var commands protocol.DirectCommands
	if err := read(req, &commands); err != nil || commands.Token == 0 || commands.Session == 0 {
		reply(w, http.StatusBadRequest, map[string]any{"error": "Baton or Shift is missing"})
		return
	}
	m.mu.Lock()
	deaf, delay := m.deaf, m.doDelay
	m.mu.Unlock()
	if deaf {
		<-req.Context().Done()
		return
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	for m.isHung() {
		time.Sleep(tick)
	}
	status, report := m.carryOut(&commands)
	if delay > 0 {
		m.site.log("machine %s: direct commands %v carried out late with status %d", m.name, commands.Commands, status)
		panic(http.ErrAbortHandler)
	}
	reply(w, status, report)
}

func (m *worker) carryOut(commands *protocol.DirectCommands) (int, *protocol.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLease()
	status := http.StatusOK
	if commands.Token < m.baton || commands.Session != m.shift || !m.removedAt.IsZero() {
		status = http.StatusConflict
	}
	m.seeBaton(commands.Token)
	if status == http.StatusOK {
		m.execute(commands.Commands)
	}
	return status, m.report()
}

func (m *worker) inspect(w http.ResponseWriter, req *http.Request) {
	m.mu.Lock()
	deaf := m.deaf
	m.mu.Unlock()
	if deaf {
		<-req.Context().Done()
		return
	}
	for m.isHung() {
		time.Sleep(tick)
	}
	m.mu.Lock()
	report := m.report()
	m.mu.Unlock()
	reply(w, http.StatusOK, report)
}

// set changes the worker under its lock.
func (m *worker) set(change func(*worker)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}
