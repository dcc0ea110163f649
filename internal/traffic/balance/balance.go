// Package balance chooses the backend server for a request. It weighs the load
// of each server (its last report, corrected by what was sent since), its
// measured speed, its prefix cache, zone, price and health. The time that a
// choice takes hardly grows with the number of servers.
//
// A server has room when it has a free slot, that is, when it may run one more
// request beside those that it runs.
package balance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/serverlimit"
)

// maxRechecksPerCall bounds how many servers one call rechecks because time has passed.
const maxRechecksPerCall = 16

// Balancer chooses servers. It is not safe for concurrent use.
type Balancer struct {
	zone          string
	rng           *rand.Rand
	crossZoneCost func(zone string) time.Duration
	snap          *release.Snapshot
	pools         map[string]*pool
	servers       map[string]*server
	attempts      map[request.ID]*attempt
	peers         map[string]*peer
	// peerWeight is the total weight of the peers by zone, see [weightOf].
	peerWeight map[string]float64
	// remotePeersWaiting counts the peers of other zones that have requests waiting.
	remotePeersWaiting int
	// peerReportInterval is the mean time between two reports of a peer, in seconds.
	peerReportInterval average
	peersCheckedAt     time.Time
	rechecks           recheckHeap
	prefixes           *prefixIndex
	exclude            exclusion
	// limits are the rates that servers take from all hosts together.
	limits *serverlimit.Limits
}

// pool is a group of servers that serve the same routes.
type pool struct {
	concurrency int
	servers     []*server
	targets     map[target]*targetList
	// tiers holds the tiers that the pool serves, in ascending order.
	tiers []tier
	// usable, ejected and withRoom count servers. withRoom is indexed by roomLevel and by whether the
	// server is reclaimable (1) or not (0).
	usable, ejected int
	withRoom        [roomLevels][2]int
	// tokenRateSum sums the token rates of the servers whose rate was measured; ratedServers counts them.
	tokenRateSum float64
	ratedServers int
	meanPrice    float64
	// decodeSeconds is the time from the first token to the end of an answer, or the whole time of an
	// attempt whose first token was not seen.
	decodeSeconds          average
	prefillSecondsPerToken average
	outputTokens           average
}

// tier is a tier that a pool serves. allowReclaimable is set when a class of it may use reclaimable servers.
type tier struct {
	number           int
	allowReclaimable bool
}

// attempt is a running attempt of this host.
type attempt struct {
	server       *server
	started      time.Time
	lastProgress time.Time
	streaming    bool
	// generating is set by the first report of tokens.
	generating bool
	arrived    time.Time
	prefix     []uint64
	// cachedBlocks is how many blocks of the prefix the server was expected to have cached.
	cachedBlocks int
}

// Option configures a [Balancer].
type Option func(*Balancer)

// WithCrossZoneCost sets the time that is added to the estimate for a server in another zone. The default is
// [DefaultCrossZoneCost].
func WithCrossZoneCost(f func(zone string) time.Duration) Option {
	return func(b *Balancer) { b.crossZoneCost = f }
}

// DefaultCrossZoneCost stands for a few round trips to another zone and for one more link that can fail.
const DefaultCrossZoneCost = 50 * time.Millisecond

