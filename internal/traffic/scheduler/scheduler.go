// Package scheduler is the policy of the serve command. It decides on
// which server and when each waiting request starts, which requests are shed
// under overload, and which failed ones are retried. It combines the packages
// for the queue, the choice of server, limits, retries and crash suspects. It
// does no I/O and reads no clock.
//
// Tier 1 is the highest. The top tier of a pool is the highest that it serves.
// The floor of a class is the share of a pool's slots that it gets whenever it
// has requests waiting. The work of a request is its output tokens and a
// fraction of its prompt tokens. The usage of an organisation is its recent
// work divided by its weight.
package scheduler

import (
	"math/rand/v2"
	"sort"
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/balance"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/limit"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/retry"
	"shallotramp/internal/traffic/suspect"
)

const (
	// peerTTL is how long the state of another host is valid.
	peerTTL = 3 * time.Second
	// maxPassedOver limits the requests that one scheduling round passes over for want of a suitable server.
	maxPassedOver = 8
	// maxWaiting limits the requests that wait on one host.
	maxWaiting = 20000
)

// Policy schedules the requests of one host. It implements [dispatch.Policy].
type Policy struct {
	host     string
	zone     string
	snap     *release.Snapshot
	rng      *rand.Rand
	chooser  Chooser
	retry    *retry.Policy
	suspects *suspect.Tracker
	parts    partSuspects
	limiter  *limit.Limiter
	// isolatedByServer holds the crash suspect of this host that each server runs.
	isolatedByServer map[string]request.ID
	pools            map[string]*pool
	entries          map[request.ID]*entry
	poolByServer     map[string]*pool
	peers            map[string]*peer
	served           *workTotals
	waiting          int
}

var _ dispatch.Policy = (*Policy)(nil)

// Option configures a [Policy].
type Option func(*Policy)

// WithChooser replaces the default [Chooser], a [balance.Balancer].
func WithChooser(c Chooser) Option { return func(p *Policy) { p.chooser = c } }

// WithZone sets the host's availability zone. Servers in it are the nearest ones.
func WithZone(zone string) Option { return func(p *Policy) { p.zone = zone } }

// WithHost sets the name of the host, which shares the limits of servers with the other hosts.
func WithHost(name string) Option { return func(p *Policy) { p.host = name } }

// New returns a Policy without a configuration. Policies with the same seed and events return the same effects.
func New(seed uint64, opts ...Option) *Policy {
	p := &Policy{
		rng:              rand.New(rand.NewPCG(seed, 0)),
		retry:            retry.New(seed),
		suspects:         suspect.New(),
		parts:            partSuspects{tracker: suspect.NewPartTracker()},
		limiter:          limit.New(),
		isolatedByServer: map[string]request.ID{},
		pools:            map[string]*pool{},
		entries:          map[request.ID]*entry{},
		poolByServer:     map[string]*pool{},
		peers:            map[string]*peer{},
		served:           newWorkTotals(),
	}
	for _, o := range opts {
		o(p)
	}
	if p.chooser == nil {
		p.chooser = balance.New(p.zone, seed, balance.WithHost(p.host))
	}
	return p
}

// Configure implements [dispatch.Policy].
func (p *Policy) Configure(now time.Time, s *release.Snapshot) []dispatch.Effect {
	p.snap = s
	p.chooser.Configure(now, s)
	p.retry.Configure(s)
	p.limiter.Configure(s)
	weights := map[string]float64{}
	for name, o := range s.Set.Organisations {
		weights[name] = o.Weight
	}
	p.poolByServer = map[string]*pool{}
	for name, spec := range s.Set.Pools {
		if p.pools[name] == nil {
			p.pools[name] = newPool(name, p.rng.Float64())
		}
		p.pools[name].configure(now, s, spec, weights)
		for _, b := range s.Servers(name) {
			p.poolByServer[b.Name] = p.pools[name]
		}
	}
	out := p.refuseWithdrawn(now)
	return append(out, p.advanceAll(now)...)
}

// refuseWithdrawn refuses queued requests whose key, class or pool was removed, and drops removed pools.
func (p *Policy) refuseWithdrawn(now time.Time) []dispatch.Effect {
	var out []dispatch.Effect
	for _, e := range p.sortedEntries() {
		if e.server != "" {
			continue
		}
		switch {
		case !p.keyValid(now, e.req):
			out = append(out, p.refuse(now, e, dispatch.KeyWithdrawn, "the caller's key was withdrawn or has expired"))
		case !p.canServe(e.req):
			out = append(out, p.refuse(now, e, dispatch.NoServer, "the request's class was removed, or its pool has no servers any more"))
		}
	}
	for name := range p.pools {
		if p.snap.Set.Pools[name] == nil {
			delete(p.pools, name)
		}
	}
	return out
}

// sortedEntries returns the entries by ID, so that effects have the same order in each run.
func (p *Policy) sortedEntries() []*entry {
	out := make([]*entry, 0, len(p.entries))
	for _, e := range p.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].req.ID < out[j].req.ID })
	return out
}

func (p *Policy) keyValid(now time.Time, r *request.Request) bool {
	if r.KeyName == "" {
		return true
	}
	k, ok := p.snap.Set.Keys[r.KeyName]
	return ok && (k.NotAfter.IsZero() || now.Before(k.NotAfter))
}

func (p *Policy) canServe(r *request.Request) bool {
	return p.snap.Set.Classes[r.Class] != nil && len(p.snap.Servers(r.Pool)) > 0
}

