package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotramp/internal/traffic/overload"
)

// serviceLoad returns what the servers of the service bear, and what of it comes before requests of the levels. Servers
// preferred for other prompts count too: a request runs there if its own are full.
func (e *entry) serviceLoad(onTime, late int) overload.Load {
	servers := len(e.svc.servers)
	if servers == 0 {
		return overload.Load{}
	}
	var out overload.Load
	m := &e.svc.latencyModel
	for _, s := range e.svc.servers {
		w := s.totalWork()
		n, pending := w.ahead(onTime)
		_, latePending := w.ahead(late)
		out.Slots += max(s.info.Slots, 1)
		out.InFlight += w.totalInFlight()
		out.Ahead += n
		out.Wait += m.prefillTime(pending)
		out.WaitIfLate += m.prefillTime(latePending)
	}
	out.Servers, out.Wait, out.WaitIfLate = servers, out.Wait/time.Duration(servers), out.WaitIfLate/time.Duration(servers)
	return out
}

// admit decides whether a request that the policy would start on c is on time, late or refused. It decides nothing about
// plain services and about streams that callers have begun to read.
func (p *Policy) admit(now time.Time, e *entry, c choice) overload.Decision {
	if e.svc.engine == nil || e.waitingSince.After(e.req.Arrived) || e.runs > 0 {
		return overload.Decision{Verdict: overload.OnTime}
	}
	l := &e.svc.latencyModel
	if g, ok := e.svc.tierGoals[e.req.Tier]; e.req.Goal > 0 && (!ok || e.req.Goal < g) {
		e.svc.tierGoals[e.req.Tier] = e.req.Goal
	}
	r := overload.Request{
		Goal: e.req.Goal, TierGoal: e.svc.tierGoals[e.req.Tier], GoalLeft: e.req.Goal - now.Sub(e.req.Arrived), NoGoal: e.req.Goal <= 0,
		DeadlineLeft: e.req.Deadline.Sub(now) - deadlineMargin,
		FirstToken:   c.latency, Prefill: l.prefillTime(c.uncached) + l.firstTokenBase, Tail: e.svc.tails.expected(e),
		Draw: float64(xxhash.Sum64String(string(e.req.ID))>>11) / (1 << 53),
	}
	load := e.serviceLoad(p.urgencyLevels(e))
	d := overload.Decide(load, r)
	e.svc.overload.record(now, d.Verdict, load)
	return d
}

// urgencyLevels returns the urgency levels of e as a request on time and as a late one.
func (p *Policy) urgencyLevels(e *entry) (onTime, late int) {
	old := e.late
	e.late = false
	onTime = p.urgency(e)
	e.late = true
	late = p.urgency(e)
	e.late = old
	return onTime, late
}

// OverloadReport counts the requests of a service that a host has decided to run late or refused because of overload since
// it started, with the load that the latest of these decisions was based on.
type OverloadReport struct {
	Late, Refused int
	Load          overload.Load
	At            time.Time
}

func (r *OverloadReport) record(now time.Time, v overload.Verdict, l overload.Load) {
	switch v {
	case overload.OnTime:
		return
	case overload.Late:
		r.Late++
	case overload.Refuse:
		r.Refused++
	}
	r.Load, r.At = l, now
}

// overloadReports returns the reports of the services in which there were such decisions.
func (p *Policy) overloadReports() map[string]OverloadReport {
	var out map[string]OverloadReport
	for name, s := range p.services {
		if s.overload.At.IsZero() {
			continue
		}
		if out == nil {
			out = map[string]OverloadReport{}
		}
		out[name] = s.overload
	}
	return out
}

// answerTails are the times from the first token to the end of answers, per token that callers allow, by class. They follow
// shorter times at once and longer ones slowly: a request is refused only if even a quick answer would end too late.
type answerTails map[string]time.Duration

func (t answerTails) observe(now time.Time, e *entry) {
	if !e.gotFirstToken {
		return
	}
	sample := now.Sub(e.firstTokenAt) / time.Duration(max(e.req.MaxTokens, 1))
	if old, ok := t[e.req.Class]; ok && sample > old {
		sample = ewma(old, sample)
	}
	t[e.req.Class] = sample
}

func (t answerTails) expected(e *entry) time.Duration {
	return t[e.req.Class] * time.Duration(max(e.req.MaxTokens, 1))
}
