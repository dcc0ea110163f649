package model

import (
	"slices"
	"time"
)

// Result is what callers got in a play.
type Result struct {
	Pattern string
	Classes map[string]*ClassResult
	// PrefillTokens counts tokens of prompts that engines read, Again those that another engine had read.
	PrefillTokens, RepeatedPrefillTokens int
}

// ClassResult is what the callers of a class got.
type ClassResult struct {
	Offered, Refused, Abandoned int
	// OnTime answers met goal and pause; LateFirst and LateGap missed one of them.
	OnTime, LateFirst, LateGap int
	firsts                     []time.Duration
}

func (r *ClassResult) note(c *call) {
	first := c.first.Sub(c.sent)
	r.firsts = append(r.firsts, first)
	switch {
	case first > time.Duration(c.class.Goal):
		r.LateFirst++
	case c.pause > time.Duration(c.class.Gap):
		r.LateGap++
	default:
		r.OnTime++
	}
}

// Attainment is the share of callers that were answered on time.
func (r *ClassResult) Attainment() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.OnTime) / float64(r.Offered)
}

// ServedShare is the share of callers that were answered at all.
func (r *ClassResult) ServedShare() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.OnTime+r.LateFirst+r.LateGap) / float64(r.Offered)
}

// FirstEventQuantile returns a quantile, 0 to 1, of the time to the first event.
func (r *ClassResult) FirstEventQuantile(q float64) time.Duration {
	if len(r.firsts) == 0 {
		return 0
	}
	l := slices.Clone(r.firsts)
	slices.Sort(l)
	return l[min(int(q*float64(len(l))), len(l)-1)]
}
