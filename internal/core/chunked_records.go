package core

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// chunkedRecords accepts jobs whose records are larger than a value: a user may name thousands of
// jobs that one needs, or dozens of machine types. The record goes into pieces, each below a
// key that is written once, by one attempt of one controller; then the job's own key says
// how many there are and whose. The job is accepted with that, and with nothing before.
//
// An attempt goes on after its request was answered with 503: at a small write rate it takes
// longer than a user waits for one answer, and the next try finds the job accepted.
type chunkedRecords struct {
	core          *Core
	writeCount    int
	current       *chunkedWrite            // under way, nil: none
	orphanedSince map[string]time.Duration // on the leader: attempts that no job refers to, since when
	deleting      bool
}

// chunkedWrite is a record on its way into the state service.
type chunkedWrite struct {
	record        records.Job // the whole
	nonce         string
	chunks        []string
	sentChunks    int
	firstRevision uint64 // revision of the first piece
	deadline      time.Duration
}

// batchOverhead is what a lot takes beside its jobs, generously.
const batchOverhead = 32

func chunkKey(id, nonce string, n int) string {
	return fmt.Sprintf("%s%s/%s/%04d", keyChunk, id, nonce, n)
}

// admit begins an attempt, one at a time, and has the user come again.
func (x *chunkedRecords) admit(id RequestID, rec records.Job) {
	l := x.core.mirror
	if l.replyIfUpgrading(id, "descriptions of this size") {
		return
	}
	if x.current == nil {
		var packed bytes.Buffer
		w, _ := flate.NewWriter(&packed, flate.BestCompression) // the level is one of its own
		_, _ = w.Write(protocol.Encode(rec))                    // a buffer takes all
		_ = w.Close()
		text := base64.RawStdEncoding.EncodeToString(packed.Bytes())
		x.writeCount++
		x.current = &chunkedWrite{record: rec, nonce: fmt.Sprintf("%s-%d", x.core.bootID, x.writeCount), deadline: x.core.now.Monotonic + x.writeTimeout()}
		for p := range slices.Chunk([]byte(text), x.core.maxValueBytes()*3/4) {
			x.current.chunks = append(x.current.chunks, string(p))
		}
		x.writeNext()
	}
	l.replyRetry(id, "its description is long and is being stored: repeat this in a moment")
}

// writeTimeout is how long an attempt may take; so long users repeat a submission.
func (x *chunkedRecords) writeTimeout() time.Duration { return 3 * x.core.intervals.workerLease }

// writeNext writes some of the pieces, or after the last of them the job's own key.
func (x *chunkedRecords) writeNext() {
	a, l := x.current, x.core.mirror
	if wait := l.batches.takeToken(); wait > 0 {
		x.core.afterFunc(wait, x.writeNext)
		return
	}
	spec := &a.record.Spec
	if x.core.now.Monotonic > a.deadline || l.acceptedJob(spec.ID) != nil || !l.isFresh() {
		x.current = nil // in vain: another one was first, or it takes too long
		return
	}
	guards := []protocol.Guard{}
	var ops []protocol.Operation
	last := a.sentChunks == len(a.chunks)
	for ; a.sentChunks < len(a.chunks) && len(ops) < x.core.maxTxnOps(); a.sentChunks++ {
		if len(ops) > 0 && l.batches.takeToken() > 0 {
			break
		}
		key := chunkKey(spec.ID, a.nonce, a.sentChunks)
		guards = append(guards, protocol.Guard{Key: key})
		ops = append(ops, protocol.Operation{Put: key, Value: records.Chunk{Text: a.chunks[a.sentChunks]}})
	}
	if last {
		// As long as the first piece is there none has been swept: it goes first.
		guards = append(notAcceptedGuards(spec.ID, true), protocol.Guard{Key: chunkKey(spec.ID, a.nonce, 0), Version: a.firstRevision})
		short := records.Job{Spec: protocol.Job{ID: spec.ID}, State: a.record.State, SubmittedAt: a.record.SubmittedAt, Chunks: len(a.chunks), ChunkNonce: a.nonce}
		ops = []protocol.Operation{{Put: keyDependentJob + spec.ID, Value: short}}
	}
	l.commit(guards, ops, func(d CommitResult) {
		switch {
		case last:
			x.current = nil
		case d.Outcome == Committed:
			x.chunksStored(d.Answer.Revision)
		case d.Outcome == CommitUnknown:
			// Guards against pieces written anew, and in vain again, as long as answers
			// are lost: the mirror says what became of these.
			l.barrier(func(bool) { x.chunksStored(l.versions[chunkKey(spec.ID, a.nonce, a.sentChunks-1)]) })
		default:
			x.current = nil
		}
	})
}

