package kvserver

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of what is recorded.
const (
	maxRecordedBatch  = 1 << 20    // commands
	maxRecordedMicros = 60_000_000 // a minute
	significantDigits = 2          // within a percent, in a few kilobytes
)

// Metrics are what a server counts from its start.
type Metrics struct {
	Revision       uint64 `json:"revision"`
	Keys           int    `json:"keys"`
	Throttled      int64  `json:"refused"` // requests above the limits
	Writes         int64  `json:"disk_writes"`
	BatchP50       int64  `json:"batch_p50"` // commands that share a write
	BatchMax       int64  `json:"batch_max"`
	WriteP50Micros int64  `json:"sync_p50_us"`
	WriteP99Micros int64  `json:"sync_p99_us"`
}

// writeRecorder records writes to the storage. Any goroutine may use it.
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

// record records a write of so many commands; leases that expired make one without any.
func (r *writeRecorder) record(commands int, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A value out of bounds is the only error.
	_ = r.batchSizes.RecordValue(int64(max(commands, 1)))
	_ = r.micros.RecordValue(min(max(duration.Microseconds(), 1), maxRecordedMicros))
}

// Metrics sums up what was served from the start.
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
