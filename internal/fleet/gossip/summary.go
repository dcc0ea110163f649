package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// In a large fleet a packet from each host to each host of another availability zone would come too rarely to place
// requests by it. A few hosts of each zone, the speakers, therefore send a summary of their zone to a few hosts of each
// other zone. These relay it to the hosts of their own zone.
const (
	// summaryInterval is the time between two summaries to another availability zone.
	summaryInterval = 400 * time.Millisecond
	// speakersPerZone is the number of hosts that send the summaries of a zone, and of those of another zone that are
	// sent them. Two of each keep summaries coming if a host fails.
	speakersPerZone = 2
	// summaryLifetime is how long a received summary is relayed.
	summaryLifetime = 1500 * time.Millisecond
	// maxAge is the largest age of a summary or sighting that is told apart.
	maxAge = 24 * time.Hour
	// maxRelayedBytes bounds the summaries in one packet, whose order is random.
	maxRelayedBytes = maxPacketBytes * 2 / 3
)

// remoteSummary is the latest summary of another availability zone.
type remoteSummary struct {
	summary *Summary
	madeAt  time.Time
	// direct is set if the summary came from a host of its zone.
	direct bool
}

// holderSighting is the latest packet of the duties holder that this host knows of.
type holderSighting struct {
	host, zone string
	addr       netip.Addr
	at         time.Time
}

// isLarge reports whether summaries are sent. The caller holds mu.
func (e *Endpoint) isLarge() bool { return len(e.peers) > fanout }

// IsSpeaker reports whether this host sends the summaries of its availability zone.
func (e *Endpoint) IsSpeaker(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isLarge() && e.isSpeaker(now)
}

func (e *Endpoint) isSpeaker(now time.Time) bool {
	before := 0
	silence := max(summaryLifetime, maxMissedPackets*e.sameZoneInterval())
	for _, p := range e.peers {
		if p.Zone == e.self.Zone && !p.Leaving && now.Sub(p.LastSeen) < silence && compareSpeakers(p.LinkMbps, p.Addr, e.self.LinkMbps, e.self.Addr) < 0 {
			before++
		}
	}
	return before < speakersPerZone
}

// compareSpeakers orders hosts by their suitability as speakers: those with the most link bandwidth come first.
func compareSpeakers(mbpsA int, a netip.Addr, mbpsB int, b netip.Addr) int {
	return cmp.Or(cmp.Compare(mbpsB, mbpsA), a.Compare(b))
}

// summaryTargets returns the hosts of other availability zones that are sent a summary now: one of the speakers of each
// zone, in turn.
func (e *Endpoint) summaryTargets(now time.Time) []netip.Addr {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isLarge() || now.Sub(e.summarySentAt) < summaryInterval-baseSameZoneInterval/2 || !e.isSpeaker(now) {
		return nil
	}
	e.summarySentAt = now
	e.summaryRound++
	byZone := map[string][]*peer{}
	for _, p := range e.peers {
		if p.Zone != "" && p.Zone != e.self.Zone && !p.Leaving && now.Sub(p.LastSeen) < e.memberTimeout() {
			byZone[p.Zone] = append(byZone[p.Zone], p)
		}
	}
	var out []netip.Addr
	for _, l := range byZone {
		// Hosts that have sent a summary themselves are alive and reachable.
		sends := func(p *peer) bool { return now.Sub(p.summaryAt) < summaryLifetime }
		slices.SortFunc(l, func(a, b *peer) int {
			return cmp.Or(boolToInt(sends(b))-boolToInt(sends(a)), compareSpeakers(a.LinkMbps, a.Addr, b.LinkMbps, b.Addr))
		})
		out = append(out, l[e.summaryRound%min(speakersPerZone, len(l))].Addr)
	}
	return out
}

