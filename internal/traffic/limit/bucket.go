package limit

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate may change. The first refill of the zero value fills it.
type bucket struct {
	level, rate float64
	refilledAt  time.Time
}

// refill adds what has accrued at the rate perSecond since the last refill. The bucket holds what accrues
// in the time burst, but at least minSize.
func (b *bucket) refill(now time.Time, perSecond float64, burst time.Duration, minSize float64) {
	size := max(minSize, perSecond*burst.Seconds())
	switch {
	case b.refilledAt.IsZero():
		b.level = size
	case now.After(b.refilledAt):
		b.level += perSecond * now.Sub(b.refilledAt).Seconds()
	}
	b.level = min(b.level, size)
	b.refilledAt, b.rate = now, perSecond
}

// roundingTolerance is the shortfall that wait ignores, because sums of fractions are inexact.
const roundingTolerance = 1e-6

// wait returns the time until the level is at least n, or math.MaxInt64 at a rate of 0.
func (b *bucket) wait(n float64) time.Duration {
	if b.level >= n-roundingTolerance {
		return 0
	}
	if b.rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil((n - b.level) / b.rate * float64(time.Second)))
}

// take removes n. The level may become negative.
func (b *bucket) take(n float64) { b.level -= n }

// decayedRate measures a rate per second with exponential decay.
type decayedRate struct {
	sum       float64
	updatedAt time.Time
}

func (r *decayedRate) add(now time.Time, n float64) {
	r.sum = r.decayed(now) + n
	r.updatedAt = now
}

// decayed returns the sum as it has decayed until now.
func (r *decayedRate) decayed(now time.Time) float64 {
	return r.sum * math.Exp(-float64(now.Sub(r.updatedAt))/float64(demandTimeConstant))
}

// perSecond returns the rate at now.
func (r *decayedRate) perSecond(now time.Time) float64 {
	return r.decayed(now) / demandTimeConstant.Seconds()
}
