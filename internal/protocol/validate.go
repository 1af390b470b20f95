package protocol

import (
	"encoding/binary"
	"errors"
)

// maxDepth is how deep values may nest; the protocol's nest four deep.
const maxDepth = 32

var (
	errShort   = errors.New("the value is cut short")
	errTooDeep = errors.New("the value nests too deep")
	errFormat  = errors.New("not MessagePack")
)

// skipValue walks over one value and returns what follows it. The library reserves
// memory by the lengths a message claims, so a few bytes from outside could
// take more than the process may have; here every claim is held against the
// bytes that are there.
func skipValue(b []byte, depth int) ([]byte, error) {
	if len(b) == 0 {
		return nil, errShort
	}
	if depth > maxDepth {
		return nil, errTooDeep
	}
	c := b[0]
	b = b[1:]
	size := func(width int) (int, error) {
		if len(b) < width {
			return 0, errShort
		}
		var n uint64
		switch width {
		case 1:
			n = uint64(b[0])
		case 2:
			n = uint64(binary.BigEndian.Uint16(b))
		default:
			n = uint64(binary.BigEndian.Uint32(b))
		}
		b = b[width:]
		if n > uint64(len(b)) {
			return 0, errShort
		}
		return int(n), nil
	}
	skip := func(n int, err error) ([]byte, error) {
		if err != nil {
			return nil, err
		}
		if n > len(b) {
			return nil, errShort
		}
		return b[n:], nil
	}
	items := func(n int, err error) ([]byte, error) {
		if err == nil && n > len(b) {
			err = errShort
		}
		for i := 0; i < n && err == nil; i++ {
			b, err = skipValue(b, depth+1)
		}
		return b, err
	}
	pairs := func(n int, err error) ([]byte, error) { return items(2*n, err) }
	switch {
	case c <= 0x7f, c >= 0xe0, c == 0xc0, c == 0xc2, c == 0xc3:
		return b, nil
	case c <= 0x8f:
		return pairs(int(c&0x0f), nil)
	case c <= 0x9f:
		return items(int(c&0x0f), nil)
	case c <= 0xbf:
		return skip(int(c&0x1f), nil)
	}
	switch c {
	case 0xc4, 0xd9:
		return skip(size(1))
	case 0xc5, 0xda:
		return skip(size(2))
	case 0xc6, 0xdb:
		return skip(size(4))
	case 0xcc, 0xd0:
		return skip(1, nil)
	case 0xcd, 0xd1:
		return skip(2, nil)
	case 0xca, 0xce, 0xd2:
		return skip(4, nil)
	case 0xcb, 0xcf, 0xd3:
		return skip(8, nil)
	case 0xdc:
		return items(size(2))
	case 0xdd:
		return items(size(4))
	case 0xde:
		return pairs(size(2))
	case 0xdf:
		return pairs(size(4))
	}
	return nil, errFormat // extensions are no part of the protocol
}

// validate checks that b is exactly one value.
func validate(b []byte) error {
	rest, err := skipValue(b, 0)
	if err == nil && len(rest) > 0 {
		err = ErrTrailing
	}
	return err
}
