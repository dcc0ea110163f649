// Package relay distributes releases, confirmations and the load of hosts among all
// hosts. The head object in the platform's store names the newest release. A
// confirmation is a time at which a release was known to be the newest. The hosts
// of a zone are linked with each other. One host of each zone, the relay, is linked
// with other zones and follows the platform for its zone. [Core] holds the logic,
// without I/O; [Node] runs it on a host.
package relay

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/fleet/statesync"
	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/ops/event"
)

const (
	// TickInterval is how often [Core.Tick] is called.
	TickInterval = 100 * time.Millisecond
	// heartbeatInterval is how often a host sends each linked host the release that it has in force.
	heartbeatInterval = time.Second
	// heartbeatSlack is how long a heartbeat may be delayed to be sent in one frame of the link, see package link, with
	// the next state message. This saves the headers of a frame and of a TLS record.
	heartbeatSlack = 300 * time.Millisecond
	// fallbackDelay is how long no other live host may hold the relay lease before the live host with the lowest
	// name becomes the fallback relay.
	fallbackDelay = 3 * time.Second
	// staleAfter is the age of the last confirmation at which a host reads the platform itself. staleJitter spreads
	// these reads, so that the result of the first one reaches the other hosts before they read.
	staleAfter  = 6 * time.Second
	staleJitter = 6 * time.Second
	// maxReadBackoff limits the backoff between reads while the platform cannot be reached; the delay with jitter
	// is up to 1.5 times as long.
	maxReadBackoff = 30 * time.Second
)

// LinkID identifies an open link of this host.
type LinkID uint64

// Effect is an action that a [Core] requests from its caller.
type Effect interface{ effect() }

type (
	// Dial opens a link.
	Dial struct{ Address netip.AddrPort }
	// CloseLink closes a link.
	CloseLink struct {
		Link  LinkID
		Cause string
	}
	// Send sends a message over a link.
	Send struct {
		Link    LinkID
		Message *wire.Envelope
	}
	// FollowPlatform starts or stops following the platform's head.
	FollowPlatform struct{ On bool }
	// ReadPlatform reads the platform's head once. The caller reports the result with [Core.PlatformReadDone].
	ReadPlatform struct{}
	// Adopt verifies a release and puts it in force. Content holds the compressed chunks that are missing in
	// [release.Cache], by digest. The caller reports success with [Core.SetLocalRelease] and failure with
	// [Core.AdoptFailed].
	Adopt struct {
		Entry   release.Entry
		Content map[string][]byte
	}
	// Confirm records that release Number was the newest one at the time At.
	Confirm struct {
		Number uint64
		At     time.Time
	}
	// RecordEvent records an event for operators.
	RecordEvent struct {
		Kind           event.Kind
		Subject, Cause string
	}
)

func (Dial) effect()           {}
func (CloseLink) effect()      {}
func (Send) effect()           {}
func (FollowPlatform) effect() {}
func (ReadPlatform) effect()   {}
func (Adopt) effect()          {}
func (Confirm) effect()        {}
func (RecordEvent) effect()    {}

// peer is the host at the other end of an open link and what was received from it.
type peer struct {
	id      LinkID
	host    membership.Host
	dialled bool
	// lastStamp is the stamp of the last heartbeat received, and lastStampAt is when it was received.
	lastStamp   uint64
	lastStampAt time.Time
	// lastReceived is when the last message was received, nextHeartbeat when the next heartbeat is due.
	lastReceived, nextHeartbeat time.Time
	release                     uint64
	// unneededSince is when the link became unneeded; zero while it is needed.
	unneededSince time.Time
	// decoders decode the state messages of the peer, by source.
	decoders map[string]*statesync.Decoder
	// zoneRelay is the name of the relay of the peer's zone, from the peer's heartbeats. Only hosts of other zones
	// send it.
	zoneRelay string
}

// Core decides which links a host keeps, what it sends and when it reads the platform. It is not safe for
// concurrent use. It does no I/O and reads no clock.
type Core struct {
	self      membership.Host
	seeds     []netip.AddrPort
	rand      *rand.Rand
	cache     *release.Cache
	table     *membership.Table
	peers     map[string]*peer
	peersByID map[LinkID]*peer
	// peersSorted caches the peers sorted by name; nil after a link opened or closed.
	peersSorted []*peer
	backoffs    map[netip.AddrPort]*dialBackoff
	effects     []Effect
	started     time.Time
	// nextLinkCheck is when [Core.maintainLinks] next checks the links.
	nextLinkCheck time.Time

	// release is the number of the release in force on this host, confirmed when it was last known to be the newest.
	release   uint64
	confirmed time.Time

	// leased reports whether this host holds the relay lease, acting whether it acts as the relay.
	leased, acting bool
	// relayLeaseSeenAt is when another live host was last known to hold the relay lease; at first the start.
	relayLeaseSeenAt time.Time
	leaving          bool

	// platformReadOnce reports whether a read of the platform has succeeded, platformReadTried whether one has ended.
	platformReadPending bool
	platformReadOnce    bool
	platformReadTried   bool
	nextPlatformRead    time.Time
	platformReadBackoff time.Duration

	pull        *pull
	chunkServer chunkServer

	longestGrace time.Duration
	lastStatus   statusWrite
	states       stateExchange
}

