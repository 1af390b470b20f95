package degraded

// logMost is how many cancellations a Log holds; a round needs those of the last moments.
const logMost = 1024

// CancellationLog remembers the cancellations that a controller may have told of since it was started:
// those that its mirror has brought, and those of its own that the mirror has yet to bring.
// The zero value is ready.
//
// Guards against a memory of answers alone: a user was told by a controller that had not
// written the cancellation, or had got no answer to its write, and nobody listed it.
type CancellationLog struct {
	from    uint64 // all that are newer are there
	entries []entry
}

type entry struct {
	job      string
	revision uint64
}

// Record adds a cancellation and the revision of its write. The same one may come twice, in
// any order with others.
func (l *CancellationLog) Record(job string, revision uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].job == job {
			return
		}
	}
	if len(l.entries) >= logMost {
		l.from = max(l.from, l.entries[0].revision)
		l.entries = append(l.entries[:0], l.entries[1:]...)
	}
	l.entries = append(l.entries, entry{job, revision})
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
