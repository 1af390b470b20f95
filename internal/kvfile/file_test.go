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

// dumpState returns everything that a state holds as text.
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

// createFilledFile creates a file with some hundred keys, written in the given number of
// batches.
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

// Guards against a corrupt file that is read as valid with other contents. A file with a
// flipped bit, a wrong page or a missing end must be rejected with ErrCorrupt, or give the
// original state if the corruption hit unused bytes. The newest valid snapshot must then be
// found and restored.
func TestVerifyDetectsCorruptFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "state.db")
	// An incomplete new file, which a crash in an earlier first start left behind, must not
	// prevent creating the state file.
	if err := os.WriteFile(path+".new", []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	want := dumpState(createFilledFile(t, path, 40))
	file, state := mustOpen(t, path)
	if dumpState(state) != want {
		t.Fatal("the reopened file has another state than the one written")
	}
	snapshots := filepath.Join(dir, "snapshots")
	snapshot, _, err := file.TakeSnapshot(snapshots)
	if err != nil {
		t.Fatal(err)
	}
	mustClose(t, file)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	corruptPath := filepath.Join(dir, "bad.db")
	verifyCorruptCopies(t, intact, corruptPath, want)
	// Recovery from the snapshot must keep the corrupt file under another name.
	if newest, state := NewestValidSnapshot(snapshots); newest != snapshot || dumpState(state) != want {
		t.Fatalf("newest valid snapshot is %q, want the only snapshot with the original state", newest)
	}
	replaced, state, err := RestoreSnapshot(snapshot, corruptPath)
	if err != nil || replaced == "" || dumpState(state) != want {
		t.Fatalf("restoring the snapshot: replaced file %q, error %v, or another state than the original", replaced, err)
	}
}

// verifyCorruptCopies writes corrupt copies of an intact file to a path, one after another,
// and checks that Verify rejects each or returns the state in want.
func verifyCorruptCopies(t *testing.T, intact []byte, path, want string) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	rejected := 0
	verify := func(content []byte, format string, args ...any) {
		t.Helper()
		corruption := fmt.Sprintf(format, args...)
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		state, err := Verify(path)
		switch {
		case err == nil && dumpState(state) != want:
			t.Fatalf("%s: Verify accepted the file but returned another state", corruption)
		case err != nil && !errors.Is(err, ErrCorrupt):
			t.Fatalf("%s: got error %v, want ErrCorrupt", corruption, err)
		case err != nil:
			rejected++
		}
	}
	for range 150 {
		content := slices.Clone(intact)
		offset := random.IntN(len(content))
		content[offset] ^= 1 << random.IntN(8)
		verify(content, "bit flipped in byte %d", offset)
	}
	for range 40 { // a page write that was lost or went to the wrong place
		content := slices.Clone(intact)
		page, other := 4096*random.IntN(len(content)/4096), 4096*random.IntN(len(content)/4096)
		copy(content[page:page+4096], content[other:other+4096])
		verify(content, "page %d has the contents of page %d", page/4096, other/4096)
	}
	for _, n := range []int{0, 1, 4095, 4096, 9000, len(intact) / 2} {
		verify(intact[:n], "truncated to %d bytes", n)
	}
	if rejected < 10 {
		t.Fatalf("Verify rejected %d of the corrupt files, want at least 10", rejected)
	}
}

// A snapshot that is taken during writes must contain only whole transactions, and
// RestoreSnapshot must not replace a state file that is in use.
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
		_, snapshotState, err := file.TakeSnapshot(snapshots)
		if err != nil {
			t.Fatal(err)
		}
		a, _ := snapshotState.Get("a")
		b, _ := snapshotState.Get("b")
		if string(a.Value) != string(b.Value) {
			t.Fatalf("snapshot contains only a part of a transaction: a is %x and b is %x", a.Value, b.Value)
		}
	}
	close(stop)
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	if _, _, err := RestoreSnapshot(ListSnapshots(snapshots)[0], path); !errors.Is(err, ErrInUse) {
		t.Fatalf("restoring over a file in use: got error %v, want ErrInUse", err)
	}
	if err := PruneSnapshots(snapshots, 1); err != nil || len(ListSnapshots(snapshots)) != 1 {
		t.Fatalf("after pruning to 1 snapshot: snapshots %v, error %v", ListSnapshots(snapshots), err)
	}
}

// writePairs repeatedly writes one value to two keys in one transaction until stop is
// closed.
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
