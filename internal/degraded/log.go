package degraded

// minCapacity is how many cancellations a CancellationLog holds at the least.
const minCapacity = 1024

// CancellationLog remembers the cancellations that a controller may have told of since it was started:
// those that its mirror has brought, and those of its own that the mirror has yet to bring.
// The zero value is ready, and holds the least.
//
// Guards against a memory of answers alone: a user was told by a controller that had not
// written the cancellation, or had got no answer to its write, and nobody listed it.
type CancellationLog struct {
	capacity int
	from     uint64 // all that are newer are there
	entries  []entry
	jobs     map[string]bool // of the entries
}

type entry struct {
	job      string
	revision uint64
}

// NewCancellationLog makes a log that holds at least so many cancellations. A round needs those that
// the mirror of any controller has yet to bring.
func NewCancellationLog(capacity int) CancellationLog { return CancellationLog{capacity: capacity} }

// Record adds a cancellation and the revision of its write. The same one may come twice, in
// any order with others.
func (l *CancellationLog) Record(job string, revision uint64) {
	if l.jobs[job] {
		return
	}
	if l.jobs == nil {
		l.jobs = map[string]bool{}
	}
	if len(l.entries) >= max(l.capacity, minCapacity) {
		oldest := l.entries[0]
		l.from = max(l.from, oldest.revision)
		delete(l.jobs, oldest.job)
		l.entries = l.entries[1:] // append moves the rest once the list is at its end
	}
	l.entries = append(l.entries, entry{job, revision})
	l.jobs[job] = true
}

// Since lists the cancellations that are newer than a revision; all of them, if the one
// returned is no newer than that.
func (l *CancellationLog) Since(revision uint64) (since uint64, jobs []string) {
	since = max(revision, l.from)
	for _, e := range l.entries {
		if e.revision > since {
			jobs = append(jobs, e.job)
		}
	}
	return since, jobs
}
