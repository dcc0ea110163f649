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
	"shallotramp/internal/traffic/queue"
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
	case !v.OK:
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

func (p *Policy) enqueue(now time.Time, e *entry, due time.Time) {
	e.item = &queue.Item{Request: e.req, Due: due, Cost: e.pool.estimate(e), Resumed: e.starts > 0}
	e.pool.q.Push(now, e.item)
	p.waiting++
}

// settle brings a pool's queue in line with its servers: starts what may start, sheds what must go.
func (p *Policy) settle(now time.Time, pl *pool) []dispatch.Effect {
	pl.assess(now, p.slots(pl))
	out := p.start(now, pl)
	for _, it := range pl.overload(now, p.slots(pl)) {
		out = append(out, p.shed(now, it, "more work of its tier waits than can start in time"))
	}
	for p.waiting > maxWaiting {
		it := p.lowest(now)
		if it == nil {
			break
		}
		out = append(out, p.shed(now, it, "the host's queue is full"))
	}
	return append(out, p.preempt(now, pl)...)
}

// lowest removes the least worthy waiting request of the host: of its lowest tier.
func (p *Policy) lowest(now time.Time) *queue.Item {
	var class *queue.Class
	var from *pool
	for _, pl := range p.pools {
		for _, c := range pl.q.Classes() {
			if c.Sheddable() > 0 && (class == nil || c.Tier > class.Tier || c.Tier == class.Tier && pl.name < from.name) {
				class, from = c, pl
			}
		}
	}
	if class == nil {
		return nil
	}
	if items := from.q.Shed(now, class, class.Sheddable()-1, queue.Cut{}); len(items) > 0 {
		return items[0]
	}
	return nil
}

// shed refuses an item that has left its queue.
func (p *Policy) shed(now time.Time, it *queue.Item, why string) dispatch.Effect {
	p.waiting--
	return p.refuse(now, p.entries[it.Request.ID], dispatch.Overload, why)
}

func (p *Policy) slots(pl *pool) int { return max(1, p.chooser.Usable(pl.name)*pl.concurrency) }

// start starts waiting work while servers have room.
func (p *Policy) start(now time.Time, pl *pool) []dispatch.Effect {
	var out []dispatch.Effect
	var aside []*entry
	slots := p.slots(pl)
	for len(aside) < setAside {
		s := queue.Supply{
			Slots: slots, Level: pl.level.applied, Free: pl.free(slots),
			Room: func(rank int) bool { return p.room(now, pl, rank, slots) },
		}
		it, floor := pl.q.Next(now, s)
		if it == nil {
			break
		}
		e := p.entries[it.Request.ID]
		name, why, ok := p.choose(now, e, floor)
		p.unqueue(now, e)
		if !ok {
			aside = append(aside, e)
			continue
		}
		if floor {
			why = floorWhy + why
		}
		out = append(out, p.run(now, e, name, why))
	}
	for _, e := range aside {
		p.enqueue(now, e, e.item.Due)
	}
	return out
}

// reserveShare is the share of a pool's places that only its first tier may use.
const reserveShare = 0.15

// room reports whether work of a rank may start: a server has room, and lower tiers leave the
// first one some places, so that it need not wait for a long answer to end.
func (p *Policy) room(now time.Time, pl *pool, rank, slots int) bool {
	if rank > 1 {
		usable := (1 - reserveShare) * float64(slots)
		own, all := pl.running()
		if float64(all) >= usable || float64(own) >= pl.quota(usable) {
			return false
		}
	}
	return p.chooser.Room(now, pl.name, rank)
}

// floorWhy begins the explanation of a start that a floor gave.
const floorWhy = "floor of the class; "

// choose asks for a server, at first without those that failed the request before.
// A floor's start may take the places that are kept for the first tier.
func (p *Policy) choose(now time.Time, e *entry, floor bool) (name, why string, ok bool) {
	if e.isolate {
		return p.chooseApart(now, e)
	}
	r := e.req
	if floor {
		first := *r
		first.Tier = e.pool.q.Classes()[0].Tier
		r = &first
	}
	if name, why, ok = p.chooser.Choose(now, r, e.exclude); ok || len(e.exclude) == 0 {
		return name, why, ok
	}
	if len(e.exclude) < p.chooser.Usable(e.req.Pool) {
		return "", "", false
	}
	return p.chooser.Choose(now, r, nil)
}

func (p *Policy) unqueue(now time.Time, e *entry) {
	if e.item != nil && e.item.Waiting() {
		e.pool.q.Remove(now, e.item)
		p.waiting--
	}
}

