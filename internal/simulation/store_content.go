package simulation

import (
	"fmt"

	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// Prefixes of the keys under which jobs are stored.
const (
	jobKeyPrefix          = "c/job/" // jobs without dependencies
	dependentJobKeyPrefix = "c/run/" // jobs with dependencies
)

const (
	// distinctTaskCounts is how many different numbers of tasks the jobs have that are put
	// into the store.
	distinctTaskCounts = 40
	// finishedPerCancelled is how many finished jobs there are for each that was cancelled.
	finishedPerCancelled = 50
	// dependentJobsPerChain is how many dependent jobs there are for each chain; its second half is
	// the chain.
	dependentJobsPerChain = 200
	// longEstimateS is an estimate that no test waits for, in seconds.
	longEstimateS = 100_000
)

// AddFinishedJobs puts count jobs into the store that were done or cancelled long ago.
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

// AddDependentJobs puts a job into the store, and count jobs that depend on it: half of them on it
// alone, half in chains of a hundred.
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

// putJob stores a job's record.
func putJob(prefix string, record records.Job) kvstore.Op {
	return kvstore.Op{Put: prefix + record.Spec.ID, Value: protocol.Encode(record)}
}
