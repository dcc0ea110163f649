package placement

import (
	"time"

	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/warmup"
)

// WithColdServers bounds the requests that cold servers get from all hosts together.
func WithColdServers(host string, b warmup.Bound, opts ...warmup.Option) Option {
	return func(p *Policy) { p.cold = warmup.New(host, b, opts...) }
}

// SetZoneHosts sets the other hosts of the own availability zone that are alive, and the common time of all hosts at now.
func (p *Policy) SetZoneHosts(now, common time.Time, peers []warmup.Peer) {
	if p.cold != nil {
		p.cold.SetHosts(now, common, peers)
	}
}

// ZoneView returns the number of hosts of the own availability zone among which this host divides the requests to cold
// servers; 0 if it does not yet.
func (p *Policy) ZoneView() int {
	if p.cold == nil {
		return 0
	}
	return p.cold.View()
}

// setCold records that a server is cold until a time. Servers of a service without a rate for cold ones need no care.
func (p *Policy) setCold(now time.Time, s *server, until time.Time) {
	if p.cold != nil {
		p.cold.SetCold(now, s.info.ID, p.service(s.info.Service).coldRate, until)
	}
}

// setListedCold records the servers that are cold by their entries. A host may read the entries before the configuration, which
// names the rates.
func (p *Policy) setListedCold(now time.Time) {
	for _, s := range p.servers {
		if s.info.IsCold(now) {
			p.setCold(now, s, s.info.ColdUntil)
		}
	}
}

// SetZoneCold records that the servers of an availability zone may have become cold without saying so, as after an
// evacuation.
func (p *Policy) SetZoneCold(now time.Time, zone string) {
	for _, s := range p.servers {
		if s.info.Zone == zone {
			p.setCold(now, s, now.Add(p.service(s.info.Service).coldTime))
		}
	}
}

// coldWait returns the time until a server that is cold takes a request of this host. Load pattern: all servers of a zone
// start at once while the callers of the zone go on. Each gets its rate from the hosts of its zone, in the order in which
// requests wait, and what does not fit goes to servers that are warm or waits.
func (p *Policy) coldWait(now time.Time, s *server) time.Duration {
	if p.cold == nil {
		return 0
	}
	return p.cold.Wait(now, s.info.ID, s.info.Zone == p.zone)
}

// noteUnreachable records that a server could not be reached. It may be starting again, and its entry may say so only later.
func (p *Policy) noteUnreachable(now time.Time, s *server, o request.Outcome) {
	if o == request.Unreachable {
		p.setCold(now, s, now.Add(p.service(s.info.Service).coldTime))
	}
}

// takeCold records a request that this host sends to a server.
func (p *Policy) takeCold(now time.Time, s *server) {
	if p.cold != nil {
		p.cold.Take(now, s.info.ID)
	}
}

// forgetCold drops what is known of a server that is no longer listed.
func (p *Policy) forgetCold(id string) {
	if p.cold != nil {
		p.cold.Forget(id)
	}
}

// coldServers returns the number of servers that are cold.
func (p *Policy) coldServers(now time.Time) int {
	if p.cold == nil {
		return 0
	}
	return p.cold.Cold(now)
}
