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
	// defaultServiceTime is the assumed run time of a request before any was observed.
	defaultServiceTime = 2 * time.Second
	// defaultOutputTokens is the assumed output of a request before any was observed.
	defaultOutputTokens = 128
	// minOrgAnswers is the number of answers from which an organisation's own output lengths are used.
	minOrgAnswers = 20
	// targetWaitShare is the share of a latency target that may be spent waiting, after the time to
	// first token on the server is subtracted.
	targetWaitShare = 0.8
	// deadlineWaitShare is the share of the deadline that a request without a latency target may wait.
	deadlineWaitShare = 0.25
)

// pool is the scheduling state of one pool.
type pool struct {
	name           string
	engineProtocol bool
	concurrency    int
	q              *queue.Queue
	stats          map[string]*classStats
	// peerStates holds the last state of the pool from each other host, by host.
	peerStates map[string]dispatch.PoolState
	// delayed holds the requests that wait until their notBefore.
	delayed queue.Heap[*entry]
	// victims holds the running attempts that may be preempted, the first to preempt at the head.
	victims  queue.Heap[*entry]
	throttle throttleState
	// reserveShare is the share of slots that only the top tier may use.
	reserveShare float64
	// pendingPreemptions counts attempts whose preemption was requested and that have not ended.
	pendingPreemptions int
	// preemptionBudget is the work, in tokens, that preemption may still waste.
	preemptionBudget float64
}

// classStats holds what was observed of one class in a pool.
type classStats struct {
	// service is the run time of an attempt on its server, ttft its time to first token, in seconds.
	service, ttft average
	lengths       queue.LengthEstimator
	lengthsByOrg  map[string]*queue.LengthEstimator
	// peerSheddable counts the waiting requests of other hosts that have not run yet and may be shed.
	peerSheddable int
	// shedThreshold is the usage from which waiting requests are shed: the recent work of a request's
	// organisation and its work queued ahead, in tokens per unit of weight.
	shedThreshold float64
}

