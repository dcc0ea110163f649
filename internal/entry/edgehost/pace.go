package edgehost

import (
	"math"
	"time"

	"shallotramp/internal/fleet/gossip"
	"shallotramp/internal/traffic/pace"
)

// paceUnit converts a pace to the hundredths of the packet.
const paceUnit = 100

// notePaces logs the servers whose lasting pace has changed. Paces change by a fifth at least, so that there are few lines.
// The caller holds mu.
func (h *Host) notePaces(notices []pace.Notice, now time.Time) {
	next := make(map[string]pace.Pace, len(notices))
	for _, n := range notices {
		if h.serverPaces[n.Server] != n.Pace {
			h.logPace(n.Server, n.Pace, now.Sub(n.At))
		}
		next[n.Server] = n.Pace
	}
	for server := range h.serverPaces {
		if _, ok := next[server]; !ok {
			h.logPace(server, pace.Usual, 0)
		}
	}
	h.serverPaces = next
	h.pacedServers.Set(float64(len(next)))
}

func (h *Host) logPace(server string, p pace.Pace, age time.Duration) {
	h.logs.Requests.Info().Str("Event", "ServerPace").Str("Server", server).Float64("Prefill", p.Prefill).Float64("Decode", p.Decode).Dur("Age", age).Send()
}

func encodePaces(notices []pace.Notice, now time.Time) []*gossip.ServerPace {
	out := make([]*gossip.ServerPace, 0, len(notices))
	for _, n := range notices {
		out = append(out, &gossip.ServerPace{
			Server: n.Server, Prefill: uint32(math.Round(n.Pace.Prefill * paceUnit)), Decode: uint32(math.Round(n.Pace.Decode * paceUnit)),
			AgoMs: now.Sub(n.At).Milliseconds(),
		})
	}
	return out
}

// decodePaces returns the paces in a packet that arrived at now.
func decodePaces(p *gossip.Packet, now time.Time) []pace.Notice {
	var out []pace.Notice
	for _, n := range p.GetServerPaces() {
		out = append(out, pace.Notice{
			Server: n.GetServer(), Pace: pace.Pace{Prefill: float64(n.GetPrefill()) / paceUnit, Decode: float64(n.GetDecode()) / paceUnit},
			At: now.Add(-time.Duration(max(n.GetAgoMs(), 0)) * time.Millisecond),
		})
	}
	return out
}
