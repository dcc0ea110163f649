package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"shallotramp/internal/traffic/queue"
)

const (
	// minCapacityShare is the share of a pool's slots that a class is assumed to get at least, however
	// many requests of higher tiers run.
	minCapacityShare = 0.05
	// minRetryAfter and maxRetryAfter bound the advised retry delay, before jitter.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// forecast predicts, from the waiting requests of all hosts, how long those of one class will wait.
type forecast struct {
	class *queue.Class
	// waiting is the number of sheddable requests on all hosts, allowed how many of them can meet
	// their latency target.
	waiting, allowed int
	// floorAllowed is how many requests the class's floor serves within its latency target.
	floorAllowed int
	// expectedWait is the time until a request that arrives now is expected to start.
	expectedWait time.Duration
}

// forecasts returns the forecasts of the classes in order of tier. Higher tiers delay lower ones,
// and floors take their share from all tiers, so the forecast of a class depends on lower tiers only
// through their floors. It is the same on every host, up to the delay with which hosts exchange
// their states.
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
		f := forecast{class: c, waiting: c.Sheddable() + st.peerSheddable}
		maxWait := targetWaitShare * max(c.Target.Seconds()/4, c.Target.Seconds()-st.ttft.valueOr(0))
		f.floorAllowed = max(1, int(c.Floor*float64(slots)*maxWait/service))
		f.allowed = max(f.floorAllowed, int((maxWait*effectiveCapacity-backlog)/service))
		backlog += float64(c.Waiting()+c.PeerWaiting) * service
		f.expectedWait = time.Duration(backlog / effectiveCapacity * float64(time.Second))
		capacity -= float64(c.Running + c.PeerRunning)
		out = append(out, f)
	}
	return out
}

// floorSlots returns the slots that a class gets through its floor: 0 if it has nothing waiting.
func (p *pool) floorSlots(c *queue.Class, slots int) float64 {
	if c.Waiting()+c.PeerWaiting == 0 {
		return 0
	}
	return c.Floor * float64(slots)
}

// throttleState is the state of throttling in a pool. While a host applies a throttle tier, the tiers
// below it start requests through their floors only; 0 means that no tier is throttled. A host wants a
// throttle tier when many requests of that tier wait, and applies the highest one that any host wants.
// Requests of a tier are shed only after all hosts have throttled the tiers below it for a while, so
// that no host sheds them while another serves a lower tier beyond its floor.
type throttleState struct {
	wanted, applied int
	// published is the throttle tier that this host reports to others as applied. pending is the one
	// that it will report once it has been applied for publishDelay.
	published, pending int
	pendingSince       time.Time
	// lastWanted is when this or another host was last known to want a throttle tier.
	lastWanted time.Time
	// expires is when the applied throttle tier ends unless it is wanted again.
	expires time.Time
	// agreedSince is the time since which all hosts apply the throttle tier agreedTier or a higher one.
	agreedSince time.Time
	agreedTier  int
}

const (
	// throttleShare is the share of a tier's allowed waiting requests above which lower tiers are
	// restricted to their floors.
	throttleShare = 0.5
	// hardLimitFactor limits how many requests of a class may wait, including those that are spared
	// for their organisation's low usage. It is a multiple of those that can meet their target.
	hardLimitFactor = 30
	// throttleHoldTime is how long a throttle tier stays applied after the last host wanted it.
	throttleHoldTime = 2 * time.Second
	// publishDelay is how long a throttle tier is applied before it is reported to other hosts. Every
	// interruption then shows in the reported states, even in the sums that go to other zones every 2 s.
	publishDelay = 2500 * time.Millisecond
	// shedDelay is how long all hosts must have applied a throttle tier before requests of that tier are shed.
	shedDelay = time.Second
)

// updateThrottle updates the throttle tier that this host wants and applies in the pool.
func (p *pool) updateThrottle(now time.Time, slots int) {
	l := &p.throttle
	l.wanted = 0
	for _, f := range p.forecasts(slots) {
		if float64(f.waiting) > throttleShare*float64(f.allowed) {
			l.wanted = f.class.Tier
			break
		}
	}
	anyWanted := l.wanted
	for _, s := range p.peerStates {
		anyWanted = higherTier(anyWanted, s.WantedThrottleTier)
	}
	if anyWanted != 0 {
		if now.Sub(l.lastWanted) > throttleHoldTime/2 {
			// Another host may have dropped its throttle tier meanwhile, with its report still on the way.
			l.agreedSince = now
		}
		l.lastWanted = now
	}
	if anyWanted != 0 && (l.applied == 0 || anyWanted <= l.applied) || !now.Before(l.expires) {
		l.applied, l.expires = anyWanted, now.Add(throttleHoldTime)
	}
	l.updatePublished(now)
	p.updateAgreement(now)
}

