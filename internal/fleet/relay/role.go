package relay

import (
	"time"

	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/ops/event"
)

// updateRole decides whether this host acts as the relay of its zone. The holder of the relay lease does. While no live
// host holds the lease, for instance because the platform is down and the lease cannot be renewed, the live host with
// the lowest name is the fallback relay. Relaying is idempotent, so two relays at the same time do no harm.
func (c *Core) updateRole(now time.Time, leased bool) {
	c.leased = leased && !c.leaving
	if c.otherHoldsLease() {
		c.relayLeaseSeenAt = now
	}
	fallback := !c.leaving && c.hasLowestName() && now.Sub(c.relayLeaseSeenAt) >= fallbackDelay
	acting := c.leased || fallback
	if acting == c.acting {
		return
	}
	c.acting = acting
	switch {
	case c.leased:
		c.recordEvent(event.RoleChange, "relay/"+c.self.Zone, "lease held")
	case acting:
		c.recordEvent(event.RoleChange, "relay/"+c.self.Zone, "no other live host holds the relay lease, and this host has the lowest name of the live hosts")
	default:
		c.recordEvent(event.RoleChange, "relay/"+c.self.Zone, "another host is the relay")
		c.postponeRead(now)
	}
	c.emit(FollowPlatform{acting})
	c.sendHeartbeats(now)
}

// otherHoldsLease reports whether another live host of the zone holds the relay lease.
func (c *Core) otherHoldsLease() bool {
	for m := range c.table.Each() {
		if m.Zone == c.self.Zone && m.State == membership.Alive && m.Leased {
			return true
		}
	}
	return false
}

// hasLowestName reports whether this host has the lowest name among the live hosts of its zone.
func (c *Core) hasLowestName() bool {
	for m := range c.table.Each() {
		if m.Zone == c.self.Zone && m.State == membership.Alive && m.Name < c.self.Name {
			return false
		}
	}
	return true
}

// Candidate reports whether this host should campaign for the relay lease. Only the live host of a zone with the lowest
// name does, so that the number of calls to the platform does not grow with the number of hosts.
func (c *Core) Candidate() bool { return !c.leaving && c.hasLowestName() }

// zoneRelay returns the name of the relay of this host's zone, or "" if none is known. Of several acting relays it
// prefers this host, then the holder of the lease.
func (c *Core) zoneRelay() string {
	if c.acting {
		return c.self.Name
	}
	found := ""
	for m := range c.table.Each() {
		if m.Zone != c.self.Zone || m.State != membership.Alive || !m.Acting {
			continue
		}
		if m.Leased {
			return m.Name
		}
		if found == "" {
			found = m.Name
		}
	}
	return found
}
