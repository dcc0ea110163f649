package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/ops/statechart"
)

// faults has the probabilities of the faults that a simulation injects, and the upper bound of additional delays.
type faults struct {
	loseRequest, loseResponse, staleRead, rejectWrite, delayWrite float64
	pauseHost                                                     float64
	maxExtraDelay                                                 time.Duration
	// outage makes the platform unreachable for 30 s.
	outage bool
	// announce lets holders announce their records.
	announce bool
	// restoreStore is the probability, for each restoreInterval, that the store is restored from a copy.
	restoreStore float64
}

// host is a simulated host. Its clock has its own start and rate.
type host struct {
	core   *Core
	name   string
	origin time.Time
	rate   float64
	// pausedUntil is the simulated time until which the host handles no events.
	pausedUntil time.Duration
	ticks       int
	// era is the newest era of a response of the store.
	era int64
}

// noteEra handles the era that a response of the store names.
func (h *host) noteEra(now time.Time, era int64) {
	h.era = max(h.era, era)
	h.core.SetEra(now, h.era, now)
}

// scheduledEvent runs at a simulated time, or after the pause of its host. It has no host if it is not on a host.
type scheduledEvent struct {
	at   time.Duration
	host *host
	run  func()
}

// simulation runs cores against one lease object. It runs one event at a time, in an order that depends only on the
// seed.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	cfg     Config
	faults  faults
	now     time.Duration
	events  []scheduledEvent
	hosts   []*host
	history []Snapshot
	// era is the era of the store. Responses name it.
	era int64
	// watchEnabled is set when all hosts get a watch event for each write.
	watchEnabled bool
	// announcementsUsed counts the announcements that other hosts accepted.
	announcementsUsed int
	// lastGrant and lastHolder are the last valid grant and its holder.
	lastGrant  Grant
	lastHolder string
	// maxAcceptedFence is the highest fencing number that the receiver has accepted.
	maxAcceptedFence uint64
	rejectedRequests int
	overlaps         int
	loweredFences    int
	// holders has the holder of each fencing number. falseContinuations counts the grants whose holder wrongly assumes
	// that no other host has held the lease since its previous grant, and continuations the other such grants.
	// sharedFence is a fencing number of two holders, or 0.
	holders            map[uint64]string
	falseContinuations int
	sharedFence        uint64
	continuations      int
	transitions        map[statechart.Transition[State, Event]]bool
}

func newSimulation(t *testing.T, seed uint64, cfg Config, hosts int, f faults) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, faults: f, history: []Snapshot{{}}, era: 1, holders: map[uint64]string{}, transitions: map[statechart.Transition[State, Event]]bool{}}
	sim.scheduleRestorations()
	for i := range hosts {
		h := &host{
			name: fmt.Sprintf("host-%d", i),
			// Clocks differ by years and run up to 4% fast or slow.
			origin: time.Unix(int64(i)*1e8, 0), rate: 0.96 + 0.08*sim.rng.Float64(),
		}
		h.core = NewCore(cfg, h.name, rand.New(rand.NewPCG(seed, uint64(i+2))), h.clock(0))
		h.core.onTransition = func(tr statechart.Transition[State, Event]) { sim.transitions[tr] = true }
		sim.hosts = append(sim.hosts, h)
		sim.step(h, h.core.Tick)
		sim.scheduleFencedRequests(h)
		sim.scheduleAnnouncements(h)
	}
	return sim
}

func (h *host) clock(now time.Duration) time.Time {
	return h.origin.Add(time.Duration(float64(now) * h.rate))
}

