package core

import (
	"fmt"
	"strings"
)

// Keys in the state service. All have one prefix in common, so that a single watch covers them.
const (
	keyPrefix         = "c/"
	keyAdmissionBatch = "c/accepted/" // several jobs that were accepted with one write; these keys sort before the jobs' own keys, so they are loaded first
	keyEstimates      = "c/est"
	keyJob            = "c/job/"
	keyLeader         = "c/leader"
	keyNode           = "c/node/"
	keyProgress       = "c/prog/" // completed tasks, progressBlockTasks to a key
	keyRegistryPage   = "c/rigs/"
	keyShardMap       = "c/map"
	keyMachineTypes   = "c/types"

	// Controllers of versions before record format level 1 (records.FormatLevel) ignore these keys.
	keyChunk          = "c/long/"     // chunks of job records that are larger than a value may be
	keyDependentBatch = "c/admitted/" // several jobs with dependencies that were accepted with one write
	keyDependentJob   = "c/run/"      // jobs with dependencies, and jobs whose records are chunked
	keyFineProgress   = "c/fine/"     // completed tasks, fineBlockTasks to a key
	keyJobZones       = "c/zones/"    // zones of jobs whose records are too large to be written again
)

// KeyPrefix is the prefix of all keys of the controllers. The client of the state service loads and
// watches the keys with this prefix.
const KeyPrefix = keyPrefix

// progressBlockTasks is how many tasks one progress key covers. A full block takes less than 3 KB of
// text, so it fits into a value unless the store's limit is below fullBlockBytes.
const progressBlockTasks = 16384

// fineBlockTasks is how many tasks one progress key covers where a value is too small for a full block
// of progressBlockTasks. A full block of this size takes some 350 bytes of text. A job may have keys
// of both sizes; a task is completed if any of them contains it.
const fineBlockTasks = 2048

// fullBlockBytes is how many bytes a full block of progressBlockTasks takes as JSON, in which the
// store counts its limits: one bit for each task, as base64, and 64 bytes for the JSON around it.
const fullBlockBytes = progressBlockTasks/8*4/3 + 64

// chunkKey returns the key of the n-th chunk, counted from 0, of a job's record. nonce names the
// chunked write.
func chunkKey(id, nonce string, n int) string {
	return fmt.Sprintf("%s%s/%s/%04d", keyChunk, id, nonce, n)
}

// jobOfChunk returns the id of the job that a chunk's key belongs to.
func jobOfChunk(key string) string {
	id, _, _ := strings.Cut(key[len(keyChunk):], "/")
	return id
}

// isBatchKey reports whether a key holds an admission batch.
func isBatchKey(key string) bool {
	return strings.HasPrefix(key, keyAdmissionBatch) || strings.HasPrefix(key, keyDependentBatch)
}
