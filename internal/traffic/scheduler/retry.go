package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// Decision is what follows an attempt that did not complete.
type Decision struct {
	// Again tells to try again After a delay, on none of the servers of Exclude.
	Again   bool
	After   time.Duration
	Exclude []string
	// Reason and Ran are told to the caller when there is no further try.
	Reason dispatch.RefusalReason
	Ran    request.Ran
}

// Retrier decides whether an attempt is followed by another.
type Retrier interface {
	Decide(now time.Time, r *request.Request, attempt int, res request.Result) Decision
}

// retryDelay is the pause before another try.
const retryDelay = 50 * time.Millisecond

// elsewhere retries idempotent work on another server while attempts are left.
type elsewhere struct{}

func (elsewhere) Decide(_ time.Time, r *request.Request, attempt int, res request.Result) Decision {
	notRun := res.Outcome == request.Unreachable || res.Outcome == request.Rejected
	resumes := res.Delivered == 0 || res.Resumable
	if attempt < r.Attempts && (notRun || r.Idempotent && resumes) {
		return Decision{Again: true, After: retryDelay, Exclude: []string{res.Server}}
	}
	d := Decision{Reason: dispatch.Exhausted, Ran: request.MayHaveRun}
	if notRun {
		d.Ran = request.NotRun
	}
	return d
}