func (sim *simulation) after(d time.Duration, h *host, run func()) {
	sim.events = append(sim.events, scheduledEvent{sim.now + d, h, run})
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

func (sim *simulation) callDelay() time.Duration {
	d := 2*time.Millisecond + time.Duration(sim.rng.Int64N(int64(10*time.Millisecond)))
	if sim.faults.maxExtraDelay > 0 && sim.chance(0.3) {
		d += time.Duration(sim.rng.Int64N(int64(sim.faults.maxExtraDelay)))
	}
	return d
}

// runUntil runs the events in order of time until end.
func (sim *simulation) runUntil(end time.Duration) {
	for {
		first := -1
		for i, e := range sim.events {
			if first < 0 || e.at < sim.events[first].at {
				first = i
			}
		}
		if first < 0 || sim.events[first].at > end {
			sim.now = end
			return
		}
		e := sim.events[first]
		sim.events[first] = sim.events[len(sim.events)-1]
		sim.events = sim.events[:len(sim.events)-1]
		sim.now = e.at
		if e.host != nil && e.host.pausedUntil > sim.now {
			sim.events = append(sim.events, scheduledEvent{e.host.pausedUntil, e.host, e.run})
			continue
		}
		e.run()
		sim.check()
	}
}

// step calls the core of a host with f, carries out the effects and schedules the next tick.
func (sim *simulation) step(h *host, f func(time.Time) []Effect) {
	for _, e := range f(h.clock(sim.now)) {
		sim.callPlatform(h, e)
	}
	if next := h.core.NextTick(); !next.IsZero() {
		h.ticks++
		n := h.ticks
		d := time.Duration(float64(next.Sub(h.clock(sim.now)))/h.rate) + time.Microsecond
		sim.after(max(d, 0), h, func() {
			if n == h.ticks {
				sim.step(h, h.core.Tick)
			}
		})
	}
	if sim.chance(sim.faults.pauseHost) {
		h.pausedUntil = sim.now + time.Duration(sim.rng.Int64N(int64(2*sim.cfg.Term)))
	}
}

// callPlatform carries out an effect on the lease object, subject to the faults.
func (sim *simulation) callPlatform(h *host, e Effect) {
	timeout := sim.cfg.Term / 3
	there, back := sim.callDelay(), sim.callDelay()
	done := func(d time.Duration, f func(time.Time) []Effect) {
		sim.after(d, h, func() { sim.step(h, f) })
	}
	if e.Call == ReadCall {
		if sim.chance(sim.faults.loseRequest) || there+back > timeout {
			done(timeout, h.core.ReadFailed)
			return
		}
		sim.after(there, nil, func() {
			s, era := sim.readStore(), sim.era
			done(back, func(now time.Time) []Effect {
				if h.noteEra(now, era); era < h.era {
					return h.core.ReadFailed(now)
				}
				return h.core.Observe(now, s, true)
			})
		})
		return
	}
	if sim.chance(sim.faults.loseRequest) {
		done(timeout, func(now time.Time) []Effect { return h.core.WriteDone(now, e, Lost, "") })
		return
	}
	if sim.chance(sim.faults.delayWrite) {
		there += time.Duration(sim.rng.Int64N(int64(2 * sim.cfg.Term)))
	}
	lost := sim.chance(sim.faults.loseResponse) || there+back > timeout
	if lost {
		done(timeout, func(now time.Time) []Effect { return h.core.WriteDone(now, e, Lost, "") })
	}
	sim.after(there, nil, func() {
		o, version := sim.writeStore(e)
		era := sim.era
		if !lost {
			done(back, func(now time.Time) []Effect {
				if h.noteEra(now, era); era < h.era {
					return h.core.WriteDone(now, e, Lost, "")
				}
				return h.core.WriteDone(now, e, o, version)
			})
		}
	})
}

func (sim *simulation) readStore() Snapshot {
	n := len(sim.history) - 1
	if sim.chance(sim.faults.staleRead) {
		n = sim.rng.IntN(len(sim.history))
	}
	return sim.history[n]
}

func (sim *simulation) writeStore(e Effect) (Outcome, string) {
	last := sim.history[len(sim.history)-1]
	if sim.chance(sim.faults.rejectWrite) || last.Version != e.Version || (e.Call == CreateCall) == last.Found {
		return NotWritten, ""
	}
	s := Snapshot{Found: true, Record: e.Record, Version: fmt.Sprintf("%d/%d", sim.era, len(sim.history))}
	sim.history = append(sim.history, s)
	if sim.watchEnabled {
		for _, h := range sim.hosts {
			// All events have the same delay, because a watch keeps their order.
			sim.after(watchDelay, h, func() {
				sim.step(h, func(now time.Time) []Effect {
					h.noteEra(now, sim.era)
					return h.core.Observe(now, s, false)
				})
			})
		}
	}
	return Written, s.Version
}

// scheduleFencedRequests makes a host repeatedly check its lease and then, after a possible pause, send a request
// with its fencing number.
func (sim *simulation) scheduleFencedRequests(h *host) {
	sim.after(time.Duration(sim.rng.Int64N(int64(3*time.Second))), h, func() {
		if g := h.core.Grant(); g.Valid(h.clock(sim.now)) {
			d := sim.callDelay()
			if sim.chance(sim.faults.pauseHost * 20) {
				d += time.Duration(sim.rng.Int64N(int64(3 * sim.cfg.Term)))
			}
			sim.after(d, nil, func() { sim.receiveRequest(g.Fence) })
		}
		sim.scheduleFencedRequests(h)
	})
}

// scheduleAnnouncements makes a holder repeatedly announce its record to the other hosts. Announcements may be lost,
// late or out of order.
func (sim *simulation) scheduleAnnouncements(h *host) {
	sim.after(announcementInterval, h, func() {
		if s, ok := h.core.Announcement(); ok && sim.faults.announce {
			for _, o := range sim.hosts {
				if o != h && !sim.chance(announcementLoss) {
					sim.after(time.Duration(sim.rng.Int64N(int64(sim.cfg.Term/2))), o, func() {
						before := o.core.observed.Version
						sim.step(o, func(now time.Time) []Effect { return o.core.HandleAnnouncement(now, s) })
						if o.core.observed.Version != before {
							sim.announcementsUsed++
						}
					})
				}
			}
		}
		sim.scheduleAnnouncements(h)
	})
}

const (
	// announcementInterval is the time between two announcements of a holder, and announcementLoss the share of them
	// that is lost.
	announcementInterval = 500 * time.Millisecond
	announcementLoss     = 0.3
)

// receiveRequest simulates a receiver that rejects requests with old fencing numbers.
func (sim *simulation) receiveRequest(fence uint64) {
	if fence < sim.maxAcceptedFence {
		sim.rejectedRequests++
		return
	}
	sim.maxAcceptedFence = fence
}

// check looks for several valid grants and for lowered fencing numbers. Grants begin only at events, so a check after
// each event misses no overlap.
func (sim *simulation) check() {
	valid := 0
	for _, h := range sim.hosts {
		if h.core.State() == Following && h.core.pendingCall == NoCall && h.core.readAt.IsZero() {
			sim.t.Fatalf("%s is following and has no next read scheduled", h.name)
		}
		g := h.core.Grant()
		if !g.Valid(h.clock(sim.now)) {
			continue
		}
		valid++
		sim.checkContinuation(h.name, g)
		if sim.era > 1 {
			// A holder that has not heard of a restoration may hold a grant beside a new holder. Receivers reject its
			// requests, as its fencing number is lower.
			continue
		}
		if h.name != sim.lastHolder && g.Fence <= sim.lastGrant.Fence || g.Fence < sim.lastGrant.Fence {
			sim.loweredFences++
		}
		sim.lastGrant, sim.lastHolder = g, h.name
	}
	if sim.era > 1 {
		return
	}
	if valid > 1 {
		sim.overlaps++
	}
}

func (sim *simulation) holder() *host {
	for _, h := range sim.hosts {
		if h.core.Grant().Valid(h.clock(sim.now)) {
			return h
		}
	}
	return nil
}

// scheduleOutage makes the platform unreachable from 20 s to 50 s.
func (sim *simulation) scheduleOutage() {
	saved := sim.faults
	sim.after(20*time.Second, nil, func() { sim.faults.loseRequest = 1 })
	sim.after(50*time.Second, nil, func() { sim.faults = saved })
}

var faultCases = map[string]faults{
	"no faults":                             {},
	"paused hosts":                          {pauseHost: 0.05},
	"lost requests and responses":           {loseRequest: 0.1, loseResponse: 0.2},
	"late writes":                           {delayWrite: 0.1, loseResponse: 0.1},
	"stale reads":                           {staleRead: 0.3, loseResponse: 0.1},
	"platform slow":                         {maxExtraDelay: 4 * time.Second},
	"platform down for three terms":         {outage: true, pauseHost: 0.01},
	"rejected writes":                       {rejectWrite: 0.2},
	"all faults together":                   {loseRequest: 0.05, loseResponse: 0.1, staleRead: 0.1, rejectWrite: 0.05, delayWrite: 0.05, pauseHost: 0.03, maxExtraDelay: 2 * time.Second, outage: true},
	"announcements of the holder":           {announce: true},
	"announcements, pauses and late writes": {announce: true, pauseHost: 0.05, delayWrite: 0.15, loseResponse: 0.1, staleRead: 0.1, outage: true},
	"pauses and late writes":                {pauseHost: 0.05, delayWrite: 0.15},
}

// watchDelay is the delay of watch events.
const watchDelay = 5 * time.Millisecond

// seedsPerCase is the number of seeds for each fault case.
const seedsPerCase = 110

// faultPeriod is how long the faults last.
const faultPeriod = 80 * time.Second

// Two hosts must never hold valid grants at the same time, and fencing numbers must never fall, although hosts pause,
// clocks run at different rates and the platform loses, delays or rejects calls. Afterwards the role must have a
// holder again. The tests must cover all state transitions.
func TestNeverTwoHolders(t *testing.T) {
	rejectedRequests, announcementsUsed, transitions := 0, 0, map[statechart.Transition[State, Event]]bool{}
	for what, f := range faultCases {
		t.Run(what, func(t *testing.T) {
			for seed := range uint64(seedsPerCase) {
				sim := newSimulation(t, seed, DefaultConfig(), 2+int(seed%2), f)
				if f.outage {
					sim.scheduleOutage()
				}
				sim.runUntil(faultPeriod)
				if sim.overlaps > 0 || sim.loweredFences > 0 {
					t.Fatalf("seed %d: two holders after %d events, %d lowered fencing numbers", seed, sim.overlaps, sim.loweredFences)
				}
				checkRecovery(t, seed, sim)
				rejectedRequests += sim.rejectedRequests
				announcementsUsed += sim.announcementsUsed
				maps.Copy(transitions, sim.transitions)
			}
		})
	}
	maps.Copy(transitions, checkScriptedTransitions(t))
	for _, tr := range Chart().Transitions() {
		if !transitions[tr] {
			t.Errorf("no test made the transition from %s by %s to %s", tr.From, tr.Event, tr.To)
		}
	}
	if announcementsUsed == 0 {
		t.Error("no announcement of a holder was accepted")
	}
	if rejectedRequests == 0 {
		t.Error("no late request of an earlier holder was rejected: the pauses between check and send have no effect")
	}
}

// checkRecovery ends the faults. It requires a holder after five terms, and a successor within a second after the
// planned stop of that holder.
func checkRecovery(t *testing.T, seed uint64, sim *simulation) {
	t.Helper()
	sim.faults = faults{}
	sim.watchEnabled = true
	sim.runUntil(sim.now + 5*sim.cfg.Term)
	h := sim.holder()
	if h == nil {
		t.Fatalf("seed %d: no holder five terms after the last fault", seed)
	}
	sim.step(h, h.core.Resign)
	sim.runUntil(sim.now + time.Second)
	if n := sim.holder(); n == nil || n == h {
		t.Fatalf("seed %d: no successor a second after a planned stop; the holder is %v", seed, n)
	}
	if sim.overlaps > 0 || sim.loweredFences > 0 {
		t.Fatalf("seed %d: two holders after recovery", seed)
	}
}

// A simulation that cannot detect two holders proves nothing. Each of these wrong margins must lead to two holders.
func TestSimulationDetectsBrokenLeases(t *testing.T) {
	broken := map[string]func(*Config){
		"successor does not wait for the whole term": func(c *Config) { c.SuccessorMargin = -3 * time.Second },
		"neither successor nor holder has a margin":  func(c *Config) { c.SuccessorMargin, c.HolderMargin = 0, 0 },
		"holder continues after its term":            func(c *Config) { c.HolderMargin = -5 * time.Second },
	}
	for what, change := range broken {
		t.Run(what, func(t *testing.T) {
			cfg := DefaultConfig()
			change(&cfg)
			for seed := range uint64(seedsPerCase) {
				sim := newSimulation(t, seed, cfg, 3, faults{pauseHost: 0.05, loseResponse: 0.1})
				sim.runUntil(faultPeriod)
				if sim.overlaps > 0 {
					return
				}
			}
			t.Error("no seed led to two holders")
		})
	}
}

// The monotonic clock stops while a virtual machine is suspended: a grant that is checked by this clock alone would
// still be valid after the term.
func TestGrantNeedsBothClocks(t *testing.T) {
	sent := time.Now()
	g := Grant{Fence: 1, Sent: sent, Duration: time.Second}
	if !g.Valid(sent.Add(999*time.Millisecond)) || g.Valid(sent.Add(time.Second)) {
		t.Error("the grant is not valid for exactly its duration")
	}
	// Only the wall clock of a suspended virtual machine advances.
	if g.Valid(sent.Add(time.Minute).Round(0)) {
		t.Error("the grant of a suspended holder is still valid")
	}
	if (Grant{}).Valid(sent) {
		t.Error("the zero grant is valid")
	}
}

// checkScriptedTransitions covers what the simulation does not reach: a resignation in each state, and a lease that
// another host takes over before it expires. It returns the transitions made.
func checkScriptedTransitions(t *testing.T) map[statechart.Transition[State, Event]]bool {
	transitions := map[statechart.Transition[State, Event]]bool{}
	now := time.Unix(0, 0)
	startBid := func() (*Core, []Effect) {
		c := NewCore(DefaultConfig(), "host-a", rand.New(rand.NewPCG(1, 1)), now)
		c.onTransition = func(tr statechart.Transition[State, Event]) { transitions[tr] = true }
		c.Tick(now)
		c.Observe(now, Snapshot{}, true)
		return c, c.Tick(now.Add(time.Second))
	}
	c := NewCore(DefaultConfig(), "host-a", rand.New(rand.NewPCG(1, 1)), now)
	c.onTransition = func(tr statechart.Transition[State, Event]) { transitions[tr] = true }
	c.Resign(now)
	expectState(t, c, Resigned)

	c, e := startBid()
	expectState(t, c, Acquiring)
	c.Resign(now.Add(time.Second))
	release := c.WriteDone(now.Add(time.Second), e[0], Written, "1")
	if len(release) != 1 || !release[0].Record.Released || release[0].Version != "1" {
		t.Errorf("a bid granted after the resignation is not released: %+v", release)
	}
	c.WriteDone(now.Add(2*time.Second), release[0], Lost, "")
	c.Tick(now.Add(12 * time.Second))
	expectState(t, c, Resigned)

	c, e = startBid()
	c.WriteDone(now.Add(time.Second), e[0], Written, "1")
	expectState(t, c, Held)
	c.Observe(now.Add(time.Second), Snapshot{Found: true, Record: Record{Holder: "host-b", Fence: 9}, Version: "2"}, false)
	expectState(t, c, Following)
	return transitions
}

func expectState(t *testing.T, c *Core, s State) {
	t.Helper()
	if c.State() != s {
		t.Errorf("state %s, want %s", c.State(), s)
	}
}

// A candidate that got the holder's record by an announcement must count the term from then: counted from its own
// later read, the takeover would take longer than necessary.
func TestAnnouncementStartsTakeoverWait(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Term, cfg.SuccessorMargin, cfg.RenewInterval, cfg.PollInterval, cfg.Jitter, cfg.RequireHint = 2*time.Second, 200*time.Millisecond, 700*time.Millisecond, time.Hour, 0, true
	start := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	record := Snapshot{Found: true, Version: "9", Record: Record{Holder: "a", Fence: 1, Attempt: 8, Term: object.Duration(cfg.Term)}}
	tests := map[string]struct {
		announced []Snapshot
		// bidAfter is how long after the last announcement the candidate bids.
		bidAfter time.Duration
	}{
		"no announcement: a whole term from its own read":      {nil, 1500*time.Millisecond + 2200*time.Millisecond},
		"announced record: a whole term from the announcement": {[]Snapshot{record}, 2200 * time.Millisecond},
		"announcements out of order: the newest record counts": {[]Snapshot{record, {Found: true, Version: "7", Record: Record{Holder: "a", Fence: 1, Attempt: 6}}}, 2200 * time.Millisecond},
		"announced record of an earlier holder: ignored":       {[]Snapshot{record, {Found: true, Version: "3", Record: Record{Holder: "z", Fence: 0, Attempt: 99}}}, 2200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewCore(cfg, "b", rand.New(rand.NewPCG(1, 2)), start)
			if test.announced != nil {
				// The first read has returned.
				c.Tick(start)
				c.Observe(start, Snapshot{Found: true, Version: "1", Record: Record{Holder: "a", Fence: 1, Attempt: 1, Term: object.Duration(cfg.Term)}}, true)
			} else {
				c.readAt = time.Time{}
			}
			for _, s := range test.announced {
				c.HandleAnnouncement(start, s)
			}
			c.hintedAt = start
			for at := start; at.Before(start.Add(time.Minute)); at = at.Add(10 * time.Millisecond) {
				if at.Sub(start) == 1500*time.Millisecond {
					c.Hint(at)
				}
				effects := c.Tick(at)
				for len(effects) > 0 && effects[0].Call == ReadCall {
					effects = c.Observe(at, record, true)
				}
				if len(effects) > 0 {
					if got := at.Sub(start); got != test.bidAfter {
						t.Fatalf("bid after %s, want %s", got, test.bidAfter)
					}
					return
				}
			}
			t.Fatal("the candidate does not bid within a minute")
		})
	}
}

