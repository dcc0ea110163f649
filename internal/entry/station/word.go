package station

import (
	"cmp"
	"net/netip"
	"slices"
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
	// toldWindows is how many windows before the present one are told to other hosts: those not reported yet.
	toldWindows = 2
	// orphanTime is how long the counts of ended processes are told to a new holder of the duties: it is told
	// twice a second, and words may be lost.
	orphanTime = 3 * time.Second
	// seenTime is how long word of a shared part goes out: each host of another zone is told once in it.
	seenTime = 1200 * time.Millisecond
	// neighbourSilence is how long a silent host still counts as following the store at least, and lostWords
	// how many words of it may be missed.
	neighbourSilence = 1500 * time.Millisecond
	lostWords        = 3
	// doubtTime is how long another host's newer list may differ, which both may learn at other moments, and
	// askInterval the time between two readings for that.
	doubtTime   = 500 * time.Millisecond
	askInterval = 2 * time.Second
	// milli turns a share into thousandths.
	milli = 1000
)

// told takes what the policy tells other hosts now.
func (s *Station) told(state placement.HostState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.seen[:0]
	for _, x := range s.seen {
		if state.At.Sub(x.at) < seenTime {
			kept = append(kept, x)
		}
	}
	for _, x := range state.PartLocations {
		kept = append(kept, seenPart{x, state.At})
	}
	s.seen, s.state = kept, state
}

// seenPart is word of a shared part and when it was heard.
type seenPart struct {
	placement.PartLocation
	at time.Time
}

// fill completes a packet for another host.
func (s *Station) fill(p *gossip.Packet, counts bool) {
	p.TrueTimeMs = s.clock.Now().UnixMilli()
	if t := s.edge.Table(); t != nil {
		p.TableVersion = t.Version
	}
	p.Leaving = s.stopping.Load()
	s.fillLease(p, time.Now())
	s.fillState(p)
	if !counts || s.tally == nil {
		return
	}
	newest := s.tally.Window(s.clock.Now())
	add := func(host string, windows map[tally.Window]tally.Counts) {
		for w, c := range windows {
			if w >= newest-toldWindows {
				p.Counts = append(p.Counts, &gossip.Counts{Host: host, Window: int64(w), Requests: c})
			}
		}
	}
	add("", s.tally.Own())
	if s.holderIsNew(time.Now()) {
		for host, windows := range s.tally.Orphans(s.isMember()) {
			add(host, windows)
		}
	}
}

// wordFailed logs a packet that was not read, made or sent. There may be many: they count among the lines
// about requests.
func (s *Station) wordFailed(what string, err error) {
	s.lines.Requests.Warn().Str("Event", "WordFailed").Str("What", what).Err(err).Send()
}

// neighbourFailed logs a neighbour that did not tell what it follows; the store is asked instead.
func (s *Station) neighbourFailed(n netip.AddrPort, err error) {
	s.log.Info().Str("Event", "NeighbourFailed").Stringer("Neighbour", n).Err(err).Send()
}

// fillLease tells candidates the record of a lease that this host holds.
func (s *Station) fillLease(p *gossip.Packet, now time.Time) {
	if s.duty == nil || !s.duty.Valid(now) {
		return
	}
	p.Holder = true
	if r, ok := s.duty.Announcement(); ok {
		p.Lease = &gossip.Lease{
			Holder: r.Record.Holder, Fence: r.Record.Fence, Attempt: r.Record.Attempt,
			Version: r.Version, TermMs: time.Duration(r.Record.Term).Milliseconds(),
		}
	}
}

// hearLease takes the record that another host told of its lease.
func (s *Station) hearLease(l *gossip.Lease) {
	if l == nil || s.leases == nil {
		return
	}
	s.leases.HandleAnnouncement(dutyRole, lease.Snapshot{Found: true, Version: l.GetVersion(), Record: lease.Record{
		Holder: l.GetHolder(), Fence: l.GetFence(), Attempt: l.GetAttempt(),
		Term: object.Duration(time.Duration(l.GetTermMs()) * time.Millisecond),
	}})
}

