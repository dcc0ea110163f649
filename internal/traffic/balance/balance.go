// Package balance chooses the backend server for a request: by load reports
// corrected by what was sent since, learned speed, prefix caches, zone, price
// and health, at a cost that hardly grows with the number of servers.
package balance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// wakesPerCall bounds the servers whose time-bound state one call looks at again.
const wakesPerCall = 16

// Balancer chooses servers. It is used by one goroutine.
type Balancer struct {
	zone     string
	rng      *rand.Rand
	distance func(zone string) time.Duration
	snap     *release.Snapshot
	pools    map[string]*pool
	servers  map[string]*server
	runs     map[request.ID]*run
	peers    map[string]*peer
	// contenders is the weight of the other hosts by zone.
	contenders map[string]float64
	// farWaits counts the hosts and sums of other zones that have work waiting.
	farWaits int
	// heard is the mean time between two reports of a host, in seconds.
	heard     mean
	peersSeen time.Time
	wakes     wakeHeap
	cache     *prefixCache
	exclude   exclusion
}

// pool is a group of servers that serve the same work.
type pool struct {
	concurrency int
	servers     []*server
	targets     map[target]*targetList
	// tiers holds the tiers that the pool serves, the first one first.
	tiers []tier
	// usable, ejected and open count servers; open is by room and by whether they are reclaimable.
	usable, ejected int
	open            [levels][2]int
	// rate sums the learned token rates of rated servers.
	rate     float64
	rated    int
	price    float64
	service  mean
	prefill  mean
	tokenOut mean
}

// tier is a tier that a pool serves; cheap tells that some class of it may use reclaimable servers.
type tier struct {
	number int
	cheap  bool
}

// run is an attempt of this host that is under way.
type run struct {
	server   *server
	started  time.Time
	progress time.Time
	stream   bool
	// generating is set by the first report of tokens.
	generating bool
	arrived    time.Time
	prefix     []uint64
	cached     int
}

// Option changes a [Balancer].
type Option func(*Balancer)

// WithCrossZoneCost sets what it costs to send a request to another zone; the default is [DefaultCrossZoneCost].
func WithCrossZoneCost(f func(zone string) time.Duration) Option {
	return func(b *Balancer) { b.distance = f }
}

// DefaultCrossZoneCost is the cost of another zone: a few round trips, and a link more that can fail.
const DefaultCrossZoneCost = 50 * time.Millisecond

