// Package kvfile keeps a store.State in one file, on the embedded key-value library
// bbolt. A batch of changes is one of bbolt's transactions, so it is there whole or not
// at all; what bbolt does not look for, damaged pages, is found by a checksum in each
// record and a sum over all records.
package kvfile

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	bolt "go.etcd.io/bbolt"

	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

var (
	keysBucket   = []byte("keys")
	leasesBucket = []byte("leases")
	logBucket    = []byte("log")
	metaBucket   = []byte("meta")
	metaKey      = []byte("state")
)

// formatVersion is raised when the file's layout changes.
const formatVersion = 1

// ErrCorrupt is returned for a file whose content cannot be trusted.
var ErrCorrupt = errors.New("the file is damaged")

// ErrNoSpace is returned for a write that found no space; nothing of it was done.
var ErrNoSpace = errors.New("no space is left for the state file")

// ErrInUse is returned when another process has the file open.
var ErrInUse = errors.New("another process has the state file open")

// metadata sums up what else is in the file.
type metadata struct {
	Format          int    `msgpack:"f"`
	Revision        uint64 `msgpack:"r"`
	LastLeaseID     uint64 `msgpack:"n"`
	CompactRevision uint64 `msgpack:"o"`  // oldest revision that can be followed from
	FirstEvent      uint64 `msgpack:"lf"` // number of the oldest change kept
	EndEvent        uint64 `msgpack:"lt"` // number after the newest one
	RecordCount     int    `msgpack:"c"`  // keys and leases
	// ChecksumTotal is the sum of all records' checksums: a page of an earlier time whose
	// records are sound by themselves does not add up to it.
	ChecksumTotal uint64 `msgpack:"s"`
}

// File is an open file. One goroutine may use it, snapshots aside.
type File struct {
	db       *bolt.DB
	metadata metadata
}

// sealRecord puts a record's checksum, which covers its key, in front of its value.
func sealRecord(bucket, key, value []byte) ([]byte, uint64) {
	sum := checksum(bucket, key, value)
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(value)), sum), value...), sum
}

func checksum(bucket, key, value []byte) uint64 {
	h := xxhash.New()
	h.Write(bucket)
	h.Write([]byte{0})
	h.Write(key)
	h.Write([]byte{0})
	h.Write(value)
	return h.Sum64()
}

