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
	simSlots     = 8
	simInterval  = 25 * time.Millisecond
	simPrefill   = 200 * time.Microsecond
	simHop       = time.Millisecond
	simGossip    = 500 * time.Millisecond
	simBlocks    = 600
	simRestart   = 10 * time.Second
	simPatience  = 20 * time.Second
	simMeanOut   = 120.0
	simMaxOut    = 480
	simPrompt    = 2048
	simEventLate = time.Second
	simTarget    = 76 * time.Millisecond
)

// chooser is what the simulated hosts choose with.
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

// roundRobin is the baseline: servers in turn up to their places, by this host's own count.
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

// simConfig describes a run.
type simConfig struct {
	servers, hosts, zones int
	// load is the work offered relative to what the servers can do, slowed ones at their speed.
	load      float64
	length    time.Duration
	slow      bool
	crash     bool
	reportAge time.Duration
	gaps      float64
	// shared is the share of requests whose prompts begin alike, in groups.
	shared float64
	seed   uint64
	ours   bool
	// hedge is the time without a first token after which a request runs a second time elsewhere; 0 is never.
	hedge time.Duration
	// output is the mean length of an answer; 0 is simMeanOut.
	output float64
}

// simResult is what a run measured.
type simResult struct {
	waits                      []float64
	done, lost                 int
	tokens, wasted             int
	prompt, cached             int
	overfull, placed, mostOver int
	hedged, rereadTokens       int
}

