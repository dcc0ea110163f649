package placement

import (
	"slices"
	"time"

	"shallotramp/internal/traffic/suspect"
)

// heldByPart reports whether a request must not run because a part of its prompt crashes servers. A request that runs as a
// trial is not retried.
func (p *Policy) heldByPart(now time.Time, e *entry) bool {
	part, trials, held := p.parts.Held(now, e.sharedParts)
	if !held {
		return false
	}
	e.trial = !e.trial && p.parts.Try(now, part, trials, p.hostCount, p.rng)
	return !e.trial
}

// answerBegan returns when the server began to answer at the latest if that is known, and otherwise when the attempt
// started. A part may crash servers since.
func (e *entry) answerBegan() time.Time {
	if e.gotFirstToken {
		return e.firstTokenAt
	}
	return e.started
}

// updateParts records the answers that have gone on for long enough and the confirmed crashes of servers.
func (p *Policy) updateParts(now time.Time, crashes []Crash) {
	p.begun = slices.DeleteFunc(p.begun, func(e *entry) bool {
		running := e.server != nil && e.gotFirstToken
		if running && now.Sub(e.firstTokenAt) < answerMargin {
			return false
		}
		if running {
			p.parts.AddAnswers(e.firstTokenAt, e.sharedParts)
		}
		return true
	})
	for _, c := range crashes {
		if !c.Answered {
			p.parts.AddCrash(now, suspect.PartCrash{Server: c.Server, At: c.EndedAt, Parts: c.SharedParts})
		}
	}
	p.parts.Expire(now)
}
