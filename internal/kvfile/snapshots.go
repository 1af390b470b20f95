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
	// snapshotDirMode lets only the user that the service runs as enter the directory, as
	// fileMode does for the files.
	snapshotDirMode = 0o700
)

// SnapshotFileName returns the file name of a snapshot at a revision. Names sort by
// revision.
func SnapshotFileName(revision uint64) string {
	return fmt.Sprintf("%s%016d%s", snapshotPrefix, revision, snapshotSuffix)
}

// TakeSnapshot writes a copy of the file to a directory, which it creates if needed, reads
// the copy back and checks it, and only then renames it to its final name. It returns the
// snapshot's path and the state in it. Any goroutine may call it while another one uses the
// File.
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
		return "", nil, fmt.Errorf("verifying the new snapshot: %w", err)
	}
	path := filepath.Join(dir, SnapshotFileName(state.Revision))
	if err := os.Rename(temp.Name(), path); err != nil {
		return "", nil, err
	}
	return path, state, syncDir(dir)
}

// removeTemp removes a temporary file unless it has been renamed to its final name.
func removeTemp(path string) {
	_ = os.Remove(path) // nothing reads a temporary file that is left behind
}

// ListSnapshots returns the paths of the snapshots in a directory, newest first. It returns
// none if the directory is missing.
func ListSnapshots(dir string) []string {
	entries, _ := os.ReadDir(dir) // a directory that cannot be read counts as empty
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

// NewestValidSnapshot returns the path of the newest snapshot in a directory that passes
// Verify, and the state in it. The path is empty and the state nil if there is none.
func NewestValidSnapshot(dir string) (string, *kvstore.State) {
	for _, path := range ListSnapshots(dir) {
		if state, err := Verify(path); err == nil {
			return path, state
		}
	}
	return "", nil
}

// PruneSnapshots keeps the given number of the newest snapshots in a directory and removes
// the others. If some of these cannot be removed, it still removes the remaining ones and
// returns all errors.
func PruneSnapshots(dir string, keep int) error {
	var errs []error
	for i, path := range ListSnapshots(dir) {
		if i >= keep {
			errs = append(errs, os.Remove(path))
		}
	}
	return errors.Join(errs...)
}

// RestoreSnapshot verifies a snapshot, puts a copy of it in place of the state file at path,
// and returns the state in it. An existing state file is kept under another name in the same
// directory, which is returned as replaced. If the state file is in use, nothing changes and
// the error wraps ErrInUse.
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

// copyToTemp copies a file to a temporary file in a directory and returns the path of the
// copy.
func copyToTemp(path, dir string) (string, error) {
	in, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = in.Close() }() // nothing was written to it
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

// renameReplacedFile renames a state file to the first unused name for replaced files and
// returns its new path. The error wraps ErrInUse if another process has the file open.
func renameReplacedFile(path string) (string, error) {
	// A running service would continue to write to its open file after the rename, and those
	// writes would be missing from the restored file. Other errors of Verify don't matter:
	// a corrupt file may be replaced.
	if _, err := Verify(path); errors.Is(err, ErrInUse) {
		return "", err
	}
	for i := 1; ; i++ {
		replacedPath := fmt.Sprintf("%s.replaced-%d", path, i)
		if _, err := os.Lstat(replacedPath); errors.Is(err, fs.ErrNotExist) {
			return replacedPath, os.Rename(path, replacedPath)
		}
	}
}
