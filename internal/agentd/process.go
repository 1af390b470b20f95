package agentd

import (
	"context"
	"time"

	"github.com/chalkhub/chalkhub/internal/agent"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/shim"
)

const (
	// orderQueue is the number of orders that may wait for a shim. If the queue is full, the
	// shim is stuck or stopped.
	orderQueue = 16

	// exitKilled is the exit code of an attempt whose command was ended by a signal or not
	// started, or whose result was not stored before it was killed.
	exitKilled = -1

	// exitSaved is the exit code that docs/agent.md recommends to a command that has saved
	// a checkpoint.
	exitSaved = 75
)

// process is a launched attempt. Its fields don't change after the launch.
type process struct {
	key    agent.AttemptKey
	job    string
	index  int // index of the task in its job
	orders chan shim.Order
	exited chan struct{} // closed once none of its processes is left
	cancel context.CancelFunc
}

// launch starts a goroutine that runs the attempt's command in a shim or, for a simulated task,
// waits for the simulated duration.
func (d *Daemon) launch(e agent.LaunchAttempt) {
	job, index, _ := protocol.ParseTaskName(e.Task) // the agent has validated the name
	ctx, cancel := context.WithCancel(d.ctx)
	p := &process{
		key:    e.AttemptKey,
		job:    job,
		index:  index,
		orders: make(chan shim.Order, orderQueue),
		exited: make(chan struct{}),
		cancel: cancel,
	}
	d.processes[e.AttemptKey] = p
	leaseUntil := d.leaseUntil
	go func() {
		defer cancel()
		exited := d.runAttempt(ctx, p, &e.Description, leaseUntil)
		d.logExit(exited)
		close(p.exited)
		d.post(exited)
	}()
}

// runAttempt runs an attempt until none of its processes is left. It returns exit code 0 only
// once the result is durable.
func (d *Daemon) runAttempt(ctx context.Context, p *process, description *protocol.JobDescription, leaseUntil time.Duration) agent.AttemptExited {
	exited := agent.AttemptExited{AttemptKey: p.key, ExitCode: exitKilled}
	if len(description.Command) == 0 {
		exited.ExitCode = simulate(ctx, p, description.SimulatedS)
	} else {
		code, err := d.runCommand(ctx, p, description, leaseUntil)
		exited.ExitCode = code
		if err != nil {
			exited.Error = err.Error()
		}
	}
	if exited.ExitCode == 0 && exited.Error == "" && d.storeResult(ctx, p) != nil {
		exited.ExitCode = exitKilled
	}
	return exited
}

func (d *Daemon) logExit(e agent.AttemptExited) {
	if e.Error != "" {
		d.settings.Logger.Error("task could not run", "task", e.Task, "attempt", e.Attempt, "error", e.Error)
		return
	}
	d.settings.Logger.Info("task exited", "task", e.Task, "attempt", e.Attempt, "code", e.ExitCode)
}

// simulate waits as long as a simulated task runs, or until it is killed or asked to save, and
// returns its exit code.
func simulate(ctx context.Context, p *process, seconds float64) int {
	timer := time.NewTimer(time.Duration(seconds * float64(time.Second)))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return 0
		case <-ctx.Done():
			return exitKilled
		case order := <-p.orders:
			if order.Terminate {
				return exitSaved // there is nothing to save, but the exit is that of a task that has saved
			}
		}
	}
}

// storeResult stores the result of a task that is done, and retries until that succeeds. Until
// the result is durable, the attempt is reported as running. If it is killed before, the result
// is lost.
func (d *Daemon) storeResult(ctx context.Context, p *process) error {
	return retry(ctx, func() error { return d.artifacts.StoreResult(p.job, p.index) })
}

// sendOrder queues an order for a shim without blocking.
func (d *Daemon) sendOrder(key agent.AttemptKey, order shim.Order) {
	p := d.processes[key]
	if p == nil {
		return
	}
	select {
	case p.orders <- order:
	case <-p.exited:
	default:
		// The queue is full since the shim is stuck or stopped and reads no orders. A dropped
		// extension of the lease is harmless: the shim kills its command when the lease that it
		// knows expires. A dropped request to save would never be carried out, so the attempt is
		// killed instead.
		if order.Terminate {
			p.cancel()
		}
	}
}

// killProcesses kills all attempts and waits until no process of them is left.
func (d *Daemon) killProcesses() {
	for _, p := range d.processes {
		p.cancel()
	}
	for _, p := range d.processes {
		<-p.exited
	}
}
