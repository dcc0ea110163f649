package station

import (
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/fleet/gossip"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/placement"
	"shallotramp/internal/usage/tally"
)

const (
	// toldWindows is how many windows before the present one are told to other hosts: those not reported yet.
	toldWindows = 2
	// seenTime is how long word of a shared part goes out: each host of another zone is told once in it.
	seenTime = 1200 * time.Millisecond
	// neighbourSilence is how long a silent host still counts as following the store.
	neighbourSilence = 1500 * time.Millisecond
	// doubtTime is how long another host's newer list may differ, which both may learn at other moments, and
	// askInterval the time between two readings for that.
	doubtTime   = 500 * time.Millisecond
	askInterval = 2 * time.Second
	// milli turns a share into thousandths.
	milli = 1000
)

// told takes what the policy tells other hosts now.
func (s *Station) told(state placement.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.seen[:0]
	for _, x := range s.seen {
		if state.At.Sub(x.at) < seenTime {
			kept = append(kept, x)
		}
	}
	for _, x := range state.Seen {
		kept = append(kept, seenPart{x, state.At})
	}
	s.seen, s.state = kept, state
}

// seenPart is word of a shared part and when it was heard.
type seenPart struct {
	placement.Seen
	at time.Time
}

// fill completes a packet for another host.
func (s *Station) fill(p *gossip.Packet, counts bool) {
	p.TrueTimeMs = s.clock.Now().UnixMilli()
	if t := s.edge.Table(); t != nil {
		p.TableVersion = t.Version
	}
	p.Leaving = s.stopping.Load()
	p.Holder = s.duty != nil && s.duty.Valid(time.Now())
	s.fillState(p)
	if !counts || s.tally == nil {
		return
	}
	newest := s.tally.Window(s.clock.Now())
	for w, c := range s.tally.Own() {
		if w >= newest-toldWindows {
			p.Counts = append(p.Counts, &gossip.Counts{Window: int64(w), Requests: c})
		}
	}
}

func (s *Station) fillState(p *gossip.Packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.ListDigest, p.ListAgeMs = s.doubt.digest, time.Since(s.doubt.changed).Milliseconds()
	for id, w := range s.state.Work {
		p.Work = append(p.Work, encodeWork(id, w))
	}
	p.Busy = make(map[string]int32, len(s.state.Busy))
	for name, v := range s.state.Busy {
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
		for _, c := range p.GetCounts() {
			s.tally.Merge(m.Host, map[tally.Window]tally.Counts{tally.Window(c.GetWindow()): c.GetRequests()})
		}
	}
	s.compare(p, m, time.Now())
	peer := decodePeer(p, m)
	hosts := len(s.fleet.Members(time.Now())) + 1
	s.loop.Apply(func(now time.Time) []dispatch.Effect { return s.policy.Peer(now, peer, hosts) })
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
	h := fnv.New64a()
	for _, b := range list {
		_, _ = fmt.Fprintf(h, "%s %t\n", b.ID, b.Leaving) // A hash's Write returns no error.
	}
	return max(h.Sum64(), 1)
}

func decodePeer(p *gossip.Packet, m gossip.Member) placement.Peer {
	out := placement.Peer{
		Host: m.Host, Zone: m.Zone, Work: make(map[string]placement.Work, len(p.GetWork())),
		Busy: make(map[string]float64, len(p.GetBusy())),
	}
	for _, w := range p.GetWork() {
		out.Work[w.GetServer()] = decodeWork(w)
	}
	for name, v := range p.GetBusy() {
		out.Busy[name] = float64(v) / milli
	}
	for _, x := range p.GetSeen() {
		for _, part := range x.GetParts() {
			out.Seen = append(out.Seen, placement.Seen{Server: x.GetServer(), Part: part})
		}
	}
	return out
}

func encodeWork(server string, w placement.Work) *gossip.Work {
	return &gossip.Work{Server: server, Running: encodeLevels(w.Running), Unread: encodeLevels(w.Unread), Held: int32(w.Held)}
}

// encodeLevels leaves out zeros at the end.
func encodeLevels(in [placement.Levels]int) []int32 {
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
	return placement.Work{Running: decodeLevels(w.GetRunning()), Unread: decodeLevels(w.GetUnread()), Held: int(w.GetHeld())}
}

func decodeLevels(in []int32) [placement.Levels]int {
	var out [placement.Levels]int
	for i := range min(len(in), len(out)) {
		out[i] = int(in[i])
	}
	return out
}

// neighbours returns the hosts that follow the store for this one: the first of its availability zone by
// address. A host that is one of them, or hears of none, asks the store itself.
func (s *Station) neighbours() []netip.AddrPort {
	var addrs []netip.Addr
	for _, m := range s.fleet.Members(time.Now()) {
		if m.Zone == s.cfg.Zone && !m.Leaving && time.Since(m.Heard) < neighbourSilence {
			addrs = append(addrs, m.Addr)
		}
	}
	slices.SortFunc(addrs, netip.Addr.Compare)
	out := make([]netip.AddrPort, 0, watchers)
	for _, a := range addrs {
		if len(out) == watchers {
			break
		}
		out = append(out, netip.AddrPortFrom(a, s.cfg.FleetPort))
	}
	if len(out) < watchers || s.cfg.IP.Less(out[watchers-1].Addr()) {
		return nil
	}
	return out
}
