// Package retry decides whether the work of a failed attempt runs again, when
// and where not, and what may truthfully be said about its having run.
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
	// defaultRatio is the retries per first try of a route that sets no budget.
	defaultRatio = 0.1
	// defaultAttempts counts the tries of a request that sets none.
	defaultAttempts = 1
	// baseDelay is the upper bound of the delay before the first retry; it doubles with each further one.
	baseDelay = 25 * time.Millisecond
	// rejectedDelay replaces baseDelay when a server said that it has no room.
	rejectedDelay = 100 * time.Millisecond
	maxDelay      = time.Second
)

// Decision is what follows from the end of an attempt.
type Decision struct {
	// Retry tells to run the request once more, After from now and on none of the servers in Exclude.
	Retry   bool
	Delay   time.Duration
	Exclude []string
	// Reason is set when a failed request does not run again.
	Reason dispatch.RefusalReason
	// Ran sums up all attempts so far.
	Ran request.Ran
}

// Policy decides on retries. It is used by one goroutine.
type Policy struct {
	rng     *rand.Rand
	ratios  map[string]float64
	budgets map[string]*budget
	records map[request.ID]*record
}

// record is what is kept of a request between its attempts.
type record struct {
	tried     []string
	ran       request.Ran
	charged   int
	delivered bool
}

// New returns a Policy that draws its delays from seed.
func New(seed uint64) *Policy {
	return &Policy{
		rng:     rand.New(rand.NewPCG(seed, 0x7265747279)),
		ratios:  map[string]float64{},
		budgets: map[string]*budget{},
		records: map[request.ID]*record{},
	}
}

// Configure adopts the budgets of the routes in s.
func (p *Policy) Configure(s *release.Snapshot) {
	p.ratios = make(map[string]float64, len(s.Set.Routes))
	for name, r := range s.Set.Routes {
		if r.Retry.Budget > 0 {
			p.ratios[name] = r.Retry.Budget
		}
	}
	for class := range p.budgets {
		if _, ok := s.Set.Classes[class]; !ok {
			delete(p.budgets, class)
		}
	}
}

// Forget drops what is kept of a request. It is called when the request is over.
func (p *Policy) Forget(id request.ID) { delete(p.records, id) }

// Decide takes the result of attempt number attempt, from 1. It must be given the
// result of every attempt, completed ones too: first tries earn the budget that retries spend.
func (p *Policy) Decide(now time.Time, r *request.Request, attempt int, res request.Result) Decision {
	rec := p.note(r, res)
	b := p.budget(now, r.Class)
	if attempt == 1 {
		b.earn(p.ratio(r.Route))
	}
	d := Decision{Ran: rec.ran, Reason: dispatch.Exhausted}
	if res.Outcome == request.Completed || res.Outcome == request.Cancelled || !mayRepeat(r, rec, res) {
		return d
	}
	if res.Outcome != request.Preempted {
		rec.charged++
		if rec.charged >= max(r.Attempts, defaultAttempts) {
			return d
		}
	}
	after := p.delay(rec.charged, res.Outcome)
	if !r.Deadline.IsZero() && !now.Add(after).Before(r.Deadline) {
		d.Reason = dispatch.PastDeadline
		return d
	}
	if res.Outcome != request.Preempted && !b.spend() {
		return d
	}
	d.Retry, d.Delay = true, after
	d.Exclude = append([]string(nil), rec.tried...)
	return d
}

// note adds an attempt to the record of its request.
func (p *Policy) note(r *request.Request, res request.Result) *record {
	rec, ok := p.records[r.ID]
	if !ok {
		rec = &record{}
		p.records[r.ID] = rec
	}
	rec.ran = max(rec.ran, ranOf(res))
	rec.delivered = rec.delivered || res.Delivered > 0
	// A preempted request may go back to its server: nothing was wrong with it.
	if res.Outcome != request.Preempted && !slices.Contains(rec.tried, res.Server) {
		rec.tried = append(rec.tried, res.Server)
	}
	return rec
}

// ranOf tells what one attempt proves.
func ranOf(res request.Result) request.Ran {
	switch {
	case res.Outcome == request.Unreachable, res.Outcome == request.Rejected:
		return request.NotRun
	case res.Outcome == request.Completed, res.Outcome == request.Failed, res.OutputTokens > 0, res.Delivered > 0:
		return request.DidRun
	}
	return request.MayHaveRun
}

// mayRepeat reports whether a repetition can neither harm nor show the caller a token twice.
func mayRepeat(r *request.Request, rec *record, res request.Result) bool {
	return r.Idempotent && (!rec.delivered || res.Resumable)
}

// delay is drawn evenly from zero to a bound that doubles, so that the requests of a
// crashed server do not arrive at the others in one moment.
func (p *Policy) delay(retry int, o request.Outcome) time.Duration {
	if o == request.Preempted {
		return 0
	}
	bound := baseDelay
	if o == request.Rejected {
		bound = rejectedDelay
	}
	for range retry - 1 {
		bound = min(2*bound, maxDelay)
	}
	return time.Duration(p.rng.Int64N(int64(bound)))
}

func (p *Policy) ratio(route string) float64 {
	if v, ok := p.ratios[route]; ok {
		return v
	}
	return defaultRatio
}
