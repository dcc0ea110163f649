package lease

import (
	"math/rand/v2"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/ops/statechart"
)

// maxTrackedAttempts is the number of latest writes whose sending time is kept.
const maxTrackedAttempts = 16

// hintValidTerms is how long a hint allows a bid, in terms. A successor waits for one term before it bids.
const hintValidTerms = 3

// Core makes the decisions for one role on one host. It does no I/O, does not read the clock, and must be used by
// one goroutine only. All times are those of the host's own clock.
type Core struct {
	cfg         Config
	self        string
	rng         *rand.Rand
	machine     *statechart.Machine[State, Event]
	heldRoles   int
	pendingCall Call
	grant       Grant

	// observed is the version that was observed last, and observedAt the time of the last observation.
	observed    Snapshot
	hasObserved bool
	observedAt  time.Time
	// mustRead is set when the lease must be read before the next write, because the result of a call is unknown or
	// unexpected.
	mustRead bool
	// watchedDuringRead is set when a watch event or an announcement arrived during the read in flight.
	watchedDuringRead bool
	// maxFence is the highest fencing number that was observed or requested.
	maxFence uint64
	// othersFence is the highest fencing number that was observed of another holder.
	othersFence uint64
	// era is the era of the store. heldBefore is set if this host was the last holder when the era began.
	era        int64
	heldBefore bool
	// lastFence is the fencing number of this host's last grant, or 0 if the store may have lost a later grant of another
	// host.
	lastFence uint64

	// attempt is the number of the last write. sentAt holds, by attempt, the time just before the write was sent, for
	// the latest maxTrackedAttempts writes.
	attempt uint64
	sentAt  map[uint64]time.Time
	// releaseDeadline is when a resigned candidate stops waiting for the confirmation of its release.
	releaseDeadline time.Time

	// readAt, bidAt and renewAt are when the next read, bid and renewal are due.
	readAt, bidAt, renewAt time.Time
	// hintedAt is the time of the last hint.
	hintedAt time.Time

	// onTransition is called after each state transition.
	onTransition func(statechart.Transition[State, Event])
}

// NewCore returns a Core that bids under the name self. No other Core may ever have had this name, so that a
// restarted host does not take the lease of its previous process for its own.
func NewCore(cfg Config, self string, rng *rand.Rand, now time.Time) *Core {
	return &Core{
		cfg: cfg, self: self, rng: rng, machine: leaseChart.New(),
		sentAt: map[uint64]time.Time{}, readAt: now, hintedAt: now, onTransition: func(statechart.Transition[State, Event]) {},
	}
}

// State returns the state of the candidacy.
func (c *Core) State() State { return c.machine.State() }

// Grant returns the grant of a held lease, and the zero Grant in other states.
func (c *Core) Grant() Grant {
	if c.State() != Held {
		return Grant{}
	}
	return c.grant
}

// SetPollInterval sets the time between two reads of a following candidate.
func (c *Core) SetPollInterval(d time.Duration) { c.cfg.PollInterval = d }

// eraFenceBits is the size of the part of a fencing number that counts the grants of an era of the store. The era is in the
// bits above: the grants that a restored store has lost are of an earlier era, and so have lower numbers.
const eraFenceBits = 32

// SetEra sets the era of the store, which rises when the store is restored from a copy, and a time that is not before the
// restoration. The record of a grant may be lost then, and another host may get the lease without waiting for its end, so the
// grant ends.
func (c *Core) SetEra(now time.Time, era int64, restored time.Time) {
	if era <= c.era {
		return
	}
	c.era = era
	if !c.grant.excludesOthers(restored, c.cfg.Term) {
		c.lastFence = 0
	}
	c.hasObserved, c.heldBefore = false, c.wasLastHolder()
	if c.State() == Held {
		c.fire(Lose)
		c.readAt = now
	}
	if c.heldBefore && c.State() == Following {
		c.mustRead, c.readAt, c.hintedAt = true, now, now
	}
}

// wasLastHolder reports whether this host held the lease and no other host can have held it since.
func (c *Core) wasLastHolder() bool { return c.lastFence > c.othersFence }

// isRestored reports whether the record of s was written in an earlier era, so that later grants may be lost.
func (c *Core) isRestored(s Snapshot) bool { return s.Record.Fence < uint64(c.era)<<eraFenceBits }

