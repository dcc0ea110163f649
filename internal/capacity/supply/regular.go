package supply

import (
	"cmp"
	"math"
	"slices"
	"time"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/route"
)

// zoneState is what the planner knows about a zone, and what it decides for it.
type zoneState struct {
	name  string
	price float64
	// load is the load of the zone's callers, and peakLoad the largest that was expected within scaleDownDelay.
	load, peakLoad float64
	// needed is the number of servers for the load of the zone, and emergency the number up to which regular servers
	// replace spot servers.
	needed, emergency int
	// reserve is the number of spot servers that the zone has for others.
	reserve int
	// spotListed and regularListed count servers that are not leaving. spotReady counts the spot servers that are not cold
	// either; spotComing those that are cold or ordered, as does regularComing.
	spotListed, spotReady, spotComing int
	regularListed, regularComing      int
	// noSpot and noRegular are set if the platform recently rejected an order.
	noSpot, noRegular bool
	// regular is the number of regular servers that the zone should have, for the reason cause.
	regular int
	cause   Cause
}

// observe returns the state of the zones of a service.
func (p *Planner) observe(now time.Time, s *route.Service, servers []backend.Server, load Load) []*zoneState {
	var zones []*zoneState
	for name, price := range s.Scaling.Prices {
		z := &zoneState{name: name, price: price, load: load[name], cause: CauseLoad}
		for _, b := range servers {
			switch {
			case b.Service != s.Name || b.Zone != name || b.Leaving:
			case !b.Spot:
				z.regularListed++
			case b.IsCold(now):
				z.spotListed++
				z.spotComing++
			default:
				z.spotListed++
				z.spotReady++
			}
		}
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(a, b *zoneState) int { return cmp.Compare(a.name, b.name) })
	total := 0.0
	for _, z := range zones {
		total += z.load
	}
	rise := p.riseFactor(now, s, total)
	for _, z := range zones {
		p.updateInitialServers(now, s.Name, z)
		expected := z.load * rise
		z.needed = min(max(p.requiredServers(now, s.Name, z.name, expected), s.Scaling.Min), s.Scaling.Max)
		z.peakLoad = p.peakLoad(now, s.Name, z.name, expected)
		z.emergency = int(math.Ceil(z.peakLoad / emergencyLoad))
		if !p.loadSettled(now, s.Name) {
			z.emergency = max(z.emergency, int(math.Ceil(float64(z.needed)*targetLoad/emergencyLoad)))
		}
		spot, regular := p.group(ServerGroup{s.Name, z.name, true}), p.group(ServerGroup{s.Name, z.name, false})
		spot.see(z.spotListed)
		regular.see(z.regularListed)
		z.spotComing += spot.pending(now, s)
		z.regularComing = regular.pending(now, s)
		z.noSpot = spot.rejectedAt.After(spot.confirmedAt) && now.Sub(spot.rejectedAt) < 2*rejectionBackoff && z.spotListed < z.needed
		z.noRegular = regular.rejectedAt.After(regular.confirmedAt) && now.Sub(regular.rejectedAt) < rejectionBackoff
	}
	return zones
}

// riseFactor returns the multiple of the load of a service that its zones must have servers for by the time at which a
// server that is ordered now starts. A rise over the last trendWindow is expected to last as long as a server boots, but to
// no more than maxRise times the load. Servers at targetLoad bear a rise up to emergencyLoad; 1 is returned up to there.
func (p *Planner) riseFactor(now time.Time, s *route.Service, load float64) float64 {
	recent := slices.DeleteFunc(p.recentLoads[s.Name], func(l loadPeak) bool { return now.Sub(l.at) > trendWindow })
	p.recentLoads[s.Name] = append(recent, loadPeak{load, now})
	oldest := p.recentLoads[s.Name][0]
	d := now.Sub(oldest.at)
	if d < trendWindow/2 || load <= oldest.load {
		return 1
	}
	rise := (load - oldest.load) / d.Seconds() * s.Scaling.BootTime.Seconds()
	return max(1, min(1+rise/load, maxRise)*targetLoad/emergencyLoad)
}

// peakLoad returns the largest load that was expected for a zone within scaleDownDelay.
func (p *Planner) peakLoad(now time.Time, service, zone string, load float64) float64 {
	key := [2]string{service, zone}
	if old, ok := p.loadPeaks[key]; ok && old.load > load && now.Sub(old.at) < scaleDownDelay {
		return old.load
	}
	p.loadPeaks[key] = loadPeak{load, now}
	return load
}

