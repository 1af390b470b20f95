package kvfile

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// formatVersion is raised when the file's layout changes.
const formatVersion = 1

// The file's buckets. Their names, and metadataKey, are on disk.
var (
	entriesBucket  = []byte("keys")
	leasesBucket   = []byte("leases")
	eventsBucket   = []byte("log")
	metadataBucket = []byte("meta")
	buckets        = [][]byte{entriesBucket, leasesBucket, eventsBucket, metadataBucket}

	metadataKey = []byte("state") // the only one of its bucket
)

// metadata sums up what else is in the file.
type metadata struct {
	Format          int    `msgpack:"f"`
	Revision        uint64 `msgpack:"r"`
	LastLeaseID     uint64 `msgpack:"n"`
	CompactRevision uint64 `msgpack:"o"`
	FirstEvent      uint64 `msgpack:"lf"` // number of the oldest event that is kept
	EndEvent        uint64 `msgpack:"lt"` // number after the newest one
	RecordCount     int    `msgpack:"c"`  // entries and leases
	// ChecksumTotal is the sum of the checksums of all records but this one: a page of an
	// earlier time, whose records are sound by themselves, does not add up to it.
	ChecksumTotal uint64 `msgpack:"s"`
}

func (m *metadata) eventCount() uint64 { return m.EndEvent - m.FirstEvent }

func writeMetadata(tx *bolt.Tx, m metadata) error {
	record, _ := encodeRecord(metadataBucket, metadataKey, protocol.Encode(m))
	return tx.Bucket(metadataBucket).Put(metadataKey, record)
}

// checksumBytes is the length of the checksum that each record begins with.
const checksumBytes = 8

// encodeRecord puts a record's checksum, which covers its bucket and key, in front of its
// value. It returns the record and the checksum.
func encodeRecord(bucket, key, value []byte) ([]byte, uint64) {
	sum := checksum(bucket, key, value)
	record := make([]byte, 0, checksumBytes+len(value))
	record = binary.BigEndian.AppendUint64(record, sum)
	return append(record, value...), sum
}

// decodeRecord returns a record's value and checksum, or ErrCorrupt if they do not match.
func decodeRecord(bucket, key, record []byte) ([]byte, uint64, error) {
	if len(record) < checksumBytes {
		return nil, 0, fmt.Errorf("%w: record %q of %s is cut short", ErrCorrupt, key, bucket)
	}
	sum, value := storedChecksum(record), record[checksumBytes:]
	if checksum(bucket, key, value) != sum {
		return nil, 0, fmt.Errorf("%w: record %q of %s has a wrong checksum", ErrCorrupt, key, bucket)
	}
	return value, sum, nil
}

// storedChecksum is the checksum that a record begins with.
func storedChecksum(record []byte) uint64 { return binary.BigEndian.Uint64(record) }

func checksum(bucket, key, value []byte) uint64 {
	separator := []byte{0}
	digest := xxhash.New()
	for _, part := range [][]byte{bucket, separator, key, separator, value} {
		_, _ = digest.Write(part) // a digest takes everything
	}
	return digest.Sum64()
}

// uint64Bytes is the length of a number as a key or value.
const uint64Bytes = 8

// encodeUint64 turns a number into a key or value; keys sort as their numbers do.
func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func decodeUint64(encoded []byte) uint64 { return binary.BigEndian.Uint64(encoded) }
