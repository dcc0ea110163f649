// Package limit enforces organisations' limits over all hosts. Each host holds a
// share of a limit in proportion to the demand that it sees, and tells the
// others of its demand; together the shares make up the limit.
package limit

import (
	"math"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
)

const (
	// demandMemory is the time after which demand counts 1/e.
	demandMemory = 5 * time.Second
	// evenShare is the part of a limit that is shared out evenly, so that demand that moves to a
	// host finds something there.
	evenShare = 0.125
	// requestBurst and tokenBurst are the time whose allowance may be used at once.
	requestBurst = time.Second
	tokenBurst   = 5 * time.Second
	// MaxWait is the longest time for which a request over its limit waits instead of being refused.
	MaxWait = time.Second
	// frozenTime is how long the demand of a host counts that is not heard: cut-off hosts keep their
	// shares for that time, and then share the limit out among those that they hear.
	frozenTime = 10 * time.Minute
	// demandStep is the ratio between two rates that are told apart.
	demandStep = 1.1
	// leastDemand is the demand below which none is told.
	leastDemand = 0.01
)

// Decision is the answer to one request.
type Decision struct {
	// Admitted admits the request, after Wait when that is not 0.
	Admitted bool
	Wait     time.Duration
	// RetryAfter and Why are set when the request is refused.
	RetryAfter time.Duration
	Why        string
}

// Limiter enforces the limits on one host. It is used by one goroutine.
type Limiter struct {
	limits map[string]*object.LimitSpec
	orgs   map[string]*usage
	peers  map[string]*peer
	hosts  int
}

type peer struct {
	heard  time.Time
	hosts  int
	demand map[string]dispatch.Demand
}

// usage is what is known of one organisation with a limit.
type usage struct {
	requests, tokens bucket
	// wanted is the demand that this host saw, others that of the other hosts.
	wantedRequests, wantedTokens rate
	streams                      int
	others                       dispatch.Demand
}

// New returns a Limiter without limits.
func New() *Limiter {
	return &Limiter{limits: map[string]*object.LimitSpec{}, orgs: map[string]*usage{}, peers: map[string]*peer{}, hosts: 1}
}

// Configure adopts the limits of a release.
func (l *Limiter) Configure(s *release.Snapshot) {
	l.limits = map[string]*object.LimitSpec{}
	for name, o := range s.Set.Organisations {
		if spec, ok := s.Set.Limits[o.Limit]; ok {
			l.limits[name] = spec
		}
	}
	for name := range l.orgs {
		if l.limits[name] == nil {
			delete(l.orgs, name)
		}
	}
}

// usage returns the usage of an organisation with a limit, nil for others.
func (l *Limiter) usage(org string) (*usage, *object.LimitSpec) {
	spec := l.limits[org]
	if spec == nil {
		return nil, nil
	}
	u, ok := l.orgs[org]
	if !ok {
		u = &usage{}
		for _, p := range l.peers {
			u.others = plus(u.others, p.demand[org], 1)
		}
		l.orgs[org] = u
	}
	return u, spec
}

// Admit takes a request that is expected to use so many tokens. An admitted request is
// a stream of its organisation until [Limiter.Done].
func (l *Limiter) Admit(now time.Time, org string, tokens float64) Decision {
	u, spec := l.usage(org)
	if u == nil {
		return Decision{Admitted: true}
	}
	u.wantedRequests.add(now, 1)
	u.wantedTokens.add(now, tokens)
	if spec.Streams > 0 && l.fullStreams(now, u, spec) {
		return Decision{RetryAfter: MaxWait, Why: "its organisation has as many streams as its limit allows"}
	}
	var wait time.Duration
	if spec.RequestsPerSecond > 0 {
		share := l.share(u.wantedRequests.rateAt(now), u.others.Requests)
		u.requests.refill(now, share*spec.RequestsPerSecond, requestBurst, 1)
		wait = max(wait, u.requests.wait(1))
	}
	if spec.TokensPerMinute > 0 {
		share := l.share(u.wantedTokens.rateAt(now), u.others.Tokens)
		u.tokens.refill(now, share*spec.TokensPerMinute/time.Minute.Seconds(), tokenBurst, 0)
		wait = max(wait, u.tokens.wait(0))
	}
	if wait > MaxWait {
		return Decision{RetryAfter: wait, Why: "its organisation is over its limit"}
	}
	u.requests.take(1)
	u.tokens.take(tokens)
	u.streams++
	return Decision{Admitted: true, Wait: wait}
}

