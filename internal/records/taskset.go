package records

import (
	"encoding/base64"
	"math/bits"
)

// TaskSet is a set of task numbers.
type TaskSet []byte

// Has reports whether i is in the set.
func (s TaskSet) Has(i int) bool { return i>>3 < len(s) && s[i>>3]&(1<<(i&7)) != 0 }

// Add puts i into the set and reports whether it was new.
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

// Merge adds another set, whose first byte is so many behind the first of this one, and
// returns how many were new.
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

// Len counts the set.
func (s TaskSet) Len() int {
	n := 0
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}

// Text is the set as text.
func (s TaskSet) Text() string { return base64.RawStdEncoding.EncodeToString(s) }

// ParseTaskSet reads what Text wrote.
func ParseTaskSet(t string) (TaskSet, error) { return base64.RawStdEncoding.DecodeString(t) }
