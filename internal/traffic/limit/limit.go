// Package limit enforces the limits of organisations over all hosts. Each host
// reports the demand that it sees to the others and enforces a share of each limit
// in proportion to its share of the demand. The shares of all hosts add up to the limit.
package limit

import (
	"math"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
)

const (
	// demandTimeConstant is the time after which the weight of demand has decayed to 1/e.
	demandTimeConstant = 5 * time.Second
	// evenShare is the fraction of a limit that is divided evenly between hosts, so that a host to which
	// demand moves can admit some of it at once.
	evenShare = 0.125
	// requestBurst and tokenBurst are the times for which unused allowance accumulates and may then be
	// used at once.
	requestBurst = time.Second
	tokenBurst   = 5 * time.Second
	// MaxWait is the longest time for which a request over the limit is delayed. One that would have to
	// wait longer is refused.
	MaxWait = time.Second
	// peerTTL is how long the demand of a host counts after its last report. A host that is cut off keeps
	// its shares for that time. Afterwards the limit is divided between the hosts that still report.
	peerTTL = 10 * time.Minute
	// demandRoundingRatio is the ratio between neighbouring values to which reported rates are rounded.
	demandRoundingRatio = 1.1
	// minReportedDemand is the rate per second below which demand is reported as 0.
	minReportedDemand = 0.01
)

// Decision is the result of [Limiter.Admit] for one request.
type Decision struct {
	// Admitted tells whether the request is admitted. It may start after Wait.
	Admitted bool
	Wait     time.Duration
	// RetryAfter and Why are set if the request is refused.
	RetryAfter time.Duration
	Why        string
}

// Limiter enforces the limits on one host. It is not safe for concurrent use.
type Limiter struct {
	limits map[string]*object.LimitSpec
	orgs   map[string]*orgState
	peers  map[string]*peer
	hosts  int
}

// peer is another host, or the sum of several, with the demand last reported.
type peer struct {
	receivedAt time.Time
	hosts      int
	demand     map[string]dispatch.Demand
}

// orgState is the state of one organisation with a limit.
type orgState struct {
	requests, tokens bucket
	// requestDemand and tokenDemand are the demand that this host saw, admitted or not, streams the
	// streams admitted here, and peerDemand the sum of the demand of the other hosts.
	requestDemand, tokenDemand decayedRate
	streams                    int
	peerDemand                 dispatch.Demand
}

// New returns a Limiter without limits.
func New() *Limiter {
	return &Limiter{limits: map[string]*object.LimitSpec{}, orgs: map[string]*orgState{}, peers: map[string]*peer{}, hosts: 1}
}

// Configure sets the limits to those of a release.
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

// state returns the state and the limit of an organisation, or nil if it has no limit.
func (l *Limiter) state(org string) (*orgState, *object.LimitSpec) {
	spec := l.limits[org]
	if spec == nil {
		return nil, nil
	}
	st, ok := l.orgs[org]
	if !ok {
		st = &orgState{}
		for _, p := range l.peers {
			st.peerDemand = addDemand(st.peerDemand, p.demand[org], 1)
		}
		l.orgs[org] = st
	}
	return st, spec
}

// Admit decides whether a request that is expected to use tokens may start. An admitted request counts
// as a stream of its organisation until [Limiter.Done].
func (l *Limiter) Admit(now time.Time, org string, tokens float64) Decision {
	st, spec := l.state(org)
	if st == nil {
		return Decision{Admitted: true}
	}
	st.requestDemand.add(now, 1)
	st.tokenDemand.add(now, tokens)
	if spec.Streams > 0 && l.streamsExhausted(now, st, spec) {
		return Decision{RetryAfter: MaxWait, Why: "its organisation has reached its limit of concurrent streams"}
	}
	var wait time.Duration
	if spec.RequestsPerSecond > 0 {
		share := l.share(st.requestDemand.perSecond(now), st.peerDemand.Requests)
		st.requests.refill(now, share*spec.RequestsPerSecond, requestBurst, 1)
		wait = max(wait, st.requests.wait(1))
	}
	if spec.TokensPerMinute > 0 {
		share := l.share(st.tokenDemand.perSecond(now), st.peerDemand.Tokens)
		st.tokens.refill(now, share*spec.TokensPerMinute/time.Minute.Seconds(), tokenBurst, 0)
		wait = max(wait, st.tokens.wait(0))
	}
	if wait > MaxWait {
		return Decision{RetryAfter: wait, Why: "its organisation has exceeded its rate limit of requests or tokens"}
	}
	st.requests.take(1)
	st.tokens.take(tokens)
	st.streams++
	return Decision{Admitted: true, Wait: wait}
}

