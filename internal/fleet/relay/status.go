package relay

import (
	"encoding/json"
	"sort"
	"time"

	"shallotramp/internal/fleet/acceptance"
	"shallotramp/internal/fleet/member"
	"shallotramp/internal/fleet/wire"
)

// statusInterval is the shortest time between two writes of a changed status.
const statusInterval = time.Second

// WriteStatus writes the zone's status to the platform; [Core.Written] tells how it went.
type WriteStatus struct {
	Status acceptance.ZoneStatus
	// Forwarded statuses are another zone's, whose relay cannot reach the platform; nobody waits for their end.
	Forwarded bool
}

func (WriteStatus) effect() {}

// reported is what the platform was last told of the zone.
type reported struct {
	status  acceptance.ZoneStatus
	at      time.Time
	writing bool
	failed  bool
}

// SetLongestGrace notes the longest CutOffGrace of the release in force: silent hosts are remembered for that long.
func (c *Core) SetLongestGrace(d time.Duration) {
	c.grace = d
	c.table.SetForgetAfter(max(member.DefaultForgetAfter, d+member.SuspectAfter))
}

// status tells the platform, as the relay, which hosts have the newest release: at a change, at most once a
// second, and now and then.
func (c *Core) status(now time.Time) {
	if !c.acting || c.release == 0 || c.reported.writing || now.Sub(c.reported.at) < statusInterval {
		return
	}
	s := c.zoneStatus(now)
	if !c.reported.failed && s.Equal(&c.reported.status) && now.Sub(c.reported.at) < acceptance.HeartbeatInterval {
		return
	}
	c.reported = reported{status: s, at: now, writing: true}
	c.emit(WriteStatus{Status: s})
}

// StatusWritten notes the end of a write of the zone's status. A status that the platform did not take is given to the
// relay of another zone, a different one each time.
func (c *Core) StatusWritten(_ time.Time, err error) []Effect {
	c.reported.writing, c.reported.failed = false, err != nil
	if err == nil {
		return nil
	}
	var relays []*peer
	for _, p := range c.sortedPeers() {
		if p.host.Zone != c.self.Zone && p.relay == p.host.Name {
			relays = append(relays, p)
		}
	}
	content, err := json.Marshal(c.reported.status)
	if len(relays) == 0 || err != nil {
		return nil
	}
	c.send(relays[c.rand.IntN(len(relays))], &wire.Envelope{Body: &wire.Envelope_ZoneStatus{ZoneStatus: &wire.ZoneStatus{Content: content}}})
	return c.take()
}

// forward writes the status that the relay of another zone could not write.
func (c *Core) forward(p *peer, m *wire.ZoneStatus) {
	var s acceptance.ZoneStatus
	if !c.acting || json.Unmarshal(m.GetContent(), &s) != nil || s.Zone != p.host.Zone || s.Zone == c.self.Zone {
		return
	}
	c.emit(WriteStatus{Status: s, Forwarded: true})
}

func (c *Core) zoneStatus(now time.Time) acceptance.ZoneStatus {
	s := acceptance.ZoneStatus{
		Zone: c.self.Zone, Relay: c.self.Name, Release: c.release, Acked: []string{c.self.Name}, Grace: c.grace,
		Confirmed: c.confirmed, Time: now,
	}
	for m := range c.table.Each() {
		if m.Zone != c.self.Zone || m.State == member.Left {
			continue
		}
		if m.Release >= c.release {
			s.Acked = append(s.Acked, m.Name)
			continue
		}
		s.Late = append(s.Late, acceptance.LateHost{Name: m.Name, Release: m.Release, Silent: m.State != member.Alive})
	}
	sort.Strings(s.Acked)
	return s
}
