package edgehost

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"shallotramp/internal/capacity/supply"
	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/provider/reflector"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/traffic/dispatch"
)

// readTable processes an update of the routing table for this host and those that read from it.
func (h *Host) readTable(u reflector.Update, direct bool) {
	u = h.applyTableUpdate(u, direct)
	h.feed.Apply(h.platform.Kinds.Table, u, direct, time.Now())
}

// applyTableUpdate installs a new routing table from an update of the store. The parameter direct reports whether the
// update came from the store itself. It returns the update for the hosts that read from this one: with the newest table
// instead of an older one, as a store that was restored from a copy may have an older table for a while, and a host that
// starts then knows no newer one.
func (h *Host) applyTableUpdate(u reflector.Update, direct bool) reflector.Update {
	if !h.checkUpdate("Table", u) {
		return u
	}
	apply := func(o *store.Object) {
		if o.Name != h.platform.Kinds.TableName {
			return
		}
		t, err := h.platform.DecodeTable(o.Spec)
		if err != nil {
			h.log.Error().Str("Event", "TableRejected").Err(err).Send()
			return
		}
		if old := h.proxy.Table(); old != nil && old.Version >= t.Version {
			if old.Version > t.Version {
				o.Spec = h.newestTable.Spec
			}
			return
		}
		h.newestTable = *o
		behind := h.tableBehindFor(time.Now())
		h.proxy.SetTable(t)
		h.loop.Apply(func(now time.Time) []dispatch.Effect { return h.policy.Configure(now, t) })
		h.log.Info().Str("Event", "TableInForce").Int64("Version", t.Version).Int("Routes", t.Len()).
			Str("StoreVersion", o.Version).Dur("Age", time.Since(u.RequestedAt)).
			Bool("Direct", direct).Dur("BehindFor", behind).Send()
	}
	u.Objects, u.Events = slices.Clone(u.Objects), slices.Clone(u.Events)
	for i := range u.Objects {
		apply(&u.Objects[i])
	}
	for i := range u.Events {
		if u.Events[i].Type != store.Deleted {
			apply(&u.Events[i].Object)
		}
	}
	return u
}

// tableBehindFor returns how long other hosts have had a newer routing table than this host, or 0.
func (h *Host) tableBehindFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.proxy.Table()
	if t == nil {
		return 0
	}
	return h.staleness.tableLag.behindFor(t.Version, now)
}

// writeTableMetrics writes the version of the routing table in force and for how long it has been out of date.
func (h *Host) writeTableMetrics(w io.Writer) {
	if t := h.proxy.Table(); t != nil {
		metrics.WriteGaugeUint64(w, "shallotramp_table_version", uint64(t.Version))
		metrics.WriteGaugeFloat64(w, "shallotramp_table_behind_seconds", h.tableBehindFor(time.Now()).Seconds())
	}
}

// checkUpdate reports whether the update holds data, and not a failed call. It logs when the store becomes unreachable
// and when it is reachable again.
func (h *Host) checkUpdate(what string, u reflector.Update) bool {
	key := "store"
	h.mu.Lock()
	defer h.mu.Unlock()
	down := h.storeDown[key+what]
	switch {
	case u.Err != nil && !down:
		h.log.Warn().Str("Event", "StoreLost").Str("What", what).Err(u.Err).Send()
	case u.Err == nil && down:
		h.log.Info().Str("Event", "StoreRegained").Str("What", what).Str("StoreVersion", u.Version).Send()
	}
	h.storeDown[key+what] = u.Err != nil
	if u.Err == nil && h.noteEra(what, u.Version) && what == "Servers" {
		h.serverList.Restored(time.Now())
	}
	return u.Err == nil
}

// noteEra logs that the store was restored from a copy if an update is of a later era than the ones before it. It reports
// whether that is so. The caller holds mu.
func (h *Host) noteEra(what, version string) bool {
	era := store.EraOf(version)
	known, ok := h.storeEras[what]
	if ok && era <= known {
		return false
	}
	h.storeEras[what] = era
	if ok {
		h.log.Warn().Str("Event", "StoreRestored").Str("What", what).Int64("FromEra", known).Int64("Era", era).Str("StoreVersion", version).Send()
		h.storeRestored.Inc()
	}
	return ok
}

// applyServersUpdate applies an update of the backend server entries in the store.
func (h *Host) applyServersUpdate(u reflector.Update) {
	if !h.checkUpdate("Servers", u) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.serverList.StoreUnavailable()
		return
	}
	if h.updateServerList(u) {
		h.applyServers()
	}
	if u.Full {
		h.serversListed.Store(true) // The host is ready once the list is in force.
	}
}

// updateServerList updates the list of servers and reports whether it may have changed.
func (h *Host) updateServerList(u reflector.Update) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.serverList.StoreAnswered(now)
	if u.Full {
		list := make([]backend.Server, 0, len(u.Objects))
		for _, o := range u.Objects {
			if b, ok := h.decodeServer(o); ok {
				list = append(list, b)
			}
		}
		h.serverList.Replace(now, list)
	}
	for _, e := range u.Events {
		if e.Type == store.Deleted {
			h.serverList.Remove(now, e.Object.Name)
		} else if b, ok := h.decodeServer(e.Object); ok {
			h.serverList.Put(now, b)
		} else {
			h.serverList.Remove(now, e.Object.Name)
		}
	}
	if !u.Full && len(u.Events) == 0 {
		return false
	}
	h.publishServers(u.Version)
	return true
}

