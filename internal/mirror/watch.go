package mirror

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// ChangesOutcome is what became of RequestChanges.
type ChangesOutcome int

// Outcomes of RequestChanges.
const (
	Failed    ChangesOutcome = iota // there was no answer, or a refusal
	Served                          // the changes are complete up to the answer's revision
	Compacted                       // the changes since the revision asked for are no longer kept
)

// Changes answers RequestChanges.
type Changes struct {
	Barrier  bool
	SentAt   time.Duration // when the request left
	Outcome  ChangesOutcome
	Failure  string // names the outcome in the log if it is Failed
	Response protocol.WatchResponse
}

// HandleChanges takes the answer to a watch or a barrier.
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

// handleCompaction has the replica loaded anew, unless that is under way already, or was done after the
// request left.
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
		m.host.Info("state service is back")
	}
	if !m.IsReady() {
		return // a load is under way, and the watch after it brings these changes again
	}
	for _, event := range changes.Response.Events {
		// A watch and a barrier overlap: what an earlier answer brought is not taken
		// again, or the replica would step back.
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
		m.host.Info("state service does not answer", "outcome", changes.Failure)
	}
	if changes.Barrier {
		return
	}
	m.watching = true // until the pause is over
	m.host.After(m.options.MaxStaleness/retryDivisor, func() {
		m.watching = false
		m.Maintain()
	})
}