// NewCore returns the Core of the host self, started at now. Seeds are the addresses of hosts to dial while no link
// is open.
func NewCore(now time.Time, self membership.Host, seeds []netip.AddrPort, cache *release.Cache, rnd *rand.Rand) *Core {
	return &Core{
		self: self, seeds: seeds, rand: rnd, cache: cache, table: membership.NewTable(0),
		peers: map[string]*peer{}, peersByID: map[LinkID]*peer{}, backoffs: map[netip.AddrPort]*dialBackoff{},
		started: now, relayLeaseSeenAt: now, nextPlatformRead: now, chunkServer: newChunkServer(), states: newStateExchange(self.Name, self.Zone),
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) recordEvent(k event.Kind, subject, cause string) {
	c.emit(RecordEvent{k, subject, cause})
}

// takeEffects returns the collected effects and clears them.
func (c *Core) takeEffects() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) send(p *peer, e *wire.Envelope) { c.emit(Send{p.id, e}) }

func (c *Core) recordMemberChanges(cs []membership.Change) {
	for _, m := range cs {
		c.recordEvent(event.MemberChange, m.Host.Name, m.From.String()+" to "+m.To.String()+": "+m.Cause)
	}
}

// AddListedHosts adds the hosts of the platform's list, which may be out of date.
func (c *Core) AddListedHosts(now time.Time, hosts []membership.Host) []Effect {
	for _, h := range hosts {
		c.addListedHost(now, h)
	}
	return c.takeEffects()
}

func (c *Core) addListedHost(now time.Time, h membership.Host) {
	if h.Name != "" && h.Name != c.self.Name && h.Address.IsValid() {
		c.table.AddListed(now, h)
	}
}

// Tick does what is due at now. Leased reports whether this host holds the relay lease of its zone.
func (c *Core) Tick(now time.Time, leased bool) []Effect {
	c.recordMemberChanges(c.table.Tick(now))
	c.updateRole(now, leased)
	c.maintainLinks(now)
	c.exchangeStates(now)
	c.sendDueHeartbeats(now)
	c.continuePull(now)
	c.readPlatformIfStale(now)
	c.updateStatus(now)
	return c.takeEffects()
}

// SetLocalRelease records the release in force on this host and when it was last confirmed as the newest one.
func (c *Core) SetLocalRelease(now time.Time, number uint64, confirmed time.Time) []Effect {
	if confirmed.After(c.confirmed) {
		c.confirmed = confirmed
		c.postponeRead(now)
	}
	if number > c.release {
		c.release = number
		c.recordEvent(event.ReleaseAdopted, releaseSubject(number), "newest known release")
		c.finishPull(now)
		c.sendHeartbeats(now)
	}
	return c.takeEffects()
}

// PlatformReadDone records the result of a read of the platform.
func (c *Core) PlatformReadDone(now time.Time, err error) []Effect {
	c.platformReadPending, c.platformReadTried = false, true
	if err == nil {
		c.platformReadOnce = true
		c.postponeRead(now)
		return c.takeEffects()
	}
	c.platformReadBackoff = min(max(2*c.platformReadBackoff, time.Second), maxReadBackoff)
	c.nextPlatformRead = now.Add(c.platformReadBackoff/2 + randDuration(c.rand, c.platformReadBackoff))
	return c.takeEffects()
}

// postponeRead postpones the next read of the platform after a confirmation.
func (c *Core) postponeRead(now time.Time) {
	c.platformReadBackoff = 0
	c.nextPlatformRead = now.Add(staleAfter + randDuration(c.rand, staleJitter))
}

// readPlatformIfStale reads the platform if the last confirmation is too old. A relay follows the platform, so it does
// not once a read has succeeded.
func (c *Core) readPlatformIfStale(now time.Time) {
	if c.platformReadPending || c.acting && c.platformReadOnce || now.Before(c.nextPlatformRead) {
		return
	}
	c.platformReadPending = true
	c.emit(ReadPlatform{})
}

// Ready reports whether the host may serve requests: no linked host has a newer release, and either the platform
// has been read, or a read of it has failed and a linked host has reported its release.
func (c *Core) Ready() bool {
	if c.release == 0 {
		return false
	}
	peerHasRelease := false
	for _, p := range c.peers {
		if p.release > c.release {
			return false
		}
		peerHasRelease = peerHasRelease || p.release > 0
	}
	return c.platformReadOnce || c.platformReadTried && peerHasRelease
}

// Acting reports whether this host acts as the relay of its zone, and whether it holds the relay lease.
func (c *Core) Acting() (acting, leased bool) { return c.acting, c.leased }

// Members returns the other hosts and their known states.
func (c *Core) Members() []membership.Member { return c.table.All() }

// Leave announces a planned stop to all linked hosts.
func (c *Core) Leave(now time.Time) []Effect {
	c.leaving, c.acting, c.leased = true, false, false
	c.sendHeartbeats(now)
	return c.takeEffects()
}

// randDuration returns a random duration in [0, d).
func randDuration(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d)))
}
