package simulation

import (
	"fmt"

	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// Prefixes of the keys of job records.
const (
	jobKeyPrefix          = "c/job/" // jobs without dependencies
	dependentJobKeyPrefix = "c/run/" // jobs with dependencies
)

const (
	// distinctTaskCounts is the number of different task counts among the jobs that are added to
	// the store.
	distinctTaskCounts = 40
	// finishedPerCancelled is the number of finished jobs of which one is cancelled and the others are
	// done.
	finishedPerCancelled = 50
	// dependentJobsPerChain is the number of dependent jobs per group. The jobs of the first half of
	// a group depend only on one common job; those of the second half form a chain.
	dependentJobsPerChain = 200
	// longEstimateS is an estimated run time that is longer than any test simulates, in seconds.
	longEstimateS = 100_000
)

// AddFinishedJobs writes count finished jobs directly into the store, done or cancelled. They were
// submitted long before the start of the simulation.
func (s *Store) AddFinishedJobs(count int) {
	var txn kvstore.Txn
	for i := range count {
		spec := Array(1 + i%distinctTaskCounts)
		spec.ID = fmt.Sprintf("job-9%08d", i)
		record := records.Job{Spec: spec, State: protocol.JobDone, SubmittedAt: 9e8 + float64(i)}
		if i%finishedPerCancelled == 0 {
			record.State, record.StopReason = protocol.JobCancelled, "cancelled by its user"
		}
		txn.Then = append(txn.Then, putJob(jobKeyPrefix, record))
	}
	s.commitDirectly(&txn)
}

// AddDependentJobs writes first directly into the store, as a queued job with a long estimate, and
// count queued jobs that depend on it. Half of them depend only on first; the others form chains of
// a hundred jobs, in which each job depends on the one before.
func (s *Store) AddDependentJobs(first protocol.Job, count int) {
	first.EstimateS = longEstimateS
	txn := kvstore.Txn{Then: []kvstore.Op{putJob(jobKeyPrefix, queuedRecord(first))}}
	previous := ""
	for i := range count {
		spec := Array(1 + i%distinctTaskCounts)
		spec.ID = fmt.Sprintf("job-8%08d", i)
		spec.Dependencies = []string{first.ID}
		if i%dependentJobsPerChain > dependentJobsPerChain/2 {
			spec.Dependencies = []string{previous}
		}
		previous = spec.ID
		txn.Then = append(txn.Then, putJob(dependentJobKeyPrefix, queuedRecord(spec)))
	}
	s.commitDirectly(&txn)
}

// putJob returns the operation that stores a job's record.
func putJob(prefix string, record records.Job) kvstore.Op {
	return kvstore.Op{Put: prefix + record.Spec.ID, Value: protocol.Encode(record)}
}
