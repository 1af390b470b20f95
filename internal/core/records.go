package core

import (
	"strings"

	"github.com/chalkhub/chalkhub/internal/dag"
	"github.com/chalkhub/chalkhub/internal/orderedmap"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// storedRecords are the decoded records of the state service, as the mirror feeds them: the
// jobs, the leader and the shard map, the machines' registry and what goes with them. It tells
// the scheduler and the shard what changes. Nothing else changes it.
//
// Invariant: a job is either in jobs or in the archive, never in both.
type storedRecords struct {
	core *Core

	jobs             map[string]*jobEntry // that are not over
	archive          *jobArchive          // of those that are
	batches          map[string]*admissionBatch
	chunks           map[string]map[string]string // of chunked records, by job and key
	dependencies     *dag.Graph
	derivedAborts    map[string]bool // jobs that are over because of another one; true: a batch holds the record that counts
	loadedDependents []string        // jobs with dependencies, read by the load that is under way

	nodes          map[string]records.Node // controllers, by label
	leader         *records.Leader
	shardMap       *records.ShardMap
	machineRecords *orderedmap.Map[*records.Machine]
	registryPages  *orderedmap.Map[[]string]        // the registry's keys, and the machines that each holds
	machineTypes   map[string]*protocol.MachineType // empty until all are known
	partialTypes   map[string]*protocol.MachineType // those that have been read so far
	estimates      *records.Estimates
}

// newStoredRecords makes empty records; a worker's heartbeat may come before the first load.
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

// Loaded implements mirror.Replica. The leader's state rests on the job records of the mirror
// that is gone: it begins anew, in an epoch of its own.
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

// Put implements mirror.Replica. A value that can't be decoded is logged and left out.
func (r *storedRecords) Put(key string, value protocol.Raw, version uint64) (rememberVersion bool) {
	if id, dependent, ok := jobOfKey(key); ok {
		r.logDecodeError(key, r.applyJob(id, dependent, value, version))
		return false // entries and the archive hold the versions of jobs
	}
	r.logDecodeError(key, r.apply(key, value, version))
	return true
}

// jobOfKey is the job whose own record a key holds, if it is such a key.
func jobOfKey(key string) (id string, dependent, ok bool) {
	if id, ok = strings.CutPrefix(key, keyJob); ok {
		return id, false, true
	}
	id, ok = strings.CutPrefix(key, keyDependentJob)
	return id, true, ok
}

// apply takes a key that is not a job's own.
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
	return nil // of a newer version
}

// decodeAndApply passes a decoded value on.
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

// entry returns a job that is not over, a new entry if there is none: keys that belong to a job
// may be read before its own.
func (r *storedRecords) entry(id string) *jobEntry {
	j := r.jobs[id]
	if j == nil {
		j = &jobEntry{}
		j.record.State = protocol.JobQueued
		r.jobs[id] = j
	}
	return j
}

// acceptedJob returns the job if the state service holds it.
func (r *storedRecords) acceptedJob(id string) *jobEntry {
	if j := r.jobs[id]; j != nil {
		if j.version == 0 {
			return nil
		}
		return j
	}
	return r.archive.get(id)
}

// olderController is a live controller that says that its version is older, empty: there is none.
func (r *storedRecords) olderController() string {
	for _, label := range sortedKeys(r.nodes) {
		if r.nodes[label].Level < records.FormatLevel {
			return label
		}
	}
	return ""
}
