package scheduler

// averageWeight is the weight of the newest value in an average.
const averageWeight = 0.05

// average is an exponentially weighted mean that starts as the mean of its first values.
type average struct {
	value float64
	n     float64
}

func (a *average) add(v float64) {
	a.n++
	a.value += max(averageWeight, 1/a.n) * (v - a.value)
}

// valueOr returns the mean, or def before the first value.
func (a *average) valueOr(def float64) float64 {
	if a.n == 0 {
		return def
	}
	return a.value
}
