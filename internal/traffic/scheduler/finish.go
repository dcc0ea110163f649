package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/retry"
)

// Progress implements [dispatch.Policy].
func (p *Policy) Progress(now time.Time, id request.ID, tokens int) {
	e, ok := p.entries[id]
	if !ok || e.server == "" {
		return
	}
	p.chooser.Progress(now, id, tokens)
	e.generated += tokens
	p.parts.tracker.AddAnswers(e.started, e.sharedParts)
	if e.victimIndex >= 0 {
		e.pool.victims.Fix(e.victimIndex)
	}
	if excess := e.attemptWork() - e.charged; excess > 0 {
		// The answer is longer than expected: charge the excess and the expected rest.
		l := e.pool.statsOf(e.req.Class).lengthsOf(e.req.Organisation)
		excess += l.Remaining(e.earlierTokens + e.generated)
		p.charge(now, e, excess)
	}
	p.publishWork(now, e, e.attemptWork())
}

// Finish implements [dispatch.Policy].
func (p *Policy) Finish(now time.Time, r request.Result) []dispatch.Effect {
	e, ok := p.entries[r.ID]
	if !ok || e.server == "" {
		return nil
	}
	pl := e.pool
	p.chooser.Finished(now, e.req, r)
	p.suspects.Finished(now, r.ID, r)
	p.parts.finished(now, e, r)
	if p.isolatedByServer[e.server] == r.ID {
		delete(p.isolatedByServer, e.server)
	}
	d := p.retry.Decide(now, e.req, e.attempts, r)
	p.recordAttemptEnd(now, e, r)
	var out []dispatch.Effect
	switch r.Outcome {
	case request.Completed, request.Cancelled:
		p.forget(e)
	default:
		out = p.retryOrRefuse(now, e, r, d)
	}
	return append(out, p.reschedule(now, pl)...)
}

// recordAttemptEnd replaces the estimated charge of an attempt by its actual work and resets its running state.
func (p *Policy) recordAttemptEnd(now time.Time, e *entry, r request.Result) {
	e.pool.q.Ended(e.req.Class)
	p.removeVictim(e)
	e.server = ""
	e.generated = max(e.generated, r.OutputTokens)
	work := e.attemptWork()
	switch {
	case r.Outcome == request.Unreachable || r.Outcome == request.Rejected:
		work = 0
	case !e.pool.engineProtocol:
		work = 1
	}
	p.charge(now, e, work-e.charged)
	p.publishWork(now, e, work)
	e.pool.preemptionBudget += preemptionBudgetShare * work
	if r.Outcome != request.Unreachable && r.Outcome != request.Rejected {
		e.ran = request.MayHaveRun
	}
	e.earlierTokens += r.Delivered
	e.usedTokens += r.PromptTokens + r.OutputTokens
	if r.Outcome == request.Completed {
		e.pool.observe(e, r)
	}
}

// observe adds a completed request to the statistics of its class.
func (p *pool) observe(e *entry, r request.Result) {
	st := p.statsOf(e.req.Class)
	st.service.add(r.Elapsed.Seconds())
	p.q.Class(e.req.Class).ServiceTime = time.Duration(st.service.valueOr(0) * float64(time.Second))
	if p.engineProtocol {
		st.observe(e.req.Organisation, e.earlierTokens+r.OutputTokens-r.Delivered)
	}
	if ttft := r.FirstToken - e.started.Sub(e.req.Arrived); e.attempts == 1 && r.FirstToken > 0 && ttft > 0 {
		st.ttft.add(ttft.Seconds())
		if c := p.q.Class(e.req.Class); c.Rank == 1 && len(p.q.Classes()) > 1 {
			p.adjustReserve(r.FirstToken > c.Target)
		}
	}
}

// retryOrRefuse schedules the retry of a failed attempt, or refuses the request.
func (p *Policy) retryOrRefuse(now time.Time, e *entry, r request.Result, d retry.Decision) []dispatch.Effect {
	e.ran = max(e.ran, d.Ran)
	if !d.Retry {
		e.refusalReason, e.refusalWhy = d.Reason, "not retried after "+r.Outcome.String()
		return p.refuseOrDelay(now, e)
	}
	e.exclude = d.Exclude
	p.delay(e, now.Add(d.Delay))
	return p.releaseDelayed(now, e.pool)
}
