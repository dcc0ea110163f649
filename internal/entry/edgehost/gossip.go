package edgehost

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/fleet/gossip"
	"shallotramp/internal/fleet/lease"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/placement"
	"shallotramp/internal/usage/tally"
)

const (
	// gossipPastWindows is the number of windows before the current one whose counts are sent to other hosts. These
	// may not have been reported yet.
	gossipPastWindows = 2
	// orphanGossipTime is how long the counts of ended processes are sent after another host has taken the duties
	// lease. They are sent twice a second, and packets may be lost.
	orphanGossipTime = 3 * time.Second
	// partGossipTime is how long the placement of a shared prompt part is sent to other hosts. Each host in another
	// zone gets one packet in that time.
	partGossipTime = 1200 * time.Millisecond
	// zonePartGossipTime is how long the placement of a shared prompt part is part of the summaries of the zone, and
	// zonePartRetention how long it is remembered, because packets within the zone repeat it.
	zonePartGossipTime = 1500 * time.Millisecond
	zonePartRetention  = 6 * time.Second
	// neighbourTimeout is the least time for which a silent host still counts as watching the store. maxLostPackets
	// is the number of gossip intervals for which a host may be silent; it also limits the age of a host's state.
	neighbourTimeout = 1500 * time.Millisecond
	maxLostPackets   = 3
	// stalenessDelay is how long another host may have newer data before this host reads the store, because hosts
	// learn of a change at different times. relistMinInterval is the least time between two such reads of the server
	// list.
	stalenessDelay    = 500 * time.Millisecond
	relistMinInterval = 2 * time.Second
	// maxOthers bounds the hosts that are asked for objects while the store does not answer.
	maxOthers = 4
	// perMille converts the demand for a service, in busy servers, to the thousandths of the packet.
	perMille = 1000
)

// updatePolicyState stores the policy's state for the packets to other hosts.
func (h *Host) updatePolicyState(state placement.HostState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.recentParts[:0]
	for _, x := range h.recentParts {
		if state.At.Sub(x.at) < partGossipTime {
			kept = append(kept, x)
		}
	}
	for _, x := range state.PartLocations {
		kept = append(kept, recentPart{x, state.At})
	}
	h.logCrashes(state)
	h.logHeldParts(state)
	h.logOverload(state)
	h.noteLimits(state.Limits, state.At)
	h.noteCold(state)
	h.overShare.Add(state.OverShare - h.policyState.OverShare)
	h.notePaces(state.Paces, state.At)
	h.recentParts, h.policyState = kept, state
	h.noteZoneParts(state.PartLocations, state.At)
	for x, at := range h.zoneParts {
		if state.At.Sub(at) > zonePartRetention {
			delete(h.zoneParts, x)
		}
	}
}

// logCrashes logs and counts the crashes of servers that this host has noticed since the last state. The caller holds
// mu.
func (h *Host) logCrashes(state placement.HostState) {
	for _, c := range state.Crashes {
		if !c.EndedAt.After(h.crashLoggedAt) {
			continue
		}
		h.crashesSeen.Inc()
		h.logs.Requests.Warn().Str("Event", "ServerCrashed").Str("Server", c.Server).Str("Fingerprint", strconv.FormatUint(c.Fingerprint, 16)).
			Strs("SharedParts", formatParts(c.SharedParts)).Bool("Answered", c.Answered).Dur("Ran", c.EndedAt.Sub(c.StartedAt)).
			Dur("Age", state.At.Sub(c.EndedAt)).Send()
	}
	if n := len(state.Crashes); n > 0 {
		h.crashLoggedAt = state.Crashes[n-1].EndedAt
	}
}

// logHeldParts logs the parts of prompts because of which requests begin or cease to be refused. The caller holds mu.
func (h *Host) logHeldParts(state placement.HostState) {
	for _, part := range state.HeldParts {
		if !slices.Contains(h.policyState.HeldParts, part) {
			h.log.Warn().Str("Event", "PartHeld").Str("Part", strconv.FormatUint(part, 16)).Send()
		}
	}
	for _, part := range h.policyState.HeldParts {
		if !slices.Contains(state.HeldParts, part) {
			h.log.Info().Str("Event", "PartReleased").Str("Part", strconv.FormatUint(part, 16)).Send()
		}
	}
	h.heldParts.Set(float64(len(state.HeldParts)))
}

func formatParts(ids []uint64) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, strconv.FormatUint(id, 16))
	}
	return out
}

