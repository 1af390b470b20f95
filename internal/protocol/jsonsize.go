package protocol

import (
	"math"
	"strconv"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// JSONSize is how many bytes a value takes in the form in which the state service counts its
// limits, JSON, or a few more: text is taken as it is, with room for what must be escaped.
func JSONSize(v any) int {
	s := jsonSizer{rest: Encode(v)}
	return s.value()
}

// jsonSizer adds up sizes while it walks over MessagePack that Encode has made.
type jsonSizer struct{ rest []byte }

// value is the size of the next value.
func (s *jsonSizer) value() int {
	code := s.take(1)[0]
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
		return s.lengthPrefixed(code, int(bigEndian(s.take(width))))
	}
	return s.scalar(code)
}

// lengthPrefixed is the size of a value whose length was read.
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

// scalar is the size of a value that is no text, list or map.
func (s *jsonSizer) scalar(code byte) int {
	const sign = 1 // numbers are taken for unsigned ones
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return len("false")
	case msgpcode.Float:
		return floatSize(float64(math.Float32frombits(uint32(bigEndian(s.take(4))))), 32)
	case msgpcode.Double:
		return floatSize(math.Float64frombits(bigEndian(s.take(8))), 64)
	case msgpcode.Uint8, msgpcode.Int8:
		return uintSize(bigEndian(s.take(1)))
	case msgpcode.Uint16, msgpcode.Int16:
		return uintSize(bigEndian(s.take(2))) + sign
	case msgpcode.Uint32, msgpcode.Int32:
		return uintSize(bigEndian(s.take(4))) + sign
	case msgpcode.Uint64, msgpcode.Int64:
		return uintSize(bigEndian(s.take(8))) + sign
	}
	panic("protocol: size of a value that Encode did not make")
}

// text is the size of so many bytes of text, with quotes.
func (s *jsonSizer) text(length int) int {
	const quotes, escaped, escapedCode = 2, 2, 6 // "", \", \u003c
	size := quotes
	for _, c := range s.take(length) {
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

// items is the size of so many values, with brackets, and a comma or colon behind each and a
// space.
func (s *jsonSizer) items(count int) int {
	const brackets, separator = 2, 2
	size := brackets
	for range count {
		size += s.value() + separator
	}
	return size
}

// take cuts so many bytes off the front.
func (s *jsonSizer) take(count int) []byte {
	front := s.rest[:count]
	s.rest = s.rest[count:]
	return front
}

func intSize(x int64) int { return len(strconv.FormatInt(x, 10)) }

func uintSize(x uint64) int { return len(strconv.FormatUint(x, 10)) }

// floatSize leaves room for a fraction where JSON writes one and the shortest form has none.
func floatSize(x float64, bits int) int {
	const fraction = 2 // ".0"
	return len(strconv.FormatFloat(x, 'g', -1, bits)) + fraction
}
