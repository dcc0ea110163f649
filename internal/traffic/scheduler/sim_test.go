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
	"shallotramp/internal/fleet/statesync"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/queue"
	"shallotramp/internal/traffic/request"
)

const (
	// Intervals and delay of the exchange of states between the hosts of a zone, and of their sums between zones.
	simExchangeInterval     = 250 * time.Millisecond
	simZoneExchangeInterval = 600 * time.Millisecond
	simExchangeDelay        = 20 * time.Millisecond
	// simHopDelay is the one-way delay between a host and an engine.
	simHopDelay = time.Millisecond
	// simTokenInterval and simPrefillPerToken are the times that an engine takes for one output and
	// one prompt token.
	simTokenInterval   = 25 * time.Millisecond
	simPrefillPerToken = 500 * time.Microsecond
	// simChunkTokens is the most tokens that one simulation event generates.
	simChunkTokens = 16
	// simEngineSlots is the configured concurrency of an engine, simMaxBatch what it runs at most.
	simEngineSlots = 8
	simMaxBatch    = 10
	// Times until a crashed engine restarts and until a reclaimed one is replaced, and between the
	// notice of the reclaim and the stop.
	simRestartTime   = 10 * time.Second
	simReplaceTime   = 2 * time.Minute
	simReclaimNotice = 5 * time.Second
	// simFaultStart is the time of the first fault after the start of the run.
	simFaultStart = 30 * time.Second
)

var simStart = time.Date(2026, 12, 4, 15, 0, 0, 0, time.UTC)

// workload is the traffic of one class in a deployment. load is the offered load relative to the
// deployment's capacity; prompt and output are mean numbers of tokens.
type workload struct {
	spec           object.ClassSpec
	load           float64
	prompt, output float64
}

// deployment describes the servers, hosts and traffic of one customer.
type deployment struct {
	zones          int
	servers, hosts int
	workloads      []workload
	// demandWeights holds the relative request rates of the organisations.
	demandWeights []float64
	// strictSlots limits engines to simEngineSlots requests at once; without it they run up to
	// simMaxBatch and slow down.
	strictSlots bool
}

// faults selects the faults that are injected into a run.
type faults struct {
	slowEngine, crashes, zoneLoss, staleReports bool
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

// simJob is a request in the simulation.
type simJob struct {
	req                    *request.Request
	host                   *simHost
	workload               *workload
	length, delivered      int
	firstStart, firstToken time.Time
	endedAt                time.Time
	completed, done        bool
	wastedTokens           int
	// The following fields describe the current attempt.
	engine                              *simEngine
	attempt, attemptOutput, resumedFrom int
	sentAt                              time.Time
	running                             bool
}

type simEngine struct {
	name     string
	zone     int
	slowdown float64
	down     bool
	running  map[*simJob]bool
	waiting  queue.Heap[*simJob]
}

// interval returns the time that the engine takes for one token of each running request.
func (e *simEngine) interval() time.Duration {
	return time.Duration(float64(simTokenInterval) * e.slowdown * max(1, float64(len(e.running))/simEngineSlots))
}

type simHost struct {
	name       string
	zone       string
	otherZones *statesync.Sum
	policy     dispatch.Policy
}

// sim simulates several hosts that share engines, in virtual time, and drives their policies.
type sim struct {
	deployment   deployment
	faults       faults
	now          time.Time
	end          time.Time
	seq          int
	events       queue.Heap[simEvent]
	rng          *rand.Rand
	hosts        []*simHost
	engines      []*simEngine
	engineByName map[string]*simEngine
	jobs         []*simJob
	jobByID      map[request.ID]*simJob
	snap         *release.Snapshot
	// startsByTier holds the start times by tier, except for starts through a floor, which are in
	// floorStartsByTier.
	startsByTier, floorStartsByTier map[int][]time.Time
	lastStart                       map[string]time.Time
	outputTokens                    int
	violations                      []string
	preemptions                     int
}

func newSim(d deployment, f faults, length time.Duration, seed uint64, policy func(i int, zone string) dispatch.Policy) *sim {
	s := &sim{
		deployment: d, faults: f, now: simStart, end: simStart.Add(length), rng: rand.New(rand.NewPCG(seed, 1)),
		events: queue.NewHeap(func(a, b simEvent) bool {
			if !a.at.Equal(b.at) {
				return a.at.Before(b.at)
			}
			return a.seq < b.seq
		}, nil),
		engineByName: map[string]*simEngine{}, jobByID: map[request.ID]*simJob{},
		startsByTier: map[int][]time.Time{}, floorStartsByTier: map[int][]time.Time{}, lastStart: map[string]time.Time{},
	}
	s.configure()
	for i := range d.hosts {
		zone := fmt.Sprintf("zone-%d", i%d.zones)
		h := &simHost{name: fmt.Sprintf("host-%d", i), zone: zone, otherZones: statesync.NewSum(), policy: policy(i, zone)}
		s.hosts = append(s.hosts, h)
		s.apply(h.policy.Configure(s.now, s.snap))
	}
	s.scheduleEvents()
	s.scheduleArrivals()
	return s
}

func (s *sim) configure() {
	set := object.NewSet()
	set.Pools["models"] = &object.PoolSpec{Name: "models", Protocol: object.Engine, Concurrency: simEngineSlots}
	route := &object.RouteSpec{Name: "model", Model: "model", Pool: "models", Idempotent: true}
	for i := range s.deployment.workloads {
		c := s.deployment.workloads[i].spec
		set.Classes[c.Name] = &c
		route.Classes = append(route.Classes, c.Name)
	}
	set.Routes["model"] = route
	for i := range s.deployment.demandWeights {
		n := fmt.Sprintf("org-%d", i)
		set.Organisations[n] = &object.OrganisationSpec{Name: n}
		set.Keys[n] = &object.KeySpec{Name: n, Organisation: n}
	}
	for i := range s.deployment.servers {
		e := &simEngine{
			name: fmt.Sprintf("engine-%02d", i), zone: i % s.deployment.zones, slowdown: 1, running: map[*simJob]bool{},
			waiting: queue.NewHeap(func(a, b *simJob) bool {
				if a.req.Tier != b.req.Tier {
					return a.req.Tier < b.req.Tier
				}
				return a.sentAt.Before(b.sentAt)
			}, nil),
		}
		s.engines = append(s.engines, e)
		s.engineByName[e.name] = e
		set.BackendServers[e.name] = &object.BackendServerSpec{
			Name: e.name, Pool: "models", Zone: fmt.Sprintf("zone-%d", e.zone),
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)), Reclaimable: e.zone == 0,
		}
	}
	s.snap = release.NewSnapshot(1, "sim", set)
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now.Add(d), do) }

