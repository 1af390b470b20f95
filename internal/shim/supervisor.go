package shim

import (
	"os/exec"
	"time"

	"golang.org/x/sys/unix"
)

// expiredTimerDelay is by how much the lease timer is postponed after the lease has expired, so that
// it doesn't fire again and again while the command is being killed, which takes far less time.
const expiredTimerDelay = time.Hour

// supervisor kills a command when the agent orders it, when the agent has exited and when the lease
// expires. Only the goroutine of run uses it.
type supervisor struct {
	cmd          *exec.Cmd
	leaseUntil   time.Duration
	killed       bool
	leaseExpired bool
}

// run supervises the command until it and all its descendants have exited, and returns the last
// status.
func (s *supervisor) run(orders <-chan Order) Status {
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = s.cmd.Wait() // cmd.ProcessState has the exit code
	}()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case order, ok := <-orders:
			if !ok { // the agent has closed its end of the pipe or exited
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
		_ = unix.Kill(-s.cmd.Process.Pid, unix.SIGTERM) // fails if the group has already exited
	case order.LeaseUntil != 0:
		s.leaseUntil = time.Duration(order.LeaseUntil)
	}
}

// checkLease kills the command if the lease has expired. Once the command has been killed for any
// reason, checkLease repeats the kill until it has exited, since its descendants may have forked
// while they were being listed.
func (s *supervisor) checkLease() {
	if Clock() > s.leaseUntil {
		s.leaseExpired = true
		s.kill()
	} else if s.killed {
		s.kill()
	}
}

// expireLease kills the command because the lease has expired, and postpones the lease timer.
func (s *supervisor) expireLease() {
	s.leaseExpired = true
	s.kill()
	s.leaseUntil += expiredTimerDelay // checkLease repeats the kill
}

// kill sends SIGKILL to the command's process group and to the descendants that have left the group.
func (s *supervisor) kill() {
	s.killed = true
	_ = unix.Kill(-s.cmd.Process.Pid, unix.SIGKILL) // fails if the group has already exited
	killAll(descendants())
}

func killAll(pids []int) {
	for _, pid := range pids {
		_ = unix.Kill(pid, unix.SIGKILL) // fails if the process has already exited
	}
}
