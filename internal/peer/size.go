package peer

import (
	"unsafe"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// memoryBytes is what a message takes in memory while it waits, or a few more: names count
// in each place, although most of them are shared with the core.
func memoryBytes(m *wire.PeerMessage) int {
	n := int(unsafe.Sizeof(*m))
	if m.Hello != nil {
		n += int(unsafe.Sizeof(*m.Hello)) + len(m.Hello.Label) + len(m.Hello.Boot)
	}
	if m.Word != nil {
		n += int(unsafe.Sizeof(*m.Word)) + namesBytes(m.Word.Cancelled)
	}
	if m.Ask != nil {
		n += int(unsafe.Sizeof(*m.Ask)) + namesBytes(m.Ask.Cancelled)
	}
	n += listBytes(m.Machines, machineTextBytes)
	for _, tries := range [][]wire.TaskTry{m.Assigned, m.Returned, m.Dispatch, m.Release, m.Drop} {
		n += listBytes(tries, func(t *wire.TaskTry) int { return len(t.Task) + len(t.Machine) })
	}
	n += listBytes(m.Stop, func(s *wire.TaskStop) int { return len(s.Task) + len(s.Machine) + len(s.Why) })
	n += listBytes(m.Views, func(v *wire.JobView) int { return len(v.Job) + len(v.Reason) })
	for _, names := range [][]string{m.Dropped, m.Cancelled, m.Drain, m.Close, m.Reopen} {
		n += namesBytes(names)
	}
	return n
}

func machineTextBytes(s *wire.MachineState) int {
	return len(s.Name) + len(s.Addr) + len(s.Type) + len(s.Zone) + namesBytes(s.Images) + namesBytes(s.Left) +
		listBytes(s.Tasks, func(t *wire.TaskState) int { return len(t.Task) + len(t.State) + len(t.Why) })
}

func namesBytes(names []string) int {
	return listBytes(names, func(name *string) int { return len(*name) })
}

// listBytes is what a list takes with the texts of its entries.
func listBytes[T any](list []T, textBytes func(*T) int) int {
	var entry T
	n := len(list) * int(unsafe.Sizeof(entry))
	for i := range list {
		n += textBytes(&list[i])
	}
	return n
}
