// Package placement is the policy of the edge command. It decides which backend
// server runs a request now, which requests wait and which are refused. The inputs
// are the routing table, the list of backend servers, the host's own outstanding
// work and the work that other hosts report. The package does no I/O and reads no
// clock.
//
// Each file handles a load pattern: long prompts beside short conversations
// (estimate.go), a service without free slots (queue.go), servers that fail,
// hang or are unreachable (health.go), retries that would multiply a failure
// (budget.go), requests that crash servers (crash.go), parts of prompts that crash
// each server whatever the rest of the request (part.go), servers that limit the
// requests that they take (limit.go), servers that have just started (cold.go),
// availability zones that are evacuated (evacuate.go), organisations that send more
// than their share (share.go), and more work than all servers can answer in time
// (overload.go).
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/overload"
	"shallotramp/internal/traffic/pace"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/route"
	"shallotramp/internal/traffic/serverlimit"
	"shallotramp/internal/traffic/share"
	"shallotramp/internal/traffic/suspect"
	"shallotramp/internal/traffic/warmup"
)

// Policy places the requests of one host on backend servers. It implements [dispatch.CorePolicy].
type Policy struct {
	zone string
	rng  *rand.Rand
	// hostSeed differs between hosts, so that equally good servers are chosen differently by each.
	hostSeed  uint64
	table     *route.Table
	limits    RetryLimits
	hostCount int
	services  map[string]*service
	servers   map[string]*server
	// departed are the servers that had said something before their entries went.
	departed map[string]departed
	// listVersion counts the server lists received.
	listVersion int
	entries     map[request.ID]*entry
	peers       map[string]HostState
	// serverLimits are the rates that servers take from all hosts together.
	serverLimits *serverlimit.Limits
	// cold divides the requests that cold servers take among the hosts; nil if they take as many as others.
	cold *warmup.Pacer
	// evacuated holds the availability zones whose servers get nothing.
	evacuated map[string]bool
	// shares divides the servers among organisations. overShareCount counts requests beyond the shares.
	shares         *share.Ledger
	overShareCount int
	crashes        crashTracker
	parts          *suspect.PartTracker
	// begun are the requests whose answers began less than answerMargin ago.
	begun []*entry
	// pacesAt is when the lasting paces of the servers were last derived.
	pacesAt time.Time
	// partLocations are the servers that were sent shared prompt parts since the last call of State.
	partLocations []PartLocation
}

var _ dispatch.CorePolicy = (*Policy)(nil)

// RetryLimits bound the retries of all hosts together.
type RetryLimits struct {
	// Within Window, Ratio retries per request are allowed and Slack more in total.
	Ratio, Slack float64
	Window       time.Duration
}

// Option configures a [Policy].
type Option func(*Policy)

// WithZone sets the host's availability zone, whose servers are the nearest.
func WithZone(zone string) Option { return func(p *Policy) { p.zone = zone } }

// WithRetryLimits sets the retry limits.
func WithRetryLimits(l RetryLimits) Option { return func(p *Policy) { p.limits = l } }

// WithHost sets the name of the host, which shares the limits of servers with the hosts set by [Policy.SetHosts].
func WithHost(name string) Option {
	return func(p *Policy) { p.serverLimits = serverlimit.New(name) }
}

// SetRetryLimits replaces the retry limits.
func (p *Policy) SetRetryLimits(l RetryLimits) { p.limits = l }

