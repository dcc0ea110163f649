package relay

import (
	"time"

	"shallotramp/internal/fleet/member"
	"shallotramp/internal/ops/event"
)

// role decides whether this host relays for its zone. The holder of the lease does. While no relay is
// heard, as when the platform is down and no lease can be renewed, the lowest live host does as a hint:
// relaying is idempotent, so two relays do no harm.
func (c *Core) role(now time.Time, leased bool) {
	c.leased = leased && !c.leaving
	if c.otherLeased() {
		c.unled = now
	}
	hint := !c.leaving && c.lowest() && now.Sub(c.unled) >= hintDelay
	acting := c.leased || hint
	if acting == c.acting {
		return
	}
	c.acting = acting
	switch {
	case c.leased:
		c.note(event.RoleChange, "relay/"+c.self.Zone, "lease held")
	case acting:
		c.note(event.RoleChange, "relay/"+c.self.Zone, "no relay was heard and this is the lowest live host")
	default:
		c.note(event.RoleChange, "relay/"+c.self.Zone, "another host relays")
		c.calm(now)
	}
	c.emit(FollowPlatform{acting})
	c.beatAll(now)
}

// otherLeased reports whether another live host of the zone holds the relay lease.
func (c *Core) otherLeased() bool {
	for m := range c.table.Each() {
		if m.Zone == c.self.Zone && m.State == member.Alive && m.Leased {
			return true
		}
	}
	return false
}

// lowest reports whether this host has the lowest name of the live hosts of its zone.
func (c *Core) lowest() bool {
	for m := range c.table.Each() {
		if m.Zone == c.self.Zone && m.State == member.Alive && m.Name < c.self.Name {
			return false
		}
	}
	return true
}

// Candidate reports whether this host should campaign for the relay lease: only the lowest live host of a
// zone does, so that the platform's calls do not grow with the hosts.
func (c *Core) Candidate() bool { return !c.leaving && c.lowest() }

// relayOf returns the relay of this host's zone as far as it is known, or an empty name.
func (c *Core) relayOf() string {
	if c.acting {
		return c.self.Name
	}
	found := ""
	for m := range c.table.Each() {
		if m.Zone != c.self.Zone || m.State != member.Alive || !m.Acting {
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
