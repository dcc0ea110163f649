package placement

import (
	"slices"
	"time"

	"shallotramp/internal/traffic/dispatch"
)

const (
	// noServerRetryAfter is the delay sent to callers while a service has no server: the time of a restart.
	noServerRetryAfter = 700 * time.Millisecond
	// minRetryAfter is the shortest delay sent to a caller.
	minRetryAfter = 200 * time.Millisecond
	// maxSends bounds the attempts of one request that reach a server, including rejected ones.
	// maxUnreachable is the number of servers tried from which an unreachable one ends the request.
	maxSends       = 3
	maxUnreachable = 4
	// maxTried bounds all servers that one request is sent to, including addresses at which another server
	// answered.
	maxTried = 8
	// Callers are assumed to abandon a stream that is silent for the longest of minCallerTimeout,
	// callerTimeoutGoals times the goal and callerTimeoutGaps times the gap target.
	minCallerTimeout   = 2 * time.Second
	callerTimeoutGoals = 4
	callerTimeoutGaps  = 8
	// deadlineMargin is the time kept free before the caller's deadline or timeout.
	deadlineMargin = 100 * time.Millisecond
)

// maxLatency returns the longest useful time to the first token of a stream, or to the answer of another request.
func (p *Policy) maxLatency(now time.Time, e *entry) time.Duration {
	left := e.req.Deadline.Sub(now) - deadlineMargin
	if !e.req.Streaming {
		return left
	}
	callerTimeout := max(minCallerTimeout, callerTimeoutGoals*e.req.Goal, callerTimeoutGaps*e.req.GapTarget)
	return min(left, callerTimeout-now.Sub(e.waitingSince)-deadlineMargin)
}

// retryAfter returns the delay after which a refused caller should retry: the time to finish the excess work,
// with random jitter.
func (p *Policy) retryAfter(excess time.Duration) time.Duration {
	d := max(excess, minRetryAfter)
	return d + time.Duration(p.rng.Int64N(int64(d)/2+1))
}

// enqueue queues e if a slot is expected to become free in time, and refuses it otherwise.
func (p *Policy) enqueue(now time.Time, e *entry, c choice) []dispatch.Effect {
	slots := 0
	for _, s := range e.svc.servers {
		slots += max(s.info.Slots, 1)
	}
	ahead := 0
	for _, o := range e.svc.waiting {
		if o.req.Tier <= e.req.Tier {
			ahead++
		}
	}
	expected := c.latency + p.turnsAhead(e.svc, ahead) + e.svc.latencyModel.answerTime*time.Duration(ahead*max(p.hostCount, 1))/time.Duration(max(slots, 1))
	if maxLatency := p.maxLatency(now, e); expected > maxLatency {
		return []dispatch.Effect{p.refuse(e, dispatch.Overload, p.retryAfter(expected-maxLatency), "a slot would become free too late")}
	}
	i, _ := slices.BinarySearchFunc(e.svc.waiting, e, compareWaiting)
	e.svc.waiting = slices.Insert(e.svc.waiting, i, e)
	return nil
}

// compareWaiting orders waiting requests by tier, then by arrival.
func compareWaiting(a, b *entry) int {
	if a.req.Tier != b.req.Tier {
		return a.req.Tier - b.req.Tier
	}
	return a.req.Arrived.Compare(b.req.Arrived)
}

func (s *service) removeWaiting(e *entry) {
	if i := slices.Index(s.waiting, e); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

func (p *Policy) startAllWaiting(now time.Time) []dispatch.Effect {
	var out []dispatch.Effect
	for _, s := range p.services {
		if len(s.waiting) > 0 {
			out = append(out, p.startWaiting(now, s)...)
		}
	}
	return out
}

// startWaiting starts waiting requests for which there is a slot and refuses those that would get one too late.
func (p *Policy) startWaiting(now time.Time, s *service) []dispatch.Effect {
	var out []dispatch.Effect
	for len(s.waiting) > 0 {
		e := s.waiting[0]
		c := p.choose(now, e)
		if c.server != nil && c.full && c.latency <= p.maxLatency(now, e) {
			break
		}
		s.waiting = s.waiting[1:]
		out = append(out, p.place(now, e)...)
	}
	return out
}
