package stand

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

const (
	tick            = 20 * time.Millisecond
	minReportGap    = 500 * time.Millisecond
	responseTimeout = 4 * time.Second
	nextNodeDelay   = time.Second
)

// Worker is a stand-in for a worker, by the protocol's sections "Workers -> controller nodes" and
// "Controller nodes -> workers". It runs no commands: a task fetches its image for FetchS and then
// runs for as long as RunS says.
type Worker struct {
	Machine protocol.Instance
	FetchS  float64
	RunS    func(job string) (seconds float64, known bool)
	// Started is called when a task has its image and starts.
	Started func(w *Worker, task string, attempt uint64)

	site     *Site
	listener net.Listener
	server   *fasthttp.Server
	client   *rpc.Client
	stopped  chan struct{}
	vanish   sync.Once

	mu         sync.Mutex
	session    uint64
	tally      uint64
	token      uint64
	leaseStart time.Time
	tasks      []*workerTask
	node       int
	changed    bool
	nextReport time.Time
	lastReport time.Time
	tokenAt    time.Time
	inFlight   bool
}

type workerTask struct {
	protocol.TaskStatus
	imageAt, endsAt time.Time
}

// StartWorker starts a worker on the machine's address.
func (s *Site) StartWorker(w *Worker) error {
	l, err := net.Listen("tcp4", w.Machine.Addr)
	if err != nil {
		return err
	}
	now := time.Now()
	w.site, w.listener, w.client = s, l, rpc.New(2, 2*time.Second)
	w.stopped = make(chan struct{})
	w.session, w.leaseStart, w.nextReport = 1, now, now
	w.node = rand.IntN(len(s.Controllers))
	w.server = &fasthttp.Server{Handler: w.handle, CloseOnShutdown: true}
	go func() { _ = w.server.Serve(l) }() // ends when Vanish closes the listener
	go w.loop()
	s.Run.Log("worker %s is up at %s (%s, zone %s, spot %v)", w.Machine.Name, w.Machine.Addr, w.Machine.Type, w.Machine.Zone, w.Machine.Spot)
	return nil
}

// Vanish ends the worker as if its machine was taken back: from then on it sends nothing, answers
// nothing, and its connections are gone.
func (w *Worker) Vanish() {
	w.vanish.Do(func() {
		close(w.stopped)
		_ = w.listener.Close()
		_ = w.server.Shutdown()
		w.site.Run.Log("worker %s is gone", w.Machine.Name)
	})
}

func (w *Worker) loop() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-ticker.C:
			w.advance()
		}
	}
}

func (w *Worker) lease() time.Duration {
	return time.Duration(w.site.Settings.Workers.LeaseS * float64(time.Second))
}

// advance moves the tasks on, expires the lease and sends a report when one is due.
func (w *Worker) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.leaseStart) > w.lease() {
		w.tasks, w.session, w.leaseStart = nil, w.session+1, now
		w.site.Run.Log("worker %s: lease expired, session %d begins", w.Machine.Name, w.session)
		w.change(now)
	}
	for _, t := range w.tasks {
		if t.State == protocol.TaskFetching && !now.Before(t.imageAt) {
			t.State = protocol.TaskRunning
			w.change(now)
			w.Started(w, t.Task, t.Attempt)
		}
		if t.State == protocol.TaskRunning && !now.Before(t.endsAt) {
			t.State, t.ExitReason = protocol.TaskExited, protocol.ExitDone
			w.change(now)
		}
	}
	if !w.inFlight && !now.Before(w.nextReport) {
		w.inFlight, w.changed, w.lastReport = true, false, now
		go w.report(w.node, w.message(), now)
	}
}

// change brings the next report forward. The caller holds the lock.
func (w *Worker) change(now time.Time) {
	w.changed = true
	earliest := w.lastReport.Add(minReportGap)
	if earliest.Before(now) {
		earliest = now
	}
	if earliest.Before(w.nextReport) {
		w.nextReport = earliest
	}
}

// message returns the worker's report. The caller holds the lock.
func (w *Worker) message() protocol.Heartbeat {
	w.tally++
	h := protocol.Heartbeat{
		Machine: w.Machine.Name, Addr: w.Machine.Addr, Type: w.Machine.Type, Zone: w.Machine.Zone, Spot: w.Machine.Spot,
		Session: w.session, Seq: w.tally, Token: w.token, Tasks: []protocol.TaskStatus{},
	}
	for _, t := range w.tasks {
		h.Tasks = append(h.Tasks, t.TaskStatus)
	}
	return h
}

