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

// chunkedRecords accepts jobs whose records are larger than a value may be, for example because a
// user names thousands of dependencies or dozens of machine types. The record is split into chunks
// that are stored under separate keys. Each of these keys is written once, by one controller as part
// of one chunked write. After them the job's own key is written, with the number of chunks and the
// nonce of the chunked write. Only this last write accepts the job.
//
// A chunked write continues after its request was answered with 503. At a low write rate it takes
// longer than a user waits for one response; when the user repeats the submission, the job is
// accepted already.
type chunkedRecords struct {
	core       *Core
	writeCount int           // makes the nonces of chunked writes unique within this process
	current    *chunkedWrite // the chunked write in progress; nil if there is none
}

// chunkedWrite is a chunked record that is being written to the state service.
type chunkedWrite struct {
	record             records.Job // the complete record
	nonce              string      // part of the chunks' keys, unique for each chunked write
	chunks             []string
	sentChunks         int           // number of chunks that have been written or are being written
	firstChunkRevision uint64        // revision at which the first chunk was written; 0: it has not been written yet
	deadline           time.Duration // monotonic time after which the write is given up
}

// batchOverheadBytes is an upper bound of what a batch takes in addition to its jobs. A record is
// written in chunks if it does not fit into a value together with this overhead.
const batchOverheadBytes = 32

// maxUnpackedRecordBytes limits the decompressed size of a record that is assembled from chunks.
const maxUnpackedRecordBytes = 4 * protocol.MaxBody

// admit starts a chunked write unless another one is in progress, and asks the user to repeat the
// request.
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
	// A chunk takes up to three quarters of the largest value; a quarter is left for the JSON around it.
	for chunk := range slices.Chunk([]byte(packRecord(record)), x.core.maxValueBytes()*3/4) {
		x.current.chunks = append(x.current.chunks, string(chunk))
	}
	x.writeNext()
}

// packRecord compresses a record and encodes it as base64. unpackRecord is its inverse.
func packRecord(record records.Job) string {
	var packed bytes.Buffer
	w, _ := flate.NewWriter(&packed, flate.BestCompression) // fails only for an invalid level
	_, _ = w.Write(protocol.Encode(record))                 // writes to a bytes.Buffer never fail
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

// writeTimeout returns how long a chunked write may take, which is as long as users keep repeating
// a submission.
func (x *chunkedRecords) writeTimeout() time.Duration { return 3 * x.core.intervals.workerLease }

// writeNext continues the current write with the next chunks or, after the last one, with the job's
// own key. If no write token is left it sets a timer to try again.
func (x *chunkedRecords) writeNext() {
	c, write := x.core, x.current
	if wait := c.admission.batches.takeToken(); wait > 0 {
		c.afterFunc(wait, x.writeNext)
		return
	}
	if c.now.Monotonic > write.deadline || c.records.acceptedJob(write.record.Spec.ID) != nil || !c.mirror.IsFresh() {
		// The write took too long, the job is accepted already, or the mirror is stale.
		x.current = nil
		return
	}
	if write.sentChunks == len(write.chunks) {
		x.writeJob(write)
	} else {
		x.writeChunks(write)
	}
}

// writeChunks writes, in one transaction, as many chunks as the limits of a transaction and the
// write tokens allow.
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
			// The response was lost, so the mirror has to show whether the chunks were
			// written. Giving up here would make the next request write all chunks again,
			// without ever finishing while responses are lost.
			lastKey := chunkKey(jobID, write.nonce, write.sentChunks-1)
			c.mirror.Barrier(func(bool) { x.chunksStored(c.mirror.Version(lastKey)) })
		default:
			x.current = nil
		}
	})
}

// chunksStored continues the current write after a transaction wrote chunks at the given revision.
// Revision 0 means that they were not written, and ends the write.
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

// writeJob writes the job's own key, which accepts the job. The guard on the first chunk checks
// that all chunks still exist, because the garbage collector deletes the first chunk before others (see
// garbageCollector.deleteOrphan for an exception).
func (x *chunkedRecords) writeJob(write *chunkedWrite) {
	jobID := write.record.Spec.ID
	firstChunk := protocol.Guard{Key: chunkKey(jobID, write.nonce, 0), Version: write.firstChunkRevision}
	guards := append(notAcceptedGuards(jobID), firstChunk)
	jobRecord := records.Job{
		Spec: protocol.Job{ID: jobID}, State: write.record.State, SubmittedAt: write.record.SubmittedAt,
		Chunks: len(write.chunks), ChunkNonce: write.nonce,
	}
	ops := []protocol.Operation{{Put: keyDependentJob + jobID, Value: jobRecord}}
	x.core.commit(guards, ops, func(CommitResult) { x.current = nil })
}

// applyChunk applies a stored chunk of a job's record.
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

// removeChunk applies the deletion of a chunk.
func (r *storedRecords) removeChunk(key string) {
	id := jobOfChunk(key)
	if delete(r.chunks[id], key); len(r.chunks[id]) == 0 {
		delete(r.chunks, id)
	}
}

// assembleRecord replaces a record that only refers to chunks by the complete record. The chunks
// have been read already: they are written before the job's own key, and a load, which reads keys
// in order, reaches them first.
func (r *storedRecords) assembleRecord(record *records.Job) error {
	id := record.Spec.ID
	var text strings.Builder
	for n := range record.Chunks {
		key := chunkKey(id, record.ChunkNonce, n)
		chunk, ok := r.chunks[id][key]
		if !ok {
			return fmt.Errorf("assemble chunked record: chunk %d of %d is missing", n+1, record.Chunks)
		}
		text.WriteString(chunk)
		r.addOwnedKey(id, key)
		r.chunks[id][key] = "" // frees the text; the key itself is kept for the garbage collector
	}
	assembled, err := unpackRecord(text.String())
	if err != nil {
		return err
	}
	assembled.State, assembled.SubmittedAt, assembled.Zones = record.State, record.SubmittedAt, record.Zones
	*record = assembled
	return nil
}
