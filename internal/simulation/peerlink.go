package simulation

import (
	"slices"
	"time"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

const (
	// redialInterval is the pause before a node dials a peer again.
	redialInterval = 200 * time.Millisecond
	// retransmitDelay is what a lost packet of a peer link costs: it is sent once more.
	retransmitDelay = 200 * time.Millisecond
)

// The two directions of a peer link, as indices.
const (
	fromDialer = iota
	fromAcceptor
)

// peerLink is a connection between two controllers. In each direction messages arrive in
// the order in which they were sent.
type peerLink struct {
	cluster     *Cluster
	id          uint64 // the session, for both ends
	dialer      *Node
	acceptor    *Node
	lastArrival [2]time.Duration // of the newest message, by direction
	stalled     [2]bool          // a message was lost in that direction: none after it is read
}

// dialPeer connects the node to its peer target, now or once that is possible.
func (n *Node) dialPeer() {
	cluster := n.cluster
	retry := n.ifSameProcess(n.dialPeer)
	for _, link := range cluster.peerLinks {
		if link.dialer == n && link.acceptor.Label == n.peerTarget {
			return
		}
	}
	for _, peer := range cluster.Nodes {
		if n.peerTarget == "" || peer.Label != n.peerTarget {
			continue
		}
		if !peer.Alive() || cluster.connectionBlocked(n.Label, peer.Label) || cluster.PeersRefuseConnections {
			cluster.After(redialInterval, retry)
			return
		}
		cluster.connectPeers(n, peer)
	}
}

func (c *Cluster) connectPeers(dialer, acceptor *Node) {
	c.lastLinkID++
	link := &peerLink{cluster: c, id: c.lastLinkID, dialer: dialer, acceptor: acceptor}
	c.peerLinks[link.id] = link
	dialer.Post(core.PeerConnected{Session: link.id, Label: acceptor.Label})
	acceptor.Post(core.PeerConnected{Session: link.id})
}

// send carries a message from one end to the other, as far as the network lets it.
func (l *peerLink) send(from *Node, message peerproto.Message) {
	cluster, to, direction := l.cluster, l.dialer, fromAcceptor
	if from == l.dialer {
		to, direction = l.acceptor, fromDialer
	}
	if cluster.peerLinks[l.id] != l || l.stalled[direction] {
		return
	}
	path, heldBy := cluster.linkBetween(from.Label, to.Label)
	switch {
	case path.Refuse || path.Reset:
		l.close()
		return
	case path.Drop || path.MaxMessageBytes > 0 && messageBytes(message) > path.MaxMessageBytes:
		l.stalled[direction] = true
		return
	case path.Hold:
		cluster.heldPackets = append(cluster.heldPackets, heldPacket{heldBy, func() { l.send(from, message) }})
		return
	case path.Loss > 0 && cluster.Rand.Float64() < path.Loss:
		path.Delay += retransmitDelay
	}
	arrival := cluster.Now + cluster.networkDelay() + path.Delay + cluster.PeerLatency
	l.lastArrival[direction] = max(l.lastArrival[direction], arrival)
	cluster.At(l.lastArrival[direction], to.ifSameProcess(func() {
		if cluster.peerLinks[l.id] == l {
			to.Post(core.PeerReceived{Session: l.id, Message: message})
		}
	}))
}

// messageBytes is the size of a message between controllers on the wire.
func messageBytes(message peerproto.Message) int {
	line, err := json.Marshal(message)
	if err != nil {
		panic("simulation: a peer message is not valid JSON: " + err.Error())
	}
	return len(line)
}

// close breaks the connection; the dialer tries again after a while.
func (l *peerLink) close() {
	cluster := l.cluster
	if cluster.peerLinks[l.id] != l {
		return
	}
	delete(cluster.peerLinks, l.id)
	l.dialer.Post(core.PeerDisconnected{Session: l.id})
	l.acceptor.Post(core.PeerDisconnected{Session: l.id})
	if l.dialer.Alive() {
		cluster.After(redialInterval, l.dialer.ifSameProcess(l.dialer.dialPeer))
	}
}

// sortedPeerLinks are the links between controllers in the order in which they were made.
func (c *Cluster) sortedPeerLinks() []*peerLink {
	var links []*peerLink
	for _, link := range c.peerLinks {
		links = append(links, link)
	}
	slices.SortFunc(links, func(a, b *peerLink) int { return int(a.id) - int(b.id) })
	return links
}
