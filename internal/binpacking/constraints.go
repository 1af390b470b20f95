package binpacking

import (
	"slices"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// FitsMachineType reports whether an empty machine of a type has room for one task.
func FitsMachineType(machineType *protocol.MachineType, job *protocol.Job) bool {
	return machineType.CPUs+RoundingSlack >= job.CPUs &&
		machineType.GPUs+RoundingSlack >= job.GPUs &&
		machineType.MemoryGB+RoundingSlack >= job.MemoryGB
}

// AllowsType reports whether a job may run on a machine type at all. One that names no types may
// run on all.
func AllowsType(job *protocol.Job, typeName string) bool {
	return len(job.MachineTypes) == 0 || slices.Contains(job.MachineTypes, typeName)
}

// AllowsMachine reports whether a job allows a type, zone and kind of machine.
func AllowsMachine(job *protocol.Job, typeName, zone string, spot bool) bool {
	return AllowsType(job, typeName) && (job.Zone == "" || job.Zone == zone) && (!spot || job.AllowSpot)
}

// TaskMayRunOn reports whether a task of a job may be on such a machine: what the job allows, and
// for a job tied to one zone or spread over two, the zones that were written into its record before
// its first start. No task of such a job runs before they are.
func TaskMayRunOn(record *records.Job, taskIndex int, typeName, zone string, spot bool) bool {
	job := &record.Spec
	if !AllowsMachine(job, typeName, zone, spot) {
		return false
	}
	switch {
	case job.OneZone:
		return len(record.Zones) == 1 && record.Zones[0] == zone
	case job.Spread:
		return len(record.Zones) > 0 && record.Zones[taskIndex%len(record.Zones)] == zone
	}
	return true
}
