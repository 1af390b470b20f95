package kvfile

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	bolt "go.etcd.io/bbolt"

	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// load reads everything in the file and checks it against the metadata.
func (f *File) load() (*kvstore.State, error) {
	l := loader{contents: kvstore.Contents{Entries: map[string]kvstore.Entry{}, LeaseTTLs: map[uint64]int64{}}}
	if err := f.db.View(l.readAll); err != nil {
		return nil, err
	}
	if err := l.checkTotals(); err != nil {
		return nil, err
	}
	state, err := kvstore.Restore(l.contents)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	f.metadata = l.metadata
	return state, nil
}

// loader gathers a file's contents while it is read.
type loader struct {
	tx            *bolt.Tx
	metadata      metadata
	contents      kvstore.Contents
	checksumTotal uint64
	// recordCount counts what was read, not what is in the maps of contents: a corrupt tree
	// may lead to a record twice.
	recordCount int
}

func (l *loader) readAll(tx *bolt.Tx) error {
	l.tx = tx
	for _, bucket := range buckets {
		if tx.Bucket(bucket) == nil {
			return fmt.Errorf("%w: it has no bucket %s", ErrCorrupt, bucket)
		}
	}
	if err := l.readMetadata(); err != nil {
		return err
	}
	if err := l.readRecords(entriesBucket, l.addEntry); err != nil {
		return err
	}
	if err := l.readRecords(leasesBucket, l.addLease); err != nil {
		return err
	}
	return l.readRecords(eventsBucket, l.addEvent)
}

func (l *loader) readMetadata() error {
	record := l.tx.Bucket(metadataBucket).Get(metadataKey)
	value, _, err := decodeRecord(metadataBucket, metadataKey, record)
	if err != nil {
		return err
	}
	if err := msgpack.Unmarshal(value, &l.metadata); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if l.metadata.Format != formatVersion {
		return &UnsupportedFormatError{Version: l.metadata.Format}
	}
	l.contents.Revision = l.metadata.Revision
	l.contents.LastLeaseID = l.metadata.LastLeaseID
	l.contents.CompactRevision = l.metadata.CompactRevision
	return nil
}

// readRecords checks all records of a bucket and hands their keys and values to add.
func (l *loader) readRecords(name []byte, add func(key, value []byte) error) error {
	bucket := l.tx.Bucket(name)
	return bucket.ForEach(func(key, record []byte) error {
		value, sum, err := decodeRecord(name, key, record)
		if err != nil {
			return err
		}
		// Guards against a corrupt key in a page above: a walk does not notice it, but a
		// write would put the key into another place once more.
		if found := bucket.Get(key); !bytes.Equal(found, record) {
			return fmt.Errorf("%w: record %q of %s is not where it is looked for", ErrCorrupt, key, name)
		}
		l.checksumTotal += sum
		if err := add(key, value); err != nil {
			return fmt.Errorf("%w: record %q of %s: %w", ErrCorrupt, key, name, err)
		}
		return nil
	})
}

func (l *loader) addEntry(key, value []byte) error {
	l.recordCount++
	entry, err := kvstore.DecodeEntry(value)
	l.contents.Entries[string(key)] = entry
	return err
}

func (l *loader) addLease(key, value []byte) error {
	l.recordCount++
	if len(key) != uint64Bytes || len(value) != uint64Bytes {
		return errors.New("it has a wrong length")
	}
	l.contents.LeaseTTLs[decodeUint64(key)] = int64(decodeUint64(value))
	return nil
}

func (l *loader) addEvent(_, value []byte) error {
	var event protocol.WatchEvent
	err := msgpack.Unmarshal(value, &event)
	l.contents.Events = append(l.contents.Events, event)
	return err
}

func (l *loader) checkTotals() error {
	records, events := l.recordCount, len(l.contents.Events)
	wantRecords, wantEvents := l.metadata.RecordCount, l.metadata.eventCount()
	if records != wantRecords || uint64(events) != wantEvents || l.checksumTotal != l.metadata.ChecksumTotal {
		return fmt.Errorf("%w: %d records and %d changes do not add up to the %d and %d it should hold",
			ErrCorrupt, records, events, wantRecords, wantEvents)
	}
	return nil
}