func (h *Host) decodeServer(o store.Object) (backend.Server, bool) {
	b, err := h.platform.DecodeServer(o.Name, o.Spec)
	if err != nil {
		h.log.Warn().Str("Event", "EntryRejected").Err(err).Send()
		return b, false
	}
	b.Revision = o.Version
	return b, true
}

// publishServers passes the list of servers to the proxy. The caller holds mu, and calls applyServers without it.
func (h *Host) publishServers(version string) {
	list := h.serverList.List()
	if sum := digest(list); sum != h.staleness.digest {
		h.staleness.digest, h.staleness.changed, h.staleness.behindSince = sum, time.Now(), time.Time{}
	}
	h.logServers(list, version)
	h.servers.Store(&list)
	h.proxy.SetServers(list, version)
}

// applyServers passes the published list of servers to the policy once it is known which zones are evacuated. The caller must
// not hold mu: the loop takes it, so a wait for room in the loop's queue would never end.
func (h *Host) applyServers() {
	if h.evacuationsKnown() {
		h.loop.Apply(func(now time.Time) []dispatch.Effect { return h.policy.SetServers(now, *h.servers.Load()) })
	}
}

// logServers logs each server whose state has changed. Both the old list and the new one are sorted by ID.
func (h *Host) logServers(list []backend.Server, version string) {
	old := *h.servers.Load()
	logged := 0
	mayLog := func() bool { logged++; return logged <= maxServerLogLines }
	logGone := func(id string) {
		if mayLog() {
			h.log.Info().Str("Event", "ServerGone").Str("Server", id).Str("StoreVersion", version).Send()
		}
	}
	for _, b := range list {
		for len(old) > 0 && old[0].ID < b.ID {
			logGone(old[0].ID)
			old = old[1:]
		}
		known := len(old) > 0 && old[0].ID == b.ID
		if (!known || old[0].Leaving != b.Leaving || old[0].Addr != b.Addr) && mayLog() {
			h.log.Info().Str("Event", "Server").Str("Server", b.ID).Str("Service", b.Service).Str("Zone", b.Zone).
				Stringer("Address", b.Addr).Bool("Leaving", b.Leaving).Bool("Spot", b.Spot).Str("StoreVersion", version).Send()
		}
		if known {
			old = old[1:]
		}
	}
	for _, b := range old {
		logGone(b.ID)
	}
	if logged > maxServerLogLines {
		h.log.Info().Str("Event", "ServersChanged").Int("Changes", logged).Int("Servers", len(list)).Str("StoreVersion", version).Send()
	}
}

// maxServerLogLines limits the log lines for one change of the server list, as a host that starts gets all servers at
// once.
const maxServerLogLines = 100

// runPeriodic refreshes the host's state and performs its duties periodically until ctx ends.
func (h *Host) runPeriodic(ctx context.Context, done chan<- error) {
	t := time.NewTicker(periodicInterval)
	defer t.Stop()
	d := newDutyState(h.platform.Store)
	for {
		select {
		case <-t.C:
			h.refresh()
			h.runDuties(ctx, d)
		case <-ctx.Done():
			done <- nil
			return
		}
	}
}

// updateLoads records the current load of each service that is scaled by ordering servers.
func (h *Host) updateLoads(now time.Time) {
	t := h.proxy.Table()
	if t == nil {
		return
	}
	loads := map[string]supply.Load{}
	for name, svc := range t.Services {
		if svc.Scaling != nil {
			loads[name] = h.policy.DemandByZone(now, name)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serviceLoads = loads
}

// expireEntries drops servers and evacuations that were kept without an entry in the store.
func (h *Host) expireEntries(now time.Time) {
	h.mu.Lock()
	servers := h.serverList.Expire(now)
	if servers {
		h.publishServers("")
	}
	evacuations := h.evacuations != nil && h.evacuations.Expire(now)
	if evacuations {
		h.publishEvacuations(evacuationNews{})
	}
	h.mu.Unlock()
	if servers {
		h.applyServers()
	}
	if evacuations {
		h.applyEvacuatedZones()
	}
}

// refresh drops servers whose entries did not return to the store, and takes a snapshot of the policy's outstanding
// work to send to other hosts.
func (h *Host) refresh() {
	h.expireEntries(time.Now())
	if h.tally != nil {
		h.tally.Prune(h.clock.Now())
	}
	speaker := h.gossip.IsSpeaker(time.Now())
	hosts, peers := h.hostNames(time.Now()), h.zonePeers(time.Now())
	h.loop.Apply(func(now time.Time) []dispatch.Effect {
		h.policy.SetHosts(now, h.clock.Now(), hosts)
		h.policy.SetZoneHosts(now, h.clock.Now(), peers)
		h.updatePolicyState(h.policy.State(now))
		if speaker {
			h.updateZoneState(h.policy.ZoneState(now))
		}
		h.updateLoads(now)
		return nil
	})
}
