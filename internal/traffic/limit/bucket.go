package limit

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate may change. The zero value is full at its first refill.
type bucket struct {
	level, rate float64
	at          time.Time
}

// refill adds what has come since the last refill, up to the allowance of burst or least.
func (b *bucket) refill(now time.Time, perSecond float64, burst time.Duration, least float64) {
	size := max(least, perSecond*burst.Seconds())
	switch {
	case b.at.IsZero():
		b.level = size
	case now.After(b.at):
		b.level += perSecond * now.Sub(b.at).Seconds()
	}
	b.level = min(b.level, size)
	b.at, b.rate = now, perSecond
}

// rounding is the error allowed to sums of fractions.
const rounding = 1e-6

// wait returns the time until the level is at least n.
func (b *bucket) wait(n float64) time.Duration {
	if b.level >= n-rounding {
		return 0
	}
	if b.rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil((n - b.level) / b.rate * float64(time.Second)))
}

// take removes n, which may leave a debt.
func (b *bucket) take(n float64) { b.level -= n }

// rate is an exponentially decayed rate per second.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) add(now time.Time, n float64) {
	r.sum = r.decayed(now) + n
	r.at = now
}

func (r *rate) decayed(now time.Time) float64 {
	return r.sum * math.Exp(-float64(now.Sub(r.at))/float64(demandMemory))
}

// rateAt returns the rate per second.
func (r *rate) rateAt(now time.Time) float64 { return r.decayed(now) / demandMemory.Seconds() }
