package kvserver

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds and precision of the recorded values. A longer duration counts as the upper bound.
const (
	maxRecordedBatch  = 1 << 20    // commands
	maxRecordedMicros = 60_000_000 // one minute
	significantDigits = 2          // accurate to one percent; takes a few kilobytes
)

// Metrics holds figures of a server. The counts and quantiles cover the time since its start.
type Metrics struct {
	Revision       uint64 `json:"revision"`
	Keys           int    `json:"keys"`
	Throttled      int64  `json:"refused"` // requests refused because of the rate limits
	Writes         int64  `json:"disk_writes"`
	BatchP50       int64  `json:"batch_p50"` // commands per write to the storage
	BatchMax       int64  `json:"batch_max"`
	WriteP50Micros int64  `json:"sync_p50_us"`
	WriteP99Micros int64  `json:"sync_p99_us"`
}

// writeRecorder records the batch sizes and durations of writes to the storage. Any goroutine may
// use it.
type writeRecorder struct {
	mu         sync.Mutex
	batchSizes *hdrhistogram.Histogram
	micros     *hdrhistogram.Histogram
}

func newWriteRecorder() *writeRecorder {
	return &writeRecorder{
		batchSizes: hdrhistogram.New(1, maxRecordedBatch, significantDigits),
		micros:     hdrhistogram.New(1, maxRecordedMicros, significantDigits),
	}
}

// record records a write with the given number of commands. A write that only expires leases has no
// commands and counts as one with a single command.
func (r *writeRecorder) record(commands int, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// RecordValue fails only for values out of bounds.
	_ = r.batchSizes.RecordValue(int64(max(commands, 1)))
	_ = r.micros.RecordValue(min(max(duration.Microseconds(), 1), maxRecordedMicros))
}

// Metrics returns the current metrics. Any goroutine may call it.
func (s *Server) Metrics() Metrics {
	state := s.State()
	r := s.writes
	r.mu.Lock()
	defer r.mu.Unlock()
	return Metrics{
		Revision:       state.Revision,
		Keys:           state.Len(),
		Throttled:      s.limiter.throttledCount(),
		Writes:         r.micros.TotalCount(),
		BatchP50:       r.batchSizes.ValueAtQuantile(50),
		BatchMax:       r.batchSizes.Max(),
		WriteP50Micros: r.micros.ValueAtQuantile(50),
		WriteP99Micros: r.micros.ValueAtQuantile(99),
	}
}