// chunksStored goes on after pieces that were written at a revision; 0: they were not.
func (x *chunkedRecords) chunksStored(revision uint64) {
	if revision == 0 {
		x.current = nil
		return
	}
	if x.current.firstRevision == 0 {
		x.current.firstRevision = revision
	}
	x.writeNext()
}

// applyChunk and dropPiece follow the pieces in the mirror.
func (l *storeMirror) applyChunk(key string, value protocol.Raw) error {
	var rec records.Chunk
	if err := protocol.Decode(value, &rec); err != nil {
		return err
	}
	id, _, _ := strings.Cut(key[len(keyChunk):], "/")
	if l.chunks[id] == nil {
		l.chunks[id] = map[string]string{}
	}
	l.chunks[id][key] = rec.Text
	return nil
}

func (l *storeMirror) removeChunk(key string) {
	id, _, _ := strings.Cut(key[len(keyChunk):], "/")
	if delete(l.chunks[id], key); len(l.chunks[id]) == 0 {
		delete(l.chunks, id)
	}
}

// assembleRecord makes a job's record whole. Its pieces are read before its own key, since they were
// written before it and their keys come first.
func (l *storeMirror) assembleRecord(rec *records.Job) error {
	id := rec.Spec.ID
	var text strings.Builder
	for n := range rec.Chunks {
		key := chunkKey(id, rec.ChunkNonce, n)
		piece, ok := l.chunks[id][key]
		if !ok {
			return fmt.Errorf("piece %d of %d of its record is missing", n+1, rec.Chunks)
		}
		text.WriteString(piece)
		l.ownKey(id, key)
		l.chunks[id][key] = "" // it is in the job's record now
	}
	packed, err := base64.RawStdEncoding.DecodeString(text.String())
	if err != nil {
		return err
	}
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), 4*protocol.MaxBody))
	if err != nil {
		return err
	}
	var whole records.Job
	if err := protocol.Decode(b, &whole); err != nil {
		return err
	}
	whole.State, whole.SubmittedAt, whole.Zones = rec.State, rec.SubmittedAt, rec.Zones
	*rec = whole
	return nil
}

// applyZones takes the zones of a job whose record could not be written again.
func (l *storeMirror) applyZones(key string, value protocol.Raw) error {
	var rec records.Job
	if err := protocol.Decode(value, &rec); err != nil {
		return err
	}
	if j := l.ownKey(key[len(keyJobZones):], key); j != nil {
		j.record.Zones = rec.Zones
	}
	return nil
}

// collectGarbage deletes, on the leader, pieces of attempts that came to nothing: that the job was
// accepted without, or that are older than any attempt can be.
func (x *chunkedRecords) collectGarbage() {
	l, c := x.core.mirror, x.core
	if len(l.chunks) == 0 || x.deleting {
		return
	}
	if x.orphanedSince == nil {
		x.orphanedSince = map[string]time.Duration{}
	}
	for _, id := range sortedKeys(l.chunks) {
		j := l.acceptedJob(id)
		for _, key := range sortedKeys(l.chunks[id]) {
			if j != nil && !j.isFinal() && slices.Contains(j.ownedKeys, key) {
				continue
			}
			if j != nil {
				l.garbage[key] = true
				continue
			}
			if _, ok := x.orphanedSince[key]; !ok {
				x.orphanedSince[key] = c.now.Monotonic
			}
			if c.now.Monotonic-x.orphanedSince[key] < 2*x.writeTimeout() || c.scheduler.progressWriteTokens < 1 {
				continue
			}
			// The first piece goes first: the job's own key may be on its way.
			c.scheduler.progressWriteTokens--
			x.deleting = true
			delete(x.orphanedSince, key)
			guards := append(notAcceptedGuards(id, true), c.membership.leaderGuard(), l.guard(key))
			l.commit(guards, []protocol.Operation{{Delete: key}}, func(d CommitResult) {
				l.awaitOutcome(d.Outcome.Decided(), c.intervals.maintenance, func() { x.deleting = false })
			})
			return
		}
	}
}
