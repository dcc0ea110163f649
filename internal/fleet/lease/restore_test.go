package lease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"shallotramp/internal/fleet/lease"
)

// restoredStore is a store with one lease, which can be restored from a copy.
type restoredStore struct {
	era     int64
	current lease.Snapshot
	writes  int
}

// run steps a candidate until no call is left, and carries out its calls at once.
func (s *restoredStore) run(c *lease.Core, now time.Time) {
	c.SetEra(now, s.era, now)
	effects := c.Tick(now)
	for len(effects) > 0 {
		e := effects[0]
		switch {
		case e.Call == lease.ReadCall:
			effects = c.Observe(now, s.current, true)
		case e.Call == lease.CreateCall && s.current.Found, e.Call == lease.UpdateCall && e.Version != s.current.Version:
			effects = c.WriteDone(now, e, lease.NotWritten, "")
		default:
			s.writes++
			s.current = lease.Snapshot{Found: true, Record: e.Record, Version: string(rune('a' + s.writes))}
			effects = c.WriteDone(now, e, lease.Written, s.current.Version)
		}
	}
}

// TestFenceGivenOutAgain guards against a fencing number that two holders use because the store was restored from a copy
// that lacks the grant of the first one, and against a holder that goes on with a grant that the store has lost.
func TestFenceGivenOutAgain(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	cfg := lease.DefaultConfig()
	newCore := func(name string, now time.Time) *lease.Core {
		return lease.NewCore(cfg, name, rand.New(rand.NewPCG(1, 1)), now)
	}
	tests := map[string]struct {
		// copyAt is when the copy was made: before the first grant, between the first and the second, or after both.
		copyAt time.Duration
		// survives is set if the second holder goes on after the restoration. Otherwise a new host takes its place.
		survives bool
		// within is the time from the restoration in which there must be a holder.
		within time.Duration
	}{
		"the copy has no lease, and the holder goes on":             {0, true, time.Second},
		"the copy has no lease, and only a new host is left":        {0, false, 2 * cfg.Term},
		"the copy has an earlier holder, and the last one goes on":  {10 * time.Second, true, time.Second},
		"the copy has an earlier holder, and only a new host":       {10 * time.Second, false, 2 * cfg.Term},
		"the copy has the last holder's lease, and it goes on":      {40 * time.Second, true, time.Second},
		"the copy has the last holder's lease, which a new one has": {40 * time.Second, false, 2 * cfg.Term},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &restoredStore{era: 1}
			first, second := newCore("first", start), newCore("second", start.Add(20*time.Second))
			var copied lease.Snapshot
			highest := uint64(0)
			hold := func(c *lease.Core) {
				highest = max(highest, c.Grant().Fence)
			}
			const restored = 45 * time.Second
			holder := second
			for at := time.Duration(0); at < restored; at += 100 * time.Millisecond {
				now := start.Add(at)
				if at <= test.copyAt {
					copied = s.current
				}
				if at < 20*time.Second {
					s.run(first, now)
					hold(first)
				} else {
					s.run(second, now)
					hold(second)
				}
			}
			if second.State() != lease.Held {
				t.Fatalf("the second host is %s, want it to hold the lease", second.State())
			}
			s.era, s.current = 2, copied
			if test.copyAt == 0 {
				s.current = lease.Snapshot{}
			}
			if !test.survives {
				holder = newCore("third", start.Add(restored))
			}
			for at := restored; at < restored+test.within; at += 100 * time.Millisecond {
				now := start.Add(at)
				s.run(holder, now)
				if g := holder.Grant(); g.Fence > 0 && g.Fence <= highest {
					t.Fatalf("fencing number %d after the restoration, %d was used before it", g.Fence, highest)
				}
			}
			if holder.State() != lease.Held {
				t.Errorf("no holder %s after the restoration", test.within)
			}
		})
	}
}

// TestFormerHolderAfterRestore guards against a host that was cut off while another one held the lease, and that takes itself
// for the last holder because the store has lost the other's grant.
func TestFormerHolderAfterRestore(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	cfg := lease.DefaultConfig()
	const (
		cutAt      = 10 * time.Second
		restoredAt = 40 * time.Second
		step       = 100 * time.Millisecond
	)
	tests := map[string]struct {
		// storeAway is the time before the restoration in which nobody reaches the store.
		storeAway time.Duration
		// secondEnds is set if the last holder is lost in the restoration.
		secondEnds bool
		// winner is the host that must hold the lease within the time within, and continues whether it may go on with what it
		// knows.
		winner    string
		continues bool
		within    time.Duration
	}{
		"both hosts go on, the last holder gets the lease":            {0, false, "second", true, time.Second},
		"the same after a moment without the store":                   {2 * time.Second, false, "second", true, time.Second},
		"the last holder is gone, the former one must not continue":   {0, true, "first", false, 2 * cfg.Term},
		"the store was away for longer than a term, nobody continues": {cfg.Term + time.Second, false, "", false, 2 * cfg.Term},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &restoredStore{era: 1}
			first := lease.NewCore(cfg, "first", rand.New(rand.NewPCG(1, 1)), start)
			second := lease.NewCore(cfg, "second", rand.New(rand.NewPCG(1, 2)), start.Add(cutAt))
			for at := time.Duration(0); at < cutAt; at += step {
				s.run(first, start.Add(at))
			}
			copied := s.current
			for at := cutAt; at < restoredAt-test.storeAway; at += step {
				s.run(second, start.Add(at))
			}
			if first.Grant().Fence == 0 || second.Grant().Fence == 0 {
				t.Fatalf("fencing numbers %d and %d before the restoration, want both to have held the lease", first.Grant().Fence, second.Grant().Fence)
			}
			s.era, s.current = 2, copied
			hosts := map[string]*lease.Core{"first": first, "second": second}
			if test.secondEnds {
				delete(hosts, "second")
			}
			for at := restoredAt; at < restoredAt+test.within; at += step {
				for _, host := range []string{"first", "second"} {
					c, ok := hosts[host]
					if !ok {
						continue
					}
					s.run(c, start.Add(at))
					if c.State() != lease.Held {
						continue
					}
					if test.winner != "" && host != test.winner {
						t.Fatalf("the %s host holds the lease, want the %s", host, test.winner)
					}
					if c.Grant().Continues != test.continues {
						t.Fatalf("the %s host's grant continues its earlier one: %t, want %t", host, c.Grant().Continues, test.continues)
					}
					return
				}
			}
			t.Errorf("no holder %s after the restoration", test.within)
		})
	}
}
