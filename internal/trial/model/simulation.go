package model

import (
	"cmp"
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
	// sameZoneStateInterval and otherZoneStateInterval are the usual intervals at which a host sends its state to the
	// hosts of its own zone and to those of other zones.
	sameZoneStateInterval  = 200 * time.Millisecond
	otherZoneStateInterval = time.Second
	// tickInterval is the interval between calls of [Policy].Tick.
	tickInterval = 50 * time.Millisecond
	// serviceName names the only service in a simulation.
	serviceName = "pool"
)

// startTime is the virtual time at which each simulation starts.
var startTime = time.Unix(1_800_000_000, 0)

// Policy is the code under simulation: it decides for one host where requests run, and exchanges state with the policies
// of other hosts.
type Policy interface {
	dispatch.CorePolicy
	SetServers(now time.Time, list []backend.Server) []dispatch.Effect
	UpdatePeer(now time.Time, peer placement.HostState, hosts int) []dispatch.Effect
	State(now time.Time) placement.HostState
}

// PolicyFactory returns a new policy for a host.
type PolicyFactory func(seed uint64, zone string, t *route.Table) Policy

// Placement returns the policy that the program uses.
func Placement(seed uint64, zone string, t *route.Table) Policy {
	p := placement.New(seed, placement.WithZone(zone), placement.WithRetryLimits(placement.RetryLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}))
	p.Configure(startTime, t)
	return p
}

// call is one request of a caller and its progress.
type call struct {
	class     *Class
	req       *request.Request
	host      *host
	arrivedAt time.Time
	engine    *engine
	// tokens is the length of the answer.
	tokens int
	// urgency orders requests in the queue of an engine; lower values come first.
	urgency int
	// firstEventAt and lastEventAt are the times of the first and the latest event, longestGap is the longest time
	// between two events.
	firstEventAt, lastEventAt time.Time
	longestGap                time.Duration
	events                    int
	done                      bool
}

type host struct {
	name, zone string
	policy     Policy
}

// event is a function to be run at a virtual time. Events of the same time run in the order of seq.
type event struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements [heap.Interface].
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements [heap.Interface].
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simulation is the state of one run.
type simulation struct {
	pattern Pattern
	rng     *rand.Rand
	events  eventQueue
	lastSeq int
	hosts   []*host
	engines []*engine
	calls   map[request.ID]*call
	result  *Result
	lastID  int
}

// Simulate runs a load pattern with a policy on each host. Equal seeds give equal results.
func Simulate(p Pattern, seed uint64, newPolicy PolicyFactory) *Result {
	sim := &simulation{
		pattern: p, rng: rand.New(rand.NewPCG(seed, 7)), calls: map[request.ID]*call{},
		result: &Result{Pattern: p.Name, Classes: map[string]*ClassResult{}},
	}
	sim.build(newPolicy, seed)
	for i := range p.Classes {
		sim.result.Classes[p.Classes[i].Name] = &ClassResult{}
		sim.scheduleArrivals(&p.Classes[i])
	}
	if p.Lost > 0 {
		sim.schedule(startTime.Add(time.Duration(p.LostAt)), sim.loseEngines)
	}
	// The simulation continues after the last arrival, so that the last requests can be answered.
	end := startTime.Add(time.Duration(p.Length) + 30*time.Second)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at.After(end) {
			break
		}
		e.run(e.at)
	}
	var speed, work float64
	for _, e := range sim.engines {
		sim.result.PrefillTokens += e.prefillTokens
		sim.result.RepeatedPrefillTokens += e.repeatedPrefillTokens
		speed += 1 / e.pace
		work += e.work.Seconds()
	}
	for _, e := range sim.engines {
		sim.result.BusiestShare = max(sim.result.BusiestShare, e.work.Seconds()*e.pace*speed/work)
	}
	return sim.result
}

func (sim *simulation) schedule(t time.Time, run func(time.Time)) {
	sim.lastSeq++
	heap.Push(&sim.events, event{t, sim.lastSeq, run})
}

func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }

func (sim *simulation) build(newPolicy PolicyFactory, seed uint64) {
	t := route.New(1, nil, []*route.Service{{Name: serviceName, Engine: &route.Engine{Slots: sim.pattern.Engine.Slots, CacheTokens: sim.pattern.Engine.CacheTokens}}},
		route.Limits{}, false, nil)
	for i := range sim.pattern.Engines {
		zone := zoneName(i * sim.pattern.Zones / sim.pattern.Engines)
		e := newEngine(sim.pattern.Engine.config(), fmt.Sprintf("i-%03d", i), zone)
		if n := len(sim.pattern.Paces); n > 0 {
			e.pace = sim.pattern.Paces[i%n]
		}
		if sim.pattern.MomentLength > 0 {
			sim.every(time.Duration(sim.pattern.MomentLength), func(time.Time) {
				e.moment = 1
				if sim.rng.Float64() < sim.pattern.MomentShare {
					e.moment = sim.pattern.MomentPace
				}
			})
		}
		sim.engines = append(sim.engines, e)
	}
	for i := range sim.pattern.Hosts {
		zone := zoneName(i * sim.pattern.Zones / sim.pattern.Hosts)
		h := &host{name: fmt.Sprintf("h-%02d", i), zone: zone, policy: newPolicy(seed+uint64(i), zone, t)}
		h.policy.SetServers(startTime, sim.serverList())
		sim.hosts = append(sim.hosts, h)
		sim.every(tickInterval, func(now time.Time) { sim.applyEffects(now, h.policy.Tick(now)) })
		round := 0
		same := cmp.Or(time.Duration(sim.pattern.SameZoneNews), sameZoneStateInterval)
		other := cmp.Or(time.Duration(sim.pattern.OtherZoneNews), otherZoneStateInterval)
		sim.every(same, func(now time.Time) {
			round++
			sim.sendState(now, h, round%max(int(other/same), 1) == 0)
		})
	}
}

