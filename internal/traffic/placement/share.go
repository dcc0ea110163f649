package placement

import (
	"time"

	"shallotramp/internal/traffic/share"
)

// updateLoads records what each service with model engines bears and gets. Demand that other hosts report is up to a few
// seconds old.
func (p *Policy) updateLoads(now time.Time) {
	for name, s := range p.services {
		if s.engine == nil {
			continue
		}
		s.load = share.Load{Servers: float64(len(s.servers)), Demand: p.localDemand(now, s)}
		for _, peer := range p.peers {
			s.load.Demand += peer.ServerDemand[name]
		}
	}
}

// claimShare records the demand of a request's organisation and decides whether the request is within its share. Load pattern:
// one organisation sends many times its usual while a service is short of servers. What exceeds its share comes after the
// other requests of its tier, and is refused first.
func (p *Policy) claimShare(now time.Time, e *entry) {
	if e.svc.engine == nil || e.req.Organisation == "" {
		return
	}
	f := share.Flow{Service: e.svc.name, Tier: e.req.Tier, Organisation: e.req.Organisation}
	uncached := e.req.PromptTokens
	if len(e.req.Parts) > 0 {
		uncached = min(uncached, assumedUncached(e.req.Parts))
	}
	l := &e.svc.latencyModel
	p.shares.Add(now, f, l.prefillTime(uncached)+l.answerTime/time.Duration(max(e.svc.engine.Slots, 1)))
	if e.overShare = !p.shares.Within(now, f, e.svc.load); e.overShare {
		p.overShareCount++
	}
}

// serviceLoads returns the loads of the services with model engines by name.
func (p *Policy) serviceLoads() map[string]share.Load {
	out := make(map[string]share.Load, len(p.services))
	for name, s := range p.services {
		if s.engine != nil {
			out[name] = s.load
		}
	}
	return out
}