// fullStreams reports whether all streams are taken: by what all hosts told, or this host's part.
func (l *Limiter) fullStreams(now time.Time, u *usage, spec *object.LimitSpec) bool {
	part := max(1, math.Round(l.share(u.wantedRequests.rateAt(now), u.others.Requests)*float64(spec.Streams)))
	return u.streams+u.others.Streams >= spec.Streams || float64(u.streams) >= part && u.others.Streams > 0
}

// share returns this host's part of a limit. Those of all hosts that know the same add up to 1.
func (l *Limiter) share(own, others float64) float64 {
	even := 1 / float64(l.hosts)
	if own+others <= 0 {
		return even
	}
	return evenShare*even + (1-evenShare)*own/(own+others)
}

// Done ends an admitted request. correction is what it used beyond the tokens expected, in tokens.
func (l *Limiter) Done(org string, correction float64) {
	if u, ok := l.orgs[org]; ok {
		u.streams = max(0, u.streams-1)
		u.tokens.take(correction)
	}
}

// Demand returns what this host tells the others of its organisations' demand.
func (l *Limiter) Demand(now time.Time) map[string]dispatch.Demand {
	out := map[string]dispatch.Demand{}
	for name, u := range l.orgs {
		d := dispatch.Demand{Requests: coarse(u.wantedRequests.rateAt(now)), Tokens: coarse(u.wantedTokens.rateAt(now)), Streams: u.streams}
		if d.Requests >= leastDemand || d.Streams > 0 {
			out[name] = d
		}
	}
	return out
}

// coarse rounds a rate to a power of demandStep, so that what is told changes seldom.
func coarse(v float64) float64 {
	if v < leastDemand {
		return 0
	}
	return math.Pow(demandStep, math.Round(math.Log(v)/math.Log(demandStep)))
}

// UpdatePeer takes the demand of a host, or of a sum of several.
func (l *Limiter) UpdatePeer(now time.Time, host string, hosts int, demand map[string]dispatch.Demand) {
	p, ok := l.peers[host]
	if !ok {
		p = &peer{}
		l.peers[host] = p
	}
	l.replace(p, demand)
	l.hosts += max(1, hosts) - p.hosts
	p.heard, p.hosts = now, max(1, hosts)
}

func (l *Limiter) replace(p *peer, demand map[string]dispatch.Demand) {
	for org, d := range p.demand {
		if u, ok := l.orgs[org]; ok {
			u.others = plus(u.others, d, -1)
		}
	}
	p.demand = demand
	for org, d := range demand {
		if u, ok := l.orgs[org]; ok {
			u.others = plus(u.others, d, 1)
		}
	}
}

func plus(a, b dispatch.Demand, sign float64) dispatch.Demand {
	return dispatch.Demand{
		Requests: max(0, a.Requests+sign*b.Requests), Tokens: max(0, a.Tokens+sign*b.Tokens), Streams: max(0, a.Streams+int(sign)*b.Streams),
	}
}

// ForgetSilentPeers drops hosts that were not heard for long.
func (l *Limiter) ForgetSilentPeers(now time.Time) {
	for host, p := range l.peers {
		if now.Sub(p.heard) > frozenTime {
			l.replace(p, nil)
			l.hosts -= p.hosts
			delete(l.peers, host)
		}
	}
}
