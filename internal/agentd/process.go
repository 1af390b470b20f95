package agentd

import (
	"context"
	"time"

	"github.com/chalkhub/chalkhub/internal/agent"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/shim"
)

const (
	// orderQueue is how many orders may wait for a shim. One that is this far behind is
	// stuck or stopped.
	orderQueue = 16

	// exitKilled stands for the exit code of a command that a signal ended.
	exitKilled = -1

	// exitSaved is the exit code that docs/agent.md recommends to a command that has saved
	// a checkpoint.
	exitSaved = 75
)

// process is an attempt that was launched. Its fields do not change after that.
type process struct {
	key    agent.AttemptKey
	job    string
	index  int // of the task in its job
	orders chan shim.Order
	exited chan struct{} // closed once nothing of it is left
	cancel context.CancelFunc
}

// launch starts an attempt's shim, or a timer for a simulated task.
func (d *Daemon) launch(e agent.LaunchAttempt) {
	job, index, _ := protocol.ParseTaskName(e.Task) // the agent has checked it
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

// runAttempt runs an attempt until nothing of it is left. Exit code 0 is only returned once
// the result is durable.
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

// simulate waits as long as a simulated task runs and returns its exit code.
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
				return exitSaved // it has saved nothing, but exits as one that has
			}
		}
	}
}

// storeResult stores the result of a task that is done. Until that is durable, the task
// counts as running; if it is killed first, its result is lost.
func (d *Daemon) storeResult(ctx context.Context, p *process) error {
	return retry(ctx, func() error { return d.artifacts.StoreResult(p.job, p.index) })
}

// sendOrder gives a shim an order, without waiting for it.
func (d *Daemon) sendOrder(key agent.AttemptKey, order shim.Order) {
	p := d.processes[key]
	if p == nil {
		return
	}
	select {
	case p.orders <- order:
	case <-p.exited:
	default:
		// A shim that does not read is stuck or stopped; its lease is not renewed, and
		// whether it resumes or not, nothing of it is left after that.
		if order.Terminate {
			p.cancel()
		}
	}
}

// killProcesses kills all attempts and waits until nothing of them is left.
func (d *Daemon) killProcesses() {
	for _, p := range d.processes {
		p.cancel()
	}
	for _, p := range d.processes {
		<-p.exited
	}
}
