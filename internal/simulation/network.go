package simulation

import (
	"strings"
	"time"
)

// Link is what the network does to packets from one endpoint to another, in that direction
// alone. The zero Link delivers them.
type Link struct {
	Drop            bool          // packets vanish
	Hold            bool          // packets are kept and arrive once the link is healed
	Refuse          bool          // connections are refused, and those that stand break
	Reset           bool          // connections break when something is sent, which may have arrived
	Delay           time.Duration // is added to the latency
	Loss            float64       // this share of the packets vanishes
	MaxMessageBytes int           // in bytes; larger messages between controllers never get through, 0: all do
	FlapPeriod      time.Duration // the link is down and up in turns, each for so long; 0: down all the time

	setAt time.Duration // when it was set
}

// Links that tests often set.
var (
	Dropped     = Link{Drop: true}
	Held        = Link{Hold: true}
	Refused     = Link{Refuse: true}
	ResetOnSend = Link{Reset: true}
	Unread      = Link{MaxMessageBytes: unreadMaxMessageBytes} // connections are accepted and never read
)

// unreadMaxMessageBytes is the limit of a link that no message gets through.
const unreadMaxMessageBytes = 1

// blocksConnections reports whether no connection is made over the link.
func (l *Link) blocksConnections() bool { return l.Drop || l.Hold || l.Refuse || l.Reset }

// untilUp is how long it takes until a flapping link lets packets pass, 0 if it does now or
// does not flap.
func (l *Link) untilUp(now time.Duration) time.Duration {
	if l.FlapPeriod == 0 || (now-l.setAt)/l.FlapPeriod%2 == 1 {
		return 0
	}
	return l.FlapPeriod - (now-l.setAt)%l.FlapPeriod
}

// combine adds what another link does, if both lie on a packet's path.
func (l *Link) combine(other *Link) {
	l.Drop = l.Drop || other.Drop
	l.Refuse = l.Refuse || other.Refuse
	l.Reset = l.Reset || other.Reset
	l.Delay += other.Delay
	l.Loss = max(l.Loss, other.Loss)
	if other.MaxMessageBytes > 0 && (l.MaxMessageBytes == 0 || other.MaxMessageBytes < l.MaxMessageBytes) {
		l.MaxMessageBytes = other.MaxMessageBytes
	}
}

// endpoints are the sender and the receiver of a direction.
type endpoints [2]string

// heldPacket is one that a link holds.
type heldPacket struct {
	path endpoints
	send func()
}

// SetLink sets the link from one endpoint to another, from now on. Endpoints are
// "node-0", "state", "cloud", "users", a machine's name, "workers" for all machines,
// "workers/a" for those of zone a, "workers/even" and "workers/odd" for about half of them,
// and "zone a" for whatever is in that zone.
func (c *Cluster) SetLink(from, to string, link Link) {
	path := endpoints{from, to}
	if link == (Link{}) {
		delete(c.links, path)
	} else {
		link.setAt = c.Now
		c.links[path] = &link
	}
	c.releaseHeld(path)
}

// SetLinks sets the links of both directions between two endpoints.
func (c *Cluster) SetLinks(a, b string, link Link) {
	c.SetLink(a, b, link)
	c.SetLink(b, a, link)
}

// releaseHeld sends again what a path held, and breaks the links between controllers that
// have lost something and could now be made anew.
func (c *Cluster) releaseHeld(path endpoints) {
	held := c.heldPackets
	c.heldPackets = nil
	for _, packet := range held {
		if packet.path == path {
			packet.send()
		} else {
			c.heldPackets = append(c.heldPackets, packet)
		}
	}
	for _, link := range c.sortedPeerLinks() {
		lossy := link.stalled[fromDialer] || link.stalled[fromAcceptor]
		if lossy && !c.connectionBlocked(link.dialer.Label, link.acceptor.Label) {
			link.close()
		}
	}
}

// connectionBlocked reports whether no connection is made between two endpoints.
func (c *Cluster) connectionBlocked(a, b string) bool {
	there, _ := c.linkBetween(a, b)
	back, _ := c.linkBetween(b, a)
	return there.blocksConnections() || back.blocksConnections()
}

// endpointNames are the names that an endpoint goes by, its zone's not among them.
func (c *Cluster) endpointNames(endpoint string) []string {
	if !strings.HasPrefix(endpoint, machinePrefix) {
		return []string{endpoint}
	}
	half := "workers/even"
	if (endpoint[len(endpoint)-1]-'0')%2 == 1 {
		half = "workers/odd"
	}
	return []string{endpoint, "workers", "workers/" + c.zoneOf(endpoint), half}
}

