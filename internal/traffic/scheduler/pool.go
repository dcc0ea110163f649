package scheduler

import (
	"math"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/queue"
)

const (
	// defaultServiceTime is the time taken for one request before any was observed.
	defaultServiceTime = 2 * time.Second
	// defaultOutputTokens is the output taken for one request before any was observed, in tokens.
	defaultOutputTokens = 128
	// minOrgAnswers is how many answers of an organisation its own estimate needs.
	minOrgAnswers = 20
	// targetWaitShare is the part of a latency target, beside the time of the first token itself, that waiting may take.
	targetWaitShare = 0.8
	// deadlineWaitShare is the part of a deadline that work without a latency target may wait.
	deadlineWaitShare = 0.25
)

// pool is what the scheduler knows of one pool.
type pool struct {
	name           string
	engineProtocol bool
	concurrency    int
	q              *queue.Queue
	stats          map[string]*classStats
	// peerStates holds what other hosts told, by host and class.
	peerStates map[string]dispatch.PoolState
	delayed    queue.Heap[*entry]
	victims    queue.Heap[*entry]
	level      shedLevel
	// reserveShare is the share of places that only the first tier may use.
	reserveShare float64
	// pendingPreemptions counts attempts that are being preempted.
	pendingPreemptions int
	// preemptionBudget is the work that preemption may still waste.
	preemptionBudget float64
}

// classStats are observations of one class in a pool.
type classStats struct {
	// service is the time of a request on its server, and prefill that until its first token, in seconds.
	service, ttft average
	lengths       queue.Lengths
	lengthsByOrg  map[string]*queue.Lengths
	// peerSheddable counts the waiting requests of other hosts that have not run.
	peerSheddable int
	// shedThreshold is the use from which waiting requests are shed.
	shedThreshold float64
}

func newPool(name string, windowSpread float64) *pool {
	return &pool{
		name: name, q: queue.New(windowSpread), reserveShare: initialReserveShare, stats: map[string]*classStats{}, peerStates: map[string]dispatch.PoolState{},
		delayed: queue.NewHeap(func(a, b *entry) bool { return a.notBefore.Before(b.notBefore) }, func(e *entry, i int) { e.delayedIndex = i }),
		victims: queue.NewHeap(victimLess, func(e *entry, i int) { e.victimIndex = i }),
	}
}

func victimLess(a, b *entry) bool {
	if a.req.Tier != b.req.Tier {
		return a.req.Tier > b.req.Tier
	}
	return a.preemptionCost() < b.preemptionCost()
}

// configure adopts the pool's part of a release.
func (p *pool) configure(now time.Time, s *release.Snapshot, spec *object.PoolSpec, weights map[string]float64) {
	p.concurrency = spec.Concurrency
	p.engineProtocol = spec.Protocol == object.Engine
	names := map[string]bool{}
	for _, r := range s.Set.Routes {
		if r.Pool != p.name {
			continue
		}
		for _, c := range r.Classes {
			names[c] = true
		}
	}
	var levels []queue.Level
	for name := range names {
		c, ok := s.Set.Classes[name]
		if !ok {
			continue
		}
		target := time.Duration(float64(c.Deadline.Or(object.DefaultDeadline)) * deadlineWaitShare)
		if c.FirstToken > 0 {
			target = time.Duration(c.FirstToken)
		}
		levels = append(levels, queue.Level{Name: name, Tier: c.Tier, Floor: c.Floor, Target: target})
	}
	p.q.Configure(now, levels, weights)
	p.q.Forget(func(org string) bool { _, ok := s.Set.Organisations[org]; return ok || org == "" })
}

func (p *pool) statsOf(name string) *classStats {
	st, ok := p.stats[name]
	if !ok {
		st = &classStats{lengthsByOrg: map[string]*queue.Lengths{}, shedThreshold: math.Inf(1)}
		p.stats[name] = st
	}
	return st
}

// lengths returns the observed outputs that estimate those of an organisation.
func (st *classStats) lengthsOf(org string) *queue.Lengths {
	if l, ok := st.lengthsByOrg[org]; ok && l.Seen() >= minOrgAnswers {
		return l
	}
	return &st.lengths
}

func (st *classStats) observe(org string, n int) {
	st.lengths.Observe(n)
	l, ok := st.lengthsByOrg[org]
	if !ok {
		l = &queue.Lengths{}
		st.lengthsByOrg[org] = l
	}
	l.Observe(n)
}

