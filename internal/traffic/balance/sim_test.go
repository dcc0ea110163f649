package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

const (
	simSlots            = 8                     // requests that an engine runs at the same time
	simTokenInterval    = 25 * time.Millisecond // between two tokens of an answer
	simPrefillPerToken  = 200 * time.Microsecond
	simNetworkDelay     = time.Millisecond
	simStateInterval    = 500 * time.Millisecond // between two reports of a host to its peers
	simCacheBlocks      = 600                    // blocks that an engine caches
	simRestartTime      = 10 * time.Second
	simCallerTimeout    = 20 * time.Second
	simMeanOutputTokens = 120.0
	simMaxOutputTokens  = 480
	simPromptTokens     = 2048
	simCacheEventDelay  = time.Second
	simBetweenTokens    = 76 * time.Millisecond // target of the class
)

// chooser is the part of [Balancer] that simulated hosts use.
type chooser interface {
	Choose(now time.Time, r *request.Request, exclude []string) (server, why string, ok bool)
	Started(now time.Time, r *request.Request, server string)
	Progress(now time.Time, id request.ID, tokens int)
	Finished(now time.Time, r *request.Request, res request.Result)
	Report(now time.Time, l dispatch.Load)
	Peer(now time.Time, h dispatch.HostState)
	Outstanding() map[string]int
	Cache(now time.Time, e dispatch.CacheEvent)
	PartialCaches(now time.Time) []string
}

// roundRobin is the baseline. It chooses servers in turn, as long as this host has fewer requests on them than they have
// slots.
type roundRobin struct {
	names   []string
	next    int
	running map[string]int
}

func newRoundRobin(s *release.Snapshot) *roundRobin {
	c := &roundRobin{running: map[string]int{}}
	for _, b := range s.Servers("models") {
		c.names = append(c.names, b.Name)
	}
	return c
}

func (c *roundRobin) Choose(_ time.Time, _ *request.Request, exclude []string) (server, why string, ok bool) {
	for range c.names {
		s := c.names[c.next%len(c.names)]
		c.next++
		if c.running[s] < simSlots && !slices.Contains(exclude, s) {
			return s, "", true
		}
	}
	return "", "", false
}

func (c *roundRobin) Started(_ time.Time, _ *request.Request, server string) { c.running[server]++ }

func (c *roundRobin) Finished(_ time.Time, _ *request.Request, res request.Result) {
	c.running[res.Server]--
}
func (c *roundRobin) Progress(time.Time, request.ID, int)  {}
func (c *roundRobin) Report(time.Time, dispatch.Load)      {}
func (c *roundRobin) Peer(time.Time, dispatch.HostState)   {}
func (c *roundRobin) Outstanding() map[string]int          { return nil }
func (c *roundRobin) Cache(time.Time, dispatch.CacheEvent) {}
func (c *roundRobin) PartialCaches(time.Time) []string     { return nil }

// simConfig configures a simulation.
type simConfig struct {
	servers, hosts, zones int
	// load is the offered work as a share of what the servers can do, with a slowed server at its lower speed.
	load       float64
	duration   time.Duration
	slowServer bool
	crashes    bool
	reportAge  time.Duration
	// eventLoss is the share of cache events that are lost.
	eventLoss float64
	// sharedPrefixes is the share of requests whose prompts begin as those of others in one of 20 groups.
	sharedPrefixes float64
	seed           uint64
	// useBalancer makes hosts choose with a Balancer instead of round robin.
	useBalancer bool
	// hedgeAfter is the time without a first token after which a second attempt of a request starts on another server.
	// 0 is never.
	hedgeAfter time.Duration
	// meanOutput is the mean length of an answer; 0 is simMeanOutputTokens.
	meanOutput float64
}

