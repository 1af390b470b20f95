package degraded

// minLogCapacity is how many cancellations every log holds: enough for a small site, whose
// store is allowed few writes a second.
const minLogCapacity = 1024

// CancellationLog remembers the cancellations that a controller may have acknowledged since it
// was started: those that its mirror has brought, and its own that the mirror has yet to bring.
// The zero value is ready, and holds the least.
//
// Guards against a memory of acknowledged writes alone: a user was told of a cancellation by a
// controller that had not written it, or had got no answer to its write, and no vote listed it.
type CancellationLog struct {
	capacity int // at least minLogCapacity are held whatever it says

	// completeSince is the revision after which nothing has been forgotten.
	completeSince uint64

	entries []cancellation  // in the order in which they were recorded
	jobs    map[string]bool // of the entries
}

type cancellation struct {
	job      string
	revision uint64 // of the write
}

// NewCancellationLog makes a log that holds at least so many cancellations. A round needs those
// that the mirror of any controller has yet to bring.
func NewCancellationLog(capacity int) CancellationLog {
	return CancellationLog{capacity: capacity}
}

// Record adds a cancellation and the revision of its write. The same one may come twice, in
// any order with others.
func (l *CancellationLog) Record(job string, revision uint64) {
	if l.jobs[job] {
		return
	}
	if l.jobs == nil {
		l.jobs = map[string]bool{}
	}
	if len(l.entries) >= max(l.capacity, minLogCapacity) {
		l.dropOldest()
	}
	l.entries = append(l.entries, cancellation{job, revision})
	l.jobs[job] = true
}

func (l *CancellationLog) dropOldest() {
	oldest := l.entries[0]
	l.completeSince = max(l.completeSince, oldest.revision)
	delete(l.jobs, oldest.job)
	l.entries = l.entries[1:] // append copies the rest once the array is full
}

// Since lists the cancellations that are newer than the revision returned. That is the one
// asked for, or a newer one if some after that have been forgotten.
func (l *CancellationLog) Since(revision uint64) (since uint64, jobs []string) {
	since = max(revision, l.completeSince)
	for _, entry := range l.entries {
		if entry.revision > since {
			jobs = append(jobs, entry.job)
		}
	}
	return since, jobs
}
