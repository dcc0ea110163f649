package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/suspect"
)

// maxIsolationTries limits how many servers are tried for a request that may crash its server.
const maxIsolationTries = 8

// delay holds a request back until a time.
func (p *Policy) delay(e *entry, until time.Time) {
	e.notBefore = until
	e.pool.delayed.Push(e)
}

// releaseDelayed queues or refuses the delayed requests whose time has come.
func (p *Policy) releaseDelayed(now time.Time, pl *pool) []dispatch.Effect {
	var out []dispatch.Effect
	for pl.delayed.Len() > 0 && !now.Before(pl.delayed.Peek().notBefore) {
		e := pl.delayed.Pop()
		switch effects, held := p.holdIfSuspect(now, e); {
		case held:
			out = append(out, effects...)
		case e.refusalWhy != "":
			out = append(out, p.refuseOrDelay(now, e)...)
		case !now.Before(e.req.Deadline):
			out = append(out, p.refuse(now, e, dispatch.PastDeadline, "its deadline passed between attempts"))
		default:
			p.enqueue(now, e, pl.due(e))
		}
	}
	return out
}

// holdIfSuspect delays or refuses a request that is suspected of crashing servers. It reports
// whether it did either.
func (p *Policy) holdIfSuspect(now time.Time, e *entry) ([]dispatch.Effect, bool) {
	if e.refusalWhy != "" {
		return nil, false
	}
	if p.heldByPart(now, e) {
		e.refusalReason, e.refusalWhy = dispatch.CrashSuspect, suspect.HeldPartWhy
		return p.refuseOrDelay(now, e), true
	}
	switch p.suspects.Verdict(now, e.req.Fingerprint) {
	case suspect.Held:
		e.refusalReason, e.refusalWhy = dispatch.CrashSuspect, "the request crashed several backend servers"
		return p.refuseOrDelay(now, e), true
	case suspect.Isolate:
		e.isolate = true
		if after := p.suspects.RunAfter(now, e.req.Fingerprint); now.Before(after) {
			p.delay(e, after)
			return nil, true
		}
	default:
		e.isolate = false
	}
	return nil, false
}

// refuseOrDelay refuses a request that will not run again. If the request is marked as a crash
// suspect, the refusal is delayed until the mark has reached the other hosts, so that the caller
// can't resend to a host that does not know the mark.
func (p *Policy) refuseOrDelay(now time.Time, e *entry) []dispatch.Effect {
	if after := p.suspects.RefuseAfter(e.req.Fingerprint); now.Before(after) {
		p.delay(e, after)
		return nil
	}
	return []dispatch.Effect{p.refuse(now, e, e.refusalReason, e.refusalWhy)}
}

// chooseIsolated picks a server on which this host runs no other suspected request.
func (p *Policy) chooseIsolated(now time.Time, e *entry) (name, why string, ok bool) {
	exclude := append([]string(nil), e.exclude...)
	if len(exclude) >= p.chooser.Usable(e.req.Pool) {
		// The request failed on every usable server, so none can be excluded.
		exclude = nil
	}
	for range maxIsolationTries {
		name, why, ok = p.chooser.Choose(now, e.req, exclude)
		if !ok {
			return "", "", false
		}
		if _, taken := p.isolatedByServer[name]; !taken && p.suspects.Allowed(e.req.Fingerprint, name) {
			return name, "on a server without another crash suspect, because the request may crash it; " + why, true
		}
		exclude = append(exclude, name)
	}
	return "", "", false
}
