package kvfile

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// dumpState is everything a state holds, as text.
func dumpState(s *kvstore.State) string {
	var b strings.Builder
	fmt.Fprintln(&b, s.Revision, s.LastLeaseID, s.CompactRevision(), s.LeaseTTLs())
	s.Each(func(k string, e kvstore.Entry) bool { b.WriteString(k); b.Write(kvstore.EncodeEntry(e)); return true })
	for _, e := range s.Events() {
		b.Write(protocol.Encode(e))
	}
	return b.String()
}

// createFilledFile makes a file with some hundred keys, changed over and over.
func createFilledFile(t *testing.T, path string, turns int) *kvstore.State {
	t.Helper()
	v, s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer v.Close()
	r := rand.New(rand.NewPCG(7, 7))
	for i := range turns {
		b := s.Begin()
		id := b.GrantLease(5000)
		for range 20 {
			key := fmt.Sprintf("c/%03d", r.IntN(300))
			b.Commit(&kvstore.Txn{Then: []kvstore.Op{{Put: key, Value: protocol.Encode(strings.Repeat("x", r.IntN(300))), LeaseID: id}}})
		}
		if i%3 == 0 {
			b.RevokeLease(id)
		}
		next := b.Next()
		if err := v.Write(b, next); err != nil {
			t.Fatal(err)
		}
		s = next
	}
	return s
}

// A file that was changed anywhere is refused, or the change was in a place that holds
// nothing; in no case does it read as something else. The error leads to the snapshot.
func TestCorruptionIsDetected(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "state.db")
	// What a crash left of an earlier first start is no trouble.
	if err := os.WriteFile(path+".new", []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	want := dumpState(createFilledFile(t, path, 40))
	v, s, err := Open(path)
	if err != nil || dumpState(s) != want {
		t.Fatalf("the file does not read back: %v", err)
	}
	snap, _, err := v.TakeSnapshot(filepath.Join(dir, "snapshots"))
	if err != nil {
		t.Fatal(err)
	}
	v.Close()
	sound, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(dir, "bad.db")
	r := rand.New(rand.NewPCG(1, 2))
	refused := 0
	try := func(what string, b []byte) {
		t.Helper()
		if err := os.WriteFile(bad, b, 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := Verify(bad)
		switch {
		case err == nil && dumpState(got) != want:
			t.Fatalf("%s: read as something else", what)
		case err != nil && !errors.Is(err, ErrCorrupt):
			t.Fatalf("%s: %v", what, err)
		case err != nil:
			refused++
		}
	}
	for range 150 {
		b := append([]byte(nil), sound...)
		at := r.IntN(len(b))
		b[at] ^= 1 << r.IntN(8)
		try(fmt.Sprintf("bit flipped at %d", at), b)
	}
	for range 40 { // a page that was never written, or is another page's
		b := append([]byte(nil), sound...)
		page, other := 4096*r.IntN(len(b)/4096), 4096*r.IntN(len(b)/4096)
		copy(b[page:page+4096], b[other:other+4096])
		try(fmt.Sprintf("page %d holds %d", page/4096, other/4096), b)
	}
	for _, n := range []int{0, 1, 4095, 4096, 9000, len(sound) / 2} {
		try(fmt.Sprintf("cut to %d bytes", n), sound[:n])
	}
	if refused < 10 {
		t.Fatalf("only %d of the damaged files were refused", refused)
	}
	// The way back, with the bad file kept.
	if got, s := NewestValidSnapshot(filepath.Join(dir, "snapshots")); got != snap || dumpState(s) != want {
		t.Fatalf("last good snapshot: %q", got)
	}
	kept, s, err := RestoreSnapshot(snap, bad)
	if err != nil || kept == "" || dumpState(s) != want {
		t.Fatalf("restore: %q, %v", kept, err)
	}
}

// A snapshot is whole while writes go on, and the file of a service that runs is not
// replaced under it.
func TestSnapshotsWhileWriting(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "state.db")
	v, s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer v.Close()
	stop := make(chan struct{})
	done := make(chan error, 1)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				done <- nil
				return
			default:
			}
			b := s.Begin()
			// Both keys always have the same value.
			val := protocol.Encode(i)
			b.Commit(&kvstore.Txn{Then: []kvstore.Op{{Put: "a", Value: val}, {Put: "b", Value: val}}})
			s = b.Next()
			if err := v.Write(b, s); err != nil {
				done <- err
				return
			}
		}
	}()
	snaps := filepath.Join(dir, "snaps")
	for range 5 {
		_, got, err := v.TakeSnapshot(snaps)
		if err != nil {
			t.Fatal(err)
		}
		a, _ := got.Get("a")
		b, _ := got.Get("b")
		if string(a.Value) != string(b.Value) {
			t.Fatalf("half a transaction in a snapshot: %x and %x", a.Value, b.Value)
		}
	}
	close(stop)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if _, _, err := RestoreSnapshot(ListSnapshots(snaps)[0], path); !errors.Is(err, ErrInUse) {
		t.Fatalf("restored under a running service: %v", err)
	}
	if err := PruneSnapshots(snaps, 1); err != nil || len(ListSnapshots(snaps)) != 1 {
		t.Fatalf("%v are left, %v", ListSnapshots(snaps), err)
	}
}
