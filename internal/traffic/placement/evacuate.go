package placement

import (
	"maps"
	"slices"
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// SetEvacuated sets the availability zones whose servers get nothing. Load pattern: the operator empties a zone while its
// callers go on. Its servers get no new work, waiting and resumed requests go elsewhere, prefixes get homes in the other
// zones, and nothing is fetched from its engines, while open streams go on. A zone that is no longer evacuated is used
// again as if its servers were cold, because they may have become so without saying it.
func (p *Policy) SetEvacuated(now time.Time, zones []string) []dispatch.Effect {
	next := make(map[string]bool, len(zones))
	for _, zone := range zones {
		next[zone] = true
	}
	if maps.Equal(next, p.evacuated) {
		return nil
	}
	ended := slices.DeleteFunc(slices.Collect(maps.Keys(p.evacuated)), func(zone string) bool { return next[zone] })
	p.evacuated = next
	for _, zone := range ended {
		p.SetZoneCold(now, zone)
	}
	for _, s := range p.servers {
		if slices.Contains(ended, s.info.Zone) {
			s.listedSince = now // Its caches are old: prefixes are fetched from their former homes.
		}
	}
	p.rebuildServices()
	return p.startAllWaiting(now)
}
