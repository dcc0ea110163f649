package relay

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"shallotramp/internal/fleet/link"
	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/fleet/wire"
)

func releaseSubject(n uint64) string { return "release/" + strconv.FormatUint(n, 10) }

func (c *Core) sortedPeers() []*peer {
	if c.peersSorted == nil {
		c.peersSorted = slices.SortedFunc(maps.Values(c.peers), func(a, b *peer) int { return strings.Compare(a.host.Name, b.host.Name) })
	}
	return c.peersSorted
}

func (c *Core) sendDueHeartbeats(now time.Time) {
	for _, p := range c.sortedPeers() {
		due := p.nextHeartbeat
		if c.states.awaitingState && p.host.Zone == c.self.Zone {
			// The state message that is about to be sent will carry the heartbeat in its frame.
			due = due.Add(heartbeatSlack)
		}
		if !now.Before(due) {
			c.sendHeartbeat(now, p)
		}
	}
}

func (c *Core) sendHeartbeats(now time.Time) {
	for _, p := range c.sortedPeers() {
		c.sendHeartbeat(now, p)
	}
}

// clock returns this host's clock as used in heartbeats: nanoseconds since the start plus one, because zero means none.
func (c *Core) clock(now time.Time) uint64 { return uint64(now.Sub(c.started)) + 1 }

func (c *Core) sendHeartbeat(now time.Time, p *peer) {
	h := &wire.Heartbeat{
		Stamp: c.clock(now), Release: c.release, Leased: c.leased, Acting: c.acting, Leaving: c.leaving,
	}
	if p.lastStamp != 0 {
		h.Echo, h.Held = p.lastStamp, uint64(now.Sub(p.lastStampAt))
	}
	if !c.confirmed.IsZero() {
		h.ConfirmedAge = uint64(max(now.Sub(c.confirmed), 0)) + 1
	}
	if p.host.Zone != c.self.Zone {
		h.Relay = c.zoneRelay()
	}
	p.nextHeartbeat = now.Add(heartbeatInterval)
	c.send(p, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: h}})
}

// Receive handles a message received over a link.
func (c *Core) Receive(now time.Time, id LinkID, e *wire.Envelope) []Effect {
	p, ok := c.peersByID[id]
	if !ok {
		return nil
	}
	p.lastReceived = now
	switch b := e.GetBody().(type) {
	case *wire.Envelope_Heartbeat:
		c.receiveHeartbeat(now, p, b.Heartbeat)
	case *wire.Envelope_Members:
		c.receiveMembers(now, b.Members)
	case *wire.Envelope_HeadRequest:
		c.serveHead(p)
	case *wire.Envelope_Head:
		c.receiveHead(now, p, b.Head)
	case *wire.Envelope_ChunkRequest:
		c.serveChunk(now, p, b.ChunkRequest)
	case *wire.Envelope_Chunk:
		c.receiveChunk(now, b.Chunk)
	case *wire.Envelope_State:
		c.receiveState(now, p, b.State)
	case *wire.Envelope_StateRequest:
		c.receiveStateRequest(now, p, b.StateRequest)
	case *wire.Envelope_ZoneStatus:
		c.receiveZoneStatus(p, b.ZoneStatus)
	case *wire.Envelope_Loads:
		c.receiveLoads(now, p, b.Loads)
	}
	return c.takeEffects()
}

func (c *Core) receiveMembers(now time.Time, m *wire.Members) {
	for _, h := range m.GetHosts() {
		c.addListedHost(now, link.HostFromWire(h))
	}
}

func (c *Core) receiveHeartbeat(now time.Time, p *peer, h *wire.Heartbeat) {
	at := c.confirmedAt(now, h)
	p.lastStamp, p.lastStampAt, p.zoneRelay = h.GetStamp(), now, h.GetRelay()
	p.release = max(p.release, h.GetRelease())
	if h.GetLeaving() {
		c.recordMemberChanges(c.table.Leave(now, p.host.Name))
		return
	}
	c.recordMemberChanges(c.table.Heartbeat(now, p.host.Name, membership.Heartbeat{
		Release: h.GetRelease(), Confirmed: at, Leased: h.GetLeased(), Acting: h.GetActing(),
	}))
	// This host's release is at least as new as the sender's, which was the newest at that time.
	if h.GetRelease() <= c.release && at.After(c.confirmed) {
		c.confirmed = at
		c.postponeRead(now)
		c.emit(Confirm{c.release, at})
	}
	if h.GetRelease() > c.release {
		c.startPull(now, p)
	}
	if h.GetEcho() == 0 {
		// The peer needs the echo of its stamp to bound the age of confirmations.
		c.sendHeartbeat(now, p)
	}
}

// confirmedAt returns, on this host's clock, a time not later than the sender's last confirmation of its release, or
// zero if h has none. The sender sent h after it received the echoed heartbeat of this host. So the time since that
// heartbeat, less the time that the sender held it, is an upper bound of the transit time of h, even if h was delayed
// on the way.
func (c *Core) confirmedAt(now time.Time, h *wire.Heartbeat) time.Time {
	clock := c.clock(now)
	if h.GetConfirmedAge() == 0 || h.GetEcho() == 0 || h.GetEcho() > clock {
		return time.Time{}
	}
	roundTrip := time.Duration(clock - h.GetEcho())
	held := time.Duration(h.GetHeld())
	age := time.Duration(h.GetConfirmedAge() - 1)
	if held < 0 || held > roundTrip || age < 0 {
		return time.Time{}
	}
	return now.Add(-age - (roundTrip - held))
}
