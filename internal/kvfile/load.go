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

// load reads everything in the file, checks it against the metadata, and keeps the metadata
// for later writes.
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

// loader collects a file's contents while it is read.
type loader struct {
	tx            *bolt.Tx
	metadata      metadata
	contents      kvstore.Contents
	checksumTotal uint64
	// recordCount counts the entries and leases that were read. The sizes of the maps in
	// contents can be smaller, because a corrupt tree may yield a record twice.
	recordCount int
}

func (l *loader) readAll(tx *bolt.Tx) error {
	l.tx = tx
	for _, bucket := range buckets {
		if tx.Bucket(bucket) == nil {
			return fmt.Errorf("%w: bucket %s is missing", ErrCorrupt, bucket)
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

// readRecords checks all records of a bucket and passes their keys and values to add.
func (l *loader) readRecords(name []byte, add func(key, value []byte) error) error {
	bucket := l.tx.Bucket(name)
	return bucket.ForEach(func(key, record []byte) error {
		value, sum, err := decodeRecord(name, key, record)
		if err != nil {
			return err
		}
		// If a key in a branch page of the tree is corrupt, iteration still reaches the
		// record, but a lookup misses it, and a write would insert its key a second time in
		// another place. So each record is also looked up by its key.
		if found := bucket.Get(key); !bytes.Equal(found, record) {
			return fmt.Errorf("%w: record %q of bucket %s is found by iteration but not by lookup", ErrCorrupt, key, name)
		}
		l.checksumTotal += sum
		if err := add(key, value); err != nil {
			return fmt.Errorf("%w: decoding record %q of bucket %s: %w", ErrCorrupt, key, name, err)
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
		return errors.New("the key and the value must have 8 bytes each")
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
		return fmt.Errorf("%w: found %d records and %d events, want %d and %d with a matching checksum total",
			ErrCorrupt, records, events, wantRecords, wantEvents)
	}
	return nil
}
