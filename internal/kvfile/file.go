// Package kvfile persists a kvstore.State in one file with the embedded key-value library
// bbolt.
//
// It owns the file's layout, its checksums, and the snapshots of the file in a directory.
// It does not know what the records mean, when to write, or when to take a snapshot.
//
// Invariants:
//   - A batch is one bbolt transaction: the file holds all of it or nothing of it.
//   - bbolt does not check its pages for corruption. A checksum in each record and a total
//     of all these checksums detect it. A file that does not match them is rejected as a
//     whole; nothing is ever repaired silently.
//   - A file or snapshot gets its final name only when it is complete.
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
	// fileMode lets only the user that the service runs as read the file, because its
	// values contain users' jobs.
	fileMode = 0o600
	// lockTimeout is how long Open waits for another process to release the file's lock. It
	// is long enough for a process that is just exiting, and short enough to report a
	// running one without a noticeable delay.
	lockTimeout = 200 * time.Millisecond
	// newFileSuffix is appended to the name of a state file while it is being created.
	newFileSuffix = ".new"
)

var (
	// ErrCorrupt is returned for a file whose contents fail a check.
	ErrCorrupt = errors.New("the file is damaged")
	// ErrNoSpace is returned for a write that failed for lack of disk space. Nothing of it
	// was applied.
	ErrNoSpace = errors.New("no space is left for the state file")
	// ErrInUse is returned when another process has the file open.
	ErrInUse = errors.New("another process has the state file open")
)

// UnsupportedFormatError is returned for a file that is intact but has the format of another
// version of the program.
type UnsupportedFormatError struct{ Version int }

func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("the file has format version %d, but this program reads only version %d", e.Version, formatVersion)
}

// File is an open state file. It must not be used by several goroutines at once, except
// for TakeSnapshot, which any goroutine may call.
type File struct {
	db       *bolt.DB
	metadata metadata
}

// Open opens a state file, creating one without keys if there is none, and reads and checks
// everything in it. The caller must close the File. The error wraps ErrCorrupt, ErrNoSpace,
// ErrInUse or an UnsupportedFormatError if that is the cause.
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

// Verify reads a state file or snapshot, checks everything in it without changing it, and
// returns the state in it. It returns the same errors as Open, and fails if there is no such
// file.
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

// emptyFileError rejects a file of 0 bytes. bbolt would initialize it as a new database, and
// the loss of the former contents would go unnoticed.
func emptyFileError(path string) error {
	return fmt.Errorf("%s: %w: it is empty", path, ErrCorrupt)
}

// openFile opens and reads an existing file.
func openFile(path string, readOnly bool) (file *File, state *kvstore.State, err error) {
	// bbolt follows page numbers in the file without checking them. A corrupt one that points
	// outside the file leads to a panic or a memory fault instead of an error; both are
	// turned into ErrCorrupt here.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if reason := recover(); reason != nil {
			if file != nil {
				_ = file.Close() // nothing was written, and the cause is returned below
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
		_ = file.Close() // nothing was written, and the cause is returned below
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return file, state, nil
}

func openDatabase(path string, readOnly bool) (*bolt.DB, error) {
	db, err := bolt.Open(path, fileMode, &bolt.Options{
		Timeout:  lockTimeout,
		ReadOnly: readOnly,
		// The list of free pages is not stored but rebuilt whenever the file is opened. A
		// corrupt stored list would let writes overwrite pages that are in use. Not storing
		// it also saves one page per write.
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

// createFile creates a state file without keys. It writes the file under a temporary name
// and renames it when it is complete, because a file that a crash left incomplete under the
// final name would be rejected as corrupt at the next start.
func createFile(path string) error {
	newPath := path + newFileSuffix
	if err := os.Remove(newPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	db, err := bolt.Open(newPath, fileMode, &bolt.Options{Timeout: lockTimeout, NoFreelistSync: true})
	if err != nil {
		return wrapNoSpace(err)
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
	return syncDir(filepath.Dir(path)) // makes the rename durable
}

// Close closes the file and releases its lock. It waits for a snapshot that is being taken.
func (f *File) Close() error { return f.db.Close() }

// Size returns the size of the file in bytes, or 0 if it is closed.
func (f *File) Size() int64 {
	var size int64
	// View can fail only if the file is closed, as the function returns no error. The size
	// is then 0.
	_ = f.db.View(func(tx *bolt.Tx) error {
		size = tx.Size()
		return nil
	})
	return size
}

// wrapNoSpace wraps an error in ErrNoSpace if it reports a lack of disk space, and returns
// other errors unchanged.
func wrapNoSpace(err error) error {
	if isNoSpace(err) {
		return fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	return err
}

// isNoSpace reports whether an error of bbolt says that disk space ran out. A transaction
// that failed with such an error has no effect: bbolt grows the file and writes the data
// pages before it writes the meta page that makes them valid. The meta page has existed
// since the file was created, so writing it needs no more space.
func isNoSpace(err error) bool {
	// If bbolt cannot grow the file, its error carries only the text of the cause.
	return strings.HasPrefix(err.Error(), "file resize error") ||
		errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// syncDir makes creations and renames of files in a directory durable.
func syncDir(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
