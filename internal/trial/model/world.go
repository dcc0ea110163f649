package model

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/placement"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/route"
)

const (
	// wordNear and wordFar are the times between two words of a host to others of its zone and of others.
	wordNear = 200 * time.Millisecond
	wordFar  = time.Second
	// tick is the time between two ticks of a policy.
	tick = 50 * time.Millisecond
	// service is the only service of a pattern.
	service = "pool"
)

// start is the beginning of each play.
var start = time.Unix(1_800_000_000, 0)

// Policy is what is played: a host's decisions and what it hears.
type Policy interface {
	dispatch.CorePolicy
	SetServers(now time.Time, list []backend.Server) []dispatch.Effect
	UpdatePeer(now time.Time, peer placement.HostState, hosts int) []dispatch.Effect
	State(now time.Time) placement.HostState
}

// PolicyFactory makes the policy of a host.
type PolicyFactory func(seed uint64, zone string, t *route.Table) Policy

// Placement makes the policy of the program.
func Placement(seed uint64, zone string, t *route.Table) Policy {
	p := placement.New(seed, placement.WithZone(zone), placement.WithRetryLimits(placement.RetryLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}))
	p.Configure(start, t)
	return p
}

// call is one request of a caller.
type call struct {
	class  *Class
	req    *request.Request
	host   *host
	sent   time.Time
	engine *engine
	tokens int
	// urgency orders calls at an engine.
	urgency int
	// first is when the first event came, last the latest event, pause the longest time between two.
	first, last time.Time
	pause       time.Duration
	over        bool
}

type host struct {
	name, zone string
	policy     Policy
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements [heap.Interface].
func (a *agenda) Push(x any) { *a = append(*a, x.(event)) }

// Pop implements [heap.Interface].
func (a *agenda) Pop() any {
	old := *a
	e := old[len(old)-1]
	*a = old[:len(old)-1]
	return e
}

// world is one play.
type world struct {
	p       Pattern
	rnd     *rand.Rand
	agenda  agenda
	seq     int
	hosts   []*host
	engines []*engine
	calls   map[request.ID]*call
	result  *Result
	serial  int
}

// Simulate plays a pattern with a policy and returns what callers got. Equal seeds give equal results.
func Simulate(p Pattern, seed uint64, m PolicyFactory) *Result {
	w := &world{
		p: p, rnd: rand.New(rand.NewPCG(seed, 7)), calls: map[request.ID]*call{},
		result: &Result{Pattern: p.Name, Classes: map[string]*ClassResult{}},
	}
	w.build(m, seed)
	for i := range p.Classes {
		w.result.Classes[p.Classes[i].Name] = &ClassResult{}
		w.arrivals(&p.Classes[i])
	}
	if p.Lost > 0 {
		w.at(start.Add(time.Duration(p.LostAt)), w.lose)
	}
	// Callers that came last are answered before the play ends.
	end := start.Add(time.Duration(p.Length) + 30*time.Second)
	for len(w.agenda) > 0 {
		e := heap.Pop(&w.agenda).(event)
		if e.at.After(end) {
			break
		}
		e.run(e.at)
	}
	for _, e := range w.engines {
		w.result.PrefillTokens += e.read
		w.result.RepeatedPrefillTokens += e.again
	}
	return w.result
}

func (w *world) at(t time.Time, run func(time.Time)) {
	w.seq++
	heap.Push(&w.agenda, event{t, w.seq, run})
}

func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }

func (w *world) build(m PolicyFactory, seed uint64) {
	t := route.New(1, nil, []*route.Service{{Name: service, Engine: &route.Engine{Slots: w.p.Engine.Slots, CacheTokens: w.p.Engine.CacheTokens}}},
		route.Limits{}, false, nil)
	for i := range w.p.Engines {
		w.engines = append(w.engines, &engine{
			kind: w.p.Engine.engine(), name: fmt.Sprintf("i-%03d", i), zone: zoneName(i * w.p.Zones / w.p.Engines),
			cache: map[uint64]time.Time{},
		})
	}
	for i := range w.p.Hosts {
		zone := zoneName(i * w.p.Zones / w.p.Hosts)
		h := &host{name: fmt.Sprintf("h-%02d", i), zone: zone, policy: m(seed+uint64(i), zone, t)}
		h.policy.SetServers(start, w.list())
		w.hosts = append(w.hosts, h)
		w.every(tick, func(now time.Time) { w.carry(now, h.policy.Tick(now)) })
		turn := 0
		w.every(wordNear, func(now time.Time) {
			turn++
			w.tell(now, h, turn%int(wordFar/wordNear) == 0)
		})
	}
}

