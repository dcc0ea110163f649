package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sort"
	"strings"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/fleet/exchange"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/queue"
	"shallotramp/internal/traffic/request"
)

const (
	simExchange   = 250 * time.Millisecond
	simZones      = 600 * time.Millisecond
	simDelay      = 20 * time.Millisecond
	simHop        = time.Millisecond
	simInterval   = 25 * time.Millisecond
	simPrefill    = 500 * time.Microsecond
	simChunk      = 16
	simSlots      = 8
	simBatch      = 10
	simRestart    = 10 * time.Second
	simReplace    = 2 * time.Minute
	simNotice     = 5 * time.Second
	simFaultBegin = 30 * time.Second
)

var simStart = time.Date(2026, 12, 4, 15, 0, 0, 0, time.UTC)

// workload is one class of a deployment's traffic; load is its offered work relative to capacity.
type workload struct {
	spec           object.ClassSpec
	load           float64
	prompt, output float64
}

// deployment is one customer's fleet.
type deployment struct {
	zones          int
	servers, hosts int
	work           []workload
	// offers relates what the organisations offer.
	offers []float64
	// strict engines run no more than their places at once; others take a few more and slow down.
	strict bool
}

// faults are what goes wrong in a run.
type faults struct {
	slow, crash, zone, stale bool
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

// simJob is a request in the simulation.
type simJob struct {
	req             *request.Request
	host            *simHost
	load            *workload
	length, got     int
	begun, first    time.Time
	ended           time.Time
	completed, over bool
	wasted          int
	// The attempt that runs now.
	engine               *simEngine
	number, output, from int
	sent                 time.Time
	running              bool
}

type simEngine struct {
	name    string
	zone    int
	slow    float64
	down    bool
	running map[*simJob]bool
	waiting queue.Heap[*simJob]
}

// interval is the time of one token of each running request.
func (e *simEngine) interval() time.Duration {
	return time.Duration(float64(simInterval) * e.slow * max(1, float64(len(e.running))/simSlots))
}

type simHost struct {
	name   string
	zone   string
	others *exchange.Sum
	policy dispatch.Policy
}

// sim drives the policies of several hosts that share engines, in virtual time.
type sim struct {
	d       deployment
	f       faults
	now     time.Time
	end     time.Time
	seq     int
	events  queue.Heap[simEvent]
	rnd     *rand.Rand
	hosts   []*simHost
	engines []*simEngine
	byName  map[string]*simEngine
	jobs    []*simJob
	byID    map[request.ID]*simJob
	snap    *release.Snapshot
	// starts holds the times of starts by tier, those by floors apart.
	starts, floors map[int][]time.Time
	lastSeen       map[string]time.Time
	outputs        int
	violations     []string
	preempts       int
}

func newSim(d deployment, f faults, length time.Duration, seed uint64, policy func(i int, zone string) dispatch.Policy) *sim {
	s := &sim{
		d: d, f: f, now: simStart, end: simStart.Add(length), rnd: rand.New(rand.NewPCG(seed, 1)),
		events: queue.NewHeap(func(a, b simEvent) bool {
			if !a.at.Equal(b.at) {
				return a.at.Before(b.at)
			}
			return a.seq < b.seq
		}, nil),
		byName: map[string]*simEngine{}, byID: map[request.ID]*simJob{},
		starts: map[int][]time.Time{}, floors: map[int][]time.Time{}, lastSeen: map[string]time.Time{},
	}
	s.configure()
	for i := range d.hosts {
		zone := fmt.Sprintf("zone-%d", i%d.zones)
		h := &simHost{name: fmt.Sprintf("host-%d", i), zone: zone, others: exchange.NewSum(), policy: policy(i, zone)}
		s.hosts = append(s.hosts, h)
		s.carry(h.policy.Configure(s.now, s.snap))
	}
	s.schedule()
	s.arrivals()
	return s
}

func (s *sim) configure() {
	set := object.NewSet()
	set.Pools["models"] = &object.PoolSpec{Name: "models", Protocol: object.Engine, Concurrency: simSlots}
	route := &object.RouteSpec{Name: "model", Model: "model", Pool: "models", Idempotent: true}
	for i := range s.d.work {
		c := s.d.work[i].spec
		set.Classes[c.Name] = &c
		route.Classes = append(route.Classes, c.Name)
	}
	set.Routes["model"] = route
	for i := range s.d.offers {
		n := fmt.Sprintf("org-%d", i)
		set.Organisations[n] = &object.OrganisationSpec{Name: n}
		set.Keys[n] = &object.KeySpec{Name: n, Organisation: n}
	}
	for i := range s.d.servers {
		e := &simEngine{
			name: fmt.Sprintf("engine-%02d", i), zone: i % s.d.zones, slow: 1, running: map[*simJob]bool{},
			waiting: queue.NewHeap(func(a, b *simJob) bool {
				if a.req.Tier != b.req.Tier {
					return a.req.Tier < b.req.Tier
				}
				return a.sent.Before(b.sent)
			}, nil),
		}
		s.engines = append(s.engines, e)
		s.byName[e.name] = e
		set.BackendServers[e.name] = &object.BackendServerSpec{
			Name: e.name, Pool: "models", Zone: fmt.Sprintf("zone-%d", e.zone),
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)), Reclaimable: e.zone == 0,
		}
	}
	s.snap = release.NewSnapshot(1, "sim", set)
}

