// Package gossip exchanges state between the hosts of a deployment in UDP
// datagrams, called packets: which hosts are alive, the version of the
// configuration and the outstanding work on each backend server. Some packets,
// called full, also carry the usage counts and the addresses of known hosts. A lost
// packet is not sent again; a later one carries the newer state.
package gossip

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

//go:generate protoc --plugin=protoc-gen-go=../wire/protoc-gen-go.sh --go_out=. --go_opt=paths=source_relative gossip.proto

const (
	// baseSameZoneInterval is the time between two packets to a host of the same availability zone, and
	// baseCrossZoneInterval to a host of another one, while the fleet is small. The second is longer because
	// traffic between zones costs money.
	baseSameZoneInterval  = 200 * time.Millisecond
	baseCrossZoneInterval = time.Second
	// fanout is the largest number of hosts that are sent a packet at once. If more are due, they are drawn at
	// random, so that not all hosts learn of a server's work at the same moment. On average one in crossZoneOneIn
	// packets goes to another availability zone.
	fanout         = 12
	crossZoneOneIn = 6
	// overdueIntervals is the number of usual intervals without a packet after which a host of the same zone goes
	// before the other hosts that are due.
	overdueIntervals = 2
	// maxWelcomes bounds the new hosts that are sent a packet at once beside the hosts that are due.
	maxWelcomes = 64
	// minOtherPeerAddrs is the number of addresses of other zones that a packet lists beside those of the target's zone.
	minOtherPeerAddrs = 2
	// minMemberTimeout is the least time for which a silent host still counts as a member. In a large fleet the time
	// is longer: maxMissedPackets intervals between packets of another availability zone.
	minMemberTimeout = 4 * time.Second
	maxMissedPackets = 3
	// peerRetention is how long packets are still sent to a silent host, which may be cut off and come back.
	peerRetention = 20 * time.Second
	// maxPacketBytes bounds the size of a datagram.
	maxPacketBytes = 60 << 10
	// probeInterval is the time between two packets to a silent host or to a seed that is not a member.
	probeInterval = time.Second
)

// Member is another host, as its last packet describes it.
type Member struct {
	Host string
	Zone string
	Addr netip.Addr
	// LastSeen is the time of the last packet from the host.
	LastSeen time.Time
	// Holder is set if the host holds the duties lease. Its holder does the tasks that one host does for the
	// whole deployment.
	Holder bool
	// Leaving is set if the host is stopping.
	Leaving bool
	// TableVersion is the version of the configuration that the host uses.
	TableVersion int64
	// LinkMbps is the bandwidth of the host's network link in Mbit/s.
	LinkMbps int
	// ZoneView is the number of hosts among which the host divides the requests to cold servers.
	ZoneView int
	// SeesEvacuations is set if the host reads the evacuations of availability zones from the platform's store itself.
	SeesEvacuations bool
}

// Self describes this host.
type Self struct {
	Host, Zone string
	Addr       netip.Addr
	// Port is the UDP port of all hosts.
	Port uint16
	// Seeds are addresses that are sent packets even while no host is known there.
	Seeds []netip.Addr
	// LinkMbps is the bandwidth of the host's network link in Mbit/s.
	LinkMbps int
}

// Endpoint sends and receives packets. Its methods are safe for concurrent use.
type Endpoint struct {
	self Self
	// fill completes a packet before it is sent.
	fill func(p *Packet, c Contents)
	// onPacket is called with each packet of another host.
	onPacket func(p *Packet, sender Member)
	// onError is called for each packet that could not be received, encoded or sent.
	onError func(operation string, err error)

	mu    sync.Mutex
	peers map[netip.Addr]*peer
	// welcomes are the hosts from which a first packet has come and that were not sent one since.
	welcomes []netip.Addr
	// round counts the calls of dueTargets, to send full packets within the zone each baseCrossZoneInterval.
	round int
	// holder is set while this host holds the duties lease. In a small fleet it then sends to each host of another
	// zone twice a second. In a large one, the others learn of it by sightings.
	holder bool
	// summaries holds the latest summary of each other availability zone.
	summaries     map[string]remoteSummary
	summarySentAt time.Time
	// summaryRound counts the calls of summaryTargets that returned hosts.
	summaryRound int
	sighting     holderSighting
}

type peer struct {
	Member
	lastSent time.Time
	// summaryAt is when the host last sent a summary of its availability zone.
	summaryAt time.Time
}

// Contents says what a packet carries beside the state of its sender.
type Contents struct {
	// Counts stands for the usage counts, Work for the outstanding work of the sender, and Summary for that of its whole
	// availability zone.
	Counts, Work, Summary bool
}