// updateZoneState stores the state of the availability zone for summaries to other zones.
func (h *Host) updateZoneState(state placement.HostState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zoneState = state
}

// noteZoneParts records parts that hosts of the own availability zone have placed. Packets repeat them. The caller holds
// mu.
func (h *Host) noteZoneParts(parts []placement.PartLocation, now time.Time) {
	for _, x := range parts {
		if _, known := h.zoneParts[x]; !known {
			h.zoneParts[x] = now
		}
	}
}

// recentPart is a shared prompt part that was sent to a server, and the time of the state that listed it.
type recentPart struct {
	placement.PartLocation
	at time.Time
}

// fillPacket adds this host's state and the given contents to a packet for another host.
func (h *Host) fillPacket(p *gossip.Packet, c gossip.Contents) {
	p.TrueTimeMs = h.clock.Now().UnixMilli()
	if t := h.proxy.Table(); t != nil {
		p.TableVersion = t.Version
	}
	p.Leaving, p.ZoneView = h.stopping.Load(), h.zoneView.Load()
	p.SeesEvacuations = h.seesEvacuations()
	h.fillLease(p, time.Now())
	h.fillState(p, c)
	if !c.Counts || h.tally == nil {
		return
	}
	newest := h.tally.Window(h.clock.Now())
	add := func(host string, windows map[tally.Window]tally.Counts) {
		for w, c := range windows {
			if w >= newest-gossipPastWindows {
				p.Counts = append(p.Counts, &gossip.Counts{Host: host, Window: int64(w), Requests: c})
			}
		}
	}
	add("", h.tally.Own())
	if h.holderIsNew(time.Now()) {
		for host, windows := range h.tally.EndedProcessCounts(h.isMember()) {
			add(host, windows)
		}
	}
}

// logGossipFailure logs a packet that could not be decoded, encoded or sent. There may be many such lines, so they go
// to the log of requests.
func (h *Host) logGossipFailure(what string, err error) {
	h.logs.Requests.Warn().Str("Event", "WordFailed").Str("What", what).Err(err).Send()
}

// logNeighbourFailure logs a neighbour that did not send the objects that it watches. The host reads them from the
// store instead.
func (h *Host) logNeighbourFailure(n netip.AddrPort, err error) {
	h.log.Info().Str("Event", "NeighbourFailed").Stringer("Neighbour", n).Err(err).Send()
}

// fillLease adds the record of the duties lease for the other candidates if this host holds the lease.
func (h *Host) fillLease(p *gossip.Packet, now time.Time) {
	if h.dutyLease == nil || !h.dutyLease.Valid(now) {
		return
	}
	p.Holder = true
	if r, ok := h.dutyLease.Announcement(); ok {
		p.Lease = &gossip.Lease{
			Holder: r.Record.Holder, Fence: r.Record.Fence, Attempt: r.Record.Attempt,
			Version: r.Version, TermMs: time.Duration(r.Record.Term).Milliseconds(),
		}
	}
}

// handleLease processes the record of the duties lease that its holder sent.
func (h *Host) handleLease(l *gossip.Lease) {
	if l == nil || h.leases == nil {
		return
	}
	h.leases.HandleAnnouncement(dutiesLease, lease.Snapshot{Found: true, Version: l.GetVersion(), Record: lease.Record{
		Holder: l.GetHolder(), Fence: l.GetFence(), Attempt: l.GetAttempt(),
		Term: object.Duration(time.Duration(l.GetTermMs()) * time.Millisecond),
	}})
}

// handleCounts merges the usage counts in another host's packet: its own and those of processes that have ended.
func (h *Host) handleCounts(p *gossip.Packet, m gossip.Member) {
	for _, c := range p.GetCounts() {
		host := c.GetHost()
		if host == "" {
			host = m.Host
		}
		h.tally.Merge(host, map[tally.Window]tally.Counts{tally.Window(c.GetWindow()): c.GetRequests()})
	}
	switch {
	case p.GetLast():
		h.tally.MarkEnded(m.Host)
	case p.GetFull():
		h.tally.MarkReceived(m.Host, time.UnixMilli(p.GetTrueTimeMs()))
	}
}

// holderIsNew reports whether another host has recently taken the duties lease. It may not have the counts of processes
// that have ended.
func (h *Host) holderIsNew(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reportedHolder != "" && now.Sub(h.reportedHolderAt) < orphanGossipTime
}