// streamsExhausted reports whether no stream is left: because the streams of this host and those reported
// by the others reach the limit, or because this host uses its share and other hosts have streams too.
func (l *Limiter) streamsExhausted(now time.Time, st *orgState, spec *object.LimitSpec) bool {
	hostStreams := max(1, math.Round(l.share(st.requestDemand.perSecond(now), st.peerDemand.Requests)*float64(spec.Streams)))
	return st.streams+st.peerDemand.Streams >= spec.Streams || float64(st.streams) >= hostStreams && st.peerDemand.Streams > 0
}

// share returns this host's share of a limit, from 0 to 1. The shares add up to 1 over all hosts if they
// have the same reports.
func (l *Limiter) share(own, others float64) float64 {
	even := 1 / float64(l.hosts)
	if own+others <= 0 {
		return even
	}
	return evenShare*even + (1-evenShare)*own/(own+others)
}

// Done ends an admitted request. correction is the number of tokens that it used beyond those expected;
// it is negative if the request used fewer.
func (l *Limiter) Done(org string, correction float64) {
	if st, ok := l.orgs[org]; ok {
		st.streams = max(0, st.streams-1)
		st.tokens.take(correction)
	}
}

// Demand returns the demand by organisation that this host reports to the others.
func (l *Limiter) Demand(now time.Time) map[string]dispatch.Demand {
	out := map[string]dispatch.Demand{}
	for name, st := range l.orgs {
		d := dispatch.Demand{Requests: roundDemand(st.requestDemand.perSecond(now)), Tokens: roundDemand(st.tokenDemand.perSecond(now)), Streams: st.streams}
		if d.Requests >= minReportedDemand || d.Streams > 0 {
			out[name] = d
		}
	}
	return out
}

// roundDemand rounds a rate to a power of demandRoundingRatio, so that reports rarely change.
func roundDemand(v float64) float64 {
	if v < minReportedDemand {
		return 0
	}
	return math.Pow(demandRoundingRatio, math.Round(math.Log(v)/math.Log(demandRoundingRatio)))
}

// UpdatePeer replaces the demand reported by host. A report may be the sum over several hosts: hosts is
// their number.
func (l *Limiter) UpdatePeer(now time.Time, host string, hosts int, demand map[string]dispatch.Demand) {
	p, ok := l.peers[host]
	if !ok {
		p = &peer{}
		l.peers[host] = p
	}
	l.replaceDemand(p, demand)
	l.hosts += max(1, hosts) - p.hosts
	p.receivedAt, p.hosts = now, max(1, hosts)
}

// replaceDemand replaces the demand of p in the sums of all organisations.
func (l *Limiter) replaceDemand(p *peer, demand map[string]dispatch.Demand) {
	for org, d := range p.demand {
		if st, ok := l.orgs[org]; ok {
			st.peerDemand = addDemand(st.peerDemand, d, -1)
		}
	}
	p.demand = demand
	for org, d := range demand {
		if st, ok := l.orgs[org]; ok {
			st.peerDemand = addDemand(st.peerDemand, d, 1)
		}
	}
}

// addDemand returns a plus b for a sign of 1, or a minus b for a sign of -1, with no field below 0.
func addDemand(a, b dispatch.Demand, sign float64) dispatch.Demand {
	return dispatch.Demand{
		Requests: max(0, a.Requests+sign*b.Requests), Tokens: max(0, a.Tokens+sign*b.Tokens), Streams: max(0, a.Streams+int(sign)*b.Streams),
	}
}

// ExpirePeers removes the peers that have not reported for longer than peerTTL.
func (l *Limiter) ExpirePeers(now time.Time) {
	for host, p := range l.peers {
		if now.Sub(p.receivedAt) > peerTTL {
			l.replaceDemand(p, nil)
			l.hosts -= p.hosts
			delete(l.peers, host)
		}
	}
}
