package placement

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/serverlimit"
)

var _ dispatch.NoticeObserver = (*Policy)(nil)

// SetHosts sets the names of the hosts that share the limits of servers with this one, and the common time of all hosts at
// now.
func (p *Policy) SetHosts(now, common time.Time, names []string) {
	p.serverLimits.SetHosts(names)
	p.serverLimits.SetTime(now, common)
}

// Notice implements [dispatch.NoticeObserver].
func (p *Policy) Notice(now time.Time, n dispatch.Notice) []dispatch.Effect {
	s := p.servers[n.Server]
	if s == nil {
		return nil
	}
	if until := n.At.Add(n.RetryAfter); until.After(s.closedUntil) {
		s.closedUntil = until
	}
	if n.Leaving && !s.saysLeaving {
		s.saysLeaving = true
		p.rebuildServices()
	}
	at := n.SentAt
	if n.Limited {
		at = n.At
	}
	if p.noteLimit(now, serverlimit.Notice{Server: n.Server, Limited: n.Limited, Rate: n.Rate, At: at}) && !n.Limited {
		return p.startAllWaiting(now)
	}
	return nil
}

// noteLimit records a notice of this or another host about a listed server, and reports whether the limit has changed.
func (p *Policy) noteLimit(now time.Time, n serverlimit.Notice) bool {
	return p.servers[n.Server] != nil && p.serverLimits.Note(now, n)
}

// addWait marks a server as full as long as it takes no request of this host: until the host's next turn if the server limits
// its requests, and for the time that it has named in a refusal. Load pattern: most servers of a service limit their
// requests to rates below the number of hosts, or refuse them, while the load stays the same. Each turn is used, and the
// other requests go to servers that take them, wait, or are refused.
func (p *Policy) addWait(now time.Time, s *server, c *choice) {
	c.delay(max(p.serverLimits.Wait(now, s.info.ID), s.closedUntil.Sub(now), p.coldWait(now, s)))
}

// turnsAhead returns the time until a number of requests of this host have had a turn, if all servers of a service limit
// their requests.
func (p *Policy) turnsAhead(svc *service, requests int) time.Duration {
	perSecond := 0.0
	for _, s := range svc.servers {
		gap := p.serverLimits.Gap(s.info.ID)
		if gap == 0 {
			return 0
		}
		perSecond += 1 / gap.Seconds()
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(requests) / perSecond * float64(time.Second))
}
