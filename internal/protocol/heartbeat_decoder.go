package protocol

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// decodeFields reads a report field by field, after Decode has seen that it is one whole
// value. Reports are nearly all that a controller
// hears, hundreds a second with dozens of tasks each, and reading them by
// reflection took an eighth of its processor time.
func (r *Heartbeat) decodeFields(b []byte) error {
	*r = Heartbeat{}
	_, err := eachField(b, func(name string, b []byte) (_ []byte, err error) {
		switch name {
		case "Rig":
			r.Machine, b, err = msgp.ReadStringBytes(b)
		case "Addr":
			r.Addr, b, err = msgp.ReadStringBytes(b)
		case "Rigtype":
			r.Type, b, err = msgp.ReadStringBytes(b)
		case "Yard":
			r.Zone, b, err = msgp.ReadStringBytes(b)
		case "Loaner":
			r.Spot, b, err = msgp.ReadBoolBytes(b)
		case "Shift":
			r.Session, b, err = msgp.ReadUint64Bytes(b)
		case "Tally":
			r.Seq, b, err = msgp.ReadUint64Bytes(b)
		case "Baton":
			r.Token, b, err = msgp.ReadUint64Bytes(b)
		case "RecallS":
			var s float64
			s, b, err = readNumber(b)
			r.NoticeS = &s
		case "Lots":
			var n uint32
			if n, b, err = msgp.ReadArrayHeaderBytes(b); err != nil {
				return b, err
			}
			r.Tasks = make([]TaskStatus, n)
			for i := range r.Tasks {
				if b, err = r.Tasks[i].decodeFields(b); err != nil {
					return b, err
				}
			}
		default:
			b, err = msgp.Skip(b)
		}
		return b, err
	})
	return err
}

func (t *TaskStatus) decodeFields(b []byte) ([]byte, error) {
	return eachField(b, func(name string, b []byte) (_ []byte, err error) {
		var word []byte
		switch name {
		case "Lot":
			t.Task, b, err = msgp.ReadStringBytes(b)
		case "Try":
			t.Attempt, b, err = msgp.ReadUint64Bytes(b)
		case "Status":
			word, b, err = msgp.ReadStringZC(b)
			t.State = intern(word)
		case "Cause":
			word, b, err = msgp.ReadStringZC(b)
			t.ExitReason = intern(word)
		case "Stored":
			t.Saved, b, err = msgp.ReadBoolBytes(b)
		default:
			b, err = msgp.Skip(b)
		}
		return b, err
	})
}

// internedStrings are the states and causes that a report repeats over and over.
var internedStrings = func() map[string]string {
	m := map[string]string{}
	for _, w := range []string{TaskFetching, TaskWaiting, TaskRunning, TaskSaving, TaskExited,
		ExitDone, ExitStopped, ExitFailed, ExitNoCapacity, ExitDuplicate, ExitUnknownTask, ExitGangPeerLost, ExitGangIncomplete} {
		m[w] = w
	}
	return m
}()

func intern(word []byte) string {
	if w, ok := internedStrings[string(word)]; ok {
		return w
	}
	return string(word)
}

// eachField hands over the fields of a map that are not null; f returns what
// follows the field's value.
func eachField(b []byte, f func(name string, b []byte) ([]byte, error)) ([]byte, error) {
	n, b, err := msgp.ReadMapHeaderBytes(b)
	for ; n > 0 && err == nil; n-- {
		var key []byte
		if key, b, err = msgp.ReadMapKeyZC(b); err != nil {
			break
		}
		if msgp.IsNil(b) {
			b, err = msgp.ReadNilBytes(b)
			continue
		}
		if b, err = f(string(key), b); err != nil {
			err = fmt.Errorf("%s: %w", key, err)
		}
	}
	return b, err
}

// readNumber reads a number, whichever way it is written.
func readNumber(b []byte) (float64, []byte, error) {
	switch msgp.NextType(b) {
	case msgp.IntType, msgp.UintType:
		n, b, err := msgp.ReadInt64Bytes(b)
		return float64(n), b, err
	case msgp.Float32Type:
		x, b, err := msgp.ReadFloat32Bytes(b)
		return float64(x), b, err
	}
	return msgp.ReadFloat64Bytes(b)
}
