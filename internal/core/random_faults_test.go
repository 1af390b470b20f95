package core_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

var faultKinds = slices.Sorted(slices.Values([]string{"crash", "two crash", "all crash", "roll",
	"ends again and again", "leaders end", "copies", "no state", "no workers", "no network", "no cloud",
	"answers lost", "reports kept for the next leader", "machines mute", "cancelled at the end", "cancelled as machines hang",
	"cancelled as the leader is refused", "cancelled while work changes hands", "odd requests", "reports held back", "all away", "ten leaders",
	"gap", "late writes", "leader cut from all but workers and users", "machines deaf", "commands held up",
	"refused by the state", "state out", "state slow", "cloud out", "stands still", "peers refuse", "slow links", "links", "links again", "zone cut", "zones apart",
	"machines die", "machines hang", "machines sick", "machines slow", "taken back", "no capacity", "polls", "burst"}))

// drawFault draws one trouble and returns its name.
func (d *deployment) drawFault(rt *rapid.T, s *scenario) string {
	at := drawSpan(rt, "at", 2, 100)
	span := drawSpan(rt, "for", 1, 60)
	d.lastFaultAt = max(d.lastFaultAt, at+span+second)
	n := rapid.SampledFrom(s.Nodes).Draw(rt, "node")
	some := rapid.IntRange(1, 12).Draw(rt, "some")
	keep := rapid.Bool().Draw(rt, "packets kept")
	zones := d.settings.Site.Zones
	zone := rapid.SampledFrom(zones).Draw(rt, "zone")
	during := func(begin, end func()) {
		s.At(at, begin)
		s.At(at+span, end)
	}
	links := func() { // each a direction of its own, or both, and mended in any order
		end := func(what string) string {
			return rapid.SampledFrom([]string{"state", "workers", "workers/" + zone, "workers/even", "workers/odd", "cloud", "sibling"}).Draw(rt, what)
		}
		for range rapid.IntRange(1, 4).Draw(rt, "links") {
			a, b := rapid.SampledFrom(s.Nodes).Draw(rt, "of").Label, end("to")
			if b == "sibling" {
				b = rapid.SampledFrom(s.Nodes).Draw(rt, "sibling").Label
			}
			l := rapid.SampledFrom([]simulation.Link{simulation.Dropped, simulation.Held, simulation.Refused, simulation.Resets, simulation.Unread,
				{Delay: 2 * second}, {Loss: 0.4}, {Largest: 4096}}).Draw(rt, "link")
			if rapid.IntRange(0, 3).Draw(rt, "flaps") == 3 {
				l.Period = drawSpan(rt, "period", 0.5, 12.5)
			}
			ways := rapid.IntRange(0, 2).Draw(rt, "ways")
			from, till := drawSpan(rt, "begins after", 0, 10), drawSpan(rt, "ends after", 12, 70)
			set := func(l simulation.Link) {
				if ways != 1 {
					s.Link(a, b, l)
				}
				if ways != 0 {
					s.Link(b, a, l)
				}
			}
			s.At(at+from, func() { set(l) })
			s.At(at+till, func() { set(simulation.Link{}) })
			d.lastFaultAt = max(d.lastFaultAt, at+till+second)
		}
	}
	cut := func(a, b string) { during(func() { s.Cut(a, b, keep) }, func() { s.Mend(a, b) }) }
	workers := func(f func(*simulation.Worker)) {
		s.At(at, func() {
			for _, k := range s.SomeWorkers(some) {
				f(k)
			}
		})
	}
	what := rapid.SampledFrom(faultKinds).Draw(rt, "trouble")
	switch what {
	case "answers lost":
		share := drawFloat(rt, "share", 0.1, 0.7)
		during(func() { s.State.LateShare, s.State.LateBy = share, 0 }, func() { s.State.LateShare, s.State.LateBy = 0.02, 12*second })
	case "reports kept for the next leader":
		during(func() { s.KeepReports = true }, func() { s.KeepReports = false })
		s.At(at+span+time.Duration(some)*second/12, func() { s.crashLeader(second / 5) })
	case "machines mute":
		workers(func(k *simulation.Worker) {
			k.Mute = true
			s.After(span, func() { k.Mute = false })
		})
	case "cancelled at the end":
		during(func() { s.Users.AtEnd = 0.4 }, func() { s.Users.AtEnd = 0 })
	case "cancelled as machines hang":
		hang := drawSpan(rt, "hang", 0.5, 1.5*d.lease().Seconds())
		back := drawRestartDelay(rt)
		s.At(at, func() {
			for _, j := range d.jobs {
				for i := 0; i < j.Spec.Tasks && some > 0; i++ {
					if k := s.Workers[j.On(i)]; k != nil && !k.Hung {
						some--
						k.Hung = true
						s.After(hang, func() { k.Hung = false })
					}
				}
			}
			d.cancelRunning(s, 6)
		})
		s.At(at+back/4, func() { s.crashLeader(back) })
	case "cancelled as the leader is refused":
		s.At(at, func() {
			if n := s.currentLeader(); n != nil {
				s.State.Refuses[n.Label] = true
				s.After(span, func() { delete(s.State.Refuses, n.Label) })
			}
			d.cancelRunning(s, some)
		})
		if keep {
			s.At(at+second, func() { s.State.Outage(span) })
		}
	case "cancelled while work changes hands":
		back := drawRestartDelay(rt)
		s.At(at, func() { n.Crash(back) })
		for k := range 6 {
			s.At(at+time.Duration(k)*d.lease()/8, func() { d.cancelRunning(s, 1) })
		}
	case "odd requests":
		for k := range 8 {
			s.At(at+time.Duration(k)*span/8, func() { d.sendInvalidRequests(s, k) })
		}
	case "reports held back":
		s.At(at, func() {
			for _, k := range s.SomeWorkers(some) {
				for _, n := range s.Nodes {
					s.Link(k.Info.Name, n.Label, simulation.Held)
					s.After(span, func() { s.Link(k.Info.Name, n.Label, simulation.Link{}) })
				}
			}
		})
		s.At(at+second, func() { s.crashLeader(second / 5) })
	case "all away":
		for _, n := range s.Nodes {
			s.At(at, func() { n.Crash(d.lease() + span/4) })
		}
		d.lastFaultAt = max(d.lastFaultAt, at+d.lease()+span/4+second)
	case "ten leaders":
		for k := range 10 {
			s.At(at+time.Duration(k)*12*second, func() { s.crashLeader(second / 5) })
		}
		d.lastFaultAt = max(d.lastFaultAt, at+110*second)
	case "crash":
		back := drawRestartDelay(rt)
		s.At(at, func() { n.Crash(back) })
	case "two crash":
		back, other := drawRestartDelay(rt), s.Nodes[(slices.Index(s.Nodes, n)+1)%len(s.Nodes)]
		s.At(at, func() { n.Crash(back) })
		s.At(at+back/2, func() { other.Crash(back) })
	case "all crash":
		for _, n := range s.Nodes { // and come back in any order
			back := drawRestartDelay(rt)
			s.At(at, func() { n.Crash(back) })
		}
	case "roll":
		back := drawRestartDelay(rt)
		for i, n := range s.Nodes {
			s.At(at+time.Duration(i)*span/8, func() { n.Crash(back) })
		}
	case "ends again and again":
		for i := range 10 {
			s.At(at+time.Duration(i)*second, func() { n.Crash(50 * time.Millisecond) })
		}
	case "leaders end":
		back := drawRestartDelay(rt)
		for i := range 4 { // in the middle of what the end before began
			s.At(at+time.Duration(i)*d.lease()/8, func() {
				if n := s.currentLeader(); n != nil {
					n.Crash(back)
				}
			})
		}
	case "copies":
		during(func() { s.Copies, s.CopyBy = 0.2, span }, func() { s.Copies = 0 })
	case "no state":
		cut(n.Label, "state")
	case "no workers":
		cut(n.Label, "workers")
	case "no network":
		for _, end := range []string{"state", "workers", "cloud", "users"} {
			cut(n.Label, end)
		}
		for _, x := range s.Nodes {
			if x != n {
				cut(n.Label, x.Label)
			}
		}
	case "no cloud":
		cut(n.Label, "cloud")
	case "refused by the state":
		during(func() { s.State.Refuses[n.Label] = true }, func() { delete(s.State.Refuses, n.Label) })
	case "state out":
		s.At(at, func() { s.State.Outage(span) })
	case "late writes":
		share := drawFloat(rt, "share", 0.1, 0.6)
		before := s.State.LateShare
		during(func() { s.State.LateShare, s.State.LateFrom = share, 2*second }, func() { s.State.LateShare, s.State.LateFrom = before, 0 })
	case "gap": // jobs are cancelled through those who are still served
		alone := drawSpan(rt, "the leader alone for", 0.5, 4.5)
		out := s.cancelSpan() + drawSpan(rt, "longer by", 1, 30)
		d.lastFaultAt = max(d.lastFaultAt, at+alone+out+second)
		s.At(at, func() {
			if n := s.currentLeader(); n != nil {
				s.State.Refuses[n.Label] = true
				s.After(alone+out, func() { delete(s.State.Refuses, n.Label) })
			}
			d.cancelRunning(s, some)
		})
		s.At(at+alone, func() { s.State.Outage(out) })
	case "leader cut from all but workers and users":
		s.At(at, func() {
			if n := s.currentLeader(); n != nil {
				s.partition(span, n.Label, s.otherEnds(n)...)
			}
			s.After(span/4, func() { d.cancelRunning(s, some) })
		})
	case "machines deaf":
		workers(func(k *simulation.Worker) {
			for _, n := range s.Nodes {
				s.Link(n.Label, k.Info.Name, simulation.Dropped)
				s.After(span, func() { s.Link(n.Label, k.Info.Name, simulation.Link{}) })
			}
		})
	case "commands held up":
		l := simulation.Link{Hold: true, Period: drawSpan(rt, "period", 1, 8)}
		during(func() { s.Link(n.Label, "workers", l) }, func() { s.Link(n.Label, "workers", simulation.Link{}) })
	case "state slow":
		during(func() { s.State.Slow = 300 * time.Millisecond }, func() { s.State.Slow = 0 })
	case "cloud out":
		during(func() { s.Cloud.Out = true }, func() { s.Cloud.Out = false })
	case "stands still":
		s.At(at, func() {
			if n.Alive() {
				n.StandStill(span)
			}
		})
	case "peers refuse":
		during(func() { s.PeersRefuse = true }, func() { s.PeersRefuse = false })
	case "slow links":
		during(func() { s.PeerLatency = 400 * time.Millisecond }, func() { s.PeerLatency = 0 })
	case "links", "links again": // drawn twice as often as the rest
		links()
	case "zone cut":
		during(func() { s.CutZone(zone, "", keep) }, func() { s.MendZone(zone, "") })
	case "zones apart":
		if other := rapid.SampledFrom(zones).Draw(rt, "other"); other != zone {
			during(func() { s.CutZone(zone, other, keep) }, func() { s.MendZone(zone, other) })
		}
	case "machines die":
		workers(func(k *simulation.Worker) { s.Cloud.Remove(k.Info.Name) })
	case "machines hang":
		workers(func(k *simulation.Worker) {
			k.Hung = true
			s.After(span, func() { k.Hung = false })
		})
	case "machines sick":
		workers(func(k *simulation.Worker) {
			k.Faulty = true
			s.After(span, func() { k.Faulty = false })
		})
	case "machines slow":
		workers(func(k *simulation.Worker) { k.Slow = 3 })
	case "taken back":
		workers(func(k *simulation.Worker) { k.Recall(span / 8) })
	case "no capacity":
		during(func() {
			for _, t := range d.types {
				s.Cloud.Capacity[t.Name] = 0
			}
		}, func() {
			for _, t := range d.types {
				delete(s.Cloud.Capacity, t.Name)
			}
		})
	case "polls":
		for k := range 300 {
			s.At(at+time.Duration(k)*span/300, s.Users.PollAny)
		}
	case "burst":
		s.At(at, func() {
			for k := range 25 {
				spec := simulation.Array(1 + k%3)
				spec.Team = "nobody"
				if teams := d.settings.Site.Teams; len(teams) > 0 {
					spec.Team = teams[k%len(teams)].Name
				}
				spec.AllowSpot = k%2 == 0
				d.cpuSeconds += 5
				d.jobs = append(d.jobs, s.Users.Submit(spec, 4))
			}
		})
	}
	return what
}

// sendInvalidRequests has users hand in again what is not over, cancel what is done, and send what can't run.
func (d *deployment) sendInvalidRequests(s *scenario, k int) {
	spec := simulation.Array(1)
	spec.Team = "nobody"
	if teams := d.settings.Site.Teams; len(teams) > 0 {
		spec.Team = teams[k%len(teams)].Name
	}
	switch k % 2 {
	case 0:
		spec.CPUs = 4096
	case 1:
		spec.MachineTypes = []string{"no such type"}
	}
	s.Users.Never(spec)
	for _, j := range d.jobs {
		switch {
		case j.Told == protocol.JobDone:
			s.Users.Abort(j)
		case j.Accepted:
			s.Users.Resubmit(j)
		}
	}
}