func (s *sim) at(t time.Time, do func()) {
	s.seq++
	s.events.Push(simEvent{t, s.seq, do})
}

func (s *sim) every(offset, d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.after(d, again)
	}
	s.after(offset, again)
}

// scheduleEvents schedules ticks, state exchanges, load reports and faults.
func (s *sim) scheduleEvents() {
	for i, h := range s.hosts {
		offset := time.Duration(i) * 37 * time.Millisecond
		s.every(offset, 50*time.Millisecond, func() { s.apply(h.policy.Tick(s.now)) })
		s.every(offset, simExchangeInterval, func() { s.exchange(h) })
		s.every(offset, simZoneExchangeInterval, func() { s.exchangeZones(h) })
	}
	for i, e := range s.engines {
		s.every(time.Duration(i)*90*time.Millisecond, time.Second, func() { s.report(e) })
	}
	if s.faults.slowEngine {
		s.at(simStart.Add(simFaultStart), func() { s.engines[1].slowdown = 5 })
	}
	if s.faults.crashes {
		s.every(simFaultStart, time.Minute, func() { s.crash(s.engines[s.rng.IntN(len(s.engines))], simRestartTime) })
	}
	if s.faults.zoneLoss {
		s.at(simStart.Add(simFaultStart), s.reclaimZone)
	}
}

func (s *sim) exchange(h *simHost) {
	st := h.policy.State(s.now)
	st.Host, st.Zone, st.At = h.name, h.zone, s.now
	for _, o := range s.hosts {
		if o != h && o.zone == h.zone {
			s.after(simExchangeDelay, func() { s.apply(o.policy.Peer(s.now, st)) })
		}
		if o.zone != h.zone {
			o.otherZones.Put(s.now, &st)
		}
	}
}

// exchangeZones sends a host the summed state of the hosts in other zones.
func (s *sim) exchangeZones(h *simHost) {
	st := h.otherZones.State()
	st.Host, st.At = "other-zones", s.now
	s.after(2*simExchangeDelay, func() { s.apply(h.policy.Peer(s.now, st)) })
}

func (s *sim) report(e *simEngine) {
	if e.down {
		return
	}
	l := dispatch.Load{Server: e.name, At: s.now, Running: len(e.running), Waiting: e.waiting.Len(), Loaded: []string{"model"}}
	delay := 50 * time.Millisecond
	if s.faults.staleReports && s.now.Sub(simStart) >= simFaultStart {
		delay = 5 * time.Second
	}
	for _, h := range s.hosts {
		s.after(delay, func() { s.apply(h.policy.Report(s.now, l)) })
	}
}

func (s *sim) crash(e *simEngine, restart time.Duration) {
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
		s.endAttempt(j, request.Broken)
	}
	s.after(restart, func() { e.down = false })
}

