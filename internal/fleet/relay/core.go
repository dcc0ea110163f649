// Package relay spreads releases, confirmations and host state. Hosts of a zone
// keep links among themselves; zones are tied by one relay each, which alone
// follows the platform. [Core] decides, without I/O; [Node] carries it out.
package relay

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/fleet/exchange"
	"shallotramp/internal/fleet/member"
	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/ops/event"
)

const (
	// TickInterval is how often [Core.Tick] is called.
	TickInterval = 100 * time.Millisecond
	// beatInterval is how often a host tells each linked host what it has in force.
	beatInterval = time.Second
	// beatSlack is how long a heartbeat waits for a state that shares its frame.
	beatSlack = 300 * time.Millisecond
	// hintDelay is how long no relay may be heard before the lowest live host relays as a hint.
	hintDelay = 3 * time.Second
	// staleAfter is the age of a confirmation at which a host asks the platform itself, and
	// staleJitter spreads the hosts, so that the first answer reaches the others before they ask.
	staleAfter  = 6 * time.Second
	staleJitter = 6 * time.Second
	// readBackoff is the longest pause between reads of a host that cannot reach the platform.
	readBackoff = 30 * time.Second
)

// LinkID names an open link on this host.
type LinkID uint64

// Effect is one thing that a [Core] wants done.
type Effect interface{ effect() }