// hearCounts takes the usage counts in another host's packet, its own and those of processes that have ended.
func (s *Station) hearCounts(p *gossip.Packet, m gossip.Member) {
	for _, c := range p.GetCounts() {
		host := c.GetHost()
		if host == "" {
			host = m.Host
		}
		s.tally.Merge(host, map[tally.Window]tally.Counts{tally.Window(c.GetWindow()): c.GetRequests()})
	}
	switch {
	case p.GetLast():
		s.tally.Ended(m.Host)
	case p.GetFull():
		s.tally.Told(m.Host, time.UnixMilli(p.GetTrueTimeMs()))
	}
}

// holderIsNew reports whether another host took the duties of late: it may not have heard the counts of
// processes that have ended.
func (s *Station) holderIsNew(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardHolder != "" && now.Sub(s.heardHolderAt) < orphanTime
}

// noteHolder remembers since when a host has held the duties.
func (s *Station) noteHolder(m gossip.Member, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Holder && m.Host != s.heardHolder {
		s.heardHolder, s.heardHolderAt = m.Host, now
	}
}

// isMember returns whether a process is this one or was heard of late.
func (s *Station) isMember() func(process string) bool {
	known := map[string]bool{s.id: true}
	for _, m := range s.fleet.Members(time.Now()) {
		known[m.Host] = true
	}
	return func(process string) bool { return known[process] }
}

func (s *Station) fillState(p *gossip.Packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.ListDigest, p.ListAgeMs = s.doubt.digest, time.Since(s.doubt.changed).Milliseconds()
	for id, w := range s.state.Work {
		p.Work = append(p.Work, encodeWork(id, w))
	}
	for _, c := range s.state.Crashes {
		p.Crashes = append(p.Crashes, &gossip.Crash{
			Fingerprint: c.Fingerprint, Server: c.Server,
			BeganAgoMs: time.Since(c.StartedAt).Milliseconds(), EndedAgoMs: time.Since(c.EndedAt).Milliseconds(),
		})
	}
	p.Busy = make(map[string]int32, len(s.state.ServerDemand))
	for name, v := range s.state.ServerDemand {
		p.Busy[name] = int32(v * milli)
	}
	parts := map[string]*gossip.Seen{}
	for _, x := range s.seen {
		if parts[x.Server] == nil {
			parts[x.Server] = &gossip.Seen{Server: x.Server}
			p.Seen = append(p.Seen, parts[x.Server])
		}
		parts[x.Server].Parts = append(parts[x.Server].Parts, x.Part)
	}
}

// hear takes another host's packet.
func (s *Station) hear(p *gossip.Packet, m gossip.Member) {
	s.clock.Hear(m.Host, time.UnixMilli(p.GetTrueTimeMs()))
	if s.tally != nil {
		s.hearCounts(p, m)
	}
	s.hearLease(p.GetLease())
	s.noteHolder(m, time.Now())
	s.compare(p, m, time.Now())
	peer := decodePeer(p, m, lostWords*s.fleet.NearInterval())
	hosts := len(s.fleet.Members(time.Now())) + 1
	s.loop.Apply(func(now time.Time) []dispatch.Effect { return s.policy.UpdatePeer(now, peer, hosts) })
}

// doubt is this host's knowledge of its list of backend servers beside that of others.
type doubt struct {
	digest  uint64
	changed time.Time
	// since is when another host first told of a newer list, and asked when the store was asked for it.
	since, asked time.Time
	// table is a newer version of the configuration that another host told first at tableSince, and
	// tableAsked when the store was asked for it.
	table                  int64
	tableSince, tableAsked time.Time
}

// compare lists the backend servers anew if another host's list has changed later and stays different: the
// watch of this host, or of the neighbour that it follows, may be silent.
func (s *Station) compare(p *gossip.Packet, m gossip.Member, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compareTable(p, m, now)
	d := &s.doubt
	theirs := now.Add(-time.Duration(p.GetListAgeMs()) * time.Millisecond)
	if p.GetListDigest() == 0 || p.GetListDigest() == d.digest || !theirs.After(d.changed) {
		return
	}
	switch {
	case d.since.IsZero():
		d.since = now
	case now.Sub(d.since) > doubtTime && now.Sub(d.asked) > askInterval:
		d.asked = now
		s.log.Info().Str("Event", "ServersBehind").Str("From", m.Host).Dur("Age", now.Sub(d.changed)).Send()
		s.lists.Poke()
	}
}