// updatePublished updates the reported throttle tier: a weaker one at once, a stronger one after publishDelay.
func (s *throttleState) updatePublished(now time.Time) {
	switch {
	case s.applied == 0:
		s.published, s.pending = 0, 0
	case s.published != 0 && s.applied >= s.published:
		s.published, s.pending = s.applied, 0
	case s.pending != s.applied:
		s.pending, s.pendingSince = s.applied, now
	case now.Sub(s.pendingSince) >= publishDelay:
		s.published, s.pending = s.applied, 0
	}
}

// higherTier returns the higher of two tiers, where 0 is none.
func higherTier(a, b int) int {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// updateAgreement records the throttle tier that all hosts apply and since when they do.
func (p *pool) updateAgreement(now time.Time) {
	l := &p.throttle
	tier := l.applied
	for _, s := range p.peerStates {
		if s.AppliedThrottleTier == 0 || tier == 0 {
			tier = 0
			break
		}
		tier = max(tier, s.AppliedThrottleTier)
	}
	if tier == 0 || l.agreedTier == 0 || tier < l.agreedTier {
		l.agreedSince = now
	}
	l.agreedTier = tier
}

// shedOverload removes and returns the waiting requests that must be shed so that the rest meets
// its latency targets. The allowed number of requests of a class never falls below what its floor
// serves within its target. A tier is cut to what can meet its target only once no host serves
// lower tiers beyond their floors.
func (p *pool) shedOverload(now time.Time, slots int) []*queue.Item {
	var out []*queue.Item
	l := &p.throttle
	for _, f := range p.forecasts(slots) {
		agreedLongEnough := l.agreedTier > 0 && l.agreedTier <= f.class.Tier && now.Sub(l.agreedSince) >= shedDelay
		lowest := f.class.Tier == p.lowestTier()
		if f.waiting > f.allowed && (agreedLongEnough || lowest) {
			cut := queue.ShedFilter{MinUsage: p.statsOf(f.class.Name).shedThreshold}
			if !lowest {
				// Requests that arrived earlier may have waited while lower tiers were served.
				cut.ArrivedSince = l.agreedSince
			}
			out = append(out, p.q.Shed(now, f.class, 0, cut)...)
		}
	}
	return out
}

func (p *pool) lowestTier() int {
	classes := p.q.Classes()
	return classes[len(classes)-1].Tier
}

// updateShedThresholds computes the usage from which requests are shed, for each class with more
// waiting than allowed. Over all hosts, about as many requests as are allowed lie below the
// threshold. Hosts compute nearly the same threshold, so the organisations with the highest usage
// are shed, on whichever host their requests wait.
func (p *pool) updateShedThresholds(now time.Time, slots int) {
	for _, f := range p.forecasts(slots) {
		st := p.statsOf(f.class.Name)
		st.shedThreshold = math.Inf(1)
		if f.waiting <= f.allowed {
			continue
		}
		samples := p.usageSamples(now, f.class)
		allowed := float64(max(f.allowed, 1+len(p.peerStates)))
		st.shedThreshold = usageAtCount(samples, allowed)
		// Requests of organisations with clearly lower usage than others are not shed, even if they
		// start late, as long as the hard limit allows.
		protected := min(queue.UnderservedRatio*f.class.MaxUsage(now), usageAtCount(samples, hardLimitFactor*allowed))
		st.shedThreshold = max(st.shedThreshold, protected)
	}
}

// usageSample is a usage and the number of waiting requests that it stands for.
type usageSample struct{ usage, count float64 }

// usageSamples returns samples of the usage of the requests that wait on all hosts.
func (p *pool) usageSamples(now time.Time, c *queue.Class) []usageSample {
	var out []usageSample
	add := func(usages []float64, n int) {
		for _, u := range usages {
			out = append(out, usageSample{u, float64(n) / float64(len(usages))})
		}
	}
	add(c.SampleUsage(now, maxUsageSamples), c.Sheddable())
	for _, s := range p.peerStates {
		t := s.Classes[c.Name]
		add(t.UsageSamples, t.Sheddable)
	}
	return out
}

// maxUsageSamples limits the usage samples of a class that are sent to other hosts.
const maxUsageSamples = 8

// usageAtCount returns the usage below which n of the sampled requests lie, or infinity if there
// are no more than n. It sorts samples.
func usageAtCount(samples []usageSample, n float64) float64 {
	slices.SortFunc(samples, func(a, b usageSample) int { return cmp.Compare(a.usage, b.usage) })
	for _, s := range samples {
		if n -= s.count; n < 0 {
			return s.usage
		}
	}
	return math.Inf(1)
}

// retryAfter returns the advised retry delay for a refused request of a class: the time until the
// backlog has drained to what can meet the latency target. jitter, from 0 to 1, spreads the retries.
func (p *pool) retryAfter(class string, slots int, jitter float64) time.Duration {
	d := minRetryAfter
	for _, f := range p.forecasts(slots) {
		if f.class.Name == class {
			d = f.expectedWait - time.Duration(targetWaitShare*float64(f.class.Target))
		}
	}
	d = min(maxRetryAfter, max(minRetryAfter, d))
	return d + time.Duration(jitter/2*float64(d))
}