// loadSettled reports whether the load of a service alone determines how many regular servers replace spot servers. Until
// then so does the number of servers that the operators set up.
func (p *Planner) loadSettled(now time.Time, service string) bool {
	since := p.loadSince[service]
	return !since.IsZero() && now.Sub(since) >= loadSettleTime
}

// assignRegular decides how many regular servers each zone should have. While the platform has no spot servers for a
// zone, as many are ordered as the load of all zones needs beyond the spot servers that are ready or coming: requests may
// be served in other zones. Those that exist are kept until that many spot servers are ready, and are then released one
// for one. It also reports whether all zones together are short of spot servers.
func (p *Planner) assignRegular(now time.Time, s *route.Service, zones []*zoneState) (why Reason, short bool) {
	why.Cause = CauseLoad
	peakLoad, needed, existing, noSpot, full := 0.0, 0, 0, false, false
	for _, z := range zones {
		why.Load += z.load
		peakLoad += z.peakLoad
		why.Ready += z.spotReady
		why.Coming += z.spotComing
		needed += z.needed
		full = full || z.spotReady < z.needed && z.spotReady+z.regularListed >= s.Scaling.Max
		existing += z.regularListed + z.regularComing
		noSpot = noSpot || z.noSpot
	}
	why.Needed = spareServers + int(math.Ceil(peakLoad/emergencyLoad))
	if !p.loadSettled(now, s.Name) {
		why.Needed = max(why.Needed, int(math.Ceil(float64(needed)*targetLoad/emergencyLoad)))
	}
	if s.Scaling.SpotPrice <= 0 {
		for _, z := range zones {
			z.regular = z.needed
		}
		return why, false
	}
	// Servers in use are released only for spot servers that bring the utilisation back to targetLoad. Where the maximum
	// leaves no room for these, they are released down to emergencyLoad first.
	keep := needed
	if full {
		keep = why.Needed
	}
	total := min(existing, max(0, keep-why.Ready))
	if noSpot {
		total = max(total, why.Needed-why.Ready-why.Coming)
	}
	spread(s, zones, total)
	for _, z := range zones {
		if z.noSpot && z.spotReady == 0 {
			z.regular = max(z.regular, fallbackServers)
		}
		switch {
		case z.regular > z.regularListed+z.regularComing:
			z.cause = CauseNoSpot
		case z.regular > 0:
			z.cause = CauseKeep
		}
	}
	return why, why.Ready < needed
}

// spread distributes regular servers over the zones. Existing ones stay where they are; others are ordered in the zones
// that are short of spot servers, and what these cannot have in the cheapest ones.
func spread(s *route.Service, zones []*zoneState, total int) {
	give := func(z *zoneState, limit int) {
		n := max(0, min(total, limit-z.regular))
		z.regular += n
		total -= n
	}
	byPrice := slices.Clone(zones)
	slices.SortStableFunc(byPrice, func(a, b *zoneState) int { return cmp.Compare(a.price, b.price) })
	missing := func(z *zoneState) int { return max(0, z.emergency-z.spotReady) }
	for _, z := range byPrice {
		give(z, min(z.regularListed+z.regularComing, missing(z)))
	}
	for _, z := range byPrice {
		give(z, z.regularListed+z.regularComing)
	}
	byShortage := slices.Clone(byPrice)
	slices.SortStableFunc(byShortage, func(a, b *zoneState) int {
		return cmp.Compare(missing(b)-b.spotComing, missing(a)-a.spotComing)
	})
	room := func(z *zoneState) int {
		if z.noRegular {
			return z.regular
		}
		return s.Scaling.Max - z.spotListed - max(0, z.spotComing-(z.spotListed-z.spotReady))
	}
	for _, z := range byShortage {
		give(z, min(room(z), missing(z)-z.spotComing))
	}
	for _, z := range byPrice {
		give(z, room(z))
	}
}

// assignReserve spreads spot servers such that the loss of all of any one zone leaves those that the load of all zones needs
// in an emergency. Reserve is ordered where servers are cheapest.
func assignReserve(s *route.Service, zones []*zoneState, emergency int) {
	byPrice := slices.SortedStableFunc(slices.Values(zones), func(a, b *zoneState) int { return cmp.Compare(a.price, b.price) })
	for _, lost := range zones {
		lack := emergency
		for _, z := range zones {
			if z != lost {
				lack -= z.needed + z.reserve
			}
		}
		for _, z := range byPrice {
			if z != lost && lack > 0 {
				n := max(0, min(lack, s.Scaling.Max-z.needed-z.reserve))
				z.reserve += n
				lack -= n
			}
		}
	}
}
