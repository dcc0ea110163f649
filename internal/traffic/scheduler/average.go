package scheduler

// minNewestWeight is the lower bound of the weight of the newest value in an average.
const minNewestWeight = 0.05

// average is an exponentially weighted mean. It is the plain mean until enough values were added.
type average struct {
	value float64
	n     float64
}

func (a *average) add(v float64) {
	a.n++
	a.value += max(minNewestWeight, 1/a.n) * (v - a.value)
}

// valueOr returns the mean, or def if no value was added yet.
func (a *average) valueOr(def float64) float64 {
	if a.n == 0 {
		return def
	}
	return a.value
}
