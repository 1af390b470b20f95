package core

import (
	"fmt"
	"strings"
)

// Keys in the state service. All share one prefix, so one watch sees them all.
const (
	keyPrefix         = "c/"
	keyAdmissionBatch = "c/accepted/" // several jobs that were accepted with one write; loaded before the jobs' own keys
	keyEstimates      = "c/est"
	keyJob            = "c/job/"
	keyLeader         = "c/leader"
	keyNode           = "c/node/"
	keyProgress       = "c/prog/" // completed tasks, progressBlockTasks to a key
	keyRegistryPage   = "c/rigs/"
	keyShardMap       = "c/map"
	keyMachineTypes   = "c/types"

	// Controllers of versions before Level 1 ignore these.
	keyChunk          = "c/long/"     // chunks of jobs' records that are larger than a value may be
	keyDependentBatch = "c/admitted/" // several jobs that need others, accepted with one write
	keyDependentJob   = "c/run/"      // jobs that need others
	keyFineProgress   = "c/fine/"     // completed tasks, fineBlockTasks to a key
	keyJobZones       = "c/zones/"    // zones of jobs whose records can't be written again
)

// KeyPrefix is what the client of the state service loads and watches.
const KeyPrefix = keyPrefix

// progressBlockTasks is how many tasks one progress key covers: a full block is
// under 3 KB of text, so it fits the smallest value limit with room to spare.
const progressBlockTasks = 16384

// fineBlockTasks is how many tasks a key covers where values are smaller than that: some 350
// bytes of text. Both kinds of keys may exist for one job; a task that either calls done is.
const fineBlockTasks = 2048

// fullBlockBytes is how many bytes a whole block of progress takes, in the form in which limits
// are counted.
const fullBlockBytes = progressBlockTasks/8*4/3 + 64

// chunkKey is the key of the n-th chunk of a job's record, as written by the attempt that nonce
// names.
func chunkKey(id, nonce string, n int) string {
	return fmt.Sprintf("%s%s/%s/%04d", keyChunk, id, nonce, n)
}

// jobOfChunk is the job that a chunk's key names.
func jobOfChunk(key string) string {
	id, _, _ := strings.Cut(key[len(keyChunk):], "/")
	return id
}

// isBatchKey reports whether a key holds several jobs.
func isBatchKey(key string) bool {
	return strings.HasPrefix(key, keyAdmissionBatch) || strings.HasPrefix(key, keyDependentBatch)
}
