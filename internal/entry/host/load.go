package host

import (
	"shallotramp/internal/engine/load"
	"shallotramp/internal/traffic/dispatch"
)

// pollAllServers is the size of a fleet up to which each zone polls all backend servers. In a larger
// one it polls its own only, for polls are most of what a host reads.
const pollAllServers = 64

// poller returns the poller of the backend servers' load. The hosts of a zone share the servers out
// and pass the reports on to each other.
func (h *Host) poller() *load.Poller {
	opts := []load.Option{load.WithLog(h.log)}
	if h.node != nil {
		opts = append(opts, load.WithCarry(func(l dispatch.Load) { h.node.Loads([]dispatch.Load{l}) }))
	}
	p := load.New(h.cfg.Zone, h.holder, h.loop, opts...)
	p.SetShare(h.polls)
	return p
}

// polls reports whether this host polls a server.
func (h *Host) polls(server string) bool {
	servers := h.holder.Current().Set.BackendServers
	b, ok := servers[server]
	if !ok || len(servers) > pollAllServers && b.Zone != h.cfg.Zone {
		return false
	}
	return h.node == nil || h.node.Polls(server)
}