// New returns a Policy without servers. The same seed and events give the same effects.
func New(seed uint64, opts ...Option) *Policy {
	p := &Policy{
		rng: rand.New(rand.NewPCG(seed, 1)), hostSeed: seed, hostCount: 1,
		services: map[string]*service{}, servers: map[string]*server{}, departed: map[string]departed{},
		entries: map[request.ID]*entry{}, peers: map[string]HostState{}, serverLimits: serverlimit.New(""), crashes: newCrashTracker(), parts: suspect.NewPartTracker(), shares: share.New(),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// entry is the state of a request that waits or runs.
type entry struct {
	req *request.Request
	svc *service
	// server runs the current attempt; nil while the request waits.
	server *server
	// runs counts attempts that a server may have run, sends all attempts that reached a server.
	runs, sends int
	// tried lists servers that rejected, failed or could not be reached.
	tried   []*server
	started time.Time
	// uncached counts the prompt tokens that the server has to prefill, kvTokens those reserved in its
	// KV cache for prompt and answer.
	uncached, kvTokens int
	// expectedLatency is the time to the first token that was expected when the attempt started.
	expectedLatency time.Duration
	// usualLatency is the same on a server of usual pace, pace that of the server when the attempt started.
	usualLatency  time.Duration
	pace          pace.Pace
	gotFirstToken bool
	firstTokenAt  time.Time
	// sharedParts are the IDs of the prompt's parts that other requests may share.
	sharedParts []uint64
	// trial requests run although a part of their prompt is held.
	trial      bool
	longPrompt bool
	// late requests can no longer meet their goal; they come after the other requests of their tier.
	late bool
	// overShare requests exceed the share of their organisation; they are treated like late ones, unless their answer has
	// begun.
	overShare bool
	// urgency is the urgency level of the current attempt.
	urgency int
	// inputs are those of the latest placement or refusal.
	inputs dispatch.DecisionInputs
	// waitingSince is when the caller began to wait for the next event: the request's arrival, or the
	// break of a stream that is to be resumed.
	waitingSince time.Time
}

// service is a group of interchangeable servers. It is a plain service if it has no model engine.
type service struct {
	name          string
	engine        *route.Engine
	servers       []*server
	serversByZone map[string][]*server
	// listed are the servers of the list, including those that accept no work.
	listed   []*server
	parts    partIndex
	waiting  []*entry
	tails    answerTails
	overload OverloadReport
	// tierGoals are the shortest goals of the requests, by tier.
	tierGoals    map[int]time.Duration
	latencyModel latencyModel
	// paces are the paces of its servers.
	paces   *pace.Service
	retries retryBudget
	// load is what the servers bear and get from all hosts.
	load share.Load
	// prefillLoad is the prefill time of the prompts that this host sends.
	prefillLoad decayedRate
	// coldTime is how long a server is cold after its start, and coldRate the requests per second that it takes meanwhile.
	coldTime time.Duration
	coldRate float64
	// minGapTarget is the smallest GapTarget of its requests, 0 if none has one.
	minGapTarget time.Duration
}

// Configure replaces the routing table.
func (p *Policy) Configure(now time.Time, t *route.Table) []dispatch.Effect {
	p.table = t
	for name, s := range t.Services {
		svc := p.service(name)
		svc.engine, svc.coldTime, svc.coldRate = s.Engine, s.ColdTime, s.ColdRate
	}
	p.setListedCold(now)
	return p.startAllWaiting(now)
}

func (p *Policy) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{
			name: name, latencyModel: newLatencyModel(), paces: pace.New(), parts: newPartIndex(),
			tails: answerTails{}, tierGoals: map[int]time.Duration{},
		}
		p.services[name] = s
	}
	return s
}

// SetServers replaces the list of backend servers.
func (p *Policy) SetServers(now time.Time, list []backend.Server) []dispatch.Effect {
	p.listVersion++
	p.forgetDeparted(now)
	for _, info := range list {
		s, known := p.servers[info.ID]
		if !known || s.info.Addr != info.Addr || !s.info.StartedAt.Equal(info.StartedAt) {
			s = newServer(info)
			s.listedSince = now
			p.servers[info.ID] = s
			for _, peer := range p.peers {
				s.peerWork.add(peer.Work[info.ID], 1)
			}
			if known {
				p.service(info.Service).paces.Restarted(now, info.ID)
				p.serverLimits.Forget(info.ID)
			} else {
				p.recall(now, s)
			}
		}
		if info.IsCold(now) {
			p.setCold(now, s, info.ColdUntil)
		}
		s.info, s.listVersion = info, p.listVersion
	}
	for id, s := range p.servers {
		if s.listVersion != p.listVersion {
			s.unavailable = true // Requests that it has cached parts for still refer to it.
			delete(p.servers, id)
			p.depart(now, s)
			p.service(s.info.Service).paces.Forget(id)
			p.serverLimits.Forget(id)
			p.forgetCold(id)
		}
	}
	p.rebuildServices()
	return p.startAllWaiting(now)
}

// rebuildServices assigns the listed servers to their services.
func (p *Policy) rebuildServices() {
	for _, s := range p.services {
		s.servers, s.listed = s.servers[:0], s.listed[:0]
	}
	for _, s := range p.servers {
		svc := p.service(s.info.Service)
		svc.listed = append(svc.listed, s)
		s.evacuated = p.evacuated[s.info.Zone]
		if s.unavailable = s.evacuated || s.saysLeaving || !s.info.AcceptsWork(); !s.unavailable {
			svc.servers = append(svc.servers, s)
		}
	}
	for _, s := range p.services {
		slices.SortFunc(s.listed, func(a, b *server) int { return compareRanks(a.rank, b.rank) })
		slices.SortFunc(s.servers, func(a, b *server) int { return compareRanks(a.rank, b.rank) })
		s.partition()
	}
}

