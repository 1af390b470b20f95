package agent

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

func (a *Agent) handleCommands(now time.Duration, e CommandsReceived) {
	// The lease may have expired since the last call of Tick. Without this check a command
	// of the old session would still be executed.
	a.advance(now)
	request := e.Request
	stale := a.leaseExpired || request.Token < a.token || request.Session != a.session
	a.raiseToken(now, request.Token)
	status := statusConflict
	if !stale {
		a.executeCommands(now, request.Commands)
		status = statusOK
	}
	a.emit(StatusReply{ID: e.ID, Status: status, Heartbeat: a.heartbeat(now)})
}

func (a *Agent) executeCommands(now time.Duration, commands []protocol.Command) {
	for _, c := range commands {
		key := AttemptKey{c.Task, c.Attempt}
		switch c.Kind {
		case protocol.CommandStart:
			a.startAttempt(now, key)
		case protocol.CommandStop:
			a.stopAttempt(now, key, c.GraceS)
		case protocol.CommandForget:
			a.forgetAttempt(now, key)
		}
	}
}

// startAttempt adds an attempt. An attempt that can't run is added as exited, so that the
// next heartbeat reports the reason to the controller.
func (a *Agent) startAttempt(now time.Duration, key AttemptKey) {
	if a.findAttempt(key) != nil {
		return // the command was sent twice
	}
	t := &attempt{AttemptKey: key, state: protocol.TaskFetching}
	switch {
	case a.runsTask(key.Task):
		t.exit(protocol.ExitDuplicate)
	case !validAttempt(key):
		t.exit(protocol.ExitUnknownTask)
	default:
		a.emit(DescribeJob{key})
	}
	a.attempts = append(a.attempts, t)
	a.heartbeatAfterChange(now)
}

func validAttempt(key AttemptKey) bool {
	_, _, err := protocol.ParseTaskName(key.Task)
	return err == nil && key.Attempt > 0
}

func (a *Agent) stopAttempt(now time.Duration, key AttemptKey, graceS float64) {
	t := a.findAttempt(key)
	if t == nil || t.state == protocol.TaskExited {
		return
	}
	a.heartbeatAfterChange(now)
	if t.canSave(graceS) {
		t.stopRequested = true
		t.state = protocol.TaskSaving
		t.graceEndsAt = now + max(config.Seconds(graceS), time.Millisecond) // graceEndsAt 0 would mean never
		a.emit(TerminateAttempt{t.AttemptKey})
		return
	}
	if t.state == protocol.TaskSaving && graceS > 0 {
		return // the command was sent twice; the grace period of the first one remains
	}
	t.stopRequested, t.graceEndsAt = true, 0
	a.killAttempt(t)
}

// forgetAttempt drops an exited attempt, whose exit the controller has recorded.
func (a *Agent) forgetAttempt(now time.Duration, key AttemptKey) {
	for i, t := range a.attempts {
		if t.AttemptKey == key && t.state == protocol.TaskExited {
			a.attempts = append(a.attempts[:i], a.attempts[i+1:]...)
			a.heartbeatAfterChange(now)
			return
		}
	}
}