// compareTable lists the configuration anew if another host has had a newer one for a while.
func (s *Station) compareTable(p *gossip.Packet, m gossip.Member, now time.Time) {
	t, d := s.edge.Table(), &s.doubt
	if t == nil || p.GetTableVersion() <= t.Version {
		return
	}
	switch {
	case d.table != p.GetTableVersion():
		d.table, d.tableSince = p.GetTableVersion(), now
	case now.Sub(d.tableSince) > doubtTime && now.Sub(d.tableAsked) > doubtTime:
		d.tableAsked = now
		s.log.Info().Str("Event", "TableBehind").Int64("Version", t.Version).Int64("Heard", d.table).Str("From", m.Host).Send()
		s.tables.Poke()
	}
}

// digest sums up a list of servers.
func digest(list []backend.Server) uint64 {
	h := xxhash.New()
	for _, b := range list {
		_, _ = h.WriteString(b.ID) // A hash's Write returns no error.
		if b.Leaving {
			_, _ = h.WriteString(" leaves")
		}
		_, _ = h.WriteString("\n")
	}
	return max(h.Sum64(), 1)
}

func decodePeer(p *gossip.Packet, m gossip.Member, lifetime time.Duration) placement.HostState {
	out := placement.HostState{
		Host: m.Host, Zone: m.Zone, Lifetime: lifetime, Work: make(map[string]placement.Work, len(p.GetWork())),
		ServerDemand: make(map[string]float64, len(p.GetBusy())),
	}
	for _, w := range p.GetWork() {
		out.Work[w.GetServer()] = decodeWork(w)
	}
	now := time.Now()
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, c := range p.GetCrashes() {
		out.Crashes = append(out.Crashes, placement.Crash{
			Fingerprint: c.GetFingerprint(), Server: c.GetServer(), StartedAt: ago(c.GetBeganAgoMs()), EndedAt: ago(c.GetEndedAgoMs()),
		})
	}
	for name, v := range p.GetBusy() {
		out.ServerDemand[name] = float64(v) / milli
	}
	for _, x := range p.GetSeen() {
		for _, part := range x.GetParts() {
			out.PartLocations = append(out.PartLocations, placement.PartLocation{Server: x.GetServer(), Part: part})
		}
	}
	return out
}

func encodeWork(server string, w placement.Work) *gossip.Work {
	return &gossip.Work{Server: server, Running: encodeLevels(w.InFlight), Unread: encodeLevels(w.PendingPrefill), Held: int32(w.KVTokens)}
}

// encodeLevels leaves out zeros at the end.
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

// neighbours returns the hosts that follow the store for this one, the one to ask first at the front: those of
// its availability zone with the widest links. A host that is one of them, or hears of none, asks the store itself.
func (s *Station) neighbours() []netip.AddrPort {
	now := time.Now()
	silence := max(neighbourSilence, lostWords*s.fleet.NearInterval())
	zone := []gossip.Member{{Host: s.id, Addr: s.cfg.IP, LinkMbps: s.cfg.LinkMbps}}
	for _, m := range s.fleet.Members(now) {
		if m.Zone == s.cfg.Zone && !m.Leaving && now.Sub(m.Heard) < silence {
			zone = append(zone, m)
		}
	}
	return watchersFor(s.cfg.IP, zone, s.cfg.FleetPort)
}

// watchersFor returns the hosts of a zone that self asks, none if it is to ask the store. All hosts of a zone
// choose the same watchers, and each starts with another one.
func watchersFor(self netip.Addr, zone []gossip.Member, port uint16) []netip.AddrPort {
	slices.SortFunc(zone, func(a, b gossip.Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), a.Addr.Compare(b.Addr))
	})
	n := min(max(leastWatchers, len(zone)/followers), len(zone))
	rank := slices.IndexFunc(zone, func(m gossip.Member) bool { return m.Addr == self })
	if rank < n {
		return nil
	}
	out := make([]netip.AddrPort, 0, n)
	for i := range n {
		out = append(out, netip.AddrPortFrom(zone[(rank+i)%n].Addr, port))
	}
	return out
}