func compareRanks(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Arrive implements [dispatch.CorePolicy].
func (p *Policy) Arrive(now time.Time, r *request.Request) []dispatch.Effect {
	e := &entry{req: r, svc: p.service(r.Pool), waitingSince: r.Arrived, sharedParts: r.SharedParts()}
	p.entries[r.ID] = e
	e.svc.retries.recordRequest(now, p.limits.Window)
	e.longPrompt = e.svc.engine != nil && r.PromptTokens >= longPromptTokens
	p.claimShare(now, e)
	return p.place(now, e)
}

// place starts, queues or refuses e.
func (p *Policy) place(now time.Time, e *entry) []dispatch.Effect {
	if p.crashes.blocked(e.req.Fingerprint) {
		return []dispatch.Effect{p.refuse(e, dispatch.CrashSuspect, crashSuspectRetryAfter, "earlier runs of the request crashed their servers, one after another")}
	}
	if p.heldByPart(now, e) {
		return []dispatch.Effect{p.refuse(e, dispatch.CrashSuspect, crashSuspectRetryAfter, suspect.HeldPartWhy)}
	}
	e.late = e.overShare
	c := p.choose(now, e)
	if c.server != nil && !e.late && e.missesGoal(now, c) {
		e.late = true
		c = p.choose(now, e)
	}
	if c.server == nil {
		return []dispatch.Effect{p.refuse(e, dispatch.NoServer, noServerRetryAfter, "no server of the service accepts new requests")}
	}
	overloaded := e.late && c.overloaded
	d := p.admit(now, e, c)
	if d.Verdict != overload.OnTime && !e.late {
		e.late = true
		c = p.choose(now, e)
	}
	maxLatency := p.maxLatency(now, e)
	e.inputs = dispatch.DecisionInputs{ExpectedLatency: c.latency, MaxLatency: maxLatency, UncachedTokens: c.uncached, RequestsAhead: c.requestsAhead, PeerStateAge: p.maxPeerStateAge(now)}
	switch {
	case c.wait > 0 && c.latency > maxLatency:
		// Other hosts have their turns at other times.
		return []dispatch.Effect{p.refuse(e, dispatch.Overload, p.retryAfter(c.wait/time.Duration(p.hostCount)), "no server of the service takes a request of this host in time")}
	case e.overShare && overloaded:
		return []dispatch.Effect{p.refuse(e, dispatch.Overload, p.retryAfter(c.latency/2), "the organisation has used its share of a service that is short of servers")}
	case c.latency > maxLatency, overloaded:
		return []dispatch.Effect{p.refuse(e, dispatch.Overload, p.retryAfter(max(c.latency-maxLatency, c.latency/2)), "every server would start the request too late")}
	case c.full:
		return p.enqueue(now, e, c)
	case d.Verdict == overload.Refuse:
		return []dispatch.Effect{p.refuse(e, dispatch.Overload, max(d.RetryAfter, minRetryAfter), d.Why)}
	}
	return []dispatch.Effect{p.start(now, e, c)}
}

// missesGoal reports whether the first token is expected too late for the goal.
func (e *entry) missesGoal(now time.Time, c choice) bool { return e.lateRisk(now, c.latency) >= 1 }

// lateRisk returns from 0 to 1 how likely a first token is too late for the goal if it is expected after latency. It
// is 0 for a resumed stream, whose first token has been delivered.
func (e *entry) lateRisk(now time.Time, latency time.Duration) float64 {
	if e.svc.engine == nil || e.req.Goal <= 0 || e.waitingSince.After(e.req.Arrived) {
		return 0
	}
	left := float64(e.req.Goal - now.Sub(e.req.Arrived))
	if left <= 0 {
		return 1
	}
	return min(max((float64(latency)/left-lateRiskFrom)/(onTimeMargin-lateRiskFrom), 0), 1)
}

func (p *Policy) start(now time.Time, e *entry, c choice) dispatch.Effect {
	e.server, e.started, e.gotFirstToken = c.server, now, false
	e.urgency = p.urgency(e)
	e.uncached, e.expectedLatency, e.usualLatency = c.uncached, c.latency, c.usualLatency
	e.pace = e.svc.paces.At(now, c.server.info.ID)
	e.kvTokens = e.req.PromptTokens + min(e.req.MaxTokens, assumedOutputTokens)
	e.sends++
	c.server.begin(now, e)
	p.serverLimits.Take(now, c.server.info.ID)
	p.takeCold(now, c.server)
	out := dispatch.Effect{
		Kind: dispatch.Start, ID: e.req.ID, Server: c.server.info.ID, Attempt: e.sends, Urgency: e.urgency,
		Limited: p.serverLimits.Limited(c.server.info.ID), Why: c.why, Inputs: e.inputs,
	}
	if e.svc.engine != nil {
		e.svc.prefillLoad.add(now, e.svc.latencyModel.prefillTime(c.uncached))
		p.recordPartLocations(c.server, e.req.Parts)
	}
	if c.fetchFrom != nil {
		out.FetchFrom = c.fetchFrom.info.ID
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

// Cancel implements [dispatch.CorePolicy].
func (p *Policy) Cancel(now time.Time, id request.ID) []dispatch.Effect {
	e := p.entries[id]
	if e == nil || e.server != nil {
		return nil
	}
	e.svc.removeWaiting(e)
	delete(p.entries, id)
	return p.startWaiting(now, e.svc)
}

// Progress implements [dispatch.CorePolicy]. The first call of an attempt reports its first token.
func (p *Policy) Progress(now time.Time, id request.ID, _ int) {
	e := p.entries[id]
	if e == nil || e.server == nil || e.gotFirstToken {
		return
	}
	e.gotFirstToken, e.firstTokenAt = true, now
	if len(e.sharedParts) > 0 {
		p.begun = append(p.begun, e)
	}
	e.server.recordFirstToken(now, e)
	p.crashes.recordAnswer(e.server.info.ID, e.started)
	e.svc.latencyModel.observeFirstToken(now.Sub(e.started), e)
	e.svc.measureFirstToken(now, e)
}

// Finish implements [dispatch.CorePolicy].
func (p *Policy) Finish(now time.Time, r request.Result) []dispatch.Effect {
	e := p.entries[r.ID]
	if e == nil || e.server == nil {
		return nil
	}
	s := e.server
	s.end(now, e, r.Outcome)
	p.noteUnreachable(now, s, r.Outcome)
	switch r.Outcome {
	case request.Completed:
		e.svc.latencyModel.observeAnswer(now.Sub(e.started), e)
		e.svc.measureAnswer(now, e, r.Delivered)
		e.svc.tails.observe(now, e)
		p.crashes.recordAnswer(s.info.ID, e.started)
		p.crashes.recordCompleted(now, e.req.Fingerprint)
		p.parts.AddAnswers(e.answerBegan(), e.sharedParts)
	case request.Failed, request.Rejected:
		p.crashes.recordAnswer(s.info.ID, e.started)
	case request.Broken:
		p.crashes.recordBroken(now, e)
	case request.Unreachable, request.Cancelled, request.Preempted:
	}
	e.server = nil
	out := p.afterAttempt(now, e, s, r)
	return append(out, p.startWaiting(now, e.svc)...)
}

// afterAttempt decides whether a request is retried after an attempt.
func (p *Policy) afterAttempt(now time.Time, e *entry, s *server, r request.Result) []dispatch.Effect {
	e.tried = append(e.tried, s)
	switch r.Outcome {
	case request.Rejected:
		if r.WrongServer {
			// The server is gone, but its entry is not removed yet: this does not count as an attempt.
			s.addressTaken = true
			e.sends--
		}
		if len(e.tried) >= maxTried || e.sends >= maxSends || !e.svc.retries.takeRetry(now, p.limits, p.hostCount) {
			return []dispatch.Effect{p.refuse(e, dispatch.Exhausted, p.retryAfter(0), "servers rejected the request and it may not be sent to another one")}
		}
	case request.Unreachable:
		e.sends--
		if len(e.tried) >= maxUnreachable {
			return []dispatch.Effect{p.refuse(e, dispatch.NoServer, noServerRetryAfter, "none of the servers tried could be reached")}
		}
	case request.Broken, request.Failed:
		e.runs++
		if r.Delivered > 0 {
			e.waitingSince, e.overShare = now, false
		}
		if !e.req.Idempotent || r.Delivered > 0 && !r.Resumable || e.runs >= e.req.Attempts ||
			!e.svc.retries.takeRetry(now, p.limits, p.hostCount) {
			return []dispatch.Effect{p.refuse(e, dispatch.Exhausted, 0, "the attempt failed and the request may not be retried")}
		}
	case request.Completed, request.Cancelled, request.Preempted:
		delete(p.entries, e.req.ID)
		return nil
	}
	return p.place(now, e)
}

// Report implements [dispatch.CorePolicy].
func (p *Policy) Report(now time.Time, l dispatch.Load) []dispatch.Effect {
	if s := p.servers[l.Server]; s != nil {
		s.reported, s.reportedAt = l, now
		p.service(s.info.Service).paces.Word(now, l.Server, l.Slowdown)
	}
	return nil
}

// Tick implements [dispatch.CorePolicy].
func (p *Policy) Tick(now time.Time) []dispatch.Effect {
	p.updateParts(now, p.crashes.update(now))
	p.updatePaces(now)
	for h, s := range p.peers {
		if now.Sub(s.At) > max(minPeerLifetime, s.Lifetime) {
			p.addPeerWork(s, -1)
			p.shares.SetPeer(h, nil)
			delete(p.peers, h)
		}
	}
	p.updateLoads(now)
	return p.startAllWaiting(now)
}
