package kvfile

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// BenchmarkRecovery measures how long Open takes on a file with the given number of keys,
// each with a value of about 400 bytes:
//
//	go test ./internal/kvfile -run XXX -bench Recovery -benchtime 1x
func BenchmarkRecovery(b *testing.B) {
	for _, keys := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			path := filepath.Join(b.TempDir(), "state.db")
			createLargeFile(b, path, keys)
			b.ResetTimer()
			for range b.N {
				file, state, err := Open(path)
				if err != nil || state.Len() != keys {
					b.Fatal(err)
				}
				b.StopTimer()
				b.ReportMetric(float64(file.Size())/(1<<20), "file-MB")
				if err := file.Close(); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
			}
		})
	}
}

func createLargeFile(b *testing.B, path string, keys int) {
	b.Helper()
	file, state, err := Open(path)
	if err != nil {
		b.Fatal(err)
	}
	file.db.NoSync = true // speeds up creating the file, which is not measured
	value := protocol.Encode(string(make([]byte, 400)))
	for written := 0; written < keys; {
		batch := state.Begin()
		for range min(5000, keys-written) {
			op := kvstore.Op{Put: fmt.Sprintf("c/job/job-%09d", written), Value: value}
			if _, err := batch.Commit(&kvstore.Txn{Then: []kvstore.Op{op}}); err != nil {
				b.Fatal(err)
			}
			written++
		}
		state = batch.Next()
		if err := file.Write(batch, state); err != nil {
			b.Fatal(err)
		}
	}
	if err := file.Close(); err != nil {
		b.Fatal(err)
	}
}