func (sim *simulation) serverList() []backend.Server {
	out := make([]backend.Server, 0, len(sim.engines))
	for _, e := range sim.engines {
		out = append(out, backend.Server{ID: e.name, Service: serviceName, Zone: e.zone, Slots: e.cfg.Slots, Addr: netip.MustParseAddrPort("10.0.0.1:80")})
	}
	return out
}

func (sim *simulation) every(d time.Duration, run func(time.Time)) {
	end := startTime.Add(time.Duration(sim.pattern.Length) + 30*time.Second)
	var repeat func(time.Time)
	repeat = func(now time.Time) {
		run(now)
		if now.Before(end) {
			sim.schedule(now.Add(d), repeat)
		}
	}
	sim.schedule(startTime.Add(time.Duration(sim.rng.Int64N(int64(d)))), repeat)
}

// sendState sends the state of a host to the other hosts of its zone, or of all zones.
func (sim *simulation) sendState(now time.Time, h *host, allZones bool) {
	state := h.policy.State(now)
	state.Host, state.Zone = h.name, h.zone
	for _, o := range sim.hosts {
		if o != h && (allZones || o.zone == h.zone) {
			sim.applyEffects(now, o.policy.UpdatePeer(now, state, len(sim.hosts)))
		}
	}
}

// loseEngines removes the last engines of the list. The attempts that run there fail.
func (sim *simulation) loseEngines(now time.Time) {
	n := len(sim.engines) - sim.pattern.Lost
	lost := sim.engines[n:]
	sim.engines = sim.engines[:n]
	for _, h := range sim.hosts {
		sim.applyEffects(now, h.policy.SetServers(now, sim.serverList()))
	}
	for _, e := range lost {
		sim.result.PrefillTokens += e.prefillTokens
		for _, j := range append(append([]*job(nil), e.queue...), e.batch...) {
			sim.endAttempt(now, j.call, request.Broken)
		}
		e.queue, e.batch = nil, nil
	}
}

// scheduleArrivals schedules the requests of a class as a Poisson process. Each arrival schedules the next one.
func (sim *simulation) scheduleArrivals(c *Class) {
	var next func(time.Time)
	next = func(now time.Time) {
		elapsed := now.Sub(startTime)
		if elapsed > time.Duration(sim.pattern.Length) {
			return
		}
		sim.addRequest(now, c)
		sim.schedule(now.Add(sim.interarrivalTime(c, elapsed)), next)
	}
	sim.schedule(startTime.Add(sim.interarrivalTime(c, 0)), next)
}

func (sim *simulation) interarrivalTime(c *Class, elapsed time.Duration) time.Duration {
	rate := c.Rate
	if c.Burst > 0 && elapsed >= time.Duration(c.BurstAt) && elapsed < time.Duration(c.BurstAt)+time.Duration(c.BurstFor) {
		rate *= c.Burst
	}
	return time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second))
}

func (sim *simulation) addRequest(now time.Time, c *Class) {
	sim.lastID++
	h := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	parts, total := sim.promptParts(c)
	r := &request.Request{
		ID: request.ID(fmt.Sprint(sim.lastID)), Organisation: "org", Class: c.Name, Tier: c.Tier, Pool: serviceName,
		Idempotent: c.Resumable, Streaming: true, Attempts: 2, PromptTokens: total, MaxTokens: 4 * c.Tokens, Parts: parts,
		Arrived: now, Deadline: now.Add(time.Duration(c.Deadline)), Zone: h.zone, Goal: time.Duration(c.Goal), GapTarget: time.Duration(c.Gap),
	}
	newCall := &call{class: c, req: r, host: h, arrivedAt: now, tokens: 1 + int(sim.rng.ExpFloat64()*float64(c.Tokens))}
	sim.calls[r.ID] = newCall
	sim.result.Classes[c.Name].Offered++
	sim.schedule(r.Deadline, func(now time.Time) { sim.abandon(now, newCall) })
	sim.applyEffects(now, h.policy.Arrive(now, r))
}