// noteHolder records when another host first says that it holds the duties lease.
func (h *Host) noteHolder(m gossip.Member, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.Holder && m.Host != h.reportedHolder {
		h.reportedHolder, h.reportedHolderAt = m.Host, now
	}
}

// isMember returns a function that reports whether a process is this one or a current member according to gossip.
func (h *Host) isMember() func(process string) bool {
	known := map[string]bool{h.processID: true}
	for _, m := range h.gossip.Members(time.Now()) {
		known[m.Host] = true
	}
	return func(process string) bool { return known[process] }
}

// fillState adds the digest of the server list and the contents taken from the policy's state to a packet.
func (h *Host) fillState(p *gossip.Packet, c gossip.Contents) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p.ListDigest, p.ListAgeMs = h.staleness.digest, time.Since(h.staleness.changed).Milliseconds()
	for _, c := range h.policyState.Crashes {
		p.Crashes = append(p.Crashes, &gossip.Crash{
			Fingerprint: c.Fingerprint, Server: c.Server,
			BeganAgoMs: time.Since(c.StartedAt).Milliseconds(), EndedAgoMs: time.Since(c.EndedAt).Milliseconds(),
		})
	}
	p.PartCrashes, p.PartAnswers = encodePartReports(h.policyState, time.Now())
	p.ServerLimits = h.encodeLimits(c.Counts || c.Summary, time.Now())
	if c.Counts || c.Summary {
		p.ServerPaces = encodePaces(h.policyState.Paces, time.Now())
	}
	if c.Summary {
		now := time.Now()
		parts := make([]placement.PartLocation, 0, len(h.zoneParts))
		for x, at := range h.zoneParts {
			if now.Sub(at) < zonePartGossipTime {
				parts = append(parts, x)
			}
		}
		p.Summaries = []*gossip.Summary{{
			Zone: h.cfg.Zone, AgeMs: now.Sub(h.zoneState.At).Milliseconds(),
			Work: encodeAllWork(h.zoneState.Work), Busy: encodeDemand(h.zoneState.ServerDemand), Seen: encodeParts(parts),
		}}
	}
	if !c.Work {
		return
	}
	p.Work, p.Busy = encodeAllWork(h.policyState.Work), encodeDemand(h.policyState.ServerDemand)
	p.OrganisationDemands = encodeDemands(h.policyState.OrganisationDemands)
	parts := make([]placement.PartLocation, 0, len(h.recentParts))
	for _, x := range h.recentParts {
		parts = append(parts, x.PartLocation)
	}
	p.Seen = encodeParts(parts)
}

func encodeAllWork(work map[string]placement.Work) []*gossip.Work {
	out := make([]*gossip.Work, 0, len(work))
	for id, w := range work {
		out = append(out, encodeWork(id, w))
	}
	return out
}

func encodeDemand(demand map[string]float64) map[string]int32 {
	out := make(map[string]int32, len(demand))
	for name, v := range demand {
		out[name] = int32(v * perMille)
	}
	return out
}

// encodeParts groups parts by server.
func encodeParts(parts []placement.PartLocation) []*gossip.Seen {
	var out []*gossip.Seen
	byServer := map[string]*gossip.Seen{}
	for _, x := range parts {
		seen := byServer[x.Server]
		if seen == nil {
			seen = &gossip.Seen{Server: x.Server}
			byServer[x.Server] = seen
			out = append(out, seen)
		}
		seen.Parts = append(seen.Parts, x.Part)
	}
	return out
}

// handlePacket processes a packet of another host.
func (h *Host) handlePacket(p *gossip.Packet, m gossip.Member) {
	h.clock.AddEstimate(m.Host, time.UnixMilli(p.GetTrueTimeMs()))
	if h.tally != nil {
		h.handleCounts(p, m)
	}
	h.handleLease(p.GetLease())
	h.noteHolder(m, time.Now())
	h.checkServersStale(p, m, time.Now())
	if sighting := p.GetHolderSighting(); sighting != nil {
		h.noteHolder(gossip.Member{Host: sighting.GetHost(), Zone: sighting.GetZone(), Holder: true}, time.Now())
	}
	lifetime := maxLostPackets * h.gossip.SameZoneInterval()
	states := []placement.HostState{decodePeer(p, m, lifetime)}
	if m.Zone == h.cfg.Zone {
		h.mu.Lock()
		h.noteZoneParts(states[0].PartLocations, time.Now())
		h.mu.Unlock()
	}
	for _, s := range p.GetSummaries() {
		states = append(states, decodeSummary(s, lifetime))
	}
	hosts := len(h.gossip.Members(time.Now())) + 1
	h.loop.Apply(func(now time.Time) []dispatch.Effect {
		var out []dispatch.Effect
		for _, state := range states {
			out = append(out, h.policy.UpdatePeer(now, state, hosts)...)
		}
		return out
	})
}

