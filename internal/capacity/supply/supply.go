// Package supply decides how many backend servers of a service to order in each
// availability zone, regular and reclaimable ones apart. Reclaimable servers
// carry the load where they are to be had; regular ones stand in while they are
// not. It does no I/O and reads no clock.
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
	// spareServers are kept beyond the need: some crash, and a burst comes faster than a server boots.
	spareServers = 3
	// leastServers is how many servers a zone keeps while nothing is known of its load.
	leastServers = 5
	// standIn is how many regular servers stand in for a zone whose reclaimable ones are gone.
	standIn = 1
	// enoughShare is the part of the wanted servers, one in so many, that lets the regular ones go.
	enoughShare = 2
	// fullLoad is the share of time in which a server reads prompts or fills its places from which another
	// is ordered.
	fullLoad = 0.4
	// holdFor is how long a higher figure is kept after the load has fallen: longer than a server's boot.
	holdFor = 10 * time.Second
	// settleFor is how long the list of servers may take to be whole: each writes its entry at a heartbeat.
	settleFor = 2200 * time.Millisecond
	// orderInterval is the least time between two orders for a place.
	orderInterval = time.Second
	// someLoad is the load in servers from which a service counts as used, and knownAfter how long after it
	// the load decides; before, what the operators had set up stays.
	someLoad   = 0.05
	knownAfter = 10 * time.Second
	// refusedFor is how long reclaimable servers count as not to be had after an order was refused.
	refusedFor = 3 * time.Second
	// repeatAfter is the time after which an order that has not shown its effect is sent again.
	repeatAfter = 3 * time.Second
)

// ServerGroup is where servers run and at which price.
type ServerGroup struct {
	Service, Zone string
	Spot          bool
}

// Order is the wish for a number of servers at a place.
type Order struct {
	ServerGroup
	Count int
}

// Planner decides for all services of a deployment. Create it with [New].
type Planner struct {
	places map[ServerGroup]*place
	peaks  map[[2]string]peak
	begun  time.Time
	// found is how many servers a zone had at first, since when a service's load began.
	found map[[2]string]int
	since map[string]time.Time
}

type place struct {
	// wanted was confirmed by the platform; -1 before the first order.
	wanted  int
	sent    time.Time
	refused time.Time
}

type peak struct {
	count int
	at    time.Time
}

// New returns a Planner that has ordered nothing.
func New() *Planner {
	return &Planner{places: map[ServerGroup]*place{}, peaks: map[[2]string]peak{}, found: map[[2]string]int{}, since: map[string]time.Time{}}
}

// Load is the need of a zone's callers in servers, each busy to the full.
type Load map[string]float64

// Plan returns the orders to send now for a service.
func (p *Planner) Plan(now time.Time, s *route.Service, servers []backend.Server, load Load) []Order {
	if s.Scaling == nil {
		return nil
	}
	var out []Order
	if p.begun.IsZero() {
		p.begun = now
	}
	zones := make([]string, 0, len(s.Scaling.Prices))
	for z := range s.Scaling.Prices {
		zones = append(zones, z)
	}
	slices.SortFunc(zones, strings.Compare)
	for _, z := range zones {
		p.find(now, servers, s.Name, z, load[z])
		if now.Sub(p.begun) < settleFor {
			continue
		}
		regular, spot := p.wish(now, s, z, servers, load[z])
		if s.Scaling.SpotPrice > 0 {
			out = p.order(now, out, ServerGroup{s.Name, z, true}, spot, count(servers, s.Name, z, true))
		}
		out = p.order(now, out, ServerGroup{s.Name, z, false}, regular, count(servers, s.Name, z, false))
	}
	return out
}

// wish returns the regular and the reclaimable servers that a zone should have.
func (p *Planner) wish(now time.Time, s *route.Service, zone string, servers []backend.Server, load float64) (regular, spot int) {
	n := min(max(p.need(now, s.Name, zone, load), s.Scaling.Min), s.Scaling.Max)
	if s.Scaling.SpotPrice <= 0 {
		return n, 0
	}
	ready, has := count(servers, s.Name, zone, true), count(servers, s.Name, zone, false)
	if ready*enoughShare < n {
		// Regular servers that are there stay until reclaimable ones have come; some stand in for a zone
		// that has none.
		regular = min(has, n-ready)
		if ready == 0 {
			regular = max(regular, standIn)
		}
	}
	return regular, min(n, s.Scaling.Max-regular)
}

// find notes the most servers that a zone was seen with before its load was known.
func (p *Planner) find(now time.Time, servers []backend.Server, service, zone string, load float64) {
	key := [2]string{service, zone}
	if !p.loaded(now, service, load) {
		p.found[key] = max(p.found[key], count(servers, service, zone, false), count(servers, service, zone, true))
	}
}

// loaded reports whether a service has had load for long enough to go by it.
func (p *Planner) loaded(now time.Time, service string, load float64) bool {
	if p.since[service].IsZero() && load > someLoad {
		p.since[service] = now
	}
	since := p.since[service]
	return !since.IsZero() && now.Sub(since) > knownAfter
}

// need keeps the highest figure of the last while.
func (p *Planner) need(now time.Time, service, zone string, load float64) int {
	n := max(leastServers, spareServers+int(math.Ceil(load/fullLoad)))
	key := [2]string{service, zone}
	if !p.loaded(now, service, load) {
		n = max(n, p.found[key])
	}
	if old, ok := p.peaks[key]; ok && old.count > n && now.Sub(old.at) < holdFor {
		return old.count
	}
	p.peaks[key] = peak{n, now}
	return n
}

func count(servers []backend.Server, service, zone string, spot bool) int {
	n := 0
	for _, s := range servers {
		if s.Service == service && s.Zone == zone && s.Spot == spot && !s.Leaving {
			n++
		}
	}
	return n
}

// order adds an order that changes something or whose effect has not shown.
func (p *Planner) order(now time.Time, out []Order, at ServerGroup, want, has int) []Order {
	pl := p.places[at]
	if pl == nil {
		pl = &place{wanted: -1}
		p.places[at] = pl
	}
	switch {
	case now.Sub(pl.refused) < refusedFor, !pl.sent.IsZero() && now.Sub(pl.sent) < orderInterval:
		return out
	case pl.wanted == want && (has >= want || now.Sub(pl.sent) < repeatAfter):
		return out
	case pl.wanted < 0 && want == has:
		// As found: nothing to order.
		return out
	}
	return append(out, Order{at, want})
}

// Confirmed notes that the platform took an order.
func (p *Planner) Confirmed(now time.Time, o Order) {
	p.places[o.ServerGroup].wanted, p.places[o.ServerGroup].sent = o.Count, now
}

// Refused notes that there are none to be had.
func (p *Planner) Refused(now time.Time, o Order) {
	p.places[o.ServerGroup].refused = now
}

// Reset forgets what was ordered: another host gave the orders since.
func (p *Planner) Reset() { p.places = map[ServerGroup]*place{} }
