package edgehost

import (
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"shallotramp/internal/fleet/evacuation"
	"shallotramp/internal/fleet/gossip"
	"shallotramp/internal/provider/feed"
	"shallotramp/internal/provider/reflector"
	"shallotramp/internal/traffic/dispatch"
)

const (
	// evacuationWaitPercent is the time that a watch of evacuations waits, in percent of Config.EvacuateTimeout. After a
	// watch that has fallen silent, the rest is left for the call by which the host reads them again.
	evacuationWaitPercent = 60
	// hostWaitDivisor divides Config.EvacuateTimeout to give the time that a request to another host waits for changes of
	// the evacuations. Two hosts in a row may have fallen silent before the store is asked.
	hostWaitDivisor = 5
)

// followsEvacuations reports whether availability zones may be evacuated.
func followsEvacuations(cfg Config, k Kinds) bool {
	return cfg.EvacuateTimeout > 0 && k.Evacuations != ""
}

func evacuationWait(cfg Config) time.Duration {
	return cfg.EvacuateTimeout * evacuationWaitPercent / 100
}

// followEvacuations makes the host follow the evacuations of availability zones that the source has.
func (h *Host) followEvacuations(source *feed.Source) {
	kind := h.platform.Kinds.Evacuations
	h.feed.SetWait(kind, evacuationWait(h.cfg))
	h.evacuations = evacuation.New(h.cfg.EvacuateTimeout)
	h.evacuatedZones = metrics.GetOrCreateGauge("shallotramp_evacuated_zones", nil)
	h.evacuationsReflector = reflector.New(source, kind, evacuationWait(h.cfg), relistInterval, func(u reflector.Update) {
		direct := source.Direct()
		h.feed.Apply(kind, u, direct, time.Now())
		h.applyEvacuations(u, direct)
	})
}

// evacuationsKnown reports whether the host knows which availability zones are evacuated.
func (h *Host) evacuationsKnown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evacuations == nil || h.evacuations.Known()
}

// evacuationNews is the update that changed the evacuations. It is empty if they changed without one.
type evacuationNews struct {
	version string
	age     time.Duration
	direct  bool
}

// applyEvacuations applies an update of the evacuations in the store. While the store is away, the known ones last.
func (h *Host) applyEvacuations(u reflector.Update, direct bool) {
	if !h.checkUpdate("Evacuations", u) {
		return
	}
	changed, becameKnown := h.updateEvacuations(u, direct)
	if changed {
		h.applyEvacuatedZones()
	}
	if becameKnown {
		h.applyServers() // Held back until now.
	}
}

// updateEvacuations updates the list of evacuations. It reports whether the list may have changed, and whether it is known
// since this update.
func (h *Host) updateEvacuations(u reflector.Update, direct bool) (changed, becameKnown bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, wasKnown := time.Now(), h.evacuations.Known()
	if u.Full {
		h.evacuations.Replace(now, u.Objects, u.Version)
	}
	h.evacuations.Apply(now, u.Events, u.Version)
	if changed = u.Full || len(u.Events) > 0; changed {
		h.publishEvacuations(evacuationNews{u.Version, now.Sub(u.RequestedAt), direct})
	}
	return changed, !wasKnown && h.evacuations.Known()
}

// publishEvacuations logs the evacuated zones that have changed. The caller holds mu, and calls applyEvacuatedZones without
// it.
func (h *Host) publishEvacuations(news evacuationNews) {
	old, zones := h.evacuated, h.evacuations.Zones()
	h.evacuated = zones
	for _, z := range zones {
		if !containsZone(old, z.Name) {
			h.log.Warn().Str("Event", "ZoneEvacuated").Str("Zone", z.Name).Time("Since", z.Since).Str("StoreVersion", z.Version).
				Dur("Age", news.age).Bool("Direct", news.direct).Send()
		}
	}
	for _, z := range old {
		if !containsZone(zones, z.Name) {
			h.log.Info().Str("Event", "ZoneReturned").Str("Zone", z.Name).Time("Since", z.Since).Dur("Evacuated", time.Since(z.Since)).
				Str("StoreVersion", news.version).Dur("Age", news.age).Bool("Direct", news.direct).Send()
		}
	}
	h.evacuatedZones.Set(float64(len(zones)))
}

// applyEvacuatedZones passes the evacuated zones to the policy. The caller must not hold mu, as for applyServers.
func (h *Host) applyEvacuatedZones() {
	h.loop.Apply(func(now time.Time) []dispatch.Effect { return h.policy.SetEvacuated(now, h.evacuatedZoneNames()) })
}

func containsZone(zones []evacuation.Zone, name string) bool {
	return slices.ContainsFunc(zones, func(z evacuation.Zone) bool { return z.Name == name })
}

// evacuatedZoneNames returns the names of the evacuated zones.
func (h *Host) evacuatedZoneNames() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]string, 0, len(h.evacuated))
	for _, z := range h.evacuated {
		out = append(out, z.Name)
	}
	return out
}

// seesEvacuations reports whether this host reads the evacuations from the store itself.
func (h *Host) seesEvacuations() bool {
	return h.evacuationsReflector != nil && h.feed.Fresh(h.platform.Kinds.Evacuations)
}

// hostsThatSeeEvacuations returns hosts from which this one reads the evacuations while the store does not answer it. Only
// those that read them from the store itself have a current copy.
func (h *Host) hostsThatSeeEvacuations() []netip.AddrPort {
	var members []gossip.Member
	for _, m := range h.gossip.Members(time.Now()) {
		if m.SeesEvacuations && !m.Leaving {
			members = append(members, m)
		}
	}
	return newestTableFirst(h.cfg.Zone, members, h.cfg.FleetPort)
}
