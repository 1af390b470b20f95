package records

import (
	"encoding/base64"
	"math/bits"
)

// TaskSet is a set of task numbers, stored as a bitmap: task i is bit i%8 of byte i/8. The zero
// value is an empty set.
type TaskSet []byte

// Has reports whether i is in the set.
func (s TaskSet) Has(i int) bool { return i>>3 < len(s) && s[i>>3]&(1<<(i&7)) != 0 }

// Add adds i to the set and reports whether it was missing before.
func (s *TaskSet) Add(i int) bool {
	for i>>3 >= len(*s) {
		*s = append(*s, 0)
	}
	if s.Has(i) {
		return false
	}
	(*s)[i>>3] |= 1 << (i & 7)
	return true
}

// Merge adds the numbers of another set, each increased by 8*offset, and returns how many of them
// were missing before. The offset is in bytes of the bitmap.
func (s *TaskSet) Merge(other TaskSet, offset int) (added int) {
	for offset+len(other) > len(*s) {
		*s = append(*s, 0)
	}
	for i, b := range other {
		added += bits.OnesCount8(b &^ (*s)[offset+i])
		(*s)[offset+i] |= b
	}
	return added
}

// Len returns how many numbers the set holds.
func (s TaskSet) Len() int {
	n := 0
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}

// Text returns the set encoded as unpadded base64.
func (s TaskSet) Text() string { return base64.RawStdEncoding.EncodeToString(s) }

// ParseTaskSet decodes a set that was encoded by Text. It returns an error if the text is not
// unpadded base64.
func ParseTaskSet(t string) (TaskSet, error) { return base64.RawStdEncoding.DecodeString(t) }
