package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/ops/chart"
)

// faults are the probabilities and lengths of what goes wrong in a world.
type faults struct {
	loseRequest, loseAnswer, stale, refuse, late float64
	pause                                        float64
	slow                                         time.Duration
	outage                                       bool
	// words lets holders tell their record.
	words bool
}

// candidate is a host of a world, with a clock of its own rate.
type candidate struct {
	core   *Core
	name   string
	origin time.Time
	rate   float64
	// paused hosts do nothing until this time.
	paused time.Duration
	ticks  int
}

type queued struct {
	at   time.Duration
	host *candidate
	run  func()
}

// world runs cores against one lease object, one event at a time in an order drawn from a seed.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	cfg     Config
	f       faults
	now     time.Duration
	queue   []queued
	hosts   []*candidate
	history []Snapshot
	// watched worlds tell all hosts of each write.
	watched bool
	// words counts records that holders told and that others took.
	words int
	// top is the fence and holder of the last grant, accepted the highest fence that a receiver took.
	top       Grant
	topHolder string
	accepted  uint64
	fencedOff int
	overlaps  int
	lowered   int
	taken     map[chart.Transition[State, Event]]bool
}

func newWorld(t *testing.T, seed uint64, cfg Config, hosts int, f faults) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, f: f, history: []Snapshot{{}}, taken: map[chart.Transition[State, Event]]bool{}}
	for i := range hosts {
		h := &candidate{
			name: fmt.Sprintf("host-%d", i),
			// Clocks differ by years and run up to 4% fast or slow.
			origin: time.Unix(int64(i)*1e8, 0), rate: 0.96 + 0.08*w.rng.Float64(),
		}
		h.core = NewCore(cfg, h.name, rand.New(rand.NewPCG(seed, uint64(i+2))), h.clock(0))
		h.core.notify = func(tr chart.Transition[State, Event]) { w.taken[tr] = true }
		w.hosts = append(w.hosts, h)
		w.step(h, h.core.Tick)
		w.act(h)
		w.tell(h)
	}
	return w
}

func (h *candidate) clock(now time.Duration) time.Time {
	return h.origin.Add(time.Duration(float64(now) * h.rate))
}

func (w *world) after(d time.Duration, h *candidate, run func()) {
	w.queue = append(w.queue, queued{w.now + d, h, run})
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) delay() time.Duration {
	d := 2*time.Millisecond + time.Duration(w.rng.Int64N(int64(10*time.Millisecond)))
	if w.f.slow > 0 && w.chance(0.3) {
		d += time.Duration(w.rng.Int64N(int64(w.f.slow)))
	}
	return d
}

// runUntil takes events in order of time until end.
func (w *world) runUntil(end time.Duration) {
	for {
		first := -1
		for i, q := range w.queue {
			if first < 0 || q.at < w.queue[first].at {
				first = i
			}
		}
		if first < 0 || w.queue[first].at > end {
			w.now = end
			return
		}
		q := w.queue[first]
		w.queue[first] = w.queue[len(w.queue)-1]
		w.queue = w.queue[:len(w.queue)-1]
		w.now = q.at
		if q.host != nil && q.host.paused > w.now {
			w.queue = append(w.queue, queued{q.host.paused, q.host, q.run})
			continue
		}
		q.run()
		w.check()
	}
}

// step gives one event to a host and schedules what it wants next.
func (w *world) step(h *candidate, f func(time.Time) []Effect) {
	for _, e := range f(h.clock(w.now)) {
		w.call(h, e)
	}
	if next := h.core.NextTick(); !next.IsZero() {
		h.ticks++
		n := h.ticks
		d := time.Duration(float64(next.Sub(h.clock(w.now)))/h.rate) + time.Microsecond
		w.after(max(d, 0), h, func() {
			if n == h.ticks {
				w.step(h, h.core.Tick)
			}
		})
	}
	if w.chance(w.f.pause) {
		h.paused = w.now + time.Duration(w.rng.Int64N(int64(2*w.cfg.Term)))
	}
}

// call carries an effect to the platform and back, with the world's faults.
func (w *world) call(h *candidate, e Effect) {
	timeout := w.cfg.Term / 3
	there, back := w.delay(), w.delay()
	done := func(d time.Duration, f func(time.Time) []Effect) {
		w.after(d, h, func() { w.step(h, f) })
	}
	if e.Call == ReadCall {
		if w.chance(w.f.loseRequest) || there+back > timeout {
			done(timeout, h.core.ReadFailed)
			return
		}
		w.after(there, nil, func() {
			s := w.read()
			done(back, func(now time.Time) []Effect { return h.core.Observe(now, s, true) })
		})
		return
	}
	if w.chance(w.f.loseRequest) {
		done(timeout, func(now time.Time) []Effect { return h.core.WriteDone(now, e, Lost, "") })
		return
	}
	if w.chance(w.f.late) {
		there += time.Duration(w.rng.Int64N(int64(2 * w.cfg.Term)))
	}
	lost := w.chance(w.f.loseAnswer) || there+back > timeout
	if lost {
		done(timeout, func(now time.Time) []Effect { return h.core.WriteDone(now, e, Lost, "") })
	}
	w.after(there, nil, func() {
		o, version := w.write(e)
		if !lost {
			done(back, func(now time.Time) []Effect { return h.core.WriteDone(now, e, o, version) })
		}
	})
}