// With RequireHint, a candidate must not read the lease without a recent hint, so that many candidates do not load
// the platform. After a hint it must acquire the lease of a holder that no longer renews.
func TestHintedCandidateReadsOnlyWhenTold(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Term, cfg.RenewInterval, cfg.PollInterval, cfg.RequireHint = 2*time.Second, 700*time.Millisecond, time.Hour, true
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	c := NewCore(cfg, "b", rand.New(rand.NewPCG(1, 2)), now)
	version := 0
	reads := 0
	// The holder renews each half second. The candidate's reads return the newest record.
	run := func(d time.Duration, renewing bool) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			if renewing && now.UnixMilli()%500 == 0 {
				version++
			}
			for _, e := range c.Tick(now) {
				switch e.Call {
				case ReadCall:
					reads++
					c.Observe(now, Snapshot{Found: true, Version: fmt.Sprint(version), Record: Record{Holder: "a", Fence: 1, Term: object.Duration(cfg.Term)}}, true)
				default:
					c.WriteDone(now, e, Written, "bid")
				}
			}
		}
	}
	run(10*time.Second, true)
	before := reads
	run(time.Minute, true)
	if reads != before {
		t.Fatalf("%d reads of a renewed lease without a hint, want none", reads-before)
	}
	c.Hint(now)
	run(5*time.Second, false)
	if c.State() != Held {
		t.Fatalf("state %s five seconds after the holder stopped renewing, want Held", c.State())
	}
}
