package kvfile

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// goldenDir holds a state file that commit 587869a made by the changes of goldenChanges,
// and its records as text. The commit in production then (4eec271) has the same kvfile.
const goldenDir = "testdata/golden/587869a"

// writeGoldenChanges makes a file with keys, keys of a lease, a lease that ended, a deleted
// key, and a change to each.
func writeGoldenChanges(t *testing.T, path string) {
	t.Helper()
	file, state := mustOpen(t, path)
	defer mustClose(t, file)
	write := func(change func(batch *kvstore.Batch)) {
		t.Helper()
		batch := state.Begin()
		change(batch)
		state = batch.Next()
		if err := file.Write(batch, state); err != nil {
			t.Fatal(err)
		}
	}
	put := func(key, value string, leaseID uint64) kvstore.Op {
		return kvstore.Op{Put: key, Value: protocol.Encode(value), LeaseID: leaseID}
	}
	write(func(batch *kvstore.Batch) {
		mustCommit(t, batch, put("c/plain", "first", 0))
		mustCommit(t, batch, put("c/gone", "soon", 0))
	})
	var revoked uint64
	write(func(batch *kvstore.Batch) {
		kept := mustGrant(t, batch, 5000)
		revoked = mustGrant(t, batch, 6000)
		mustCommit(t, batch, put("c/held", "by a lease", kept))
		mustCommit(t, batch, put("c/ends", "with its lease", revoked))
	})
	write(func(batch *kvstore.Batch) {
		mustCommit(t, batch, put("c/plain", "second", 0))
		mustCommit(t, batch, kvstore.Op{Delete: "c/gone"})
		if err := batch.RevokeLease(revoked); err != nil {
			t.Fatal(err)
		}
	})
}

// dumpRecords is every record of a file as text, a line each: bucket, key, bytes.
func dumpRecords(t *testing.T, path string) string {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := db.Close(); err != nil {
			t.Error(err)
		}
	}()
	var b strings.Builder
	err = db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bolt.Bucket) error {
			return bucket.ForEach(func(key, value []byte) error {
				_, err := fmt.Fprintf(&b, "%s %s %s\n", name, hex.EncodeToString(key), hex.EncodeToString(value))
				return err
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestStateFileMatchesGoldenFile pins the state file, and so the snapshots, which are copies of it: one
// that an earlier version made is read, and the same changes make the same records.
func TestStateFileMatchesGoldenFile(t *testing.T) {
	golden := filepath.Join(goldenDir, "state.db")
	text, err := os.ReadFile(filepath.Join(goldenDir, "records.txt"))
	if err != nil {
		t.Fatal(err)
	}
	if got := dumpRecords(t, golden); got != string(text) {
		t.Fatalf("the golden file holds\n%snot\n%s", got, text)
	}
	path := filepath.Join(t.TempDir(), "state.db")
	writeGoldenChanges(t, path)
	if got := dumpRecords(t, path); got != string(text) {
		t.Errorf("the file is written in another way\n was\n%s now\n%s", text, got)
	}
	old, err := Verify(golden)
	if err != nil {
		t.Fatalf("the golden file is not read: %v", err)
	}
	made, err := Verify(path)
	if err != nil {
		t.Fatal(err)
	}
	if want, got := dumpState(made), dumpState(old); got != want {
		t.Errorf("the golden file is read as\n%q, not\n%q", got, want)
	}
	if name := SnapshotFileName(1234); name != "snapshot-0000000000001234.db" {
		t.Errorf("a snapshot is named %s", name)
	}
}
