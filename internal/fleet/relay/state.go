package relay

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"shallotramp/internal/fleet/exchange"
	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/traffic/dispatch"
)

const (
	// leastStateInterval and mostStateInterval bound how often a host tells its zone its state; between
	// them each link adds stateIntervalPerLink, so that the bytes of a host stay bounded as its zone grows.
	leastStateInterval   = 250 * time.Millisecond
	mostStateInterval    = time.Second
	stateIntervalPerLink = 45 * time.Millisecond
	// Sums for other zones go less often the more zones there are.
	leastSumInterval   = 500 * time.Millisecond
	mostSumInterval    = 2 * time.Second
	sumIntervalPerZone = 125 * time.Millisecond
	// stateLimit and sumLimit bound the bytes of changes in one message.
	stateLimit = 2 << 10
	sumLimit   = 192
	// sourceLifetime is how long a source that is not heard counts in a sum.
	sourceLifetime = 3 * time.Second
	// requestInterval spaces the requests for a full state.
	requestInterval = time.Second
	// passZones is up to how many other zones get the load reports of this one, and passLimit bounds those passed on
	// at once. With more zones they know its sum only.
	passZones = 4
	passLimit = 8
	// passAge is the age at which a report is no longer passed on.
	passAge = 5 * time.Second
	// zonePrefix marks the sum of a zone, and otherZones is the sum of all other zones as a zone's relay tells it.
	zonePrefix = "zone/"
	otherZones = "other-zones"
)

type (
	// AskState asks the decisions for this host's state; [Core.State] takes it.
	AskState struct{}
	// Tell passes another host's state, or a sum, to the decisions.
	Tell struct{ State dispatch.HostState }
	// Report passes a load report to the decisions.
	Report struct{ Load dispatch.Load }
)

func (AskState) effect() {}
func (Tell) effect()     {}
func (Report) effect()   {}

// states is what a host exchanges of queues and outstanding work.
type states struct {
	asking   bool
	nextAsk  time.Time
	nextSum  time.Time
	own      *exchange.Encoder
	zone     *exchange.Encoder
	rest     *exchange.Encoder
	zoneSum  *exchange.Sum
	restSum  *exchange.Sum
	requests map[string]time.Time
	// reports wait for the next state, to share its frame. told and heard hold what servers
	// have loaded, as it was last sent and received.
	reports     []*wire.Load
	told, heard map[string][]string
	// passed are reports that wait to be passed on to other zones, by server.
	passed map[string]passed
}

// passed is a report and when it came.
type passed struct {
	load *wire.Load
	at   time.Time
}

func newStates(name, zone string) states {
	return states{
		own:     exchange.NewEncoder(name, zone, stateLimit),
		zone:    exchange.NewEncoder(zonePrefix+zone, zone, sumLimit),
		rest:    exchange.NewEncoder(otherZones, "", sumLimit),
		zoneSum: exchange.NewSum(), restSum: exchange.NewSum(), requests: map[string]time.Time{},
		told: map[string][]string{}, heard: map[string][]string{}, passed: map[string]passed{},
	}
}

// count returns how many peers are of this host's zone, and how many of others.
func (c *Core) count() (near, far int) {
	for _, p := range c.peers {
		if p.host.Zone == c.self.Zone {
			near++
		} else {
			far++
		}
	}
	return near, far
}

func between(low, v, high time.Duration) time.Duration { return min(max(low, v), high) }

// exchange asks for this host's state and sends sums when they are due.
func (c *Core) exchange(now time.Time) {
	near, far := c.count()
	if near+far == 0 {
		return
	}
	if !c.states.asking && !now.Before(c.states.nextAsk) {
		c.states.asking = true
		c.states.nextAsk = now.Add(between(leastStateInterval, time.Duration(near)*stateIntervalPerLink, mostStateInterval))
		c.emit(AskState{})
	}
	if c.acting && !now.Before(c.states.nextSum) {
		c.states.nextSum = now.Add(between(leastSumInterval, time.Duration(far+1)*sumIntervalPerZone, mostSumInterval))
		c.sums(now)
	}
}

