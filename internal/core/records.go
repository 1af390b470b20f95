package core

import (
	"strings"

	"github.com/chalkhub/chalkhub/internal/dag"
	"github.com/chalkhub/chalkhub/internal/orderedmap"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// storedRecords holds the decoded records of the state service: jobs, controllers, the leader, the
// shard map, the machine registry, machine types and estimates. It is the replica that the mirror
// updates, and nothing else changes it. It passes changes on to the scheduler and the shard.
//
// Invariant: a job is either in jobs or in the archive, never in both.
type storedRecords struct {
	core *Core

	jobs         map[string]*jobEntry // unfinished ones
	archive      *jobArchive          // finished ones
	batches      map[string]*admissionBatch
	chunks       map[string]map[string]string // texts of chunks, by job id and key; "" once the job's record is assembled
	dependencies *dag.Graph
	// derivedAborts holds the jobs that were aborted because a dependency was cancelled. The value
	// is true if the record that counts is in a batch, which must then be kept.
	derivedAborts    map[string]bool
	loadedDependents []string // jobs with dependencies that the load in progress has read

	nodes          map[string]records.Node // controllers, by label
	leader         *records.Leader
	shardMap       *records.ShardMap
	machineRecords *orderedmap.Map[*records.Machine]
	registryPages  *orderedmap.Map[[]string]        // names of the machines on each page of the machine registry
	machineTypes   map[string]*protocol.MachineType // empty until the records of all types are read
	partialTypes   map[string]*protocol.MachineType // types read so far
	estimates      *records.Estimates
}

// newStoredRecords returns empty records. They must be usable at once because a worker's heartbeat
// may arrive before the first load.
func newStoredRecords(c *Core) *storedRecords {
	r := &storedRecords{core: c}
	r.Reset()
	return r
}

// Reset implements mirror.Replica.
func (r *storedRecords) Reset() {
	r.jobs, r.archive = map[string]*jobEntry{}, newJobArchive(r.core.fairShareRules)
	r.batches, r.chunks = map[string]*admissionBatch{}, map[string]map[string]string{}
	r.dependencies, r.derivedAborts = dag.New(), map[string]bool{}
	r.loadedDependents = nil
	r.core.garbage.reset()
	r.nodes = map[string]records.Node{}
	r.leader, r.shardMap, r.estimates = nil, nil, nil
	r.machineRecords, r.registryPages = orderedmap.New[*records.Machine](), orderedmap.New[[]string]()
	r.machineTypes, r.partialTypes = map[string]*protocol.MachineType{}, map[string]*protocol.MachineType{}
}

// Loaded implements mirror.Replica. The leader's queue refers to job entries that the load has
// replaced, so a leader discards its state and starts again in a new epoch.
func (r *storedRecords) Loaded() {
	c := r.core
	if c.membership.leading {
		c.membership.leading = false
		c.scheduler.reloadRevision = c.mirror.LoadRevision()
		c.scheduler.leadershipChanged(false)
	}
	ended := len(r.archive.jobs)
	c.logInfo("state loaded", "keys", c.mirror.VersionCount()+len(r.jobs)+ended, "ended jobs", ended, "revision", c.mirror.Revision())
}

// EndBatch implements mirror.Replica.
func (r *storedRecords) EndBatch() {
	r.addLoadedDependents()
	r.applyDependencyChanges()
}

// Put implements mirror.Replica. A value that can't be decoded is logged and ignored.
func (r *storedRecords) Put(key string, value protocol.Raw, version uint64) (rememberVersion bool) {
	if id, dependent, ok := jobOfKey(key); ok {
		r.logDecodeError(key, r.applyJob(id, dependent, value, version))
		return false // the versions of jobs' keys are kept in their entries and in the archive
	}
	r.logDecodeError(key, r.apply(key, value, version))
	return true
}

// jobOfKey returns the id of the job whose own record is stored under a key, and whether the key is
// one of jobs with dependencies. ok is false if the key is not a job's own.
func jobOfKey(key string) (id string, dependent, ok bool) {
	if id, ok = strings.CutPrefix(key, keyJob); ok {
		return id, false, true
	}
	id, ok = strings.CutPrefix(key, keyDependentJob)
	return id, true, ok
}

// apply decodes and applies the value of a key that is not a job's own.
func (r *storedRecords) apply(key string, value protocol.Raw, version uint64) error {
	switch {
	case isBatchKey(key):
		return r.applyBatch(key, value, version)
	case strings.HasPrefix(key, keyProgress):
		return r.applyProgress(key, key[len(keyProgress):], progressBlockTasks, value)
	case strings.HasPrefix(key, keyFineProgress):
		return r.applyProgress(key, key[len(keyFineProgress):], fineBlockTasks, value)
	case strings.HasPrefix(key, keyChunk):
		return r.applyChunk(key, value)
	case strings.HasPrefix(key, keyJobZones):
		return r.applyZones(key, value)
	case strings.HasPrefix(key, keyNode):
		return decodeAndApply(value, func(node *records.Node) { r.nodes[key[len(keyNode):]] = *node })
	case strings.HasPrefix(key, keyRegistryPage):
		return decodeAndApply(value, func(page *records.RegistryPage) { r.putRegistryPage(key[len(keyRegistryPage):], page) })
	case strings.HasPrefix(key, keyMachineTypes):
		return decodeAndApply(value, r.applyMachineTypes)
	case key == keyLeader:
		return decodeAndApply(value, func(leader *records.Leader) { r.leader = leader })
	case key == keyShardMap:
		return decodeAndApply(value, func(shardMap *records.ShardMap) { r.shardMap = shardMap })
	case key == keyEstimates:
		return decodeAndApply(value, func(estimates *records.Estimates) { r.estimates = estimates })
	}
	return nil // unknown keys were written by a newer version of the controller
}

func decodeAndApply[Record any](value protocol.Raw, apply func(*Record)) error {
	decoded := new(Record)
	if err := protocol.Decode(value, decoded); err != nil {
		return err
	}
	apply(decoded)
	return nil
}

// Delete implements mirror.Replica.
func (r *storedRecords) Delete(key string) {
	switch {
	case strings.HasPrefix(key, keyNode):
		delete(r.nodes, key[len(keyNode):])
	case isBatchKey(key):
		delete(r.batches, key)
	case strings.HasPrefix(key, keyRegistryPage):
		r.removeRegistryPage(key[len(keyRegistryPage):])
	case strings.HasPrefix(key, keyProgress), strings.HasPrefix(key, keyFineProgress), strings.HasPrefix(key, keyJobZones):
		r.core.garbage.remove(key)
	case strings.HasPrefix(key, keyChunk):
		r.core.garbage.remove(key)
		r.removeChunk(key)
	case key == keyLeader:
		r.leader = nil
	}
}

func (r *storedRecords) logDecodeError(key string, err error) {
	if err != nil {
		r.core.emit(Log{Level: LevelError, Text: "cannot decode a key of the state service", Args: []any{"key", key, "error", err}})
	}
}

// entry returns the entry of an unfinished job and creates it if there is none. Progress and zones
// of a job may be read before the record that accepts it.
func (r *storedRecords) entry(id string) *jobEntry {
	j := r.jobs[id]
	if j == nil {
		j = &jobEntry{}
		j.record.State = protocol.JobQueued
		r.jobs[id] = j
	}
	return j
}

// acceptedJob returns the entry of a job, finished or not, or nil if the mirror holds no record that
// accepts it.
func (r *storedRecords) acceptedJob(id string) *jobEntry {
	if j := r.jobs[id]; j != nil {
		if j.version == 0 {
			return nil
		}
		return j
	}
	return r.archive.get(id)
}

// olderController returns the label of a live controller of a version with an older record format,
// or "" if there is none.
func (r *storedRecords) olderController() string {
	for _, label := range sortedKeys(r.nodes) {
		if r.nodes[label].Level < records.FormatLevel {
			return label
		}
	}
	return ""
}
