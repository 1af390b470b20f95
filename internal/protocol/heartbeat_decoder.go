package protocol

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// decodeFields decodes a heartbeat field by field. Decode has already checked that b is exactly one
// value.
//
// Heartbeats are nearly all of a controller's incoming messages: hundreds a second, with dozens of
// tasks each. Decoding them by reflection took an eighth of a controller's CPU time.
func (h *Heartbeat) decodeFields(b []byte) error {
	*h = Heartbeat{}
	_, err := eachField(b, func(name string, b []byte) (_ []byte, err error) {
		switch name {
		case "Rig":
			h.Machine, b, err = msgp.ReadStringBytes(b)
		case "Addr":
			h.Addr, b, err = msgp.ReadStringBytes(b)
		case "Rigtype":
			h.Type, b, err = msgp.ReadStringBytes(b)
		case "Yard":
			h.Zone, b, err = msgp.ReadStringBytes(b)
		case "Loaner":
			h.Spot, b, err = msgp.ReadBoolBytes(b)
		case "Shift":
			h.Session, b, err = msgp.ReadUint64Bytes(b)
		case "Tally":
			h.Seq, b, err = msgp.ReadUint64Bytes(b)
		case "Baton":
			h.Token, b, err = msgp.ReadUint64Bytes(b)
		case "RecallS":
			var s float64
			s, b, err = readNumber(b)
			h.NoticeS = &s
		case "Lots":
			var n uint32
			if n, b, err = msgp.ReadArrayHeaderBytes(b); err != nil {
				return b, err
			}
			h.Tasks = make([]TaskStatus, n)
			for i := range h.Tasks {
				if b, err = h.Tasks[i].decodeFields(b); err != nil {
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
		var raw []byte
		switch name {
		case "Lot":
			t.Task, b, err = msgp.ReadStringBytes(b)
		case "Try":
			t.Attempt, b, err = msgp.ReadUint64Bytes(b)
		case "Status":
			raw, b, err = msgp.ReadStringZC(b)
			t.State = intern(raw)
		case "Cause":
			raw, b, err = msgp.ReadStringZC(b)
			t.ExitReason = intern(raw)
		case "Stored":
			t.Saved, b, err = msgp.ReadBoolBytes(b)
		default:
			b, err = msgp.Skip(b)
		}
		return b, err
	})
}

// internedStrings holds the task states and exit reasons, which recur in every heartbeat. Sharing them
// avoids allocating a new string each time.
var internedStrings = func() map[string]string {
	m := map[string]string{}
	for _, w := range []string{TaskFetching, TaskWaiting, TaskRunning, TaskSaving, TaskExited,
		ExitDone, ExitStopped, ExitFailed, ExitNoCapacity, ExitDuplicate, ExitUnknownTask, ExitGangPeerLost, ExitGangIncomplete} {
		m[w] = w
	}
	return m
}()

func intern(raw []byte) string {
	if w, ok := internedStrings[string(raw)]; ok {
		return w
	}
	return string(raw)
}

// eachField calls decode for each field of a map whose value is not null. decode receives the bytes
// from the field's value on, and returns those that follow the value. eachField returns the bytes
// that follow the map.
func eachField(b []byte, decode func(name string, b []byte) ([]byte, error)) ([]byte, error) {
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
		if b, err = decode(string(key), b); err != nil {
			err = fmt.Errorf("%s: %w", key, err)
		}
	}
	return b, err
}

// readNumber reads a number in any of MessagePack's integer and floating-point formats.
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