func (s *sim) at(d time.Duration, do func()) { s.on(s.now.Add(d), do) }

func (s *sim) on(t time.Time, do func()) {
	s.seq++
	s.events.Push(simEvent{t, s.seq, do})
}

func (s *sim) every(offset, d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.at(d, again)
	}
	s.at(offset, again)
}

// schedule plans ticks, exchanges, reports and faults.
func (s *sim) schedule() {
	for i, h := range s.hosts {
		offset := time.Duration(i) * 37 * time.Millisecond
		s.every(offset, 50*time.Millisecond, func() { s.carry(h.policy.Tick(s.now)) })
		s.every(offset, simExchange, func() { s.exchange(h) })
		s.every(offset, simZones, func() { s.exchangeZones(h) })
	}
	for i, e := range s.engines {
		s.every(time.Duration(i)*90*time.Millisecond, time.Second, func() { s.report(e) })
	}
	if s.f.slow {
		s.on(simStart.Add(simFaultBegin), func() { s.engines[1].slow = 5 })
	}
	if s.f.crash {
		s.every(simFaultBegin, time.Minute, func() { s.crash(s.engines[s.rnd.IntN(len(s.engines))], simRestart) })
	}
	if s.f.zone {
		s.on(simStart.Add(simFaultBegin), s.reclaim)
	}
}

func (s *sim) exchange(h *simHost) {
	st := h.policy.State(s.now)
	st.Host, st.Zone, st.At = h.name, h.zone, s.now
	for _, o := range s.hosts {
		if o != h && o.zone == h.zone {
			s.at(simDelay, func() { s.carry(o.policy.Peer(s.now, st)) })
		}
		if o.zone != h.zone {
			o.others.Put(s.now, &st)
		}
	}
}

// exchangeZones tells a host the sum of the hosts of other zones.
func (s *sim) exchangeZones(h *simHost) {
	st := h.others.State()
	st.Host, st.At = "other-zones", s.now
	s.at(2*simDelay, func() { s.carry(h.policy.Peer(s.now, st)) })
}

func (s *sim) report(e *simEngine) {
	if e.down {
		return
	}
	l := dispatch.Load{Server: e.name, At: s.now, Running: len(e.running), Waiting: e.waiting.Len(), Loaded: []string{"model"}}
	delay := 50 * time.Millisecond
	if s.f.stale && s.now.Sub(simStart) >= simFaultBegin {
		delay = 5 * time.Second
	}
	for _, h := range s.hosts {
		s.at(delay, func() { s.carry(h.policy.Report(s.now, l)) })
	}
}

func (s *sim) crash(e *simEngine, back time.Duration) {
	if e.down {
		return
	}
	e.down = true
	var lost []*simJob
	for j := range e.running {
		lost = append(lost, j)
	}
	for e.waiting.Len() > 0 {
		lost = append(lost, e.waiting.Pop())
	}
	sort.Slice(lost, func(i, k int) bool { return lost[i].req.ID < lost[k].req.ID })
	e.running = map[*simJob]bool{}
	for _, j := range lost {
		s.attemptEnd(j, request.Broken)
	}
	s.at(back, func() { e.down = false })
}