func (w *Worker) report(node int, h protocol.Heartbeat, sentAt time.Time) {
	var reply protocol.HeartbeatReply
	address := w.site.Controllers[node].Listen
	status := w.client.Call(fasthttp.MethodPost, address, "/v1/report", h, &reply, responseTimeout, 200, 421)
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stopped:
		return
	default:
	}
	now := time.Now()
	w.inFlight = false
	pause := time.Duration((0.75 + 0.5*rand.Float64()) * w.site.Settings.Workers.HeartbeatS * float64(time.Second))
	switch {
	case status == 200:
		if h.Session == w.session && now.Sub(sentAt) <= responseTimeout && reply.Token > 0 && reply.Token >= w.token {
			w.raise(reply.Token, now)
			w.leaseStart = sentAt
			w.execute(reply.Commands, now)
		}
		w.nextReport = now.Add(pause)
		if w.changed {
			w.change(now)
		}
	case status == 421 && w.nodeOf(reply.ReportTo) >= 0 && w.nodeOf(reply.ReportTo) != node:
		w.node, w.nextReport = w.nodeOf(reply.ReportTo), now.Add(time.Duration(rand.Int64N(int64(minReportGap))))
	default:
		w.node, w.nextReport = (node+1)%len(w.site.Controllers), now.Add(nextNodeDelay)
	}
}

func (w *Worker) nodeOf(label string) int {
	for i := range w.site.Controllers {
		if w.site.Controllers[i].Label == label {
			return i
		}
	}
	return -1
}

// raise records a higher token. The caller holds the lock.
func (w *Worker) raise(token uint64, now time.Time) {
	if token <= w.token {
		return
	}
	w.token = token
	if now.Sub(w.tokenAt) >= w.lease()/2 {
		w.tokenAt = now
		w.change(now)
	}
}

// execute executes commands in order. The caller holds the lock.
func (w *Worker) execute(commands []protocol.Command, now time.Time) {
	for _, c := range commands {
		at := -1
		for i, t := range w.tasks {
			if t.Task == c.Task && t.Attempt == c.Attempt {
				at = i
			}
		}
		switch {
		case c.Kind == protocol.CommandStart && at < 0:
			w.start(c, now)
		case c.Kind == protocol.CommandStop && at >= 0 && w.tasks[at].State != protocol.TaskExited:
			w.tasks[at].State, w.tasks[at].ExitReason = protocol.TaskExited, protocol.ExitStopped
		case c.Kind == protocol.CommandForget && at >= 0 && w.tasks[at].State == protocol.TaskExited:
			w.tasks = append(w.tasks[:at], w.tasks[at+1:]...)
		default:
			continue
		}
		w.change(now)
	}
}

func (w *Worker) start(c protocol.Command, now time.Time) {
	t := &workerTask{TaskStatus: protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: protocol.TaskFetching}}
	w.tasks = append(w.tasks, t)
	job, _, err := protocol.ParseTaskName(c.Task)
	seconds, known := 0.0, false
	if err == nil {
		seconds, known = w.RunS(job)
	}
	if !known {
		t.State, t.ExitReason = protocol.TaskExited, protocol.ExitUnknownTask
		return
	}
	for _, other := range w.tasks {
		if other != t && other.Task == t.Task && other.State != protocol.TaskExited {
			t.State, t.ExitReason = protocol.TaskExited, protocol.ExitDuplicate
			return
		}
	}
	t.imageAt = now.Add(time.Duration(w.FetchS * float64(time.Second)))
	t.endsAt = t.imageAt.Add(time.Duration(seconds * float64(time.Second)))
}

func (w *Worker) handle(ctx *fasthttp.RequestCtx) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET /inspect":
		Reply(ctx, 200, w.message())
	case "POST /do":
		var request protocol.DirectCommands
		if err := protocol.Decode(ctx.PostBody(), &request); err != nil || request.Token == 0 || request.Session == 0 {
			Reply(ctx, 400, protocol.ErrorResponse{Error: "Baton or Shift is missing"})
			return
		}
		status := 409
		if request.Token >= w.token && request.Session == w.session {
			status = 200
			w.raise(request.Token, now)
			w.execute(request.Commands, now)
			for _, c := range request.Commands {
				w.site.Run.Log("worker %s: /do: %s %s, attempt %d", w.Machine.Name, c.Kind, c.Task, c.Attempt)
			}
		}
		if len(request.Commands) == 0 || status != 200 {
			w.site.Run.Log("worker %s: /do: %d commands, token %d (highest seen %d), session %d (is %d): %d",
				w.Machine.Name, len(request.Commands), request.Token, w.token, request.Session, w.session, status)
		}
		w.raise(request.Token, now)
		Reply(ctx, status, w.message())
	default:
		Reply(ctx, 404, protocol.ErrorResponse{Error: "no such page"})
	}
}