// simResult holds the measurements of a simulation. waits are times to the first token in seconds. sentToFull counts the
// requests among those sent that reached an engine without a free slot. hedgePrefillTokens counts the prompt tokens that
// were prefilled for the cancelled one of two attempts.
type simResult struct {
	waits                            []float64
	completed, lost                  int
	outputTokens, wastedTokens       int
	promptTokens, cachedTokens       int
	sentToFull, sent, maxEngineQueue int
	hedged, hedgePrefillTokens       int
}

func (r *simResult) waitQuantile(q float64) float64 {
	if len(r.waits) == 0 {
		return math.Inf(1)
	}
	sort.Float64s(r.waits)
	return r.waits[int(q*float64(len(r.waits)-1))]
}

// simEvent calls run at a virtual time. Events of the same time run in the order of seq.
type simEvent struct {
	at  time.Time
	seq int
	run func()
}

// simQueue orders events. It implements [heap.Interface].
type simQueue []simEvent

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q simQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q *simQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simJob is a request, or the second attempt of a hedged request. attempt counts its starts on engines.
type simJob struct {
	req          *request.Request
	host         *simHost
	outputTokens int
	generated    int
	firstToken   time.Time
	exclude      []string
	engine       *simEngine
	attempt      int
	cachedTokens int
	ended        bool
	// otherAttempt is the other job of a hedged request.
	otherAttempt *simJob
}

type simHost struct {
	name, zone string
	chooser    chooser
	queue      []*simJob
}

type simEngine struct {
	name     string
	slowdown float64
	down     bool
	running  map[*simJob]bool
	waiting  []*simJob
	cache    *simplelru.LRU[uint64, struct{}]
	sequence uint64
}

// sim simulates hosts that send requests to engines in virtual time.
type sim struct {
	cfg          simConfig
	now          time.Time
	events       simQueue
	seq          int
	rng          *rand.Rand
	hosts        []*simHost
	engines      []*simEngine
	engineByName map[string]*simEngine
	result       simResult
	jobCount     int
}

func runSim(cfg simConfig) *simResult {
	if cfg.meanOutput == 0 {
		cfg.meanOutput = simMeanOutputTokens
	}
	s := &sim{cfg: cfg, now: start, rng: rand.New(rand.NewPCG(cfg.seed, 3)), engineByName: map[string]*simEngine{}}
	s.build()
	s.after(0, s.arrive)
	s.every(simStateInterval, s.exchangeState)
	s.every(time.Second, s.report)
	s.every(20*time.Millisecond, func() {
		for _, h := range s.hosts {
			s.drain(h)
		}
	})
	if cfg.crashes {
		s.every(time.Minute, s.crash)
	}
	end := start.Add(cfg.duration + simCallerTimeout)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return &s.result
}

// after schedules run in d.
func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, run})
}

func (s *sim) every(d time.Duration, run func()) {
	s.after(d, func() { run(); s.every(d, run) })
}

func (s *sim) build() {
	set := object.NewSet()
	set.Pools["models"] = &object.PoolSpec{Name: "models", Concurrency: simSlots}
	set.Classes["chat"] = &object.ClassSpec{Name: "chat", Tier: 1, BetweenTokens: object.Duration(simBetweenTokens)}
	set.Routes["briefs"] = &object.RouteSpec{Name: "briefs", Model: "m", Pool: "models", Classes: []string{"none", "chat"}}
	// The class "none" has the top tier, so that requests of the measured class are not sent beyond the limit.
	set.Classes["none"] = &object.ClassSpec{Name: "none", Tier: 0}
	for i := range s.cfg.servers {
		e := &simEngine{name: fmt.Sprintf("s%02d", i), slowdown: 1, running: map[*simJob]bool{}}
		e.cache, _ = simplelru.NewLRU[uint64, struct{}](simCacheBlocks, nil)
		if s.cfg.slowServer && i == 0 {
			e.slowdown = 5
		}
		s.engines = append(s.engines, e)
		s.engineByName[e.name] = e
		set.BackendServers[e.name] = &object.BackendServerSpec{Name: e.name, Pool: "models", Zone: fmt.Sprint(i % s.cfg.zones)}
	}
	snap := release.NewSnapshot(1, "", set)
	for i := range s.cfg.hosts {
		h := &simHost{name: fmt.Sprint(i), zone: fmt.Sprint(i % s.cfg.zones)}
		h.chooser = newRoundRobin(snap)
		if s.cfg.useBalancer {
			b := New(h.zone, s.cfg.seed<<8+uint64(i))
			b.Configure(s.now, snap)
			h.chooser = b
		}
		s.hosts = append(s.hosts, h)
	}
}

