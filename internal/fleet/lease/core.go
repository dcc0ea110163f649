package lease

import (
	"math/rand/v2"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/ops/chart"
)

// keptAttempts bounds the requests whose sending time is remembered.
const keptAttempts = 16

// hintTerms is how many terms a hint lasts: a successor waits for one before it bids.
const hintTerms = 3

// Core decides for one host and one role. It does no I/O, reads no clock and is
// used by one goroutine. All times are of the host's own clock.
type Core struct {
	cfg     Config
	self    string
	rng     *rand.Rand
	machine *chart.Machine[State, Event]
	load    int
	pending Call
	grant   Grant

	// seen is the last observation and fresh its time.
	seen     Snapshot
	observed bool
	fresh    time.Time
	// unsure cores must read before they write, for the result of a call is unknown or surprising.
	unsure bool
	// overtaken reads began before the last event of a watch.
	overtaken bool
	// top is the highest fencing number observed or asked for.
	top uint64

	attempt uint64
	sent    map[uint64]time.Time
	// deadline ends the wait for a release.
	deadline time.Time

	readAt, bidAt, renewAt time.Time
	// hinted is when the holder was last said to be silent.
	hinted time.Time

	// notify is told of each transition.
	notify func(chart.Transition[State, Event])
}

// NewCore returns a Core that bids as self, which must be a name that no other Core ever had: a restarted
// host must not take its predecessor's lease for its own.
func NewCore(cfg Config, self string, rng *rand.Rand, now time.Time) *Core {
	return &Core{
		cfg: cfg, self: self, rng: rng, machine: leaseChart.New(),
		sent: map[uint64]time.Time{}, readAt: now, hinted: now, notify: func(chart.Transition[State, Event]) {},
	}
}

// State returns the state of the candidature.
func (c *Core) State() State { return c.machine.State() }

// Grant returns the grant of a held lease and else the zero Grant.
func (c *Core) Grant() Grant {
	if c.State() != Held {
		return Grant{}
	}
	return c.grant
}

// SetPollInterval sets the time between two reads of a follower.
func (c *Core) SetPollInterval(d time.Duration) { c.cfg.PollInterval = d }

// SetHeldRoles tells how many roles the host holds.
func (c *Core) SetHeldRoles(n int) { c.load = n }

// Hint asks for a read at once, for another host told that the lease has changed.
func (c *Core) Hint(now time.Time) { c.readAt, c.hinted = now, now }

// mayBid reports whether the candidate has reason to think that the role is free.
func (c *Core) mayBid(now time.Time) bool {
	return !c.cfg.RequireHint || now.Sub(c.hinted) < hintTerms*c.cfg.Term
}

// NextTick returns when [Core.Tick] has something to do without another event.
func (c *Core) NextTick() time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	switch c.State() {
	case Held:
		consider(c.grant.Sent.Add(c.grant.Duration))
	case Releasing:
		consider(c.deadline)
	case Resigned:
		return next
	}
	if c.pending != NoCall {
		return next
	}
	consider(c.readAt)
	switch {
	case c.unsure:
	case c.State() == Following:
		if !c.cfg.RequireHint || c.bidAt.Sub(c.hinted) < hintTerms*c.cfg.Term {
			consider(c.bidAt)
		}
	case c.State() == Held:
		consider(c.renewAt)
	}
	return next
}

// Tick lets time pass.
func (c *Core) Tick(now time.Time) []Effect {
	c.expire(now)
	if c.pending != NoCall {
		return nil
	}
	due := func(t time.Time) bool { return !t.IsZero() && !now.Before(t) }
	switch {
	case c.State() == Resigned:
		return nil
	case due(c.readAt):
		return c.read(now)
	case c.unsure:
		return nil
	case c.State() == Following && due(c.bidAt) && c.mayBid(now):
		return c.bid(now)
	case c.State() == Held && due(c.renewAt):
		return c.write(now, UpdateCall, Record{Fence: c.grant.Fence})
	case c.State() == Releasing && c.own():
		return c.write(now, UpdateCall, Record{Fence: c.seen.Record.Fence, Released: true})
	}
	return nil
}

// expire ends a grant or the wait for a release whose time is over.
func (c *Core) expire(now time.Time) {
	switch {
	case c.State() == Held && !c.grant.Valid(now):
		c.fire(Expire)
		// The record is this host's own: nobody else need be waited for.
		c.bidAt, c.readAt = now.Add(c.delay()), now
	case c.State() == Releasing && !now.Before(c.deadline):
		c.fire(Expire)
	}
}

