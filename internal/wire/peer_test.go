package wire

import (
	"fmt"
	"reflect"
	"testing"
)

// The pieces of a member's message tell the same as the message, each in bounds.
func TestPiecesTellTheSame(t *testing.T) {
	for _, full := range []bool{false, true} {
		m := PeerMessage{Epoch: 7, Full: full, Read: 3, Assigned: []TaskTry{{Task: "job-1/0"}}, Dropped: []string{"n-9"}}
		for i := range 900 {
			s := MachineState{Name: fmt.Sprint("n-", i)}
			for k := range i % 5 * 100 {
				s.Tasks = append(s.Tasks, TaskState{Task: fmt.Sprintf("job-1/%d", k)})
			}
			m.Machines = append(m.Machines, s)
		}
		pieces := m.Pieces()
		got := pieces[0]
		got.Machines, got.More = nil, false
		for i, p := range pieces {
			size := 0
			for _, s := range p.Machines {
				size += 1 + len(s.Tasks)
			}
			if size > pieceSize && len(p.Machines) > 1 {
				t.Fatalf("piece %d tells of %d", i, size)
			}
			if p.Epoch != 7 || p.Full != full || full && (p.Piece != i || p.More != (i+1 < len(pieces))) {
				t.Fatalf("piece %d of %d: %+v", i, len(pieces), p)
			}
			got.Machines = append(got.Machines, p.Machines...)
		}
		if len(pieces) < 100 || !reflect.DeepEqual(got, m) {
			t.Fatalf("%d pieces do not add up", len(pieces))
		}
	}
	if empty := (&PeerMessage{Epoch: 1}).Pieces(); len(empty) != 1 {
		t.Fatalf("an empty message becomes %d", len(empty))
	}
}