// unsealRecord gives a record's value if its checksum holds.
func unsealRecord(bucket, key, record []byte) ([]byte, uint64, error) {
	if len(record) < 8 {
		return nil, 0, fmt.Errorf("%w: record %q of %s is cut short", ErrCorrupt, key, bucket)
	}
	sum := binary.BigEndian.Uint64(record)
	if checksum(bucket, key, record[8:]) != sum {
		return nil, 0, fmt.Errorf("%w: record %q of %s has a wrong checksum", ErrCorrupt, key, bucket)
	}
	return record[8:], sum, nil
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Open opens the file, or makes it, and reads and checks everything in it. The error
// wraps ErrDamaged if the file cannot be trusted; nothing is ever mended in silence.
func Open(path string) (v *File, s *kvstore.State, err error) {
	return openFile(path, false)
}

// Verify reads a file without changing it.
func Verify(path string) (*kvstore.State, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	v, s, err := openFile(path, true)
	if err != nil {
		return nil, err
	}
	return s, v.Close()
}

func openFile(path string, readOnly bool) (v *File, s *kvstore.State, err error) {
	switch st, err := os.Stat(path); {
	case err == nil && st.Size() == 0:
		return nil, nil, fmt.Errorf("%s: %w: it is empty", path, ErrCorrupt)
	case errors.Is(err, os.ErrNotExist) && !readOnly:
		if err := createFile(path); err != nil {
			return nil, nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	// bbolt follows the page numbers that it reads. Guards against a damaged one that
	// leads outside the file: that is a panic or a fault of memory, not an error.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	var db *bolt.DB
	defer func() {
		if x := recover(); x != nil {
			if db != nil {
				db.Close()
			}
			v, s, err = nil, nil, fmt.Errorf("%s: %w: %v", path, ErrCorrupt, x)
		}
	}()
	// The list of free pages is made anew at each start. Guards against a damaged one,
	// from which pages in use would be written over; and it saves a page per write.
	db, err = bolt.Open(path, 0o600, &bolt.Options{Timeout: 200 * time.Millisecond, ReadOnly: readOnly, NoFreelistSync: true, FreelistType: bolt.FreelistMapType})
	switch {
	case errors.Is(err, bolt.ErrTimeout):
		return nil, nil, fmt.Errorf("%s: %w", path, ErrInUse)
	case errors.Is(err, os.ErrPermission):
		return nil, nil, err
	case err != nil:
		if isNoSpace(err) {
			return nil, nil, fmt.Errorf("%s: %w: %w", path, ErrNoSpace, err)
		}
		return nil, nil, fmt.Errorf("%s: %w: %w", path, ErrCorrupt, err)
	}
	v = &File{db: db}
	if s, err = v.load(); err != nil {
		db.Close()
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return v, s, nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Close closes the file.
func (v *File) Close() error { return v.db.Close() }

// createFile makes an empty file. It gets its name when it is whole: one that a crash left
// half made would be taken for a damaged one.
func createFile(path string) error {
	half := path + ".new"
	if err := os.Remove(half); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	db, err := bolt.Open(half, 0o600, &bolt.Options{Timeout: 200 * time.Millisecond, NoFreelistSync: true})
	if err != nil {
		if isNoSpace(err) {
			return fmt.Errorf("%w: %w", ErrNoSpace, err)
		}
		return err
	}
	v := &File{db: db}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{keysBucket, leasesBucket, logBucket, metaBucket} {
			if _, err := tx.CreateBucket(b); err != nil {
				return err
			}
		}
		return v.writeMetadata(tx, metadata{Format: formatVersion})
	})
	if err = errors.Join(err, db.Close()); err != nil {
		return err
	}
	if err := os.Rename(half, path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path)) // the file's name must survive too
}

func (v *File) writeMetadata(tx *bolt.Tx, m metadata) error {
	record, _ := sealRecord(metaBucket, metaKey, protocol.Encode(m))
	return tx.Bucket(metaBucket).Put(metaKey, record)
}

// load reads everything and holds it against the sums.
func (v *File) load() (*kvstore.State, error) {
	keys, leases := map[string]kvstore.Entry{}, map[uint64]int64{}
	var events []protocol.WatchEvent
	var sum uint64
	records := 0
	err := v.db.View(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{keysBucket, leasesBucket, logBucket, metaBucket} {
			if tx.Bucket(name) == nil {
				return fmt.Errorf("%w: it has no bucket %s", ErrCorrupt, name)
			}
		}
		value, _, err := unsealRecord(metaBucket, metaKey, tx.Bucket(metaBucket).Get(metaKey))
		if err != nil {
			return err
		}
		if err := msgpack.Unmarshal(value, &v.metadata); err != nil {
			return fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		if v.metadata.Format != formatVersion {
			return fmt.Errorf("the file has format %d, this program reads %d", v.metadata.Format, formatVersion)
		}
		each := func(bucket []byte, f func(k, v []byte) error) error {
			return tx.Bucket(bucket).ForEach(func(k, record []byte) error {
				value, s, err := unsealRecord(bucket, k, record)
				if err != nil {
					return err
				}
				// Guards against a damaged key in a page above: a walk does not notice
				// it, but a write would put the key into another place once more.
				if found := tx.Bucket(bucket).Get(k); !bytes.Equal(found, record) {
					return fmt.Errorf("%w: record %q of %s is not where it is looked for", ErrCorrupt, k, bucket)
				}
				sum += s
				if err := f(k, value); err != nil {
					return fmt.Errorf("%w: record %q of %s: %w", ErrCorrupt, k, bucket, err)
				}
				return nil
			})
		}
		if err := each(keysBucket, func(k, value []byte) error {
			records++
			e, err := kvstore.DecodeEntry(value)
			keys[string(k)] = e
			return err
		}); err != nil {
			return err
		}
		if err := each(leasesBucket, func(k, value []byte) error {
			records++
			if len(k) != 8 || len(value) != 8 {
				return errors.New("it has a wrong length")
			}
			leases[binary.BigEndian.Uint64(k)] = int64(binary.BigEndian.Uint64(value))
			return nil
		}); err != nil {
			return err
		}
		return each(logBucket, func(_, value []byte) error {
			var e protocol.WatchEvent
			err := msgpack.Unmarshal(value, &e)
			events = append(events, e)
			return err
		})
	})
	if err != nil {
		return nil, err
	}
	m := &v.metadata
	if records != m.RecordCount || uint64(len(events)) != m.EndEvent-m.FirstEvent || sum != m.ChecksumTotal {
		return nil, fmt.Errorf("%w: %d records and %d changes do not add up to the %d and %d it should hold",
			ErrCorrupt, records, len(events), m.RecordCount, m.EndEvent-m.FirstEvent)
	}
	s, err := kvstore.Restore(m.Revision, m.LastLeaseID, m.CompactRevision, keys, leases, events)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return s, nil
}

// Write makes a batch durable, whole or not at all, and returns after the disk has
// said so. An error that wraps ErrFull means that nothing was done and that the next
// write may succeed. After any other error nobody knows what the disk holds, and the
// vault must not be used any more.
func (v *File) Write(b *kvstore.Batch, next *kvstore.State) error {
	m := v.metadata
	m.Revision, m.LastLeaseID, m.CompactRevision = next.Revision, next.LastLeaseID, next.CompactRevision()
	err := v.db.Update(func(tx *bolt.Tx) error {
		put := func(bucket, key, value []byte) error {
			bk := tx.Bucket(bucket)
			if old := bk.Get(key); old != nil {
				m.ChecksumTotal -= binary.BigEndian.Uint64(old)
			} else if &bucket[0] != &logBucket[0] {
				m.RecordCount++
			}
			record, s := sealRecord(bucket, key, value)
			m.ChecksumTotal += s
			return bk.Put(key, record)
		}
		drop := func(bucket, key []byte) error {
			bk := tx.Bucket(bucket)
			old := bk.Get(key)
			if old == nil {
				return nil
			}
			m.ChecksumTotal -= binary.BigEndian.Uint64(old)
			if &bucket[0] != &logBucket[0] {
				m.RecordCount--
			}
			return bk.Delete(key)
		}
		for _, w := range b.EntryWrites {
			var err error
			if w.Delete {
				err = drop(keysBucket, []byte(w.Key))
			} else {
				err = put(keysBucket, []byte(w.Key), kvstore.EncodeEntry(w.Entry))
			}
			if err != nil {
				return err
			}
		}
		for _, l := range b.LeaseWrites {
			var err error
			if l.TTLMillis == 0 {
				err = drop(leasesBucket, encodeUint64(l.ID))
			} else {
				err = put(leasesBucket, encodeUint64(l.ID), encodeUint64(uint64(l.TTLMillis)))
			}
			if err != nil {
				return err
			}
		}
		for _, e := range b.Events() {
			if err := put(logBucket, encodeUint64(m.EndEvent), protocol.Encode(e)); err != nil {
				return err
			}
			m.EndEvent++
		}
		for m.EndEvent-m.FirstEvent > uint64(len(next.Events())) {
			if err := drop(logBucket, encodeUint64(m.FirstEvent)); err != nil {
				return err
			}
			m.FirstEvent++
		}
		return v.writeMetadata(tx, m)
	})
	if err != nil {
		if isNoSpace(err) {
			return fmt.Errorf("%w: %w", ErrNoSpace, err)
		}
		return err
	}
	v.metadata = m
	return nil
}

// isNoSpace reports whether an error says that there is no space. Pages are written, and the
// file is made longer, before the page that makes them count; that one is as old as the
// file and needs no space.
func isNoSpace(err error) bool {
	// bbolt hands the text alone of an error on, if it could not make the file longer.
	return strings.HasPrefix(err.Error(), "file resize error") || errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// Size is how long the file is in bytes.
func (v *File) Size() (n int64) {
	_ = v.db.View(func(tx *bolt.Tx) error { n = tx.Size(); return nil })
	return n
}