// Option configures an [Endpoint].
type Option func(*Endpoint)

// WithErrorHandler calls f for each packet that could not be received, encoded or sent. Such packets are not retried,
// because the next ones carry the same state.
func WithErrorHandler(f func(operation string, err error)) Option {
	return func(e *Endpoint) { e.onError = f }
}

// New returns an Endpoint. It calls fill to complete each packet before it is sent, and onPacket for each packet that
// it receives.
func New(self Self, fill func(p *Packet, c Contents), onPacket func(p *Packet, sender Member), opts ...Option) *Endpoint {
	e := &Endpoint{self: self, fill: fill, onPacket: onPacket, onError: func(string, error) {}, peers: map[netip.Addr]*peer{}, summaries: map[string]remoteSummary{}}
	for _, o := range opts {
		o(e)
	}
	return e
}

// SetSeeds replaces [Self.Seeds].
func (e *Endpoint) SetSeeds(seeds []netip.Addr) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.self.Seeds = seeds
}

// SetHolder sets whether this host holds the duties lease.
func (e *Endpoint) SetHolder(holder bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holder = holder
}

// Members returns the other hosts whose last packet is recent.
func (e *Endpoint) Members(now time.Time) []Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Member
	for _, p := range e.peers {
		if now.Sub(p.LastSeen) < e.memberTimeout() {
			out = append(out, p.Member)
		}
	}
	return out
}

// KnownHosts returns the number of other hosts that are known, also of those that have not sent a packet yet.
func (e *Endpoint) KnownHosts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers)
}

// Run exchanges packets until ctx ends and then reports on done.
func (e *Endpoint) Run(ctx context.Context, done chan<- error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(e.self.Addr, e.self.Port)))
	if err != nil {
		done <- err
		return
	}
	received := make(chan error, 1)
	go e.receive(conn, received)
	t := time.NewTicker(baseSameZoneInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			for _, d := range e.datagrams(time.Now()) {
				e.write(conn, d.raw, d.to)
			}
		case err := <-received:
			done <- err
			return
		case <-ctx.Done():
			e.sendLast(conn)
			_ = conn.Close() // Makes receive return, which reports on received.
			<-received
			done <- nil
			return
		}
	}
}

func (e *Endpoint) receive(conn *net.UDPConn, done chan<- error) {
	buf := make([]byte, maxPacketBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			done <- err
			return
		}
		var p Packet
		if err := proto.Unmarshal(buf[:n], &p); err != nil {
			e.onError("read from "+from.String(), err)
			continue
		}
		if p.GetHost() == "" {
			e.onError("read from "+from.String(), errNoHost)
			continue
		}
		e.handlePacket(&p, from.Addr().Unmap(), time.Now())
	}
}

func (e *Endpoint) handlePacket(p *Packet, from netip.Addr, now time.Time) {
	if p.GetHost() == e.self.Host {
		return
	}
	e.mu.Lock()
	m := e.peers[from]
	if m == nil {
		m = &peer{}
		e.peers[from] = m
	}
	if m.Host != p.GetHost() && len(e.welcomes) < maxWelcomes {
		e.welcomes = append(e.welcomes, from)
	}
	m.Member = Member{
		Host: p.GetHost(), Zone: p.GetZone(), Addr: from, LastSeen: now,
		Holder: p.GetHolder(), Leaving: p.GetLeaving(), TableVersion: p.GetTableVersion(),
		LinkMbps: int(p.GetLinkMbps()), ZoneView: int(p.GetZoneView()), SeesEvacuations: p.GetSeesEvacuations(),
	}
	member := m.Member
	if m.Holder {
		e.sighting = holderSighting{host: m.Host, zone: m.Zone, addr: from, at: now}
		e.clearOtherHolders(from, now)
	} else if e.sighting.addr == from {
		e.sighting = holderSighting{at: now}
	}
	e.acceptSummaries(p, m, now)
	e.acceptSighting(p, now)
	for _, raw := range p.GetPeers() {
		if a, ok := netip.AddrFromSlice(raw); ok && a != e.self.Addr && e.peers[a] == nil {
			// The sender knows this host. It becomes a member with its own first packet.
			e.peers[a] = &peer{Member: Member{Addr: a, LastSeen: now.Add(-peerRetention / 2)}}
		}
	}
	e.mu.Unlock()
	e.onPacket(p, member)
}

// datagram is an encoded packet and its receiver.
type datagram struct {
	to  netip.Addr
	raw []byte
}