func (w *world) read() Snapshot {
	n := len(w.history) - 1
	if w.chance(w.f.stale) {
		n = w.rng.IntN(len(w.history))
	}
	return w.history[n]
}

func (w *world) write(e Effect) (Outcome, string) {
	last := w.history[len(w.history)-1]
	if w.chance(w.f.refuse) || last.Version != e.Version || (e.Call == CreateCall) == last.Found {
		return NotWritten, ""
	}
	s := Snapshot{Found: true, Record: e.Record, Version: strconv.Itoa(len(w.history))}
	w.history = append(w.history, s)
	if w.watched {
		for _, h := range w.hosts {
			// A watch keeps the order of its events.
			w.after(watchDelay, h, func() {
				w.step(h, func(now time.Time) []Effect { return h.core.Observe(now, s, false) })
			})
		}
	}
	return Written, s.Version
}

// act lets a host check its lease and send an order, with a pause in between.
func (w *world) act(h *candidate) {
	w.after(time.Duration(w.rng.Int64N(int64(3*time.Second))), h, func() {
		if g := h.core.Grant(); g.Valid(h.clock(w.now)) {
			d := w.delay()
			if w.chance(w.f.pause * 20) {
				d += time.Duration(w.rng.Int64N(int64(3 * w.cfg.Term)))
			}
			w.after(d, nil, func() { w.receive(g.Fence) })
		}
		w.act(h)
	})
}

// tell lets a holder tell the others of its record; words are lost, late and out of order.
func (w *world) tell(h *candidate) {
	w.after(wordInterval, h, func() {
		if s, ok := h.core.Announcement(); ok && w.f.words {
			for _, o := range w.hosts {
				if o != h && !w.chance(lostWords) {
					w.after(time.Duration(w.rng.Int64N(int64(w.cfg.Term/2))), o, func() {
						before := o.core.seen.Version
						w.step(o, func(now time.Time) []Effect { return o.core.HandleAnnouncement(now, s) })
						if o.core.seen.Version != before {
							w.words++
						}
					})
				}
			}
		}
		w.tell(h)
	})
}

const (
	// wordInterval is the time between two words of a holder, lostWords the share that does not arrive.
	wordInterval = 500 * time.Millisecond
	lostWords    = 0.3
)

// receive is a receiver that refuses old fencing numbers.
func (w *world) receive(fence uint64) {
	if fence < w.accepted {
		w.fencedOff++
		return
	}
	w.accepted = fence
}

// check is made after each event. A grant begins only at an event, so that no overlap is missed.
func (w *world) check() {
	valid := 0
	for _, h := range w.hosts {
		if h.core.State() == Following && h.core.pending == NoCall && h.core.readAt.IsZero() {
			w.t.Fatalf("%s follows and will never read again", h.name)
		}
		g := h.core.Grant()
		if !g.Valid(h.clock(w.now)) {
			continue
		}
		valid++
		if h.name != w.topHolder && g.Fence <= w.top.Fence || g.Fence < w.top.Fence {
			w.lowered++
		}
		w.top, w.topHolder = g, h.name
	}
	if valid > 1 {
		w.overlaps++
	}
}

func (w *world) holder() *candidate {
	for _, h := range w.hosts {
		if h.core.Grant().Valid(h.clock(w.now)) {
			return h
		}
	}
	return nil
}

// outage makes the platform unreachable for a while, once.
func (w *world) outage() {
	old := w.f
	w.after(20*time.Second, nil, func() { w.f.loseRequest = 1 })
	w.after(50*time.Second, nil, func() { w.f = old })
}

var worldFaults = map[string]faults{
	"no faults":                        {},
	"paused hosts":                     {pause: 0.05},
	"lost requests and answers":        {loseRequest: 0.1, loseAnswer: 0.2},
	"late effects":                     {late: 0.1, loseAnswer: 0.1},
	"stale reads":                      {stale: 0.3, loseAnswer: 0.1},
	"platform slow":                    {slow: 4 * time.Second},
	"platform down for three terms":    {outage: true, pause: 0.01},
	"refused writes":                   {refuse: 0.2},
	"everything at once":               {loseRequest: 0.05, loseAnswer: 0.1, stale: 0.1, refuse: 0.05, late: 0.05, pause: 0.03, slow: 2 * time.Second, outage: true},
	"words of holders":                 {words: true},
	"words, pauses and late effects":   {words: true, pause: 0.05, late: 0.15, loseAnswer: 0.1, stale: 0.1, outage: true},
	"pauses and late effects together": {pause: 0.05, late: 0.15},
}

