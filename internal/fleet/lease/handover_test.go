package lease

import (
	"slices"
	"testing"
	"time"
)

// BenchmarkHandOver measures the time without a holder after a planned stop and after the holder's host has failed,
// with three candidates and platform calls that take 4 to 24 ms.
func BenchmarkHandOver(b *testing.B) {
	cases := map[string]func(sim *simulation, h *host){
		"planned stop":  func(sim *simulation, h *host) { sim.step(h, h.core.Resign) },
		"host vanished": func(_ *simulation, h *host) { h.pausedUntil = time.Hour },
	}
	for what, stopHolder := range cases {
		b.Run(what, func(b *testing.B) {
			for b.Loop() {
				var gaps []time.Duration
				for seed := range uint64(300) {
					gaps = append(gaps, measureHandOver(b, seed, stopHolder))
				}
				slices.Sort(gaps)
				b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-ms")
				b.ReportMetric(float64(gaps[len(gaps)*99/100].Milliseconds()), "p99-ms")
			}
		})
	}
}

func measureHandOver(b *testing.B, seed uint64, stopHolder func(*simulation, *host)) time.Duration {
	sim := newSimulation(nil, seed, DefaultConfig(), 3, faults{})
	sim.watchEnabled = true
	sim.runUntil(20*time.Second + time.Duration(seed)*10*time.Millisecond)
	h := sim.holder()
	if h == nil {
		b.Fatalf("seed %d: no holder", seed)
	}
	stopHolder(sim, h)
	began := sim.now
	for sim.now-began < time.Minute {
		sim.runUntil(sim.now + time.Millisecond)
		if n := sim.holder(); n != nil && n != h {
			return sim.now - began
		}
	}
	b.Fatalf("seed %d: no successor", seed)
	return 0
}