// estimateWork returns the expected work of a request that has before tokens already.
func (p *pool) estimateWork(e *entry) float64 {
	if !p.engineProtocol {
		return 1
	}
	l := p.statsOf(e.req.Class).lengthsOf(e.req.Organisation)
	n := l.Mean()
	if l.Seen() == 0 {
		n = defaultOutputTokens
	}
	if e.earlierTokens > 0 {
		n = l.Remaining(e.earlierTokens)
	}
	if limit := e.req.MaxTokens; limit > 0 {
		n = min(n, float64(max(1, limit-e.earlierTokens)))
	}
	return queue.Work(e.chargedPrompt(), n)
}

// expectedTokens returns the expected input and output of a new request.
func (p *pool) expectedTokens(e *entry) float64 {
	if !p.engineProtocol {
		return 0
	}
	return p.estimateWork(e) + (1-queue.PromptShare)*float64(e.req.PromptTokens)
}

// due returns the latest start of an arriving request that meets its latency target.
func (p *pool) due(e *entry) time.Time {
	c := p.q.Class(e.req.Class)
	ttft := time.Duration(p.statsOf(e.req.Class).ttft.valueOr(0) * float64(time.Second))
	return e.req.Arrived.Add(max(c.Target/4, c.Target-ttft))
}

// runningCounts counts the running requests of this and of all hosts.
func (p *pool) runningCounts() (own, all int) {
	for _, c := range p.q.Classes() {
		own += c.Running
		all += c.Running + c.PeerRunning
	}
	return own, all
}

// freeSlots counts the places of the pool that lower tiers may still take.
func (p *pool) freeSlots(slots int) int {
	_, all := p.runningCounts()
	return int(float64(slots)-p.reservedSlots(slots)) - all
}

// hostQuota returns how many of the pool's places this host may hold: those of all its work in tiers
// that get all they ask for, and of the next tier a part as large as its part of what is asked.
// The quotas of all hosts add up to the pool.
func (p *pool) hostQuota(slots float64) float64 {
	var quota float64
	for _, c := range p.q.Classes() {
		own := float64(c.Running + c.Waiting())
		all := own + float64(c.PeerRunning+c.PeerWaiting)
		if all == 0 {
			continue
		}
		given := min(all, slots)
		quota += own / all * given
		slots -= given
	}
	return quota
}

// mergePeer replaces what host told of the pool; nil forgets the host.
func (p *pool) mergePeer(now time.Time, host string, state *dispatch.PoolState) {
	for name, s := range p.peerStates[host].Classes {
		p.addPeer(name, s, -1)
	}
	old := p.peerStates[host].Classes
	delete(p.peerStates, host)
	defer p.updatePeerLeastUsage()
	if state == nil {
		return
	}
	p.peerStates[host] = *state
	for name, s := range state.Classes {
		p.addPeer(name, s, 1)
		if s.Started > old[name].Started {
			p.q.Class(name).LastStart = now
		}
	}
}

// updatePeerLeastUsage finds the least use of an organisation that waits on another host.
func (p *pool) updatePeerLeastUsage() {
	for _, c := range p.q.Classes() {
		c.PeerLeast = -1
		for _, s := range p.peerStates {
			if t := s.Classes[c.Name]; t.Waiting > 0 && (c.PeerLeast < 0 || t.LeastUse < c.PeerLeast) {
				c.PeerLeast = t.LeastUse
			}
		}
	}
}

func (p *pool) addPeer(class string, s dispatch.ClassState, sign int) {
	c := p.q.Class(class)
	c.PeerWaiting += sign * s.Waiting
	c.PeerRunning += sign * s.Running
	p.statsOf(class).peerSheddable += sign * s.Sheddable
}

// state returns what the host tells of the pool.
func (p *pool) state(now time.Time) dispatch.PoolState {
	out := dispatch.PoolState{Wanted: p.level.wanted, Applied: p.level.published, Classes: map[string]dispatch.ClassState{}}
	for _, c := range p.q.Classes() {
		s := dispatch.ClassState{Waiting: c.Waiting(), Sheddable: c.Sheddable(), Running: c.Running, Started: c.Starts, LeastUse: c.LeastUse(now), Uses: c.Uses(now, maxUsageSamples)}
		if s.Waiting+s.Running+s.Started > 0 {
			out.Classes[c.Name] = s
		}
	}
	return out
}
