package scheduler

import (
	"slices"
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/suspect"
)

// partSuspects finds parts of prompts that crash servers. Crashes are unconfirmed until their server has not answered for
// [suspect.ConfirmTime].
type partSuspects struct {
	tracker     *suspect.PartTracker
	unconfirmed []suspect.PartCrash
}

// finished records the end of an attempt of e.
func (s *partSuspects) finished(now time.Time, e *entry, r request.Result) {
	switch {
	case r.Outcome == request.Completed:
		s.tracker.AddAnswers(e.started, e.sharedParts)
		s.unconfirmed = slices.DeleteFunc(s.unconfirmed, func(c suspect.PartCrash) bool { return c.Server == e.server && !e.started.Before(c.At) })
	case r.Outcome == request.Broken && r.Delivered == 0:
		if len(e.sharedParts) > 0 {
			s.unconfirmed = append(s.unconfirmed, suspect.PartCrash{Server: e.server, At: now, Parts: e.sharedParts})
		}
	}
}

// update confirms crashes whose servers have not answered in time and forgets old ones.
func (s *partSuspects) update(now time.Time) {
	s.unconfirmed = slices.DeleteFunc(s.unconfirmed, func(c suspect.PartCrash) bool {
		confirmed := now.Sub(c.At) >= suspect.ConfirmTime
		if confirmed {
			s.tracker.AddCrash(now, c)
		}
		return confirmed
	})
	s.tracker.Expire(now)
}

// heldByPart reports whether a request must not run because a part of its prompt crashes servers. A request that runs as a
// trial is not retried.
func (p *Policy) heldByPart(now time.Time, e *entry) bool {
	part, trials, held := p.parts.tracker.Held(now, e.sharedParts)
	if !held {
		return false
	}
	e.trial = !e.trial && p.parts.tracker.Try(now, part, trials, 1+len(p.peers), p.rng)
	return !e.trial
}

// refuseHeldPart refuses a request that waits in its queue although a part of its prompt is held by now.
func (p *Policy) refuseHeldPart(now time.Time, e *entry) dispatch.Effect {
	p.removeQueued(now, e)
	return p.refuse(now, e, dispatch.CrashSuspect, suspect.HeldPartWhy)
}
