package edgehost

import (
	"time"

	"shallotramp/internal/traffic/placement"
	"shallotramp/internal/traffic/warmup"
)

// zonePeers returns the other hosts of this host's availability zone that have recently sent a packet. A host that is stopping
// keeps its turns with cold servers until it is silent.
func (h *Host) zonePeers(now time.Time) []warmup.Peer {
	var out []warmup.Peer
	silence := max(neighbourTimeout, maxLostPackets*h.gossip.SameZoneInterval())
	for _, m := range h.gossip.Members(now) {
		if m.Host != "" && m.Zone == h.cfg.Zone && now.Sub(m.LastSeen) < silence {
			out = append(out, warmup.Peer{Name: hostName(m.Host), View: m.ZoneView})
		}
	}
	return out
}

// noteCold publishes the number of cold servers and logs when it becomes or ceases to be zero. The caller holds mu.
func (h *Host) noteCold(state placement.HostState) {
	h.zoneView.Store(int32(state.ZoneView))
	h.coldServers.Set(float64(state.ColdServers))
	if (state.ColdServers > 0) == (h.policyState.ColdServers > 0) {
		return
	}
	event := "ServersCold"
	if state.ColdServers == 0 {
		event = "ServersWarm"
	}
	view := state.ZoneView
	if !state.UsesTurns {
		view = 0
	}
	h.logs.Requests.Info().Str("Event", event).Int("Servers", state.ColdServers).Int("ZoneView", view).Send()
}
