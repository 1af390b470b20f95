package kvfile

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// BenchmarkRecovery opens files of so many keys of about 400 bytes:
//
//	go test ./internal/kvfile -run XXX -bench Recovery -benchtime 1x
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			path := filepath.Join(b.TempDir(), "state.db")
			v, s, err := Open(path)
			if err != nil {
				b.Fatal(err)
			}
			v.db.NoSync = true // the making is not measured
			value := protocol.Encode(string(make([]byte, 400)))
			for i := 0; i < n; {
				batch := s.Begin()
				for range min(5000, n-i) {
					batch.Commit(&kvstore.Txn{Then: []kvstore.Op{{Put: fmt.Sprintf("c/job/job-%09d", i), Value: value}}})
					i++
				}
				s = batch.Next()
				if err := v.Write(batch, s); err != nil {
					b.Fatal(err)
				}
			}
			if err := v.Close(); err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for range b.N {
				v, s, err := Open(path)
				if err != nil || s.Len() != n {
					b.Fatal(err)
				}
				b.StopTimer()
				b.ReportMetric(float64(v.Size())/(1<<20), "file-MB")
				v.Close()
				b.StartTimer()
			}
		})
	}
}
