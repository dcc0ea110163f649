package placement

import (
	"time"

	"shallotramp/internal/traffic/request"
)

const (
	// failShare is the weight of one failed request in a server's failure rate.
	failShare = 0.25
	// doubtTime is the cost of a server that fails all its requests.
	doubtTime = 2 * time.Second
	// forgetAfter is the time in which half of a failure rate is forgotten.
	forgetAfter = 3 * time.Second
	// unreachedFor is how long a server that could not be reached is left alone at first, and
	// maxUnreachedFor at most.
	unreachedFor    = 500 * time.Millisecond
	maxUnreachedFor = 3 * time.Second
	// rejectedFor is how long a server that rejected a request is left alone.
	rejectedFor = 150 * time.Millisecond
	// silentAfter is how much later than expected a first token may come before the server is in doubt.
	silentAfter = 300 * time.Millisecond
)

// health is the evidence from the host's own requests.
type health struct {
	// failing is the recent share of failures, as of noted.
	failing float64
	noted   time.Time
	// asideUntil ends a span in which the server gets nothing while others are there.
	asideUntil time.Time
	unreached  int
}

func (h *health) rate(now time.Time) float64 {
	if h.failing == 0 {
		return 0
	}
	age := now.Sub(h.noted)
	f := h.failing
	for ; age >= forgetAfter && f > 0.001; age -= forgetAfter {
		f /= 2
	}
	return f * (1 - 0.5*float64(max(age, 0))/float64(forgetAfter))
}

func (h *health) sample(now time.Time, failed float64) {
	h.failing = h.rate(now)*(1-failShare) + failShare*failed
	h.noted = now
}

// answered notes a sign of life.
func (h *health) answered(now time.Time) {
	h.unreached = 0
	if h.failing > 0 {
		h.sample(now, 0)
	}
}

// note takes the end of an attempt as evidence.
func (h *health) note(now time.Time, _ *entry, o request.Outcome) {
	switch o {
	case request.Completed:
		h.answered(now)
	case request.Broken, request.Failed:
		h.sample(now, 1)
	case request.Unreachable:
		h.sample(now, 1)
		h.asideUntil = now.Add(min(unreachedFor<<min(h.unreached, 8), maxUnreachedFor))
		h.unreached++
	case request.Rejected:
		h.asideUntil = now.Add(rejectedFor)
	case request.Cancelled, request.Preempted:
	}
}

// avoid reports whether the server gets nothing while others are there.
func (s *server) avoid(now time.Time) bool { return now.Before(s.asideUntil) }

// doubt is the surcharge of a server that fails or is silent.
func (s *server) doubt(now time.Time) time.Duration {
	d := time.Duration(s.rate(now) * float64(doubtTime))
	if late := s.oldest(now); late > silentAfter {
		d += late
	}
	if s.info.WarmupLeft > 0 {
		d += coldTime
	}
	return d
}

// coldTime is the cost of a server that is still slow after its start.
const coldTime = 50 * time.Millisecond