// reclaimZone stops the servers of one zone after a short notice and replaces them later.
func (s *sim) reclaimZone() {
	for _, e := range s.engines {
		if e.zone != 0 {
			continue
		}
		notify := func(delay time.Duration, st dispatch.ServerState) {
			for _, h := range s.hosts {
				s.after(delay, func() { s.apply(h.policy.Server(s.now, st)) })
			}
		}
		st := dispatch.ServerState{Server: e.name, Zone: "zone-0", Leaving: true}
		notify(time.Second, st)
		s.after(simReclaimNotice, func() { s.crash(e, simReplaceTime) })
		st.Gone = true
		notify(simReclaimNotice+time.Second, st)
		notify(simReclaimNotice+simReplaceTime+time.Second, dispatch.ServerState{Server: e.name, Zone: "zone-0"})
	}
}

func (s *sim) exponential(mean float64) float64 { return s.rng.ExpFloat64() * mean }

// lognormalLength draws a length from a widely spread lognormal distribution with the mean.
func (s *sim) lognormalLength(mean float64) int {
	const sigma = 0.8
	return max(1, int(mean*math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2)))
}

// scheduleArrivals schedules the requests of each class as a Poisson process.
func (s *sim) scheduleArrivals() {
	var sum float64
	for _, o := range s.deployment.demandWeights {
		sum += o
	}
	for i := range s.deployment.workloads {
		w := &s.deployment.workloads[i]
		service := w.prompt*simPrefillPerToken.Seconds() + w.output*simTokenInterval.Seconds()
		gap := service / (w.load * float64(s.deployment.servers*simEngineSlots))
		for t := s.exponential(gap); t < s.end.Sub(simStart).Seconds(); t += s.exponential(gap) {
			s.scheduleRequest(w, simStart.Add(time.Duration(t*float64(time.Second))), sum)
		}
	}
}

func (s *sim) scheduleRequest(w *workload, t time.Time, sum float64) {
	org, x := 0, s.rng.Float64()*sum
	for x > s.deployment.demandWeights[org] && org < len(s.deployment.demandWeights)-1 {
		x -= s.deployment.demandWeights[org]
		org++
	}
	name := fmt.Sprintf("org-%d", org)
	j := &simJob{workload: w, length: s.lognormalLength(w.output), host: s.hosts[s.rng.IntN(len(s.hosts))]}
	j.req = &request.Request{
		ID: request.ID(fmt.Sprintf("r%06d", len(s.jobs))), Organisation: name, KeyName: name, Class: w.spec.Name, Tier: w.spec.Tier,
		Route: "model", Pool: "models", Model: "model", Idempotent: true, Streaming: s.rng.Float64() < 0.8, Attempts: 3,
		PromptTokens: s.lognormalLength(w.prompt), Arrived: t, Deadline: t.Add(w.spec.Deadline.Or(object.DefaultDeadline)),
		Fingerprint: s.rng.Uint64(), Zone: "zone-0",
	}
	s.jobs = append(s.jobs, j)
	s.jobByID[j.req.ID] = j
	s.at(t, func() { s.apply(j.host.policy.Arrive(s.now, j.req)) })
	s.at(j.req.Deadline, func() { s.endAtDeadline(j) })
}

// endAtDeadline ends a request at its deadline as the gateway does.
func (s *sim) endAtDeadline(j *simJob) {
	if j.done {
		return
	}
	j.done = true
	j.endedAt = s.now
	if j.engine != nil {
		s.endAttempt(j, request.Cancelled)
		return
	}
	s.apply(j.host.policy.Cancel(s.now, j.req.ID))
}

// apply carries out the effects of a policy as the gateway does.
func (s *sim) apply(effects []dispatch.Effect) {
	for _, e := range effects {
		j := s.jobByID[e.ID]
		switch e.Kind {
		case dispatch.Start:
			s.recordStart(j, e)
			s.send(j, e)
		case dispatch.Refuse:
			j.done = true
			j.endedAt = s.now
			s.checkRefusal(j, e)
		case dispatch.Preempt:
			s.preemptions++
			s.after(simHopDelay, func() {
				if j.engine != nil && j.engine.name == e.Server && !j.done {
					s.endAttempt(j, request.Preempted)
				}
			})
		}
	}
}

func (s *sim) recordStart(j *simJob, e dispatch.Effect) {
	s.lastStart[j.req.Class] = s.now
	if j.firstStart.IsZero() {
		j.firstStart = s.now
	}
	if strings.HasPrefix(e.Why, floorWhyPrefix) {
		s.floorStartsByTier[j.req.Tier] = append(s.floorStartsByTier[j.req.Tier], s.now)
		return
	}
	s.startsByTier[j.req.Tier] = append(s.startsByTier[j.req.Tier], s.now)
}

