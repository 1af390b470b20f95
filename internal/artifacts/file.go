package artifacts

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// WriteFile writes a file atomically and durably: readers, also those after a crash, find either the
// previous content or all of data. It creates missing directories. newParents is how many of the
// directories above the file's own may have to be created; they are synced as well, so that the new
// names in them are durable.
func WriteFile(path string, data []byte, newParents int) error {
	dir := filepath.Dir(path)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	temp, err := os.CreateTemp(dir, ".new-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temp.Name()) }() // fails after the rename, as the file has its final name then
	_, err = temp.Write(data)
	if err = errors.Join(err, temp.Sync(), temp.Close()); err != nil {
		return err
	}
	if err := os.Rename(temp.Name(), path); err != nil {
		return err
	}
	return syncDirs(dir, newParents)
}

// syncDirs makes the names in a directory durable, and those in the newParents directories above it.
func syncDirs(dir string, newParents int) error {
	err := syncDir(dir)
	for i := 0; err == nil && i < newParents; i++ {
		dir = filepath.Dir(dir)
		err = syncDir(dir)
		if errors.Is(err, fs.ErrPermission) {
			return nil // a directory that this process may not open was not created by it
		}
	}
	return err
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
