package claim

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"shallotramp/internal/ops/chart"
	"shallotramp/internal/traffic/request"
)

const (
	// maxPollFactor bounds the growth of the delay between two reads of a waiting request.
	maxPollFactor = 10
	// idleBucket is how long a shard's content is remembered after its last use.
	idleBucket = 10 * time.Second
)

// Core decides for all non-idempotent calls of one host. It does no I/O, reads no
// clock and is used by one goroutine.
type Core struct {
	cfg     Config
	host    string
	rng     *rand.Rand
	calls   map[request.ID]*call
	buckets map[int]*bucket
	// notify is told of each transition.
	notify func(request.ID, chart.Transition[State, Event])
}

// call is one request.
type call struct {
	Request
	attempt string
	machine *chart.Machine[State, Event]
	began   time.Time
	// claimed tells that a claim was asked for and may be on the platform.
	claimed bool
	// until ends the time in which the call may be sent.
	until time.Time
	// pollAt and waitUntil are set while the request waits for another's outcome.
	pollAt, waitUntil time.Time
	pollDelay         time.Duration
}

// NewCore returns a Core of the host, whose name must be new at each start.
func NewCore(cfg Config, host string, rng *rand.Rand) *Core {
	return &Core{
		cfg: cfg, host: host, rng: rng, calls: map[request.ID]*call{}, buckets: map[int]*bucket{},
		notify: func(request.ID, chart.Transition[State, Event]) {},
	}
}

// Pending returns how many steps wait for the platform and how many calls for their backend server.
func (c *Core) Pending() int {
	n := 0
	for _, k := range c.calls {
		if k.machine.State() == Sent {
			n++
		}
	}
	for _, b := range c.buckets {
		n += len(b.waiting) + len(b.flying)
	}
	return n
}

// NextTick returns when [Core.Tick] has something to do, and the zero time if nothing waits for time.
func (c *Core) NextTick() time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, k := range c.calls {
		if k.machine.State() == Waiting && !k.pollAt.IsZero() {
			consider(k.pollAt)
		}
	}
	for _, b := range c.buckets {
		for _, o := range b.waiting {
			consider(o.until)
		}
		switch {
		case b.busy:
		case len(b.waiting) > 0:
			consider(maxTime(b.retryAt, b.gatherAt))
		default:
			consider(b.usedAt.Add(idleBucket))
		}
	}
	return next
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Tick lets time pass.
func (c *Core) Tick(now time.Time) []Effect {
	var out []Effect
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		// A call may end by the poll of another on the same shard.
		k, ok := c.calls[id]
		if ok && k.machine.State() == Waiting && !k.pollAt.IsZero() && !now.Before(k.pollAt) {
			out = append(out, c.poll(now, k)...)
		}
	}
	for _, i := range slices.Sorted(maps.Keys(c.buckets)) {
		b := c.buckets[i]
		out = append(out, c.pump(now, b)...)
		if !b.busy && len(b.waiting) == 0 && now.Sub(b.usedAt) >= idleBucket {
			delete(c.buckets, i)
		}
	}
	return out
}

