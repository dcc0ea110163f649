package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"shallotramp/internal/traffic/queue"
)

const (
	// leastRate is the share of a pool that work is taken to get however much of higher tiers runs.
	leastRate = 0.05
	// leastRetry and mostRetry bound the advice when to come again.
	leastRetry = time.Second
	mostRetry  = time.Minute
)

// outlook is what the waiting work of all hosts means for one class.
type outlook struct {
	class *queue.Class
	// waiting counts the sheddable requests of all hosts, and allowed those that can meet their target.
	waiting, allowed int
	// floor counts the requests that the class's floor serves within its target.
	floor int
	// wait is the expected time until a new request starts.
	wait time.Duration
}

// outlooks works out the expected waits in order of tier. Higher tiers delay lower ones and
// floors take their share from all, so the outlook of a class never depends on lower tiers
// beyond their floors: it is the same on every host up to the delay of what they tell.
func (p *pool) outlooks(slots int) []outlook {
	classes := p.q.Classes()
	out := make([]outlook, 0, len(classes))
	rate, backlog := float64(slots), 0.0
	for _, c := range classes {
		rate -= p.floorOf(c, slots)
	}
	for _, c := range classes {
		st := p.class(c.Name)
		service := st.service.or(firstService.Seconds())
		rate += p.floorOf(c, slots)
		effective := max(rate, leastRate*float64(slots))
		o := outlook{class: c, waiting: c.Sheddable() + st.peerSheddable}
		target := targetShare * max(c.Target.Seconds()/4, c.Target.Seconds()-st.prefill.or(0))
		o.floor = max(1, int(c.Floor*float64(slots)*target/service))
		o.allowed = max(o.floor, int((target*effective-backlog)/service))
		backlog += float64(c.Waiting()+c.PeerWaiting) * service
		o.wait = time.Duration(backlog / effective * float64(time.Second))
		rate -= float64(c.Running + c.PeerRunning)
		out = append(out, o)
	}
	return out
}

// floorOf returns the places that a class with waiting work has by its floor.
func (p *pool) floorOf(c *queue.Class, slots int) float64 {
	if c.Waiting()+c.PeerWaiting == 0 {
		return 0
	}
	return c.Floor * float64(slots)
}

// level is the state of shedding in a pool. Hosts want a level when much of a tier waits, apply
// the highest that any of them wants, and shed work of a tier only after all of them have applied
// its level for a while, so that no lower tier is served beyond its floor meanwhile.
type level struct {
	wanted, applied int
	// told is the level that other hosts are told as applied, and pending one that is told soon.
	told, pending int
	pendingAt     time.Time
	// wantedAt is when any host was last known to want a level.
	wantedAt time.Time
	// until is when an applied level ends that nobody wants any more.
	until time.Time
	// agreed is since when all hosts apply the level agreedOn or a higher tier.
	agreed   time.Time
	agreedOn int
}

const (
	// wantShare is the share of what may wait of a tier at which lower tiers are held back.
	wantShare = 0.5
	// hardShare relates what may wait of a tier at most to what can meet its target.
	hardShare = 30
	// levelHold is how long a level stays after nobody wants it.
	levelHold = 2 * time.Second
	// tellTime is how long a level has been applied before it is told, so that every lapse shows in
	// what the hosts tell, also in sums that go to other zones every 2 s.
	tellTime = 2500 * time.Millisecond
	// settleTime is how long all hosts have applied a level before work of its tier is shed.
	settleTime = time.Second
)

// assess updates the level of the pool.
func (p *pool) assess(now time.Time, slots int) {
	l := &p.level
	l.wanted = 0
	for _, o := range p.outlooks(slots) {
		if float64(o.waiting) > wantShare*float64(o.allowed) {
			l.wanted = o.class.Tier
			break
		}
	}
	want := l.wanted
	for _, s := range p.peers {
		want = higher(want, s.WantedThrottleTier)
	}
	if want != 0 {
		if now.Sub(l.wantedAt) > levelHold/2 {
			// Another host may have let its level go, and what it told is late.
			l.agreed = now
		}
		l.wantedAt = now
	}
	if want != 0 && (l.applied == 0 || want <= l.applied) || !now.Before(l.until) {
		l.applied, l.until = want, now.Add(levelHold)
	}
	l.tell(now)
	p.agree(now)
}

