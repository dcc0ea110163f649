package edgehost

import (
	"time"

	"shallotramp/internal/fleet/gossip"
	"shallotramp/internal/traffic/serverlimit"
)

// limitGossipTime is how long a new limit of a server is part of every packet. Full packets carry all limits.
const limitGossipTime = 2 * time.Second

// knownLimit is a server's limit as last logged, and when this host learned of it.
type knownLimit struct {
	limited bool
	rate    float64
	since   time.Time
}

// noteLimits logs the limits of servers that have changed and remembers when. The caller holds mu.
func (h *Host) noteLimits(notices []serverlimit.Notice, now time.Time) {
	next := make(map[string]knownLimit, len(notices))
	limited := 0
	for _, n := range notices {
		k, ok := h.serverLimits[n.Server]
		if !ok || k.limited != n.Limited || k.rate != n.Rate {
			h.logs.Requests.Info().Str("Event", "ServerLimit").Str("Server", n.Server).Bool("Limited", n.Limited).Float64("Rate", n.Rate).
				Dur("Age", now.Sub(n.At)).Send()
			k = knownLimit{limited: n.Limited, rate: n.Rate, since: now}
		}
		next[n.Server] = k
		if n.Limited {
			limited++
		}
	}
	h.serverLimits = next
	h.limitedServers.Set(float64(limited))
}

// encodeLimits returns the limits for a packet: all for a full one, and otherwise those that are new. The caller holds mu.
func (h *Host) encodeLimits(full bool, now time.Time) []*gossip.ServerLimit {
	var out []*gossip.ServerLimit
	for _, n := range h.policyState.Limits {
		if !full && now.Sub(h.serverLimits[n.Server].since) > limitGossipTime {
			continue
		}
		out = append(out, &gossip.ServerLimit{Server: n.Server, Limited: n.Limited, Rate: n.Rate, AgoMs: now.Sub(n.At).Milliseconds()})
	}
	return out
}

// decodeLimits returns the limits in a packet that arrived at now. A time in the future would outlast later notices, so it
// counts as now.
func decodeLimits(p *gossip.Packet, now time.Time) []serverlimit.Notice {
	var out []serverlimit.Notice
	for _, l := range p.GetServerLimits() {
		out = append(out, serverlimit.Notice{
			Server: l.GetServer(), Limited: l.GetLimited(), Rate: l.GetRate(), At: now.Add(-time.Duration(max(l.GetAgoMs(), 0)) * time.Millisecond),
		})
	}
	return out
}

// hostNames returns the names of the hosts that take requests, this one excluded.
func (h *Host) hostNames(now time.Time) []string {
	var out []string
	for _, m := range h.gossip.Members(now) {
		if m.Host != "" && !m.Leaving {
			out = append(out, hostName(m.Host))
		}
	}
	return out
}
