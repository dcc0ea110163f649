// Package gossip tells the hosts of a deployment of each other by datagrams:
// who lives, which configuration is in force, the outstanding work on each
// backend server and the usage counts. A lost datagram is made up for by the
// next one.
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
	// nearInterval is the time between two packets to a host of the same availability zone, farInterval to
	// one of another: bytes between zones are paid for.
	nearInterval = 200 * time.Millisecond
	farInterval  = time.Second
	// fewHosts is the number of hosts to which each packet goes; of more, chance draws, so that not all hear of a
	// server's work at the same moment. nearShare of the packets, one in so many, go to other availability zones
	// on average.
	fewHosts  = 12
	nearShare = 6
	// lateWords is after how many times the usual interval a host of the zone is told before others.
	lateWords = 2
	// lifetime is how long a silent host counts as a member at least, and lostPackets how many packets of
	// another availability zone may be missed.
	lifetime    = 4 * time.Second
	lostPackets = 3
	// keepTrying is how long packets are sent to a silent host: it may be cut off and return.
	keepTrying = 20 * time.Second
	// maxPacket bounds a datagram.
	maxPacket = 60 << 10
	// seedInterval is the time between two packets to seeds that are not members.
	seedInterval = time.Second
)

// Member is another host.
type Member struct {
	Host      string
	Zone      string
	Addr      netip.Addr
	LastHeard time.Time
	Holder    bool
	Leaving   bool
	// TableVersion is the version of the configuration that the host has in force.
	TableVersion int64
	// LinkMbps is the bandwidth of the host's own link.
	LinkMbps int
}

// Self describes this host.
type Self struct {
	Host, Zone string
	Addr       netip.Addr
	Port       uint16
	Seeds      []netip.Addr
	// LinkMbps is the bandwidth of the host's own link.
	LinkMbps int
}

// Exchange sends and receives packets. Its methods are safe for concurrent use.
type Exchange struct {
	self Self
	// fill completes a packet before it is sent; counts asks for usage counts, too.
	fill func(p *Packet, counts bool)
	// hear takes a packet of another host.
	hear func(p *Packet, m Member)
	// failed is told of packets that could not be read, made or sent.
	failed func(what string, err error)

	mu      sync.Mutex
	members map[netip.Addr]*peer
	turn    int
	// holder tells that this host holds the duties: all others hear it twice a second.
	holder bool
}

type peer struct {
	Member
	sent time.Time
}

// Option changes an [Exchange].
type Option func(*Exchange)

// WithErrorHandler tells f of packets that could not be read, made or sent. They are not tried again: the next ones
// tell the same.
func WithErrorHandler(f func(what string, err error)) Option {
	return func(x *Exchange) { x.failed = f }
}

// New returns an Exchange. Before each packet is sent fill completes it, and hear is told of each that came.
func New(self Self, fill func(p *Packet, counts bool), hear func(p *Packet, m Member), opts ...Option) *Exchange {
	x := &Exchange{self: self, fill: fill, hear: hear, failed: func(string, error) {}, members: map[netip.Addr]*peer{}}
	for _, o := range opts {
		o(x)
	}
	return x
}

// SetSeeds replaces the hosts that are asked while no other is known.
func (x *Exchange) SetSeeds(seeds []netip.Addr) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.self.Seeds = seeds
}

// SetHolder tells whether this host holds the duties.
func (x *Exchange) SetHolder(holder bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.holder = holder
}

// Members returns the other hosts that were heard of late.
func (x *Exchange) Members(now time.Time) []Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []Member
	for _, p := range x.members {
		if now.Sub(p.LastHeard) < x.lifetime() {
			out = append(out, p.Member)
		}
	}
	return out
}

// Run exchanges packets until ctx ends and then reports on done.
func (x *Exchange) Run(ctx context.Context, done chan<- error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(x.self.Addr, x.self.Port)))
	if err != nil {
		done <- err
		return
	}
	received := make(chan error, 1)
	go x.receive(conn, received)
	t := time.NewTicker(nearInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			x.send(conn, time.Now())
		case err := <-received:
			done <- err
			return
		case <-ctx.Done():
			x.farewell(conn)
			_ = conn.Close() // Ends receive, which reports the end.
			<-received
			done <- nil
			return
		}
	}
}

func (x *Exchange) receive(conn *net.UDPConn, done chan<- error) {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			done <- err
			return
		}
		var p Packet
		if err := proto.Unmarshal(buf[:n], &p); err != nil {
			x.failed("read from "+from.String(), err)
			continue
		}
		if p.GetHost() == "" {
			x.failed("read from "+from.String(), errNoHost)
			continue
		}
		x.received(&p, from.Addr().Unmap(), time.Now())
	}
}

func (x *Exchange) received(p *Packet, from netip.Addr, now time.Time) {
	if p.GetHost() == x.self.Host {
		return
	}
	x.mu.Lock()
	m := x.members[from]
	if m == nil {
		m = &peer{}
		x.members[from] = m
	}
	m.Member = Member{
		Host: p.GetHost(), Zone: p.GetZone(), Addr: from, LastHeard: now,
		Holder: p.GetHolder(), Leaving: p.GetLeaving(), TableVersion: p.GetTableVersion(),
		LinkMbps: int(p.GetLinkMbps()),
	}
	member := m.Member
	for _, raw := range p.GetPeers() {
		if a, ok := netip.AddrFromSlice(raw); ok && a != x.self.Addr && x.members[a] == nil {
			// LastHeard of, not heard: it becomes a member with its first packet.
			x.members[a] = &peer{Member: Member{Addr: a, LastHeard: now.Add(-keepTrying / 2)}}
		}
	}
	x.mu.Unlock()
	x.hear(p, member)
}

