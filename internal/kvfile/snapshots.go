package kvfile

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
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
	// snapshotDirMode is fileMode with the right to enter.
	snapshotDirMode = 0o700
)

// SnapshotFileName is the name of a snapshot at a revision; names sort by revision.
func SnapshotFileName(revision uint64) string {
	return fmt.Sprintf("%s%016d%s", snapshotPrefix, revision, snapshotSuffix)
}

// TakeSnapshot writes a copy into a folder while the File goes on being used, reads it
// back, and only then gives it its name. It returns the snapshot's path and the state in
// it. Any goroutine may call it.
func (f *File) TakeSnapshot(dir string) (string, *kvstore.State, error) {
	if err := os.MkdirAll(dir, snapshotDirMode); err != nil {
		return "", nil, err
	}
	temp, err := os.CreateTemp(dir, ".taking-*")
	if err != nil {
		return "", nil, err
	}
	defer removeTemp(temp.Name())
	err = f.db.View(func(tx *bolt.Tx) error {
		_, err := tx.WriteTo(temp)
		return err
	})
	if err = errors.Join(err, temp.Sync(), temp.Close()); err != nil {
		return "", nil, err
	}
	state, err := Verify(temp.Name())
	if err != nil {
		return "", nil, fmt.Errorf("the snapshot does not read back: %w", err)
	}
	path := filepath.Join(dir, SnapshotFileName(state.Revision))
	if err := os.Rename(temp.Name(), path); err != nil {
		return "", nil, err
	}
	return path, state, syncDir(dir)
}

// removeTemp removes a temporary file unless it has got its name.
func removeTemp(path string) {
	_ = os.Remove(path) // what stays behind is never taken for anything
}

// ListSnapshots are the paths of a folder's snapshots, newest first.
func ListSnapshots(dir string) []string {
	entries, _ := os.ReadDir(dir) // a folder that is not there has none
	var paths []string
	for _, entry := range entries {
		if name := entry.Name(); strings.HasPrefix(name, snapshotPrefix) && strings.HasSuffix(name, snapshotSuffix) {
			paths = append(paths, filepath.Join(dir, name))
		}
	}
	slices.Sort(paths)
	slices.Reverse(paths)
	return paths
}

// NewestValidSnapshot is the newest snapshot of a folder that reads back whole, and the
// state in it; the path is empty if there is none.
func NewestValidSnapshot(dir string) (string, *kvstore.State) {
	for _, path := range ListSnapshots(dir) {
		if state, err := Verify(path); err == nil {
			return path, state
		}
	}
	return "", nil
}

// PruneSnapshots removes all but so many of the newest snapshots of a folder.
func PruneSnapshots(dir string, keep int) error {
	var errs []error
	for i, path := range ListSnapshots(dir) {
		if i >= keep {
			errs = append(errs, os.Remove(path))
		}
	}
	return errors.Join(errs...)
}

// RestoreSnapshot puts a snapshot in the place of a state file, and returns the state in
// it. A file that is there is kept beside it under another name, replaced, unless it is in
// use: the error then wraps ErrInUse.
func RestoreSnapshot(snapshot, path string) (replaced string, state *kvstore.State, err error) {
	if state, err = Verify(snapshot); err != nil {
		return "", nil, err
	}
	dir := filepath.Dir(path)
	temp, err := copyToTemp(snapshot, dir)
	if err != nil {
		return "", nil, err
	}
	defer removeTemp(temp)
	if _, err := os.Stat(path); err == nil {
		if replaced, err = renameReplacedFile(path); err != nil {
			return "", nil, err
		}
	}
	if err := os.Rename(temp, path); err != nil {
		return replaced, nil, err
	}
	return replaced, state, syncDir(dir)
}

// copyToTemp copies a file to a temporary one in a folder and returns that one's path.
func copyToTemp(path, dir string) (string, error) {
	in, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = in.Close() }() // it was only read
	out, err := os.CreateTemp(dir, ".restoring-*")
	if err != nil {
		return "", err
	}
	_, err = io.Copy(out, in)
	if err = errors.Join(err, out.Sync(), out.Close()); err != nil {
		removeTemp(out.Name())
		return "", err
	}
	return out.Name(), nil
}

// renameReplacedFile gives a state file that is not in use another name and returns that.
func renameReplacedFile(path string) (string, error) {
	// A service that runs would go on with the file it has, whatever its name.
	if _, err := Verify(path); errors.Is(err, ErrInUse) {
		return "", err
	}
	for i := 1; ; i++ {
		free := fmt.Sprintf("%s.replaced-%d", path, i)
		if _, err := os.Lstat(free); errors.Is(err, fs.ErrNotExist) {
			return free, os.Rename(path, free)
		}
	}
}
