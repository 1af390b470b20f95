package mirror

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// ChangesOutcome is the result of RequestChanges.
type ChangesOutcome int

// Outcomes of RequestChanges.
const (
	Failed    ChangesOutcome = iota // there was no response, or the request was refused
	Served                          // the changes are complete up to the response's revision
	Compacted                       // the service no longer keeps all changes since the requested revision
)

// Changes is the response to RequestChanges.
type Changes struct {
	Barrier  bool          // the request was a barrier, not a watch
	SentAt   time.Duration // when the request was sent
	Outcome  ChangesOutcome
	Failure  string // the reason to log if Outcome is Failed
	Response protocol.WatchResponse
}

// HandleChanges applies the response to a watch or a barrier.
func (m *Mirror) HandleChanges(changes Changes) {
	if !changes.Barrier {
		m.watching = false
	}
	switch changes.Outcome {
	case Served:
		m.applyChanges(&changes)
	case Compacted:
		m.handleCompaction(&changes)
	default:
		m.handleFailure(&changes)
	}
	if changes.Barrier {
		m.finishBarrier(changes.Outcome == Served && m.IsReady())
	}
}

// handleCompaction makes the next Maintain load the replica again, unless a load is in progress
// or has begun since the request was sent.
func (m *Mirror) handleCompaction(changes *Changes) {
	if m.phase != following || changes.SentAt < m.load.sentAt {
		return
	}
	m.phase = needsLoad
	m.failBarriers()
}

func (m *Mirror) applyChanges(changes *Changes) {
	if m.unavailable {
		m.unavailable = false
		m.host.Info("state service available again")
	}
	if !m.IsReady() {
		return // the first watch after the load delivers these changes again
	}
	for _, event := range changes.Response.Events {
		// The responses to a watch and a barrier can overlap. Events that an earlier response
		// delivered are skipped, because they would revert a key to an older version.
		if event.Version <= m.revision {
			continue
		}
		if event.Put != "" {
			m.put(event.Put, event.Value, event.Version)
		} else {
			m.remove(event.Delete, event.Version)
		}
	}
	m.replica.EndBatch()
	m.revision = max(m.revision, changes.Response.Revision)
	m.freshAt = max(m.freshAt, changes.SentAt)
}

func (m *Mirror) handleFailure(changes *Changes) {
	if !m.unavailable {
		m.unavailable = true
		m.host.Info("state service unavailable", "outcome", changes.Failure)
	}
	if changes.Barrier {
		return
	}
	m.watching = true // Maintain opens no watch until the delay has passed
	m.host.After(m.options.MaxStaleness/retryDivisor, func() {
		m.watching = false
		m.Maintain()
	})
}