// Begin takes a new request and looks whether its key is claimed.
func (c *Core) Begin(now time.Time, a Request) []Effect {
	k := &call{Request: a, attempt: c.host + "/" + string(a.ID), machine: claimChart.New(), began: now}
	c.calls[a.ID] = k
	k.waitUntil = earlier(a.Deadline, now.Add(c.cfg.WaitTimeout))
	return c.add(now, &op{kind: look, call: k, key: a.Key, until: earlier(a.Deadline, now.Add(c.cfg.ClaimTimeout))})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Claim asks for the right to send, after a [Proceed] effect or a sending that did not reach its server.
func (c *Core) Claim(now time.Time, id request.ID) []Effect {
	k, ok := c.calls[id]
	if !ok {
		return nil
	}
	if k.machine.State() == Claimed {
		return c.send(now, k)
	}
	c.fire(k, Claim)
	k.claimed, k.until = true, now.Add(c.cfg.SendWindow)
	e := Entry{Print: k.Fingerprint, Attempt: k.attempt, At: now.Round(0).Truncate(time.Second), Phase: Open}
	return c.add(now, &op{kind: stake, call: k, key: k.Key, entry: e, until: earlier(k.Deadline, now.Add(c.cfg.ClaimTimeout))})
}

// send permits the sending. Its intent is the claim itself: nobody else may send, whatever becomes of this host.
func (c *Core) send(now time.Time, k *call) []Effect {
	if !now.Before(k.until) {
		return c.refuse(now, k)
	}
	c.fire(k, Send)
	return []Effect{{Kind: SendCall, ID: k.ID, SendBefore: k.until}}
}

// Finish takes the result of a sending.
func (c *Core) Finish(now time.Time, id request.ID, r Result) []Effect {
	k, ok := c.calls[id]
	if !ok {
		return nil
	}
	switch r.Kind {
	case ServerUnreached:
		c.fire(k, Unreached)
		return nil
	case ServerAnswered:
		c.fire(k, Answered)
		return c.note(now, k, Closed, r.Reply)
	}
	c.fire(k, Broken)
	return c.note(now, k, Unsure, Reply{})
}

// note records how a call ended. Its caller does not wait for that.
func (c *Core) note(now time.Time, k *call, p Phase, r Reply) []Effect {
	delete(c.calls, k.ID)
	if r.size() > c.cfg.MaxReplyBytes {
		r = Reply{Status: r.Status, Dropped: true}
	}
	e := Entry{Print: k.Fingerprint, Attempt: k.attempt, At: k.began.Round(0).Truncate(time.Second), Phase: p, Reply: r}
	return c.add(now, &op{kind: record, call: k, key: k.Key, entry: e, until: now.Add(c.cfg.CleanupTimeout)})
}

// Refuse ends a request that will not be sent, and asks for the proof that the call has not run.
func (c *Core) Refuse(now time.Time, id request.ID) []Effect {
	k, ok := c.calls[id]
	if !ok {
		return nil
	}
	switch k.machine.State() {
	case Looking, Waiting:
		return c.leaveOpen(now, k)
	case Sent:
		return c.Finish(now, id, Result{Kind: ServerLost})
	}
	return c.refuse(now, k)
}

// RefuseUnsent is [Core.Refuse] for an owner that may have been permitted to send and certainly has not.
func (c *Core) RefuseUnsent(now time.Time, id request.ID) []Effect {
	if k, ok := c.calls[id]; ok && k.machine.State() == Sent {
		c.fire(k, Unreached)
	}
	return c.Refuse(now, id)
}

func (c *Core) refuse(now time.Time, k *call) []Effect {
	c.fire(k, Refuse)
	until := now.Add(c.cfg.ReleaseTimeout)
	return c.add(now, &op{kind: release, call: k, key: k.Key, entry: Entry{Attempt: k.attempt}, until: until})
}

// poll looks again for the outcome of another request.
func (c *Core) poll(now time.Time, k *call) []Effect {
	k.pollAt = time.Time{}
	if !now.Before(k.waitUntil) {
		return c.leaveOpen(now, k)
	}
	return c.add(now, &op{kind: look, call: k, key: k.Key, until: k.waitUntil})
}

// resolved takes what a committed group left under the op's key.
func (c *Core) resolved(now time.Time, o *op, e Entry, found bool) []Effect {
	k := o.call
	if c.calls[k.ID] != k {
		return nil
	}
	mine := found && e.Attempt == k.attempt
	switch k.machine.State() {
	case Looking, Waiting:
		if o.kind != look {
			return nil
		}
	case Claiming:
		if o.kind != stake {
			return nil
		}
		if mine {
			c.fire(k, Confirmed)
			return c.send(now, k)
		}
		if !found {
			// The entry was dropped after this claim was made: it cannot tell what ran meanwhile.
			return c.unresolved(now, o)
		}
	case Releasing:
		if o.kind != release {
			return nil
		}
		if !found {
			c.fire(k, Released)
			k.claimed = false
			return c.tell(now, k, NeverRan, Reply{})
		}
	default:
		return nil
	}
	return c.compare(now, k, e, found)
}

// compare judges the entry of an earlier request, or that there is none.
func (c *Core) compare(now time.Time, k *call, e Entry, found bool) []Effect {
	switch {
	case !found, e.Attempt == k.attempt:
		// An entry of this very request is a claim whose answer was lost; it is confirmed by claiming again.
		c.fire(k, Absent)
		return []Effect{{Kind: Proceed, ID: k.ID}}
	case e.Print != k.Fingerprint:
		c.fire(k, Recorded)
		return c.tell(now, k, OtherPrint, Reply{})
	case e.Phase == Closed && e.Reply.Dropped:
		c.fire(k, Recorded)
		return c.tell(now, k, Ran, e.Reply)
	case e.Phase == Closed:
		c.fire(k, Recorded)
		return c.tell(now, k, Replay, e.Reply)
	case e.Phase == Unsure || k.machine.State() == Releasing:
		return c.leaveOpen(now, k)
	}
	return c.wait(now, k)
}

// wait lets a request wait for the outcome of another that is on its way.
func (c *Core) wait(now time.Time, k *call) []Effect {
	if k.machine.State() != Waiting {
		c.fire(k, Found)
		k.pollDelay = c.cfg.PollDelay
	}
	k.pollAt = earlier(now.Add(k.pollDelay), k.waitUntil)
	k.pollDelay = min(2*k.pollDelay, maxPollFactor*c.cfg.PollDelay)
	return nil
}

// unresolved takes an op whose time is over. What it wanted may still happen, except for a sending.
func (c *Core) unresolved(now time.Time, o *op) []Effect {
	k := o.call
	if c.calls[k.ID] != k {
		return nil
	}
	switch k.machine.State() {
	case Looking, Waiting, Claiming, Releasing:
	default:
		return nil
	}
	c.fire(k, Unresolved)
	return c.tell(now, k, Unasked, Reply{})
}

// leaveOpen ends a request of which only others know, or nobody, whether its call ran.
func (c *Core) leaveOpen(now time.Time, k *call) []Effect {
	c.fire(k, Unresolved)
	return c.tell(now, k, MayHaveRun, Reply{})
}

// tell ends a request that was not sent. If its claim may be on the platform, the key is set free for a resend.
func (c *Core) tell(now time.Time, k *call, v Verdict, r Reply) []Effect {
	delete(c.calls, k.ID)
	out := []Effect{{Kind: Tell, ID: k.ID, Verdict: v, Reply: r}}
	if !k.claimed {
		return out
	}
	free := &op{kind: release, call: k, key: k.Key, entry: Entry{Attempt: k.attempt}, until: now.Add(c.cfg.CleanupTimeout)}
	return append(out, c.add(now, free)...)
}

// fire moves the chart. The callers of this file fire only what the chart has; a test walks all of them.
func (c *Core) fire(k *call, e Event) {
	from := k.machine.State()
	if err := k.machine.Fire(e); err != nil {
		panic(err)
	}
	c.notify(k.ID, chart.Transition[State, Event]{From: from, Event: e, To: k.machine.State()})
}
