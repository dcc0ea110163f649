package relay

import (
	"maps"
	"net/netip"
	"strings"
	"time"

	"shallotramp/internal/fleet/exchange"
	"shallotramp/internal/fleet/link"
	"shallotramp/internal/fleet/member"
	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/ops/event"
)

const (
	// firstDelay is the pause after a first failed dial, maxDelay the longest.
	firstDelay = 500 * time.Millisecond
	maxDelay   = 15 * time.Second
	// politeDelay is how long the host with the higher name waits for the lower one to dial.
	politeDelay = time.Second
	// unwantedFor is how long a link without purpose is kept.
	unwantedFor = 5 * time.Second
	// silence is how long nothing may come over a link before it is dropped.
	silence = 4 * time.Second
	// linkInterval is how often missing and needless links are looked for.
	linkInterval = 300 * time.Millisecond
	// forgetDial is how long an address that is no longer dialled is remembered.
	forgetDial = time.Hour
	// contactHosts bounds the hosts of a zone that are named to another zone.
	contactHosts = 5
)

// backoff spaces the dials to one address.
type backoff struct {
	next  time.Time
	delay time.Duration
}

// Up notes an open link. Two links with the same host are reduced to the one that the lower name dialled.
func (c *Core) Up(now time.Time, id LinkID, h member.Host, dialled bool) []Effect {
	p := &peer{id: id, host: h, dialled: dialled, heard: now, next: now, decoders: map[string]*exchange.Decoder{}}
	c.dials[h.Address] = &backoff{delay: firstDelay, next: now.Add(firstDelay)}
	if old := c.peers[h.Name]; old != nil {
		if !c.replaces(p, old) {
			c.emit(Drop{id, "a link with the host is open"})
			return c.take()
		}
		delete(c.byID, old.id)
		c.emit(Drop{old.id, "replaced by a newer link"})
	}
	c.peers[h.Name], c.byID[id], c.order = p, p, nil
	c.changes(c.table.Hear(now, h))
	c.note(event.LinkUp, h.Name, dialCause(dialled))
	c.beat(now, p)
	c.send(p, &wire.Envelope{Body: &wire.Envelope_Members{Members: c.introduce(h)}})
	c.introduceStates(now, p)
	return c.take()
}

func dialCause(dialled bool) string {
	if dialled {
		return "dialled"
	}
	return "accepted"
}

func (c *Core) replaces(p, old *peer) bool {
	if p.host.Incarnation != old.host.Incarnation {
		return p.host.Incarnation > old.host.Incarnation
	}
	return p.dialled == old.dialled || p.dialled == (c.self.Name < p.host.Name)
}

// introduce lists hosts that the host to should know: all of its zone and some of each other zone.
func (c *Core) introduce(to member.Host) *wire.Members {
	out := &wire.Members{}
	count := map[string]int{}
	relay := c.relayOf()
	for m := range c.table.Each() {
		if m.Name == to.Name || m.State == member.Left || m.State == member.Seeded && m.Zone != c.self.Zone {
			continue
		}
		if m.Zone != to.Zone && m.Name != relay && !m.Acting {
			if count[m.Zone]++; count[m.Zone] > contactHosts {
				continue
			}
		}
		out.Hosts = append(out.Hosts, link.HostToWire(m.Host))
	}
	return out
}

// Down notes that a link ended.
func (c *Core) Down(now time.Time, id LinkID, cause string) []Effect {
	p, ok := c.byID[id]
	if !ok {
		return nil
	}
	delete(c.byID, id)
	delete(c.peers, p.host.Name)
	c.order = nil
	maps.DeleteFunc(c.states.requests, func(k string, _ time.Time) bool { return strings.HasPrefix(k, p.host.Name+"/") })
	c.changes(c.table.Lose(now, p.host.Name, "the link ended"))
	c.note(event.LinkDown, p.host.Name, cause)
	return c.take()
}

// Refused notes a dial that failed.
func (c *Core) Refused(now time.Time, to netip.AddrPort, cause string) []Effect {
	c.note(event.LinkRefused, to.String(), cause)
	b := c.backoffOf(to)
	b.delay = min(2*b.delay, maxDelay)
	b.next = now.Add(b.delay/2 + randDuration(c.rand, b.delay))
	return c.take()
}

