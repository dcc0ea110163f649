package lease

import (
	"slices"
	"testing"
	"time"
)

// BenchmarkHandOver gives the time without a holder after a planned stop and after a holder vanished, with
// calls to the platform of 4 to 24 ms and three candidates.
func BenchmarkHandOver(b *testing.B) {
	ends := map[string]func(w *world, h *candidate){
		"planned stop":  func(w *world, h *candidate) { w.step(h, h.core.Resign) },
		"host vanished": func(_ *world, h *candidate) { h.paused = time.Hour },
	}
	for what, end := range ends {
		b.Run(what, func(b *testing.B) {
			for b.Loop() {
				var gaps []time.Duration
				for seed := range uint64(300) {
					gaps = append(gaps, handOver(b, seed, end))
				}
				slices.Sort(gaps)
				b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-ms")
				b.ReportMetric(float64(gaps[len(gaps)*99/100].Milliseconds()), "p99-ms")
			}
		})
	}
}

func handOver(b *testing.B, seed uint64, end func(*world, *candidate)) time.Duration {
	w := newWorld(nil, seed, DefaultConfig(), 3, faults{})
	w.watched = true
	w.runUntil(20*time.Second + time.Duration(seed)*10*time.Millisecond)
	h := w.holder()
	if h == nil {
		b.Fatalf("seed %d: no holder", seed)
	}
	end(w, h)
	begun := w.now
	for w.now-begun < time.Minute {
		w.runUntil(w.now + time.Millisecond)
		if n := w.holder(); n != nil && n != h {
			return w.now - begun
		}
	}
	b.Fatalf("seed %d: no successor", seed)
	return 0
}
