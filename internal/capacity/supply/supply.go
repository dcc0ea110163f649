// Package supply decides how many regular and spot servers of a service to order in each availability zone, for hosts
// of the edge command. Spot servers, which the package sizing calls reclaimable, are cheaper, but the platform may take
// back all of a zone at short notice, and may then have no others for a while. They carry the load wherever the platform
// has any. Once it rejects an order for spot servers, regular servers are ordered for what the load needs beyond the spot
// servers that are left, in the zones that are short or else in the cheapest ones; see [Planner.assignRegular]. They are
// released as spot servers become ready. The package does no I/O and reads no clock.
package supply

import (
	"math"
	"slices"
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
	// targetLoad is the target utilisation of a server: the fraction of time in which it processes prompts or runs at
	// full concurrency. Above it another server is ordered.
	targetLoad = 0.4
	// emergencyLoad is the utilisation up to which servers still meet the objectives of most requests: regular servers are
	// ordered up to it while there are no spot servers.
	emergencyLoad = 0.6
	// scaleDownDelay is how long the number of servers is kept after the load has fallen. It is longer than a server takes
	// to boot.
	scaleDownDelay = 10 * time.Second
	// listSettleTime is how long the list of servers may be incomplete at first, since each server writes its entry at a
	// heartbeat.
	listSettleTime = 2200 * time.Millisecond
	// minOrderInterval is the shortest time between two orders for a group.
	minOrderInterval = time.Second
	// lateOrderTime is how long the platform may still carry out an order that it did not answer.
	lateOrderTime = 30 * time.Second
	// A service counts as used once its load exceeds minKnownLoad, in fully utilised servers. After another loadWarmup
	// the load determines the number of servers. Until then the number that the operators set up is kept.
	minKnownLoad = 0.05
	loadWarmup   = 10 * time.Second
	// rejectionBackoff is how long no order for a group is sent after one was rejected.
	rejectionBackoff = 3 * time.Second
	// loadSettleTime is how long the load of a service must have lasted until it determines how many regular servers replace
	// spot servers: it is twice the time over which hosts average their load.
	loadSettleTime = 4 * time.Second
	// trendWindow is the time over which a rise of the load is measured: that over which hosts average their load.
	trendWindow = 2 * time.Second
	// maxRise bounds the load that is expected after a rise, as a multiple of the present load.
	maxRise = 2.5
	// resendMargin is how long after their boot time an order is sent again if its servers have not appeared. They write
	// their entries at a heartbeat.
	resendMargin = 3 * time.Second
)

// ServerGroup identifies the regular or the spot servers of a service in an availability zone.
type ServerGroup struct {
	Service, Zone string
	Spot          bool
}

// Order sets the number of servers of a group. It states the whole number, so that it may be repeated.
type Order struct {
	ServerGroup
	Count int
	Reason
}

//go:generate go tool stringer -type Cause -trimprefix Cause -output cause_string.go

// Cause is the reason for an order.
type Cause uint8

// The causes of orders.
const (
	// CauseLoad is an order of the servers that the load of the zone needs.
	CauseLoad Cause = iota
	// CauseNoSpot is an order of regular servers because the platform has no spot servers.
	CauseNoSpot
	// CauseReserve is an order of spot servers beyond the load of the zone, which would carry that of another zone if that
	// were reclaimed.
	CauseReserve
	// CauseKeep is an order of the regular servers that are kept until spot servers are ready.
	CauseKeep
)

// Reason holds the cause of an order and what the planner knew.
type Reason struct {
	Cause Cause
	// Load is the load of the service in all zones, in fully utilised servers, and Needed the number of servers up to which
	// regular servers replace spot servers. Ready counts the spot servers that serve, Coming those that were ordered or
	// are cold.
	Load                  float64
	Needed, Ready, Coming int
}

// Planner makes the decisions for all services of a deployment. Create it with [New].
type Planner struct {
	groups map[ServerGroup]*groupState
	// peaks has the service and the zone as its key, as have loadPeaks and initialServers.
	peaks     map[[2]string]peak
	loadPeaks map[[2]string]loadPeak
	// recentLoads holds the loads of a service in the last trendWindow.
	recentLoads map[string][]loadPeak
	startedAt   time.Time
	// initialServers holds the largest number of servers that a zone had before its load was known. loadSince holds
	// the time at which the load of a service began.
	initialServers map[[2]string]int
	loadSince      map[string]time.Time
}

// groupState is the state of the orders for a group.
type groupState struct {
	// confirmed is the number of servers in the last order that the platform accepted; -1 if unknown.
	confirmed   int
	confirmedAt time.Time
	rejectedAt  time.Time
	// unansweredAt is when an order was last sent that was not answered. The platform may still carry it out.
	unansweredAt time.Time
	// has is the number of servers at the last decision, and most the largest since the last order that was accepted.
	has, most int
}

// peak is a number of servers and when it was last required.
type peak struct {
	count      int
	requiredAt time.Time
}

// loadPeak is a load of a zone and when it was reached.
type loadPeak struct {
	load float64
	at   time.Time
}

// New returns a Planner without earlier orders.
func New() *Planner {
	return &Planner{groups: map[ServerGroup]*groupState{}, peaks: map[[2]string]peak{}, loadPeaks: map[[2]string]loadPeak{}, recentLoads: map[string][]loadPeak{}, initialServers: map[[2]string]int{}, loadSince: map[string]time.Time{}}
}

