package relay

import (
	"testing"
	"time"
)

// TestLateReleaseInSeries guards against hosts that keep an old release as long as new ones are published faster than
// one is transferred.
func TestLateReleaseInSeries(t *testing.T) {
	const (
		applyTimeout = 6 * time.Second
		length       = 20 * time.Second
		step         = 20 * time.Millisecond
	)
	tests := map[string]struct {
		zones, perZone int
		gap            time.Duration
	}{
		"a release every 300 ms, small zones": {3, 6, 300 * time.Millisecond},
		"a release every 100 ms, small zones": {3, 6, 100 * time.Millisecond},
		"a release every 20 ms, small zones":  {3, 6, 20 * time.Millisecond},
		"a release every 300 ms, large zones": {2, 60, 300 * time.Millisecond},
		"a release every 100 ms, large zones": {2, 60, 100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, test.zones, test.perZone)
			s.publish()
			s.run(20 * time.Second)
			published := map[uint64]time.Time{}
			worst := time.Duration(0)
			for end := s.now.Add(length); s.now.Before(end); s.run(step) {
				if last, ok := published[s.head.Number]; !ok || s.now.Sub(last) >= test.gap {
					n := s.publish()
					published[n] = s.now
				}
				for _, h := range s.hosts {
					if at, ok := published[h.release()+1]; ok {
						worst = max(worst, s.now.Sub(at))
					}
				}
			}
			if worst > applyTimeout {
				t.Errorf("a release was not in force %s after it was published, bound %s", worst, applyTimeout)
			}
		})
	}
}
