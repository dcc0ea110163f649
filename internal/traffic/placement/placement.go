// Package placement decides which backend server runs a request now, which
// requests wait and which are refused, from the routing table, the list of
// backend servers, the host's own outstanding work and what other hosts tell of
// theirs. It does no I/O and reads no clock.
//
// Each decision answers a load pattern: long prompts beside short conversations
// (estimate.go), a service without free places (queue.go), servers that fail,
// hang or are unreachable (health.go), callers that would multiply a failure by
// retries (budget.go), and requests that crash servers (crash.go).
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/route"
)

// Policy decides. It implements [dispatch.Core].
type Policy struct {
	zone string
	rnd  *rand.Rand
	// lean differs between hosts.
	lean     uint64
	table    *route.Table
	limits   RetryLimits
	hosts    int
	services map[string]*service
	servers  map[string]*server
	// lists counts the lists of servers that came.
	lists    int
	entries  map[request.ID]*entry
	peers    map[string]Peer
	suspects suspects
	// seen tells other hosts where shared parts of prompts went.
	seen []Seen
}

var _ dispatch.Core = (*Policy)(nil)

// RetryLimits bound attempts beyond the first, over all hosts.
type RetryLimits struct {
	// Ratio is repeats per request, Slack what may be added in Window.
	Ratio, Slack float64
	Window       time.Duration
}

// Option changes a [Policy].
type Option func(*Policy)

// WithZone sets the host's availability zone, whose servers are nearest.
func WithZone(zone string) Option { return func(p *Policy) { p.zone = zone } }

// WithRetryLimits sets the bound on repeats.
func WithRetryLimits(l RetryLimits) Option { return func(p *Policy) { p.limits = l } }

// SetRetryLimits replaces the bound on repeats.
func (p *Policy) SetRetryLimits(l RetryLimits) { p.limits = l }

// New returns a Policy that knows no server. Equal seeds and events give equal effects.
func New(seed uint64, opts ...Option) *Policy {
	p := &Policy{
		rnd: rand.New(rand.NewPCG(seed, 1)), lean: seed, hosts: 1,
		services: map[string]*service{}, servers: map[string]*server{},
		entries: map[request.ID]*entry{}, peers: map[string]Peer{}, suspects: newSuspects(),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// entry is a request in the policy's care.
type entry struct {
	req *request.Request
	svc *service
	// server runs the current attempt; nil while the request waits.
	server *server
	// runs counts attempts that a server may have run, sends all that reached one.
	runs, sends int
	// tried lists servers that rejected, failed or could not be reached.
	tried   []*server
	started time.Time
	// uncached is the part of the prompt that the server has to read, and held its memory.
	uncached, held int
	// outlook is the expected time to the first token when the attempt started.
	outlook time.Duration
	first   bool
	long    bool
	// late requests can no longer have their first token by the goal; they come after others of the tier.
	late bool
	// level is the urgency of the current attempt.
	level int
	// inputs decided the latest placement or refusal.
	inputs dispatch.Inputs
	// waits is when the caller began to wait for the next event: its arrival, or the end of a stream that
	// is to be resumed.
	waits time.Time
}

// service is a group of servers that run the same.
type service struct {
	name    string
	engine  *route.Engine
	servers []*server
	// zones holds the servers by availability zone.
	zones   map[string][]*server
	holders holders
	waiting []*entry
	learned rates
	repeats budget
	// reading is the time that the prompts of this host's callers take.
	reading meter
	// gap is the shortest pause that its callers accept.
	gap time.Duration
}

// Configure adopts a routing table.
func (p *Policy) Configure(now time.Time, t *route.Table) []dispatch.Effect {
	p.table = t
	for name, s := range t.Services {
		p.service(name).engine = s.Engine
	}
	return p.settleAll(now)
}

func (p *Policy) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{name: name, learned: newRates(), holders: newHolders()}
		p.services[name] = s
	}
	return s
}

