// Package scheduler is the policy of serve: it decides which waiting request
// starts where and when, which work is shed in overload, and what is tried
// again. It is composed of queue, choice of server, limits and retries, does no
// I/O and reads no clock.
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
	// peerLifetime is how long what another host told counts.
	peerLifetime = 3 * time.Second
	// setAside bounds the requests passed over in one round because no server suits them.
	setAside = 8
	// maxWaiting bounds the requests that wait on one host.
	maxWaiting = 20000
)

// Policy decides. It implements [dispatch.Policy].
type Policy struct {
	zone    string
	snap    *release.Snapshot
	rnd     *rand.Rand
	chooser Chooser
	retry   *retry.Policy
	suspect *suspect.Tracker
	limit   *limit.Limiter
	// isolated names the suspected request that each server runs.
	isolated map[string]request.ID
	pools    map[string]*pool
	entries  map[request.ID]*entry
	server   map[string]*pool
	peers    map[string]*peer
	served   *ledger
	waiting  int
}

var _ dispatch.Policy = (*Policy)(nil)

// Option changes a [Policy].
type Option func(*Policy)

// WithChooser replaces the choice of server.
func WithChooser(c Chooser) Option { return func(p *Policy) { p.chooser = c } }

// WithZone sets the host's availability zone, whose servers are nearest.
func WithZone(zone string) Option { return func(p *Policy) { p.zone = zone } }

// New returns a Policy without a configuration. Equal seeds and events give equal effects.
func New(seed uint64, opts ...Option) *Policy {
	p := &Policy{
		rnd:      rand.New(rand.NewPCG(seed, 0)),
		retry:    retry.New(seed),
		suspect:  suspect.New(),
		limit:    limit.New(),
		isolated: map[string]request.ID{},
		pools:    map[string]*pool{},
		entries:  map[request.ID]*entry{},
		server:   map[string]*pool{},
		peers:    map[string]*peer{},
		served:   newLedger(),
	}
	for _, o := range opts {
		o(p)
	}
	if p.chooser == nil {
		p.chooser = balance.New(p.zone, seed)
	}
	return p
}

// Configure implements [dispatch.Policy].
func (p *Policy) Configure(now time.Time, s *release.Snapshot) []dispatch.Effect {
	p.snap = s
	p.chooser.Configure(now, s)
	p.retry.Configure(s)
	p.limit.Configure(s)
	weights := map[string]float64{}
	for name, o := range s.Set.Organisations {
		weights[name] = o.Weight
	}
	p.server = map[string]*pool{}
	for name, spec := range s.Set.Pools {
		if p.pools[name] == nil {
			p.pools[name] = newPool(name, p.rnd.Float64())
		}
		p.pools[name].configure(now, s, spec, weights)
		for _, b := range s.Servers(name) {
			p.server[b.Name] = p.pools[name]
		}
	}
	out := p.withdraw(now)
	return append(out, p.drainAll(now)...)
}

// withdraw refuses queued work whose key, class or pool is gone, and drops the pools.
func (p *Policy) withdraw(now time.Time) []dispatch.Effect {
	var out []dispatch.Effect
	for _, e := range p.sorted() {
		if e.server != "" {
			continue
		}
		switch {
		case !p.keyValid(now, e.req):
			out = append(out, p.refuse(now, e, dispatch.KeyWithdrawn, "key withdrawn"))
		case !p.offered(e.req):
			out = append(out, p.refuse(now, e, dispatch.NoServer, "class or pool withdrawn"))
		}
	}
	for name := range p.pools {
		if p.snap.Set.Pools[name] == nil {
			delete(p.pools, name)
		}
	}
	return out
}

