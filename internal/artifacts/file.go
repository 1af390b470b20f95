package artifacts

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// WriteFile makes a file durable under its name, whole or not at all. newParents is how
// many of the directories above the file's own may be new; their names become durable
// too.
func WriteFile(path string, data []byte, newParents int) error {
	dir := filepath.Dir(path)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	temp, err := os.CreateTemp(dir, ".new-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temp.Name()) }() // it is gone once it has its name
	_, err = temp.Write(data)
	if err = errors.Join(err, temp.Sync(), temp.Close()); err != nil {
		return err
	}
	if err := os.Rename(temp.Name(), path); err != nil {
		return err
	}
	return syncDirs(dir, newParents)
}

// syncDirs makes the names in a directory durable, and in so many above it.
func syncDirs(dir string, newParents int) error {
	err := syncDir(dir)
	for i := 0; err == nil && i < newParents; i++ {
		dir = filepath.Dir(dir)
		err = syncDir(dir)
		if errors.Is(err, fs.ErrPermission) {
			return nil // not ours, and so not new
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
