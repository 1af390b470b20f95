package simulation

import (
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/peerproto"
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

// bars reports whether no connection is made over it.
func (l *Link) bars() bool { return l.Drop || l.Hold || l.Refuse || l.Reset }

// up is how long it takes until a flapping link lets packets pass.
func (l *Link) up(now time.Duration) time.Duration {
	if l.Period == 0 || (now-l.since)/l.Period%2 == 1 {
		return 0
	}
	return l.Period - (now-l.since)%l.Period
}

// ends are two ends, from the first to the second.
type ends [2]string

// packet is one that a link holds.
type packet struct {
	path ends
	send func()
}

// Link has packets from one end to another go as l says, from now on. Ends are "node-0",
// "state", "cloud", "users", a machine's name, "workers" for all machines, "workers/a" for
// those of zone a, "workers/even" and "workers/odd" for about half of them, and "zone a"
// for whatever is in that zone.
func (w *World) Link(from, to string, l Link) {
	path := ends{from, to}
	if l == (Link{}) {
		delete(w.links, path)
	} else {
		l.since = w.Now
		w.links[path] = &l
	}
	w.release(path)
}

// Between does so in both directions.
func (w *World) Between(a, b string, l Link) {
	w.Link(a, b, l)
	w.Link(b, a, l)
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

// release sends again what a path held, and breaks the links between controllers that have
// lost something and could now be made anew.
func (w *World) release(path ends) {
	kept := w.held
	w.held = nil
	for _, p := range kept {
		if p.path == path {
			p.send()
		} else {
			w.held = append(w.held, p)
		}
	}
	for _, l := range w.siblings() {
		if (l.gap[0] || l.gap[1]) && !w.barred(l.a.Label, l.b.Label) {
			l.close()
		}
	}
}

// siblings are the links between controllers, in the order in which they were made.
func (w *World) siblings() []*peerLink {
	var out []*peerLink
	for _, l := range w.peers {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *peerLink) int { return int(a.id) - int(b.id) })
	return out
}

// barred reports whether no connection is made between two ends.
func (w *World) barred(a, b string) bool {
	to, _ := w.way(a, b)
	back, _ := w.way(b, a)
	return to.bars() || back.bars()
}

// CutZone silences all paths between a zone and the rest, or, if other names a zone,
// those between the two. The regional services are in no zone.
func (w *World) CutZone(zone, other string, keep bool) { w.Cut("zone "+zone, "zone "+other, keep) }

// MendZone ends such a cut.
func (w *World) MendZone(zone, other string) { w.Mend("zone "+zone, "zone "+other) }

// names are those that an end answers to, its zone's not among them.
func (w *World) names(end string) []string {
	if !strings.HasPrefix(end, "n-") {
		return []string{end}
	}
	half := "workers/even"
	if (end[len(end)-1]-'0')%2 == 1 {
		half = "workers/odd"
	}
	return []string{end, "workers", "workers/" + w.zone(end), half}
}

// zone is where an end is, empty for what is regional.
func (w *World) zone(end string) string {
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

// way is what becomes of a packet from one end to another now: all that was said of that
// path together, and the path that would hold it.
func (w *World) way(from, to string) (sum Link, path ends) {
	if len(w.links) == 0 {
		return
	}
	take := func(a, b string) {
		l := w.links[ends{a, b}]
		if l == nil {
			return
		}
		wait := l.up(w.Now)
		if l.Period > 0 && wait == 0 {
			return
		}
		if l.Hold && wait > 0 { // nobody mends a flapping link, it comes up of itself
			sum.Delay = max(sum.Delay, wait)
		} else if l.Hold {
			sum.Hold, path = true, ends{a, b}
		}
		sum.Drop, sum.Refuse, sum.Reset = sum.Drop || l.Drop, sum.Refuse || l.Refuse, sum.Reset || l.Reset
		sum.Delay += l.Delay
		sum.Loss = max(sum.Loss, l.Loss)
		if l.Largest > 0 && (sum.Largest == 0 || l.Largest < sum.Largest) {
			sum.Largest = l.Largest
		}
	}
	for _, a := range w.names(from) {
		for _, b := range w.names(to) {
			take(a, b)
		}
	}
	if a, b := w.zone(from), w.zone(to); a != b {
		take("zone "+a, "zone "+b)
		take("zone "+a, "zone ")
		take("zone ", "zone "+b)
	}
	return sum, path
}

// carry takes a packet of a call from one end to the other; torn is told if the connection
// breaks, which the caller sees at once.
func (w *World) carry(from, to string, f, torn func()) {
	l, path := w.way(from, to)
	switch {
	case l.Drop || l.Largest == 1 || l.Loss > 0 && w.Rand.Float64() < l.Loss || w.Loss > 0 && w.Rand.Float64() < w.Loss:
	case l.Refuse:
		w.After(w.delay(), torn)
	case l.Reset:
		if w.Rand.IntN(2) == 0 {
			w.After(w.delay(), f)
		}
		w.After(w.delay(), torn)
	case l.Hold:
		w.held = append(w.held, packet{path, func() { w.carry(from, to, f, torn) }})
	default:
		w.After(l.Delay+w.delay(), f)
	}
}

// peerLink is a link from a, who dialled, to b.
type peerLink struct {
	w    *World
	id   uint64
	a, b *Node
	last [2]time.Duration // when the newest packet arrives, from a and from b: order is kept
	gap  [2]bool          // something that was sent is lost: what follows is never read
}

func (n *Node) dial() {
	w := n.w
	again := n.inLife(n.dial)
	for _, l := range w.peers {
		if l.a == n && l.b.Label == n.target {
			return
		}
	}
	for _, b := range w.Nodes {
		if b.Label == n.target && n.target != "" {
			if !b.Alive() || w.barred(n.Label, b.Label) || w.PeersRefuse {
				w.After(200*time.Millisecond, again)
				return
			}
			w.linkID++
			l := &peerLink{w: w, id: w.linkID, a: n, b: b}
			w.peers[l.id] = l
			n.Post(core.PeerConnected{Session: l.id, Label: b.Label})
			b.Post(core.PeerConnected{Session: l.id})
		}
	}
}

func (l *peerLink) send(from *Node, m peerproto.Message) {
	w, to, side := l.w, l.a, 1
	if from == l.a {
		to, side = l.b, 0
	}
	if w.peers[l.id] != l || l.gap[side] {
		return
	}
	way, path := w.way(from.Label, to.Label)
	switch {
	case way.Refuse || way.Reset:
		l.close()
		return
	case way.Drop || way.Largest > 0 && size(m) > way.Largest:
		l.gap[side] = true
		return
	case way.Hold:
		w.held = append(w.held, packet{path, func() { l.send(from, m) }})
		return
	case way.Loss > 0 && w.Rand.Float64() < way.Loss:
		way.Delay += 200 * time.Millisecond // it is sent again
	}
	l.last[side] = max(l.last[side], w.Now+w.delay()+way.Delay+w.PeerLatency)
	w.At(l.last[side], to.inLife(func() {
		if w.peers[l.id] == l {
			to.Post(core.PeerReceived{Session: l.id, Message: m})
		}
	}))
}

// size is what a message between controllers takes, in bytes.
func size(m peerproto.Message) int {
	line, err := json.Marshal(m)
	if err != nil {
		panic("fake: a message between controllers is no JSON: " + err.Error())
	}
	return len(line)
}

func (l *peerLink) close() {
	w := l.w
	if w.peers[l.id] != l {
		return
	}
	delete(w.peers, l.id)
	l.a.Post(core.PeerDisconnected{Session: l.id})
	l.b.Post(core.PeerDisconnected{Session: l.id})
	if l.a.Alive() {
		w.After(200*time.Millisecond, l.a.inLife(l.a.dial))
	}
}