// send tells those whose turn it is.
func (x *Exchange) send(conn *net.UDPConn, now time.Time) {
	targets, peers := x.targets(now)
	if len(targets) == 0 {
		return
	}
	var plain, full []byte
	for _, t := range targets {
		raw := &plain
		if t.full {
			raw = &full
		}
		if *raw == nil {
			*raw = x.packet(t.full, peers)
		}
		x.write(conn, *raw, t.addr)
	}
}

// write sends a packet, which is nil if it could not be made.
func (x *Exchange) write(conn *net.UDPConn, raw []byte, to netip.Addr) {
	if raw == nil {
		return
	}
	if _, err := conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(to, x.self.Port)); err != nil {
		x.failed("send to "+to.String(), err)
	}
}

var (
	errNoHost   = errors.New("the packet names no host")
	errTooLarge = errors.New("the packet is too large for a datagram")
)

// farewell tells all members that this process ends, with its last counts.
func (x *Exchange) farewell(conn *net.UDPConn) {
	raw := x.encode(&Packet{Host: x.self.Host, Zone: x.self.Zone, Full: true, Last: true})
	for _, m := range x.Members(time.Now()) {
		x.write(conn, raw, m.Addr)
	}
}

func (x *Exchange) packet(full bool, peers [][]byte) []byte {
	p := &Packet{Host: x.self.Host, Zone: x.self.Zone, LinkMbps: int32(x.self.LinkMbps), Full: full}
	if full {
		p.Peers = peers
	}
	return x.encode(p)
}

// encode completes a packet and returns its bytes, or nil.
func (x *Exchange) encode(p *Packet) []byte {
	x.fill(p, p.GetFull())
	raw, err := proto.Marshal(p)
	if err == nil && len(raw) > maxPacket {
		err = errTooLarge
	}
	if err != nil {
		x.failed("encode", err)
		return nil
	}
	return raw
}

type target struct {
	addr netip.Addr
	full bool
}

// targets chooses who is told now: hosts of the zone often, others now and then, and the duties' holder
// always in full.
func (x *Exchange) targets(now time.Time) ([]target, [][]byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range x.self.Seeds {
		if a != x.self.Addr && x.members[a] == nil {
			x.members[a] = &peer{Member: Member{Addr: a, LastHeard: now.Add(-keepTrying / 2)}}
		}
	}
	var due []*peer
	var known [][]byte
	near := x.nearInterval()
	for a, p := range x.members {
		silent := now.Sub(p.LastHeard)
		if silent > keepTrying && !slices.Contains(x.self.Seeds, a) {
			delete(x.members, a)
			continue
		}
		if silent < x.lifetime() {
			known = append(known, a.AsSlice())
		}
		if now.Sub(p.sent) >= x.interval(p, silent)-nearInterval/2 {
			due = append(due, p)
		}
	}
	if len(due) > fewHosts {
		rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		late := func(p *peer) bool { return p.Zone == x.self.Zone && now.Sub(p.sent) > lateWords*near }
		slices.SortStableFunc(due, func(a, b *peer) int {
			return cmp.Or(order(b.Holder)-order(a.Holder), order(late(b))-order(late(a)))
		})
		due = due[:fewHosts]
	}
	if len(known) > fewHosts {
		rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
		known = known[:fewHosts]
	}
	x.turn++
	out := make([]target, 0, len(due))
	for _, p := range due {
		p.sent = now
		far := p.Zone != x.self.Zone
		full := p.Holder || far && len(x.members) <= fewHosts || !far && x.turn%int(farInterval/nearInterval) == 0
		out = append(out, target{addr: p.Addr, full: full})
	}
	return out, known
}

func order(first bool) int {
	if first {
		return 1
	}
	return 0
}

func (x *Exchange) interval(p *peer, silent time.Duration) time.Duration {
	switch {
	case silent >= x.lifetime():
		return seedInterval
	case p.Zone == x.self.Zone:
		return nearInterval
	case p.Holder, x.holder:
		return farInterval / 2
	}
	return x.farInterval()
}

// farInterval is the time between two packets to a host of another availability zone. In a large fleet each
// is told less often: the bytes grow with the hosts only.
func (x *Exchange) farInterval() time.Duration {
	return farInterval * time.Duration(max(1, len(x.members)/fewHosts))
}

// nearInterval is the usual time between two packets to a host of the own availability zone: in a large one
// each is told less often.
func (x *Exchange) nearInterval() time.Duration {
	near := 0
	for _, p := range x.members {
		if p.Zone == x.self.Zone {
			near++
		}
	}
	most := fewHosts - fewHosts/nearShare
	return nearInterval * time.Duration(max(1, (near+most-1)/most))
}

// SameZoneInterval returns the usual time between two words of a host of the own availability zone.
func (x *Exchange) SameZoneInterval() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.nearInterval()
}

// SendsCountsToAll reports whether all hosts hear the counts of all others, and not only the holder of the duties.
func (x *Exchange) SendsCountsToAll() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.members) <= fewHosts
}

// lifetime is how long a silent host counts as a member.
func (x *Exchange) lifetime() time.Duration { return max(lifetime, lostPackets*x.farInterval()) }
