package binpacking

import (
	"slices"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// FitsMachineType reports whether one task of a job fits on an empty machine of a type.
func FitsMachineType(machineType *protocol.MachineType, job *protocol.Job) bool {
	return machineType.CPUs+RoundingSlack >= job.CPUs &&
		machineType.GPUs+RoundingSlack >= job.GPUs &&
		machineType.MemoryGB+RoundingSlack >= job.MemoryGB
}

// AllowsType reports whether a job may run on a machine type. A job that names no types may run on
// all of them.
func AllowsType(job *protocol.Job, typeName string) bool {
	return len(job.MachineTypes) == 0 || slices.Contains(job.MachineTypes, typeName)
}

// AllowsMachine reports whether a job allows a machine of this type in this zone and, if spot is
// true, spot instances.
func AllowsMachine(job *protocol.Job, typeName, zone string, spot bool) bool {
	return AllowsType(job, typeName) && (job.Zone == "" || job.Zone == zone) && (!spot || job.AllowSpot)
}

// TaskMayRunOn reports whether a task of a job may run on a machine of this type, zone and kind
// (spot or on-demand). The job must allow the machine. A job that must run in one zone or spread
// over two zones is restricted to the zones in its record, which are written before its first task
// starts; until then none of its tasks may run.
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