// nextFence returns the fencing number for a bid. It is above all numbers of earlier eras, those included that this host
// has not seen.
func (c *Core) nextFence() uint64 {
	return max(c.maxFence, uint64(c.era)<<eraFenceBits) + 1
}

// SetHeldRoles sets how many roles the host holds, which determines the delay of its bids.
func (c *Core) SetHeldRoles(n int) { c.heldRoles = n }

// Hint schedules an immediate read, because another source indicated that the lease may be free.
func (c *Core) Hint(now time.Time) { c.readAt, c.hintedAt = now, now }

// mayBid reports whether a bid is allowed: always, or after a recent hint if [Config.RequireHint] is set.
func (c *Core) mayBid(now time.Time) bool {
	return !c.cfg.RequireHint || now.Sub(c.hintedAt) < hintValidTerms*c.cfg.Term
}

// NextTick returns when [Core.Tick] must be called next, or the zero time if no timer is pending.
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
		consider(c.releaseDeadline)
	case Resigned:
		return next
	}
	if c.pendingCall != NoCall {
		return next
	}
	consider(c.readAt)
	switch {
	case c.mustRead:
	case c.State() == Following:
		if !c.cfg.RequireHint || c.bidAt.Sub(c.hintedAt) < hintValidTerms*c.cfg.Term {
			consider(c.bidAt)
		}
	case c.State() == Held:
		consider(c.renewAt)
	}
	return next
}

// Tick carries out what is due at now.
func (c *Core) Tick(now time.Time) []Effect {
	c.expire(now)
	if c.pendingCall != NoCall {
		return nil
	}
	due := func(t time.Time) bool { return !t.IsZero() && !now.Before(t) }
	switch {
	case c.State() == Resigned:
		return nil
	case due(c.readAt):
		return c.read(now)
	case c.mustRead:
		return nil
	case c.State() == Following && due(c.bidAt) && c.mayBid(now):
		return c.bid(now)
	case c.State() == Held && due(c.renewAt):
		return c.write(now, UpdateCall, Record{Fence: c.grant.Fence})
	case c.State() == Releasing && c.ownsRecord():
		return c.write(now, UpdateCall, Record{Fence: c.observed.Record.Fence, Released: true})
	}
	return nil
}

// expire ends a grant, or the wait for a release, that has run out.
func (c *Core) expire(now time.Time) {
	switch {
	case c.State() == Held && !c.grant.Valid(now):
		c.fire(Expire)
		// The record is this host's own, so it may bid without waiting for the term of another holder.
		c.bidAt, c.readAt = now.Add(c.bidDelay()), now
	case c.State() == Releasing && !now.Before(c.releaseDeadline):
		c.fire(Expire)
	}
}

// ownsRecord reports whether the observed record is this host's and not released, so that other hosts must wait.
func (c *Core) ownsRecord() bool {
	return c.observed.Found && c.observed.Record.Holder == c.self && !c.observed.Record.Released
}

func (c *Core) read(now time.Time) []Effect {
	c.pendingCall = ReadCall
	c.readAt = now.Add(c.cfg.PollInterval)
	return []Effect{{Call: ReadCall}}
}

// bid writes a record with a new fencing number. If the last observation is so old that the write would probably
// fail, it reads the lease instead.
func (c *Core) bid(now time.Time) []Effect {
	if now.Sub(c.observedAt) > c.cfg.RenewInterval {
		return c.read(now)
	}
	c.fire(Bid)
	call := UpdateCall
	if !c.observed.Found {
		call = CreateCall
	}
	return c.write(now, call, Record{Fence: c.nextFence()})
}

// write returns the effect that writes r if the object still has the observed version.
func (c *Core) write(now time.Time, call Call, r Record) []Effect {
	c.attempt++
	r.Holder, r.Attempt, r.Term = c.self, c.attempt, object.Duration(c.cfg.Term)
	c.sentAt[c.attempt] = now
	delete(c.sentAt, c.attempt-maxTrackedAttempts)
	c.maxFence = max(c.maxFence, r.Fence)
	c.pendingCall = call
	return []Effect{{Call: call, Record: r, Version: c.observed.Version}}
}

