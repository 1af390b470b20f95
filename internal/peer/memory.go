package peer

import (
	"unsafe"

	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// memoryBytes is what a message takes in memory while it waits, or a few more: names count
// in each place, although most of them are shared with the core.
func memoryBytes(m *peerproto.Message) int {
	n := int(unsafe.Sizeof(*m))
	if m.Hello != nil {
		n += int(unsafe.Sizeof(*m.Hello)) + len(m.Hello.Label) + len(m.Hello.BootID)
	}
	if m.Vote != nil {
		n += int(unsafe.Sizeof(*m.Vote)) + namesBytes(m.Vote.Cancelled)
	}
	if m.Round != nil {
		n += int(unsafe.Sizeof(*m.Round)) + namesBytes(m.Round.Cancelled)
	}
	n += listBytes(m.Machines, machineTextBytes)
	for _, tries := range [][]peerproto.TaskAttempt{m.Assigned, m.Returned, m.Dispatch, m.StartHeld, m.ReleaseHeld} {
		n += listBytes(tries, func(t *peerproto.TaskAttempt) int { return len(t.Task) + len(t.Machine) })
	}
	n += listBytes(m.Stop, func(s *peerproto.StopTask) int { return len(s.Task) + len(s.Machine) + len(s.Reason) })
	n += listBytes(m.Views, func(v *peerproto.JobView) int { return len(v.Job) + len(v.Reason) })
	for _, names := range [][]string{m.Released, m.Cancelled, m.Drain, m.Cordon, m.Uncordon} {
		n += namesBytes(names)
	}
	return n
}

func machineTextBytes(s *peerproto.MachineState) int {
	return len(s.Name) + len(s.Addr) + len(s.Type) + len(s.Zone) + namesBytes(s.Images) + namesBytes(s.RemovedTasks) +
		listBytes(s.Tasks, func(t *peerproto.TaskState) int { return len(t.Task) + len(t.State) + len(t.ExitReason) })
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
