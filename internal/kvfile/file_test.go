package kvfile

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// dumpState is everything a state holds, as text.
func dumpState(state *kvstore.State) string {
	var text strings.Builder
	fmt.Fprintln(&text, state.Revision, state.LastLeaseID, state.CompactRevision(), state.LeaseTTLs())
	for key, entry := range state.All() {
		text.WriteString(key)
		text.Write(kvstore.EncodeEntry(entry))
	}
	for _, event := range state.Events() {
		text.Write(protocol.Encode(event))
	}
	return text.String()
}

func mustOpen(t *testing.T, path string) (*File, *kvstore.State) {
	t.Helper()
	file, state, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return file, state
}

func mustClose(t *testing.T, file *File) {
	t.Helper()
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

func mustCommit(t *testing.T, batch *kvstore.Batch, ops ...kvstore.Op) {
	t.Helper()
	if result, err := batch.Commit(&kvstore.Txn{Then: ops}); err != nil || !result.Committed() {
		t.Fatalf("commit: %+v, %v", result, err)
	}
}

func mustGrant(t *testing.T, batch *kvstore.Batch, ttlMillis int64) uint64 {
	t.Helper()
	leaseID, err := batch.GrantLease(ttlMillis)
	if err != nil {
		t.Fatal(err)
	}
	return leaseID
}

// createFilledFile makes a file with some hundred keys, changed in so many batches.
func createFilledFile(t *testing.T, path string, batches int) *kvstore.State {
	t.Helper()
	file, state := mustOpen(t, path)
	defer mustClose(t, file)
	random := rand.New(rand.NewPCG(7, 7))
	for i := range batches {
		batch := state.Begin()
		leaseID := mustGrant(t, batch, 5000)
		for range 20 {
			key := fmt.Sprintf("c/%03d", random.IntN(300))
			mustCommit(t, batch, kvstore.Op{Put: key, Value: protocol.Encode(strings.Repeat("x", random.IntN(300))), LeaseID: leaseID})
		}
		if i%3 == 0 {
			if err := batch.RevokeLease(leaseID); err != nil {
				t.Fatal(err)
			}
		}
		next := batch.Next()
		if err := file.Write(batch, next); err != nil {
			t.Fatal(err)
		}
		state = next
	}
	return state
}

// A file that was changed anywhere is refused, or the change was in a place that holds
// nothing; in no case does it read as something else. The error leads to the snapshot.
func TestVerifyDetectsCorruptFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "state.db")
	// What a crash left of an earlier first start is no trouble.
	if err := os.WriteFile(path+".new", []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	want := dumpState(createFilledFile(t, path, 40))
	file, state := mustOpen(t, path)
	if dumpState(state) != want {
		t.Fatal("the file does not read back")
	}
	snapshots := filepath.Join(dir, "snapshots")
	snapshot, _, err := file.TakeSnapshot(snapshots)
	if err != nil {
		t.Fatal(err)
	}
	mustClose(t, file)
	sound, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	corruptPath := filepath.Join(dir, "bad.db")
	verifyCorruptCopies(t, sound, corruptPath, want)
	// The way back, with the corrupt file kept.
	if newest, state := NewestValidSnapshot(snapshots); newest != snapshot || dumpState(state) != want {
		t.Fatalf("newest valid snapshot: %q", newest)
	}
	replaced, state, err := RestoreSnapshot(snapshot, corruptPath)
	if err != nil || replaced == "" || dumpState(state) != want {
		t.Fatalf("restore: %q, %v", replaced, err)
	}
}

// verifyCorruptCopies writes corrupt copies of a sound file to a path and verifies them.
func verifyCorruptCopies(t *testing.T, sound []byte, path, want string) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	refused := 0
	verify := func(content []byte, format string, args ...any) {
		t.Helper()
		what := fmt.Sprintf(format, args...)
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		state, err := Verify(path)
		switch {
		case err == nil && dumpState(state) != want:
			t.Fatalf("%s: read as something else", what)
		case err != nil && !errors.Is(err, ErrCorrupt):
			t.Fatalf("%s: %v", what, err)
		case err != nil:
			refused++
		}
	}
	for range 150 {
		content := slices.Clone(sound)
		offset := random.IntN(len(content))
		content[offset] ^= 1 << random.IntN(8)
		verify(content, "bit flipped at %d", offset)
	}
	for range 40 { // a page that was never written, or is another page's
		content := slices.Clone(sound)
		page, other := 4096*random.IntN(len(content)/4096), 4096*random.IntN(len(content)/4096)
		copy(content[page:page+4096], content[other:other+4096])
		verify(content, "page %d holds %d", page/4096, other/4096)
	}
	for _, n := range []int{0, 1, 4095, 4096, 9000, len(sound) / 2} {
		verify(sound[:n], "cut to %d bytes", n)
	}
	if refused < 10 {
		t.Fatalf("only %d of the corrupt files were refused", refused)
	}
}

// A snapshot is whole while writes go on, and the file of a service that runs is not
// replaced under it.
func TestSnapshotsAreConsistentDuringWrites(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "state.db")
	file, state := mustOpen(t, path)
	defer mustClose(t, file)
	stop := make(chan struct{})
	stopped := make(chan error, 1)
	go func() { stopped <- writePairs(file, state, stop) }()
	snapshots := filepath.Join(dir, "snaps")
	for range 5 {
		_, taken, err := file.TakeSnapshot(snapshots)
		if err != nil {
			t.Fatal(err)
		}
		a, _ := taken.Get("a")
		b, _ := taken.Get("b")
		if string(a.Value) != string(b.Value) {
			t.Fatalf("half a transaction in a snapshot: %x and %x", a.Value, b.Value)
		}
	}
	close(stop)
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	if _, _, err := RestoreSnapshot(ListSnapshots(snapshots)[0], path); !errors.Is(err, ErrInUse) {
		t.Fatalf("restored under a running service: %v", err)
	}
	if err := PruneSnapshots(snapshots, 1); err != nil || len(ListSnapshots(snapshots)) != 1 {
		t.Fatalf("%v are left, %v", ListSnapshots(snapshots), err)
	}
}

// writePairs writes to two keys, which always have the same value, until it is stopped.
func writePairs(file *File, state *kvstore.State, stop <-chan struct{}) error {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return nil
		default:
		}
		value := protocol.Encode(i)
		batch := state.Begin()
		if _, err := batch.Commit(&kvstore.Txn{Then: []kvstore.Op{{Put: "a", Value: value}, {Put: "b", Value: value}}}); err != nil {
			return err
		}
		state = batch.Next()
		if err := file.Write(batch, state); err != nil {
			return err
		}
	}
}