// datagrams returns what is to be sent now: packets to the hosts that are due and, if this host is a speaker, summaries
// of its availability zone.
func (e *Endpoint) datagrams(now time.Time) []datagram {
	var out []datagram
	// Hosts that get the same contents get the same packet.
	packets := map[target][]byte{}
	for _, t := range append(e.welcomeTargets(now), e.dueTargets(now)...) {
		kind := target{full: t.full, zone: t.zone}
		raw, ok := packets[kind]
		if !ok {
			raw = e.buildPacket(kind, now)
			packets[kind] = raw
		}
		out = append(out, datagram{t.addr, raw})
	}
	if speakers := e.summaryTargets(now); len(speakers) > 0 {
		raw := e.buildSummary(now)
		for _, a := range speakers {
			out = append(out, datagram{a, raw})
		}
	}
	return out
}

// buildSummary returns an encoded packet with a summary of the availability zone.
func (e *Endpoint) buildSummary(now time.Time) []byte {
	p := &Packet{Host: e.self.Host, Zone: e.self.Zone, LinkMbps: int32(e.self.LinkMbps)}
	e.mu.Lock()
	e.addSighting(p, now)
	e.mu.Unlock()
	return e.encode(p, Contents{Summary: true})
}

// write sends an encoded packet, or nothing if raw is nil.
func (e *Endpoint) write(conn *net.UDPConn, raw []byte, to netip.Addr) {
	if raw == nil {
		return
	}
	if _, err := conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(to, e.self.Port)); err != nil {
		e.onError("send to "+to.String(), err)
	}
}

var (
	errNoHost   = errors.New("the packet has no host name")
	errTooLarge = errors.New("the packet is too large for a datagram")
)

// sendLast sends all members a packet that says that this process ends, with its last usage counts.
func (e *Endpoint) sendLast(conn *net.UDPConn) {
	raw := e.encode(&Packet{Host: e.self.Host, Zone: e.self.Zone, Full: true, Last: true}, Contents{Counts: true, Work: true})
	for _, m := range e.Members(time.Now()) {
		e.write(conn, raw, m.Addr)
	}
}

// buildPacket returns the encoded packet for targets of a kind. Packets to hosts of other availability zones list
// addresses too: hosts of a zone without a seed find each other only through hosts of other zones.
func (e *Endpoint) buildPacket(kind target, now time.Time) []byte {
	p := &Packet{Host: e.self.Host, Zone: e.self.Zone, LinkMbps: int32(e.self.LinkMbps), Full: kind.full}
	sameZone := kind.zone == e.self.Zone
	e.mu.Lock()
	large := e.isLarge()
	if kind.full || !sameZone {
		p.Peers = e.peerAddrs(kind.zone, now)
	}
	if large {
		e.addSighting(p, now)
	}
	if large && sameZone {
		e.addRelayed(p, now)
	}
	e.mu.Unlock()
	return e.encode(p, Contents{Counts: kind.full, Work: sameZone || !large})
}

// peerAddrs returns addresses of up to fanout members, drawn at random, most of them of the given availability zone.
// The caller holds mu.
func (e *Endpoint) peerAddrs(zone string, now time.Time) [][]byte {
	var sameZone, others [][]byte
	for a, p := range e.peers {
		switch {
		case p.Host == "" || now.Sub(p.LastSeen) >= e.memberTimeout():
		case p.Zone == zone:
			sameZone = append(sameZone, a.AsSlice())
		default:
			others = append(others, a.AsSlice())
		}
	}
	out := sample(sameZone, fanout)
	return append(out, sample(others, max(fanout-len(out), minOtherPeerAddrs))...)
}

// sample returns up to n elements of l, drawn at random. It changes the order of l.
func sample(l [][]byte, n int) [][]byte {
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(n, len(l))]
}

// encode completes a packet and returns its encoding, or nil if that fails.
func (e *Endpoint) encode(p *Packet, c Contents) []byte {
	e.fill(p, c)
	raw, err := proto.Marshal(p)
	if err == nil && len(raw) > maxPacketBytes {
		err = errTooLarge
	}
	if err != nil {
		e.onError("encode", err)
		return nil
	}
	return raw
}

// target is a host that is sent a packet.
type target struct {
	addr netip.Addr
	// zone is the host's availability zone, empty if it is unknown.
	zone string
	// full packets carry usage counts.
	full bool
}

