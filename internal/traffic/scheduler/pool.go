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
	// firstService is the time taken for one request before any was observed.
	firstService = 2 * time.Second
	// firstOutput is the output taken for one request before any was observed, in tokens.
	firstOutput = 128
	// enoughAnswers is how many answers of an organisation its own estimate needs.
	enoughAnswers = 20
	// targetShare is the part of a latency target, beside the time of the first token itself, that waiting may take.
	targetShare = 0.8
	// untargetedShare is the part of a deadline that work without a latency target may wait.
	untargetedShare = 0.25
)

// pool is what the scheduler knows of one pool.
type pool struct {
	name        string
	engine      bool
	concurrency int
	q           *queue.Queue
	stats       map[string]*stats
	// peers holds what other hosts told, by host and class.
	peers   map[string]dispatch.PoolState
	delayed queue.Heap[*entry]
	victims queue.Heap[*entry]
	level   level
	// reserved is the share of places that only the first tier may use.
	reserved float64
	// preempting counts attempts that are being preempted.
	preempting int
	// allowance is the work that preemption may still waste.
	allowance float64
}

// stats are observations of one class in a pool.
type stats struct {
	// service is the time of a request on its server, and prefill that until its first token, in seconds.
	service, prefill average
	lengths          queue.Lengths
	orgs             map[string]*queue.Lengths
	// peerSheddable counts the waiting requests of other hosts that have not run.
	peerSheddable int
	// line is the use from which waiting requests are shed.
	line float64
}

func newPool(name string, spread float64) *pool {
	return &pool{
		name: name, q: queue.New(spread), reserved: firstReserve, stats: map[string]*stats{}, peers: map[string]dispatch.PoolState{},
		delayed: queue.NewHeap(func(a, b *entry) bool { return a.notBefore.Before(b.notBefore) }, func(e *entry, i int) { e.delayPlace = i }),
		victims: queue.NewHeap(cheaperVictim, func(e *entry, i int) { e.victimPlace = i }),
	}
}

func cheaperVictim(a, b *entry) bool {
	if a.req.Tier != b.req.Tier {
		return a.req.Tier > b.req.Tier
	}
	return a.waste() < b.waste()
}

// configure adopts the pool's part of a release.
func (p *pool) configure(now time.Time, s *release.Snapshot, spec *object.PoolSpec, weights map[string]float64) {
	p.concurrency = spec.Concurrency
	p.engine = spec.Protocol == object.Engine
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
		target := time.Duration(float64(c.Deadline.Or(object.DefaultDeadline)) * untargetedShare)
		if c.FirstToken > 0 {
			target = time.Duration(c.FirstToken)
		}
		levels = append(levels, queue.Level{Name: name, Tier: c.Tier, Floor: c.Floor, Target: target})
	}
	p.q.Configure(now, levels, weights)
	p.q.Forget(func(org string) bool { _, ok := s.Set.Organisations[org]; return ok || org == "" })
}

func (p *pool) class(name string) *stats {
	st, ok := p.stats[name]
	if !ok {
		st = &stats{orgs: map[string]*queue.Lengths{}, line: math.Inf(1)}
		p.stats[name] = st
	}
	return st
}

// lengths returns the observed outputs that estimate those of an organisation.
func (st *stats) lengthsOf(org string) *queue.Lengths {
	if l, ok := st.orgs[org]; ok && l.Seen() >= enoughAnswers {
		return l
	}
	return &st.lengths
}

func (st *stats) observe(org string, n int) {
	st.lengths.Observe(n)
	l, ok := st.orgs[org]
	if !ok {
		l = &queue.Lengths{}
		st.orgs[org] = l
	}
	l.Observe(n)
}

// estimate returns the expected work of a request that has before tokens already.
func (p *pool) estimate(e *entry) float64 {
	if !p.engine {
		return 1
	}
	l := p.class(e.req.Class).lengthsOf(e.req.Organisation)
	n := l.Mean()
	if l.Seen() == 0 {
		n = firstOutput
	}
	if e.before > 0 {
		n = l.Remaining(e.before)
	}
	if limit := e.req.MaxTokens; limit > 0 {
		n = min(n, float64(max(1, limit-e.before)))
	}
	return queue.Work(e.prompt(), n)
}

// tokens returns the expected input and output of a new request.
func (p *pool) tokens(e *entry) float64 {
	if !p.engine {
		return 0
	}
	return p.estimate(e) + (1-queue.PromptShare)*float64(e.req.PromptTokens)
}

// due returns the latest start of an arriving request that meets its latency target.
func (p *pool) due(e *entry) time.Time {
	c := p.q.Class(e.req.Class)
	prefill := time.Duration(p.class(e.req.Class).prefill.or(0) * float64(time.Second))
	return e.req.Arrived.Add(max(c.Target/4, c.Target-prefill))
}

// running counts the running requests of this and of all hosts.
func (p *pool) running() (own, all int) {
	for _, c := range p.q.Classes() {
		own += c.Running
		all += c.Running + c.PeerRunning
	}
	return own, all
}

// free counts the places of the pool that lower tiers may still take.
func (p *pool) free(slots int) int {
	_, all := p.running()
	return int(float64(slots)-p.reserve(slots)) - all
}

// quota returns how many of the pool's places this host may hold: those of all its work in tiers
// that get all they ask for, and of the next tier a part as large as its part of what is asked.
// The quotas of all hosts add up to the pool.
func (p *pool) quota(slots float64) float64 {
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

// merge replaces what host told of the pool; nil forgets the host.
func (p *pool) merge(now time.Time, host string, told *dispatch.PoolState) {
	for name, s := range p.peers[host].Classes {
		p.add(name, s, -1)
	}
	old := p.peers[host].Classes
	delete(p.peers, host)
	defer p.least()
	if told == nil {
		return
	}
	p.peers[host] = *told
	for name, s := range told.Classes {
		p.add(name, s, 1)
		if s.Started > old[name].Started {
			p.q.Class(name).LastStart = now
		}
	}
}

// least finds the least use of an organisation that waits on another host.
func (p *pool) least() {
	for _, c := range p.q.Classes() {
		c.PeerLeast = -1
		for _, s := range p.peers {
			if t := s.Classes[c.Name]; t.Waiting > 0 && (c.PeerLeast < 0 || t.LeastUse < c.PeerLeast) {
				c.PeerLeast = t.LeastUse
			}
		}
	}
}

func (p *pool) add(class string, s dispatch.ClassState, sign int) {
	c := p.q.Class(class)
	c.PeerWaiting += sign * s.Waiting
	c.PeerRunning += sign * s.Running
	p.class(class).peerSheddable += sign * s.Sheddable
}

// state returns what the host tells of the pool.
func (p *pool) state(now time.Time) dispatch.PoolState {
	out := dispatch.PoolState{WantedThrottleTier: p.level.wanted, AppliedThrottleTier: p.level.told, Classes: map[string]dispatch.ClassState{}}
	for _, c := range p.q.Classes() {
		s := dispatch.ClassState{Waiting: c.Waiting(), Sheddable: c.Sheddable(), Running: c.Running, Started: c.Starts, LeastUse: c.LeastUse(now), Uses: c.Uses(now, usesTold)}
		if s.Waiting+s.Running+s.Started > 0 {
			out.Classes[c.Name] = s
		}
	}
	return out
}