// staleness records whether other hosts have a newer server list or routing table than this host.
type staleness struct {
	// digest identifies this host's server list, and changed is when it last changed.
	digest  uint64
	changed time.Time
	// behindSince is when another host first reported a newer list, and relistedAt when this host last read the list
	// from the store for that reason.
	behindSince, relistedAt time.Time
	// tableLag holds the newer versions of the routing table. tableRelistedAt is when this host last read the table from
	// the store because of them.
	tableLag        versionLag
	tableRelistedAt time.Time
}

// checkServersStale reads the server list from the store again if another host's list has changed later and stays
// different. The watch of this host, or of the neighbour from which it reads, may have fallen silent. It checks the
// routing table in the same way.
func (h *Host) checkServersStale(p *gossip.Packet, m gossip.Member, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkTableStale(p, m, now)
	d := &h.staleness
	peerChanged := now.Add(-time.Duration(p.GetListAgeMs()) * time.Millisecond)
	if p.GetListDigest() == 0 || p.GetListDigest() == d.digest || !peerChanged.After(d.changed) {
		return
	}
	switch {
	case d.behindSince.IsZero():
		d.behindSince = now
	case now.Sub(d.behindSince) > stalenessDelay && now.Sub(d.relistedAt) > relistMinInterval:
		d.relistedAt = now
		h.log.Info().Str("Event", "ServersBehind").Str("From", m.Host).Dur("Age", now.Sub(d.changed)).Send()
		h.serversReflector.Refresh()
	}
}

// checkTableStale reads the routing table from the store again if another host has had a newer one for stalenessDelay.
// The caller holds mu.
func (h *Host) checkTableStale(p *gossip.Packet, m gossip.Member, now time.Time) {
	t, d := h.proxy.Table(), &h.staleness
	if t == nil || p.GetTableVersion() <= t.Version {
		return
	}
	d.tableLag.report(p.GetTableVersion(), now)
	if d.tableLag.behindFor(t.Version, now) > stalenessDelay && now.Sub(d.tableRelistedAt) > stalenessDelay {
		d.tableRelistedAt = now
		h.log.Info().Str("Event", "TableBehind").Int64("Version", t.Version).Int64("Heard", d.tableLag.newest()).Str("From", m.Host).Send()
		h.tableReflector.Refresh()
	}
}

// digest returns a hash of a list of servers. It is never 0, which means that a packet has no digest.
func digest(list []backend.Server) uint64 {
	h := xxhash.New()
	for _, b := range list {
		_, _ = h.WriteString(b.ID) // Writing to a hash never fails.
		if b.Leaving {
			_, _ = h.WriteString(" leaves")
		}
		_, _ = h.WriteString("\n")
	}
	return max(h.Sum64(), 1)
}

func decodePeer(p *gossip.Packet, m gossip.Member, lifetime time.Duration) placement.HostState {
	out := decodeState(p.GetWork(), p.GetBusy(), p.GetSeen())
	out.Host, out.Zone, out.Lifetime = m.Host, m.Zone, lifetime
	now := time.Now()
	out.PartCrashes, out.PartAnswers = decodePartReports(p, now)
	out.Limits = decodeLimits(p, now)
	out.OrganisationDemands = decodeDemands(p.GetOrganisationDemands())
	out.Paces = decodePaces(p, now)
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, c := range p.GetCrashes() {
		out.Crashes = append(out.Crashes, placement.Crash{
			Fingerprint: c.GetFingerprint(), Server: c.GetServer(), StartedAt: ago(c.GetBeganAgoMs()), EndedAt: ago(c.GetEndedAgoMs()),
		})
	}
	return out
}

// decodeSummary returns the state of an availability zone as that of one host, whose name no process can have.
func decodeSummary(s *gossip.Summary, lifetime time.Duration) placement.HostState {
	out := decodeState(s.GetWork(), s.GetBusy(), s.GetSeen())
	out.Host, out.Zone, out.Lifetime = "zone "+s.GetZone(), s.GetZone(), lifetime
	return out
}

