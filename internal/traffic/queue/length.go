package queue

import "math"

const (
	// lengthBuckets and lengthRatio span outputs from 1 token to about a million.
	lengthBuckets = 64
	lengthRatio   = 1.25
	// lengthMemory is the number of answers after which an old one counts 1/e.
	lengthMemory = 500
)

// LengthEstimator estimates output lengths from those observed. The zero value has seen none.
type LengthEstimator struct {
	counts [lengthBuckets]float64
	total  float64
	sum    float64
}

// Observe notes an answer of n tokens.
func (l *LengthEstimator) Observe(n int) {
	const keep = 1 - 1.0/lengthMemory
	for i := range l.counts {
		l.counts[i] *= keep
	}
	l.counts[bucketOf(n)]++
	l.total = l.total*keep + 1
	l.sum = l.sum*keep + float64(n)
}

func bucketOf(n int) int {
	if n <= 1 {
		return 0
	}
	return min(lengthBuckets-1, int(math.Log(float64(n))/math.Log(lengthRatio)))
}

// Samples returns how many answers the estimates rest on, old ones counted less.
func (l *LengthEstimator) Samples() float64 { return l.total }

// Mean returns the expected length, or 0 before the first answer.
func (l *LengthEstimator) Mean() float64 {
	if l.total == 0 {
		return 0
	}
	return l.sum / l.total
}

// Quantile returns the length that the share q of the answers does not exceed, or 0 before the first answer.
func (l *LengthEstimator) Quantile(q float64) float64 {
	rest := q * l.total
	for i, n := range l.counts {
		if rest -= n; rest <= 0 && n > 0 {
			return math.Pow(lengthRatio, float64(i+1))
		}
	}
	return 0
}

// Remaining returns the expected rest of an answer that has n tokens already: the mean
// of the longer answers seen, less n.
func (l *LengthEstimator) Remaining(n int) float64 {
	var total, sum float64
	for i := bucketOf(n) + 1; i < lengthBuckets; i++ {
		total += l.counts[i]
		sum += l.counts[i] * math.Pow(lengthRatio, float64(i)+0.5)
	}
	if total == 0 {
		return float64(n)
	}
	return sum/total - float64(n)
}
