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

// lockPollInterval is how often a held lock is tried. The kernel's blocking lock can't be
// given up when the context ends.
const lockPollInterval = 50 * time.Millisecond

// acquireLock waits until nothing is left of an agent that ran on this machine before: its
// shims hold the lock that they inherited until all of their tasks are gone.
//
// Guards against a task that an earlier agent started and that is still dying when this
// one reports that the machine has no tasks.
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

// loadState reads what an earlier agent of this machine kept. Without a file there was
// none.
func (d *Daemon) loadState() error {
	b, err := os.ReadFile(d.statePath())
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = json.Unmarshal(b, &d.durable)
	}
	if err != nil {
		return fmt.Errorf("%s tells the machine's last session: %w", d.statePath(), err)
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
		return fmt.Errorf("the machine's session must be kept before it is told: %w", err)
	}
	d.durable = state
	return nil
}