// New returns a Balancer for a host in zone that draws from seed.
func New(zone string, seed uint64, opts ...Option) *Balancer {
	b := &Balancer{
		zone:       zone,
		rng:        rand.New(rand.NewPCG(seed, 0x62616c616e6365)),
		distance:   func(string) time.Duration { return DefaultCrossZoneCost },
		pools:      map[string]*pool{},
		servers:    map[string]*server{},
		runs:       map[request.ID]*run{},
		peers:      map[string]*peer{},
		contenders: map[string]float64{},
		cache:      newPrefixCache(),
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Configure adopts a release. What is known of servers that stay is kept; new ones start slowly,
// except in the first release of a host.
func (b *Balancer) Configure(now time.Time, s *release.Snapshot) {
	first := b.snap == nil
	b.snap = s
	old, oldPools := b.servers, b.pools
	b.servers = make(map[string]*server, len(s.Set.BackendServers))
	b.pools = make(map[string]*pool, len(s.Set.Pools))
	b.wakes = b.wakes[:0]
	names := slices.Sorted(maps.Keys(s.Set.Pools))
	for _, name := range names {
		p := newPool(s, name)
		if o, ok := oldPools[name]; ok {
			p.service, p.prefill, p.tokenOut = o.service, o.prefill, o.tokenOut
		}
		b.pools[name] = p
		for _, bs := range s.Servers(name) {
			v, ok := old[bs.Name]
			if !ok {
				v = &server{}
				if !first {
					v.slowSince = now
				}
			}
			v.adopt(bs, p, b.zone)
			b.servers[bs.Name] = v
			p.servers = append(p.servers, v)
		}
		p.sum()
	}
	for name, v := range old {
		v.removed = b.servers[name] != v
	}
	for _, name := range names {
		for _, v := range b.pools[name].servers {
			v.index(v.pool)
			b.update(now, v)
		}
	}
}

// newPool returns a pool with a list for each target of its routes.
func newPool(s *release.Snapshot, name string) *pool {
	p := &pool{concurrency: max(1, s.Set.Pools[name].Concurrency), targets: map[target]*targetList{}}
	cheap := map[int]bool{}
	for _, r := range s.Set.Routes {
		if r.Pool != name {
			continue
		}
		p.targets[targetOf(r.Model, r.Adapter, r.Version)] = &targetList{}
		for _, class := range r.Classes {
			if c, ok := s.Set.Classes[class]; ok {
				cheap[c.Tier] = cheap[c.Tier] || c.Reclaimable
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(cheap)) {
		p.tiers = append(p.tiers, tier{n, cheap[n]})
	}
	return p
}

// sum refreshes what a pool knows of its servers together.
func (p *pool) sum() {
	for _, v := range p.servers {
		p.price += v.spec.Price / float64(len(p.servers))
		if v.rate > 0 {
			p.rate += v.rate
			p.rated++
		}
		if v.usable {
			p.usable++
		}
		if v.ejected {
			p.ejected++
		}
	}
	for _, v := range p.servers {
		// A smaller pool has a smaller bound.
		if v.ejected && p.ejected > p.maxEjected() {
			v.ejected = false
			p.ejected--
		}
	}
}

// Started notes that an attempt of r was sent to server.
func (b *Balancer) Started(now time.Time, r *request.Request, server string) {
	v, ok := b.servers[server]
	if !ok {
		return
	}
	if old, ok := b.runs[r.ID]; ok {
		b.leave(now, old)
	}
	n := &run{server: v, started: now, stream: r.Streaming, arrived: r.Arrived, prefix: r.Prefix}
	n.cached = b.cache.match(v, r.Prefix)
	b.runs[r.ID] = n
	v.enter(now)
	b.cache.note(v, r.Prefix)
	b.update(now, v)
}

// Progress notes generated tokens of a running request.
func (b *Balancer) Progress(now time.Time, id request.ID, tokens int) {
	n, ok := b.runs[id]
	if !ok {
		return
	}
	if n.generating {
		b.learn(now, n.server, tokens, now.Sub(n.progress))
	} else {
		n.generating = true
		n.server.streams++
	}
	n.progress = now
	n.server.progress = now
}

// Finished notes the end of an attempt.
func (b *Balancer) Finished(now time.Time, r *request.Request, res request.Result) {
	n, ok := b.runs[r.ID]
	if !ok {
		return
	}
	delete(b.runs, r.ID)
	b.leave(now, n)
	b.measure(now, n, res)
	b.judge(now, n.server, res.Outcome)
	b.cache.correct(n.server, n.prefix, n.cached, res)
	b.update(now, n.server)
}

// leave takes an attempt off its server.
func (b *Balancer) leave(now time.Time, n *run) {
	n.server.leave(now, n.generating)
	b.update(now, n.server)
}

// Report notes what a server tells of itself. A report that is older than the last one is ignored.
func (b *Balancer) Report(now time.Time, l dispatch.Load) {
	v, ok := b.servers[l.Server]
	if !ok || l.At.Before(v.reportAt) {
		return
	}
	v.report(l, len(b.peers) > 0)
	v.cache.report(now, l.CacheSequence)
	if changed := v.load(l.Loaded); changed || v.role != l.Role {
		v.list(closed)
		v.role = l.Role
		v.index(v.pool)
	}
	b.update(now, v)
}

// Server notes a change in a server's life.
func (b *Balancer) Server(now time.Time, s dispatch.ServerState) {
	v, ok := b.servers[s.Server]
	if !ok {
		return
	}
	v.leaving = s.Leaving
	if s.Gone && !v.gone {
		v.cache.void()
		v.goneAt = now
	}
	if v.gone && !s.Gone {
		v.slowSince = now
	}
	v.gone = s.Gone
	b.update(now, v)
}

// Outstanding returns this host's attempts under way by server.
func (b *Balancer) Outstanding() map[string]int {
	out := map[string]int{}
	for name, v := range b.servers {
		if v.own > 0 {
			out[name] = v.own
		}
	}
	return out
}

// Usable returns how many servers of a pool take work, whether or not they have room.
func (b *Balancer) Usable(pool string) int {
	if p, ok := b.pools[pool]; ok {
		return p.usable
	}
	return 0
}
