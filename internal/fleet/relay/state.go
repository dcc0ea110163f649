package relay

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"shallotramp/internal/fleet/statesync"
	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/traffic/dispatch"
)

const (
	// minStateInterval and maxStateInterval limit the interval at which a host sends its state to its zone. Between
	// them the interval is stateIntervalPerLink for each link, so that a host's traffic stays bounded as its zone grows.
	minStateInterval     = 250 * time.Millisecond
	maxStateInterval     = time.Second
	stateIntervalPerLink = 45 * time.Millisecond
	// minSumInterval and maxSumInterval limit the interval at which a relay sends sums of states. Between them the
	// interval grows by sumIntervalPerZone for each peer of another zone.
	minSumInterval     = 500 * time.Millisecond
	maxSumInterval     = 2 * time.Second
	sumIntervalPerZone = 125 * time.Millisecond
	// maxStateBytes and maxSumBytes limit the size of the changes in one message of a state or a sum.
	maxStateBytes = 2 << 10
	maxSumBytes   = 192
	// sourceTimeout is how long the last state of a source that sends no more counts in a sum.
	sourceTimeout = 3 * time.Second
	// stateRequestInterval is the shortest time between requests to one host for the full state of one source.
	stateRequestInterval = time.Second
	// maxForwardZones is the highest number of peers of other zones with which load reports are forwarded to other
	// zones; with more of them, only sums are sent. maxForwardLoads limits the reports that are forwarded at once.
	maxForwardZones = 4
	maxForwardLoads = 8
	// maxForwardAge is the age at which a report is no longer forwarded.
	maxForwardAge = 5 * time.Second
	// zoneSourcePrefix, followed by the name of a zone, is the source of the sum of that zone. otherZonesSource is the
	// source of the sum of all other zones, which a relay sends to its own zone.
	zoneSourcePrefix = "zone/"
	otherZonesSource = "other-zones"
)

type (
	// ReadLocalState reads this host's state from the dispatcher. The caller reports the result with
	// [Core.SetLocalState] or [Core.LocalStateUnavailable].
	ReadLocalState struct{}
	// DeliverState passes another host's state, or a sum of states, to the dispatcher.
	DeliverState struct{ State dispatch.HostState }
	// DeliverLoad passes a load report to the dispatcher.
	DeliverLoad struct{ Load dispatch.Load }
)

func (ReadLocalState) effect() {}
func (DeliverState) effect()   {}
func (DeliverLoad) effect()    {}

// stateExchange holds what a host sends and receives of host states and load reports.
type stateExchange struct {
	// awaitingState is set from [ReadLocalState] until its result. nextState and nextSum are when this host's state is
	// read next and when the sums are sent next.
	awaitingState     bool
	nextState         time.Time
	nextSum           time.Time
	ownEncoder        *statesync.Encoder
	zoneEncoder       *statesync.Encoder
	otherZonesEncoder *statesync.Encoder
	zoneSum           *statesync.Sum
	otherZonesSum     *statesync.Sum
	// lastRequests holds the times of the last requests for a full state, by "HOST/SOURCE".
	lastRequests map[string]time.Time
	// pendingLoads are sent with the next state, to share its frame. sentModels and receivedModels hold the models
	// loaded on each server, as last sent and received; an unchanged list is not sent again.
	pendingLoads               []*wire.Load
	sentModels, receivedModels map[string][]string
	// forwardQueue holds the reports to be forwarded to other zones, by server.
	forwardQueue map[string]queuedLoad
}

// queuedLoad is a load report and when it was queued.
type queuedLoad struct {
	load     *wire.Load
	queuedAt time.Time
}

func newStateExchange(name, zone string) stateExchange {
	return stateExchange{
		ownEncoder:        statesync.NewEncoder(name, zone, maxStateBytes),
		zoneEncoder:       statesync.NewEncoder(zoneSourcePrefix+zone, zone, maxSumBytes),
		otherZonesEncoder: statesync.NewEncoder(otherZonesSource, "", maxSumBytes),
		zoneSum:           statesync.NewSum(), otherZonesSum: statesync.NewSum(), lastRequests: map[string]time.Time{},
		sentModels: map[string][]string{}, receivedModels: map[string][]string{}, forwardQueue: map[string]queuedLoad{},
	}
}

// countPeers counts the peers of this host's zone and those of other zones.
func (c *Core) countPeers() (sameZonePeers, otherZonePeers int) {
	for _, p := range c.peers {
		if p.host.Zone == c.self.Zone {
			sameZonePeers++
		} else {
			otherZonePeers++
		}
	}
	return sameZonePeers, otherZonePeers
}

func clamp(low, v, high time.Duration) time.Duration { return min(max(low, v), high) }

