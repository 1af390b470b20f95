package core

import (
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// garbageCollector deletes, on the leader, keys of the state service that nothing refers to any
// more: keys of jobs that are over, batches all of whose jobs have records of their own, and
// chunks that no record refers to. Each kind has one delete under way at a time, and each delete
// is guarded by the version that was looked at.
type garbageCollector struct {
	core *Core

	keys         map[string]bool // of jobs that are over
	deletingKeys bool

	nextBatchScan time.Duration
	deletingBatch bool

	orphanedSince map[string]time.Duration // chunks of jobs that were not accepted, since when they are known
	deletingChunk bool
}

func newGarbageCollector(c *Core) *garbageCollector {
	return &garbageCollector{core: c, keys: map[string]bool{}, orphanedSince: map[string]time.Duration{}}
}

// reset forgets the keys to delete, which the next load brings again.
func (g *garbageCollector) reset() { g.keys = map[string]bool{} }

// add has a key deleted whose job is over.
func (g *garbageCollector) add(key string) { g.keys[key] = true }

// remove notes that a key is deleted.
func (g *garbageCollector) remove(key string) { delete(g.keys, key) }

// collect begins the deletes that are due, as far as the budget of writes goes.
func (g *garbageCollector) collect() {
	g.collectBatch()
	g.collectChunk()
	g.collectKeys()
}

// hasWriteToken reports whether a write may be taken from the leader's budget.
func (g *garbageCollector) hasWriteToken() bool { return g.core.scheduler.progressWriteTokens >= 1 }

func (g *garbageCollector) takeWriteToken() { g.core.scheduler.progressWriteTokens-- }

// deleteKeys deletes keys in one transaction and calls done once the mirror shows what became of
// it.
func (g *garbageCollector) deleteKeys(guards []protocol.Guard, keys []string, done func()) {
	ops := make([]protocol.Operation, 0, len(keys))
	for _, key := range keys {
		ops = append(ops, protocol.Operation{Delete: key})
	}
	m := g.core.mirror
	g.core.commit(guards, ops, func(result CommitResult) {
		m.AwaitOutcome(result.Outcome.Decided(), g.core.intervals.maintenance, done)
	})
}

// collectBatch deletes a batch all of whose jobs have keys of their own, or are over.
func (g *garbageCollector) collectBatch() {
	c := g.core
	if g.deletingBatch || c.now.Monotonic < g.nextBatchScan {
		return
	}
	g.nextBatchScan = c.now.Monotonic + c.intervals.maintenance
	for _, key := range sortedKeys(c.records.batches) {
		batch := c.records.batches[key]
		if slices.ContainsFunc(batch.jobs, c.records.needsBatch) || !g.hasWriteToken() {
			continue
		}
		g.takeWriteToken()
		g.deletingBatch = true
		guards := []protocol.Guard{c.membership.leaderGuard(), {Key: key, Version: batch.version}}
		g.deleteKeys(guards, []string{key}, func() { g.deletingBatch = false })
		return
	}
}

// needsBatch reports whether the record of a job that counts is in a batch.
func (r *storedRecords) needsBatch(id string) bool {
	j := r.jobs[id]
	return j != nil && !j.hasOwnRecord() || r.derivedAborts[id]
}

// collectChunk deletes a chunk of a write that came to nothing: the job was accepted without it,
// or it is older than any write under way can be.
func (g *garbageCollector) collectChunk() {
	c := g.core
	if len(c.records.chunks) == 0 || g.deletingChunk {
		return
	}
	for _, id := range sortedKeys(c.records.chunks) {
		j := c.records.acceptedJob(id)
		for _, key := range sortedKeys(c.records.chunks[id]) {
			if j != nil {
				if j.isFinal() || !slices.Contains(j.ownedKeys, key) {
					g.add(key)
				}
				continue
			}
			if g.isOrphan(key) && g.hasWriteToken() {
				g.deleteOrphan(id, key)
				return
			}
		}
	}
}

// isOrphan reports whether a chunk of a job that was not accepted is older than any write under
// way can be, as far as this leader has seen.
func (g *garbageCollector) isOrphan(key string) bool {
	now := g.core.now.Monotonic
	since, known := g.orphanedSince[key]
	if !known {
		since = now
		g.orphanedSince[key] = now
	}
	return now-since >= 2*g.core.admission.chunked.writeTimeout()
}

// deleteOrphan deletes a chunk of a job that was not accepted. The first chunk goes first, and
// the job's own key is guarded: it may be on its way.
func (g *garbageCollector) deleteOrphan(id, key string) {
	g.takeWriteToken()
	g.deletingChunk = true
	delete(g.orphanedSince, key)
	guards := append(notAcceptedGuards(id), g.core.membership.leaderGuard(), g.core.mirror.Guard(key))
	g.deleteKeys(guards, []string{key}, func() { g.deletingChunk = false })
}

// collectKeys deletes keys of jobs that are over, as many as one transaction takes.
func (g *garbageCollector) collectKeys() {
	c := g.core
	if g.deletingKeys || len(g.keys) == 0 {
		return
	}
	guards := []protocol.Guard{c.membership.leaderGuard()}
	var batch []string
	for _, key := range sortedKeys(g.keys) {
		if c.mirror.Version(key) == 0 {
			delete(g.keys, key)
			continue
		}
		if len(batch) == c.maxTxnOps() || !g.hasWriteToken() {
			break
		}
		g.takeWriteToken()
		guards = append(guards, c.mirror.Guard(key))
		batch = append(batch, key)
	}
	if len(batch) == 0 {
		return
	}
	g.deletingKeys = true
	g.deleteKeys(guards, batch, func() { g.deletingKeys = false })
}
