package agentd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-json"
	"golang.org/x/sys/unix"

	"github.com/chalkhub/chalkhub/internal/artifacts"
)

// lockPollInterval is the interval between attempts to acquire a lock that is held. The
// blocking system call is not used since a context can't cancel it.
const lockPollInterval = 50 * time.Millisecond

// acquireLock waits until no process is left of an agent that ran on this machine before: its
// shims inherited the lock and hold it until all processes of their tasks have exited.
//
// Without this wait, a task that the earlier agent started could still be running while this
// agent reports that the machine has no tasks.
func (d *Daemon) acquireLock(ctx context.Context) error {
	for logged := false; ; logged = true {
		err := unix.Flock(int(d.lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			return nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) {
			return fmt.Errorf("lock %s: %w", d.lock.Name(), err)
		}
		if !logged {
			d.settings.Logger.Info("waiting for an earlier agent and its tasks to exit")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(lockPollInterval):
		}
	}
}

func (d *Daemon) statePath() string { return filepath.Join(d.settings.Dir, "memory.json") }

// loadState reads the durable state of an earlier agent of this machine. If the file doesn't
// exist, there was none and the state stays zero.
func (d *Daemon) loadState() error {
	b, err := os.ReadFile(d.statePath())
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = json.Unmarshal(b, &d.durable)
	}
	if err != nil {
		return fmt.Errorf("read the machine's last session and token from %s: %w", d.statePath(), err)
	}
	return nil
}

// persistState makes the agent's session and token durable if they have changed.
func (d *Daemon) persistState() error {
	state := d.agent.DurableState()
	if state == d.durable {
		return nil
	}
	b, err := json.Marshal(&state)
	if err == nil {
		err = artifacts.WriteFile(d.statePath(), b, 0)
	}
	if err != nil {
		return fmt.Errorf("make the machine's session and token durable before using them: %w", err)
	}
	d.durable = state
	return nil
}