// exchangeStates reads this host's state when it is due and, on the relay, sends the sums when they are.
func (c *Core) exchangeStates(now time.Time) {
	sameZonePeers, otherZonePeers := c.countPeers()
	if sameZonePeers+otherZonePeers == 0 {
		return
	}
	if !c.states.awaitingState && !now.Before(c.states.nextState) {
		c.states.awaitingState = true
		c.states.nextState = now.Add(clamp(minStateInterval, time.Duration(sameZonePeers)*stateIntervalPerLink, maxStateInterval))
		c.emit(ReadLocalState{})
	}
	if c.acting && !now.Before(c.states.nextSum) {
		c.states.nextSum = now.Add(clamp(minSumInterval, time.Duration(otherZonePeers+1)*sumIntervalPerZone, maxSumInterval))
		c.sendSums(now)
	}
}

// SetLocalState sets this host's state and sends the changes to its zone.
func (c *Core) SetLocalState(now time.Time, h dispatch.HostState) []Effect {
	c.states.awaitingState = false
	h.Host, h.Zone = c.self.Name, c.self.Zone
	c.states.zoneSum.Put(now, &h)
	c.broadcastState(true, c.states.ownEncoder.Encode(now, &h))
	c.sendPendingLoads()
	c.sendHeartbeatsWithState(now)
	return c.takeEffects()
}

// LocalStateUnavailable records that the dispatcher returned no state.
func (c *Core) LocalStateUnavailable() []Effect {
	c.states.awaitingState = false
	c.sendPendingLoads()
	return c.takeEffects()
}

// sendHeartbeatsWithState sends the heartbeats that are due before the next state together with the current one, so
// that they share its frame.
func (c *Core) sendHeartbeatsWithState(now time.Time) {
	// The next state is read at the first tick after nextState.
	until := c.states.nextState.Add(TickInterval)
	for _, p := range c.sortedPeers() {
		if p.host.Zone == c.self.Zone && p.nextHeartbeat.Before(until) {
			c.sendHeartbeat(now, p)
		}
	}
}

// broadcastState sends a state to all linked hosts of this zone, or else to all linked hosts of other zones.
func (c *Core) broadcastState(sameZone bool, m *wire.State) {
	e := &wire.Envelope{Body: &wire.Envelope_State{State: m}}
	for _, p := range c.sortedPeers() {
		if (p.host.Zone == c.self.Zone) == sameZone {
			c.send(p, e)
		}
	}
}

// sendSums sends the sum of this zone to other zones, and the sum of the other zones to this one.
func (c *Core) sendSums(now time.Time) {
	before := now.Add(-sourceTimeout)
	c.states.zoneSum.DropStale(before)
	c.states.otherZonesSum.DropStale(before)
	zone := c.states.zoneSum.State()
	c.broadcastState(false, c.states.zoneEncoder.Encode(now, &zone))
	c.forwardLoads(now)
	if c.states.otherZonesSum.Len() == 0 {
		return
	}
	sum := c.states.otherZonesSum.State()
	sum.Host, sum.At = otherZonesSource, now
	c.broadcastState(true, c.states.otherZonesEncoder.Encode(now, &sum))
	c.emit(DeliverState{sum})
}

// sendFullStates sends a new peer the full states, which it needs to decode later changes.
func (c *Core) sendFullStates(now time.Time, p *peer) {
	// The next report of each server includes the list of models again, which the new peer does not have.
	clear(c.states.sentModels)
	encoders := []*statesync.Encoder{c.states.ownEncoder, c.states.otherZonesEncoder}
	if p.host.Zone != c.self.Zone {
		encoders = []*statesync.Encoder{c.states.zoneEncoder}
	}
	for _, e := range encoders {
		c.sendFullState(now, p, e)
	}
}

func (c *Core) sendFullState(now time.Time, p *peer, e *statesync.Encoder) {
	if m := e.Full(now); m != nil {
		c.send(p, &wire.Envelope{Body: &wire.Envelope_State{State: m}})
	}
}

func (c *Core) receiveStateRequest(now time.Time, p *peer, m *wire.StateRequest) {
	switch m.GetSource() {
	case c.self.Name:
		c.sendFullState(now, p, c.states.ownEncoder)
	case zoneSourcePrefix + c.self.Zone:
		c.sendFullState(now, p, c.states.zoneEncoder)
	case otherZonesSource:
		c.sendFullState(now, p, c.states.otherZonesEncoder)
	}
}

// receiveState handles a state message. A peer of this zone may send its own state and the sum of other zones; a peer
// of another zone may send the sum of its zone. Other messages are ignored.
func (c *Core) receiveState(now time.Time, p *peer, m *wire.State) {
	sameZone := p.host.Zone == c.self.Zone
	src := m.GetSource()
	if sameZone && src != p.host.Name && src != otherZonesSource || !sameZone && src != zoneSourcePrefix+p.host.Zone {
		return
	}
	d, ok := p.decoders[src]
	if !ok {
		d = statesync.NewDecoder()
		p.decoders[src] = d
	}
	h, err := d.Decode(now, m)
	var gap *statesync.GapError
	if errors.As(err, &gap) {
		c.requestState(now, p, src)
		return
	}
	switch {
	case !sameZone:
		c.states.otherZonesSum.Put(now, &h)
	case src == otherZonesSource:
		if !c.acting {
			c.emit(DeliverState{h})
		}
	default:
		c.states.zoneSum.Put(now, &h)
		c.emit(DeliverState{h})
	}
}

