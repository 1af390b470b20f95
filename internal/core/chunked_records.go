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
// jobs that one needs, or dozens of machine types. The record goes into chunks, each below a
// key that is written once, by one write of one controller; then the job's own key says
// how many there are and whose. The job is accepted with that, and with nothing before.
//
// A write goes on after its request was answered with 503: at a small write rate it takes
// longer than a user waits for one answer, and the next try finds the job accepted.
type chunkedRecords struct {
	core       *Core
	writeCount int           // makes the writes' nonces differ
	current    *chunkedWrite // under way, nil: none
}

// chunkedWrite is a record on its way into the state service.
type chunkedWrite struct {
	record             records.Job // the whole
	nonce              string
	chunks             []string
	sentChunks         int
	firstChunkRevision uint64 // of the first chunk, 0: it is not stored
	deadline           time.Duration
}

// batchOverheadBytes is what a batch takes beside its jobs, generously: a record that is larger than a
// value less this is written in chunks.
const batchOverheadBytes = 32

// maxUnpackedRecordBytes bounds a record that is put together from chunks.
const maxUnpackedRecordBytes = 4 * protocol.MaxBody

// admit begins a write, one at a time, and has the user come again.
func (x *chunkedRecords) admit(id RequestID, record records.Job) {
	if x.core.admission.replyIfUpgrading(id, "descriptions of this size") {
		return
	}
	if x.current == nil {
		x.begin(record)
	}
	x.core.queries.replyRetry(id, reasonRecordPending)
}

func (x *chunkedRecords) begin(record records.Job) {
	x.writeCount++
	x.current = &chunkedWrite{
		record:   record,
		nonce:    fmt.Sprintf("%s-%d", x.core.bootID, x.writeCount),
		deadline: x.core.now.Monotonic + x.writeTimeout(),
	}
	// A quarter of a value is left for the chunk's frame.
	for chunk := range slices.Chunk([]byte(packRecord(record)), x.core.maxValueBytes()*3/4) {
		x.current.chunks = append(x.current.chunks, string(chunk))
	}
	x.writeNext()
}

// packRecord compresses a record into text; unpackRecord is its inverse.
func packRecord(record records.Job) string {
	var packed bytes.Buffer
	w, _ := flate.NewWriter(&packed, flate.BestCompression) // fails for unknown levels only
	_, _ = w.Write(protocol.Encode(record))                 // a buffer takes all
	_ = w.Close()
	return base64.RawStdEncoding.EncodeToString(packed.Bytes())
}

func unpackRecord(text string) (records.Job, error) {
	var record records.Job
	packed, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return record, err
	}
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedRecordBytes))
	if err != nil {
		return record, err
	}
	err = protocol.Decode(encoded, &record)
	return record, err
}

// writeTimeout is how long a write may take; so long users repeat a submission.
func (x *chunkedRecords) writeTimeout() time.Duration { return 3 * x.core.intervals.workerLease }

// writeNext writes some of the chunks, or after the last of them the job's own key.
func (x *chunkedRecords) writeNext() {
	c, write := x.core, x.current
	if wait := c.admission.batches.takeToken(); wait > 0 {
		c.afterFunc(wait, x.writeNext)
		return
	}
	if c.now.Monotonic > write.deadline || c.records.acceptedJob(write.record.Spec.ID) != nil || !c.mirror.IsFresh() {
		x.current = nil // in vain: another one was first, or it takes too long
		return
	}
	if write.sentChunks == len(write.chunks) {
		x.writeJob(write)
	} else {
		x.writeChunks(write)
	}
}

// writeChunks writes as many chunks as a transaction, and the rate of writes, allows.
func (x *chunkedRecords) writeChunks(write *chunkedWrite) {
	c, jobID := x.core, write.record.Spec.ID
	var guards []protocol.Guard
	var ops []protocol.Operation
	for ; write.sentChunks < len(write.chunks) && len(ops) < c.maxTxnOps(); write.sentChunks++ {
		if len(ops) > 0 && c.admission.batches.takeToken() > 0 {
			break
		}
		key := chunkKey(jobID, write.nonce, write.sentChunks)
		guards = append(guards, protocol.Guard{Key: key})
		ops = append(ops, protocol.Operation{Put: key, Value: records.Chunk{Text: write.chunks[write.sentChunks]}})
	}
	c.commit(guards, ops, func(result CommitResult) {
		switch result.Outcome {
		case Committed:
			x.chunksStored(result.Response.Revision)
		case CommitUnknown:
			// Guards against chunks written anew, and in vain again, as long as answers
			// are lost: the mirror says what became of these.
			lastKey := chunkKey(jobID, write.nonce, write.sentChunks-1)
			c.mirror.Barrier(func(bool) { x.chunksStored(c.mirror.Version(lastKey)) })
		default:
			x.current = nil
		}
	})
}

// chunksStored goes on after chunks that were written at a revision; 0: they were not.
func (x *chunkedRecords) chunksStored(revision uint64) {
	if revision == 0 {
		x.current = nil
		return
	}
	if x.current.firstChunkRevision == 0 {
		x.current.firstChunkRevision = revision
	}
	x.writeNext()
}

// writeJob writes the job's own key, which accepts it. As long as the first chunk is there none was
// deleted as garbage: the first goes first.
func (x *chunkedRecords) writeJob(write *chunkedWrite) {
	jobID := write.record.Spec.ID
	firstChunk := protocol.Guard{Key: chunkKey(jobID, write.nonce, 0), Version: write.firstChunkRevision}
	guards := append(notAcceptedGuards(jobID), firstChunk)
	head := records.Job{
		Spec: protocol.Job{ID: jobID}, State: write.record.State, SubmittedAt: write.record.SubmittedAt,
		Chunks: len(write.chunks), ChunkNonce: write.nonce,
	}
	ops := []protocol.Operation{{Put: keyDependentJob + jobID, Value: head}}
	x.core.commit(guards, ops, func(CommitResult) { x.current = nil })
}

// applyChunk takes a chunk of a job's record.
func (r *storedRecords) applyChunk(key string, value protocol.Raw) error {
	var record records.Chunk
	if err := protocol.Decode(value, &record); err != nil {
		return err
	}
	id := jobOfChunk(key)
	if r.chunks[id] == nil {
		r.chunks[id] = map[string]string{}
	}
	r.chunks[id][key] = record.Text
	return nil
}

// removeChunk takes the deletion of a chunk.
func (r *storedRecords) removeChunk(key string) {
	id := jobOfChunk(key)
	if delete(r.chunks[id], key); len(r.chunks[id]) == 0 {
		delete(r.chunks, id)
	}
}

// assembleRecord makes a job's record whole. Its chunks are read before its own key, since they
// were written before it and their keys come first.
func (r *storedRecords) assembleRecord(record *records.Job) error {
	id := record.Spec.ID
	var text strings.Builder
	for n := range record.Chunks {
		key := chunkKey(id, record.ChunkNonce, n)
		chunk, ok := r.chunks[id][key]
		if !ok {
			return fmt.Errorf("chunk %d of %d of its record is missing", n+1, record.Chunks)
		}
		text.WriteString(chunk)
		r.addOwnedKey(id, key)
		r.chunks[id][key] = "" // it is in the job's record now
	}
	whole, err := unpackRecord(text.String())
	if err != nil {
		return err
	}
	whole.State, whole.SubmittedAt, whole.Zones = record.State, record.SubmittedAt, record.Zones
	*record = whole
	return nil
}
