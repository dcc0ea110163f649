package placement

import (
	"time"

	"shallotramp/internal/traffic/request"
)

const (
	// failureWeight is the weight of one request in a server's failure rate.
	failureWeight = 0.25
	// failingCost is the cost added to a server that fails all requests.
	failingCost = 2 * time.Second
	// failureHalfLife is the time in which a failure rate decays by half.
	failureHalfLife = 3 * time.Second
	// unreachableBackoff is how long an unreachable server is avoided at first; it doubles with each
	// failure in a row, up to maxUnreachableBackoff.
	unreachableBackoff    = 500 * time.Millisecond
	maxUnreachableBackoff = 3 * time.Second
	// rejectedBackoff is how long a server that rejected a request is avoided.
	rejectedBackoff = 150 * time.Millisecond
	// firstTokenGrace is how much later than expected a first token may come without a cost to the server.
	firstTokenGrace = 300 * time.Millisecond
)

// health is the state of a server according to the outcomes of this host's requests.
type health struct {
	// failureRate is the recent share of failed requests, as of updated.
	failureRate float64
	updated     time.Time
	// avoidUntil is the time until which requests go to other servers, if there are any.
	avoidUntil       time.Time
	unreachableCount int
}

// failureRateAt returns the failure rate decayed to now. Between half-lives it decays linearly.
func (h *health) failureRateAt(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	age := now.Sub(h.updated)
	f := h.failureRate
	for ; age >= failureHalfLife && f > 0.001; age -= failureHalfLife {
		f /= 2
	}
	return f * (1 - 0.5*float64(max(age, 0))/float64(failureHalfLife))
}

func (h *health) observe(now time.Time, failed float64) {
	h.failureRate = h.failureRateAt(now)*(1-failureWeight) + failureWeight*failed
	h.updated = now
}

// recordAnswer records that the server answered.
func (h *health) recordAnswer(now time.Time) {
	h.unreachableCount = 0
	if h.failureRate > 0 {
		h.observe(now, 0)
	}
}

// recordOutcome records the outcome of an attempt.
func (h *health) recordOutcome(now time.Time, _ *entry, o request.Outcome) {
	switch o {
	case request.Completed:
		h.recordAnswer(now)
	case request.Broken, request.Failed:
		h.observe(now, 1)
	case request.Unreachable:
		h.observe(now, 1)
		h.avoidUntil = now.Add(min(unreachableBackoff<<min(h.unreachableCount, 8), maxUnreachableBackoff))
		h.unreachableCount++
	case request.Rejected:
		h.avoidUntil = now.Add(rejectedBackoff)
	case request.Cancelled, request.Preempted:
	}
}

// avoided reports whether requests should go to other servers, if there are any.
func (s *server) avoided(now time.Time) bool { return now.Before(s.avoidUntil) }

// healthCost returns the cost added to a server that fails, is late with first tokens or has just started.
func (s *server) healthCost(now time.Time) time.Duration {
	d := time.Duration(s.failureRateAt(now) * float64(failingCost))
	if late := s.firstTokenDelay(now); late > firstTokenGrace {
		d += late
	}
	if s.info.IsCold(now) {
		d += coldCost
	}
	return d
}

// coldCost is the cost added to a server that is still slow after its start.
const coldCost = 50 * time.Millisecond