type (
	// Dial opens a link.
	Dial struct{ Address netip.AddrPort }
	// CloseLink closes a link.
	CloseLink struct {
		Link  LinkID
		Cause string
	}
	// Send puts a message on a link.
	Send struct {
		Link    LinkID
		Message *wire.Envelope
	}
	// FollowPlatform starts or stops watching the platform's head.
	FollowPlatform struct{ On bool }
	// ReadPlatform reads the platform's head once; [Core.Read] tells how it went.
	ReadPlatform struct{}
	// Adopt verifies a release and puts it in force. Content holds the compressed chunks that the shelf lacks,
	// by digest. [Core.Local] tells of success and [Core.Failed] of failure.
	Adopt struct {
		Entry   release.Entry
		Content map[string][]byte
	}
	// Confirm notes that the release was the newest at a time.
	Confirm struct {
		Number uint64
		At     time.Time
	}
	// RecordEvent tells operators of a change.
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

// peer is an open link and what came over it.
type peer struct {
	id      LinkID
	host    member.Host
	dialled bool
	// stamp is the newest stamp of the other host and got when it came.
	stamp uint64
	got   time.Time
	// heard is when anything came, next when the next heartbeat is due.
	heard, next time.Time
	release     uint64
	// unwanted is since when the link serves no purpose; zero while it does.
	unwanted time.Time
	// decoders rebuild the states that the host tells, by source.
	decoders map[string]*exchange.Decoder
	// relay is the relay of the other host's zone, as it says.
	relay string
}

// Core decides which links a host keeps, what it sends and when it asks the platform. It is used by
// one goroutine, does no I/O and reads no clock.
type Core struct {
	self  member.Host
	seeds []netip.AddrPort
	rand  *rand.Rand
	shelf *release.Shelf
	table *member.Table
	peers map[string]*peer
	byID  map[LinkID]*peer
	// order holds the peers by name; nil after one came or went.
	order   []*peer
	dials   map[netip.AddrPort]*backoff
	out     []Effect
	started time.Time
	// nextLinks is when links are looked at again.
	nextLinks time.Time

	release   uint64
	confirmed time.Time

	leased, acting bool
	// unled is since when no relay of the zone was heard.
	unled   time.Time
	leaving bool

	reading  bool
	readOnce bool
	readTry  bool
	nextRead time.Time
	readGap  time.Duration

	pull   *pull
	served served

	grace    time.Duration
	reported reported
	states   states
}

// NewCore returns the Core of the host self, started at now. Seeds are addresses of hosts to dial while no other is known.
func NewCore(now time.Time, self member.Host, seeds []netip.AddrPort, shelf *release.Shelf, rnd *rand.Rand) *Core {
	return &Core{
		self: self, seeds: seeds, rand: rnd, shelf: shelf, table: member.NewTable(0),
		peers: map[string]*peer{}, byID: map[LinkID]*peer{}, dials: map[netip.AddrPort]*backoff{},
		started: now, unled: now, nextRead: now, served: newServed(), states: newStates(self.Name, self.Zone),
	}
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) note(k event.Kind, subject, cause string) { c.emit(RecordEvent{k, subject, cause}) }

// take returns the effects gathered and forgets them.
func (c *Core) take() []Effect {
	out := c.out
	c.out = nil
	return out
}

func (c *Core) send(p *peer, e *wire.Envelope) { c.emit(Send{p.id, e}) }

func (c *Core) changes(cs []member.Change) {
	for _, m := range cs {
		c.note(event.MemberChange, m.Host.Name, m.From.String()+" to "+m.To.String()+": "+m.Cause)
	}
}

// AddSeeds takes the platform's list of hosts, which lags.
func (c *Core) AddSeeds(now time.Time, hosts []member.Host) []Effect {
	for _, h := range hosts {
		c.seed(now, h)
	}
	return c.take()
}

func (c *Core) seed(now time.Time, h member.Host) {
	if h.Name != "" && h.Name != c.self.Name && h.Address.IsValid() {
		c.table.Seed(now, h)
	}
}

// Tick lets time pass. Leased tells whether this host holds the relay lease of its zone.
func (c *Core) Tick(now time.Time, leased bool) []Effect {
	c.changes(c.table.Tick(now))
	c.role(now, leased)
	c.links(now)
	c.exchange(now)
	c.beats(now)
	c.pulls(now)
	c.platform(now)
	c.status(now)
	return c.take()
}

// SetLocalRelease notes what this host has in force and when it was last confirmed as the newest release.
func (c *Core) SetLocalRelease(now time.Time, number uint64, confirmed time.Time) []Effect {
	if confirmed.After(c.confirmed) {
		c.confirmed = confirmed
		c.calm(now)
	}
	if number > c.release {
		c.release = number
		c.note(event.ReleaseAdopted, releaseName(number), "newest known")
		c.pulled(now)
		c.beatAll(now)
	}
	return c.take()
}

// PlatformReadDone notes the end of a read of the platform.
func (c *Core) PlatformReadDone(now time.Time, err error) []Effect {
	c.reading, c.readTry = false, true
	if err == nil {
		c.readOnce = true
		c.calm(now)
		return c.take()
	}
	c.readGap = min(max(2*c.readGap, time.Second), readBackoff)
	c.nextRead = now.Add(c.readGap/2 + randDuration(c.rand, c.readGap))
	return c.take()
}

// calm puts the next own read off, for a confirmation came.
func (c *Core) calm(now time.Time) {
	c.readGap = 0
	c.nextRead = now.Add(staleAfter + randDuration(c.rand, staleJitter))
}

// platform reads the platform when no confirmation came for too long.
func (c *Core) platform(now time.Time) {
	if c.reading || c.acting && c.readOnce || now.Before(c.nextRead) {
		return
	}
	c.reading = true
	c.emit(ReadPlatform{})
}

// Ready reports whether the host may serve: it has the newest release of the platform and of all linked
// hosts, or the platform cannot be read and a linked host told what it has.
func (c *Core) Ready() bool {
	if c.release == 0 {
		return false
	}
	heard := false
	for _, p := range c.peers {
		if p.release > c.release {
			return false
		}
		heard = heard || p.release > 0
	}
	return c.readOnce || c.readTry && heard
}

// Acting reports whether this host relays for its zone, and whether it does so by the lease.
func (c *Core) Acting() (acting, leased bool) { return c.acting, c.leased }

// Members returns what is known of the other hosts.
func (c *Core) Members() []member.Member { return c.table.All() }

// Leave announces a planned stop to all linked hosts.
func (c *Core) Leave(now time.Time) []Effect {
	c.leaving, c.acting, c.leased = true, false, false
	c.beatAll(now)
	return c.take()
}

// randDuration returns a duration from 0 up to d.
func randDuration(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d)))
}