// arrive adds one request and schedules the next.
func (s *sim) arrive() {
	if s.now.Sub(start) >= s.cfg.duration {
		return
	}
	capacity := 0.0
	for _, e := range s.engines {
		capacity += simSlots / e.slowdown
	}
	perRequest := s.cfg.meanOutput*simTokenInterval.Seconds() + simPromptTokens*simPrefillPerToken.Seconds()
	gap := perRequest / (s.cfg.load * capacity)
	s.after(time.Duration(s.rng.ExpFloat64()*gap*float64(time.Second)), s.arrive)
	s.jobCount++
	j := &simJob{host: s.hosts[s.rng.IntN(len(s.hosts))]}
	j.outputTokens = min(simMaxOutputTokens, max(4, int(s.cfg.meanOutput*math.Exp(0.8*s.rng.NormFloat64()-0.32))))
	j.req = &request.Request{
		ID: request.ID(fmt.Sprint(s.jobCount)), Class: "chat", Tier: 1, Pool: "models", Model: "m", Streaming: true,
		PromptTokens: simPromptTokens, Arrived: s.now, Deadline: s.now.Add(simCallerTimeout), Prefix: s.newPrefix(), Zone: j.host.zone,
	}
	j.host.queue = append(j.host.queue, j)
	s.after(simCallerTimeout, func() { s.callerTimeout(j) })
	if s.cfg.hedgeAfter > 0 {
		s.after(s.cfg.hedgeAfter, func() { s.hedge(j) })
	}
	s.drain(j.host)
}

// hedge starts a second attempt on another server for a running request that has no token yet.
func (s *sim) hedge(j *simJob) {
	if j.ended || j.engine == nil || !j.firstToken.IsZero() {
		return
	}
	r := *j.req
	r.ID += "h"
	second := &simJob{req: &r, host: j.host, outputTokens: j.outputTokens, exclude: []string{j.engine.name}, otherAttempt: j}
	j.otherAttempt = second
	j.host.queue = append(j.host.queue, second)
	s.after(simCallerTimeout-s.cfg.hedgeAfter, func() { s.callerTimeout(second) })
	s.drain(j.host)
}

// cancelOther ends the other attempt of a hedged request when j generates its first token.
func (s *sim) cancelOther(j *simJob) {
	other := j.otherAttempt
	if other == nil || other.ended {
		return
	}
	other.ended = true
	j.otherAttempt = nil
	s.result.hedged++
	if other.engine == nil {
		h := other.host
		h.queue = slices.DeleteFunc(h.queue, func(q *simJob) bool { return q == other })
		return
	}
	e := other.engine
	if e.running[other] {
		s.result.hedgePrefillTokens += simPromptTokens - other.cachedTokens
	}
	s.removeFromEngine(e, other)
	other.host.chooser.Finished(s.now, other.req, request.Result{ID: other.req.ID, Server: e.name, Outcome: request.Cancelled})
	s.drain(other.host)
}

