package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/queue"
	"shallotramp/internal/traffic/request"
)

// entry is a request that is waiting, delayed or running.
type entry struct {
	req  *request.Request
	pool *pool
	item *queue.Item
	// attempts counts the attempts so far.
	attempts int
	// server is set while an attempt runs.
	server  string
	started time.Time
	ran     request.Ran
	exclude []string
	// notBefore is when a delayed request may start. If refusalWhy is set, the request is refused
	// then, with refusalReason.
	notBefore     time.Time
	refusalWhy    string
	refusalReason dispatch.RefusalReason
	// isolate is set if the request may crash its server. It then runs on a server without another suspect.
	isolate bool
	// sharedParts are the IDs of the prompt's parts that other requests may share.
	sharedParts []uint64
	// trial requests run although a part of their prompt is held.
	trial bool
	// charged is the work that the organisation has been charged for the running attempt.
	charged float64
	// admitted is set if the request counts towards its organisation's limit. It was admitted with
	// expectedTokens; its attempts consumed usedTokens.
	admitted       bool
	expectedTokens float64
	usedTokens     int
	// retryAfter is set if the organisation's limit refuses the request.
	retryAfter time.Duration
	// publishedWork is the part of the attempt's work that is in the totals for the other hosts.
	publishedWork float64
	// generated counts the output tokens of the running attempt, earlierTokens those that earlier
	// attempts delivered.
	generated, earlierTokens int
	preempting               bool
	// Indexes in the pool's heaps delayed and victims; -1 if the entry is not in the heap.
	delayedIndex, victimIndex int
}

// attemptWork returns the work of the running attempt so far.
func (e *entry) attemptWork() float64 { return queue.Work(e.chargedPrompt(), float64(e.generated)) }

// chargedPrompt returns the prompt tokens that are charged for an attempt. An organisation is not
// charged again for a prompt that is read again after a preemption or a fault.
func (e *entry) chargedPrompt() int {
	if e.earlierTokens > 0 {
		return 0
	}
	return e.req.PromptTokens
}

// preemptionCost estimates the work that is repeated if the running attempt is preempted: its
// prompt and the tokens that it generated are read again.
func (e *entry) preemptionCost() float64 { return queue.Work(e.req.PromptTokens+e.generated, 0) }
