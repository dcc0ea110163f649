package relay

import (
	"encoding/json"
	"sort"
	"time"

	"shallotramp/internal/fleet/acceptance"
	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/fleet/wire"
)

// statusInterval is the shortest time between two writes of the zone's status.
const statusInterval = time.Second

// WriteStatus writes a zone's status to the platform. Unless the status is forwarded, the caller reports the result with
// [Core.StatusWritten].
type WriteStatus struct {
	Status acceptance.ZoneStatus
	// Forwarded reports whether the status is that of another zone, whose relay could not write it.
	Forwarded bool
}

func (WriteStatus) effect() {}

// statusWrite is the last write of the zone's status to the platform.
type statusWrite struct {
	status    acceptance.ZoneStatus
	startedAt time.Time
	writing   bool
	failed    bool
}

// SetLongestGrace sets the longest CutOffGrace of the release in force. Silent hosts are remembered at least that long
// after they are suspected, because they may still serve requests with API keys.
func (c *Core) SetLongestGrace(d time.Duration) {
	c.longestGrace = d
	c.table.SetForgetAfter(max(membership.DefaultForgetAfter, d+membership.SuspectAfter))
}

// updateStatus writes, if this host is the relay, the status of the zone: which hosts have the newest release. It
// writes a changed status, or one whose write failed, after [statusInterval], and an unchanged one after
// [acceptance.StatusInterval].
func (c *Core) updateStatus(now time.Time) {
	if !c.acting || c.release == 0 || c.lastStatus.writing || now.Sub(c.lastStatus.startedAt) < statusInterval {
		return
	}
	s := c.zoneStatus(now)
	if !c.lastStatus.failed && s.Equal(&c.lastStatus.status) && now.Sub(c.lastStatus.startedAt) < acceptance.StatusInterval {
		return
	}
	c.lastStatus = statusWrite{status: s, startedAt: now, writing: true}
	c.emit(WriteStatus{Status: s})
}

// StatusWritten records the result of a write of the zone's status. If the write failed, the status is sent to the relay
// of a random other zone, which may be able to reach the platform.
func (c *Core) StatusWritten(_ time.Time, err error) []Effect {
	c.lastStatus.writing, c.lastStatus.failed = false, err != nil
	if err == nil {
		return nil
	}
	var relays []*peer
	for _, p := range c.sortedPeers() {
		if p.host.Zone != c.self.Zone && p.zoneRelay == p.host.Name {
			relays = append(relays, p)
		}
	}
	content, err := json.Marshal(c.lastStatus.status)
	if len(relays) == 0 || err != nil {
		return nil
	}
	c.send(relays[c.rand.IntN(len(relays))], &wire.Envelope{Body: &wire.Envelope_ZoneStatus{ZoneStatus: &wire.ZoneStatus{Content: content}}})
	return c.takeEffects()
}

// receiveZoneStatus writes the status of another zone, whose relay could not write it.
func (c *Core) receiveZoneStatus(p *peer, m *wire.ZoneStatus) {
	var s acceptance.ZoneStatus
	if !c.acting || json.Unmarshal(m.GetContent(), &s) != nil || s.Zone != p.host.Zone || s.Zone == c.self.Zone {
		return
	}
	c.emit(WriteStatus{Status: s, Forwarded: true})
}

func (c *Core) zoneStatus(now time.Time) acceptance.ZoneStatus {
	s := acceptance.ZoneStatus{
		Zone: c.self.Zone, Relay: c.self.Name, Release: c.release, Acked: []string{c.self.Name}, Grace: c.longestGrace,
		Confirmed: c.confirmed, Time: now,
	}
	for m := range c.table.Each() {
		if m.Zone != c.self.Zone || m.State == membership.Left {
			continue
		}
		if m.Release >= c.release {
			s.Acked = append(s.Acked, m.Name)
			continue
		}
		s.Late = append(s.Late, acceptance.LateHost{Name: m.Name, Release: m.Release, Silent: m.State != membership.Alive})
	}
	sort.Strings(s.Acked)
	return s
}
