package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/suspect"
)

var _ dispatch.SuspectTracker = (*Policy)(nil)

// Suspects implements [dispatch.SuspectTracker].
func (p *Policy) Suspects(now time.Time) []suspect.Suspect { return p.suspect.Suspects(now) }

// Lift implements [dispatch.SuspectTracker].
func (p *Policy) Lift(now time.Time, fingerprint uint64) []dispatch.Effect {
	p.suspect.Lift(fingerprint)
	return p.drainAll(now)
}