// own reports whether the record last seen is this host's and still binds others.
func (c *Core) own() bool {
	return c.seen.Found && c.seen.Record.Holder == c.self && !c.seen.Record.Released
}

func (c *Core) read(now time.Time) []Effect {
	c.pending = ReadCall
	c.readAt = now.Add(c.cfg.PollInterval)
	return []Effect{{Call: ReadCall}}
}

// bid asks for the lease, unless the last observation is too old to make a success likely.
func (c *Core) bid(now time.Time) []Effect {
	if now.Sub(c.fresh) > c.cfg.RenewInterval {
		return c.read(now)
	}
	c.fire(Bid)
	call := UpdateCall
	if !c.seen.Found {
		call = CreateCall
	}
	return c.write(now, call, Record{Fence: c.top + 1})
}

// write sends a record on top of the version last seen.
func (c *Core) write(now time.Time, call Call, r Record) []Effect {
	c.attempt++
	r.Holder, r.Attempt, r.Term = c.self, c.attempt, object.Duration(c.cfg.Term)
	c.sent[c.attempt] = now
	delete(c.sent, c.attempt-keptAttempts)
	c.top = max(c.top, r.Fence)
	c.pending = call
	return []Effect{{Call: call, Record: r, Version: c.seen.Version}}
}

// Snapshot takes the result of a read or an event of a watch.
func (c *Core) Observe(now time.Time, s Snapshot, fromRead bool) []Effect {
	if fromRead {
		c.pending, c.unsure = NoCall, false
	}
	c.expire(now)
	if c.overtakenBy(s, fromRead) {
		return c.Tick(now)
	}
	if c.State() == Held && c.stale(s) {
		c.retry(now)
		return c.Tick(now)
	}
	c.observe(now, s)
	c.judge(now, s)
	if c.State() == Releasing && !c.own() {
		c.retry(now)
	}
	return c.Tick(now)
}

// Announcement returns the record that a holder tells other candidates, so that they know since when it is unchanged
// before they have to read it.
func (c *Core) Announcement() (Snapshot, bool) {
	return c.seen, c.State() == Held && c.seen.Record.Holder == c.self
}

// HandleAnnouncement takes a record that its holder told. Words may come late, twice and out of order: only one that is
// newer than what is known counts as an observation.
func (c *Core) HandleAnnouncement(now time.Time, s Snapshot) []Effect {
	known := c.seen.Record
	if !s.Found || s.Record.Holder == c.self || s.Record.Fence < known.Fence ||
		s.Record.Fence == known.Fence && s.Record.Attempt <= known.Attempt {
		return nil
	}
	return c.Observe(now, s, false)
}

// overtakenBy reports whether s is the result of a read that a watch has overtaken: what the
// watch told meanwhile counts, and a wait that it ended does not begin again.
func (c *Core) overtakenBy(s Snapshot, fromRead bool) bool {
	if !fromRead {
		c.overtaken = c.pending == ReadCall
		return false
	}
	overtaken := c.overtaken && s.Version != c.seen.Version
	c.overtaken = false
	return overtaken
}

// stale reports whether s is older than what a holder knows of its own lease.
func (c *Core) stale(s Snapshot) bool {
	if s.Record.Holder == c.self && s.Record.Fence == c.grant.Fence {
		return s.Record.Attempt < c.seen.Record.Attempt
	}
	return s.Record.Fence < c.grant.Fence
}

// retry asks for a read after a delay and for no write before it.
func (c *Core) retry(now time.Time) {
	c.unsure = true
	d := c.cfg.RetryDelay
	if c.cfg.RequireHint && c.State() == Following {
		// Many candidates may follow: a platform that is away must not get a call of each all the time.
		d = max(d, c.cfg.RenewInterval)
	}
	c.readAt = now.Add(d/2 + time.Duration(c.rng.Int64N(int64(d))))
}

