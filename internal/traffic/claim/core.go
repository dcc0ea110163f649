package claim

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"shallotramp/internal/ops/statechart"
	"shallotramp/internal/traffic/request"
)

const (
	// maxPollFactor bounds the delay between two reads for a waiting request, as a multiple of the first delay.
	maxPollFactor = 10
	// idleShardTTL is how long the content of an idle shard is cached.
	idleShardTTL = 10 * time.Second
)

// Core makes the decisions for all non-idempotent calls of one host. It does no I/O, does not read the clock,
// and must be used by one goroutine only.
type Core struct {
	cfg      Config
	host     string
	rng      *rand.Rand
	requests map[request.ID]*requestState
	shards   map[int]*shardState
	// onTransition is called after each state transition.
	onTransition func(request.ID, statechart.Transition[State, Event])
}

// requestState is the state of one request.
type requestState struct {
	Request
	// attempt is the value of [Entry.Attempt] of this request.
	attempt string
	machine *statechart.Machine[State, Event]
	began   time.Time
	// claimed is set once a claim was started, so that the shard may have an entry of this request.
	claimed bool
	// sendBefore is the end of the send window.
	sendBefore time.Time
	// pollAt is when a waiting request reads the shard again, and waitUntil when it gives up.
	pollAt, waitUntil time.Time
	pollDelay         time.Duration
}

// NewCore returns a Core of a host. The host name must be different after each start.
func NewCore(cfg Config, host string, rng *rand.Rand) *Core {
	return &Core{
		cfg: cfg, host: host, rng: rng, requests: map[request.ID]*requestState{}, shards: map[int]*shardState{},
		onTransition: func(request.ID, statechart.Transition[State, Event]) {},
	}
}

// Pending returns the number of unfinished operations on shards plus the number of calls that were sent and
// have no result yet.
func (c *Core) Pending() int {
	n := 0
	for _, req := range c.requests {
		if req.machine.State() == Sent {
			n++
		}
	}
	for _, s := range c.shards {
		n += len(s.queued) + len(s.inFlight)
	}
	return n
}

// NextTick returns when [Core.Tick] must be called next, or the zero time if no timer is pending.
func (c *Core) NextTick() time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, req := range c.requests {
		if req.machine.State() == Waiting && !req.pollAt.IsZero() {
			consider(req.pollAt)
		}
	}
	for _, s := range c.shards {
		for _, o := range s.queued {
			consider(o.deadline)
		}
		switch {
		case s.busy:
		case len(s.queued) > 0:
			consider(later(s.retryAt, s.batchAt))
		default:
			consider(s.lastUsed.Add(idleShardTTL))
		}
	}
	return next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Tick carries out what is due at now.
func (c *Core) Tick(now time.Time) []Effect {
	var out []Effect
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		// The poll of another request on the same shard may have ended this one.
		req, ok := c.requests[id]
		if ok && req.machine.State() == Waiting && !req.pollAt.IsZero() && !now.Before(req.pollAt) {
			out = append(out, c.poll(now, req)...)
		}
	}
	for _, i := range slices.Sorted(maps.Keys(c.shards)) {
		s := c.shards[i]
		out = append(out, c.advance(now, s)...)
		if !s.busy && len(s.queued) == 0 && now.Sub(s.lastUsed) >= idleShardTTL {
			delete(c.shards, i)
		}
	}
	return out
}

