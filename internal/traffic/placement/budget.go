package placement

import "time"

const (
	// budgetBuckets is the number of buckets of the sliding window.
	budgetBuckets = 10
	// budgetShare is the share of the limit that is used. It is below 1 because hosts disappear and come back,
	// and because their windows are not aligned with the window in which the limit is checked.
	budgetShare = 0.6
)

// retryBudget counts requests and retries in a sliding window and keeps to this host's share of the limits.
type retryBudget struct {
	requests, retries [budgetBuckets]float64
	// newest is the number of the newest bucket, counted from startedAt because the time of day may jump.
	newest    int64
	startedAt time.Time
}

func (b *retryBudget) advance(now time.Time, window time.Duration) {
	step := window / budgetBuckets
	if step <= 0 {
		return
	}
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	n := int64(now.Sub(b.startedAt) / step)
	if n-b.newest > budgetBuckets {
		*b = retryBudget{newest: n, startedAt: b.startedAt}
	}
	for b.newest < n {
		b.newest++
		b.requests[b.newest%budgetBuckets], b.retries[b.newest%budgetBuckets] = 0, 0
	}
}

func (b *retryBudget) recordRequest(now time.Time, window time.Duration) {
	b.advance(now, window)
	b.requests[b.newest%budgetBuckets]++
}

// takeRetry counts one retry and reports true if the host's share allows it.
func (b *retryBudget) takeRetry(now time.Time, l RetryLimits, hosts int) bool {
	b.advance(now, l.Window)
	var requests, retries float64
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if retries+1 > budgetShare*(l.Ratio*requests+l.Slack/float64(max(hosts, 1))) {
		return false
	}
	b.retries[b.newest%budgetBuckets]++
	return true
}
