package relay

import (
	"maps"
	"net/netip"
	"strings"
	"time"

	"shallotramp/internal/fleet/link"
	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/fleet/statesync"
	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/ops/event"
)

const (
	// minDialDelay and maxDialDelay limit the backoff of dials to one address, before jitter.
	minDialDelay = 500 * time.Millisecond
	maxDialDelay = 15 * time.Second
	// higherNameDialDelay is how long the host with the higher name waits for the one with the lower name to dial, so
	// that normally only one of them dials.
	higherNameDialDelay = time.Second
	// unneededLinkTimeout is how long an unneeded link is kept open.
	unneededLinkTimeout = 5 * time.Second
	// linkTimeout is how long a link may be silent before it is closed.
	linkTimeout = 4 * time.Second
	// linkCheckInterval is how often missing and unneeded links are checked for.
	linkCheckInterval = 300 * time.Millisecond
	// backoffTTL is how long the backoff of an address that is no longer dialled is kept.
	backoffTTL = time.Hour
	// maxContactHosts limits the hosts of a zone that are announced to another zone, apart from relays.
	maxContactHosts = 5
)

// dialBackoff limits the rate of dials to one address.
type dialBackoff struct {
	nextDial time.Time
	delay    time.Duration
}

// LinkUp records an open link. Of two links with the same host, one is closed; see [Core.shouldReplace].
func (c *Core) LinkUp(now time.Time, id LinkID, h membership.Host, dialled bool) []Effect {
	p := &peer{id: id, host: h, dialled: dialled, lastReceived: now, nextHeartbeat: now, decoders: map[string]*statesync.Decoder{}}
	c.backoffs[h.Address] = &dialBackoff{delay: minDialDelay, nextDial: now.Add(minDialDelay)}
	if old := c.peers[h.Name]; old != nil {
		if !c.shouldReplace(p, old) {
			c.emit(CloseLink{id, "a link with this host is already open"})
			return c.takeEffects()
		}
		delete(c.peersByID, old.id)
		c.emit(CloseLink{old.id, "replaced by a newer link"})
	}
	c.peers[h.Name], c.peersByID[id], c.peersSorted = p, p, nil
	c.recordMemberChanges(c.table.LinkUp(now, h))
	c.recordEvent(event.LinkUp, h.Name, linkOrigin(dialled))
	c.sendHeartbeat(now, p)
	c.send(p, &wire.Envelope{Body: &wire.Envelope_Members{Members: c.knownHosts(h)}})
	c.sendFullStates(now, p)
	return c.takeEffects()
}

func linkOrigin(dialled bool) string {
	if dialled {
		return "dialled"
	}
	return "accepted"
}

// shouldReplace reports whether the new link p replaces old, a link with the same host. The link with the newer
// incarnation of the host is kept. If both are the same, the newer of two links in the same direction is kept, and
// otherwise the link that the host with the lower name dialled.
func (c *Core) shouldReplace(p, old *peer) bool {
	if p.host.Incarnation != old.host.Incarnation {
		return p.host.Incarnation > old.host.Incarnation
	}
	return p.dialled == old.dialled || p.dialled == (c.self.Name < p.host.Name)
}

// knownHosts returns the hosts to announce to the host to: all of its zone, and of each other zone the acting relays
// and some others.
func (c *Core) knownHosts(to membership.Host) *wire.Members {
	out := &wire.Members{}
	count := map[string]int{}
	relay := c.zoneRelay()
	for m := range c.table.Each() {
		if m.Name == to.Name || m.State == membership.Left || m.State == membership.Seeded && m.Zone != c.self.Zone {
			continue
		}
		if m.Zone != to.Zone && m.Name != relay && !m.Acting {
			if count[m.Zone]++; count[m.Zone] > maxContactHosts {
				continue
			}
		}
		out.Hosts = append(out.Hosts, link.HostToWire(m.Host))
	}
	return out
}

// LinkDown records that a link was closed.
func (c *Core) LinkDown(now time.Time, id LinkID, cause string) []Effect {
	p, ok := c.peersByID[id]
	if !ok {
		return nil
	}
	delete(c.peersByID, id)
	delete(c.peers, p.host.Name)
	c.peersSorted = nil
	maps.DeleteFunc(c.states.lastRequests, func(k string, _ time.Time) bool { return strings.HasPrefix(k, p.host.Name+"/") })
	c.recordMemberChanges(c.table.LinkDown(now, p.host.Name, "the link was closed"))
	c.recordEvent(event.LinkDown, p.host.Name, cause)
	return c.takeEffects()
}

// DialFailed records a failed dial and increases the backoff of the address.
func (c *Core) DialFailed(now time.Time, to netip.AddrPort, cause string) []Effect {
	c.recordEvent(event.LinkRefused, to.String(), cause)
	b := c.backoffOf(to)
	b.delay = min(2*b.delay, maxDialDelay)
	b.nextDial = now.Add(b.delay/2 + randDuration(c.rand, b.delay))
	return c.takeEffects()
}

