package degraded

// minLogCapacity is how many cancellations every log can hold: enough for a small site, whose
// state service allows few writes a second.
const minLogCapacity = 1024

// CancellationLog records the cancellations that a controller may have acknowledged since it
// was started: those that its mirror delivered, and those that it wrote itself and its mirror has
// yet to deliver. The zero value is ready to use and holds minLogCapacity cancellations. It is
// not safe for concurrent use.
//
// Recording only the controller's own confirmed writes is not enough. When the log did so, a
// controller acknowledged a cancellation that another one had written, or for whose write it had got
// no response, and no vote listed that cancellation.
type CancellationLog struct {
	capacity int // the log holds minLogCapacity cancellations if this is less

	// completeSince is the revision after which no cancellation has been dropped.
	completeSince uint64

	entries []cancellation  // in the order in which they were recorded
	jobs    map[string]bool // jobs of the entries
}

type cancellation struct {
	job      string
	revision uint64 // revision of the write that cancelled the job
}

// NewCancellationLog returns a log that holds at least capacity cancellations. A round needs all
// cancellations that the mirror of any controller has yet to deliver, so the log must hold those.
func NewCancellationLog(capacity int) CancellationLog {
	return CancellationLog{capacity: capacity}
}

// Record adds a cancellation and the revision of its write, unless the log already has one of the
// same job. Cancellations may be recorded in any order of their revisions. A full log drops the
// one that was recorded first.
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
	l.entries = l.entries[1:] // append copies the remaining entries once the array is full
}

// Since returns the jobs whose cancellations are newer than the revision since. That is the
// requested revision, or a newer one if cancellations after the requested one have been dropped.
func (l *CancellationLog) Since(revision uint64) (since uint64, jobs []string) {
	since = max(revision, l.completeSince)
	for _, entry := range l.entries {
		if entry.revision > since {
			jobs = append(jobs, entry.job)
		}
	}
	return since, jobs
}
