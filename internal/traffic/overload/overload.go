// Package overload decides which requests a service admits when more are offered than
// its servers can answer in time. The inputs are the work that all hosts have reported
// and what one request needs; the package does no I/O, keeps no state and reads no
// clock, so that hosts with the same news decide alike without asking each other.
//
// Each file handles one question: what the servers bear (load.go) and what becomes of a
// request (overload.go).
package overload

import "time"

// Verdict is what becomes of a request.
type Verdict uint8

//go:generate go tool stringer -type Verdict -output overload_string.go

// The verdicts, from the best for the caller to the worst.
const (
	// OnTime requests are sent with the urgency of those that meet their goal.
	OnTime Verdict = iota
	// Late requests are sent, and run after those that can meet their goal.
	Late
	// Refuse requests could not end by their deadline, and are refused before any server has run them.
	Refuse
)

const (
	// crowdedShare is the share of places taken below which nothing is refused: callers that are turned away
	// while half of the places are free could have been served.
	crowdedShare = 0.5
	// onTimeShare is the share of places, counting requests that come before, from which a request
	// would wait for a place at an engine: there it can no longer be refused as not run.
	onTimeShare = 1.0
	// onTimeMargin is the share of the time left to the goal within which the first token must be expected behind the mean
	// queue. Some servers have twice the mean.
	onTimeMargin = 0.5
	// queueShare is the share of the goal from which the mean queue, late requests included, makes others late: streams
	// pause while prompts are prefilled without a break.
	queueShare = 0.75
	// spread is the width of the range around a limit in which hosts decide by chance, as a share of the limit. With news a
	// second old, hosts that all change at one value would overshoot it in turn.
	spread = 0.5
	// floor is the share of the requests that would be refused which are sent nevertheless, so that none of a size,
	// class, organisation or subject waits for ever.
	floor = 0.05
	// returnDivisor divides the time left to the deadline: a refused caller is told to return when the queue is expected to
	// have drained, but in time for an answer.
	returnDivisor = 3
)

// Request is what one request needs.
type Request struct {
	// Goal is the target for the time to the first token, GoalLeft the time left of it, and DeadlineLeft that for the whole
	// answer. NoGoal is set for requests without a goal.
	Goal, GoalLeft, DeadlineLeft time.Duration
	// TierGoal is the shortest goal of the tier's requests: those with a longer one would otherwise keep the queue longer
	// than those with a shorter one are admitted to.
	TierGoal time.Duration
	NoGoal   bool
	// FirstToken is the expected time to the first token on the chosen server, Prefill that of the own prompt without other
	// work, and Tail the expected time from the first token to the end of the answer.
	FirstToken, Prefill, Tail time.Duration
	// Draw is from 0 to 1, the same whenever the request is decided on.
	Draw float64
}

// Decision is a verdict and what it was based on.
type Decision struct {
	Verdict Verdict
	// End is the expected time to the end of the answer.
	End time.Duration
	// RetryAfter is set for Refuse.
	RetryAfter time.Duration
	Why        string
}

// Decide returns what becomes of a request under a load. Where the servers have room, it is on time.
func Decide(l Load, r Request) Decision {
	// A host picks the server that looks idlest, and so do the others: the mean is nearer to what it will find there.
	onTime := max(r.FirstToken, l.Wait+r.Prefill)
	late := max(r.FirstToken, l.WaitIfLate+r.Prefill)
	limit := 1 + spread*(r.Draw-0.5)
	maxWait := time.Duration(onTimeMargin * limit * float64(r.GoalLeft))
	meetsGoal := r.NoGoal || l.Wait+r.Prefill <= maxWait
	queued := !r.NoGoal && float64(l.WaitIfLate) > queueShare*limit*float64(r.TierGoal)
	switch {
	case !l.crowded() && !(queued && l.waiting()):
		return Decision{Verdict: OnTime, End: r.FirstToken + r.Tail, Why: "the servers have room"}
	case meetsGoal && l.shareOf(l.Ahead) < onTimeShare*limit:
		return Decision{Verdict: OnTime, End: onTime + r.Tail, Why: "it can meet its goal"}
	case queued && l.Wait > maxWait && r.Draw >= floor: // Its own size alone is no reason: the largest would get nothing.
		return Decision{Verdict: Refuse, End: late + r.Tail, RetryAfter: min(late, r.DeadlineLeft/returnDivisor), Why: "it would make the requests that are sent late"}
	case late+r.Tail > r.DeadlineLeft && r.Draw >= floor:
		return Decision{Verdict: Refuse, End: late + r.Tail, RetryAfter: min(late, r.DeadlineLeft/returnDivisor), Why: "the answer would not end by its deadline"}
	}
	return Decision{Verdict: Late, End: late + r.Tail, Why: "it runs after requests that can meet their goals"}
}