func (w *world) list() []backend.Server {
	out := make([]backend.Server, 0, len(w.engines))
	for _, e := range w.engines {
		out = append(out, backend.Server{ID: e.name, Service: service, Zone: e.zone, Slots: e.kind.Slots, Addr: netip.MustParseAddrPort("10.0.0.1:80")})
	}
	return out
}

func (w *world) every(d time.Duration, run func(time.Time)) {
	end := start.Add(time.Duration(w.p.Length) + 30*time.Second)
	var again func(time.Time)
	again = func(now time.Time) {
		run(now)
		if now.Before(end) {
			w.at(now.Add(d), again)
		}
	}
	w.at(start.Add(time.Duration(w.rnd.Int64N(int64(d)))), again)
}

// tell gives a host's word to the others; far hosts hear it less often.
func (w *world) tell(now time.Time, h *host, far bool) {
	state := h.policy.State(now)
	state.Host, state.Zone = h.name, h.zone
	for _, o := range w.hosts {
		if o != h && (far || o.zone == h.zone) {
			w.carry(now, o.policy.UpdatePeer(now, state, len(w.hosts)))
		}
	}
}

// lose takes the last engines away, with what runs there.
func (w *world) lose(now time.Time) {
	n := len(w.engines) - w.p.Lost
	lost := w.engines[n:]
	w.engines = w.engines[:n]
	for _, h := range w.hosts {
		w.carry(now, h.policy.SetServers(now, w.list()))
	}
	for _, e := range lost {
		w.result.PrefillTokens += e.read
		for _, j := range append(append([]*job(nil), e.queue...), e.batch...) {
			w.end(now, j.call, request.Broken)
		}
		e.queue, e.batch = nil, nil
	}
}

// arrivals draws a class's next caller.
func (w *world) arrivals(c *Class) {
	var next func(time.Time)
	next = func(now time.Time) {
		since := now.Sub(start)
		if since > time.Duration(w.p.Length) {
			return
		}
		w.arrive(now, c)
		w.at(now.Add(w.pause(c, since)), next)
	}
	w.at(start.Add(w.pause(c, 0)), next)
}

func (w *world) pause(c *Class, since time.Duration) time.Duration {
	rate := c.Rate
	if c.Burst > 0 && since >= time.Duration(c.BurstAt) && since < time.Duration(c.BurstAt)+time.Duration(c.BurstFor) {
		rate *= c.Burst
	}
	return time.Duration(w.rnd.ExpFloat64() / rate * float64(time.Second))
}

func (w *world) arrive(now time.Time, c *Class) {
	w.serial++
	h := w.hosts[w.rnd.IntN(len(w.hosts))]
	parts, total := w.parts(c)
	r := &request.Request{
		ID: request.ID(fmt.Sprint(w.serial)), Organisation: "org", Class: c.Name, Tier: c.Tier, Pool: service,
		Idempotent: c.Resumable, Streaming: true, Attempts: 2, PromptTokens: total, MaxTokens: 4 * c.Tokens, Parts: parts,
		Arrived: now, Deadline: now.Add(time.Duration(c.Deadline)), Zone: h.zone, Goal: time.Duration(c.Goal), GapTarget: time.Duration(c.Gap),
	}
	cl := &call{class: c, req: r, host: h, sent: now, tokens: 1 + int(w.rnd.ExpFloat64()*float64(c.Tokens))}
	w.calls[r.ID] = cl
	w.result.Classes[c.Name].Offered++
	w.at(r.Deadline, func(now time.Time) { w.leave(now, cl) })
	w.carry(now, h.policy.Arrive(now, r))
}

