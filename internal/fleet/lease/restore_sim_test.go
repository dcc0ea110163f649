package lease

import (
	"testing"
	"time"
)

const (
	// restoreInterval is the time between two decisions to restore the store.
	restoreInterval = 5 * time.Second
	// maxLostWrites is the maximum number of writes of the lease that a restored store has lost.
	maxLostWrites = 12
)

// scheduleRestorations repeatedly restores the store from a copy, with a new era.
func (sim *simulation) scheduleRestorations() {
	if sim.faults.restoreStore == 0 {
		return
	}
	sim.after(restoreInterval, nil, func() {
		if sim.chance(sim.faults.restoreStore) {
			lost := sim.rng.IntN(min(maxLostWrites, len(sim.history)))
			sim.history = sim.history[:len(sim.history)-lost]
			sim.era++
		}
		sim.scheduleRestorations()
	})
}

// checkContinuation checks the claim of a new grant that no other host has held the lease since the holder's previous one.
// Fencing numbers tell the order of the grants, as they rise also over restorations of the store.
func (sim *simulation) checkContinuation(name string, g Grant) {
	if holder, ok := sim.holders[g.Fence]; ok {
		if holder != name {
			sim.sharedFence = g.Fence
		}
		return
	}
	previous := uint64(0)
	for f := range sim.holders {
		if f < g.Fence {
			previous = max(previous, f)
		}
	}
	sim.holders[g.Fence] = name
	switch {
	case !g.Continues:
	case sim.holders[previous] == name:
		sim.continuations++
	default:
		sim.falseContinuations++
	}
}

// TestContinuesOnlyOwnGrant guards against a host that takes itself for the last holder although another one has held the
// lease since: the store has lost that grant, and this host was paused or cut off and has not heard of it.
func TestContinuesOnlyOwnGrant(t *testing.T) {
	continuations := 0
	simulateRestorations(t, func(t *testing.T, seed uint64, sim *simulation) {
		if sim.falseContinuations > 0 {
			t.Fatalf("seed %d: %d of %d grants wrongly continue an earlier one", seed, sim.falseContinuations, len(sim.holders))
		}
		continuations += sim.continuations
	})
	if continuations == 0 {
		t.Error("no holder has continued after a restoration of the store")
	}
}

// TestNoFenceOfTwoHolders guards against a fencing number that two holders use: the bid of one of them, sent before a
// restoration of the store, takes effect after it, where the store has lost the grant of the other one.
func TestNoFenceOfTwoHolders(t *testing.T) {
	simulateRestorations(t, func(t *testing.T, seed uint64, sim *simulation) {
		if sim.sharedFence > 0 {
			t.Fatalf("seed %d: two holders have the fencing number %d", seed, sim.sharedFence)
		}
	})
}

// simulateRestorations runs all fault cases with restorations of the store, and passes each simulation to check.
func simulateRestorations(t *testing.T, check func(t *testing.T, seed uint64, sim *simulation)) {
	t.Helper()
	for what, f := range faultCases {
		f.restoreStore = 0.3
		t.Run(what, func(t *testing.T) {
			for seed := range uint64(seedsPerCase) {
				sim := newSimulation(t, seed, DefaultConfig(), 2+int(seed%2), f)
				if f.outage {
					sim.scheduleOutage()
				}
				sim.runUntil(faultPeriod)
				check(t, seed, sim)
			}
		})
	}
}
