package relay

import (
	"sort"
	"time"

	"shallotramp/internal/fleet/acceptance"
	"shallotramp/internal/fleet/member"
)

// statusInterval is the shortest time between two writes of a changed status.
const statusInterval = time.Second

// WriteStatus writes the zone's status to the platform; [Core.Written] tells how it went.
type WriteStatus struct{ Status acceptance.ZoneStatus }

func (WriteStatus) effect() {}

// reported is what the platform was last told of the zone.
type reported struct {
	status  acceptance.ZoneStatus
	at      time.Time
	writing bool
	failed  bool
}

// SetGrace notes the longest CutOffGrace of the release in force: silent hosts are remembered for that long.
func (c *Core) SetGrace(d time.Duration) {
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
	c.emit(WriteStatus{s})
}

// Written notes the end of a write of the zone's status.
func (c *Core) Written(_ time.Time, err error) {
	c.reported.writing, c.reported.failed = false, err != nil
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