// Servers replaces the list of backend servers.
func (p *Policy) Servers(now time.Time, list []backend.Server) []dispatch.Effect {
	p.lists++
	for _, s := range p.servers {
		s.gone = true
	}
	for _, s := range p.services {
		s.servers = s.servers[:0]
	}
	for _, info := range list {
		s := p.servers[info.ID]
		if s == nil || s.info.Addr != info.Addr || !s.info.StartedAt.Equal(info.StartedAt) {
			s = newServer(info)
			p.servers[info.ID] = s
			for _, peer := range p.peers {
				s.others.add(peer.Work[info.ID], 1)
			}
		}
		s.info, s.listed = info, p.lists
		if s.gone = !info.AcceptsWork(); !s.gone {
			svc := p.service(info.Service)
			svc.servers = append(svc.servers, s)
		}
	}
	for id, s := range p.servers {
		if s.listed != p.lists {
			delete(p.servers, id)
		}
	}
	for _, s := range p.services {
		slices.SortFunc(s.servers, func(a, b *server) int { return compare(a.rank, b.rank) })
		s.partition()
	}
	return p.settleAll(now)
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Arrive implements [dispatch.Core].
func (p *Policy) Arrive(now time.Time, r *request.Request) []dispatch.Effect {
	e := &entry{req: r, svc: p.service(r.Pool), waits: r.Arrived}
	p.entries[r.ID] = e
	e.svc.repeats.request(now, p.limits.Window)
	e.long = e.svc.engine != nil && r.PromptTokens >= longPrompt
	return p.place(now, e)
}

// place starts e, lets it wait or refuses it.
func (p *Policy) place(now time.Time, e *entry) []dispatch.Effect {
	if p.suspects.held(e.req.Fingerprint) {
		return []dispatch.Effect{p.refuse(e, dispatch.CrashSuspect, heldRetry, "it crashed the servers that ran it, one after the other")}
	}
	e.late = false
	c := p.choose(now, e)
	if c.server != nil && e.tooLate(now, c) {
		e.late = true
		c = p.choose(now, e)
	}
	if c.server == nil {
		return []dispatch.Effect{p.refuse(e, dispatch.NoServer, retryNoServer, "no server of the service takes work")}
	}
	patience := p.patience(now, e)
	e.inputs = dispatch.Inputs{Expected: c.first, Patience: patience, Unread: c.uncached, Ahead: c.ahead, Age: p.oldestWord(now)}
	switch {
	case c.first > patience, e.late && c.crowded:
		return []dispatch.Effect{p.refuse(e, dispatch.Overload, p.comeBack(max(c.first-patience, c.first/2)), "would start too late on each server")}
	case c.full:
		return p.wait(now, e, c)
	}
	return []dispatch.Effect{p.start(now, e, c)}
}

// tooLate reports whether a first token cannot be expected by the goal. A stream that goes on has had it.
func (e *entry) tooLate(now time.Time, c choice) bool {
	if e.svc.engine == nil || e.req.Goal <= 0 || e.waits.After(e.req.Arrived) {
		return false
	}
	left := e.req.Goal - now.Sub(e.req.Arrived)
	return c.first > time.Duration(onTimeMargin*float64(left))
}

func (p *Policy) start(now time.Time, e *entry, c choice) dispatch.Effect {
	e.server, e.started, e.first = c.server, now, false
	e.level = p.level(e)
	e.uncached, e.outlook = c.uncached, c.first
	e.held = e.req.PromptTokens + min(e.req.MaxTokens, assumedOutput)
	e.sends++
	c.server.begin(now, e)
	out := dispatch.Effect{Kind: dispatch.Start, ID: e.req.ID, Server: c.server.info.ID, Attempt: e.sends, Urgency: e.level, Why: c.why, Inputs: e.inputs}
	if e.svc.engine != nil {
		e.svc.reading.add(now, e.svc.learned.reading(c.uncached))
		p.sawPart(c.server, e.req.Parts)
	}
	if c.from != nil {
		out.From = c.from.info.ID
	}
	return out
}

func (p *Policy) refuse(e *entry, reason dispatch.RefusalReason, after time.Duration, why string) dispatch.Effect {
	delete(p.entries, e.req.ID)
	out := dispatch.Effect{Kind: dispatch.Refuse, ID: e.req.ID, Reason: reason, RetryAfter: after, Why: why, Inputs: e.inputs}
	if e.runs > 0 {
		out.Ran = request.MayHaveRun
	}
	return out
}

// Cancel implements [dispatch.Core].
func (p *Policy) Cancel(now time.Time, id request.ID) []dispatch.Effect {
	e := p.entries[id]
	if e == nil || e.server != nil {
		return nil
	}
	e.svc.drop(e)
	delete(p.entries, id)
	return p.settle(now, e.svc)
}

// Progress implements [dispatch.Core]. The first call tells of the first token.
func (p *Policy) Progress(now time.Time, id request.ID, _ int) {
	e := p.entries[id]
	if e == nil || e.server == nil || e.first {
		return
	}
	e.first = true
	e.server.firstToken(now, e)
	p.suspects.alive(e.server.info.ID, e.started)
	e.svc.learned.firstToken(now.Sub(e.started), e)
}

// Finish implements [dispatch.Core].
func (p *Policy) Finish(now time.Time, r request.Result) []dispatch.Effect {
	e := p.entries[r.ID]
	if e == nil || e.server == nil {
		return nil
	}
	s := e.server
	s.end(now, e, r.Outcome)
	switch r.Outcome {
	case request.Completed:
		e.svc.learned.completed(now.Sub(e.started), e)
		p.suspects.alive(s.info.ID, e.started)
		p.suspects.completed(now, e.req.Fingerprint)
	case request.Failed, request.Rejected:
		p.suspects.alive(s.info.ID, e.started)
	case request.Broken:
		p.suspects.broken(now, e)
	case request.Unreachable, request.Cancelled, request.Preempted:
	}
	e.server = nil
	out := p.again(now, e, s, r)
	return append(out, p.settle(now, e.svc)...)
}

// again decides what follows an attempt that has ended.
func (p *Policy) again(now time.Time, e *entry, s *server, r request.Result) []dispatch.Effect {
	e.tried = append(e.tried, s)
	switch r.Outcome {
	case request.Rejected:
		if r.Elsewhere {
			// The server is gone and its entry is not: that costs the caller no try.
			s.elsewhere = true
			e.sends--
		}
		if len(e.tried) >= maxTried || e.sends >= maxSends || !e.svc.repeats.take(now, p.limits, p.hosts) {
			return []dispatch.Effect{p.refuse(e, dispatch.Exhausted, p.comeBack(0), "rejected by its servers")}
		}
	case request.Unreachable:
		e.sends--
		if len(e.tried) >= maxUnreached {
			return []dispatch.Effect{p.refuse(e, dispatch.NoServer, retryNoServer, "no server could be reached")}
		}
	case request.Broken, request.Failed:
		e.runs++
		if r.Delivered > 0 {
			e.waits = now
		}
		if !e.req.Idempotent || r.Delivered > 0 && !r.Resumable || e.runs >= e.req.Attempts ||
			!e.svc.repeats.take(now, p.limits, p.hosts) {
			return []dispatch.Effect{p.refuse(e, dispatch.Exhausted, 0, "no attempt is left")}
		}
	case request.Completed, request.Cancelled, request.Preempted:
		delete(p.entries, e.req.ID)
		return nil
	}
	return p.place(now, e)
}

// Report implements [dispatch.Core].
func (p *Policy) Report(now time.Time, l dispatch.Load) []dispatch.Effect {
	if s := p.servers[l.Server]; s != nil {
		s.reported, s.reportedAt = l, now
	}
	return nil
}

// Tick implements [dispatch.Core].
func (p *Policy) Tick(now time.Time) []dispatch.Effect {
	p.suspects.pass(now)
	for h, s := range p.peers {
		if now.Sub(s.At) > max(peerLifetime, s.Lifetime) {
			p.count(s, -1)
			delete(p.peers, h)
		}
	}
	return p.settleAll(now)
}