func (p *Policy) run(now time.Time, e *entry, server, why string) dispatch.Effect {
	e.server, e.started = server, now
	e.starts++
	e.generated = 0
	e.charged, e.told = 0, 0
	p.charge(now, e, e.item.Cost)
	e.pool.q.Started(now, e.req.Class)
	p.chooser.Started(now, e.req, server)
	p.suspect.Started(now, e.req.Fingerprint, e.req.ID, server)
	if e.isolate {
		p.isolated[server] = e.req.ID
	}
	p.offerVictim(e)
	return dispatch.Effect{Kind: dispatch.Start, ID: e.req.ID, Server: server, Attempt: e.starts, Why: why}
}

// charge adds expected work to what the organisation had, or takes it back when negative.
func (p *Policy) charge(now time.Time, e *entry, work float64) {
	e.charged += work
	e.pool.q.Charge(now, e.req.Class, e.req.Organisation, work)
}

// tell adds work that was done to what other hosts are told. Estimates are not told, so that totals never fall.
func (p *Policy) tell(now time.Time, e *entry, work float64) {
	if work > e.told {
		p.served.add(now, e.req.Class, e.req.Organisation, work-e.told)
		e.told = work
	}
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

// Progress implements [dispatch.Policy].
func (p *Policy) Progress(now time.Time, id request.ID, tokens int) {
	e, ok := p.entries[id]
	if !ok || e.server == "" {
		return
	}
	p.chooser.Progress(now, id, tokens)
	e.generated += tokens
	if e.victimPlace >= 0 {
		e.pool.victims.Fix(e.victimPlace)
	}
	if more := e.work() - e.charged; more > 0 {
		// The answer is longer than expected: charge what it will take in all.
		l := e.pool.class(e.req.Class).lengthsOf(e.req.Organisation)
		more += l.Remaining(e.before + e.generated)
		p.charge(now, e, more)
	}
	p.tell(now, e, e.work())
}

// Finish implements [dispatch.Policy].
func (p *Policy) Finish(now time.Time, r request.Result) []dispatch.Effect {
	e, ok := p.entries[r.ID]
	if !ok || e.server == "" {
		return nil
	}
	pl := e.pool
	p.chooser.Finished(now, e.req, r)
	p.suspect.Finished(now, r.ID, r)
	if p.isolated[e.server] == r.ID {
		delete(p.isolated, e.server)
	}
	d := p.retry.Decide(now, e.req, e.starts, r)
	p.ended(now, e, r)
	var out []dispatch.Effect
	switch r.Outcome {
	case request.Completed, request.Cancelled:
		p.forget(e)
	default:
		out = p.again(now, e, r, d)
	}
	return append(out, p.settle(now, pl)...)
}

// ended closes the books of an attempt.
func (p *Policy) ended(now time.Time, e *entry, r request.Result) {
	e.pool.q.Ended(e.req.Class)
	p.dropVictim(e)
	e.server = ""
	e.generated = max(e.generated, r.OutputTokens)
	work := e.work()
	switch {
	case r.Outcome == request.Unreachable || r.Outcome == request.Rejected:
		work = 0
	case !e.pool.engine:
		work = 1
	}
	p.charge(now, e, work-e.charged)
	p.tell(now, e, work)
	e.pool.allowance += preemptShare * work
	if r.Outcome != request.Unreachable && r.Outcome != request.Rejected {
		e.ran = request.MayHaveRun
	}
	e.before += r.Delivered
	e.used += r.PromptTokens + r.OutputTokens
	if r.Outcome == request.Completed {
		e.pool.observe(e, r)
	}
}

// observe learns from a completed request.
func (p *pool) observe(e *entry, r request.Result) {
	st := p.class(e.req.Class)
	st.service.add(r.Elapsed.Seconds())
	if p.engine {
		st.observe(e.req.Organisation, e.before+r.OutputTokens-r.Delivered)
	}
	if first := r.FirstToken - e.started.Sub(e.req.Arrived); e.starts == 1 && r.FirstToken > 0 && first > 0 {
		st.prefill.add(first.Seconds())
	}
}

// again tries an attempt that failed once more, or refuses the request.
func (p *Policy) again(now time.Time, e *entry, r request.Result, d retry.Decision) []dispatch.Effect {
	e.ran = max(e.ran, d.Ran)
	if !d.Again {
		e.reason, e.over = d.Reason, "no further try after "+r.Outcome.String()
		return p.give(now, e)
	}
	e.exclude = d.Exclude
	p.delay(e, now.Add(d.After))
	return p.release(now, e.pool)
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
		for _, it := range pl.q.Pass(now) {
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
