// Package retry decides whether a request runs again after a failed attempt, after
// which delay and without which servers. It also determines whether a backend server
// can have run the request, as far as the attempts prove it.
package retry

import (
	"math/rand/v2"
	"slices"
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

const (
	// defaultBudgetRatio is the ratio of retries to first attempts for a route that sets no budget.
	defaultBudgetRatio = 0.1
	// defaultAttempts is the number of attempts, the first included, of a request that sets none.
	defaultAttempts = 1
	// baseDelay is the upper bound of the delay before the first retry. The bound doubles with each
	// further retry, up to maxDelay.
	baseDelay = 25 * time.Millisecond
	// rejectedBaseDelay replaces baseDelay after a server rejected the request for lack of capacity.
	rejectedBaseDelay = 100 * time.Millisecond
	maxDelay          = time.Second
)

// Decision is the result of [Policy.Decide] for one attempt.
type Decision struct {
	// Retry tells whether to run the request again, after Delay and on none of the servers in Exclude.
	Retry   bool
	Delay   time.Duration
	Exclude []string
	// Reason is the reason for the refusal if a failed request does not run again.
	Reason dispatch.RefusalReason
	// Ran states what all attempts so far prove about whether the request ran.
	Ran request.Ran
}

// Policy decides on retries. It is not safe for concurrent use.
type Policy struct {
	rng          *rand.Rand
	budgetRatios map[string]float64
	budgets      map[string]*budget
	records      map[request.ID]*record
}

// record is the state of a request that is kept between its attempts.
type record struct {
	// triedServers are the servers of the attempts that ended other than by preemption. countedAttempts
	// counts the failed attempts towards the request's limit; preempted ones do not count. delivered
	// tells whether the caller has received output.
	triedServers    []string
	ran             request.Ran
	countedAttempts int
	delivered       bool
}

// New returns a Policy. The seed determines its random delays.
func New(seed uint64) *Policy {
	return &Policy{
		rng:          rand.New(rand.NewPCG(seed, 0x7265747279)),
		budgetRatios: map[string]float64{},
		budgets:      map[string]*budget{},
		records:      map[request.ID]*record{},
	}
}

// Configure sets the retry budgets to those of the routes in s and removes the budgets of classes that s
// does not have.
func (p *Policy) Configure(s *release.Snapshot) {
	p.budgetRatios = make(map[string]float64, len(s.Set.Routes))
	for name, r := range s.Set.Routes {
		if r.Retry.Budget > 0 {
			p.budgetRatios[name] = r.Retry.Budget
		}
	}
	for class := range p.budgets {
		if _, ok := s.Set.Classes[class]; !ok {
			delete(p.budgets, class)
		}
	}
}

// Forget drops the record of a request. It must be called when the request is over.
func (p *Policy) Forget(id request.ID) { delete(p.records, id) }

// Decide decides what follows the result of attempt number attempt, from 1. It must be called with the
// result of every attempt, including completed ones, because first attempts earn the budget that
// retries spend.
func (p *Policy) Decide(now time.Time, r *request.Request, attempt int, res request.Result) Decision {
	rec := p.recordAttempt(r, res)
	b := p.budget(now, r.Class)
	if attempt == 1 {
		b.earn(p.budgetRatio(r.Route))
	}
	d := Decision{Ran: rec.ran, Reason: dispatch.Exhausted}
	if res.Outcome == request.Completed || res.Outcome == request.Cancelled || !safeToRetry(r, rec, res) {
		return d
	}
	if res.Outcome != request.Preempted {
		rec.countedAttempts++
		if rec.countedAttempts >= max(r.Attempts, defaultAttempts) {
			return d
		}
	}
	delay := p.delay(rec.countedAttempts, res.Outcome)
	if !r.Deadline.IsZero() && !now.Add(delay).Before(r.Deadline) {
		d.Reason = dispatch.PastDeadline
		return d
	}
	if res.Outcome != request.Preempted && !b.spend() {
		return d
	}
	d.Retry, d.Delay = true, delay
	d.Exclude = append([]string(nil), rec.triedServers...)
	return d
}

// recordAttempt adds the result of an attempt to the record of its request.
func (p *Policy) recordAttempt(r *request.Request, res request.Result) *record {
	rec, ok := p.records[r.ID]
	if !ok {
		rec = &record{}
		p.records[r.ID] = rec
	}
	rec.ran = max(rec.ran, ranOf(res))
	rec.delivered = rec.delivered || res.Delivered > 0
	// A preempted request may return to the same server, because the server did not fail.
	if res.Outcome != request.Preempted && !slices.Contains(rec.triedServers, res.Server) {
		rec.triedServers = append(rec.triedServers, res.Server)
	}
	return rec
}

// ranOf returns what the result of one attempt proves about whether the request ran.
func ranOf(res request.Result) request.Ran {
	switch {
	case res.Outcome == request.Unreachable, res.Outcome == request.Rejected:
		return request.NotRun
	case res.Outcome == request.Completed, res.Outcome == request.Failed, res.OutputTokens > 0, res.Delivered > 0:
		return request.DidRun
	}
	return request.MayHaveRun
}

// safeToRetry reports whether a retry can neither repeat a side effect nor send the caller a token twice.
func safeToRetry(r *request.Request, rec *record, res request.Result) bool {
	return r.Idempotent && (!rec.delivered || res.Resumable)
}

// delay returns a random delay, uniform from 0 to a bound that doubles with each retry. The randomness
// keeps the requests of a crashed server from arriving at the other servers all at once.
func (p *Policy) delay(retry int, o request.Outcome) time.Duration {
	if o == request.Preempted {
		return 0
	}
	bound := baseDelay
	if o == request.Rejected {
		bound = rejectedBaseDelay
	}
	for range retry - 1 {
		bound = min(2*bound, maxDelay)
	}
	return time.Duration(p.rng.Int64N(int64(bound)))
}

// budgetRatio returns the ratio of retries to first attempts that a route allows.
func (p *Policy) budgetRatio(route string) float64 {
	if v, ok := p.budgetRatios[route]; ok {
		return v
	}
	return defaultBudgetRatio
}
