package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/mirror"
)

// mirrorHost implements mirror.Host with the core's clock, timers, log and effects.
type mirrorHost struct{ core *Core }

func newMirror(c *Core) *mirror.Mirror {
	return mirror.New(mirrorHost{c}, c.records, mirror.Options{
		MaxStaleness: c.intervals.maxStaleness, ReadInterval: c.intervals.readSpacing, PageInterval: c.intervals.pageSpacing,
	})
}

func (h mirrorHost) Now() time.Duration { return h.core.now.Monotonic }

func (h mirrorHost) After(delay time.Duration, run func()) { h.core.afterFunc(delay, run) }

func (h mirrorHost) Info(text string, args ...any) { h.core.logInfo(text, args...) }

func (h mirrorHost) RequestPage(afterKey string) { h.core.emit(LoadPage{After: afterKey}) }

func (h mirrorHost) RequestChanges(since uint64, hold time.Duration, barrier bool) {
	h.core.emit(Watch{Since: since, Hold: hold, Barrier: barrier})
}

// handlePage passes one page of a load to the mirror.
func (c *Core) handlePage(result LoadResult) { c.mirror.HandlePage(mirror.Page(result)) }

// handleChanges passes the response to a watch or a read barrier to the mirror.
func (c *Core) handleChanges(result WatchResult) {
	changes := mirror.Changes{Barrier: result.Barrier, SentAt: result.SentAt, Response: result.Response}
	switch result.Outcome {
	case WatchServed:
		changes.Outcome = mirror.Served
	case WatchCompacted:
		changes.Outcome = mirror.Compacted
	default:
		changes.Outcome, changes.Failure = mirror.Failed, result.Outcome.String()
	}
	c.mirror.HandleChanges(changes)
}
