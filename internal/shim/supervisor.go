package shim

import (
	"os/exec"
	"time"

	"golang.org/x/sys/unix"
)

// expiredTimerDelay keeps the timer of an expired lease from firing again and again; killing takes
// far less.
const expiredTimerDelay = time.Hour

// supervisor ends a command when it is told to, when the agent is gone and when the lease
// is over.
type supervisor struct {
	cmd          *exec.Cmd
	leaseUntil   time.Duration
	killed       bool
	leaseExpired bool
}

// run supervises the command until nothing of it is left and returns the last status.
func (s *supervisor) run(orders <-chan Order) Status {
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = s.cmd.Wait() // the process state says how it ended
	}()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case order, ok := <-orders:
			if !ok { // the agent is gone
				orders = nil
				s.kill()
				continue
			}
			s.handleOrder(order)
		case <-ticker.C:
			s.checkLease()
		case <-time.After(max(s.leaseUntil-Clock(), 0)):
			s.expireLease()
		case <-exited:
			reapDescendants()
			return Status{Exited: true, ExitCode: s.cmd.ProcessState.ExitCode(), LeaseExpired: s.leaseExpired}
		}
	}
}

func (s *supervisor) handleOrder(order Order) {
	switch {
	case order.Kill:
		s.kill()
	case order.Terminate:
		_ = unix.Kill(-s.cmd.Process.Pid, unix.SIGTERM) // it may have exited by itself
	case order.LeaseUntil != 0:
		s.leaseUntil = time.Duration(order.LeaseUntil)
	}
}

// checkLease looks at the clock, and repeats the killing until the command has exited: its
// descendants may have forked meanwhile.
func (s *supervisor) checkLease() {
	if Clock() > s.leaseUntil {
		s.leaseExpired = true
		s.kill()
	} else if s.killed {
		s.kill()
	}
}

// expireLease kills the command at the end of the lease.
func (s *supervisor) expireLease() {
	s.leaseExpired = true
	s.kill()
	s.leaseUntil += expiredTimerDelay // check repeats the killing
}

// kill kills the command's group, and the descendants that left it.
func (s *supervisor) kill() {
	s.killed = true
	_ = unix.Kill(-s.cmd.Process.Pid, unix.SIGKILL) // it may have exited by itself
	killAll(descendants())
}

func killAll(pids []int) {
	for _, pid := range pids {
		_ = unix.Kill(pid, unix.SIGKILL) // it may have exited by itself
	}
}