// New returns a Balancer for a host in zone. Its random choices follow from seed.
func New(zone string, seed uint64, opts ...Option) *Balancer {
	b := &Balancer{
		zone:          zone,
		rng:           rand.New(rand.NewPCG(seed, 0x62616c616e6365)),
		crossZoneCost: func(string) time.Duration { return DefaultCrossZoneCost },
		pools:         map[string]*pool{},
		servers:       map[string]*server{},
		attempts:      map[request.ID]*attempt{},
		peers:         map[string]*peer{},
		peerWeight:    map[string]float64{},
		prefixes:      newPrefixIndex(),
		limits:        serverlimit.New(""),
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Configure applies a release. The state of servers that are also in the new release is kept. New servers
// start slowly, except in the first release of a host.
func (b *Balancer) Configure(now time.Time, s *release.Snapshot) {
	first := b.snap == nil
	b.snap = s
	old, oldPools := b.servers, b.pools
	b.servers = make(map[string]*server, len(s.Set.BackendServers))
	b.pools = make(map[string]*pool, len(s.Set.Pools))
	b.rechecks = b.rechecks[:0]
	names := slices.Sorted(maps.Keys(s.Set.Pools))
	for _, name := range names {
		p := newPool(s, name)
		if o, ok := oldPools[name]; ok {
			p.decodeSeconds, p.prefillSecondsPerToken, p.outputTokens = o.decodeSeconds, o.prefillSecondsPerToken, o.outputTokens
		}
		b.pools[name] = p
		for _, bs := range s.Servers(name) {
			v, ok := old[bs.Name]
			if !ok {
				v = &server{}
				if !first {
					v.slowStartAt = now
				}
			}
			v.configure(bs, p, b.zone)
			b.servers[bs.Name] = v
			p.servers = append(p.servers, v)
		}
		p.computeTotals()
	}
	for name, v := range old {
		if v.removed = b.servers[name] != v; v.removed {
			b.limits.Forget(name)
		}
	}
	for _, name := range names {
		for _, v := range b.pools[name].servers {
			v.buildMemberships(v.pool)
			b.update(now, v)
		}
	}
}

// newPool returns a pool that has an empty list for each target of its routes.
func newPool(s *release.Snapshot, name string) *pool {
	p := &pool{concurrency: max(1, s.Set.Pools[name].Concurrency), targets: map[target]*targetList{}}
	allowReclaimable := map[int]bool{}
	for _, r := range s.Set.Routes {
		if r.Pool != name {
			continue
		}
		p.targets[targetOf(r.Model, r.Adapter, r.Version)] = &targetList{}
		for _, class := range r.Classes {
			if c, ok := s.Set.Classes[class]; ok {
				allowReclaimable[c.Tier] = allowReclaimable[c.Tier] || c.Reclaimable
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(allowReclaimable)) {
		p.tiers = append(p.tiers, tier{n, allowReclaimable[n]})
	}
	return p
}

// computeTotals sets the totals of a new pool from its servers.
func (p *pool) computeTotals() {
	for _, v := range p.servers {
		p.meanPrice += v.spec.Price / float64(len(p.servers))
		if v.tokenRate > 0 {
			p.tokenRateSum += v.tokenRate
			p.ratedServers++
		}
		if v.usable {
			p.usable++
		}
		if v.ejected {
			p.ejected++
		}
	}
	for _, v := range p.servers {
		// Fewer servers may be ejected when the pool has become smaller.
		if v.ejected && p.ejected > p.maxEjected() {
			v.ejected = false
			p.ejected--
		}
	}
}

// Started records that an attempt of r was sent to server.
func (b *Balancer) Started(now time.Time, r *request.Request, server string) {
	v, ok := b.servers[server]
	if !ok {
		return
	}
	if old, ok := b.attempts[r.ID]; ok {
		b.removeAttempt(now, old)
	}
	a := &attempt{server: v, started: now, streaming: r.Streaming, arrived: r.Arrived, prefix: r.Prefix}
	a.cachedBlocks = b.prefixes.matchedBlocks(v, r.Prefix)
	b.attempts[r.ID] = a
	v.addAttempt(now)
	b.limits.Take(now, server)
	b.prefixes.addPrompt(v, r.Prefix)
	b.update(now, v)
}

// Progress records generated tokens of a running request.
func (b *Balancer) Progress(now time.Time, id request.ID, tokens int) {
	a, ok := b.attempts[id]
	if !ok {
		return
	}
	if a.generating {
		b.recordTokenRate(now, a.server, tokens, now.Sub(a.lastProgress))
	} else {
		a.generating = true
		a.server.generating++
	}
	a.lastProgress = now
	a.server.lastProgress = now
}

// Finished records the end of an attempt.
func (b *Balancer) Finished(now time.Time, r *request.Request, res request.Result) {
	a, ok := b.attempts[r.ID]
	if !ok {
		return
	}
	delete(b.attempts, r.ID)
	b.removeAttempt(now, a)
	b.recordCompletion(now, a, res)
	b.recordOutcome(now, a.server, res.Outcome)
	b.prefixes.applyResult(a.server, a.prefix, a.cachedBlocks, res)
	b.update(now, a.server)
}

// removeAttempt removes an attempt from the counts of its server.
func (b *Balancer) removeAttempt(now time.Time, a *attempt) {
	a.server.removeAttempt(now, a.generating)
	b.update(now, a.server)
}

// Report applies a server's load report. A report that is older than the last one is ignored.
func (b *Balancer) Report(now time.Time, l dispatch.Load) {
	v, ok := b.servers[l.Server]
	if !ok || l.At.Before(v.reportAt) {
		return
	}
	v.applyReport(l, len(b.peers) > 0)
	v.cache.checkSequence(now, l.CacheSequence)
	if changed := v.setLoaded(l.Loaded); changed || v.role != l.Role {
		v.moveTo(noRoom)
		v.role = l.Role
		v.buildMemberships(v.pool)
	}
	b.update(now, v)
}

// Server applies a change of a server's state.
func (b *Balancer) Server(now time.Time, s dispatch.ServerState) {
	v, ok := b.servers[s.Server]
	if !ok {
		return
	}
	v.leaving = s.Leaving
	if s.Gone && !v.gone {
		v.cache.invalidate()
		v.goneAt = now
	}
	if v.gone && !s.Gone {
		v.slowStartAt = now
		v.startAgain()
		b.limits.Forget(s.Server)
	}
	v.gone = s.Gone
	b.update(now, v)
}

// Outstanding returns the number of this host's running attempts by server.
func (b *Balancer) Outstanding() map[string]int {
	out := map[string]int{}
	for name, v := range b.servers {
		if v.ownAttempts > 0 {
			out[name] = v.ownAttempts
		}
	}
	return out
}

// Usable returns how many servers of a pool accept requests, whether or not they have room.
func (b *Balancer) Usable(pool string) int {
	if p, ok := b.pools[pool]; ok {
		return p.usable
	}
	return 0
}
