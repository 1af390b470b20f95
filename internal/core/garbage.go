package core

import (
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// garbageCollector runs on the leader and deletes keys of the state service that are no longer
// needed: keys of finished jobs, batches whose jobs all have records of their own or are finished,
// and chunks that no record refers to. At most one delete of each of these kinds is in flight, and
// each delete is guarded by the version of the key that the decision was based on.
type garbageCollector struct {
	core *Core

	keys         map[string]bool // keys to delete, mostly of finished jobs
	deletingKeys bool            // a transaction that deletes keys is in flight; deletingBatch and deletingChunk likewise

	nextBatchScan time.Duration
	deletingBatch bool

	orphanedSince map[string]time.Duration // keys of chunks whose job is not accepted, and when this was first seen
	deletingChunk bool
}

func newGarbageCollector(c *Core) *garbageCollector {
	return &garbageCollector{core: c, keys: map[string]bool{}, orphanedSince: map[string]time.Duration{}}
}

// reset discards the keys to delete. The next load adds those that still exist again.
func (g *garbageCollector) reset() { g.keys = map[string]bool{} }

// add schedules a key for deletion.
func (g *garbageCollector) add(key string) { g.keys[key] = true }

// remove records that a key has been deleted.
func (g *garbageCollector) remove(key string) { delete(g.keys, key) }

// collect starts the deletes that are due, as far as write tokens are left.
func (g *garbageCollector) collect() {
	g.collectBatch()
	g.collectChunk()
	g.collectKeys()
}

// hasWriteToken reports whether a write token is left. Garbage collection shares the tokens with the
// leader's progress writes.
func (g *garbageCollector) hasWriteToken() bool { return g.core.scheduler.progressWriteTokens >= 1 }

func (g *garbageCollector) takeWriteToken() { g.core.scheduler.progressWriteTokens-- }

// deleteKeys deletes keys in one transaction and calls done once the mirror shows its outcome.
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

// collectBatch deletes one batch whose jobs all have records of their own or are finished.
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

// needsBatch reports whether a job's record that counts (see acceptance) is in a batch. The batch must
// then be kept.
func (r *storedRecords) needsBatch(id string) bool {
	j := r.jobs[id]
	return j != nil && !j.hasOwnRecord() || r.derivedAborts[id]
}

// collectChunk deletes chunks of chunked writes that were not completed. If the job was accepted
// without a chunk, or has ended, the chunk is added to the keys to delete. If the job is not
// accepted, one chunk is deleted that is too old to belong to a write in progress.
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

// isOrphan reports whether a chunk of a job that is not accepted is too old to belong to a write in
// progress: older than twice the time that a chunked write may take. Its age counts from when this
// controller first saw it as leader.
func (g *garbageCollector) isOrphan(key string) bool {
	now := g.core.now.Monotonic
	since, known := g.orphanedSince[key]
	if !known {
		since = now
		g.orphanedSince[key] = now
	}
	return now-since >= 2*g.core.admission.chunked.writeTimeout()
}

// deleteOrphan deletes a chunk of a job that is not accepted. The guards include the absence of the
// job's own key, since the write that accepts the job may still arrive. Orphans are deleted in the
// order of their keys, so the first chunk of a record is deleted before the others, which
// chunkedRecords.writeJob relies on. If the delete of the first chunk fails, its age counts from the
// next time it is seen, so other chunks of the record may be deleted before it.
func (g *garbageCollector) deleteOrphan(id, key string) {
	g.takeWriteToken()
	g.deletingChunk = true
	delete(g.orphanedSince, key)
	guards := append(notAcceptedGuards(id), g.core.membership.leaderGuard(), g.core.mirror.Guard(key))
	g.deleteKeys(guards, []string{key}, func() { g.deletingChunk = false })
}

// collectKeys deletes as many of the scheduled keys as one transaction and the write tokens allow.
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