// reclaim takes the servers of one zone away with a short notice and replaces them later.
func (s *sim) reclaim() {
	for _, e := range s.engines {
		if e.zone != 0 {
			continue
		}
		tell := func(delay time.Duration, st dispatch.ServerState) {
			for _, h := range s.hosts {
				s.at(delay, func() { s.carry(h.policy.Server(s.now, st)) })
			}
		}
		st := dispatch.ServerState{Server: e.name, Zone: "zone-0", Leaving: true}
		tell(time.Second, st)
		s.at(simNotice, func() { s.crash(e, simReplace) })
		st.Gone = true
		tell(simNotice+time.Second, st)
		tell(simNotice+simReplace+time.Second, dispatch.ServerState{Server: e.name, Zone: "zone-0"})
	}
}

func (s *sim) exp(mean float64) float64 { return s.rnd.ExpFloat64() * mean }

// lognormal returns a length with the mean, far from equal ones.
func (s *sim) lognormal(mean float64) int {
	const sigma = 0.8
	return max(1, int(mean*math.Exp(sigma*s.rnd.NormFloat64()-sigma*sigma/2)))
}

// arrivals plans the requests of each class, a Poisson stream.
func (s *sim) arrivals() {
	var sum float64
	for _, o := range s.d.offers {
		sum += o
	}
	for i := range s.d.work {
		w := &s.d.work[i]
		service := w.prompt*simPrefill.Seconds() + w.output*simInterval.Seconds()
		gap := service / (w.load * float64(s.d.servers*simSlots))
		for t := s.exp(gap); t < s.end.Sub(simStart).Seconds(); t += s.exp(gap) {
			s.plan(w, simStart.Add(time.Duration(t*float64(time.Second))), sum)
		}
	}
}

func (s *sim) plan(w *workload, t time.Time, sum float64) {
	org, x := 0, s.rnd.Float64()*sum
	for x > s.d.offers[org] && org < len(s.d.offers)-1 {
		x -= s.d.offers[org]
		org++
	}
	name := fmt.Sprintf("org-%d", org)
	j := &simJob{load: w, length: s.lognormal(w.output), host: s.hosts[s.rnd.IntN(len(s.hosts))]}
	j.req = &request.Request{
		ID: request.ID(fmt.Sprintf("r%06d", len(s.jobs))), Organisation: name, KeyName: name, Class: w.spec.Name, Tier: w.spec.Tier,
		Route: "model", Pool: "models", Model: "model", Idempotent: true, Streaming: s.rnd.Float64() < 0.8, Attempts: 3,
		PromptTokens: s.lognormal(w.prompt), Arrived: t, Deadline: t.Add(w.spec.Deadline.Or(object.DefaultDeadline)),
		Fingerprint: s.rnd.Uint64(), Zone: "zone-0",
	}
	s.jobs = append(s.jobs, j)
	s.byID[j.req.ID] = j
	s.on(t, func() { s.carry(j.host.policy.Arrive(s.now, j.req)) })
	s.on(j.req.Deadline, func() { s.deadline(j) })
}

// deadline ends a request as the gateway does.
func (s *sim) deadline(j *simJob) {
	if j.over {
		return
	}
	j.over = true
	j.ended = s.now
	if j.engine != nil {
		s.attemptEnd(j, request.Cancelled)
		return
	}
	s.carry(j.host.policy.Cancel(s.now, j.req.ID))
}

// carry does what the gateway of h does with effects.
func (s *sim) carry(effects []dispatch.Effect) {
	for _, e := range effects {
		j := s.byID[e.ID]
		switch e.Kind {
		case dispatch.Start:
			s.noteStart(j, e)
			s.send(j, e)
		case dispatch.Refuse:
			j.over = true
			j.ended = s.now
			s.judge(j, e)
		case dispatch.Preempt:
			s.preempts++
			s.at(simHop, func() {
				if j.engine != nil && j.engine.name == e.Server && !j.over {
					s.attemptEnd(j, request.Preempted)
				}
			})
		}
	}
}

func (s *sim) noteStart(j *simJob, e dispatch.Effect) {
	s.lastSeen[j.req.Class] = s.now
	if j.begun.IsZero() {
		j.begun = s.now
	}
	if strings.HasPrefix(e.Why, floorWhy) {
		s.floors[j.req.Tier] = append(s.floors[j.req.Tier], s.now)
		return
	}
	s.starts[j.req.Tier] = append(s.starts[j.req.Tier], s.now)
}