// Load maps each zone to the load of its callers, in fully utilised servers.
type Load map[string]float64

// Plan returns the orders for a service that are to be sent now, those for more servers first.
func (p *Planner) Plan(now time.Time, s *route.Service, servers []backend.Server, load Load) []Order {
	if s.Scaling == nil {
		return nil
	}
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	zones := p.observe(now, s, servers, load)
	if now.Sub(p.startedAt) < listSettleTime {
		return nil
	}
	reason, short := p.assignRegular(now, s, zones)
	if p.loadSettled(now, s.Name) {
		assignReserve(s, zones, reason.Needed-spareServers)
	}
	var out []Order
	for _, z := range zones {
		if s.Scaling.SpotPrice > 0 {
			// The platform cuts an order that exceeds the maximum with the regular servers that exist.
			spot := max(0, min(z.needed+z.reserve, s.Scaling.Max-max(z.regular, z.regularListed)))
			if short {
				// The zone carries load of others.
				spot = max(spot, z.spotListed)
			}
			r := reason
			if z.reserve > 0 {
				r.Cause = CauseReserve
			}
			out = p.appendOrder(now, out, s, ServerGroup{s.Name, z.name, true}, spot, z.spotListed, r)
		}
		r := reason
		r.Cause = z.cause
		out = p.appendOrder(now, out, s, ServerGroup{s.Name, z.name, false}, z.regular, z.regularListed, r)
	}
	slices.SortStableFunc(out, func(a, b Order) int { return p.decrease(a) - p.decrease(b) })
	return out
}

// decrease returns 1 for an order that reduces a group, 0 for any other.
func (p *Planner) decrease(o Order) int {
	if o.Count < p.groups[o.ServerGroup].has {
		return 1
	}
	return 0
}

// updateInitialServers records the largest number of servers that a zone had before its load was known.
func (p *Planner) updateInitialServers(now time.Time, service string, z *zoneState) {
	key := [2]string{service, z.name}
	if !p.loadKnown(now, service, z.load) {
		p.initialServers[key] = max(p.initialServers[key], z.regularListed, z.spotListed)
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

// group returns the state of the orders for a group.
func (p *Planner) group(group ServerGroup) *groupState {
	g := p.groups[group]
	if g == nil {
		g = &groupState{confirmed: -1}
		p.groups[group] = g
	}
	return g
}

// appendOrder appends an order for want servers if it changes the last one, or if the servers of that have not
// appeared.
func (p *Planner) appendOrder(now time.Time, orders []Order, svc *route.Service, group ServerGroup, want, has int, why Reason) []Order {
	g := p.group(group)
	g.see(has)
	switch {
	case now.Sub(g.rejectedAt) < rejectionBackoff, !g.confirmedAt.IsZero() && now.Sub(g.confirmedAt) < minOrderInterval,
		now.Sub(g.unansweredAt) < minOrderInterval:
		return orders
	case g.confirmed == want && !g.overtaken(now, want, has) && (has >= want || !g.reclaimed() && now.Sub(g.confirmedAt) < svc.Scaling.BootTime+resendMargin):
		return orders
	case g.confirmed < 0 && want == has && g.unansweredAt.IsZero():
		// There was no order yet, and the group has the wanted number already.
		return orders
	}
	return append(orders, Order{group, want, why})
}

// overtaken reports whether a group has other servers than the last order asks for after an order that was not answered:
// the platform may have carried that one out after the last one.
func (g *groupState) overtaken(now time.Time, want, has int) bool {
	return has > want && now.Sub(g.unansweredAt) < lateOrderTime && now.Sub(g.confirmedAt) > resendMargin
}

// see records the present number of servers.
func (g *groupState) see(has int) { g.has, g.most = has, max(g.most, has) }

// reclaimed reports whether most servers of a group have gone since the last order. Those that were starting went with
// them: the platform takes all of a zone at once.
func (g *groupState) reclaimed() bool { return g.has*2 < g.most }

// pending returns the number of servers that were ordered and are not in the list yet.
func (g *groupState) pending(now time.Time, svc *route.Service) int {
	if g.confirmed < 0 || g.reclaimed() || now.Sub(g.confirmedAt) >= svc.Scaling.BootTime+resendMargin {
		return 0
	}
	return max(0, g.confirmed-g.most)
}

// Confirmed records that the platform accepted an order.
func (p *Planner) Confirmed(now time.Time, o Order) {
	g := p.group(o.ServerGroup)
	g.confirmed, g.confirmedAt, g.most = o.Count, now, g.has
}

// Rejected records that the platform refused an order, mostly because it has no such servers.
func (p *Planner) Rejected(now time.Time, o Order) {
	p.group(o.ServerGroup).rejectedAt = now
}

// Unanswered records that an order was sent and not answered. The platform may carry it out, even seconds later, so the
// next order for the group states the number that is wanted then, whatever was confirmed before.
func (p *Planner) Unanswered(now time.Time, o Order) {
	g := p.group(o.ServerGroup)
	g.confirmed, g.unansweredAt = -1, now
}

// Reset forgets all earlier orders, because another host may have sent orders since.
func (p *Planner) Reset() { p.groups = map[ServerGroup]*groupState{} }