// observe notes a version and draws when this host may bid for it.
func (c *Core) observe(now time.Time, s Snapshot) {
	overdue := now.Sub(c.fresh) > c.cfg.RenewInterval && !c.bidAt.IsZero() && c.bidAt.Before(now)
	c.fresh = now
	known := c.top > 0
	c.top = max(c.top, s.Record.Fence)
	if c.observed && c.seen.Version == s.Version && c.seen.Found == s.Found {
		if overdue {
			// All candidates come back from an outage together: spread their bids again.
			c.bidAt = now.Add(c.delay())
		}
		return
	}
	c.observed, c.seen = true, s
	c.bidAt = now.Add(c.wait(s, known) + c.delay())
}

// wait returns how long a version must stay unchanged before this host may bid for it.
func (c *Core) wait(s Snapshot, known bool) time.Duration {
	switch {
	case !s.Found && !known:
		return 0
	case s.Found && s.Record.Released, s.Found && s.Record.Holder == c.self:
		return 0
	}
	if c.cfg.RequireHint {
		return max(c.cfg.Term, time.Duration(s.Record.Term)) + c.cfg.SuccessorMargin
	}
	// A candidate that reads rarely waits for its next read rather than for the term alone.
	return max(max(c.cfg.Term, time.Duration(s.Record.Term))+c.cfg.SuccessorMargin, c.cfg.PollInterval)
}

// delay spreads bids: hosts with fewer roles come first.
func (c *Core) delay() time.Duration {
	d := min(time.Duration(c.load)*c.cfg.Stagger, c.cfg.MaxStagger)
	if c.cfg.Jitter > 0 {
		d += time.Duration(c.rng.Int64N(int64(c.cfg.Jitter)))
	}
	return d
}

// judge draws what an observation says of this host's own requests.
func (c *Core) judge(now time.Time, s Snapshot) {
	mine := s.Found && s.Record.Holder == c.self && !s.Record.Released
	switch c.State() {
	case Following, Acquiring, Held:
		if mine && s.Record.Fence >= c.grant.Fence {
			c.confirm(now, s.Record)
		} else if c.State() == Held {
			c.fire(Lose)
			c.readAt = now.Add(c.cfg.PollInterval)
		}
		if c.State() == Acquiring && c.pending == NoCall {
			c.fire(Refused)
		}
	case Releasing:
		if s.Found && !mine && s.Record.Fence >= c.grant.Fence && c.pending == NoCall {
			c.fire(Released)
		}
	}
}

// confirm takes over the grant of the request that wrote r, counted from when that request was sent.
func (c *Core) confirm(now time.Time, r Record) {
	sent, ok := c.sent[r.Attempt]
	g := Grant{Fence: r.Fence, Sent: sent, Duration: c.cfg.Term - c.cfg.HolderMargin}
	if !ok || !g.Valid(now) || (c.grant.Fence == g.Fence && sent.Before(c.grant.Sent)) {
		return
	}
	c.grant = g
	if c.State() == Held {
		c.fire(Renew)
	} else {
		c.fire(Granted)
	}
	c.renewAt = sent.Add(c.cfg.RenewInterval)
	c.readAt, c.unsure = time.Time{}, false
	if !c.renewAt.After(now) {
		c.renewAt = now.Add(c.cfg.RetryDelay)
	}
}

// ReadFailed notes that a read gave nothing.
func (c *Core) ReadFailed(now time.Time) []Effect {
	c.pending = NoCall
	c.retry(now)
	return c.Tick(now)
}

// WriteDone takes the result of a write; version is that of a written record.
func (c *Core) WriteDone(now time.Time, e Effect, o Outcome, version string) []Effect {
	c.pending = NoCall
	c.expire(now)
	switch o {
	case Written:
		return c.Observe(now, Snapshot{Found: true, Record: e.Record, Version: version}, true)
	case NotWritten:
		if c.State() == Acquiring {
			c.fire(Refused)
		}
	}
	c.retry(now)
	return c.Tick(now)
}

// Resign gives the lease up. The host must not act for the role from now on.
func (c *Core) Resign(now time.Time) []Effect {
	if c.State() == Releasing || c.State() == Resigned {
		return nil
	}
	c.fire(Resign)
	c.deadline = now.Add(c.cfg.Term)
	c.readAt = time.Time{}
	if !c.own() {
		c.retry(now)
	}
	return c.Tick(now)
}

// fire moves the chart. The callers of this file fire only what the chart has; a test walks all of them.
func (c *Core) fire(e Event) {
	from := c.State()
	if err := c.machine.Fire(e); err != nil {
		panic(err)
	}
	c.notify(chart.Transition[State, Event]{From: from, Event: e, To: c.State()})
}
