package core

import (
	"fmt"
	"iter"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// storeMachineTypes reads the machine types from the cloud once and stores them in the state
// service, so that every controller can validate submissions even while the cloud is unavailable.
func (f *fleet) storeMachineTypes() {
	c := f.core
	if len(c.records.machineTypes) > 0 || f.typesWriteInFlight {
		return
	}
	if f.cloudTypes == nil {
		if !f.typesRequested && f.takeCallToken() {
			f.typesRequested = true
			c.emit(ListMachineTypes{})
		}
		return
	}
	var ops []protocol.Operation
	for key, record := range paginateTypes(f.cloudTypes.Types, c.maxValueBytes()/2) {
		if c.mirror.Version(key) == 0 && len(ops) < c.registry.maxPagesPerWrite() {
			ops = append(ops, protocol.Operation{Put: key, Value: record})
		}
	}
	if len(ops) == 0 {
		return
	}
	f.typesWriteInFlight = true
	c.commit([]protocol.Guard{c.membership.leaderGuard()}, ops, func(result CommitResult) {
		c.mirror.AwaitOutcome(result.Outcome.Decided(), c.intervals.maintenance/4, func() { f.typesWriteInFlight = false })
	})
}

// handleMachineTypes handles the result of listing the machine types. If the call failed or
// returned no types, they are requested again after the maintenance interval.
func (f *fleet) handleMachineTypes(result MachineTypesResult) {
	if result.Outcome == CloudDone && len(result.Response.Types) > 0 {
		f.typesRequested = false
		f.cloudTypes = &result.Response
		return
	}
	f.core.afterFunc(f.core.intervals.maintenance, func() { f.typesRequested = false })
}

// Upper estimates for the encoded size of parts of a machine type, in bytes.
const (
	machineTypeBytes = 300 // a type without its name and zones
	zoneNameBytes    = 4   // a zone in addition to its name
)

func estimatedBytes(machineType *protocol.MachineType) int {
	size := machineTypeBytes + len(machineType.Name)
	for _, zone := range machineType.Zones {
		size += len(zone) + zoneNameBytes
	}
	return size
}

// paginateTypes distributes machine types over keys, each with a value of at most limit bytes,
// since some sites have more types than fit into one value.
func paginateTypes(types []protocol.MachineType, limit int) iter.Seq2[string, protocol.MachineTypes] {
	return func(yield func(string, protocol.MachineTypes) bool) {
		total := len(types)
		for page := 0; len(types) > 0; page++ {
			count := typesOnPage(types, limit)
			key := keyMachineTypes
			if page > 0 {
				key = fmt.Sprintf("%s/%04d", keyMachineTypes, page)
			}
			if !yield(key, protocol.MachineTypes{Types: types[:count], Total: total}) {
				return
			}
			types = types[count:]
		}
	}
}

// typesOnPage is how many of the first types fit into limit bytes, at least one.
func typesOnPage(types []protocol.MachineType, limit int) int {
	size := 0
	for i := range types {
		size += estimatedBytes(&types[i])
		if i > 0 && size > limit {
			return i
		}
	}
	return len(types)
}

// applyMachineTypes adds the machine types of one key to the records. The types are used only once
// all of them have been read: with only some of them, a job was refused because of a type that had
// yet to be read.
func (r *storedRecords) applyMachineTypes(record *protocol.MachineTypes) {
	for i := range record.Types {
		r.partialTypes[record.Types[i].Name] = &record.Types[i]
	}
	if len(r.partialTypes) >= record.Total {
		r.machineTypes = r.partialTypes
	}
}