// promptParts draws the parts of a prompt and returns them with their total number of tokens. The length of the last
// part, which is unique to the request, has a log-normal distribution.
func (sim *simulation) promptParts(c *Class) ([]request.Part, int) {
	var out []request.Part
	total := 0
	key := fnv1a(c.Name)
	for _, s := range c.Shared {
		key = key*31 + uint64(sim.rng.IntN(s.Things)) + 1
		out = append(out, request.Part{ID: key, Tokens: s.Tokens})
		total += s.Tokens
	}
	own := max(1, int(float64(c.Own)*math.Exp(sim.rng.NormFloat64()-0.5)))
	out = append(out, request.Part{ID: sim.rng.Uint64(), Tokens: own})
	return out, total + own
}

func fnv1a(s string) uint64 {
	v := uint64(14695981039346656037)
	for _, b := range []byte(s) {
		v = (v ^ uint64(b)) * 1099511628211
	}
	return v
}

// applyEffects carries out the decisions of a policy. It ignores preemptions.
func (sim *simulation) applyEffects(now time.Time, effects []dispatch.Effect) {
	for _, e := range effects {
		c := sim.calls[e.ID]
		if c == nil || c.done {
			continue
		}
		switch e.Kind {
		case dispatch.Start:
			sim.startCall(now, c, e)
		case dispatch.Refuse:
			c.done = true
			sim.result.Classes[c.class.Name].Refused++
		case dispatch.Preempt:
		}
	}
}

func (sim *simulation) engineByName(name string) *engine {
	for _, e := range sim.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (sim *simulation) startCall(now time.Time, c *call, eff dispatch.Effect) {
	e := sim.engineByName(eff.Server)
	if e == nil {
		sim.endAttempt(now, c, request.Unreachable)
		return
	}
	c.engine, c.urgency = e, eff.Urgency
	e.admit(now, c, sim.engineByName(eff.FetchFrom), sim.engines)
	sim.runSteps(now, e)
}

// runSteps schedules the steps of an engine for as long as it has work.
func (sim *simulation) runSteps(now time.Time, e *engine) {
	if e.busy {
		return
	}
	end, batch, worked := e.step(now)
	if !worked {
		if !end.IsZero() && end.After(now) {
			sim.schedule(end, func(now time.Time) { sim.runSteps(now, e) })
		}
		return
	}
	e.busy = true
	sim.schedule(end, func(now time.Time) {
		e.busy = false
		for _, j := range batch {
			sim.deliverToken(now, e, j)
		}
		sim.runSteps(now, e)
	})
}

// deliverToken handles a token that a step generated: it sends an event if one is complete, and ends the request after
// its last token.
func (sim *simulation) deliverToken(now time.Time, e *engine, j *job) {
	c := j.call
	if c.done || c.engine != e {
		return
	}
	done := j.generated >= c.tokens
	if done || j.generated%e.cfg.TokensPerEvent == 0 {
		at := now
		if j.readyAt.After(now) {
			at = j.readyAt
		}
		sim.recordEvent(at, c)
	}
	if done {
		e.remove(c)
		sim.endAttempt(now, c, request.Completed)
	}
}

// recordEvent records that the caller received an event.
func (sim *simulation) recordEvent(at time.Time, c *call) {
	if c.firstEventAt.IsZero() {
		c.firstEventAt = at
		if sim.pattern.Says {
			c.host.policy.Report(at, dispatch.Load{Server: c.engine.name, At: at, Running: len(c.engine.batch), Waiting: len(c.engine.queue), Slowdown: c.engine.pace * c.engine.moment})
		}
		c.host.policy.Progress(at, c.req.ID, 1)
	} else {
		c.longestGap = max(c.longestGap, at.Sub(c.lastEventAt))
	}
	c.lastEventAt = at
	c.events++
}

// endAttempt reports to the policy of the host how an attempt ended.
func (sim *simulation) endAttempt(now time.Time, c *call, o request.Outcome) {
	if c.done {
		return
	}
	if o == request.Completed {
		c.done = true
		sim.result.Classes[c.class.Name].recordAnswered(c)
	}
	res := request.Result{ID: c.req.ID, Outcome: o, Resumable: c.class.Resumable}
	res.Delivered = c.events
	if o == request.Broken && res.Delivered > 0 && c.class.Resumable {
		c.longestGap = max(c.longestGap, now.Sub(c.lastEventAt))
	}
	sim.applyEffects(now, c.host.policy.Finish(now, res))
}

// abandon cancels a request at its deadline if it is not over by then.
func (sim *simulation) abandon(now time.Time, c *call) {
	if c.done {
		return
	}
	c.done = true
	sim.result.Classes[c.class.Name].Abandoned++
	if c.engine == nil {
		sim.applyEffects(now, c.host.policy.Cancel(now, c.req.ID))
		return
	}
	c.engine.remove(c)
	sim.applyEffects(now, c.host.policy.Finish(now, request.Result{ID: c.req.ID, Outcome: request.Cancelled}))
}
