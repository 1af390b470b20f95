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

// format is raised when the file's layout changes.
const format = 1

// ErrDamaged is returned for a file whose content cannot be trusted.
var ErrDamaged = errors.New("the file is damaged")

// ErrFull is returned for a write that found no space; nothing of it was done.
var ErrFull = errors.New("no space is left for the state file")

// ErrInUse is returned when another process has the file open.
var ErrInUse = errors.New("another process has the state file open")

// meta sums up what else is in the file.
type meta struct {
	Format   int    `msgpack:"f"`
	Revision uint64 `msgpack:"r"`
	NextID   uint64 `msgpack:"n"`
	First    uint64 `msgpack:"o"`  // oldest revision that can be followed from
	LogFrom  uint64 `msgpack:"lf"` // number of the oldest change kept
	LogTo    uint64 `msgpack:"lt"` // number after the newest one
	Records  int    `msgpack:"c"`  // keys and leases
	// Sum is the sum of all records' checksums: a page of an earlier time whose
	// records are sound by themselves does not add up to it.
	Sum uint64 `msgpack:"s"`
}

// Vault is an open file. One goroutine may use it, snapshots aside.
type Vault struct {
	db   *bolt.DB
	meta meta
}

// seal puts a record's checksum, which covers its key, in front of its value.
func seal(bucket, key, value []byte) ([]byte, uint64) {
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

// unseal gives a record's value if its checksum holds.
func unseal(bucket, key, record []byte) ([]byte, uint64, error) {
	if len(record) < 8 {
		return nil, 0, fmt.Errorf("%w: record %q of %s is cut short", ErrDamaged, key, bucket)
	}
	sum := binary.BigEndian.Uint64(record)
	if checksum(bucket, key, record[8:]) != sum {
		return nil, 0, fmt.Errorf("%w: record %q of %s has a wrong checksum", ErrDamaged, key, bucket)
	}
	return record[8:], sum, nil
}

func num(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Open opens the file, or makes it, and reads and checks everything in it. The error
// wraps ErrDamaged if the file cannot be trusted; nothing is ever mended in silence.
func Open(path string) (v *Vault, s *kvstore.State, err error) {
	return open(path, false)
}

// Verify reads a file without changing it.
func Verify(path string) (*kvstore.State, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	v, s, err := open(path, true)
	if err != nil {
		return nil, err
	}
	return s, v.Close()
}

func open(path string, readOnly bool) (v *Vault, s *kvstore.State, err error) {
	switch st, err := os.Stat(path); {
	case err == nil && st.Size() == 0:
		return nil, nil, fmt.Errorf("%s: %w: it is empty", path, ErrDamaged)
	case errors.Is(err, os.ErrNotExist) && !readOnly:
		if err := create(path); err != nil {
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
			v, s, err = nil, nil, fmt.Errorf("%s: %w: %v", path, ErrDamaged, x)
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
		if full(err) {
			return nil, nil, fmt.Errorf("%s: %w: %w", path, ErrFull, err)
		}
		return nil, nil, fmt.Errorf("%s: %w: %w", path, ErrDamaged, err)
	}
	v = &Vault{db: db}
	if s, err = v.load(); err != nil {
		db.Close()
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return v, s, nil
}

func syncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Close closes the file.
func (v *Vault) Close() error { return v.db.Close() }

// create makes an empty file. It gets its name when it is whole: one that a crash left
// half made would be taken for a damaged one.
func create(path string) error {
	half := path + ".new"
	if err := os.Remove(half); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	db, err := bolt.Open(half, 0o600, &bolt.Options{Timeout: 200 * time.Millisecond, NoFreelistSync: true})
	if err != nil {
		if full(err) {
			return fmt.Errorf("%w: %w", ErrFull, err)
		}
		return err
	}
	v := &Vault{db: db}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{keysBucket, leasesBucket, logBucket, metaBucket} {
			if _, err := tx.CreateBucket(b); err != nil {
				return err
			}
		}
		return v.putMeta(tx, meta{Format: format})
	})
	if err = errors.Join(err, db.Close()); err != nil {
		return err
	}
	if err := os.Rename(half, path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path)) // the file's name must survive too
}

func (v *Vault) putMeta(tx *bolt.Tx, m meta) error {
	record, _ := seal(metaBucket, metaKey, protocol.Encode(m))
	return tx.Bucket(metaBucket).Put(metaKey, record)
}

// load reads everything and holds it against the sums.
func (v *Vault) load() (*kvstore.State, error) {
	keys, leases := map[string]kvstore.Entry{}, map[uint64]int64{}
	var events []protocol.WatchEvent
	var sum uint64
	records := 0
	err := v.db.View(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{keysBucket, leasesBucket, logBucket, metaBucket} {
			if tx.Bucket(name) == nil {
				return fmt.Errorf("%w: it has no bucket %s", ErrDamaged, name)
			}
		}
		value, _, err := unseal(metaBucket, metaKey, tx.Bucket(metaBucket).Get(metaKey))
		if err != nil {
			return err
		}
		if err := msgpack.Unmarshal(value, &v.meta); err != nil {
			return fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		if v.meta.Format != format {
			return fmt.Errorf("the file has format %d, this program reads %d", v.meta.Format, format)
		}
		each := func(bucket []byte, f func(k, v []byte) error) error {
			return tx.Bucket(bucket).ForEach(func(k, record []byte) error {
				value, s, err := unseal(bucket, k, record)
				if err != nil {
					return err
				}
				// Guards against a damaged key in a page above: a walk does not notice
				// it, but a write would put the key into another place once more.
				if found := tx.Bucket(bucket).Get(k); !bytes.Equal(found, record) {
					return fmt.Errorf("%w: record %q of %s is not where it is looked for", ErrDamaged, k, bucket)
				}
				sum += s
				if err := f(k, value); err != nil {
					return fmt.Errorf("%w: record %q of %s: %w", ErrDamaged, k, bucket, err)
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
	m := &v.meta
	if records != m.Records || uint64(len(events)) != m.LogTo-m.LogFrom || sum != m.Sum {
		return nil, fmt.Errorf("%w: %d records and %d changes do not add up to the %d and %d it should hold",
			ErrDamaged, records, len(events), m.Records, m.LogTo-m.LogFrom)
	}
	s, err := kvstore.Restore(m.Revision, m.NextID, m.First, keys, leases, events)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return s, nil
}

// Write makes a batch durable, whole or not at all, and returns after the disk has
// said so. An error that wraps ErrFull means that nothing was done and that the next
// write may succeed. After any other error nobody knows what the disk holds, and the
// vault must not be used any more.
func (v *Vault) Write(b *kvstore.Batch, next *kvstore.State) error {
	m := v.meta
	m.Revision, m.NextID, m.First = next.Revision, next.NextID, next.First()
	err := v.db.Update(func(tx *bolt.Tx) error {
		put := func(bucket, key, value []byte) error {
			bk := tx.Bucket(bucket)
			if old := bk.Get(key); old != nil {
				m.Sum -= binary.BigEndian.Uint64(old)
			} else if &bucket[0] != &logBucket[0] {
				m.Records++
			}
			record, s := seal(bucket, key, value)
			m.Sum += s
			return bk.Put(key, record)
		}
		drop := func(bucket, key []byte) error {
			bk := tx.Bucket(bucket)
			old := bk.Get(key)
			if old == nil {
				return nil
			}
			m.Sum -= binary.BigEndian.Uint64(old)
			if &bucket[0] != &logBucket[0] {
				m.Records--
			}
			return bk.Delete(key)
		}
		for _, w := range b.Writes {
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
		for _, l := range b.Leases {
			var err error
			if l.LifeMS == 0 {
				err = drop(leasesBucket, num(l.ID))
			} else {
				err = put(leasesBucket, num(l.ID), num(uint64(l.LifeMS)))
			}
			if err != nil {
				return err
			}
		}
		for _, e := range b.Events() {
			if err := put(logBucket, num(m.LogTo), protocol.Encode(e)); err != nil {
				return err
			}
			m.LogTo++
		}
		for m.LogTo-m.LogFrom > uint64(len(next.Log())) {
			if err := drop(logBucket, num(m.LogFrom)); err != nil {
				return err
			}
			m.LogFrom++
		}
		return v.putMeta(tx, m)
	})
	if err != nil {
		if full(err) {
			return fmt.Errorf("%w: %w", ErrFull, err)
		}
		return err
	}
	v.meta = m
	return nil
}

// full reports whether an error says that there is no space. Pages are written, and the
// file is made longer, before the page that makes them count; that one is as old as the
// file and needs no space.
func full(err error) bool {
	// bbolt hands the text alone of an error on, if it could not make the file longer.
	return strings.HasPrefix(err.Error(), "file resize error") || errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// Size is how long the file is in bytes.
func (v *Vault) Size() (n int64) {
	_ = v.db.View(func(tx *bolt.Tx) error { n = tx.Size(); return nil })
	return n
}
