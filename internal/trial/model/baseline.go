package model

import (
	"time"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/placement"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/route"
)

// baseline sends each request at once and never refuses one.
type baseline struct {
	zone    string
	servers []backend.Server
	running map[string]int
	where   map[request.ID]string
	pick    func(b *baseline) backend.Server
	turn    int
}

// RoundRobin makes a policy that sends to one server after the other.
func RoundRobin(_ uint64, zone string, _ *route.Table) Policy {
	return newBaseline(zone, func(b *baseline) backend.Server {
		b.turn++
		return b.servers[b.turn%len(b.servers)]
	})
}

// LeastLoad makes a policy that sends to the server with the host's own least work, of its zone first.
func LeastLoad(_ uint64, zone string, _ *route.Table) Policy {
	return newBaseline(zone, func(b *baseline) backend.Server {
		best, least := b.servers[0], 1<<30
		for _, s := range b.servers {
			n := b.running[s.ID]
			if s.Zone != b.zone {
				n += 3
			}
			if n < least {
				best, least = s, n
			}
		}
		return best
	})
}

func newBaseline(zone string, pick func(*baseline) backend.Server) *baseline {
	return &baseline{zone: zone, running: map[string]int{}, where: map[request.ID]string{}, pick: pick}
}

// Arrive implements [dispatch.CorePolicy].
func (b *baseline) Arrive(_ time.Time, r *request.Request) []dispatch.Effect {
	s := b.pick(b)
	b.running[s.ID]++
	b.where[r.ID] = s.ID
	return []dispatch.Effect{{Kind: dispatch.Start, ID: r.ID, Server: s.ID}}
}

// Finish implements [dispatch.CorePolicy]. What a lost server ran is refused.
func (b *baseline) Finish(_ time.Time, r request.Result) []dispatch.Effect {
	b.running[b.where[r.ID]]--
	delete(b.where, r.ID)
	if r.Outcome == request.Broken || r.Outcome == request.Unreachable {
		return []dispatch.Effect{{Kind: dispatch.Refuse, ID: r.ID, Reason: dispatch.Exhausted}}
	}
	return nil
}

// SetServers implements [Policy].
func (b *baseline) SetServers(_ time.Time, list []backend.Server) []dispatch.Effect {
	b.servers = list
	return nil
}

// Cancel implements [dispatch.CorePolicy]; nothing waits.
func (b *baseline) Cancel(time.Time, request.ID) []dispatch.Effect { return nil }

// Progress implements [dispatch.CorePolicy]; the policy does not use it.
func (b *baseline) Progress(time.Time, request.ID, int) {}

// Report implements [dispatch.CorePolicy]; the policy does not use it.
func (b *baseline) Report(time.Time, dispatch.Load) []dispatch.Effect { return nil }

// Tick implements [dispatch.CorePolicy]; nothing waits.
func (b *baseline) Tick(time.Time) []dispatch.Effect { return nil }

// UpdatePeer implements [Policy]; the policy does not use it.
func (b *baseline) UpdatePeer(time.Time, placement.HostState, int) []dispatch.Effect { return nil }

// State implements [Policy]; there is nothing to tell.
func (b *baseline) State(now time.Time) placement.HostState { return placement.HostState{At: now} }
