package dispatch

import (
	"context"
	"time"

	"shallotramp/internal/traffic/suspect"
)

// SuspectTracker is a [Policy] that marks requests suspected of crashing backend servers.
type SuspectTracker interface {
	// Suspects lists the marked requests, those with the most crashes first.
	Suspects(now time.Time) []suspect.Suspect
	// Lift lifts the mark of a request and returns the effects, such as its start.
	Lift(now time.Time, fingerprint uint64) []Effect
}

type (
	suspectQuery struct{ answer chan<- []suspect.Suspect }
	liftEvent    struct{ fingerprint uint64 }
)

func (e suspectQuery) apply(l *Loop, now time.Time) []Effect {
	var list []suspect.Suspect
	if h, ok := l.policy.(SuspectTracker); ok {
		list = h.Suspects(now)
	}
	e.answer <- list
	return nil
}

func (e liftEvent) apply(l *Loop, now time.Time) []Effect {
	if h, ok := l.policy.(SuspectTracker); ok {
		return h.Lift(now, e.fingerprint)
	}
	return nil
}

// Suspects lists the marked requests; there are none if the policy is not a [SuspectTracker].
func (l *Loop) Suspects(ctx context.Context) ([]suspect.Suspect, error) {
	ch := make(chan []suspect.Suspect, 1)
	l.post(suspectQuery{ch})
	select {
	case list := <-ch:
		return list, nil
	case <-l.ended:
		return nil, context.Canceled
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Lift lifts the mark of a request.
func (l *Loop) Lift(fingerprint uint64) { l.post(liftEvent{fingerprint}) }
