package kvfile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	bolt "go.etcd.io/bbolt"

	"github.com/chalkhub/chalkhub/internal/kvstore"
)

const (
	snapshotPrefix = "snapshot-"
	snapshotSuffix = ".db"
)

// SnapshotFileName is the file of a snapshot at a revision; names sort by revision.
func SnapshotFileName(revision uint64) string {
	return fmt.Sprintf("%s%016d%s", snapshotPrefix, revision, snapshotSuffix)
}

// TakeSnapshot writes a copy into a folder while the vault goes on being used, reads it
// back, and only then gives it its name. It may be called from any goroutine. It
// returns the file's path and the state in it.
func (v *File) TakeSnapshot(dir string) (string, *kvstore.State, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", nil, err
	}
	f, err := os.CreateTemp(dir, ".taking-*")
	if err != nil {
		return "", nil, err
	}
	defer os.Remove(f.Name())
	err = v.db.View(func(tx *bolt.Tx) error {
		_, err := tx.WriteTo(f)
		return err
	})
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return "", nil, err
	}
	s, err := Verify(f.Name())
	if err != nil {
		return "", nil, fmt.Errorf("the snapshot does not read back: %w", err)
	}
	path := filepath.Join(dir, SnapshotFileName(s.Revision))
	if err := os.Rename(f.Name(), path); err != nil {
		return "", nil, err
	}
	return path, s, syncDir(dir)
}

// ListSnapshots are the paths of a folder's snapshots, newest first.
func ListSnapshots(dir string) []string {
	entries, _ := os.ReadDir(dir) // a folder that is not there has none
	var out []string
	for _, e := range entries {
		if n := e.Name(); strings.HasPrefix(n, snapshotPrefix) && strings.HasSuffix(n, snapshotSuffix) {
			out = append(out, filepath.Join(dir, n))
		}
	}
	slices.Sort(out)
	slices.Reverse(out)
	return out
}

// NewestValidSnapshot is the newest snapshot of a folder that reads back whole, "" if none does.
func NewestValidSnapshot(dir string) (string, *kvstore.State) {
	for _, p := range ListSnapshots(dir) {
		if s, err := Verify(p); err == nil {
			return p, s
		}
	}
	return "", nil
}

// PruneSnapshots removes all but the newest snapshots of a folder.
func PruneSnapshots(dir string, keep int) error {
	var errs []error
	for i, p := range ListSnapshots(dir) {
		if i >= keep {
			errs = append(errs, os.Remove(p))
		}
	}
	return errors.Join(errs...)
}

// RestoreSnapshot puts a snapshot in the place of the state file. A file that is there is kept
// beside it under another name; its path is returned.
func RestoreSnapshot(snapshot, path string) (kept string, s *kvstore.State, err error) {
	if s, err = Verify(snapshot); err != nil {
		return "", nil, err
	}
	in, err := os.Open(snapshot)
	if err != nil {
		return "", nil, err
	}
	defer in.Close()
	dir := filepath.Dir(path)
	out, err := os.CreateTemp(dir, ".restoring-*")
	if err != nil {
		return "", nil, err
	}
	defer os.Remove(out.Name())
	_, err = io.Copy(out, in)
	if err = errors.Join(err, out.Sync(), out.Close()); err != nil {
		return "", nil, err
	}
	if _, err := os.Stat(path); err == nil {
		if _, err := Verify(path); errors.Is(err, ErrInUse) {
			return "", nil, err // a service that runs would go on with the file it has
		}
		for i := 1; ; i++ {
			kept = fmt.Sprintf("%s.replaced-%d", path, i)
			if _, err := os.Lstat(kept); os.IsNotExist(err) {
				break
			}
		}
		if err := os.Rename(path, kept); err != nil {
			return "", nil, err
		}
	}
	if err := os.Rename(out.Name(), path); err != nil {
		return kept, nil, err
	}
	return kept, s, syncDir(dir)
}
