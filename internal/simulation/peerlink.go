package simulation

import (
	"slices"
	"time"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

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

// siblings are the links between controllers, in the order in which they were made.
func (w *World) siblings() []*peerLink {
	var out []*peerLink
	for _, l := range w.peers {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *peerLink) int { return int(a.id) - int(b.id) })
	return out
}