// State takes this host's state and sends what changed to its zone.
func (c *Core) State(now time.Time, h dispatch.HostState) []Effect {
	c.states.asking = false
	h.Host, h.Zone = c.self.Name, c.self.Zone
	c.states.zoneSum.Put(now, &h)
	c.spread(true, c.states.own.Encode(now, &h))
	c.flushLoads()
	c.beatSoon(now)
	return c.take()
}

// NoState notes that the decisions gave no state.
func (c *Core) NoState() []Effect {
	c.states.asking = false
	c.flushLoads()
	return c.take()
}

// beatSoon sends heartbeats that are due before the next state with this one.
func (c *Core) beatSoon(now time.Time) {
	// The next state is asked for at the first tick after nextAsk.
	until := c.states.nextAsk.Add(TickInterval)
	for _, p := range c.sortedPeers() {
		if p.host.Zone == c.self.Zone && p.next.Before(until) {
			c.beat(now, p)
		}
	}
}

// spread sends a state to all linked hosts of this zone, or to those of others.
func (c *Core) spread(near bool, m *wire.State) {
	e := &wire.Envelope{Body: &wire.Envelope_State{State: m}}
	for _, p := range c.sortedPeers() {
		if (p.host.Zone == c.self.Zone) == near {
			c.send(p, e)
		}
	}
}

// sums tells other zones of this one, and this one of the others.
func (c *Core) sums(now time.Time) {
	before := now.Add(-sourceLifetime)
	c.states.zoneSum.DropStale(before)
	c.states.restSum.DropStale(before)
	zone := c.states.zoneSum.State()
	c.spread(false, c.states.zone.Encode(now, &zone))
	c.passLoads(now)
	if c.states.restSum.Len() == 0 {
		return
	}
	rest := c.states.restSum.State()
	rest.Host, rest.At = otherZones, now
	c.spread(true, c.states.rest.Encode(now, &rest))
	c.emit(Tell{rest})
}

// introduceStates gives a new link what its receiver needs to follow the changes.
func (c *Core) introduceStates(now time.Time, p *peer) {
	// The new host learns with the next reports what servers have loaded.
	clear(c.states.told)
	encoders := []*exchange.Encoder{c.states.own, c.states.rest}
	if p.host.Zone != c.self.Zone {
		encoders = []*exchange.Encoder{c.states.zone}
	}
	for _, e := range encoders {
		c.sendFull(now, p, e)
	}
}

func (c *Core) sendFull(now time.Time, p *peer, e *exchange.Encoder) {
	if m := e.Full(now); m != nil {
		c.send(p, &wire.Envelope{Body: &wire.Envelope_State{State: m}})
	}
}

func (c *Core) stateRequest(now time.Time, p *peer, m *wire.StateRequest) {
	switch m.GetSource() {
	case c.self.Name:
		c.sendFull(now, p, c.states.own)
	case zonePrefix + c.self.Zone:
		c.sendFull(now, p, c.states.zone)
	case otherZones:
		c.sendFull(now, p, c.states.rest)
	}
}

// state takes a state that p may tell: its own, its zone's sum, or as this zone's relay that of the others.
func (c *Core) state(now time.Time, p *peer, m *wire.State) {
	near := p.host.Zone == c.self.Zone
	src := m.GetSource()
	if near && src != p.host.Name && src != otherZones || !near && src != zonePrefix+p.host.Zone {
		return
	}
	d, ok := p.decoders[src]
	if !ok {
		d = exchange.NewDecoder()
		p.decoders[src] = d
	}
	h, err := d.Decode(now, m)
	var gap *exchange.GapError
	if errors.As(err, &gap) {
		c.requestState(now, p, src)
		return
	}
	switch {
	case !near:
		c.states.restSum.Put(now, &h)
	case src == otherZones:
		if !c.acting {
			c.emit(Tell{h})
		}
	default:
		c.states.zoneSum.Put(now, &h)
		c.emit(Tell{h})
	}
}

