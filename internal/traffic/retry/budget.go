package retry

import "time"

const (
	// minRetriesPerSecond is the rate of retries that a class is granted however few first attempts it has.
	minRetriesPerSecond = 1.0
	// minRateBurst is the balance up to which minRetriesPerSecond accrues.
	minRateBurst = 10.0
	// maxSavedRetries is the balance up to which first attempts earn retries.
	maxSavedRetries = 100.0
)

// budget counts the retries that a class may still make.
type budget struct {
	balance    float64
	refilledAt time.Time
}

// budget returns the refilled budget of a class. A new one starts with minRateBurst retries.
func (p *Policy) budget(now time.Time, class string) *budget {
	b, ok := p.budgets[class]
	if !ok {
		b = &budget{balance: minRateBurst, refilledAt: now}
		p.budgets[class] = b
	}
	b.refill(now)
	return b
}

// refill adds what has accrued at minRetriesPerSecond since the last refill.
func (b *budget) refill(now time.Time) {
	dt := now.Sub(b.refilledAt)
	if dt <= 0 {
		return
	}
	b.refilledAt = now
	if b.balance < minRateBurst {
		b.balance = min(minRateBurst, b.balance+minRetriesPerSecond*dt.Seconds())
	}
}

// earn adds the fraction of a retry that one first attempt earns.
func (b *budget) earn(ratio float64) { b.balance = min(maxSavedRetries, b.balance+ratio) }

// spend takes one retry and reports whether there was one.
func (b *budget) spend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
