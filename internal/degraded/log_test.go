package degraded

import (
	"fmt"
	"slices"
	"testing"
)

func TestCancellationLogReportsItsHorizon(t *testing.T) {
	var log CancellationLog
	for _, revision := range []uint64{7, 5, 6, 5} {
		log.Record(fmt.Sprint("job-", revision), revision)
	}
	if since, jobs := log.Since(5); since != 5 || !slices.Equal(jobs, []string{"job-7", "job-6"}) {
		t.Fatal(since, jobs)
	}
	for n := range uint64(leastMost - 1) {
		log.Record(fmt.Sprint("job-", 100+n), 100+n)
	}
	if since, jobs := log.Since(0); since != 7 || len(jobs) != leastMost-1 {
		t.Fatal(since, len(jobs))
	}
}

// A log that is made for more holds them, and still takes the same one once.
func TestCancellationLogHoldsWhatItIsMadeFor(t *testing.T) {
	for _, most := range []uint64{10, 8000, 16000} {
		l := NewCancellationLog(int(most))
		holds := max(most, leastMost)
		for range 2 {
			for r := range holds {
				l.Record(fmt.Sprint("job-", r), 100+r)
			}
		}
		if since, jobs := l.Since(0); since != 0 || uint64(len(jobs)) != holds {
			t.Fatalf("%d of %d since %d", len(jobs), holds, since)
		}
		l.Record("job-one-more", 100+holds)
		l.Record("job-0", 100) // forgotten by now: it counts anew
		if since, jobs := l.Since(0); since != 101 || uint64(len(jobs)) != holds-1 {
			t.Fatalf("%d of %d since %d", len(jobs), holds, since)
		}
	}
}

// BenchmarkRecord is a cancellation that a full log takes, and one that it has.
func BenchmarkRecord(b *testing.B) {
	for _, most := range []int{1024, 16384} {
		b.Run(fmt.Sprint(most), func(b *testing.B) {
			l := NewCancellationLog(most)
			names := make([]string, 4*most)
			for i := range names {
				names[i] = fmt.Sprint("job-", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.Record(names[i%len(names)], uint64(i))
				l.Record(names[i%len(names)], uint64(i))
			}
		})
	}
}
