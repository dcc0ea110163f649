package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/suspect"
)

var _ dispatch.SuspectTracker = (*Policy)(nil)

// Suspects implements [dispatch.SuspectTracker].
func (p *Policy) Suspects(now time.Time) []suspect.Suspect { return p.suspects.Suspects(now) }

// Lift implements [dispatch.SuspectTracker].
func (p *Policy) Lift(now time.Time, fingerprint uint64) []dispatch.Effect {
	p.suspects.Lift(fingerprint)
	return p.advanceAll(now)
}
