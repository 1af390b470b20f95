package kvfile

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// formatVersion is incremented when the file's layout changes.
const formatVersion = 1

// The file's buckets. Their names and metadataKey are part of the file format.
var (
	entriesBucket  = []byte("keys")
	leasesBucket   = []byte("leases")
	eventsBucket   = []byte("log")
	metadataBucket = []byte("meta")
	buckets        = [][]byte{entriesBucket, leasesBucket, eventsBucket, metadataBucket}

	metadataKey = []byte("state") // the only key in metadataBucket
)

// metadata describes the other records of the file, so that missing, surplus and outdated
// records are detected when the file is read.
type metadata struct {
	Format          int    `msgpack:"f"`
	Revision        uint64 `msgpack:"r"`
	LastLeaseID     uint64 `msgpack:"n"`
	CompactRevision uint64 `msgpack:"o"`
	FirstEvent      uint64 `msgpack:"lf"` // number of the oldest retained event
	EndEvent        uint64 `msgpack:"lt"` // number of the newest event plus one
	RecordCount     int    `msgpack:"c"`  // number of entries and leases
	// ChecksumTotal is the sum of the checksums of all records except the metadata. It
	// detects an outdated version of a page, whose records match their own checksums.
	ChecksumTotal uint64 `msgpack:"s"`
}

func (m *metadata) eventCount() uint64 { return m.EndEvent - m.FirstEvent }

func writeMetadata(tx *bolt.Tx, m metadata) error {
	record, _ := encodeRecord(metadataBucket, metadataKey, protocol.Encode(m))
	return tx.Bucket(metadataBucket).Put(metadataKey, record)
}

// checksumBytes is the length of the checksum that each record begins with.
const checksumBytes = 8

// encodeRecord returns a record, which is a checksum followed by the value, and the
// checksum. The checksum covers the bucket's name, the key and the value.
func encodeRecord(bucket, key, value []byte) ([]byte, uint64) {
	sum := checksum(bucket, key, value)
	record := make([]byte, 0, checksumBytes+len(value))
	record = binary.BigEndian.AppendUint64(record, sum)
	return append(record, value...), sum
}

// decodeRecord returns a record's value and checksum. The error wraps ErrCorrupt if they do
// not match.
func decodeRecord(bucket, key, record []byte) ([]byte, uint64, error) {
	if len(record) < checksumBytes {
		return nil, 0, fmt.Errorf("%w: record %q of bucket %s is shorter than a checksum", ErrCorrupt, key, bucket)
	}
	sum, value := storedChecksum(record), record[checksumBytes:]
	if checksum(bucket, key, value) != sum {
		return nil, 0, fmt.Errorf("%w: record %q of bucket %s does not match its checksum", ErrCorrupt, key, bucket)
	}
	return value, sum, nil
}

// storedChecksum returns the checksum that a record begins with.
func storedChecksum(record []byte) uint64 { return binary.BigEndian.Uint64(record) }

func checksum(bucket, key, value []byte) uint64 {
	separator := []byte{0}
	digest := xxhash.New()
	for _, part := range [][]byte{bucket, separator, key, separator, value} {
		_, _ = digest.Write(part) // writing to a digest never fails
	}
	return digest.Sum64()
}

// uint64Bytes is the length of a number that is encoded as a key or value.
const uint64Bytes = 8

// encodeUint64 encodes a number as a key or value, in big-endian order so that keys sort by
// number.
func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func decodeUint64(encoded []byte) uint64 { return binary.BigEndian.Uint64(encoded) }