// zoneOf is where an endpoint is, empty for the regional services and the users.
func (c *Cluster) zoneOf(endpoint string) string {
	if worker := c.Workers[endpoint]; worker != nil {
		return worker.Info.Zone
	}
	for _, node := range c.Nodes {
		if node.Label == endpoint {
			return node.Zone
		}
	}
	return ""
}

// linkBetween combines all links that concern packets from one endpoint to another now. If
// the combined link holds them, heldBy is the path whose healing releases them.
func (c *Cluster) linkBetween(from, to string) (combined Link, heldBy endpoints) {
	if len(c.links) == 0 {
		return
	}
	for _, path := range c.pathsBetween(from, to) {
		link := c.links[path]
		if link == nil {
			continue
		}
		untilUp := link.untilUp(c.Now)
		if link.FlapPeriod > 0 && untilUp == 0 {
			continue
		}
		if link.Hold && untilUp > 0 { // a flapping link is never healed, it comes up of itself
			combined.Delay = max(combined.Delay, untilUp)
		} else if link.Hold {
			combined.Hold, heldBy = true, path
		}
		combined.combine(link)
	}
	return combined, heldBy
}

// pathsBetween are the paths whose links concern packets from one endpoint to another.
func (c *Cluster) pathsBetween(from, to string) []endpoints {
	var paths []endpoints
	toNames := c.endpointNames(to)
	for _, fromName := range c.endpointNames(from) {
		for _, toName := range toNames {
			paths = append(paths, endpoints{fromName, toName})
		}
	}
	if fromZone, toZone := c.zoneOf(from), c.zoneOf(to); fromZone != toZone {
		paths = append(paths,
			endpoints{zoneEndpoint(fromZone), zoneEndpoint(toZone)},
			endpoints{zoneEndpoint(fromZone), zoneEndpoint("")},
			endpoints{zoneEndpoint(""), zoneEndpoint(toZone)})
	}
	return paths
}

// zoneEndpoint is the endpoint that stands for all in a zone, or in any if that is empty.
func zoneEndpoint(zone string) string { return "zone " + zone }

// deliver takes a packet of a call from one endpoint to the other; onReset is called if the
// connection breaks, which the caller sees at once.
func (c *Cluster) deliver(from, to string, onArrival, onReset func()) {
	link, heldBy := c.linkBetween(from, to)
	switch {
	case link.Drop || link.MaxMessageBytes == unreadMaxMessageBytes || c.drawChance(link.Loss) || c.drawChance(c.Loss):
	case link.Refuse:
		c.After(c.networkDelay(), onReset)
	case link.Reset:
		if c.Rand.IntN(2) == 0 {
			c.After(c.networkDelay(), onArrival)
		}
		c.After(c.networkDelay(), onReset)
	case link.Hold:
		c.heldPackets = append(c.heldPackets, heldPacket{heldBy, func() { c.deliver(from, to, onArrival, onReset) }})
	default:
		c.After(link.Delay+c.networkDelay(), onArrival)
	}
}

// drawChance reports whether something happens that does so with a probability; if that is 0,
// nothing is drawn.
func (c *Cluster) drawChance(probability float64) bool {
	return probability > 0 && c.Rand.Float64() < probability
}

// networkDelay draws the latency of a packet: between half of the usual and one and a half.
func (c *Cluster) networkDelay() time.Duration {
	return c.Latency/2 + time.Duration(c.Rand.Int64N(int64(c.Latency)+1))
}

// call carries a request from one endpoint to the other and its answer back. serve runs at
// the far end and gets a function to answer with; onFailure runs if no answer came in time.
// Exactly one of onAnswer and onFailure runs.
func call[T any](c *Cluster, from, to string, timeout time.Duration, serve func(reply func(T)), onAnswer func(T), onFailure func()) {
	over := false
	fail := func() {
		if !over {
			over = true
			onFailure()
		}
	}
	c.After(timeout, fail)
	if serveNow := serve; to == endpointStore && c.Store.ResponseDelay > 0 {
		serve = func(reply func(T)) { c.After(c.Store.ResponseDelay, func() { serveNow(reply) }) }
	}
	if c.drawChance(c.DuplicateShare) {
		delay := c.Latency*2 + time.Duration(c.Rand.Int64N(int64(c.MaxDuplicateDelay)+1))
		c.After(delay, func() { serve(func(T) {}) })
	}
	c.deliver(from, to, func() {
		serve(func(answer T) {
			c.deliver(to, from, func() {
				if !over {
					over = true
					onAnswer(answer)
				}
			}, fail)
		})
	}, fail)
}
