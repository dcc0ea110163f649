package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"shallotramp/internal/traffic/queue"
)

const (
	// minCapacityShare is the share of a pool that work is taken to get however much of higher tiers runs.
	minCapacityShare = 0.05
	// minRetryAfter and maxRetryAfter bound the advice when to come again.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// forecast is what the waiting work of all hosts means for one class.
type forecast struct {
	class *queue.Class
	// waiting counts the sheddable requests of all hosts, and allowed those that can meet their target.
	waiting, allowed int
	// floorAllowed counts the requests that the class's floor serves within its target.
	floorAllowed int
	// expectedWait is the expected time until a new request starts.
	expectedWait time.Duration
}

// forecasts works out the expected waits in order of tier. Higher tiers delay lower ones and
// floors take their share from all, so the outlook of a class never depends on lower tiers
// beyond their floors: it is the same on every host up to the delay of what they tell.
func (p *pool) forecasts(slots int) []forecast {
	classes := p.q.Classes()
	out := make([]forecast, 0, len(classes))
	capacity, backlog := float64(slots), 0.0
	for _, c := range classes {
		capacity -= p.floorSlots(c, slots)
	}
	for _, c := range classes {
		st := p.statsOf(c.Name)
		service := st.service.valueOr(defaultServiceTime.Seconds())
		capacity += p.floorSlots(c, slots)
		effectiveCapacity := max(capacity, minCapacityShare*float64(slots))
		o := forecast{class: c, waiting: c.Sheddable() + st.peerSheddable}
		maxWait := targetWaitShare * max(c.Target.Seconds()/4, c.Target.Seconds()-st.ttft.valueOr(0))
		o.floorAllowed = max(1, int(c.Floor*float64(slots)*maxWait/service))
		o.allowed = max(o.floorAllowed, int((maxWait*effectiveCapacity-backlog)/service))
		backlog += float64(c.Waiting()+c.PeerWaiting) * service
		o.expectedWait = time.Duration(backlog / effectiveCapacity * float64(time.Second))
		capacity -= float64(c.Running + c.PeerRunning)
		out = append(out, o)
	}
	return out
}

// floorSlots returns the places that a class with waiting work has by its floor.
func (p *pool) floorSlots(c *queue.Class, slots int) float64 {
	if c.Waiting()+c.PeerWaiting == 0 {
		return 0
	}
	return c.Floor * float64(slots)
}

// shedLevel is the state of shedding in a pool. Hosts want a level when much of a tier waits, apply
// the highest that any of them wants, and shed work of a tier only after all of them have applied
// its level for a while, so that no lower tier is served beyond its floor meanwhile.
type shedLevel struct {
	wanted, applied int
	// published is the level that other hosts are told as applied, and pending one that is told soon.
	published, pending int
	pendingSince       time.Time
	// lastWanted is when any host was last known to want a level.
	lastWanted time.Time
	// expires is when an applied level ends that nobody wants any more.
	expires time.Time
	// agreedSince is since when all hosts apply the level agreedTier or a higher tier.
	agreedSince time.Time
	agreedTier  int
}

const (
	// wantLevelShare is the share of what may wait of a tier at which lower tiers are held back.
	wantLevelShare = 0.5
	// hardLimitFactor relates what may wait of a tier at most to what can meet its target.
	hardLimitFactor = 30
	// levelHoldTime is how long a level stays after nobody wants it.
	levelHoldTime = 2 * time.Second
	// publishDelay is how long a level has been applied before it is told, so that every lapse shows in
	// what the hosts tell, also in sums that go to other zones every 2 s.
	publishDelay = 2500 * time.Millisecond
	// shedDelay is how long all hosts have applied a level before work of its tier is shed.
	shedDelay = time.Second
)

// updateLevel updates the level of the pool.
func (p *pool) updateLevel(now time.Time, slots int) {
	l := &p.level
	l.wanted = 0
	for _, o := range p.forecasts(slots) {
		if float64(o.waiting) > wantLevelShare*float64(o.allowed) {
			l.wanted = o.class.Tier
			break
		}
	}
	anyWanted := l.wanted
	for _, s := range p.peerStates {
		anyWanted = higherTier(anyWanted, s.Wanted)
	}
	if anyWanted != 0 {
		if now.Sub(l.lastWanted) > levelHoldTime/2 {
			// Another host may have let its level go, and what it told is late.
			l.agreedSince = now
		}
		l.lastWanted = now
	}
	if anyWanted != 0 && (l.applied == 0 || anyWanted <= l.applied) || !now.Before(l.expires) {
		l.applied, l.expires = anyWanted, now.Add(levelHoldTime)
	}
	l.updatePublished(now)
	p.updateAgreement(now)
}

// updatePublished updates what is told: a weaker level at once, a stronger one after a while.
func (l *shedLevel) updatePublished(now time.Time) {
	switch {
	case l.applied == 0:
		l.published, l.pending = 0, 0
	case l.published != 0 && l.applied >= l.published:
		l.published, l.pending = l.applied, 0
	case l.pending != l.applied:
		l.pending, l.pendingSince = l.applied, now
	case now.Sub(l.pendingSince) >= publishDelay:
		l.published, l.pending = l.applied, 0
	}
}

// higherTier returns the higher of two tiers, where 0 is none.
func higherTier(a, b int) int {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// updateAgreement notes since when all hosts apply a level.
func (p *pool) updateAgreement(now time.Time) {
	l := &p.level
	tier := l.applied
	for _, s := range p.peerStates {
		if s.Applied == 0 || tier == 0 {
			tier = 0
			break
		}
		tier = max(tier, s.Applied)
	}
	if tier == 0 || l.agreedTier == 0 || tier < l.agreedTier {
		l.agreedSince = now
	}
	l.agreedTier = tier
}

// shedOverload removes the waiting work that must be shed so that the rest meets its targets. Tiers
// below the applied level keep what their floors serve within their targets. A tier with more
// waiting than can meet its target is cut to that, once no host serves lower tiers beyond floors.
func (p *pool) shedOverload(now time.Time, slots int) []*queue.Item {
	var out []*queue.Item
	l := &p.level
	for _, o := range p.forecasts(slots) {
		agreedLongEnough := l.agreedTier > 0 && l.agreedTier <= o.class.Tier && now.Sub(l.agreedSince) >= shedDelay
		lowest := o.class.Tier == p.lowestTier()
		if o.waiting > o.allowed && (agreedLongEnough || lowest) {
			cut := queue.Cut{Line: p.statsOf(o.class.Name).shedThreshold}
			if !lowest {
				// What arrived before may have waited while lower tiers were served.
				cut.Since = l.agreedSince
			}
			out = append(out, p.q.Shed(now, o.class, 0, cut)...)
		}
	}
	return out
}

func (p *pool) lowestTier() int {
	classes := p.q.Classes()
	return classes[len(classes)-1].Tier
}

// updateShedThresholds finds the lines by which classes with too much waiting work are shed: on all hosts
// together, about as many requests as may wait come before the line in fair order. Hosts draw
// nearly the same line, so the organisations with the most use lose, wherever their work waits.
func (p *pool) updateShedThresholds(now time.Time, slots int) {
	for _, o := range p.forecasts(slots) {
		st := p.statsOf(o.class.Name)
		st.shedThreshold = math.Inf(1)
		if o.waiting <= o.allowed {
			continue
		}
		samples := p.usageSamples(now, o.class)
		allowed := float64(max(o.allowed, 1+len(p.peerStates)))
		st.shedThreshold = usageAtCount(samples, allowed)
		// Organisations that had clearly less than others may rather be late, within bounds.
		protected := min(queue.Entitled*o.class.MostUse(now), usageAtCount(samples, hardLimitFactor*allowed))
		st.shedThreshold = max(st.shedThreshold, protected)
	}
}

// usageSample is a use that a number of waiting requests have.
type usageSample struct{ usage, count float64 }

// usageSamples collects the uses of what waits on all hosts.
func (p *pool) usageSamples(now time.Time, c *queue.Class) []usageSample {
	var out []usageSample
	add := func(uses []float64, n int) {
		for _, u := range uses {
			out = append(out, usageSample{u, float64(n) / float64(len(uses))})
		}
	}
	add(c.Uses(now, maxUsageSamples), c.Sheddable())
	for _, s := range p.peerStates {
		t := s.Classes[c.Name]
		add(t.Uses, t.Sheddable)
	}
	return out
}

// maxUsageSamples bounds the sample of uses told to other hosts.
const maxUsageSamples = 8

// usageAtCount returns the use before which n of the sampled requests come.
func usageAtCount(samples []usageSample, n float64) float64 {
	slices.SortFunc(samples, func(a, b usageSample) int { return cmp.Compare(a.usage, b.usage) })
	for _, s := range samples {
		if n -= s.count; n < 0 {
			return s.usage
		}
	}
	return math.Inf(1)
}

// retryAfter returns when a refused request of a class may be admitted: once the backlog has
// drained to what meets the target. jitter, from 0 to 1, spreads those who come again.
func (p *pool) retryAfter(class string, slots int, jitter float64) time.Duration {
	d := minRetryAfter
	for _, o := range p.forecasts(slots) {
		if o.class.Name == class {
			d = o.expectedWait - time.Duration(targetWaitShare*float64(o.class.Target))
		}
	}
	d = min(maxRetryAfter, max(minRetryAfter, d))
	return d + time.Duration(jitter/2*float64(d))
}