func (c *Core) backoffOf(to netip.AddrPort) *backoff {
	b, ok := c.dials[to]
	if !ok {
		b = &backoff{delay: firstDelay}
		c.dials[to] = b
	}
	return b
}

// dial opens a link with the address unless one was tried lately.
func (c *Core) dial(now time.Time, to netip.AddrPort) {
	b := c.backoffOf(to)
	if now.Before(b.next) {
		return
	}
	// Until the dial is refused or the link is up; both come sooner.
	b.next = now.Add(maxDelay + randDuration(c.rand, maxDelay))
	c.emit(Dial{to})
}

// links opens the links that are missing and drops those that are silent or serve no purpose.
func (c *Core) links(now time.Time) {
	if now.Before(c.nextLinks) {
		return
	}
	c.nextLinks = now.Add(linkInterval)
	contacts := c.contacts()
	for m := range c.table.Each() {
		if c.peers[m.Name] != nil || c.leaving || m.State == member.Left {
			continue
		}
		wanted := m.Zone == c.self.Zone || contacts[m.Zone] == m.Name
		if wanted && (m.Name > c.self.Name || now.Sub(m.Since) >= politeDelay) {
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
	c.prune(now, contacts)
	maps.DeleteFunc(c.dials, func(_ netip.AddrPort, b *backoff) bool { return now.Sub(b.next) > forgetDial })
}

// contacts returns the host of each other zone with which this host, as the relay of its zone, keeps a link.
func (c *Core) contacts() map[string]string {
	out := map[string]string{}
	if !c.acting {
		return out
	}
	best := map[string]*member.Member{}
	for m := range c.table.Each() {
		if m.Zone == c.self.Zone || m.State == member.Left {
			continue
		}
		if b, ok := best[m.Zone]; !ok || c.better(m, b) {
			best[m.Zone] = m
		}
	}
	for zone, m := range best {
		out[zone] = m.Name
	}
	return out
}

// better reports whether m is the better contact of its zone: its relay, else a linked or live host, else
// the one whose dials failed least and longest ago.
func (c *Core) better(m, b *member.Member) bool {
	if rm, rb := c.rank(m), c.rank(b); rm != rb {
		return rm > rb
	}
	dm, db := c.backoffOf(m.Address), c.backoffOf(b.Address)
	if dm.delay != db.delay {
		return dm.delay < db.delay
	}
	return dm.next.Before(db.next)
}

func (c *Core) rank(m *member.Member) int {
	r := 0
	if c.namedRelay(m) {
		r += 4
	}
	if c.peers[m.Name] != nil {
		r += 2
	}
	if m.State == member.Alive {
		r++
	}
	return r
}

// namedRelay reports whether a linked host of the zone says that m is its relay.
func (c *Core) namedRelay(m *member.Member) bool {
	if m.State == member.Suspect {
		return false
	}
	for _, p := range c.peers {
		if p.host.Zone == m.Zone && p.relay == m.Name {
			return true
		}
	}
	return false
}

// prune drops silent links, and after a while those that no end needs.
func (c *Core) prune(now time.Time, contacts map[string]string) {
	for _, p := range c.sortedPeers() {
		if now.Sub(p.heard) >= silence {
			c.emit(Drop{p.id, "silent"})
			continue
		}
		needed := !p.dialled || p.host.Zone == c.self.Zone || contacts[p.host.Zone] == p.host.Name || c.waits(p.host.Zone, contacts)
		if needed {
			p.unwanted = time.Time{}
			continue
		}
		if p.unwanted.IsZero() {
			p.unwanted = now
		}
		if now.Sub(p.unwanted) >= unwantedFor {
			c.emit(Drop{p.id, "no longer needed"})
		}
	}
}

// waits reports whether the zone's chosen contact is not linked yet.
func (c *Core) waits(zone string, contacts map[string]string) bool {
	name, ok := contacts[zone]
	return ok && c.peers[name] == nil
}
