// Package kvfile keeps a kvstore.State in one file, on the embedded key-value library
// bbolt.
//
// It owns the file's layout, its checksums, and the snapshots of it in a folder. It does
// not know what the records mean, when to write, or when to take a snapshot.
//
// Invariants:
//   - A batch is one transaction of bbolt: it is in the file whole or not at all.
//   - What bbolt does not look for, corrupt pages, is found by a checksum in each record
//     and by a total over all of them. A file that does not match is refused as a whole,
//     nothing is ever mended in silence.
//   - A file or snapshot gets its name only when it is whole.
package kvfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"github.com/chalkhub/chalkhub/internal/kvstore"
)

const (
	// fileMode lets only the service's own user read the file: values are users' jobs.
	fileMode = 0o600
	// lockTimeout is how long to wait for another process to close the file: long enough
	// for one that is just ending, short enough to be told at once of one that runs.
	lockTimeout = 200 * time.Millisecond
	// newFileSuffix is added to the name of a file while it is made.
	newFileSuffix = ".new"
)

var (
	// ErrCorrupt is returned for a file whose content cannot be trusted.
	ErrCorrupt = errors.New("the file is damaged")
	// ErrNoSpace is returned for a write that found no space; nothing of it was done.
	ErrNoSpace = errors.New("no space is left for the state file")
	// ErrInUse is returned when another process has the file open.
	ErrInUse = errors.New("another process has the state file open")
)

// UnsupportedFormatError is returned for a sound file that another version of the program
// has written.
type UnsupportedFormatError struct{ Version int }

func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("the file has format %d, this program reads %d", e.Version, formatVersion)
}

// File is an open state file. One goroutine may use it, but for TakeSnapshot, which any
// may call.
type File struct {
	db       *bolt.DB
	metadata metadata
}

// Open opens a state file, or makes an empty one, and reads and checks everything in it.
// The error wraps ErrCorrupt, ErrNoSpace or ErrInUse, or is an UnsupportedFormatError, if
// that is the cause.
func Open(path string) (*File, *kvstore.State, error) {
	switch info, err := os.Stat(path); {
	case err == nil && info.Size() == 0:
		return nil, nil, emptyFileError(path)
	case errors.Is(err, fs.ErrNotExist):
		if err := createFile(path); err != nil {
			return nil, nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	return openFile(path, false)
}

// Verify reads a state file or snapshot and checks everything in it without changing it.
// Its errors are those of Open.
func Verify(path string) (*kvstore.State, error) {
	switch info, err := os.Stat(path); {
	case err != nil:
		return nil, err
	case info.Size() == 0:
		return nil, emptyFileError(path)
	}
	file, state, err := openFile(path, true)
	if err != nil {
		return nil, err
	}
	return state, file.Close()
}

// emptyFileError refuses an empty file, which bbolt would take for a new one.
func emptyFileError(path string) error {
	return fmt.Errorf("%s: %w: it is empty", path, ErrCorrupt)
}

// openFile opens and reads a file that is there.
func openFile(path string, readOnly bool) (file *File, state *kvstore.State, err error) {
	// bbolt follows the page numbers that it reads. Guards against a corrupt one that
	// leads outside the file: that is a panic or a fault of memory, not an error.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if reason := recover(); reason != nil {
			if file != nil {
				_ = file.Close() // it was only read, and the error is told below
			}
			file, state, err = nil, nil, fmt.Errorf("%s: %w: %v", path, ErrCorrupt, reason)
		}
	}()
	db, err := openDatabase(path, readOnly)
	if err != nil {
		return nil, nil, err
	}
	file = &File{db: db}
	if state, err = file.load(); err != nil {
		_ = file.Close() // it was only read, and the error is told below
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return file, state, nil
}

func openDatabase(path string, readOnly bool) (*bolt.DB, error) {
	db, err := bolt.Open(path, fileMode, &bolt.Options{
		Timeout:  lockTimeout,
		ReadOnly: readOnly,
		// The list of free pages is made anew at each start. Guards against a corrupt one,
		// from which pages in use would be written over; and it saves a page per write.
		NoFreelistSync: true,
		FreelistType:   bolt.FreelistMapType,
	})
	switch {
	case err == nil:
		return db, nil
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, fmt.Errorf("%s: %w", path, ErrInUse)
	case errors.Is(err, fs.ErrPermission):
		return nil, err
	case isNoSpace(err):
		return nil, fmt.Errorf("%s: %w: %w", path, ErrNoSpace, err)
	default:
		return nil, fmt.Errorf("%s: %w: %w", path, ErrCorrupt, err)
	}
}

// createFile makes an empty state file. It gets its name when it is whole: one that a
// crash left half made would be taken for a corrupt one.
func createFile(path string) error {
	newPath := path + newFileSuffix
	if err := os.Remove(newPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	db, err := bolt.Open(newPath, fileMode, &bolt.Options{Timeout: lockTimeout, NoFreelistSync: true})
	if err != nil {
		return asNoSpace(err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, bucket := range buckets {
			if _, err := tx.CreateBucket(bucket); err != nil {
				return err
			}
		}
		return writeMetadata(tx, metadata{Format: formatVersion})
	})
	if err = errors.Join(err, db.Close()); err != nil {
		return err
	}
	if err := os.Rename(newPath, path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path)) // the file's name must survive too
}

// Close closes the file.
func (f *File) Close() error { return f.db.Close() }

// Size is how long the file is in bytes.
func (f *File) Size() int64 {
	var size int64
	// The function returns no error, and a file that is closed has no size.
	_ = f.db.View(func(tx *bolt.Tx) error {
		size = tx.Size()
		return nil
	})
	return size
}

// asNoSpace wraps an error in ErrNoSpace if that is what it says.
func asNoSpace(err error) error {
	if isNoSpace(err) {
		return fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	return err
}

// isNoSpace reports whether an error says that there is no space. Pages are written, and
// the file is made longer, before the page that makes them count; that one is as old as
// the file and needs no space.
func isNoSpace(err error) bool {
	// bbolt hands on the text alone of an error if it could not make the file longer.
	return strings.HasPrefix(err.Error(), "file resize error") ||
		errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// syncDir makes the names in a folder durable.
func syncDir(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