// watchDelay is the age of a watch's events.
const watchDelay = 5 * time.Millisecond

// worldSeeds is how many seeds each kind of fault gets.
const worldSeeds = 110

// faultyTime is how long the faults last.
const faultyTime = 80 * time.Second

func TestNeverTwoHolders(t *testing.T) {
	fencedOff, words, taken := 0, 0, map[chart.Transition[State, Event]]bool{}
	for what, f := range worldFaults {
		t.Run(what, func(t *testing.T) {
			for seed := range uint64(worldSeeds) {
				w := newWorld(t, seed, DefaultConfig(), 2+int(seed%2), f)
				if f.outage {
					w.outage()
				}
				w.runUntil(faultyTime)
				if w.overlaps > 0 || w.lowered > 0 {
					t.Fatalf("seed %d: %d moments with two holders, %d lowered fences", seed, w.overlaps, w.lowered)
				}
				recovers(t, seed, w)
				fencedOff += w.fencedOff
				words += w.words
				maps.Copy(taken, w.taken)
			}
		})
	}
	maps.Copy(taken, scriptedTransitions(t))
	for _, tr := range Chart().Transitions() {
		if !taken[tr] {
			t.Errorf("no test took %s %s %s", tr.From, tr.Event, tr.To)
		}
	}
	if words == 0 {
		t.Error("no word of a holder was ever taken")
	}
	if fencedOff == 0 {
		t.Error("no order of a predecessor ever came late: the pauses between check and send test nothing")
	}
}

// recovers ends the faults and expects a holder, and a successor within a second of its planned stop.
func recovers(t *testing.T, seed uint64, w *world) {
	t.Helper()
	w.f = faults{}
	w.watched = true
	w.runUntil(w.now + 5*w.cfg.Term)
	h := w.holder()
	if h == nil {
		t.Fatalf("seed %d: no holder five terms after the last fault", seed)
	}
	w.step(h, h.core.Resign)
	w.runUntil(w.now + time.Second)
	if n := w.holder(); n == nil || n == h {
		t.Fatalf("seed %d: no successor a second after a planned stop; holder %v", seed, n)
	}
	if w.overlaps > 0 || w.lowered > 0 {
		t.Fatalf("seed %d: two holders after recovery", seed)
	}
}

func TestTheWorldCatchesBrokenLeases(t *testing.T) {
	broken := map[string]func(*Config){
		"a successor that does not wait the whole term":       func(c *Config) { c.SuccessorMargin = -3 * time.Second },
		"a successor without margin and a holder without one": func(c *Config) { c.SuccessorMargin, c.HolderMargin = 0, 0 },
		"a holder that goes on after its term":                func(c *Config) { c.HolderMargin = -5 * time.Second },
	}
	for what, change := range broken {
		t.Run(what, func(t *testing.T) {
			cfg := DefaultConfig()
			change(&cfg)
			for seed := range uint64(worldSeeds) {
				w := newWorld(t, seed, cfg, 3, faults{pause: 0.05, loseAnswer: 0.1})
				w.runUntil(faultyTime)
				if w.overlaps > 0 {
					return
				}
			}
			t.Error("two holders were never seen")
		})
	}
}

func TestGrantNeedsBothClocks(t *testing.T) {
	sent := time.Now()
	g := Grant{Fence: 1, Sent: sent, Duration: time.Second}
	if !g.Valid(sent.Add(999*time.Millisecond)) || g.Valid(sent.Add(time.Second)) {
		t.Error("the limit is not kept")
	}
	// A virtual machine that was suspended sees only its wall clock move on.
	if g.Valid(sent.Add(time.Minute).Round(0)) {
		t.Error("a suspended holder still holds")
	}
	if (Grant{}).Valid(sent) {
		t.Error("the zero grant holds")
	}
}