// judge notes a refusal of a higher tier while work of a lower one was started, beyond its floor, that could have been left.
func (s *sim) judge(j *simJob, e dispatch.Effect) {
	if e.Reason != dispatch.Overload && e.Reason != dispatch.PastDeadline {
		return
	}
	from := j.req.Arrived.Add(simZones + 2*simDelay)
	if latest := s.now.Add(-simExchange); from.After(latest) {
		from = latest
	}
	for tier, times := range s.starts {
		if tier <= j.req.Tier || len(times) == 0 {
			continue
		}
		if last := times[len(times)-1]; !last.Before(from) && last.Before(s.now) {
			s.violations = append(s.violations, fmt.Sprintf("%s %s tier %d refused (%s, %s) after %s; tier %d started %s before", s.now.Sub(simStart), j.req.ID, j.req.Tier, e.Reason, e.Why, s.now.Sub(j.req.Arrived), tier, s.now.Sub(last)))
		}
	}
}

// send starts an attempt on an engine.
func (s *sim) send(j *simJob, e dispatch.Effect) {
	j.number++
	j.engine, j.output, j.from, j.running, j.sent = s.byName[e.Server], 0, j.got, false, s.now
	n := j.number
	s.at(simHop, func() {
		if j.number != n || j.engine == nil {
			return
		}
		if j.engine.down {
			s.attemptEnd(j, request.Unreachable)
			return
		}
		j.engine.waiting.Push(j)
		s.fill(j.engine)
	})
}

// fill gives free slots of an engine to what waits there, in order of priority.
func (s *sim) fill(e *simEngine) {
	batch := simBatch
	if s.d.strict {
		batch = simSlots
	}
	for len(e.running) < batch && e.waiting.Len() > 0 {
		j := e.waiting.Pop()
		e.running[j] = true
		j.running = true
		n := j.number
		prefill := time.Duration(float64(j.req.PromptTokens+j.got) * float64(simPrefill) * e.slow)
		s.at(prefill+e.interval(), func() { s.generated(j, n, 1) })
	}
}

// generated notes tokens of a running attempt and plans the next ones.
func (s *sim) generated(j *simJob, attempt, tokens int) {
	if j.number != attempt || j.engine == nil {
		return
	}
	j.output += tokens
	s.outputs += tokens
	if j.req.Streaming {
		j.got += tokens
	}
	if j.first.IsZero() {
		j.first = s.now
	}
	if j.from+j.output >= j.length {
		j.completed = true
		j.ended = s.now
		j.over = true
		s.attemptEnd(j, request.Completed)
		return
	}
	if j.req.Streaming && j.output > 1 {
		j.host.policy.Progress(s.now, j.req.ID, tokens)
	}
	next := min(simChunk, j.length-j.from-j.output)
	s.at(time.Duration(next)*j.engine.interval(), func() { s.generated(j, attempt, next) })
}

// attemptEnd ends the running attempt of j and tells the policy.
func (s *sim) attemptEnd(j *simJob, o request.Outcome) {
	e := j.engine
	res := request.Result{
		ID: j.req.ID, Server: e.name, Outcome: o, OutputTokens: j.output, Delivered: j.got - j.from, Resumable: true,
		PromptTokens: j.req.PromptTokens, Elapsed: s.now.Sub(j.sent),
	}
	if !j.first.IsZero() {
		res.FirstToken = j.first.Sub(j.req.Arrived)
	}
	if o == request.Completed {
		res.Delivered, j.got = j.output, j.length
	} else {
		j.wasted += j.output - res.Delivered
		if !j.req.Streaming {
			j.first = time.Time{}
		}
	}
	j.engine = nil
	j.number++
	if j.running {
		delete(e.running, j)
		s.fill(e)
	} else {
		for i := range e.waiting.Len() {
			if e.waiting.At(i) == j {
				e.waiting.Remove(i)
				break
			}
		}
	}
	s.at(simHop, func() { s.carry(j.host.policy.Finish(s.now, res)) })
}

// run lets the time pass.
func (s *sim) run() *outcome {
	for s.events.Len() > 0 && s.events.Peek().at.Before(s.end) {
		e := s.events.Pop()
		s.now = e.at
		e.do()
	}
	return s.measure()
}