func (r *simResult) wait(q float64) float64 {
	if len(r.waits) == 0 {
		return math.Inf(1)
	}
	sort.Float64s(r.waits)
	return r.waits[int(q*float64(len(r.waits)-1))]
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

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

type simJob struct {
	req     *request.Request
	host    *simHost
	length  int
	got     int
	first   time.Time
	exclude []string
	engine  *simEngine
	try     int
	cached  int
	over    bool
	// twin is the other attempt of a hedged request.
	twin *simJob
}

type simHost struct {
	name, zone string
	c          chooser
	queue      []*simJob
}

type simEngine struct {
	name     string
	slow     float64
	down     bool
	running  map[*simJob]bool
	waiting  []*simJob
	cache    *simplelru.LRU[uint64, struct{}]
	sequence uint64
}

// sim runs hosts before engines in virtual time.
type sim struct {
	cfg     simConfig
	now     time.Time
	events  simQueue
	seq     int
	rng     *rand.Rand
	hosts   []*simHost
	engines []*simEngine
	byName  map[string]*simEngine
	res     simResult
	jobs    int
}

func runSim(cfg simConfig) *simResult {
	if cfg.output == 0 {
		cfg.output = simMeanOut
	}
	s := &sim{cfg: cfg, now: start, rng: rand.New(rand.NewPCG(cfg.seed, 3)), byName: map[string]*simEngine{}}
	s.build()
	s.at(0, s.arrive)
	s.every(simGossip, s.gossip)
	s.every(time.Second, s.report)
	s.every(20*time.Millisecond, func() {
		for _, h := range s.hosts {
			s.drain(h)
		}
	})
	if cfg.crash {
		s.every(time.Minute, s.crash)
	}
	end := start.Add(cfg.length + simPatience)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return &s.res
}

func (s *sim) at(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}

func (s *sim) every(d time.Duration, do func()) {
	s.at(d, func() { do(); s.every(d, do) })
}

func (s *sim) build() {
	set := object.NewSet()
	set.Pools["models"] = &object.PoolSpec{Name: "models", Concurrency: simSlots}
	set.Classes["chat"] = &object.ClassSpec{Name: "chat", Tier: 1, BetweenTokens: object.Duration(simTarget)}
	set.Routes["briefs"] = &object.RouteSpec{Name: "briefs", Model: "m", Pool: "models", Classes: []string{"none", "chat"}}
	// The measured class is not the first tier, which would overcommit.
	set.Classes["none"] = &object.ClassSpec{Name: "none", Tier: 0}
	for i := range s.cfg.servers {
		e := &simEngine{name: fmt.Sprintf("s%02d", i), slow: 1, running: map[*simJob]bool{}}
		e.cache, _ = simplelru.NewLRU[uint64, struct{}](simBlocks, nil)
		if s.cfg.slow && i == 0 {
			e.slow = 5
		}
		s.engines = append(s.engines, e)
		s.byName[e.name] = e
		set.BackendServers[e.name] = &object.BackendServerSpec{Name: e.name, Pool: "models", Zone: fmt.Sprint(i % s.cfg.zones)}
	}
	snap := release.NewSnapshot(1, "", set)
	for i := range s.cfg.hosts {
		h := &simHost{name: fmt.Sprint(i), zone: fmt.Sprint(i % s.cfg.zones)}
		h.c = newRoundRobin(snap)
		if s.cfg.ours {
			b := New(h.zone, s.cfg.seed<<8+uint64(i))
			b.Configure(s.now, snap)
			h.c = b
		}
		s.hosts = append(s.hosts, h)
	}
}

// arrive offers one request and plans the next.
func (s *sim) arrive() {
	if s.now.Sub(start) >= s.cfg.length {
		return
	}
	capacity := 0.0
	for _, e := range s.engines {
		capacity += simSlots / e.slow
	}
	perRequest := s.cfg.output*simInterval.Seconds() + simPrompt*simPrefill.Seconds()
	gap := perRequest / (s.cfg.load * capacity)
	s.at(time.Duration(s.rng.ExpFloat64()*gap*float64(time.Second)), s.arrive)
	s.jobs++
	j := &simJob{host: s.hosts[s.rng.IntN(len(s.hosts))]}
	j.length = min(simMaxOut, max(4, int(s.cfg.output*math.Exp(0.8*s.rng.NormFloat64()-0.32))))
	j.req = &request.Request{
		ID: request.ID(fmt.Sprint(s.jobs)), Class: "chat", Tier: 1, Pool: "models", Model: "m", Streaming: true,
		PromptTokens: simPrompt, Arrived: s.now, Deadline: s.now.Add(simPatience), Prefix: s.prefix(), Zone: j.host.zone,
	}
	j.host.queue = append(j.host.queue, j)
	s.at(simPatience, func() { s.abandon(j) })
	if s.cfg.hedge > 0 {
		s.at(s.cfg.hedge, func() { s.hedge(j) })
	}
	s.drain(j.host)
}

// hedge runs a request that has no token yet a second time on another server.
func (s *sim) hedge(j *simJob) {
	if j.over || j.engine == nil || !j.first.IsZero() {
		return
	}
	r := *j.req
	r.ID += "h"
	t := &simJob{req: &r, host: j.host, length: j.length, exclude: []string{j.engine.name}, twin: j}
	j.twin = t
	j.host.queue = append(j.host.queue, t)
	s.at(simPatience-s.cfg.hedge, func() { s.abandon(t) })
	s.drain(j.host)
}

// win ends the other attempt of a hedged request at the first token of j.
func (s *sim) win(j *simJob) {
	loser := j.twin
	if loser == nil || loser.over {
		return
	}
	loser.over = true
	j.twin = nil
	s.res.hedged++
	if loser.engine == nil {
		h := loser.host
		h.queue = slices.DeleteFunc(h.queue, func(q *simJob) bool { return q == loser })
		return
	}
	e := loser.engine
	if e.running[loser] {
		s.res.rereadTokens += simPrompt - loser.cached
	}
	s.leave(e, loser)
	loser.host.c.Finished(s.now, loser.req, request.Result{ID: loser.req.ID, Server: e.name, Outcome: request.Cancelled})
	s.drain(loser.host)
}

// prefix returns the blocks of a prompt: with a chance, all but the last two are those of a group.
func (s *sim) prefix() []uint64 {
	group := s.rng.Uint64()
	if s.rng.Float64() < s.cfg.shared {
		group = uint64(s.rng.IntN(20))
	}
	var out []uint64
	for i := range uint64(simPrompt / blockTokens) {
		if i >= simPrompt/blockTokens-2 {
			group = s.rng.Uint64()
		}
		out = append(out, group*31+i)
	}
	return out
}

func (s *sim) drain(h *simHost) {
	for len(h.queue) > 0 {
		j := h.queue[0]
		name, _, ok := h.c.Choose(s.now, j.req, j.exclude)
		if !ok {
			return
		}
		h.queue = h.queue[1:]
		h.c.Started(s.now, j.req, name)
		e := s.byName[name]
		j.try++
		j.engine = e
		try := j.try
		s.at(simHop, func() {
			if j.try == try && !j.over {
				s.reach(e, j)
			}
		})
	}
}

// end finishes an attempt, and queues the request again after a failure.
func (s *sim) end(j *simJob, o request.Outcome) {
	e := j.engine
	j.engine = nil
	s.leave(e, j)
	res := request.Result{ID: j.req.ID, Server: e.name, Outcome: o, OutputTokens: j.got, Delivered: j.got, PromptTokens: simPrompt, CachedTokens: j.cached}
	if !j.first.IsZero() {
		res.FirstToken = j.first.Sub(j.req.Arrived)
	}
	s.res.tokens += j.got
	if o != request.Completed {
		s.res.wasted += j.got
	}
	j.host.c.Finished(s.now, j.req, res)
	switch o {
	case request.Completed:
		s.res.done++
		s.res.waits = append(s.res.waits, res.FirstToken.Seconds())
		j.over = true
	case request.Cancelled:
		s.lose(j)
	default:
		j.got, j.first = 0, time.Time{}
		j.exclude = append(j.exclude, e.name)
		j.host.queue = append([]*simJob{j}, j.host.queue...)
	}
	s.drain(j.host)
}

func (s *sim) lose(j *simJob) {
	j.over = true
	if j.twin != nil && !j.twin.over {
		// The other attempt still counts.
		j.twin.twin = nil
		return
	}
	s.res.lost++
	s.res.waits = append(s.res.waits, simPatience.Seconds())
}

// leave frees the place of a job on its engine.
func (s *sim) leave(e *simEngine, j *simJob) {
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

// abandon is the caller's going away.
func (s *sim) abandon(j *simJob) {
	switch {
	case j.over:
	case j.engine != nil:
		s.end(j, request.Cancelled)
	default:
		for i, q := range j.host.queue {
			if q == j {
				j.host.queue = append(j.host.queue[:i:i], j.host.queue[i+1:]...)
				s.lose(j)
				return
			}
		}
	}
}

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
		s.end(j, request.Broken)
	}
	s.at(simRestart, func() { e.down = false })
}
