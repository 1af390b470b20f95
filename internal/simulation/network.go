package simulation

import (
	"strings"
	"time"
)

// Link describes the faults that affect packets from one endpoint to another, in this direction
// only. With the zero Link all packets are delivered.
type Link struct {
	Drop            bool          // packets are lost
	Hold            bool          // packets are buffered and delivered once the link is healed
	Refuse          bool          // new connections are refused; an existing one breaks when something is sent
	Reset           bool          // a connection breaks when something is sent; what was sent may still arrive
	Delay           time.Duration // added to the latency
	Loss            float64       // share of the packets that is lost
	MaxMessageBytes int           // larger messages between controllers never arrive, 0: no limit
	FlapPeriod      time.Duration // the faults are active and inactive in turns, for this time each, 0: always active

	setAt time.Duration // simulated time at which the link was set
}

// Links for common faults.
var (
	Dropped     = Link{Drop: true}
	Held        = Link{Hold: true}
	Refused     = Link{Refuse: true}
	ResetOnSend = Link{Reset: true}
	Unread      = Link{MaxMessageBytes: unreadMaxMessageBytes} // connections are accepted, but the receiver never reads from them
)

// unreadMaxMessageBytes is smaller than any message, so that none arrives.
const unreadMaxMessageBytes = 1

// blocksConnections reports whether no connection can be established over the link.
func (l *Link) blocksConnections() bool { return l.Drop || l.Hold || l.Refuse || l.Reset }

// remainingActiveTime returns how long the faults of a flapping link remain active, 0 if they are inactive or
// the link does not flap. The first period, which begins when the link is set, is an active one.
func (l *Link) remainingActiveTime(now time.Duration) time.Duration {
	if l.FlapPeriod == 0 || (now-l.setAt)/l.FlapPeriod%2 == 1 {
		return 0
	}
	return l.FlapPeriod - (now-l.setAt)%l.FlapPeriod
}

// combine adds the faults of another link that lies on the same packet's path, except Hold, which
// linkBetween handles.
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

// endpoints is a path: its sender and its receiver, in this order.
type endpoints [2]string

// heldPacket is a packet that a link with Hold set has buffered.
type heldPacket struct {
	path endpoints // of the link
	send func()    // sends the packet again
}

// SetLink replaces the link from one endpoint to another and releases the packets that the
// previous link held; the new link may hold them again. An endpoint is a node's label ("node-0"),
// "state", "cloud", "users", a machine's name, "workers" for all machines, "workers/a" for those
// in zone a, "workers/even" and "workers/odd" for those whose name ends in an even or odd digit
// (about half of them each), or "zone a" for everything in zone a.
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

// releaseHeld sends the packets again that the link of a path has held. It also closes each
// stalled peer link whose controllers can connect to each other now, so that they reconnect.
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
		stalled := link.stalled[fromDialer] || link.stalled[fromAcceptor]
		if stalled && !c.connectionBlocked(link.dialer.Label, link.acceptor.Label) {
			link.close()
		}
	}
}

// connectionBlocked reports whether a link in either direction prevents two endpoints from
// establishing a connection.
func (c *Cluster) connectionBlocked(a, b string) bool {
	forward, _ := c.linkBetween(a, b)
	reverse, _ := c.linkBetween(b, a)
	return forward.blocksConnections() || reverse.blocksConnections()
}

// endpointNames returns the names under which SetLink can have set the links of an endpoint: its own
// and those of the groups of machines that it is in, but not that of its zone.
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

// zoneOf returns the zone of an endpoint, empty for the regional services and the users.
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

// linkBetween combines all links that affect packets from one endpoint to another at this time.
// If the combined link holds packets, heldBy is the path whose healing releases them.
func (c *Cluster) linkBetween(from, to string) (combined Link, heldBy endpoints) {
	if len(c.links) == 0 {
		return
	}
	for _, path := range c.pathsBetween(from, to) {
		link := c.links[path]
		if link == nil {
			continue
		}
		untilUp := link.remainingActiveTime(c.Now)
		if link.FlapPeriod > 0 && untilUp == 0 {
			continue
		}
		if link.Hold && untilUp > 0 { // a flapping link delivers packets at the end of its active period, without being healed
			combined.Delay = max(combined.Delay, untilUp)
		} else if link.Hold {
			combined.Hold, heldBy = true, path
		}
		combined.combine(link)
	}
	return combined, heldBy
}

// pathsBetween returns the paths whose links affect packets from one endpoint to another. Links
// of zones do not affect packets within a zone.
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

// zoneEndpoint returns the endpoint name for everything in a zone. With an empty zone, the name
// denotes everything outside the zone at the other end of the path.
func zoneEndpoint(zone string) string { return "zone " + zone }

// deliver sends a packet of a call from one endpoint to another. It schedules onArrival if the
// packet arrives, onReset if the connection is refused or reset, both if the packet arrives in
// spite of a reset, and neither if the packet is lost. A held packet is sent again when it is
// released.
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

// drawChance returns true with the given probability. If that is 0, it draws no random number.
func (c *Cluster) drawChance(probability float64) bool {
	return probability > 0 && c.Rand.Float64() < probability
}

// networkDelay draws the latency of a packet, from 0.5 to 1.5 times Latency.
func (c *Cluster) networkDelay() time.Duration {
	return c.Latency/2 + time.Duration(c.Rand.Int64N(int64(c.Latency)+1))
}

// call sends a request from one endpoint to another and the response back. serve runs at the
// receiver, and again if the request is duplicated, and is passed the function that sends the
// response. onFailure runs if the connection breaks or no response arrives within the timeout.
// Exactly one of onResponse and onFailure runs, once.
func call[T any](c *Cluster, from, to string, timeout time.Duration, serve func(reply func(T)), onResponse func(T), onFailure func()) {
	completed := false
	fail := func() {
		if !completed {
			completed = true
			onFailure()
		}
	}
	c.After(timeout, fail)
	if serveUndelayed := serve; to == endpointStore && c.Store.ResponseDelay > 0 {
		serve = func(reply func(T)) { c.After(c.Store.ResponseDelay, func() { serveUndelayed(reply) }) }
	}
	if c.drawChance(c.DuplicateShare) {
		delay := c.Latency*2 + time.Duration(c.Rand.Int64N(int64(c.MaxDuplicateDelay)+1))
		c.After(delay, func() { serve(func(T) {}) })
	}
	c.deliver(from, to, func() {
		serve(func(response T) {
			c.deliver(to, from, func() {
				if !completed {
					completed = true
					onResponse(response)
				}
			}, fail)
		})
	}, fail)
}