func (c *Core) requestState(now time.Time, p *peer, src string) {
	k := p.host.Name + "/" + src
	if now.Sub(c.states.lastRequests[k]) < stateRequestInterval {
		return
	}
	c.states.lastRequests[k] = now
	c.send(p, &wire.Envelope{Body: &wire.Envelope_StateRequest{StateRequest: &wire.StateRequest{Source: src}}})
}

// ShareLoads queues load reports that this host polled, to be sent to its zone.
func (c *Core) ShareLoads(now time.Time, reports []dispatch.Load) {
	for _, l := range reports {
		m := &wire.Load{
			Server: l.Server, Age: uint64(max(now.Sub(l.At), 0) / time.Millisecond), Running: uint64(max(l.Running, 0)),
			Waiting: uint64(max(l.Waiting, 0)), QueuedTokens: uint64(max(l.QueuedTokens, 0)),
			CacheSequence: l.CacheSequence, Leaving: l.Leaving,
		}
		sent, ok := c.states.sentModels[l.Server]
		if m.SameLoaded = ok && slices.Equal(sent, l.Loaded); !m.SameLoaded {
			m.Loaded = l.Loaded
			c.states.sentModels[l.Server] = l.Loaded
		}
		c.states.pendingLoads = append(c.states.pendingLoads, m)
		c.queueForward(now, m, l.Loaded)
	}
}

// queueForward queues a load report of this zone for other zones, if this host is the relay and has peers in few other
// zones.
func (c *Core) queueForward(now time.Time, l *wire.Load, loaded []string) {
	if _, otherZonePeers := c.countPeers(); !c.acting || otherZonePeers == 0 || otherZonePeers > maxForwardZones {
		return
	}
	if _, ok := c.states.forwardQueue[l.GetServer()]; !ok && len(c.states.forwardQueue) >= maxForwardLoads {
		return
	}
	queued := proto.CloneOf(l)
	queued.Loaded, queued.SameLoaded = loaded, false
	c.states.forwardQueue[l.GetServer()] = queuedLoad{queued, now}
}

// forwardLoads sends the queued load reports to other zones.
func (c *Core) forwardLoads(now time.Time) {
	m := &wire.Loads{}
	for _, q := range c.states.forwardQueue {
		q.load.Age += uint64(now.Sub(q.queuedAt) / time.Millisecond)
		if q.load.GetAge() < uint64(maxForwardAge/time.Millisecond) {
			m.Reports = append(m.Reports, q.load)
		}
	}
	clear(c.states.forwardQueue)
	if len(m.GetReports()) == 0 {
		return
	}
	for _, p := range c.sortedPeers() {
		if p.host.Zone != c.self.Zone {
			c.send(p, &wire.Envelope{Body: &wire.Envelope_Loads{Loads: m}})
		}
	}
}

func (c *Core) sendPendingLoads() {
	if len(c.states.pendingLoads) == 0 {
		return
	}
	e := &wire.Envelope{Body: &wire.Envelope_Loads{Loads: &wire.Loads{Reports: c.states.pendingLoads}}}
	c.states.pendingLoads = nil
	for _, p := range c.sortedPeers() {
		if p.host.Zone == c.self.Zone {
			c.send(p, e)
		}
	}
}

// receiveLoads delivers load reports. The relay also forwards reports of its zone to other zones, and reports of other
// zones to its zone.
func (c *Core) receiveLoads(now time.Time, p *peer, m *wire.Loads) {
	sameZone := p.host.Zone == c.self.Zone
	if !sameZone && !c.acting {
		return
	}
	for _, l := range m.GetReports() {
		if !l.GetSameLoaded() {
			c.states.receivedModels[l.GetServer()] = l.GetLoaded()
		}
		loaded := c.states.receivedModels[l.GetServer()]
		if sameZone {
			c.queueForward(now, l, loaded)
		} else if l.GetAge() < uint64(maxForwardAge/time.Millisecond) {
			c.states.pendingLoads = append(c.states.pendingLoads, l)
		}
		age := time.Duration(min(l.GetAge(), uint64(time.Hour/time.Millisecond))) * time.Millisecond
		c.emit(DeliverLoad{dispatch.Load{
			Server: l.GetServer(), At: now.Add(-age), Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()),
			QueuedTokens: int(l.GetQueuedTokens()), Loaded: loaded, CacheSequence: l.GetCacheSequence(), Leaving: l.GetLeaving(),
		}})
	}
}