// parts draws a prompt: shared parts and the request's own, which has a long tail.
func (w *world) parts(c *Class) ([]request.Part, int) {
	var out []request.Part
	total := 0
	key := hash(c.Name)
	for _, s := range c.Shared {
		key = key*31 + uint64(w.rnd.IntN(s.Things)) + 1
		out = append(out, request.Part{ID: key, Tokens: s.Tokens})
		total += s.Tokens
	}
	own := max(1, int(float64(c.Own)*math.Exp(w.rnd.NormFloat64()-0.5)))
	out = append(out, request.Part{ID: w.rnd.Uint64(), Tokens: own})
	return out, total + own
}

func hash(s string) uint64 {
	v := uint64(14695981039346656037)
	for _, b := range []byte(s) {
		v = (v ^ uint64(b)) * 1099511628211
	}
	return v
}

// carry does what a policy wants.
func (w *world) carry(now time.Time, effects []dispatch.Effect) {
	for _, e := range effects {
		c := w.calls[e.ID]
		if c == nil || c.over {
			continue
		}
		switch e.Kind {
		case dispatch.Start:
			w.send(now, c, e)
		case dispatch.Refuse:
			c.over = true
			w.result.Classes[c.class.Name].Refused++
		case dispatch.Preempt:
		}
	}
}

func (w *world) engine(name string) *engine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (w *world) send(now time.Time, c *call, eff dispatch.Effect) {
	e := w.engine(eff.Server)
	if e == nil {
		w.end(now, c, request.Unreachable)
		return
	}
	c.engine, c.urgency = e, eff.Urgency
	e.admit(now, c, w.engine(eff.FetchFrom), w.engines)
	w.work(now, e)
}

// work runs an engine's steps while it has something to do.
func (w *world) work(now time.Time, e *engine) {
	if e.busy {
		return
	}
	end, made, busy := e.step(now)
	if !busy {
		if !end.IsZero() && end.After(now) {
			w.at(end, func(now time.Time) { w.work(now, e) })
		}
		return
	}
	e.busy = true
	w.at(end, func(now time.Time) {
		e.busy = false
		for _, j := range made {
			w.token(now, e, j)
		}
		w.work(now, e)
	})
}

// token gives a caller what a step has made.
func (w *world) token(now time.Time, e *engine, j *job) {
	c := j.call
	if c.over || c.engine != e {
		return
	}
	done := j.made >= c.tokens
	if done || j.made%e.kind.TokensPerEvent == 0 {
		at := now
		if j.readable.After(now) {
			at = j.readable
		}
		w.deliver(at, c)
	}
	if done {
		e.drop(c)
		w.end(now, c, request.Completed)
	}
}

func (w *world) deliver(at time.Time, c *call) {
	if c.first.IsZero() {
		c.first = at
		c.host.policy.Progress(at, c.req.ID, 1)
	} else {
		c.pause = max(c.pause, at.Sub(c.last))
	}
	c.last = at
}

// end tells the host how an attempt ended.
func (w *world) end(now time.Time, c *call, o request.Outcome) {
	if c.over {
		return
	}
	if o == request.Completed {
		c.over = true
		w.result.Classes[c.class.Name].note(c)
	}
	res := request.Result{ID: c.req.ID, Outcome: o, Resumable: c.class.Resumable}
	if !c.first.IsZero() {
		res.Delivered = 1
	}
	if o == request.Broken && res.Delivered > 0 && c.class.Resumable {
		c.pause = max(c.pause, now.Sub(c.last))
	}
	w.carry(now, c.host.policy.Finish(now, res))
}

// leave lets a caller go whose patience is over.
func (w *world) leave(now time.Time, c *call) {
	if c.over {
		return
	}
	c.over = true
	w.result.Classes[c.class.Name].Abandoned++
	if c.engine == nil {
		w.carry(now, c.host.policy.Cancel(now, c.req.ID))
		return
	}
	c.engine.drop(c)
	w.carry(now, c.host.policy.Finish(now, request.Result{ID: c.req.ID, Outcome: request.Cancelled}))
}
