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

// goldenDir contains a state file that commit 587869a wrote with the changes of
// writeGoldenChanges, and the file's records as text. Package kvfile is the same in commit
// 4eec271, which was in production at that time.
const goldenDir = "testdata/golden/587869a"

// writeGoldenChanges creates a file with a key that is changed, a key that is deleted, a key
// that is attached to a lease, and a lease that is revoked together with its key.
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

// dumpRecords returns all records of a file as text, one per line: the bucket's name, then
// the key and the value in hexadecimal.
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

// Guards against an unintended change of the file format, which would make existing state
// files and snapshots (copies of state files) unreadable: a file that an earlier version
// wrote must be readable, and the same changes must write the same records.
func TestStateFileMatchesGoldenFile(t *testing.T) {
	golden := filepath.Join(goldenDir, "state.db")
	wantRecords, err := os.ReadFile(filepath.Join(goldenDir, "records.txt"))
	if err != nil {
		t.Fatal(err)
	}
	if got := dumpRecords(t, golden); got != string(wantRecords) {
		t.Fatalf("the golden file has the records\n%swant\n%s", got, wantRecords)
	}
	path := filepath.Join(t.TempDir(), "state.db")
	writeGoldenChanges(t, path)
	if got := dumpRecords(t, path); got != string(wantRecords) {
		t.Errorf("the written records differ from the golden file's\n want\n%s got\n%s", wantRecords, got)
	}
	goldenState, err := Verify(golden)
	if err != nil {
		t.Fatalf("reading the golden file: %v", err)
	}
	newState, err := Verify(path)
	if err != nil {
		t.Fatal(err)
	}
	if want, got := dumpState(newState), dumpState(goldenState); got != want {
		t.Errorf("the golden file has the state\n%q, want\n%q", got, want)
	}
	if name := SnapshotFileName(1234); name != "snapshot-0000000000001234.db" {
		t.Errorf("snapshot at revision 1234 has the name %s", name)
	}
}