func newPool(name string, jitter float64) *pool {
	return &pool{
		name: name, q: queue.New(jitter), reserveShare: initialReserveShare, stats: map[string]*classStats{}, peerStates: map[string]dispatch.PoolState{},
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

// configure applies the pool's part of a configuration release.
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
	var classes []queue.ClassConfig
	for name := range names {
		c, ok := s.Set.Classes[name]
		if !ok {
			continue
		}
		target := time.Duration(float64(c.Deadline.Or(object.DefaultDeadline)) * deadlineWaitShare)
		if c.FirstToken > 0 {
			target = time.Duration(c.FirstToken)
		}
		classes = append(classes, queue.ClassConfig{Name: name, Tier: c.Tier, Floor: c.Floor, Target: target})
	}
	p.q.Configure(now, classes, weights)
	p.q.ForgetOrganisations(func(org string) bool { _, ok := s.Set.Organisations[org]; return ok || org == "" })
}

func (p *pool) statsOf(name string) *classStats {
	st, ok := p.stats[name]
	if !ok {
		st = &classStats{lengthsByOrg: map[string]*queue.LengthEstimator{}, shedThreshold: math.Inf(1)}
		p.stats[name] = st
	}
	return st
}

// lengthsOf returns the output lengths from which those of an organisation are estimated: its own
// if enough were observed, else those of the class.
func (st *classStats) lengthsOf(org string) *queue.LengthEstimator {
	if l, ok := st.lengthsByOrg[org]; ok && l.Samples() >= minOrgAnswers {
		return l
	}
	return &st.lengths
}

func (st *classStats) observe(org string, n int) {
	st.lengths.Observe(n)
	l, ok := st.lengthsByOrg[org]
	if !ok {
		l = &queue.LengthEstimator{}
		st.lengthsByOrg[org] = l
	}
	l.Observe(n)
}

// estimateWork returns the expected work of a request's next attempt, which continues after
// e.earlierTokens.
func (p *pool) estimateWork(e *entry) float64 {
	if !p.engineProtocol {
		return 1
	}
	l := p.statsOf(e.req.Class).lengthsOf(e.req.Organisation)
	n := l.Mean()
	if l.Samples() == 0 {
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

// expectedTokens returns the expected number of prompt and output tokens of a new request.
func (p *pool) expectedTokens(e *entry) float64 {
	if !p.engineProtocol {
		return 0
	}
	return p.estimateWork(e) + (1-queue.PromptTokenWeight)*float64(e.req.PromptTokens)
}

// due returns the latest start of an arriving request that meets its latency target.
func (p *pool) due(e *entry) time.Time {
	c := p.q.Class(e.req.Class)
	ttft := time.Duration(p.statsOf(e.req.Class).ttft.valueOr(0) * float64(time.Second))
	return e.req.Arrived.Add(max(c.Target/4, c.Target-ttft))
}

// runningCounts returns the number of running requests of this host and of all hosts.
func (p *pool) runningCounts() (own, all int) {
	for _, c := range p.q.Classes() {
		own += c.Running
		all += c.Running + c.PeerRunning
	}
	return own, all
}

// freeSlots returns how many slots of the pool the lower tiers may still take.
func (p *pool) freeSlots(slots int) int {
	_, all := p.runningCounts()
	return int(float64(slots)-p.reservedSlots(slots)) - all
}

// hostQuota returns how many of the pool's slots this host may hold. Classes are granted slots in
// order of tier. Where the slots suffice, the host gets one for each of its requests; else it gets
// a share in proportion to its share of the class's requests. The quotas of all hosts add up to the
// pool's slots.
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

// updatePeer replaces the state that a host sent of the pool; nil removes the host.
func (p *pool) updatePeer(now time.Time, host string, state *dispatch.PoolState) {
	for name, s := range p.peerStates[host].Classes {
		p.addPeerCounts(name, s, -1)
	}
	old := p.peerStates[host].Classes
	delete(p.peerStates, host)
	defer p.updatePeerLeastUsage()
	if state == nil {
		return
	}
	p.peerStates[host] = *state
	for name, s := range state.Classes {
		p.addPeerCounts(name, s, 1)
		if s.Started > old[name].Started {
			p.q.Class(name).LastStart = now
		}
	}
}

// updatePeerLeastUsage finds, for each class, the least usage of an organisation with requests
// waiting on another host.
func (p *pool) updatePeerLeastUsage() {
	for _, c := range p.q.Classes() {
		c.PeerMinUsage = -1
		for _, s := range p.peerStates {
			if t := s.Classes[c.Name]; t.Waiting > 0 && (c.PeerMinUsage < 0 || t.HeadUsage < c.PeerMinUsage) {
				c.PeerMinUsage = t.HeadUsage
			}
		}
	}
}

func (p *pool) addPeerCounts(class string, s dispatch.ClassState, sign int) {
	c := p.q.Class(class)
	c.PeerWaiting += sign * s.Waiting
	c.PeerRunning += sign * s.Running
	p.statsOf(class).peerSheddable += sign * s.Sheddable
}

// state returns the state of the pool that is sent to other hosts.
func (p *pool) state(now time.Time) dispatch.PoolState {
	out := dispatch.PoolState{WantedThrottleTier: p.throttle.wanted, AppliedThrottleTier: p.throttle.published, Classes: map[string]dispatch.ClassState{}}
	for _, c := range p.q.Classes() {
		s := dispatch.ClassState{Waiting: c.Waiting(), Sheddable: c.Sheddable(), Running: c.Running, Started: c.Starts, HeadUsage: c.HeadUsage(now), UsageSamples: c.SampleUsage(now, maxUsageSamples)}
		if s.Waiting+s.Running+s.Started > 0 {
			out.Classes[c.Name] = s
		}
	}
	return out
}