// tell updates what is told: a weaker level at once, a stronger one after a while.
func (l *level) tell(now time.Time) {
	switch {
	case l.applied == 0:
		l.told, l.pending = 0, 0
	case l.told != 0 && l.applied >= l.told:
		l.told, l.pending = l.applied, 0
	case l.pending != l.applied:
		l.pending, l.pendingAt = l.applied, now
	case now.Sub(l.pendingAt) >= tellTime:
		l.told, l.pending = l.applied, 0
	}
}

// higher returns the higher of two tiers, where 0 is none.
func higher(a, b int) int {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// agree notes since when all hosts apply a level.
func (p *pool) agree(now time.Time) {
	l := &p.level
	on := l.applied
	for _, s := range p.peers {
		if s.AppliedThrottleTier == 0 || on == 0 {
			on = 0
			break
		}
		on = max(on, s.AppliedThrottleTier)
	}
	if on == 0 || l.agreedOn == 0 || on < l.agreedOn {
		l.agreed = now
	}
	l.agreedOn = on
}

// overload removes the waiting work that must be shed so that the rest meets its targets. Tiers
// below the applied level keep what their floors serve within their targets. A tier with more
// waiting than can meet its target is cut to that, once no host serves lower tiers beyond floors.
func (p *pool) overload(now time.Time, slots int) []*queue.Item {
	var out []*queue.Item
	l := &p.level
	for _, o := range p.outlooks(slots) {
		settled := l.agreedOn > 0 && l.agreedOn <= o.class.Tier && now.Sub(l.agreed) >= settleTime
		lowest := o.class.Tier == p.lowestTier()
		if o.waiting > o.allowed && (settled || lowest) {
			by := queue.Cut{Line: p.class(o.class.Name).line}
			if !lowest {
				// What arrived before may have waited while lower tiers were served.
				by.Since = l.agreed
			}
			out = append(out, p.q.Shed(now, o.class, 0, by)...)
		}
	}
	return out
}

func (p *pool) lowestTier() int {
	classes := p.q.Classes()
	return classes[len(classes)-1].Tier
}

// draw finds the lines by which classes with too much waiting work are shed: on all hosts
// together, about as many requests as may wait come before the line in fair order. Hosts draw
// nearly the same line, so the organisations with the most use lose, wherever their work waits.
func (p *pool) draw(now time.Time, slots int) {
	for _, o := range p.outlooks(slots) {
		st := p.class(o.class.Name)
		st.line = math.Inf(1)
		if o.waiting <= o.allowed {
			continue
		}
		list := p.samples(now, o.class)
		allowed := float64(max(o.allowed, 1+len(p.peers)))
		st.line = lineOf(list, allowed)
		// Organisations that had clearly less than others may rather be late, within bounds.
		spared := min(queue.Entitled*o.class.MostUse(now), lineOf(list, hardShare*allowed))
		st.line = max(st.line, spared)
	}
}

// sample is a use that a number of waiting requests have.
type sample struct{ use, count float64 }

// samples collects the uses of what waits on all hosts.
func (p *pool) samples(now time.Time, c *queue.Class) []sample {
	var out []sample
	add := func(uses []float64, n int) {
		for _, u := range uses {
			out = append(out, sample{u, float64(n) / float64(len(uses))})
		}
	}
	add(c.Uses(now, usesTold), c.Sheddable())
	for _, s := range p.peers {
		t := s.Classes[c.Name]
		add(t.Uses, t.Sheddable)
	}
	return out
}

// usesTold bounds the sample of uses told to other hosts.
const usesTold = 8

// lineOf returns the use before which n of the sampled requests come.
func lineOf(list []sample, n float64) float64 {
	slices.SortFunc(list, func(a, b sample) int { return cmp.Compare(a.use, b.use) })
	for _, s := range list {
		if n -= s.count; n < 0 {
			return s.use
		}
	}
	return math.Inf(1)
}

// retryAfter returns when a refused request of a class may be admitted: once the backlog has
// drained to what meets the target. jitter, from 0 to 1, spreads those who come again.
func (p *pool) retryAfter(class string, slots int, jitter float64) time.Duration {
	d := leastRetry
	for _, o := range p.outlooks(slots) {
		if o.class.Name == class {
			d = o.wait - time.Duration(targetShare*float64(o.class.Target))
		}
	}
	d = min(mostRetry, max(leastRetry, d))
	return d + time.Duration(jitter/2*float64(d))
}
