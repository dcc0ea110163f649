package model

import (
	"time"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/placement"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/route"
)

// baseline is a policy for comparison. It has no queue: it starts each request at once on the server that pick returns.
type baseline struct {
	zone      string
	servers   []backend.Server
	running   map[string]int
	serverOf  map[request.ID]string
	pick      func(b *baseline) backend.Server
	nextIndex int
}

// RoundRobin returns a policy that sends requests to the servers in turn.
func RoundRobin(_ uint64, zone string, _ *route.Table) Policy {
	return newBaseline(zone, func(b *baseline) backend.Server {
		b.nextIndex++
		return b.servers[b.nextIndex%len(b.servers)]
	})
}

// LeastLoad returns a policy that sends each request to the server that runs the fewest requests of this host. It prefers
// servers of its own zone: a server of another zone counts as if it ran three more.
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
	return &baseline{zone: zone, running: map[string]int{}, serverOf: map[request.ID]string{}, pick: pick}
}

// Arrive implements [dispatch.CorePolicy].
func (b *baseline) Arrive(_ time.Time, r *request.Request) []dispatch.Effect {
	s := b.pick(b)
	b.running[s.ID]++
	b.serverOf[r.ID] = s.ID
	return []dispatch.Effect{{Kind: dispatch.Start, ID: r.ID, Server: s.ID}}
}

// Finish implements [dispatch.CorePolicy]. It refuses requests whose server was lost or could not be reached.
func (b *baseline) Finish(_ time.Time, r request.Result) []dispatch.Effect {
	b.running[b.serverOf[r.ID]]--
	delete(b.serverOf, r.ID)
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

// Cancel implements [dispatch.CorePolicy]. It does nothing, as no request is queued.
func (b *baseline) Cancel(time.Time, request.ID) []dispatch.Effect { return nil }

// Progress implements [dispatch.CorePolicy]. The policy does not use it.
func (b *baseline) Progress(time.Time, request.ID, int) {}

// Report implements [dispatch.CorePolicy]. The policy does not use it.
func (b *baseline) Report(time.Time, dispatch.Load) []dispatch.Effect { return nil }

// Tick implements [dispatch.CorePolicy]. It does nothing, as no request is queued.
func (b *baseline) Tick(time.Time) []dispatch.Effect { return nil }

// UpdatePeer implements [Policy]. The policy does not use it.
func (b *baseline) UpdatePeer(time.Time, placement.HostState, int) []dispatch.Effect { return nil }

// State implements [Policy]. The policy shares no state with other hosts, so only the time is set.
func (b *baseline) State(now time.Time) placement.HostState { return placement.HostState{At: now} }
