// Package supply decides how many regular and spot servers of a service to order in each availability zone, for hosts
// of the edge command. Spot servers, which the package sizing calls reclaimable, are cheaper, but the platform may take
// them back at short notice. They carry the load wherever the platform has any, and regular servers replace them while
// it has none. The package does no I/O and reads no clock.
package supply

import (
	"math"
	"slices"
	"strings"
	"time"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/route"
)

const (
	// spareServers is the number of servers beyond those that the load needs: servers crash, and load may rise faster
	// than a server boots.
	spareServers = 3
	// minServers is how many servers a zone keeps at low load and while its load is unknown, within the bounds of its
	// service.
	minServers = 5
	// fallbackServers is the smallest number of regular servers in a zone without spot servers.
	fallbackServers = 1
	// releaseDivisor sets when regular servers are released: when the zone has 1/releaseDivisor of its target as spot
	// servers.
	releaseDivisor = 2
	// targetLoad is the target utilisation of a server: the fraction of time in which it processes prompts or runs at
	// full concurrency. Above it another server is ordered.
	targetLoad = 0.4
	// scaleDownDelay is how long the number of servers is kept after the load has fallen. It is longer than a server takes
	// to boot.
	scaleDownDelay = 10 * time.Second
	// listSettleTime is how long the list of servers may be incomplete at first, since each server writes its entry at a
	// heartbeat.
	listSettleTime = 2200 * time.Millisecond
	// minOrderInterval is the shortest time between two orders for a group.
	minOrderInterval = time.Second
	// A service counts as used once its load exceeds minKnownLoad, in fully utilised servers. After another loadWarmup
	// the load determines the number of servers. Until then the number that the operators set up is kept.
	minKnownLoad = 0.05
	loadWarmup   = 10 * time.Second
	// rejectionBackoff is how long no order for a group is sent after one was rejected.
	rejectionBackoff = 3 * time.Second
	// resendMargin is how long after their boot time an order is sent again if its servers have not appeared. They write
	// their entries at a heartbeat.
	resendMargin = 3 * time.Second
)

// ServerGroup identifies the regular or the spot servers of a service in an availability zone.
type ServerGroup struct {
	Service, Zone string
	Spot          bool
}

// Order sets the number of servers of a group.
type Order struct {
	ServerGroup
	Count int
}

// Planner makes the decisions for all services of a deployment. Create it with [New].
type Planner struct {
	groups map[ServerGroup]*groupState
	// peaks has the service and the zone as its key, as has initialServers.
	peaks     map[[2]string]peak
	startedAt time.Time
	// initialServers holds the largest number of servers that a zone had before its load was known. loadSince holds
	// the time at which the load of a service began.
	initialServers map[[2]string]int
	loadSince      map[string]time.Time
}

// groupState is the state of the orders for a group.
type groupState struct {
	// confirmed is the number of servers in the last order that the platform accepted; -1 before the first.
	confirmed   int
	confirmedAt time.Time
	rejectedAt  time.Time
}

// peak is a number of servers and when it was last required.
type peak struct {
	count      int
	requiredAt time.Time
}

// New returns a Planner without earlier orders.
func New() *Planner {
	return &Planner{groups: map[ServerGroup]*groupState{}, peaks: map[[2]string]peak{}, initialServers: map[[2]string]int{}, loadSince: map[string]time.Time{}}
}

// Load maps each zone to the load of its callers, in fully utilised servers.
type Load map[string]float64

// Plan returns the orders for a service that are to be sent now.
func (p *Planner) Plan(now time.Time, s *route.Service, servers []backend.Server, load Load) []Order {
	if s.Scaling == nil {
		return nil
	}
	var out []Order
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	zones := make([]string, 0, len(s.Scaling.Prices))
	for z := range s.Scaling.Prices {
		zones = append(zones, z)
	}
	slices.SortFunc(zones, strings.Compare)
	for _, z := range zones {
		p.updateInitialServers(now, servers, s.Name, z, load[z])
		if now.Sub(p.startedAt) < listSettleTime {
			continue
		}
		regular, spot := p.target(now, s, z, servers, load[z])
		if s.Scaling.SpotPrice > 0 {
			out = p.appendOrder(now, out, s, ServerGroup{s.Name, z, true}, spot, countServers(servers, s.Name, z, true))
		}
		out = p.appendOrder(now, out, s, ServerGroup{s.Name, z, false}, regular, countServers(servers, s.Name, z, false))
	}
	return out
}

