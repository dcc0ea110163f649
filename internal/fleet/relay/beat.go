package relay

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"shallotramp/internal/fleet/link"
	"shallotramp/internal/fleet/member"
	"shallotramp/internal/fleet/wire"
)

func releaseName(n uint64) string { return "release/" + strconv.FormatUint(n, 10) }

func (c *Core) sortedPeers() []*peer {
	if c.order == nil {
		c.order = slices.SortedFunc(maps.Values(c.peers), func(a, b *peer) int { return strings.Compare(a.host.Name, b.host.Name) })
	}
	return c.order
}

func (c *Core) beats(now time.Time) {
	for _, p := range c.sortedPeers() {
		due := p.next
		if c.states.asking && p.host.Zone == c.self.Zone {
			// The state that comes soon takes the heartbeat along.
			due = due.Add(beatSlack)
		}
		if !now.Before(due) {
			c.beat(now, p)
		}
	}
}

func (c *Core) beatAll(now time.Time) {
	for _, p := range c.sortedPeers() {
		c.beat(now, p)
	}
}

// clock is this host's clock as peers see it: nanoseconds since the start, plus one so that zero means none.
func (c *Core) clock(now time.Time) uint64 { return uint64(now.Sub(c.started)) + 1 }

// beat sends a heartbeat.
func (c *Core) beat(now time.Time, p *peer) {
	h := &wire.Heartbeat{
		Stamp: c.clock(now), Release: c.release, Leased: c.leased, Acting: c.acting, Leaving: c.leaving,
	}
	if p.stamp != 0 {
		h.Echo, h.Held = p.stamp, uint64(now.Sub(p.got))
	}
	if !c.confirmed.IsZero() {
		h.ConfirmedAge = uint64(max(now.Sub(c.confirmed), 0)) + 1
	}
	if p.host.Zone != c.self.Zone {
		h.Relay = c.relayOf()
	}
	p.next = now.Add(beatInterval)
	c.send(p, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: h}})
}

// Receive takes a message of a link.
func (c *Core) Receive(now time.Time, id LinkID, e *wire.Envelope) []Effect {
	p, ok := c.byID[id]
	if !ok {
		return nil
	}
	p.heard = now
	switch b := e.GetBody().(type) {
	case *wire.Envelope_Heartbeat:
		c.heartbeat(now, p, b.Heartbeat)
	case *wire.Envelope_Members:
		c.members(now, b.Members)
	case *wire.Envelope_HeadRequest:
		c.serveHead(p)
	case *wire.Envelope_Head:
		c.head(now, p, b.Head)
	case *wire.Envelope_ChunkRequest:
		c.serveChunk(now, p, b.ChunkRequest)
	case *wire.Envelope_Chunk:
		c.chunk(now, b.Chunk)
	case *wire.Envelope_State:
		c.state(now, p, b.State)
	case *wire.Envelope_StateRequest:
		c.stateRequest(now, p, b.StateRequest)
	case *wire.Envelope_ZoneStatus:
		c.forward(p, b.ZoneStatus)
	case *wire.Envelope_Loads:
		c.loads(now, p, b.Loads)
	}
	return c.take()
}

func (c *Core) members(now time.Time, m *wire.Members) {
	for _, h := range m.GetHosts() {
		c.seed(now, link.HostFromWire(h))
	}
}

func (c *Core) heartbeat(now time.Time, p *peer, h *wire.Heartbeat) {
	at := c.confirmedAt(now, h)
	p.stamp, p.got, p.relay = h.GetStamp(), now, h.GetRelay()
	p.release = max(p.release, h.GetRelease())
	if h.GetLeaving() {
		c.changes(c.table.Leave(now, p.host.Name))
		return
	}
	c.changes(c.table.Beat(now, p.host.Name, member.Beat{
		Release: h.GetRelease(), Confirmed: at, Leased: h.GetLeased(), Acting: h.GetActing(),
	}))
	// This host's release is at least as new as one that was the newest at that time.
	if h.GetRelease() <= c.release && at.After(c.confirmed) {
		c.confirmed = at
		c.calm(now)
		c.emit(Confirm{c.release, at})
	}
	if h.GetRelease() > c.release {
		c.want(now, p)
	}
	if h.GetEcho() == 0 {
		// The other host needs an echo to know how long a message took.
		c.beat(now, p)
	}
}

// confirmedAt returns, on this host's clock, a time not later than when the sender's release was known to be the
// newest; zero if it tells of none. The message left after the echoed heartbeat of this host came to the
// sender, so that the time since then, less what the sender held it, bounds the transit however
// long the message waited on the way.
func (c *Core) confirmedAt(now time.Time, h *wire.Heartbeat) time.Time {
	clock := c.clock(now)
	if h.GetConfirmedAge() == 0 || h.GetEcho() == 0 || h.GetEcho() > clock {
		return time.Time{}
	}
	trip := time.Duration(clock - h.GetEcho())
	held := time.Duration(h.GetHeld())
	age := time.Duration(h.GetConfirmedAge() - 1)
	if held < 0 || held > trip || age < 0 {
		return time.Time{}
	}
	return now.Add(-age - (trip - held))
}
