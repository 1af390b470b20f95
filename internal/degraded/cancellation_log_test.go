package degraded

import (
	"fmt"
	"slices"
	"testing"
)

func TestCancellationLogReportsCompleteSince(t *testing.T) {
	var log CancellationLog
	for _, revision := range []uint64{7, 5, 6, 5} {
		log.Record(fmt.Sprint("job-", revision), revision)
	}
	if since, jobs := log.Since(5); since != 5 || !slices.Equal(jobs, []string{"job-7", "job-6"}) {
		t.Fatal(since, jobs)
	}
	for n := range uint64(minLogCapacity - 1) {
		log.Record(fmt.Sprint("job-", 100+n), 100+n)
	}
	if since, jobs := log.Since(0); since != 7 || len(jobs) != minLogCapacity-1 {
		t.Fatal(since, len(jobs))
	}
}

// A log holds its capacity or, if that is less, minLogCapacity, and records a cancellation only once.
func TestCancellationLogHoldsItsCapacity(t *testing.T) {
	for _, capacity := range []uint64{10, 8000, 16000} {
		t.Run(fmt.Sprint(capacity), func(t *testing.T) {
			log := NewCancellationLog(int(capacity))
			held := max(capacity, minLogCapacity)
			for range 2 {
				for n := range held {
					log.Record(fmt.Sprint("job-", n), 100+n)
				}
			}
			if since, jobs := log.Since(0); since != 0 || uint64(len(jobs)) != held {
				t.Fatalf("the full log lists %d jobs, want %d, since revision %d, want 0", len(jobs), held, since)
			}
			log.Record("job-one-more", 100+held)
			log.Record("job-0", 100) // was dropped, so it is recorded again
			if since, jobs := log.Since(0); since != 101 || uint64(len(jobs)) != held-1 {
				t.Fatalf("after two more records the log lists %d jobs, want one less than %d, since revision %d, want 101", len(jobs), held, since)
			}
		})
	}
}

// BenchmarkRecord records a cancellation in a log that is full, and then the same one again.
func BenchmarkRecord(b *testing.B) {
	for _, capacity := range []int{1024, 16384} {
		b.Run(fmt.Sprint(capacity), func(b *testing.B) {
			log := NewCancellationLog(capacity)
			names := make([]string, 4*capacity)
			for i := range names {
				names[i] = fmt.Sprint("job-", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				log.Record(names[i%len(names)], uint64(i))
				log.Record(names[i%len(names)], uint64(i))
			}
		})
	}
}
