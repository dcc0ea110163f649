package main

import (
	"slices"
	"time"
)

// crashes returns the times of all crashes of runners, in order.
func (d *deployment) crashes() []time.Time {
	var out []time.Time
	for _, r := range d.runners {
		r.mu.Lock()
		out = append(out, r.crashes...)
		r.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b time.Time) int { return a.Compare(b) })
	return out
}