func (c *Core) requestState(now time.Time, p *peer, src string) {
	k := p.host.Name + "/" + src
	if now.Sub(c.states.requests[k]) < requestInterval {
		return
	}
	c.states.requests[k] = now
	c.send(p, &wire.Envelope{Body: &wire.Envelope_StateRequest{StateRequest: &wire.StateRequest{Source: src}}})
}

// Loads takes load reports that this host polled, for its zone.
func (c *Core) Loads(now time.Time, reports []dispatch.Load) {
	for _, l := range reports {
		m := &wire.Load{
			Server: l.Server, Age: uint64(max(now.Sub(l.At), 0) / time.Millisecond), Running: uint64(max(l.Running, 0)),
			Waiting: uint64(max(l.Waiting, 0)), QueuedTokens: uint64(max(l.QueuedTokens, 0)),
			CacheSequence: l.CacheSequence, Leaving: l.Leaving,
		}
		before, ok := c.states.told[l.Server]
		if m.SameLoaded = ok && slices.Equal(before, l.Loaded); !m.SameLoaded {
			m.Loaded = l.Loaded
			c.states.told[l.Server] = l.Loaded
		}
		c.states.reports = append(c.states.reports, m)
		c.pass(now, m, l.Loaded)
	}
}

// pass keeps a report of this zone for others, if this host relays and they are few.
func (c *Core) pass(now time.Time, l *wire.Load, loaded []string) {
	if _, far := c.count(); !c.acting || far == 0 || far > passZones {
		return
	}
	if _, ok := c.states.passed[l.GetServer()]; !ok && len(c.states.passed) >= passLimit {
		return
	}
	whole := proto.CloneOf(l)
	whole.Loaded, whole.SameLoaded = loaded, false
	c.states.passed[l.GetServer()] = passed{whole, now}
}

// passLoads sends other zones the reports kept for them.
func (c *Core) passLoads(now time.Time) {
	m := &wire.Loads{}
	for _, p := range c.states.passed {
		p.load.Age += uint64(now.Sub(p.at) / time.Millisecond)
		if p.load.GetAge() < uint64(passAge/time.Millisecond) {
			m.Reports = append(m.Reports, p.load)
		}
	}
	clear(c.states.passed)
	if len(m.GetReports()) == 0 {
		return
	}
	for _, p := range c.sortedPeers() {
		if p.host.Zone != c.self.Zone {
			c.send(p, &wire.Envelope{Body: &wire.Envelope_Loads{Loads: m}})
		}
	}
}

func (c *Core) flushLoads() {
	if len(c.states.reports) == 0 {
		return
	}
	e := &wire.Envelope{Body: &wire.Envelope_Loads{Loads: &wire.Loads{Reports: c.states.reports}}}
	c.states.reports = nil
	for _, p := range c.sortedPeers() {
		if p.host.Zone == c.self.Zone {
			c.send(p, e)
		}
	}
}

func (c *Core) loads(now time.Time, p *peer, m *wire.Loads) {
	near := p.host.Zone == c.self.Zone
	if !near && !c.acting {
		return
	}
	for _, l := range m.GetReports() {
		if !l.GetSameLoaded() {
			c.states.heard[l.GetServer()] = l.GetLoaded()
		}
		loaded := c.states.heard[l.GetServer()]
		if near {
			c.pass(now, l, loaded)
		} else if l.GetAge() < uint64(passAge/time.Millisecond) {
			c.states.reports = append(c.states.reports, l)
		}
		age := time.Duration(min(l.GetAge(), uint64(time.Hour/time.Millisecond))) * time.Millisecond
		c.emit(Report{dispatch.Load{
			Server: l.GetServer(), At: now.Add(-age), Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()),
			QueuedTokens: int(l.GetQueuedTokens()), Loaded: loaded, CacheSequence: l.GetCacheSequence(), Leaving: l.GetLeaving(),
		}})
	}
}
