package peer

import (
	"unsafe"

	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// memoryBytes returns an upper bound of the memory that a queued message takes. Names count in each
// place where they occur, although most of them share their memory with the core.
func memoryBytes(message *peerproto.Message) int {
	total := int(unsafe.Sizeof(*message))
	if hello := message.Hello; hello != nil {
		total += int(unsafe.Sizeof(*hello)) + len(hello.Label) + len(hello.BootID)
	}
	if vote := message.Vote; vote != nil {
		total += int(unsafe.Sizeof(*vote)) + namesBytes(vote.Cancelled)
	}
	if round := message.Round; round != nil {
		total += int(unsafe.Sizeof(*round)) + namesBytes(round.Cancelled)
	}
	total += listBytes(message.Machines, machineTextBytes)
	for _, attempts := range [][]peerproto.TaskAttempt{
		message.Assigned, message.Returned, message.Dispatch, message.StartHeld, message.ReleaseHeld,
	} {
		total += listBytes(attempts, func(attempt *peerproto.TaskAttempt) int { return len(attempt.Task) + len(attempt.Machine) })
	}
	total += listBytes(message.Stop, func(stop *peerproto.StopTask) int { return len(stop.Task) + len(stop.Machine) + len(stop.Reason) })
	total += listBytes(message.Views, func(view *peerproto.JobView) int { return len(view.Job) + len(view.Reason) })
	for _, names := range [][]string{message.Released, message.Cancelled, message.Drain, message.Cordon, message.Uncordon} {
		total += namesBytes(names)
	}
	return total
}

// machineTextBytes returns the memory that a machine's state takes in addition to its entry in the
// list.
func machineTextBytes(machine *peerproto.MachineState) int {
	return len(machine.Name) + len(machine.Addr) + len(machine.Type) + len(machine.Zone) +
		namesBytes(machine.Images) + namesBytes(machine.RemovedTasks) + listBytes(machine.Tasks, taskTextBytes)
}

func taskTextBytes(task *peerproto.TaskState) int {
	return len(task.Task) + len(task.State) + len(task.ExitReason)
}

func namesBytes(names []string) int {
	return listBytes(names, func(name *string) int { return len(*name) })
}

// listBytes returns the memory that a list takes, including the texts of its entries.
func listBytes[T any](list []T, textBytes func(*T) int) int {
	var entry T
	total := len(list) * int(unsafe.Sizeof(entry))
	for i := range list {
		total += textBytes(&list[i])
	}
	return total
}
