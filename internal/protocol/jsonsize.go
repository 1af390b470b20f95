package protocol

import (
	"encoding/binary"
	"math"
	"strconv"
)

// JSONSize is how many bytes a value takes in the form in which the state service counts
// its limits, JSON, or a few more: text is taken as it is, with room for what must be
// escaped.
func JSONSize(v any) int {
	n, _ := jsonSize(Encode(v))
	return n
}

func jsonSize(b []byte) (n int, rest []byte) {
	c := b[0]
	b = b[1:]
	length := func(width int) int {
		var n uint64
		for _, x := range b[:width] {
			n = n<<8 | uint64(x)
		}
		b = b[width:]
		return int(n)
	}
	text := func(k int) (int, []byte) {
		n := 2
		for _, x := range b[:k] {
			switch {
			case x == '"' || x == '\\':
				n += 2
			case x < 0x20 || x >= 0x7f || x == '<' || x == '>' || x == '&':
				n += 6
			default:
				n++
			}
		}
		return n, b[k:]
	}
	items := func(k int) (int, []byte) { // with brackets, and a comma or colon behind each
		total := 2
		for range k {
			n, b = jsonSize(b)
			total += n + 2
		}
		return total, b
	}
	whole := func(x int64) int { return len(strconv.FormatInt(x, 10)) }
	switch {
	case c <= 0x7f:
		return whole(int64(c)), b
	case c >= 0xe0:
		return whole(int64(int8(c))), b
	case c <= 0x8f:
		return items(2 * int(c&0x0f))
	case c <= 0x9f:
		return items(int(c & 0x0f))
	case c <= 0xbf:
		return text(int(c & 0x1f))
	}
	switch c {
	case 0xc0, 0xc2, 0xc3:
		return 5, b
	case 0xc4, 0xd9:
		return text(length(1))
	case 0xc5, 0xda:
		return text(length(2))
	case 0xc6, 0xdb:
		return text(length(4))
	case 0xca:
		return len(strconv.FormatFloat(float64(math.Float32frombits(binary.BigEndian.Uint32(b))), 'g', -1, 32)) + 2, b[4:]
	case 0xcb:
		return len(strconv.FormatFloat(math.Float64frombits(binary.BigEndian.Uint64(b)), 'g', -1, 64)) + 2, b[8:]
	case 0xcc, 0xd0:
		return whole(int64(b[0])), b[1:]
	case 0xcd, 0xd1:
		return whole(int64(binary.BigEndian.Uint16(b))) + 1, b[2:]
	case 0xce, 0xd2:
		return whole(int64(binary.BigEndian.Uint32(b))) + 1, b[4:]
	case 0xcf, 0xd3:
		return len(strconv.FormatUint(binary.BigEndian.Uint64(b), 10)) + 1, b[8:]
	case 0xdc:
		return items(length(2))
	case 0xdd:
		return items(length(4))
	case 0xde:
		return items(2 * length(2))
	case 0xdf:
		return items(2 * length(4))
	}
	panic("wire: size of a value that Encode did not make")
}
