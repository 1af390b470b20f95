package protocol

import (
	"encoding/binary"
	"errors"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is how deep values may nest; the protocol's nest four deep.
const maxDepth = 32

var (
	errTruncated = errors.New("the value is cut short")
	errTooDeep   = errors.New("the value nests too deep")
	errFormat    = errors.New("not MessagePack")
)

// validate checks that b is exactly one value, without reserving memory for it.
//
// Guards against a few bytes from outside that take more memory than the process may have: the
// decoder reserves memory by the lengths that a message claims. Here every claim is held against
// the bytes that are there.
func validate(b []byte) error {
	rest, err := skipValue(b, 0)
	if err == nil && len(rest) > 0 {
		err = ErrTrailing
	}
	return err
}

// skipValue walks over one value, which is nested so deep, and returns what follows it.
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

// skipLengthPrefixed walks over a value whose length stands before it.
func skipLengthPrefixed(code byte, b []byte, depth int) ([]byte, error) {
	width := lengthWidth(code)
	if width == 0 {
		return nil, errFormat // extensions are no part of the protocol
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

// lengthWidth is how many bytes the length of a value takes, 0 if the code is none of a value
// with a length.
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

// readLength reads a length of so many bytes, which may not be above what follows it: each item
// and each byte of a text takes one at the least.
func readLength(b []byte, width int) (int, []byte, error) {
	if len(b) < width {
		return 0, nil, errTruncated
	}
	length, rest := bigEndian(b[:width]), b[width:]
	if length > uint64(len(rest)) {
		return 0, nil, errTruncated
	}
	return int(length), rest, nil
}

// bigEndian is an unsigned number of one, two, four or eight bytes.
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