// sorted lists the entries by id, so that effects have the same order in each run.
func (p *Policy) sorted() []*entry {
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

func (p *Policy) offered(r *request.Request) bool {
	return p.snap.Set.Classes[r.Class] != nil && len(p.snap.Servers(r.Pool)) > 0
}

// Arrive implements [dispatch.Policy].
func (p *Policy) Arrive(now time.Time, r *request.Request) []dispatch.Effect {
	e := &entry{req: r, delayPlace: -1, victimPlace: -1}
	p.entries[r.ID] = e
	if p.snap == nil || !p.offered(r) || p.pools[r.Pool] == nil {
		return []dispatch.Effect{p.refuse(now, e, dispatch.NoServer, "no server of the pool is configured")}
	}
	e.pool = p.pools[r.Pool]
	if out, ok := p.admit(now, e); !ok {
		return out
	}
	if out, ok := p.hold(now, e); ok {
		return out
	}
	if !p.feasible(now, e) {
		return []dispatch.Effect{p.refuse(now, e, dispatch.PastDeadline, "cannot start before its deadline")}
	}
	p.enqueue(now, e, e.pool.due(e))
	return p.settle(now, e.pool)
}

// admit checks the organisation's limit. It reports whether the request goes on at once.
func (p *Policy) admit(now time.Time, e *entry) ([]dispatch.Effect, bool) {
	e.tokens = e.pool.tokens(e)
	v := p.limit.Admit(now, e.req.Organisation, e.tokens)
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

// feasible reports whether a request may give its first token before its deadline.
func (p *Policy) feasible(now time.Time, e *entry) bool {
	least := time.Duration(e.pool.class(e.req.Class).prefill.or(0) / 2 * float64(time.Second))
	return now.Add(least).Before(e.req.Deadline)
}

// refuse forgets a request, which waits nowhere any more, and answers its caller.
func (p *Policy) refuse(now time.Time, e *entry, reason dispatch.RefusalReason, why string) dispatch.Effect {
	p.unqueue(now, e)
	p.undelay(e)
	p.forget(e)
	out := dispatch.Effect{Kind: dispatch.Refuse, ID: e.req.ID, Reason: reason, RetryAfter: leastRetry, Ran: e.ran, Why: why}
	switch {
	case e.retryAfter > 0:
		out.RetryAfter = e.retryAfter + time.Duration(p.rnd.Float64()/2*float64(e.retryAfter))
	case e.pool != nil && reason != dispatch.KeyWithdrawn:
		out.RetryAfter = e.pool.retryAfter(e.req.Class, p.slots(e.pool), p.rnd.Float64())
	}
	return out
}

// Cancel implements [dispatch.Policy].
func (p *Policy) Cancel(now time.Time, id request.ID) []dispatch.Effect {
	e, ok := p.entries[id]
	if !ok || e.server != "" {
		return nil
	}
	p.unqueue(now, e)
	p.undelay(e)
	p.forget(e)
	if e.pool == nil {
		return nil
	}
	return p.settle(now, e.pool)
}

// forget drops a request that is over.
func (p *Policy) forget(e *entry) {
	delete(p.entries, e.req.ID)
	p.retry.Forget(e.req.ID)
	if e.admitted {
		p.limit.Done(e.req.Organisation, float64(e.used)-e.tokens)
	}
}

func (p *Policy) undelay(e *entry) {
	if e.delayPlace >= 0 {
		e.pool.delayed.Remove(e.delayPlace)
	}
}

// Report implements [dispatch.Policy].
func (p *Policy) Report(now time.Time, l dispatch.Load) []dispatch.Effect {
	p.chooser.Report(now, l)
	return p.settleServer(now, l.Server)
}

// Server implements [dispatch.Policy].
func (p *Policy) Server(now time.Time, s dispatch.ServerState) []dispatch.Effect {
	p.chooser.Server(now, s)
	return p.settleServer(now, s.Server)
}

func (p *Policy) settleServer(now time.Time, name string) []dispatch.Effect {
	if pl := p.server[name]; pl != nil {
		return p.settle(now, pl)
	}
	return nil
}

// Tick implements [dispatch.Policy].
func (p *Policy) Tick(now time.Time) []dispatch.Effect {
	p.forgetPeers(now)
	for _, pl := range p.pools {
		pl.draw(now, p.slots(pl))
	}
	return p.drainAll(now)
}

// drainAll lets time pass in each pool.
func (p *Policy) drainAll(now time.Time) []dispatch.Effect {
	var out []dispatch.Effect
	for _, pl := range p.byName() {
		out = append(out, p.release(now, pl)...)
		for _, it := range pl.q.Advance(now) {
			p.waiting--
			out = append(out, p.refuse(now, p.entries[it.Request.ID], dispatch.PastDeadline, "its deadline passed before it could start"))
		}
		out = append(out, p.settle(now, pl)...)
	}
	return out
}

func (p *Policy) byName() []*pool {
	out := make([]*pool, 0, len(p.pools))
	for _, pl := range p.pools {
		out = append(out, pl)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}
