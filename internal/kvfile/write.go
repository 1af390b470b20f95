package kvfile

import (
	bolt "go.etcd.io/bbolt"

	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Write makes a batch durable, all of it or nothing, and returns once the disk has confirmed
// it; next is the state after the batch. An error that wraps ErrNoSpace means that nothing
// was written and that a later write may succeed. After any other error it is unknown what
// is on disk, and the File must not be used any more.
func (f *File) Write(batch *kvstore.Batch, next *kvstore.State) error {
	w := batchWriter{metadata: f.metadata}
	err := f.db.Update(func(tx *bolt.Tx) error {
		w.tx = tx
		return w.write(batch, next)
	})
	if err != nil {
		return wrapNoSpace(err)
	}
	f.metadata = w.metadata
	return nil
}

// batchWriter writes one batch and updates the metadata to match.
type batchWriter struct {
	tx       *bolt.Tx
	metadata metadata
}

func (w *batchWriter) write(batch *kvstore.Batch, next *kvstore.State) error {
	w.metadata.Revision = next.Revision
	w.metadata.LastLeaseID = next.LastLeaseID
	w.metadata.CompactRevision = next.CompactRevision()
	for _, entry := range batch.EntryWrites {
		if err := w.writeEntry(entry); err != nil {
			return err
		}
	}
	for _, lease := range batch.LeaseWrites {
		if err := w.writeLease(lease); err != nil {
			return err
		}
	}
	if err := w.appendEvents(batch.Events()); err != nil {
		return err
	}
	if err := w.trimEvents(len(next.Events())); err != nil {
		return err
	}
	return writeMetadata(w.tx, w.metadata)
}

func (w *batchWriter) writeEntry(entry kvstore.EntryWrite) error {
	if entry.Delete {
		return w.removeCounted(entriesBucket, []byte(entry.Key))
	}
	return w.putCounted(entriesBucket, []byte(entry.Key), kvstore.EncodeEntry(entry.Entry))
}

func (w *batchWriter) writeLease(lease kvstore.LeaseWrite) error {
	if lease.TTLMillis == 0 {
		return w.removeCounted(leasesBucket, encodeUint64(lease.ID))
	}
	return w.putCounted(leasesBucket, encodeUint64(lease.ID), encodeUint64(uint64(lease.TTLMillis)))
}

func (w *batchWriter) appendEvents(events []protocol.WatchEvent) error {
	for _, event := range events {
		if _, err := w.put(eventsBucket, encodeUint64(w.metadata.EndEvent), protocol.Encode(event)); err != nil {
			return err
		}
		w.metadata.EndEvent++
	}
	return nil
}

// trimEvents removes the oldest events until only the given number is left.
func (w *batchWriter) trimEvents(kept int) error {
	for w.metadata.eventCount() > uint64(kept) {
		if _, err := w.remove(eventsBucket, encodeUint64(w.metadata.FirstEvent)); err != nil {
			return err
		}
		w.metadata.FirstEvent++
	}
	return nil
}

// putCounted writes a record of a bucket whose records count in metadata.RecordCount.
func (w *batchWriter) putCounted(bucket, key, value []byte) error {
	replaced, err := w.put(bucket, key, value)
	if !replaced {
		w.metadata.RecordCount++
	}
	return err
}

// removeCounted removes a record of a bucket whose records count in metadata.RecordCount.
func (w *batchWriter) removeCounted(bucket, key []byte) error {
	existed, err := w.remove(bucket, key)
	if existed {
		w.metadata.RecordCount--
	}
	return err
}

// put writes a record and reports whether it replaced one with the same key.
func (w *batchWriter) put(name, key, value []byte) (replaced bool, err error) {
	bucket := w.tx.Bucket(name)
	if old := bucket.Get(key); old != nil {
		w.metadata.ChecksumTotal -= storedChecksum(old)
		replaced = true
	}
	record, sum := encodeRecord(name, key, value)
	w.metadata.ChecksumTotal += sum
	return replaced, bucket.Put(key, record)
}

// remove removes a record and reports whether it existed.
func (w *batchWriter) remove(name, key []byte) (existed bool, err error) {
	bucket := w.tx.Bucket(name)
	old := bucket.Get(key)
	if old == nil {
		return false, nil
	}
	w.metadata.ChecksumTotal -= storedChecksum(old)
	return true, bucket.Delete(key)
}
