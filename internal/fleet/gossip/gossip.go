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
	// fill completes a packet before it is sent, with usage counts if counts is true.
	fill func(p *Packet, counts bool)
	// onPacket is called with each packet of another host.
	onPacket func(p *Packet, sender Member)
	// onError is called for each packet that could not be received, encoded or sent.
	onError func(operation string, err error)

	mu    sync.Mutex
	peers map[netip.Addr]*peer
	// round counts the calls of dueTargets, to send full packets within the zone each baseCrossZoneInterval.
	round int
	// holder is set while this host holds the duties lease. It then sends to each host of another zone twice a
	// second.
	holder bool
}

type peer struct {
	Member
	lastSent time.Time
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
func New(self Self, fill func(p *Packet, counts bool), onPacket func(p *Packet, sender Member), opts ...Option) *Endpoint {
	e := &Endpoint{self: self, fill: fill, onPacket: onPacket, onError: func(string, error) {}, peers: map[netip.Addr]*peer{}}
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
			e.send(conn, time.Now())
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
	m.Member = Member{
		Host: p.GetHost(), Zone: p.GetZone(), Addr: from, LastSeen: now,
		Holder: p.GetHolder(), Leaving: p.GetLeaving(), TableVersion: p.GetTableVersion(),
		LinkMbps: int(p.GetLinkMbps()),
	}
	member := m.Member
	for _, raw := range p.GetPeers() {
		if a, ok := netip.AddrFromSlice(raw); ok && a != e.self.Addr && e.peers[a] == nil {
			// The sender knows this host. It becomes a member with its own first packet.
			e.peers[a] = &peer{Member: Member{Addr: a, LastSeen: now.Add(-peerRetention / 2)}}
		}
	}
	e.mu.Unlock()
	e.onPacket(p, member)
}

// send sends packets to the hosts that are due.
func (e *Endpoint) send(conn *net.UDPConn, now time.Time) {
	targets, peerAddrs := e.dueTargets(now)
	if len(targets) == 0 {
		return
	}
	var partial, full []byte
	for _, t := range targets {
		raw := &partial
		if t.full {
			raw = &full
		}
		if *raw == nil {
			*raw = e.buildPacket(t.full, peerAddrs)
		}
		e.write(conn, *raw, t.addr)
	}
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
	raw := e.encode(&Packet{Host: e.self.Host, Zone: e.self.Zone, Full: true, Last: true})
	for _, m := range e.Members(time.Now()) {
		e.write(conn, raw, m.Addr)
	}
}

func (e *Endpoint) buildPacket(full bool, peerAddrs [][]byte) []byte {
	p := &Packet{Host: e.self.Host, Zone: e.self.Zone, LinkMbps: int32(e.self.LinkMbps), Full: full}
	if full {
		p.Peers = peerAddrs
	}
	return e.encode(p)
}

// encode completes a packet and returns its encoding, or nil if that fails.
func (e *Endpoint) encode(p *Packet) []byte {
	e.fill(p, p.GetFull())
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

type target struct {
	addr netip.Addr
	full bool
}

// dueTargets returns the hosts that are sent a packet now, and the addresses of known hosts for full packets.
// Hosts of the same zone are due more often than others. The holder of the duties lease always gets full packets.
func (e *Endpoint) dueTargets(now time.Time) ([]target, [][]byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.self.Seeds {
		if a != e.self.Addr && e.peers[a] == nil {
			e.peers[a] = &peer{Member: Member{Addr: a, LastSeen: now.Add(-peerRetention / 2)}}
		}
	}
	var due []*peer
	var peerAddrs [][]byte
	interval := e.sameZoneInterval()
	for a, p := range e.peers {
		silence := now.Sub(p.LastSeen)
		if silence > peerRetention && !slices.Contains(e.self.Seeds, a) {
			delete(e.peers, a)
			continue
		}
		if silence < e.memberTimeout() {
			peerAddrs = append(peerAddrs, a.AsSlice())
		}
		if now.Sub(p.lastSent) >= e.interval(p, silence)-baseSameZoneInterval/2 {
			due = append(due, p)
		}
	}
	if len(due) > fanout {
		rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		overdue := func(p *peer) bool { return p.Zone == e.self.Zone && now.Sub(p.lastSent) > overdueIntervals*interval }
		slices.SortStableFunc(due, func(a, b *peer) int {
			return cmp.Or(boolToInt(b.Holder)-boolToInt(a.Holder), boolToInt(overdue(b))-boolToInt(overdue(a)))
		})
		due = due[:fanout]
	}
	if len(peerAddrs) > fanout {
		rand.Shuffle(len(peerAddrs), func(i, j int) { peerAddrs[i], peerAddrs[j] = peerAddrs[j], peerAddrs[i] })
		peerAddrs = peerAddrs[:fanout]
	}
	e.round++
	out := make([]target, 0, len(due))
	for _, p := range due {
		p.lastSent = now
		crossZone := p.Zone != e.self.Zone
		full := p.Holder || crossZone && len(e.peers) <= fanout || !crossZone && e.round%int(baseCrossZoneInterval/baseSameZoneInterval) == 0
		out = append(out, target{addr: p.Addr, full: full})
	}
	return out, peerAddrs
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
	case silence >= e.memberTimeout():
		return probeInterval
	case p.Zone == e.self.Zone:
		return baseSameZoneInterval
	case p.Holder, e.holder:
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
