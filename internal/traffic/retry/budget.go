package retry

import "time"

const (
	// floorRate is how many retries a second a class without enough first tries is granted.
	floorRate = 1.0
	// floorRetries bounds what the floor grants in advance.
	floorRetries = 10.0
	// maxRetries bounds what first tries earn in advance.
	maxRetries = 100.0
)

// budget is the retries that a class may still spend.
type budget struct {
	left float64
	at   time.Time
}

func (p *Policy) budget(now time.Time, class string) *budget {
	b, ok := p.budgets[class]
	if !ok {
		b = &budget{left: floorRetries, at: now}
		p.budgets[class] = b
	}
	b.refill(now)
	return b
}

// refill grants the floor.
func (b *budget) refill(now time.Time) {
	dt := now.Sub(b.at)
	if dt <= 0 {
		return
	}
	b.at = now
	if b.left < floorRetries {
		b.left = min(floorRetries, b.left+floorRate*dt.Seconds())
	}
}

func (b *budget) earn(ratio float64) { b.left = min(maxRetries, b.left+ratio) }

func (b *budget) spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