// Observe handles a snapshot: the result of a read or write if fromRead is set, and otherwise a watch event or an
// announcement.
func (c *Core) Observe(now time.Time, s Snapshot, fromRead bool) []Effect {
	if fromRead {
		c.pendingCall, c.mustRead = NoCall, false
	}
	c.expire(now)
	if c.isSuperseded(s, fromRead) {
		return c.Tick(now)
	}
	if c.State() == Held && c.stale(s) {
		c.scheduleRetry(now)
		return c.Tick(now)
	}
	c.setObserved(now, s)
	c.updateState(now, s)
	if c.State() == Releasing && !c.ownsRecord() {
		c.scheduleRetry(now)
	}
	return c.Tick(now)
}

// Announcement returns the snapshot that a holder sends to other candidates, and false if this host is not the holder.
// The candidates then know already before they read the lease since when the record is unchanged.
func (c *Core) Announcement() (Snapshot, bool) {
	return c.observed, c.State() == Held && c.observed.Record.Holder == c.self
}

// HandleAnnouncement handles a snapshot that the holder announced. Announcements may arrive late, twice or out of
// order, so only a snapshot that is newer than the observed one counts as an observation.
func (c *Core) HandleAnnouncement(now time.Time, s Snapshot) []Effect {
	known := c.observed.Record
	if !s.Found || s.Record.Holder == c.self || s.Record.Fence < known.Fence ||
		s.Record.Fence == known.Fence && s.Record.Attempt <= known.Attempt {
		return nil
	}
	return c.Observe(now, s, false)
}

// isSuperseded reports whether s is the result of a read during which a watch event or an announcement
// delivered another version. That version counts: the result of the read may be older, and observing it would
// restart a wait that the newer version has ended.
func (c *Core) isSuperseded(s Snapshot, fromRead bool) bool {
	if !fromRead {
		c.watchedDuringRead = c.pendingCall == ReadCall
		return false
	}
	superseded := c.watchedDuringRead && s.Version != c.observed.Version
	c.watchedDuringRead = false
	return superseded
}

// stale reports whether s is older than the grant or the last known write of this holder.
func (c *Core) stale(s Snapshot) bool {
	if s.Record.Holder == c.self && s.Record.Fence == c.grant.Fence {
		return s.Record.Attempt < c.observed.Record.Attempt
	}
	return s.Record.Fence < c.grant.Fence
}

// scheduleRetry schedules a read after a random delay and prevents writes until then.
func (c *Core) scheduleRetry(now time.Time) {
	c.mustRead = true
	d := c.cfg.RetryDelay
	if c.cfg.RequireHint && c.State() == Following {
		// There may be many following candidates: while the platform is down, their frequent retries would load it.
		d = max(d, c.cfg.RenewInterval)
	}
	c.readAt = now.Add(d/2 + time.Duration(c.rng.Int64N(int64(d))))
}

// setObserved stores a snapshot and, if it is a new version, determines when this host may bid for the lease.
func (c *Core) setObserved(now time.Time, s Snapshot) {
	overdue := now.Sub(c.observedAt) > c.cfg.RenewInterval && !c.bidAt.IsZero() && c.bidAt.Before(now)
	c.observedAt = now
	fenceKnown := c.maxFence > 0
	c.maxFence = max(c.maxFence, s.Record.Fence)
	if s.Record.Holder != c.self {
		c.othersFence = max(c.othersFence, s.Record.Fence)
	}
	if c.hasObserved && c.observed.Version == s.Version && c.observed.Found == s.Found {
		if overdue {
			// After an outage all candidates are overdue at the same time, so their bids are spread again.
			c.bidAt = now.Add(c.bidDelay())
		}
		return
	}
	c.hasObserved, c.observed = true, s
	c.bidAt = now.Add(c.takeoverWait(s, fenceKnown) + c.bidDelay())
}

// takeoverWait returns how long a version must stay unchanged before this host may bid for the lease. The parameter
// fenceKnown reports whether an earlier fencing number is known; only if none is, a missing object counts as free.
func (c *Core) takeoverWait(s Snapshot, fenceKnown bool) time.Duration {
	switch {
	case !s.Found && !fenceKnown:
		return 0
	case c.isRestored(s):
		// The last holder goes first: it alone knows what the store has lost.
		if c.heldBefore {
			return 0
		}
	case s.Found && s.Record.Released, s.Found && s.Record.Holder == c.self:
		return 0
	}
	if c.cfg.RequireHint {
		return max(c.cfg.Term, time.Duration(s.Record.Term)) + c.cfg.SuccessorMargin
	}
	// A candidate with a long poll interval must not bid before its next read.
	return max(max(c.cfg.Term, time.Duration(s.Record.Term))+c.cfg.SuccessorMargin, c.cfg.PollInterval)
}

