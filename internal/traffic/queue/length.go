package queue

import "math"

const (
	// lengthBuckets and lengthRatio define exponential buckets from 1 token to about a million.
	lengthBuckets = 64
	lengthRatio   = 1.25
	// lengthDecaySamples is the number of later answers after which an answer's weight has fallen to 1/e.
	lengthDecaySamples = 500
)

// LengthEstimator estimates output lengths in tokens from the lengths of earlier answers. The zero
// value is ready to use.
type LengthEstimator struct {
	counts [lengthBuckets]float64
	total  float64
	sum    float64
}

// Observe records an answer of n tokens.
func (l *LengthEstimator) Observe(n int) {
	const retained = 1 - 1.0/lengthDecaySamples
	for i := range l.counts {
		l.counts[i] *= retained
	}
	l.counts[bucketOf(n)]++
	l.total = l.total*retained + 1
	l.sum = l.sum*retained + float64(n)
}

func bucketOf(n int) int {
	if n <= 1 {
		return 0
	}
	return min(lengthBuckets-1, int(math.Log(float64(n))/math.Log(lengthRatio)))
}

// Samples returns the number of answers behind the estimates, where older answers weigh less.
func (l *LengthEstimator) Samples() float64 { return l.total }

// Mean returns the expected length, or 0 before the first answer.
func (l *LengthEstimator) Mean() float64 {
	if l.total == 0 {
		return 0
	}
	return l.sum / l.total
}

// Quantile returns an upper bound of the q-quantile of the lengths, or 0 before the first answer.
func (l *LengthEstimator) Quantile(q float64) float64 {
	remaining := q * l.total
	for i, n := range l.counts {
		if remaining -= n; remaining <= 0 && n > 0 {
			return math.Pow(lengthRatio, float64(i+1))
		}
	}
	return 0
}

// Remaining returns the expected number of further tokens of an answer that has n already: the mean
// length of the longer answers observed, less n. Without any longer answer it returns n.
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