func decodeState(work []*gossip.Work, busy map[string]int32, seen []*gossip.Seen) placement.HostState {
	out := placement.HostState{Work: make(map[string]placement.Work, len(work)), ServerDemand: make(map[string]float64, len(busy))}
	for _, w := range work {
		out.Work[w.GetServer()] = decodeWork(w)
	}
	for name, v := range busy {
		out.ServerDemand[name] = float64(v) / perMille
	}
	for _, x := range seen {
		for _, part := range x.GetParts() {
			out.PartLocations = append(out.PartLocations, placement.PartLocation{Server: x.GetServer(), Part: part})
		}
	}
	return out
}

func encodeWork(server string, w placement.Work) *gossip.Work {
	return &gossip.Work{Server: server, Running: encodeLevels(w.InFlight), Unread: encodeLevels(w.PendingPrefill), Held: int32(w.KVTokens)}
}

// encodeLevels omits trailing zeros.
func encodeLevels(in [placement.UrgencyLevels]int) []int32 {
	n := len(in)
	for n > 0 && in[n-1] == 0 {
		n--
	}
	out := make([]int32, n)
	for i := range out {
		out[i] = int32(in[i])
	}
	return out
}

func decodeWork(w *gossip.Work) placement.Work {
	return placement.Work{InFlight: decodeLevels(w.GetRunning()), PendingPrefill: decodeLevels(w.GetUnread()), KVTokens: int(w.GetHeld())}
}

func decodeLevels(in []int32) [placement.UrgencyLevels]int {
	var out [placement.UrgencyLevels]int
	for i := range min(len(in), len(out)) {
		out[i] = int(in[i])
	}
	return out
}

// neighbours returns the hosts from which this one reads the objects of the store, in the order in which to ask them.
// They are the watchers of its availability zone: the hosts with the most link bandwidth, which watch the store
// themselves. The list is empty if this host is a watcher or knows no other host of its zone.
func (h *Host) neighbours() []netip.AddrPort {
	now := time.Now()
	silence := max(neighbourTimeout, maxLostPackets*h.gossip.SameZoneInterval())
	members := []gossip.Member{{Host: h.processID, Addr: h.cfg.IP, LinkMbps: h.cfg.LinkMbps}}
	for _, m := range h.gossip.Members(now) {
		if m.Zone == h.cfg.Zone && !m.Leaving && now.Sub(m.LastSeen) < silence {
			members = append(members, m)
		}
	}
	return neighboursFor(h.cfg.IP, members, h.cfg.FleetPort)
}

// hostsWithNewestTable returns hosts from which this one reads the objects of the store while the store does not answer
// it. Hosts that report the newest routing table come first, as the store answers them or their neighbours.
func (h *Host) hostsWithNewestTable() []netip.AddrPort {
	now := time.Now()
	var members []gossip.Member
	for _, m := range h.gossip.Members(now) {
		if !m.Leaving {
			members = append(members, m)
		}
	}
	return newestTableFirst(h.cfg.Zone, members, h.cfg.FleetPort)
}

// newestTableFirst returns up to maxOthers addresses of members, those with the newest routing table first, and of
// these the ones in the given availability zone. The order of equal ones is random, which spreads the load.
func newestTableFirst(zone string, members []gossip.Member, port uint16) []netip.AddrPort {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b gossip.Member) int {
		inZone := func(m gossip.Member) int {
			if m.Zone == zone {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(b.TableVersion, a.TableVersion), inZone(b)-inZone(a))
	})
	out := make([]netip.AddrPort, 0, maxOthers)
	for _, m := range members[:min(maxOthers, len(members))] {
		out = append(out, netip.AddrPortFrom(m.Addr, port))
	}
	return out
}

// neighboursFor returns the neighbours of self, or nil if self is a watcher and reads the store itself. All hosts
// of a zone choose the same watchers, but start with different ones to spread the load.
func neighboursFor(self netip.Addr, members []gossip.Member, port uint16) []netip.AddrPort {
	slices.SortFunc(members, func(a, b gossip.Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), a.Addr.Compare(b.Addr))
	})
	n := min(max(minWatchers, len(members)/followersPerWatcher), len(members))
	rank := slices.IndexFunc(members, func(m gossip.Member) bool { return m.Addr == self })
	if rank < n {
		return nil
	}
	out := make([]netip.AddrPort, 0, n)
	for i := range n {
		out = append(out, netip.AddrPortFrom(members[(rank+i)%n].Addr, port))
	}
	return out
}