func (c *Core) backoffOf(to netip.AddrPort) *dialBackoff {
	b, ok := c.backoffs[to]
	if !ok {
		b = &dialBackoff{delay: minDialDelay}
		c.backoffs[to] = b
	}
	return b
}

// dial opens a link to the address unless its backoff has not passed.
func (c *Core) dial(now time.Time, to netip.AddrPort) {
	b := c.backoffOf(to)
	if now.Before(b.nextDial) {
		return
	}
	// Normally DialFailed or LinkUp sets the time of the next dial before this delay has passed.
	b.nextDial = now.Add(maxDialDelay + randDuration(c.rand, maxDialDelay))
	c.emit(Dial{to})
}

// maintainLinks opens missing links and closes links that are silent or unneeded.
func (c *Core) maintainLinks(now time.Time) {
	if now.Before(c.nextLinkCheck) {
		return
	}
	c.nextLinkCheck = now.Add(linkCheckInterval)
	contacts := c.contacts()
	for m := range c.table.Each() {
		if c.peers[m.Name] != nil || c.leaving || m.State == membership.Left {
			continue
		}
		wanted := m.Zone == c.self.Zone || contacts[m.Zone] == m.Name
		if wanted && (m.Name > c.self.Name || now.Sub(m.Since) >= higherNameDialDelay) {
			c.dial(now, m.Address)
		}
	}
	if len(c.peers) == 0 && !c.leaving {
		for _, a := range c.seeds {
			if a != c.self.Address {
				c.dial(now, a)
			}
		}
	}
	c.closeUnneededLinks(now, contacts)
	maps.DeleteFunc(c.backoffs, func(_ netip.AddrPort, b *dialBackoff) bool { return now.Sub(b.nextDial) > backoffTTL })
}

// contacts returns the name of the host of each other zone with which this host, as the relay, keeps a link. It is
// empty if this host is not the relay.
func (c *Core) contacts() map[string]string {
	out := map[string]string{}
	if !c.acting {
		return out
	}
	best := map[string]*membership.Member{}
	for m := range c.table.Each() {
		if m.Zone == c.self.Zone || m.State == membership.Left {
			continue
		}
		if b, ok := best[m.Zone]; !ok || c.isBetterContact(m, b) {
			best[m.Zone] = m
		}
	}
	for zone, m := range best {
		out[zone] = m.Name
	}
	return out
}

// isBetterContact reports whether m is a better contact of its zone than b. The relay is preferred, then a linked
// host, then a live one, then the one with the shortest dial backoff, then the one that may be dialled first.
func (c *Core) isBetterContact(m, b *membership.Member) bool {
	if rm, rb := c.contactRank(m), c.contactRank(b); rm != rb {
		return rm > rb
	}
	dm, db := c.backoffOf(m.Address), c.backoffOf(b.Address)
	if dm.delay != db.delay {
		return dm.delay < db.delay
	}
	return dm.nextDial.Before(db.nextDial)
}

func (c *Core) contactRank(m *membership.Member) int {
	r := 0
	if c.isNamedRelay(m) {
		r += 4
	}
	if c.peers[m.Name] != nil {
		r += 2
	}
	if m.State == membership.Alive {
		r++
	}
	return r
}

// isNamedRelay reports whether a linked host of the zone names m as the relay. Suspect hosts do not count.
func (c *Core) isNamedRelay(m *membership.Member) bool {
	if m.State == membership.Suspect {
		return false
	}
	for _, p := range c.peers {
		if p.host.Zone == m.Zone && p.zoneRelay == m.Name {
			return true
		}
	}
	return false
}

// closeUnneededLinks closes silent links at once, and unneeded links that this host dialled after a delay. An accepted
// link is left to the host that dialled it.
func (c *Core) closeUnneededLinks(now time.Time, contacts map[string]string) {
	for _, p := range c.sortedPeers() {
		if now.Sub(p.lastReceived) >= linkTimeout {
			c.emit(CloseLink{p.id, "silent"})
			continue
		}
		needed := !p.dialled || p.host.Zone == c.self.Zone || contacts[p.host.Zone] == p.host.Name || c.awaitsContact(p.host.Zone, contacts)
		if needed {
			p.unneededSince = time.Time{}
			continue
		}
		if p.unneededSince.IsZero() {
			p.unneededSince = now
		}
		if now.Sub(p.unneededSince) >= unneededLinkTimeout {
			c.emit(CloseLink{p.id, "no longer needed"})
		}
	}
}

// awaitsContact reports whether the contact of the zone is not linked yet. Until then, other links with the zone are
// kept.
func (c *Core) awaitsContact(zone string, contacts map[string]string) bool {
	name, ok := contacts[zone]
	return ok && c.peers[name] == nil
}