// scriptedTransitions walks what the worlds do not reach: a resignation in each state and a lease taken away.
func scriptedTransitions(t *testing.T) map[chart.Transition[State, Event]]bool {
	taken := map[chart.Transition[State, Event]]bool{}
	now := time.Unix(0, 0)
	begin := func() (*Core, []Effect) {
		c := NewCore(DefaultConfig(), "host-a", rand.New(rand.NewPCG(1, 1)), now)
		c.notify = func(tr chart.Transition[State, Event]) { taken[tr] = true }
		c.Tick(now)
		c.Observe(now, Snapshot{}, true)
		return c, c.Tick(now.Add(time.Second))
	}
	c := NewCore(DefaultConfig(), "host-a", rand.New(rand.NewPCG(1, 1)), now)
	c.notify = func(tr chart.Transition[State, Event]) { taken[tr] = true }
	c.Resign(now)
	expect(t, c, Resigned)

	c, e := begin()
	expect(t, c, Acquiring)
	c.Resign(now.Add(time.Second))
	release := c.WriteDone(now.Add(time.Second), e[0], Written, "1")
	if len(release) != 1 || !release[0].Record.Released || release[0].Version != "1" {
		t.Errorf("a bid granted after the resignation is not released: %+v", release)
	}
	c.WriteDone(now.Add(2*time.Second), release[0], Lost, "")
	c.Tick(now.Add(12 * time.Second))
	expect(t, c, Resigned)

	c, e = begin()
	c.WriteDone(now.Add(time.Second), e[0], Written, "1")
	expect(t, c, Held)
	c.Observe(now.Add(time.Second), Snapshot{Found: true, Record: Record{Holder: "host-b", Fence: 9}, Version: "2"}, false)
	expect(t, c, Following)
	return taken
}

func expect(t *testing.T, c *Core, s State) {
	t.Helper()
	if c.State() != s {
		t.Errorf("state %s, want %s", c.State(), s)
	}
}

func TestCandidateThatHeardTheRecordWaitsForTheRestOfTheTerm(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Term, cfg.SuccessorMargin, cfg.RenewInterval, cfg.PollInterval, cfg.Jitter, cfg.RequireHint = 2*time.Second, 200*time.Millisecond, 700*time.Millisecond, time.Hour, 0, true
	start := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	record := Snapshot{Found: true, Version: "9", Record: Record{Holder: "a", Fence: 1, Attempt: 8, Term: object.Duration(cfg.Term)}}
	tests := map[string]struct {
		heard []Snapshot
		// bids is how long after the last word the candidate bids.
		bids time.Duration
	}{
		"nothing heard: a whole term from its own read":      {nil, 1500*time.Millisecond + 2200*time.Millisecond},
		"the record heard: a whole term from the word":       {[]Snapshot{record}, 2200 * time.Millisecond},
		"heard again out of order: the newest record counts": {[]Snapshot{record, {Found: true, Version: "7", Record: Record{Holder: "a", Fence: 1, Attempt: 6}}}, 2200 * time.Millisecond},
		"a record of an earlier holder is of no use":         {[]Snapshot{record, {Found: true, Version: "3", Record: Record{Holder: "z", Fence: 0, Attempt: 99}}}, 2200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewCore(cfg, "b", rand.New(rand.NewPCG(1, 2)), start)
			if test.heard != nil {
				// The first read is over.
				c.Tick(start)
				c.Observe(start, Snapshot{Found: true, Version: "1", Record: Record{Holder: "a", Fence: 1, Attempt: 1, Term: object.Duration(cfg.Term)}}, true)
			} else {
				c.readAt = time.Time{}
			}
			for _, s := range test.heard {
				c.HandleAnnouncement(start, s)
			}
			c.hinted = start
			for at := start; at.Before(start.Add(time.Minute)); at = at.Add(10 * time.Millisecond) {
				if at.Sub(start) == 1500*time.Millisecond {
					c.Hint(at)
				}
				effects := c.Tick(at)
				for len(effects) > 0 && effects[0].Call == ReadCall {
					effects = c.Observe(at, record, true)
				}
				if len(effects) > 0 {
					if got := at.Sub(start); got != test.bids {
						t.Fatalf("bids after %s, want %s", got, test.bids)
					}
					return
				}
			}
			t.Fatal("never bids")
		})
	}
}

func TestHintedCandidateReadsOnlyWhenTold(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Term, cfg.RenewInterval, cfg.PollInterval, cfg.RequireHint = 2*time.Second, 700*time.Millisecond, time.Hour, true
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	c := NewCore(cfg, "b", rand.New(rand.NewPCG(1, 2)), now)
	version := 0
	reads := 0
	// holder renews each half second; the candidate's reads see the newest record.
	pass := func(d time.Duration, renewing bool) {
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
	pass(10*time.Second, true)
	before := reads
	pass(time.Minute, true)
	if reads != before {
		t.Fatalf("%d reads of a lease whose holder is heard, want none", reads-before)
	}
	c.Hint(now)
	pass(5*time.Second, false)
	if c.State() != Held {
		t.Fatalf("state %s five seconds after the holder fell silent, want Held", c.State())
	}
}
