package simulation

import (
	"slices"
	"time"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

const (
	// redialInterval is the time after which a node dials a peer again, if the connection was
	// closed or could not be established.
	redialInterval = 200 * time.Millisecond
	// retransmitDelay is the additional delay of a message that is lost once and retransmitted.
	retransmitDelay = 200 * time.Millisecond
)

// The two directions of a peer link, as indices into the arrays of peerLink.
const (
	fromDialer = iota
	fromAcceptor
)

// peerLink is a connection between two controllers. In each direction, messages arrive in the
// order in which they were sent.
type peerLink struct {
	cluster     *Cluster
	id          uint64 // session ID at both ends
	dialer      *Node
	acceptor    *Node
	lastArrival [2]time.Duration // arrival time of the latest message, by direction
	stalled     [2]bool          // by direction: a message was lost, so no later one arrives either
}

// dialPeer connects the node to its peer target, unless it is connected already. If no connection
// can be established, it tries again after redialInterval.
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

// send sends a message from one end to the other. Depending on the network's faults, the message
// is delivered, delayed or lost, or the connection is closed. Once a message has been lost, the
// later ones in its direction are lost too.
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

// messageBytes returns the size of a message between controllers on the wire, where it is JSON.
func messageBytes(message peerproto.Message) int {
	line, err := json.Marshal(message)
	if err != nil {
		panic("simulation: encode peer message as JSON: " + err.Error())
	}
	return len(line)
}

// close closes the connection at both ends. The dialer dials again after redialInterval.
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

// sortedPeerLinks returns the peer links in the order in which they were established.
func (c *Cluster) sortedPeerLinks() []*peerLink {
	var links []*peerLink
	for _, link := range c.peerLinks {
		links = append(links, link)
	}
	slices.SortFunc(links, func(a, b *peerLink) int { return int(a.id) - int(b.id) })
	return links
}