// target returns the numbers of regular and spot servers that a zone should have.
func (p *Planner) target(now time.Time, s *route.Service, zone string, servers []backend.Server, load float64) (regular, spot int) {
	n := min(max(p.requiredServers(now, s.Name, zone, load), s.Scaling.Min), s.Scaling.Max)
	if s.Scaling.SpotPrice <= 0 {
		return n, 0
	}
	ready, has := countServers(servers, s.Name, zone, true), countServers(servers, s.Name, zone, false)
	if ready*releaseDivisor < n {
		// Existing regular servers stay until spot servers have started. A zone without spot servers gets
		// fallbackServers.
		regular = min(has, n-ready)
		if ready == 0 {
			regular = max(regular, fallbackServers)
		}
	}
	return regular, min(n, s.Scaling.Max-regular)
}

// updateInitialServers records the largest number of servers that a zone had before its load was known.
func (p *Planner) updateInitialServers(now time.Time, servers []backend.Server, service, zone string, load float64) {
	key := [2]string{service, zone}
	if !p.loadKnown(now, service, load) {
		p.initialServers[key] = max(p.initialServers[key], countServers(servers, service, zone, false), countServers(servers, service, zone, true))
	}
}

// loadKnown reports whether a service has had load for longer than loadWarmup.
func (p *Planner) loadKnown(now time.Time, service string, load float64) bool {
	if p.loadSince[service].IsZero() && load > minKnownLoad {
		p.loadSince[service] = now
	}
	since := p.loadSince[service]
	return !since.IsZero() && now.Sub(since) > loadWarmup
}

// requiredServers returns the largest number of servers that the load of a zone required within scaleDownDelay.
func (p *Planner) requiredServers(now time.Time, service, zone string, load float64) int {
	n := max(minServers, spareServers+int(math.Ceil(load/targetLoad)))
	key := [2]string{service, zone}
	if !p.loadKnown(now, service, load) {
		n = max(n, p.initialServers[key])
	}
	if old, ok := p.peaks[key]; ok && old.count > n && now.Sub(old.requiredAt) < scaleDownDelay {
		return old.count
	}
	p.peaks[key] = peak{n, now}
	return n
}

// countServers returns the number of servers of a group that are not leaving.
func countServers(servers []backend.Server, service, zone string, spot bool) int {
	n := 0
	for _, s := range servers {
		if s.Service == service && s.Zone == zone && s.Spot == spot && !s.Leaving {
			n++
		}
	}
	return n
}

// appendOrder appends an order for want servers if it changes the last one, or if the servers of that have not
// appeared.
func (p *Planner) appendOrder(now time.Time, orders []Order, svc *route.Service, group ServerGroup, want, has int) []Order {
	g := p.groups[group]
	if g == nil {
		g = &groupState{confirmed: -1}
		p.groups[group] = g
	}
	switch {
	case now.Sub(g.rejectedAt) < rejectionBackoff, !g.confirmedAt.IsZero() && now.Sub(g.confirmedAt) < minOrderInterval:
		return orders
	case g.confirmed == want && (has >= want || now.Sub(g.confirmedAt) < svc.Scaling.BootTime+resendMargin):
		return orders
	case g.confirmed < 0 && want == has:
		// There was no order yet, and the group has the wanted number already.
		return orders
	}
	return append(orders, Order{group, want})
}

// Confirmed records that the platform accepted an order.
func (p *Planner) Confirmed(now time.Time, o Order) {
	p.groups[o.ServerGroup].confirmed, p.groups[o.ServerGroup].confirmedAt = o.Count, now
}

// Rejected records that an order failed or that the platform has no such servers.
func (p *Planner) Rejected(now time.Time, o Order) {
	p.groups[o.ServerGroup].rejectedAt = now
}

// Reset forgets all earlier orders, because another host may have sent orders since.
func (p *Planner) Reset() { p.groups = map[ServerGroup]*groupState{} }
