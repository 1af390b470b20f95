package protocol

import (
	"encoding/binary"
	"errors"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is the maximum nesting depth of a value. The protocol's messages nest four deep.
const maxDepth = 32

var (
	errTruncated = errors.New("the value is cut short")
	errTooDeep   = errors.New("the value nests too deep")
	errFormat    = errors.New("not MessagePack")
)

// validate checks that b is exactly one well-formed value, without allocating memory for it.
//
// It guards against a message of a few bytes that makes the process run out of memory: the decoder
// allocates memory according to the lengths that a message states. validate rejects every length that
// is greater than the number of bytes that follow it.
func validate(b []byte) error {
	trailing, err := skipValue(b, 0)
	if err == nil && len(trailing) > 0 {
		err = ErrTrailing
	}
	return err
}

// skipValue checks one value at the given nesting depth and returns the bytes that follow it.
func skipValue(b []byte, depth int) ([]byte, error) {
	if len(b) == 0 {
		return nil, errTruncated
	}
	if depth > maxDepth {
		return nil, errTooDeep
	}
	code, b := b[0], b[1:]
	switch {
	case msgpcode.IsFixedNum(code):
		return b, nil
	case msgpcode.IsFixedMap(code):
		return skipItems(b, 2*int(code&msgpcode.FixedMapMask), depth)
	case msgpcode.IsFixedArray(code):
		return skipItems(b, int(code&msgpcode.FixedArrayMask), depth)
	case msgpcode.IsFixedString(code):
		return skipBytes(b, int(code&msgpcode.FixedStrMask))
	}
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return b, nil
	case msgpcode.Uint8, msgpcode.Int8:
		return skipBytes(b, 1)
	case msgpcode.Uint16, msgpcode.Int16:
		return skipBytes(b, 2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return skipBytes(b, 4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return skipBytes(b, 8)
	}
	return skipLengthPrefixed(code, b, depth)
}

// skipLengthPrefixed checks a map, list, string or binary value that starts with its length.
func skipLengthPrefixed(code byte, b []byte, depth int) ([]byte, error) {
	width := lengthWidth(code)
	if width == 0 {
		return nil, errFormat // the protocol has no MessagePack extension types
	}
	length, b, err := readLength(b, width)
	if err != nil {
		return nil, err
	}
	switch code {
	case msgpcode.Map16, msgpcode.Map32:
		return skipItems(b, 2*length, depth)
	case msgpcode.Array16, msgpcode.Array32:
		return skipItems(b, length, depth)
	default:
		return skipBytes(b, length)
	}
}

// lengthWidth returns the number of bytes that hold the length of a value with this code, or 0 if
// such a value has no separate length.
func lengthWidth(code byte) int {
	switch code {
	case msgpcode.Bin8, msgpcode.Str8:
		return 1
	case msgpcode.Bin16, msgpcode.Str16, msgpcode.Array16, msgpcode.Map16:
		return 2
	case msgpcode.Bin32, msgpcode.Str32, msgpcode.Array32, msgpcode.Map32:
		return 4
	default:
		return 0
	}
}

// readLength reads a length of width bytes. It rejects a length greater than the number of bytes
// that follow, since each item of a list and each byte of a string takes at least one byte.
func readLength(b []byte, width int) (int, []byte, error) {
	if len(b) < width {
		return 0, nil, errTruncated
	}
	length, following := bigEndian(b[:width]), b[width:]
	if length > uint64(len(following)) {
		return 0, nil, errTruncated
	}
	return int(length), following, nil
}

// bigEndian decodes an unsigned integer of one, two, four or eight bytes.
func bigEndian(b []byte) uint64 {
	switch len(b) {
	case 1:
		return uint64(b[0])
	case 2:
		return uint64(binary.BigEndian.Uint16(b))
	case 4:
		return uint64(binary.BigEndian.Uint32(b))
	default:
		return binary.BigEndian.Uint64(b)
	}
}

func skipBytes(b []byte, count int) ([]byte, error) {
	if count > len(b) {
		return nil, errTruncated
	}
	return b[count:], nil
}

func skipItems(b []byte, count, depth int) ([]byte, error) {
	if count > len(b) {
		return nil, errTruncated
	}
	var err error
	for range count {
		if b, err = skipValue(b, depth+1); err != nil {
			return nil, err
		}
	}
	return b, nil
}