// acceptSummaries keeps those summaries of a packet that are newer than the known ones, and removes the others from the
// packet. The caller holds mu.
func (e *Endpoint) acceptSummaries(p *Packet, sender *peer, now time.Time) {
	p.Summaries = slices.DeleteFunc(p.GetSummaries(), func(s *Summary) bool {
		direct := s.GetZone() == p.GetZone()
		if direct {
			sender.summaryAt = now
		}
		madeAt := timeOfAge(now, s.GetAgeMs())
		old, known := e.summaries[s.GetZone()]
		if s.GetZone() == e.self.Zone || known && !madeAt.After(old.madeAt) {
			return true
		}
		e.summaries[s.GetZone()] = remoteSummary{summary: s, madeAt: madeAt, direct: direct}
		return false
	})
}

// timeOfAge returns the time that was ms milliseconds before now. An age from a packet that no summary or sighting has
// counts as maxAge: a time in the future would never be replaced by a later one.
func timeOfAge(now time.Time, ms int64) time.Time {
	if ms < 0 || ms > maxAge.Milliseconds() {
		return now.Add(-maxAge)
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// addRelayed adds to a packet for a host of the same zone the recent summaries that this host got from their zones.
// The caller holds mu.
func (e *Endpoint) addRelayed(p *Packet, now time.Time) {
	size := 0
	for _, r := range e.summaries {
		age := now.Sub(r.madeAt)
		if !r.direct || age > summaryLifetime {
			continue
		}
		relayed := &Summary{
			Zone: r.summary.GetZone(), AgeMs: age.Milliseconds(), Work: r.summary.GetWork(), Seen: r.summary.GetSeen(), Busy: r.summary.GetBusy(),
		}
		if size += proto.Size(relayed); size <= maxRelayedBytes {
			p.Summaries = append(p.Summaries, relayed)
		}
	}
}

// addSighting adds the latest sighting of the duties holder to a packet. The caller holds mu.
func (e *Endpoint) addSighting(p *Packet, now time.Time) {
	s := e.sighting
	if s.host == "" || now.Sub(s.at) > minMemberTimeout {
		return
	}
	p.HolderSighting = &Sighting{Host: s.host, Zone: s.zone, Address: s.addr.AsSlice(), AgeMs: now.Sub(s.at).Milliseconds()}
}

// acceptSighting records the sighting of the duties holder in a packet if it is newer than the known one, and otherwise
// removes it from the packet. The caller holds mu.
func (e *Endpoint) acceptSighting(p *Packet, now time.Time) {
	s := p.GetHolderSighting()
	addr, ok := netip.AddrFromSlice(s.GetAddress())
	at := timeOfAge(now, s.GetAgeMs())
	if s == nil || !ok || s.GetHost() == e.self.Host || !at.After(e.sighting.at) {
		p.HolderSighting = nil
		return
	}
	if m := e.peers[addr]; m != nil && !at.After(m.LastSeen) {
		// The host itself has sent a packet since then.
		p.HolderSighting = nil
		return
	}
	e.sighting = holderSighting{host: s.GetHost(), zone: s.GetZone(), addr: addr, at: at}
	if s.GetZone() == e.self.Zone {
		return // Hosts of the same zone count as reachable only by their own packets.
	}
	m := e.peers[addr]
	if m == nil {
		m = &peer{}
		e.peers[addr] = m
	}
	if m.Host != s.GetHost() {
		m.Member = Member{Host: s.GetHost(), Zone: s.GetZone(), Addr: addr}
	}
	m.Holder, m.LastSeen = true, at
	e.clearOtherHolders(addr, at)
}

// clearOtherHolders unmarks hosts that were holders in packets from before the given time.
func (e *Endpoint) clearOtherHolders(addr netip.Addr, at time.Time) {
	for a, p := range e.peers {
		if a != addr && p.Holder && p.LastSeen.Before(at) {
			p.Holder = false
		}
	}
}

// hasDirectSummary reports whether this host relays a summary that it got from its zone. The caller holds mu.
func (e *Endpoint) hasDirectSummary(now time.Time) bool {
	for _, r := range e.summaries {
		if r.direct && now.Sub(r.madeAt) <= summaryLifetime {
			return true
		}
	}
	return false
}
