package model

import (
	"slices"
	"time"
)

// Result holds what callers and engines experienced in a simulation.
type Result struct {
	Pattern string
	Classes map[string]*ClassResult
	// PrefillTokens counts the prompt tokens that engines prefilled, and RepeatedPrefillTokens those of them that another
	// engine had cached.
	PrefillTokens, RepeatedPrefillTokens int
	// BusiestShare is the work of the engine that did most in relation to its speed, as a multiple of its share by speed.
	BusiestShare float64
}

// ClassResult holds the counts of the requests of a class.
type ClassResult struct {
	Offered, Refused, Abandoned int
	// OnTime counts answers that met both targets of the class. LateFirst counts those whose first event was late, and
	// LateGap the others that had too long a gap between two events.
	OnTime, LateFirst, LateGap int
	firstEventTimes            []time.Duration
}

func (r *ClassResult) recordAnswered(c *call) {
	first := c.firstEventAt.Sub(c.arrivedAt)
	r.firstEventTimes = append(r.firstEventTimes, first)
	switch {
	case first > time.Duration(c.class.Goal):
		r.LateFirst++
	case c.longestGap > time.Duration(c.class.Gap):
		r.LateGap++
	default:
		r.OnTime++
	}
}

// Attainment returns the share of requests whose answer met both targets.
func (r *ClassResult) Attainment() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.OnTime) / float64(r.Offered)
}

// ServedShare returns the share of requests that were answered, on time or late.
func (r *ClassResult) ServedShare() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.OnTime+r.LateFirst+r.LateGap) / float64(r.Offered)
}

// FirstEventQuantile returns the quantile q, from 0 to 1, of the time to the first event.
func (r *ClassResult) FirstEventQuantile(q float64) time.Duration {
	if len(r.firstEventTimes) == 0 {
		return 0
	}
	l := slices.Clone(r.firstEventTimes)
	slices.Sort(l)
	return l[min(int(q*float64(len(l))), len(l)-1)]
}