// newPrefix returns the blocks of a prompt. The share sharedPrefixes of prompts belong to a group, and have all but the
// last two blocks in common with it.
func (s *sim) newPrefix() []uint64 {
	group := s.rng.Uint64()
	if s.rng.Float64() < s.cfg.sharedPrefixes {
		group = uint64(s.rng.IntN(20))
	}
	var out []uint64
	for i := range uint64(simPromptTokens / blockTokens) {
		if i >= simPromptTokens/blockTokens-2 {
			group = s.rng.Uint64()
		}
		out = append(out, group*31+i)
	}
	return out
}

// drain starts waiting requests of a host while a server has room.
func (s *sim) drain(h *simHost) {
	for len(h.queue) > 0 {
		j := h.queue[0]
		name, _, ok := h.chooser.Choose(s.now, j.req, j.exclude)
		if !ok {
			return
		}
		h.queue = h.queue[1:]
		h.chooser.Started(s.now, j.req, name)
		e := s.engineByName[name]
		j.attempt++
		j.engine = e
		attempt := j.attempt
		s.after(simNetworkDelay, func() {
			if j.attempt == attempt && !j.ended {
				s.arriveAtEngine(e, j)
			}
		})
	}
}

// endAttempt ends an attempt. After a failure it queues the request again.
func (s *sim) endAttempt(j *simJob, o request.Outcome) {
	e := j.engine
	j.engine = nil
	s.removeFromEngine(e, j)
	res := request.Result{ID: j.req.ID, Server: e.name, Outcome: o, OutputTokens: j.generated, Delivered: j.generated, PromptTokens: simPromptTokens, CachedTokens: j.cachedTokens}
	if !j.firstToken.IsZero() {
		res.FirstToken = j.firstToken.Sub(j.req.Arrived)
	}
	s.result.outputTokens += j.generated
	if o != request.Completed {
		s.result.wastedTokens += j.generated
	}
	j.host.chooser.Finished(s.now, j.req, res)
	switch o {
	case request.Completed:
		s.result.completed++
		s.result.waits = append(s.result.waits, res.FirstToken.Seconds())
		j.ended = true
	case request.Cancelled:
		s.recordLost(j)
	default:
		j.generated, j.firstToken = 0, time.Time{}
		j.exclude = append(j.exclude, e.name)
		j.host.queue = append([]*simJob{j}, j.host.queue...)
	}
	s.drain(j.host)
}

func (s *sim) recordLost(j *simJob) {
	j.ended = true
	if j.otherAttempt != nil && !j.otherAttempt.ended {
		// The other attempt may still complete.
		j.otherAttempt.otherAttempt = nil
		return
	}
	s.result.lost++
	s.result.waits = append(s.result.waits, simCallerTimeout.Seconds())
}

// removeFromEngine removes a job from its engine and starts the next waiting one.
func (s *sim) removeFromEngine(e *simEngine, j *simJob) {
	for i, w := range e.waiting {
		if w == j {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			break
		}
	}
	if !e.running[j] {
		return
	}
	delete(e.running, j)
	if len(e.waiting) > 0 && !e.down {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.run(e, next)
	}
}

// callerTimeout ends a request whose caller does not wait any longer.
func (s *sim) callerTimeout(j *simJob) {
	switch {
	case j.ended:
	case j.engine != nil:
		s.endAttempt(j, request.Cancelled)
	default:
		for i, q := range j.host.queue {
			if q == j {
				j.host.queue = append(j.host.queue[:i:i], j.host.queue[i+1:]...)
				s.recordLost(j)
				return
			}
		}
	}
}

// crash restarts one of the engines that are not slowed, with an empty cache.
func (s *sim) crash() {
	e := s.engines[1+s.rng.IntN(len(s.engines)-1)]
	e.down = true
	e.cache.Purge()
	e.sequence = 0
	var jobs []*simJob
	for j := range e.running {
		jobs = append(jobs, j)
	}
	jobs = append(jobs, e.waiting...)
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].req.ID < jobs[k].req.ID })
	for _, j := range jobs {
		s.endAttempt(j, request.Broken)
	}
	s.after(simRestartTime, func() { e.down = false })
}
