package simulation

import (
	"strings"
	"time"
)

// Link is what the network does to packets from one end to another, in that direction
// alone. The zero Link is up.
type Link struct {
	Drop    bool          // packets vanish
	Hold    bool          // they are kept and arrive once it is mended
	Refuse  bool          // connections are refused, and those that stand break
	Reset   bool          // connections break when something is sent, which may have arrived
	Delay   time.Duration // is added to the way
	Loss    float64       // this share of the packets vanishes
	Largest int           // bytes; larger messages between controllers never get through, 0: all do
	Period  time.Duration // down and up in turns, each for so long; 0: down all the time

	since time.Duration
}

// What a link is most often. An unread one is a connection that is accepted and never read.
var (
	Dropped = Link{Drop: true}
	Held    = Link{Hold: true}
	Refused = Link{Refuse: true}
	Resets  = Link{Reset: true}
	Unread  = Link{Largest: 1}
)

// blocksConnections reports whether no connection is made over it.
func (l *Link) blocksConnections() bool { return l.Drop || l.Hold || l.Refuse || l.Reset }

// untilUp is how long it takes until a flapping link lets packets pass.
func (l *Link) untilUp(now time.Duration) time.Duration {
	if l.Period == 0 || (now-l.since)/l.Period%2 == 1 {
		return 0
	}
	return l.Period - (now-l.since)%l.Period
}

// endpoints are two ends, from the first to the second.
type endpoints [2]string

// heldPacket is one that a link holds.
type heldPacket struct {
	path endpoints
	send func()
}

// Link has packets from one end to another go as l says, from now on. Ends are "node-0",
// "state", "cloud", "users", a machine's name, "workers" for all machines, "workers/a" for
// those of zone a, "workers/even" and "workers/odd" for about half of them, and "zone a"
// for whatever is in that zone.
func (w *World) Link(from, to string, l Link) {
	path := endpoints{from, to}
	if l == (Link{}) {
		delete(w.links, path)
	} else {
		l.since = w.Now
		w.links[path] = &l
	}
	w.releaseHeld(path)
}

// Between does so in both directions.
func (w *World) Between(a, b string, l Link) {
	w.Link(a, b, l)
	w.Link(b, a, l)
}

// releaseHeld sends again what a path held, and breaks the links between controllers that have
// lost something and could now be made anew.
func (w *World) releaseHeld(path endpoints) {
	kept := w.heldPackets
	w.heldPackets = nil
	for _, p := range kept {
		if p.path == path {
			p.send()
		} else {
			w.heldPackets = append(w.heldPackets, p)
		}
	}
	for _, l := range w.sortedPeerLinks() {
		if (l.lossy[0] || l.lossy[1]) && !w.connectionBlocked(l.dialer.Label, l.acceptor.Label) {
			l.close()
		}
	}
}

// connectionBlocked reports whether no connection is made between two ends.
func (w *World) connectionBlocked(a, b string) bool {
	to, _ := w.linkBetween(a, b)
	back, _ := w.linkBetween(b, a)
	return to.blocksConnections() || back.blocksConnections()
}

// endpointNames are those that an end answers to, its zone's not among them.
func (w *World) endpointNames(end string) []string {
	if !strings.HasPrefix(end, "n-") {
		return []string{end}
	}
	half := "workers/even"
	if (end[len(end)-1]-'0')%2 == 1 {
		half = "workers/odd"
	}
	return []string{end, "workers", "workers/" + w.zoneOf(end), half}
}

// zoneOf is where an end is, empty for what is regional.
func (w *World) zoneOf(end string) string {
	if k := w.Workers[end]; k != nil {
		return k.Info.Zone
	}
	for _, n := range w.Nodes {
		if n.Label == end {
			return n.Zone
		}
	}
	return ""
}

// linkBetween is what becomes of a packet from one end to another now: all that was said of that
// path together, and the path that would hold it.
func (w *World) linkBetween(from, to string) (sum Link, path endpoints) {
	if len(w.links) == 0 {
		return
	}
	take := func(a, b string) {
		l := w.links[endpoints{a, b}]
		if l == nil {
			return
		}
		wait := l.untilUp(w.Now)
		if l.Period > 0 && wait == 0 {
			return
		}
		if l.Hold && wait > 0 { // nobody mends a flapping link, it comes up of itself
			sum.Delay = max(sum.Delay, wait)
		} else if l.Hold {
			sum.Hold, path = true, endpoints{a, b}
		}
		sum.Drop, sum.Refuse, sum.Reset = sum.Drop || l.Drop, sum.Refuse || l.Refuse, sum.Reset || l.Reset
		sum.Delay += l.Delay
		sum.Loss = max(sum.Loss, l.Loss)
		if l.Largest > 0 && (sum.Largest == 0 || l.Largest < sum.Largest) {
			sum.Largest = l.Largest
		}
	}
	for _, a := range w.endpointNames(from) {
		for _, b := range w.endpointNames(to) {
			take(a, b)
		}
	}
	if a, b := w.zoneOf(from), w.zoneOf(to); a != b {
		take("zone "+a, "zone "+b)
		take("zone "+a, "zone ")
		take("zone ", "zone "+b)
	}
	return sum, path
}

// deliver takes a packet of a call from one end to the other; torn is told if the connection
// breaks, which the caller sees at once.
func (w *World) deliver(from, to string, f, torn func()) {
	l, path := w.linkBetween(from, to)
	switch {
	case l.Drop || l.Largest == 1 || l.Loss > 0 && w.Rand.Float64() < l.Loss || w.Loss > 0 && w.Rand.Float64() < w.Loss:
	case l.Refuse:
		w.After(w.networkDelay(), torn)
	case l.Reset:
		if w.Rand.IntN(2) == 0 {
			w.After(w.networkDelay(), f)
		}
		w.After(w.networkDelay(), torn)
	case l.Hold:
		w.heldPackets = append(w.heldPackets, heldPacket{path, func() { w.deliver(from, to, f, torn) }})
	default:
		w.After(l.Delay+w.networkDelay(), f)
	}
}

func (w *World) networkDelay() time.Duration {
	return w.Latency/2 + time.Duration(w.Rand.Int64N(int64(w.Latency)+1))
}

// call carries a request from one end to the other and its answer back. serve
// runs at the far end and gets a function to answer with; fail runs if no
// answer came in time.
func call[T any](w *World, from, to string, timeout time.Duration, serve func(reply func(T)), got func(T), fail func()) {
	over := false
	torn := func() {
		if !over {
			over = true
			fail()
		}
	}
	w.After(timeout, torn)
	if plain := serve; to == "state" && w.State.Slow > 0 {
		serve = func(reply func(T)) { w.After(w.State.Slow, func() { plain(reply) }) }
	}
	if w.Copies > 0 && w.Rand.Float64() < w.Copies {
		w.After(w.Latency*2+time.Duration(w.Rand.Int64N(int64(w.CopyBy)+1)), func() { serve(func(T) {}) })
	}
	w.deliver(from, to, func() {
		serve(func(t T) {
			w.deliver(to, from, func() {
				if !over {
					over = true
					got(t)
				}
			}, torn)
		})
	}, torn)
}
