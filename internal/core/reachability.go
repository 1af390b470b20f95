package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/reachability"
)

// How a shard determines whether it reaches its machines; package reachability makes the decision.

// checkReachability probes machines as package reachability requests it, and logs when this
// controller leaves the shard map because it reaches no machine, or rejoins it.
func (s *shard) checkReachability() {
	c := s.core
	verdict := s.reachability.Check(s.reachabilityView())
	for _, name := range verdict.Probe {
		c.emit(ProbeWorker{Machine: name, Addr: c.records.machineRecords.Get(name).Addr})
	}
	switch {
	case verdict.Left:
		c.logInfo("no machine reachable, leaving the shard map", "machines", s.machines.Len())
	case verdict.Rejoined:
		c.logInfo("machines reachable again, rejoining the shard map")
	}
}

// machinesSilent reports whether this member has heard from no machine for so long that it may not
// reach any.
func (s *shard) machinesSilent() bool { return s.reachability.Silent(s.reachabilityView()) }

func (s *shard) handleProbeResult(result ProbeResult) {
	s.reachability.ProbeEnded(s.core.now.Monotonic, result.OK)
}

func (s *shard) reachabilityView() reachability.View {
	return reachability.View{
		Now: s.core.now.Monotonic, IsMember: s.isMember, MemberSince: s.epochSince, Fleet: shardFleet{s},
	}
}

// shardFleet implements reachability.Fleet with the machines of a shard.
type shardFleet struct{ shard *shard }

func (f shardFleet) KnownCount() int { return f.shard.core.records.machineRecords.Len() }

func (f shardFleet) KnownNames() []string { return f.shard.core.records.machineRecords.Keys() }

func (f shardFleet) OwnedCount() int { return f.shard.machines.Len() }

func (f shardFleet) RegisteredCount() (n int) {
	for _, m := range f.shard.machines.All() {
		if m.registered {
			n++
		}
	}
	return n
}

// HeardWithin first looks at the machine that the last search found, since searching all machines
// each time would cost too much. The search skips machines that are not registered: they may be
// terminated, since the shard is not notified of machines that are deleted from the registry.
func (f shardFleet) HeardWithin(span time.Duration) (heard, confirmed bool) {
	s, now := f.shard, f.shard.core.now.Monotonic
	if m := s.lastHeardMachine; m != nil && m.isTrusted() && s.owns(m) && now-m.lastHeardAt < span {
		return true, true
	}
	for _, m := range s.machines.All() {
		if m.registered && now-m.lastHeardAt < span {
			s.lastHeardMachine = m
			return true, m.isTrusted()
		}
	}
	return false, false
}
