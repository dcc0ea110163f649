package dispatch

import (
	"context"
	"time"

	"shallotramp/internal/traffic/suspect"
)

// SuspectTracker is a [Policy] that marks requests which crash backend servers.
type SuspectTracker interface {
	// Suspects lists the marks, most crashes first.
	Suspects(now time.Time) []suspect.Suspect
	// Lift drops a mark and returns what may start now.
	Lift(now time.Time, fingerprint uint64) []Effect
}

type (
	suspectQuery struct{ answer chan<- []suspect.Suspect }
	lift         struct{ fingerprint uint64 }
)

func (e suspectQuery) apply(l *Loop, now time.Time) []Effect {
	var list []suspect.Suspect
	if h, ok := l.policy.(SuspectTracker); ok {
		list = h.Suspects(now)
	}
	e.answer <- list
	return nil
}

func (e lift) apply(l *Loop, now time.Time) []Effect {
	if h, ok := l.policy.(SuspectTracker); ok {
		return h.Lift(now, e.fingerprint)
	}
	return nil
}

// Suspects lists the marked requests, none for a policy that is no [SuspectTracker].
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

// Lift drops the mark of a request.
func (l *Loop) Lift(fingerprint uint64) { l.post(lift{fingerprint}) }
