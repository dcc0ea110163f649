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
	if e.victimPlace >= 0 {
		e.pool.victims.Fix(e.victimPlace)
	}
	if more := e.work() - e.charged; more > 0 {
		// The answer is longer than expected: charge what it will take in all.
		l := e.pool.class(e.req.Class).lengthsOf(e.req.Organisation)
		more += l.Remaining(e.before + e.generated)
		p.charge(now, e, more)
	}
	p.tell(now, e, e.work())
}

// Finish implements [dispatch.Policy].
func (p *Policy) Finish(now time.Time, r request.Result) []dispatch.Effect {
	e, ok := p.entries[r.ID]
	if !ok || e.server == "" {
		return nil
	}
	pl := e.pool
	p.chooser.Finished(now, e.req, r)
	p.suspect.Finished(now, r.ID, r)
	if p.isolated[e.server] == r.ID {
		delete(p.isolated, e.server)
	}
	d := p.retry.Decide(now, e.req, e.starts, r)
	p.ended(now, e, r)
	var out []dispatch.Effect
	switch r.Outcome {
	case request.Completed, request.Cancelled:
		p.forget(e)
	default:
		out = p.again(now, e, r, d)
	}
	return append(out, p.settle(now, pl)...)
}

// ended closes the books of an attempt.
func (p *Policy) ended(now time.Time, e *entry, r request.Result) {
	e.pool.q.Ended(e.req.Class)
	p.dropVictim(e)
	e.server = ""
	e.generated = max(e.generated, r.OutputTokens)
	work := e.work()
	switch {
	case r.Outcome == request.Unreachable || r.Outcome == request.Rejected:
		work = 0
	case !e.pool.engine:
		work = 1
	}
	p.charge(now, e, work-e.charged)
	p.tell(now, e, work)
	e.pool.allowance += preemptShare * work
	if r.Outcome != request.Unreachable && r.Outcome != request.Rejected {
		e.ran = request.MayHaveRun
	}
	e.before += r.Delivered
	e.used += r.PromptTokens + r.OutputTokens
	if r.Outcome == request.Completed {
		e.pool.observe(e, r)
	}
}

// observe learns from a completed request.
func (p *pool) observe(e *entry, r request.Result) {
	st := p.class(e.req.Class)
	st.service.add(r.Elapsed.Seconds())
	p.q.Class(e.req.Class).ServiceTime = time.Duration(st.service.or(0) * float64(time.Second))
	if p.engine {
		st.observe(e.req.Organisation, e.before+r.OutputTokens-r.Delivered)
	}
	if first := r.FirstToken - e.started.Sub(e.req.Arrived); e.starts == 1 && r.FirstToken > 0 && first > 0 {
		st.prefill.add(first.Seconds())
		if c := p.q.Class(e.req.Class); c.Rank == 1 && len(p.q.Classes()) > 1 {
			p.learnReserve(r.FirstToken > c.Target)
		}
	}
}

// again tries an attempt that failed once more, or refuses the request.
func (p *Policy) again(now time.Time, e *entry, r request.Result, d retry.Decision) []dispatch.Effect {
	e.ran = max(e.ran, d.Ran)
	if !d.Retry {
		e.reason, e.over = d.Reason, "no further try after "+r.Outcome.String()
		return p.give(now, e)
	}
	e.exclude = d.Exclude
	p.delay(e, now.Add(d.Delay))
	return p.release(now, e.pool)
}