// dueTargets returns the hosts that are sent a packet now. Hosts of the same zone are due more often than others. The
// holder of the duties lease always gets full packets.
func (e *Endpoint) dueTargets(now time.Time) []target {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.self.Seeds {
		if a != e.self.Addr && e.peers[a] == nil {
			e.peers[a] = &peer{Member: Member{Addr: a, LastSeen: now.Add(-peerRetention / 2)}}
		}
	}
	var due []*peer
	interval := e.sameZoneInterval()
	for a, p := range e.peers {
		silence := now.Sub(p.LastSeen)
		if silence > e.retention(p) && !slices.Contains(e.self.Seeds, a) {
			delete(e.peers, a)
			continue
		}
		if now.Sub(p.lastSent) >= e.interval(p, silence)-baseSameZoneInterval/2 {
			due = append(due, p)
		}
	}
	if len(due) > fanout {
		rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		relays := e.hasDirectSummary(now)
		overdue := func(p *peer) bool { return p.Zone == e.self.Zone && now.Sub(p.lastSent) > overdueIntervals*interval }
		slices.SortStableFunc(due, func(a, b *peer) int {
			return cmp.Or(
				boolToInt(b.Holder)-boolToInt(a.Holder),
				boolToInt(overdue(b))-boolToInt(overdue(a)),
				// A host that relays summaries reaches each host of its zone in turn.
				compareLastSent(a, b, relays && a.Zone == e.self.Zone && b.Zone == e.self.Zone),
				// Hosts that are known only from lists of addresses are found sooner.
				boolToInt(b.Host == "")-boolToInt(a.Host == ""),
			)
		})
		due = due[:fanout]
	}
	e.round++
	out := make([]target, 0, len(due))
	for _, p := range due {
		p.lastSent = now
		crossZone := p.Zone != e.self.Zone
		full := p.Holder || crossZone && len(e.peers) <= fanout || !crossZone && e.round%int(baseCrossZoneInterval/baseSameZoneInterval) == 0
		out = append(out, target{addr: p.Addr, zone: p.Zone, full: full})
	}
	return out
}

// welcomeTargets returns the hosts from which a first packet has come since the last call. They are sent the addresses of
// their zone at once: when all hosts of a large fleet start together, they know only the few seeds.
func (e *Endpoint) welcomeTargets(now time.Time) []target {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]target, 0, len(e.welcomes))
	for _, a := range e.welcomes {
		if p := e.peers[a]; p != nil {
			p.lastSent = now
			out = append(out, target{addr: a, zone: p.Zone, full: p.Zone == e.self.Zone})
		}
	}
	e.welcomes = e.welcomes[:0]
	return out
}

// retention is how long packets are still sent to a silent host. In a large fleet the time between two packets of a
// host of another zone can be longer than peerRetention.
func (e *Endpoint) retention(p *peer) time.Duration {
	if p.Host == "" {
		return peerRetention
	}
	return max(peerRetention, e.memberTimeout()+peerRetention/2)
}

// compareLastSent orders hosts by the time of the last packet to them if byTime is true, and not at all otherwise.
func compareLastSent(a, b *peer, byTime bool) int {
	if !byTime {
		return 0
	}
	return a.lastSent.Compare(b.lastSent)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// interval returns the time between two packets to a host that has been silent for the given time.
func (e *Endpoint) interval(p *peer, silence time.Duration) time.Duration {
	switch {
	case silence >= e.memberTimeout(), p.Host == "":
		return probeInterval
	case p.Zone == e.self.Zone:
		return baseSameZoneInterval
	case p.Holder, e.holder && !e.isLarge():
		return baseCrossZoneInterval / 2
	}
	return e.crossZoneInterval()
}

// crossZoneInterval is the time between two packets to a host of another availability zone. It grows with the fleet,
// so that the traffic grows with the number of hosts and not with its square.
func (e *Endpoint) crossZoneInterval() time.Duration {
	return baseCrossZoneInterval * time.Duration(max(1, len(e.peers)/fanout))
}

// sameZoneInterval is the usual time between two packets to a host of the same availability zone. It grows with the
// number of hosts in the zone.
func (e *Endpoint) sameZoneInterval() time.Duration {
	sameZonePeers := 0
	for _, p := range e.peers {
		if p.Zone == e.self.Zone {
			sameZonePeers++
		}
	}
	sameZoneFanout := fanout - fanout/crossZoneOneIn
	return baseSameZoneInterval * time.Duration(max(1, (sameZonePeers+sameZoneFanout-1)/sameZoneFanout))
}

// SameZoneInterval returns the usual time between two packets from a host of the same availability zone.
func (e *Endpoint) SameZoneInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sameZoneInterval()
}

// SendsCountsToAll reports whether all hosts receive the usage counts of all others. In a large fleet only hosts of
// the same zone and the holder of the duties lease do.
func (e *Endpoint) SendsCountsToAll() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers) <= fanout
}

// memberTimeout is the time for which a silent host still counts as a member.
func (e *Endpoint) memberTimeout() time.Duration {
	return max(minMemberTimeout, maxMissedPackets*e.crossZoneInterval())
}