// checkRefusal records a violation if j is refused although a request of a lower tier was started
// beyond its floor after the hosts could exchange states that include j, or within the last
// simExchangeInterval.
func (s *sim) checkRefusal(j *simJob, e dispatch.Effect) {
	if e.Reason != dispatch.Overload && e.Reason != dispatch.PastDeadline {
		return
	}
	since := j.req.Arrived.Add(simZoneExchangeInterval + 2*simExchangeDelay)
	if latest := s.now.Add(-simExchangeInterval); since.After(latest) {
		since = latest
	}
	for tier, times := range s.startsByTier {
		if tier <= j.req.Tier || len(times) == 0 {
			continue
		}
		if last := times[len(times)-1]; !last.Before(since) && last.Before(s.now) {
			s.violations = append(s.violations, fmt.Sprintf("%s %s tier %d refused (%s, %s) after %s, but tier %d started a request %s earlier", s.now.Sub(simStart), j.req.ID, j.req.Tier, e.Reason, e.Why, s.now.Sub(j.req.Arrived), tier, s.now.Sub(last)))
		}
	}
}

// send sends an attempt to the engine that the policy chose.
func (s *sim) send(j *simJob, e dispatch.Effect) {
	j.attempt++
	j.engine, j.attemptOutput, j.resumedFrom, j.running, j.sentAt = s.engineByName[e.Server], 0, j.delivered, false, s.now
	n := j.attempt
	s.after(simHopDelay, func() {
		if j.attempt != n || j.engine == nil {
			return
		}
		if j.engine.down {
			s.endAttempt(j, request.Unreachable)
			return
		}
		j.engine.waiting.Push(j)
		s.fillSlots(j.engine)
	})
}

// fillSlots gives the free slots of an engine to the requests that wait there, in order of tier, then of the time they were sent.
func (s *sim) fillSlots(e *simEngine) {
	batch := simMaxBatch
	if s.deployment.strictSlots {
		batch = simEngineSlots
	}
	for len(e.running) < batch && e.waiting.Len() > 0 {
		j := e.waiting.Pop()
		e.running[j] = true
		j.running = true
		n := j.attempt
		prefill := time.Duration(float64(j.req.PromptTokens+j.delivered) * float64(simPrefillPerToken) * e.slowdown)
		s.after(prefill+e.interval(), func() { s.recordTokens(j, n, 1) })
	}
}

// recordTokens records generated tokens of a running attempt and schedules the next ones.
func (s *sim) recordTokens(j *simJob, attempt, tokens int) {
	if j.attempt != attempt || j.engine == nil {
		return
	}
	j.attemptOutput += tokens
	s.outputTokens += tokens
	if j.req.Streaming {
		j.delivered += tokens
	}
	if j.firstToken.IsZero() {
		j.firstToken = s.now
	}
	if j.resumedFrom+j.attemptOutput >= j.length {
		j.completed = true
		j.endedAt = s.now
		j.done = true
		s.endAttempt(j, request.Completed)
		return
	}
	if j.req.Streaming && j.attemptOutput > 1 {
		j.host.policy.Progress(s.now, j.req.ID, tokens)
	}
	next := min(simChunkTokens, j.length-j.resumedFrom-j.attemptOutput)
	s.after(time.Duration(next)*j.engine.interval(), func() { s.recordTokens(j, attempt, next) })
}

// endAttempt ends the current attempt of j and reports the result to the policy.
func (s *sim) endAttempt(j *simJob, o request.Outcome) {
	e := j.engine
	res := request.Result{
		ID: j.req.ID, Server: e.name, Outcome: o, OutputTokens: j.attemptOutput, Delivered: j.delivered - j.resumedFrom, Resumable: true,
		PromptTokens: j.req.PromptTokens, Elapsed: s.now.Sub(j.sentAt),
	}
	if !j.firstToken.IsZero() {
		res.FirstToken = j.firstToken.Sub(j.req.Arrived)
	}
	if o == request.Completed {
		res.Delivered, j.delivered = j.attemptOutput, j.length
	} else {
		j.wastedTokens += j.attemptOutput - res.Delivered
		if !j.req.Streaming {
			j.firstToken = time.Time{}
		}
	}
	j.engine = nil
	j.attempt++
	if j.running {
		delete(e.running, j)
		s.fillSlots(e)
	} else {
		for i := range e.waiting.Len() {
			if e.waiting.At(i) == j {
				e.waiting.Remove(i)
				break
			}
		}
	}
	s.after(simHopDelay, func() { s.apply(j.host.policy.Finish(s.now, res)) })
}

// run processes all events until the end of the run and returns the measurements.
func (s *sim) run() *outcome {
	for s.events.Len() > 0 && s.events.Peek().at.Before(s.end) {
		e := s.events.Pop()
		s.now = e.at
		e.do()
	}
	return s.measure()
}
