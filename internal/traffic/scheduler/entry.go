package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/queue"
	"shallotramp/internal/traffic/request"
)

// entry is a request in the scheduler's care.
type entry struct {
	req  *request.Request
	pool *pool
	item *queue.Item
	// attempts counts attempts.
	attempts int
	// server is set while an attempt runs.
	server  string
	started time.Time
	ran     request.Ran
	exclude []string
	// notBefore is when a delayed request may start, or is refused with reason when over tells why.
	notBefore     time.Time
	refusalWhy    string
	refusalReason dispatch.RefusalReason
	// isolate keeps a request that may crash its server from others like it.
	isolate bool
	// charged is the work that the organisation was charged for the running attempt.
	charged float64
	// admitted requests count for their organisation's limit, with the tokens expected; used are those used.
	admitted       bool
	expectedTokens float64
	usedTokens     int
	// retryAfter is set when a limit refuses the request.
	retryAfter time.Duration
	// publishedWork is the part of its work that other hosts are told.
	publishedWork float64
	// generated counts the tokens of the running attempt, and before those of earlier ones.
	generated, earlierTokens int
	preempting               bool
	// Places in the heaps of the pool; -1 outside.
	delayedIndex, victimIndex int
}

// attemptWork returns the work of the running attempt so far.
func (e *entry) attemptWork() float64 { return queue.Work(e.chargedPrompt(), float64(e.generated)) }

// chargedPrompt returns the input that an attempt is charged: an organisation does not pay for what is read
// again after a preemption or a fault.
func (e *entry) chargedPrompt() int {
	if e.earlierTokens > 0 {
		return 0
	}
	return e.req.PromptTokens
}

// preemptionCost estimates the work that is done again when the running attempt is preempted: its
// input and what it generated are read again.
func (e *entry) preemptionCost() float64 { return queue.Work(e.req.PromptTokens+e.generated, 0) }