// Begin adds a new request and looks up whether its key is claimed.
func (c *Core) Begin(now time.Time, r Request) []Effect {
	req := &requestState{Request: r, attempt: c.host + "/" + string(r.ID), machine: claimChart.New(), began: now}
	c.requests[r.ID] = req
	req.waitUntil = earlier(r.Deadline, now.Add(c.cfg.WaitTimeout))
	return c.enqueue(now, &op{kind: opLookup, req: req, key: r.Key, deadline: earlier(r.Deadline, now.Add(c.cfg.ClaimTimeout))})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Claim starts to claim the call, after a [Proceed] effect or after [ServerUnreached].
func (c *Core) Claim(now time.Time, id request.ID) []Effect {
	req, ok := c.requests[id]
	if !ok {
		return nil
	}
	if req.machine.State() == Claimed {
		return c.permitSend(now, req)
	}
	c.fire(req, Claim)
	req.claimed, req.sendBefore = true, now.Add(c.cfg.SendWindow)
	e := Entry{Print: req.Fingerprint, Attempt: req.attempt, At: now.Round(0).Truncate(time.Second), Phase: Open}
	return c.enqueue(now, &op{kind: opClaim, req: req, key: req.Key, entry: e, deadline: earlier(req.Deadline, now.Add(c.cfg.ClaimTimeout))})
}

// permitSend permits the call to be sent. The send needs no further record: the claim prevents all other requests
// from sending the call, even if this host fails.
func (c *Core) permitSend(now time.Time, req *requestState) []Effect {
	if !now.Before(req.sendBefore) {
		return c.refuse(now, req)
	}
	c.fire(req, Send)
	return []Effect{{Kind: SendCall, ID: req.ID, SendBefore: req.sendBefore}}
}

// Finish handles the result of sending the call.
func (c *Core) Finish(now time.Time, id request.ID, r Result) []Effect {
	req, ok := c.requests[id]
	if !ok {
		return nil
	}
	switch r.Kind {
	case ServerUnreached:
		c.fire(req, Unreached)
		return nil
	case ServerAnswered:
		c.fire(req, Answered)
		return c.recordResult(now, req, Closed, r.Reply)
	}
	c.fire(req, Broken)
	return c.recordResult(now, req, Unsure, Reply{})
}

// recordResult records how a call ended. The caller of the request does not wait for the write.
func (c *Core) recordResult(now time.Time, req *requestState, p Phase, r Reply) []Effect {
	delete(c.requests, req.ID)
	if r.size() > c.cfg.MaxReplyBytes {
		r = Reply{Status: r.Status, Dropped: true}
	}
	e := Entry{Print: req.Fingerprint, Attempt: req.attempt, At: req.began.Round(0).Truncate(time.Second), Phase: p, Reply: r}
	return c.enqueue(now, &op{kind: opRecord, req: req, key: req.Key, entry: e, deadline: now.Add(c.cfg.CleanupTimeout)})
}

// Refuse ends a request that will not be sent, and releases its claim to confirm that the call has not run.
func (c *Core) Refuse(now time.Time, id request.ID) []Effect {
	req, ok := c.requests[id]
	if !ok {
		return nil
	}
	switch req.machine.State() {
	case Looking, Waiting:
		return c.endUnresolved(now, req)
	case Sent:
		return c.Finish(now, id, Result{Kind: ServerLost})
	}
	return c.refuse(now, req)
}

// RefuseUnsent is like [Core.Refuse], for an owner that may have been permitted to send but certainly has not sent.
func (c *Core) RefuseUnsent(now time.Time, id request.ID) []Effect {
	if req, ok := c.requests[id]; ok && req.machine.State() == Sent {
		c.fire(req, Unreached)
	}
	return c.Refuse(now, id)
}

func (c *Core) refuse(now time.Time, req *requestState) []Effect {
	c.fire(req, Refuse)
	deadline := now.Add(c.cfg.ReleaseTimeout)
	return c.enqueue(now, &op{kind: opRelease, req: req, key: req.Key, entry: Entry{Attempt: req.attempt}, deadline: deadline})
}

// poll looks up again whether the result of another request is recorded.
func (c *Core) poll(now time.Time, req *requestState) []Effect {
	req.pollAt = time.Time{}
	if !now.Before(req.waitUntil) {
		return c.endUnresolved(now, req)
	}
	return c.enqueue(now, &op{kind: opLookup, req: req, key: req.Key, deadline: req.waitUntil})
}

// opDone handles the result of an operation: the entry of its key after the read or write.
func (c *Core) opDone(now time.Time, o *op, e Entry, found bool) []Effect {
	req := o.req
	if c.requests[req.ID] != req {
		return nil
	}
	mine := found && e.Attempt == req.attempt
	switch req.machine.State() {
	case Looking, Waiting:
		if o.kind != opLookup {
			return nil
		}
	case Claiming:
		if o.kind != opClaim {
			return nil
		}
		if mine {
			c.fire(req, Confirmed)
			return c.permitSend(now, req)
		}
		if !found {
			// The entry was dropped after this claim was started, so it is unknown what ran in the meantime.
			return c.opFailed(now, o)
		}
	case Releasing:
		if o.kind != opRelease {
			return nil
		}
		if !found {
			c.fire(req, Released)
			req.claimed = false
			return c.end(now, req, NeverRan, Reply{})
		}
	default:
		return nil
	}
	return c.checkEntry(now, req, e, found)
}

// checkEntry decides how the request continues, by the entry of its key or by its absence.
func (c *Core) checkEntry(now time.Time, req *requestState, e Entry, found bool) []Effect {
	switch {
	case !found, e.Attempt == req.attempt:
		// An entry of this request is from a claim whose response was lost. Claiming again confirms it.
		c.fire(req, Absent)
		return []Effect{{Kind: Proceed, ID: req.ID}}
	case e.Print != req.Fingerprint:
		c.fire(req, Recorded)
		return c.end(now, req, OtherPrint, Reply{})
	case e.Phase == Closed && e.Reply.Dropped:
		c.fire(req, Recorded)
		return c.end(now, req, Ran, e.Reply)
	case e.Phase == Closed:
		c.fire(req, Recorded)
		return c.end(now, req, Replay, e.Reply)
	case e.Phase == Unsure || req.machine.State() == Releasing:
		return c.endUnresolved(now, req)
	}
	return c.schedulePoll(now, req)
}

// schedulePoll makes a request wait for the result of another one.
func (c *Core) schedulePoll(now time.Time, req *requestState) []Effect {
	if req.machine.State() != Waiting {
		c.fire(req, Found)
		req.pollDelay = c.cfg.PollDelay
	}
	req.pollAt = earlier(now.Add(req.pollDelay), req.waitUntil)
	req.pollDelay = min(2*req.pollDelay, maxPollFactor*c.cfg.PollDelay)
	return nil
}

// opFailed ends the request of an operation that failed or was too late. A write of the operation may still take
// effect, but the call will not be sent.
func (c *Core) opFailed(now time.Time, o *op) []Effect {
	req := o.req
	if c.requests[req.ID] != req {
		return nil
	}
	switch req.machine.State() {
	case Looking, Waiting, Claiming, Releasing:
	default:
		return nil
	}
	c.fire(req, Unresolved)
	return c.end(now, req, Unasked, Reply{})
}

// endUnresolved ends a request when it is unknown, at least to this host, whether the call ran.
func (c *Core) endUnresolved(now time.Time, req *requestState) []Effect {
	c.fire(req, Unresolved)
	return c.end(now, req, MayHaveRun, Reply{})
}

// end ends a request that was not sent. It releases the claim if there may be one, so that a resend can claim the call.
func (c *Core) end(now time.Time, req *requestState, v Verdict, r Reply) []Effect {
	delete(c.requests, req.ID)
	out := []Effect{{Kind: Tell, ID: req.ID, Verdict: v, Reply: r}}
	if !req.claimed {
		return out
	}
	release := &op{kind: opRelease, req: req, key: req.Key, entry: Entry{Attempt: req.attempt}, deadline: now.Add(c.cfg.CleanupTimeout)}
	return append(out, c.enqueue(now, release)...)
}

// fire makes a state transition. It panics if the state chart has none for e, which is a bug:
// TestEachCallRunsAtMostOnce covers all transitions.
func (c *Core) fire(req *requestState, e Event) {
	from := req.machine.State()
	if err := req.machine.Fire(e); err != nil {
		panic(err)
	}
	c.onTransition(req.ID, statechart.Transition[State, Event]{From: from, Event: e, To: req.machine.State()})
}
