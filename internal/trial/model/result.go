package model

import (
	"slices"
	"time"
)

// Result is what callers got in a play.
type Result struct {
	Pattern string
	Classes map[string]*ClassResult
	// Read counts tokens of prompts that engines read, Again those that another engine had read.
	Read, Again int
}

// ClassResult is what the callers of a class got.
type ClassResult struct {
	Asked, Refused, Left int
	// OnTime answers met goal and pause; LateFirst and LatePause missed one of them.
	OnTime, LateFirst, LatePause int
	firsts                       []time.Duration
}

func (r *ClassResult) note(c *call) {
	first := c.first.Sub(c.sent)
	r.firsts = append(r.firsts, first)
	switch {
	case first > time.Duration(c.class.Goal):
		r.LateFirst++
	case c.pause > time.Duration(c.class.Gap):
		r.LatePause++
	default:
		r.OnTime++
	}
}

// Attained is the share of callers that were answered on time.
func (r *ClassResult) Attained() float64 {
	if r.Asked == 0 {
		return 0
	}
	return float64(r.OnTime) / float64(r.Asked)
}

// Served is the share of callers that were answered at all.
func (r *ClassResult) Served() float64 {
	if r.Asked == 0 {
		return 0
	}
	return float64(r.OnTime+r.LateFirst+r.LatePause) / float64(r.Asked)
}

// First returns a quantile, 0 to 1, of the time to the first event.
func (r *ClassResult) First(q float64) time.Duration {
	if len(r.firsts) == 0 {
		return 0
	}
	l := slices.Clone(r.firsts)
	slices.Sort(l)
	return l[min(int(q*float64(len(l))), len(l)-1)]
}
