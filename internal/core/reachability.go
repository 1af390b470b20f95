package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/reachability"
)

// How a shard follows whether it reaches its machines; package reachability decides.

// checkReachability leaves the shard map, or joins it again, and asks machines whether they
// can be reached.
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

// machinesSilent reports whether it is in doubt that this member reaches its machines.
func (s *shard) machinesSilent() bool { return s.reachability.Silent(s.reachabilityView()) }

// handleProbeResult takes the outcome of asking a machine whether it can be reached.
func (s *shard) handleProbeResult(result ProbeResult) {
	s.reachability.ProbeEnded(s.core.now.Monotonic, result.OK)
}

func (s *shard) reachabilityView() reachability.View {
	return reachability.View{
		Now: s.core.now.Monotonic, IsMember: s.isMember, MemberSince: s.epochSince, Fleet: shardFleet{s},
	}
}

// shardFleet is what package reachability may ask about the machines of a shard.
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

// HeardWithin looks at the machine first that was found to be heard when it was last asked: to
// search them all each time would be too much. One that is not registered may be gone, since
// nobody is told of those taken out of the registry.
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
