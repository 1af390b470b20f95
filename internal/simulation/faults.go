package simulation

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// retain takes a copy of a report for the next leader.
func (w *World) retain(r protocol.Heartbeat) {
	if _, ok := w.retainedHeartbeats[r.Machine]; !ok && w.KeepReports {
		if len(w.retainedHeartbeats) == 0 {
			w.lastLeader = w.currentLeader()
			w.releaseAtFailover()
		}
		w.retainedHeartbeats[r.Machine] = r
	}
}

// currentLeader names the process that leads, empty: none does.
func (w *World) currentLeader() string {
	for _, n := range w.Nodes {
		if n.Alive() && n.Core.IsLeader() {
			return fmt.Sprintf("%s.%d", n.Label, n.incarnation)
		}
	}
	return ""
}

// releaseAtFailover hands the kept reports out, in any order, once another process leads, and again
// and again while it takes over: until a map is its own nobody reads a report.
func (w *World) releaseAtFailover() {
	now := w.currentLeader()
	if now == "" || now == w.lastLeader {
		w.After(5*time.Millisecond, w.releaseAtFailover)
		return
	}
	kept := w.retainedHeartbeats
	w.retainedHeartbeats = map[string]protocol.Heartbeat{}
	for _, name := range slices.Sorted(maps.Keys(kept)) {
		for _, n := range w.Nodes {
			for _, after := range []time.Duration{0, 60, 130, 250, 500, 1000, 2000} {
				w.After(after*time.Millisecond+w.networkDelay(), func() {
					n.Ask(func(id core.RequestID) core.Command { return core.Heartbeat{ID: id, Report: kept[name]} }, func(core.Reply) {})
				})
			}
		}
	}
}

// SomeWorkers draws up to n workers.
func (w *World) SomeWorkers(n int) []*Worker {
	var names []string
	for name := range w.Workers {
		names = append(names, name)
	}
	sort.Strings(names)
	w.Rand.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	var out []*Worker
	for _, name := range names[:min(n, len(names))] {
		out = append(out, w.Workers[name])
	}
	return out
}

// Cut silences the path between two ends. With keep, packets are held and delivered when
// the cut is mended.
func (w *World) Cut(a, b string, keep bool) {
	if keep {
		w.Between(a, b, Held)
	} else {
		w.Between(a, b, Dropped)
	}
}

// Mend ends a cut and lets held packets go, in order.
func (w *World) Mend(a, b string) { w.Between(a, b, Link{}) }

// CutZone silences all paths between a zone and the rest, or, if other names a zone,
// those between the two. The regional services are in no zone.
func (w *World) CutZone(zone, other string, keep bool) { w.Cut("zone "+zone, "zone "+other, keep) }

// MendZone ends such a cut.
func (w *World) MendZone(zone, other string) { w.Mend("zone "+zone, "zone "+other) }

// Force makes the worker start a task that nobody commanded, for the story that
// checks the checker.
func (k *Worker) Force(task string, attempt uint64) {
	k.execute([]protocol.Command{{Kind: protocol.CommandStart, Task: task, Attempt: attempt}})
}

// Recall has the cloud take the machine back after a notice, or with none.
func (k *Worker) Recall(notice time.Duration) {
	if notice > 0 {
		s := notice.Seconds()
		k.NoticeS = &s
		k.statusChanged()
	}
	k.cluster.After(notice, func() { k.cluster.Cloud.Remove(k.Info.Name) })
}

// Outage makes the service refuse everybody for a while; leases are frozen and
// have their full time afterwards.
func (s *State) Outage(d time.Duration) {
	s.Out = true
	s.cluster.After(d, func() {
		s.Out = false
		for _, id := range slices.Sorted(maps.Keys(s.state.LeaseTTLs())) {
			s.armLease(id)
		}
		s.wakeWatches()
	})
}

// Forget removes a key behind everybody's back.
func (s *State) Forget(key string) {
	s.commitUnseen(&kvstore.Txn{Then: []kvstore.Op{{Delete: key}}})
}

// Reopen puts a job back to where it was when it was accepted, behind everybody's back.
func (s *State) Reopen(spec protocol.Job) {
	rec := records.Job{Spec: spec, State: protocol.JobQueued, SubmittedAt: 1e9}
	s.commitUnseen(&kvstore.Txn{Then: []kvstore.Op{{Put: "c/job/" + spec.ID, Value: protocol.Encode(rec)}}})
}

// StandStill stops the process where it is, without ending it: what it was about
// to say is said when it wakes, and what comes meanwhile piles up.
func (n *Node) StandStill(d time.Duration) {
	n.paused = true
	n.cluster.After(d, n.ifSameProcess(func() {
		n.paused = false
		said := n.pendingEffects
		n.pendingEffects = nil
		for _, e := range said {
			n.perform(e)
		}
		n.wakeScheduled = false
		n.wake(0)
	}))
}

// Crash ends the process, and starts it again after a while if that is above 0.
func (n *Node) Crash(back time.Duration) {
	n.incarnation++
	n.Core, n.Ready = nil, false
	for _, l := range n.cluster.sortedPeerLinks() {
		if l.dialer == n || l.acceptor == n {
			l.close()
		}
	}
	if back > 0 {
		n.cluster.After(back, n.Start)
	}
}