// Arrive implements [dispatch.Policy].
func (p *Policy) Arrive(now time.Time, r *request.Request) []dispatch.Effect {
	e := &entry{req: r, sharedParts: r.SharedParts(), delayedIndex: -1, victimIndex: -1}
	p.entries[r.ID] = e
	if p.snap == nil || !p.canServe(r) || p.pools[r.Pool] == nil {
		return []dispatch.Effect{p.refuse(now, e, dispatch.NoServer, "the request's class or a server of its pool is not configured")}
	}
	e.pool = p.pools[r.Pool]
	if out, ok := p.admit(now, e); !ok {
		return out
	}
	if out, ok := p.holdIfSuspect(now, e); ok {
		return out
	}
	if !p.feasible(now, e) {
		return []dispatch.Effect{p.refuse(now, e, dispatch.PastDeadline, "cannot deliver its first token before its deadline")}
	}
	p.enqueue(now, e, e.pool.due(e))
	return p.reschedule(now, e.pool)
}

// admit checks the organisation's limit. It reports whether the request may be queued at once;
// otherwise it was refused or delayed.
func (p *Policy) admit(now time.Time, e *entry) ([]dispatch.Effect, bool) {
	e.expectedTokens = e.pool.expectedTokens(e)
	v := p.limiter.Admit(now, e.req.Organisation, e.expectedTokens)
	switch {
	case !v.Admitted:
		e.retryAfter = v.RetryAfter
		return []dispatch.Effect{p.refuse(now, e, dispatch.OverLimit, v.Why)}, false
	case v.Wait > 0:
		e.admitted = true
		p.delay(e, now.Add(v.Wait))
		return nil, false
	}
	e.admitted = true
	return nil, true
}

// feasible reports whether a request can deliver its first token before its deadline if it starts
// now and takes half of the mean time to first token.
func (p *Policy) feasible(now time.Time, e *entry) bool {
	minTTFT := time.Duration(e.pool.statsOf(e.req.Class).ttft.valueOr(0) / 2 * float64(time.Second))
	return now.Add(minTTFT).Before(e.req.Deadline)
}

// refuse removes a request and returns the effect that answers its caller.
func (p *Policy) refuse(now time.Time, e *entry, reason dispatch.RefusalReason, why string) dispatch.Effect {
	p.removeQueued(now, e)
	p.removeDelayed(e)
	p.forget(e)
	out := dispatch.Effect{Kind: dispatch.Refuse, ID: e.req.ID, Reason: reason, RetryAfter: minRetryAfter, Ran: e.ran, Why: why}
	switch {
	case e.retryAfter > 0:
		out.RetryAfter = e.retryAfter + time.Duration(p.rng.Float64()/2*float64(e.retryAfter))
	case e.pool != nil && reason != dispatch.KeyWithdrawn:
		out.RetryAfter = e.pool.retryAfter(e.req.Class, p.slots(e.pool), p.rng.Float64())
	}
	return out
}

// Cancel implements [dispatch.Policy].
func (p *Policy) Cancel(now time.Time, id request.ID) []dispatch.Effect {
	e, ok := p.entries[id]
	if !ok || e.server != "" {
		return nil
	}
	p.removeQueued(now, e)
	p.removeDelayed(e)
	p.forget(e)
	if e.pool == nil {
		return nil
	}
	return p.reschedule(now, e.pool)
}

// forget removes the state of a request that has ended.
func (p *Policy) forget(e *entry) {
	delete(p.entries, e.req.ID)
	p.retry.Forget(e.req.ID)
	if e.admitted {
		p.limiter.Done(e.req.Organisation, float64(e.usedTokens)-e.expectedTokens)
	}
}

func (p *Policy) removeDelayed(e *entry) {
	if e.delayedIndex >= 0 {
		e.pool.delayed.Remove(e.delayedIndex)
	}
}

// Report implements [dispatch.Policy].
func (p *Policy) Report(now time.Time, l dispatch.Load) []dispatch.Effect {
	p.chooser.Report(now, l)
	return p.rescheduleServer(now, l.Server)
}

// Server implements [dispatch.Policy].
func (p *Policy) Server(now time.Time, s dispatch.ServerState) []dispatch.Effect {
	p.chooser.Server(now, s)
	return p.rescheduleServer(now, s.Server)
}

func (p *Policy) rescheduleServer(now time.Time, name string) []dispatch.Effect {
	if pl := p.poolByServer[name]; pl != nil {
		return p.reschedule(now, pl)
	}
	return nil
}

// Tick implements [dispatch.Policy].
func (p *Policy) Tick(now time.Time) []dispatch.Effect {
	p.expirePeers(now)
	p.parts.update(now)
	for _, pl := range p.pools {
		pl.updateShedThresholds(now, p.slots(pl))
	}
	return p.advanceAll(now)
}

// advanceAll brings each pool to the time now: it releases delayed requests, refuses those past
// their deadline and starts what may start.
func (p *Policy) advanceAll(now time.Time) []dispatch.Effect {
	var out []dispatch.Effect
	for _, pl := range p.sortedPools() {
		out = append(out, p.releaseDelayed(now, pl)...)
		for _, it := range pl.q.Advance(now) {
			p.waiting--
			out = append(out, p.refuse(now, p.entries[it.Request.ID], dispatch.PastDeadline, "its deadline passed before it could start"))
		}
		out = append(out, p.reschedule(now, pl)...)
	}
	return out
}

func (p *Policy) sortedPools() []*pool {
	out := make([]*pool, 0, len(p.pools))
	for _, pl := range p.pools {
		out = append(out, pl)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}
