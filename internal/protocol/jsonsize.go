package protocol

import (
	"math"
	"strconv"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// JSONSize returns a close upper bound of the size of a value as JSON, in bytes. The state service
// applies its size limits to JSON. Like Encode, it panics on types that cannot be encoded.
//
// Characters in strings that JSON may escape are counted as escaped.
func JSONSize(v any) int {
	s := jsonSizer{unread: Encode(v)}
	return s.value()
}

// jsonSizer adds up the JSON sizes of values while it walks over MessagePack from Encode.
type jsonSizer struct{ unread []byte }

// value consumes the next value and returns its size.
func (s *jsonSizer) value() int {
	code := s.readBytes(1)[0]
	switch {
	case code <= msgpcode.PosFixedNumHigh:
		return intSize(int64(code))
	case code >= msgpcode.NegFixedNumLow:
		return intSize(int64(int8(code)))
	case msgpcode.IsFixedMap(code):
		return s.items(2 * int(code&msgpcode.FixedMapMask))
	case msgpcode.IsFixedArray(code):
		return s.items(int(code & msgpcode.FixedArrayMask))
	case msgpcode.IsFixedString(code):
		return s.text(int(code & msgpcode.FixedStrMask))
	}
	if width := lengthWidth(code); width > 0 {
		return s.lengthPrefixed(code, int(bigEndian(s.readBytes(width))))
	}
	return s.scalar(code)
}

// lengthPrefixed returns the size of a map, list, string or binary value whose length has been read.
func (s *jsonSizer) lengthPrefixed(code byte, length int) int {
	switch code {
	case msgpcode.Map16, msgpcode.Map32:
		return s.items(2 * length)
	case msgpcode.Array16, msgpcode.Array32:
		return s.items(length)
	default:
		return s.text(length)
	}
}

// scalar returns the size of a null, boolean or number.
func (s *jsonSizer) scalar(code byte) int {
	const sign = 1 // integers are measured as unsigned; this is for a possible minus sign
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return len("false")
	case msgpcode.Float:
		return floatSize(float64(math.Float32frombits(uint32(bigEndian(s.readBytes(4))))), 32)
	case msgpcode.Double:
		return floatSize(math.Float64frombits(bigEndian(s.readBytes(8))), 64)
	case msgpcode.Uint8, msgpcode.Int8:
		return uintSize(bigEndian(s.readBytes(1)))
	case msgpcode.Uint16, msgpcode.Int16:
		return uintSize(bigEndian(s.readBytes(2))) + sign
	case msgpcode.Uint32, msgpcode.Int32:
		return uintSize(bigEndian(s.readBytes(4))) + sign
	case msgpcode.Uint64, msgpcode.Int64:
		return uintSize(bigEndian(s.readBytes(8))) + sign
	}
	panic("protocol: JSONSize: a MessagePack format that Encode does not write")
}

// text returns the size of a string of length bytes, including its quotes.
func (s *jsonSizer) text(length int) int {
	const quotes, escaped, escapedCode = 2, 2, 6 // "", \", \u003c
	size := quotes
	for _, c := range s.readBytes(length) {
		switch {
		case c == '"' || c == '\\':
			size += escaped
		case c < 0x20 || c >= 0x7f || c == '<' || c == '>' || c == '&':
			size += escapedCode
		default:
			size++
		}
	}
	return size
}

// items returns the size of a list or map with count values (keys included): its brackets, and each
// value followed by a comma or colon and a space.
func (s *jsonSizer) items(count int) int {
	const brackets, separator = 2, 2
	size := brackets
	for range count {
		size += s.value() + separator
	}
	return size
}

// readBytes consumes and returns the next count bytes.
func (s *jsonSizer) readBytes(count int) []byte {
	front := s.unread[:count]
	s.unread = s.unread[count:]
	return front
}

func intSize(x int64) int { return len(strconv.FormatInt(x, 10)) }

func uintSize(x uint64) int { return len(strconv.FormatUint(x, 10)) }

// floatSize adds two bytes to the size of the shortest form, which has no fraction for a whole number
// while JSON may have ".0".
func floatSize(x float64, bits int) int {
	const fraction = 2 // ".0"
	return len(strconv.FormatFloat(x, 'g', -1, bits)) + fraction
}