// bidDelay returns a delay that spreads the bids of candidates: hosts with fewer roles bid first.
func (c *Core) bidDelay() time.Duration {
	d := min(time.Duration(c.heldRoles)*c.cfg.Stagger, c.cfg.MaxStagger)
	if c.cfg.Jitter > 0 {
		d += time.Duration(c.rng.Int64N(int64(c.cfg.Jitter)))
	}
	return d
}

// updateState makes the state transitions that follow from an observation.
func (c *Core) updateState(now time.Time, s Snapshot) {
	// A record from before a restoration of the store grants nothing: another holder may have used its fencing number.
	mine := s.Found && s.Record.Holder == c.self && !s.Record.Released && !c.isRestored(s)
	switch c.State() {
	case Following, Acquiring, Held:
		if mine && s.Record.Fence >= c.grant.Fence {
			c.applyGrant(now, s.Record)
		} else if c.State() == Held {
			c.fire(Lose)
			c.readAt = now.Add(c.cfg.PollInterval)
		}
		if c.State() == Acquiring && c.pendingCall == NoCall {
			c.fire(Refused)
		}
	case Releasing:
		if s.Found && !mine && s.Record.Fence >= c.grant.Fence && c.pendingCall == NoCall {
			c.fire(Released)
		}
	}
}

// applyGrant sets the grant of this host's request that wrote r. The grant counts from when the request was sent.
func (c *Core) applyGrant(now time.Time, r Record) {
	sent, ok := c.sentAt[r.Attempt]
	g := Grant{Fence: r.Fence, Era: c.era, Sent: sent, Duration: c.cfg.Term - c.cfg.HolderMargin}
	g.Continues = c.grant.Continues
	if r.Fence != c.grant.Fence {
		g.Continues = c.wasLastHolder()
	}
	if !ok || !g.Valid(now) || (c.grant.Fence == g.Fence && sent.Before(c.grant.Sent)) {
		return
	}
	c.grant, c.lastFence = g, g.Fence
	if c.State() == Held {
		c.fire(Renew)
	} else {
		c.fire(Granted)
	}
	c.renewAt = sent.Add(c.cfg.RenewInterval)
	c.readAt, c.mustRead = time.Time{}, false
	if !c.renewAt.After(now) {
		c.renewAt = now.Add(c.cfg.RetryDelay)
	}
}

// ReadFailed handles a failed read.
func (c *Core) ReadFailed(now time.Time) []Effect {
	c.pendingCall = NoCall
	c.scheduleRetry(now)
	return c.Tick(now)
}

// WriteDone handles the result of the write e. The version is that of the object after the write.
func (c *Core) WriteDone(now time.Time, e Effect, o Outcome, version string) []Effect {
	c.pendingCall = NoCall
	c.expire(now)
	switch o {
	case Written:
		return c.Observe(now, Snapshot{Found: true, Record: e.Record, Version: version}, true)
	case NotWritten:
		if c.State() == Acquiring {
			c.fire(Refused)
		}
	}
	c.scheduleRetry(now)
	return c.Tick(now)
}

// Resign ends the candidacy and releases the lease. The host must not act for the role any more.
func (c *Core) Resign(now time.Time) []Effect {
	if c.State() == Releasing || c.State() == Resigned {
		return nil
	}
	c.fire(Resign)
	c.releaseDeadline = now.Add(c.cfg.Term)
	c.readAt = time.Time{}
	if !c.ownsRecord() {
		c.scheduleRetry(now)
	}
	return c.Tick(now)
}

// fire makes a state transition. It panics if the state chart has none for e, which is a bug:
// TestNeverTwoHolders covers all transitions.
func (c *Core) fire(e Event) {
	from := c.State()
	if err := c.machine.Fire(e); err != nil {
		panic(err)
	}
	c.onTransition(statechart.Transition[State, Event]{From: from, Event: e, To: c.State()})
}
