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
	cluster          *World
	id               uint64
	dialer, acceptor *Node
	lastArrival      [2]time.Duration // when the newest packet arrives, from a and from b: order is kept
	lossy            [2]bool          // something that was sent is lost: what follows is never read
}

func (n *Node) dialPeer() {
	w := n.cluster
	again := n.ifSameProcess(n.dialPeer)
	for _, l := range w.peerLinks {
		if l.dialer == n && l.acceptor.Label == n.peerTarget {
			return
		}
	}
	for _, b := range w.Nodes {
		if b.Label == n.peerTarget && n.peerTarget != "" {
			if !b.Alive() || w.connectionBlocked(n.Label, b.Label) || w.PeersRefuse {
				w.After(200*time.Millisecond, again)
				return
			}
			w.lastLinkID++
			l := &peerLink{cluster: w, id: w.lastLinkID, dialer: n, acceptor: b}
			w.peerLinks[l.id] = l
			n.Post(core.PeerConnected{Session: l.id, Label: b.Label})
			b.Post(core.PeerConnected{Session: l.id})
		}
	}
}

func (l *peerLink) send(from *Node, m peerproto.Message) {
	w, to, side := l.cluster, l.dialer, 1
	if from == l.dialer {
		to, side = l.acceptor, 0
	}
	if w.peerLinks[l.id] != l || l.lossy[side] {
		return
	}
	way, path := w.linkBetween(from.Label, to.Label)
	switch {
	case way.Refuse || way.Reset:
		l.close()
		return
	case way.Drop || way.Largest > 0 && messageBytes(m) > way.Largest:
		l.lossy[side] = true
		return
	case way.Hold:
		w.heldPackets = append(w.heldPackets, heldPacket{path, func() { l.send(from, m) }})
		return
	case way.Loss > 0 && w.Rand.Float64() < way.Loss:
		way.Delay += 200 * time.Millisecond // it is sent again
	}
	l.lastArrival[side] = max(l.lastArrival[side], w.Now+w.networkDelay()+way.Delay+w.PeerLatency)
	w.At(l.lastArrival[side], to.ifSameProcess(func() {
		if w.peerLinks[l.id] == l {
			to.Post(core.PeerReceived{Session: l.id, Message: m})
		}
	}))
}

// messageBytes is what a message between controllers takes, in bytes.
func messageBytes(m peerproto.Message) int {
	line, err := json.Marshal(m)
	if err != nil {
		panic("fake: a message between controllers is no JSON: " + err.Error())
	}
	return len(line)
}

func (l *peerLink) close() {
	w := l.cluster
	if w.peerLinks[l.id] != l {
		return
	}
	delete(w.peerLinks, l.id)
	l.dialer.Post(core.PeerDisconnected{Session: l.id})
	l.acceptor.Post(core.PeerDisconnected{Session: l.id})
	if l.dialer.Alive() {
		w.After(200*time.Millisecond, l.dialer.ifSameProcess(l.dialer.dialPeer))
	}
}

// sortedPeerLinks are the links between controllers, in the order in which they were made.
func (w *World) sortedPeerLinks() []*peerLink {
	var out []*peerLink
	for _, l := range w.peerLinks {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *peerLink) int { return int(a.id) - int(b.id) })
	return out
}
