package main

import (
	"fmt"
	"strings"
	"time"
)

// trio is a small deployment: one edge in each zone, otherwise like threadwell-midlands.
var trio = func() site {
	s := threadwell
	s.edgesPerZone = []int{1, 1, 1}
	return s
}()

const (
	// A round of the case: the machine that acted last is cut off shortly before a usage window begins, until cutTime later.
	// Meanwhile another one takes over and reports that window. Then the store is away for awayTime and comes back, as the
	// cut ends, from the copy that was made copyAfter the begin of the cut.
	rounds             = 4
	usageWindow        = 5 * time.Second
	beforeWindow       = 300 * time.Millisecond
	cutTime, awayTime  = 9800 * time.Millisecond, 2200 * time.Millisecond
	copyAfter          = 1800 * time.Millisecond
	roundTime          = 4 * usageWindow
	lastReportsAreLate = 4 * time.Second
)

// playHandover: the machine that has the duties is cut off for some seconds, and the store comes back from a copy.
func playHandover(w *world, trouble bool) (int, string) {
	w.cuttable = true
	if err := setUp(w, trio); err != nil {
		return couldNotRun, err.Error()
	}
	now := time.Now()
	first := now.Truncate(usageWindow).Add(2*usageWindow - beforeWindow)
	wg := load(w, first.Add(rounds*roundTime))
	for round := range rounds {
		time.Sleep(time.Until(first.Add(time.Duration(round) * roundTime)))
		if !trouble {
			continue
		}
		name := w.duties.lastHolder()
		var holder *edge
		for _, e := range w.edges {
			if e.name == name {
				holder = e
			}
		}
		if holder == nil {
			return couldNotRun, "no machine has reported usage yet"
		}
		begin := time.Now()
		w.rec.note("%s is cut off from the store, the duties' interface and the other edges", holder.name)
		holder.link.cut()
		time.Sleep(copyAfter)
		c := w.store.copy()
		time.Sleep(time.Until(begin.Add(cutTime - awayTime)))
		w.rec.note("the store is away")
		w.store.leave()
		time.Sleep(time.Until(begin.Add(cutTime)))
		w.rec.note("the store is back from a copy that is %s old; %s is no longer cut off", (cutTime - copyAfter).Round(time.Millisecond), holder.name)
		holder.link.heal()
		w.store.comeBack(c)
	}
	wg.Wait()
	time.Sleep(lastReportsAreLate)
	w.duties.mu.Lock()
	defer w.duties.mu.Unlock()
	result := fmt.Sprintf("ONE: the platform accepted two usage reports with different counts for %d of %d windows. %s", len(w.duties.conflicts), len(w.duties.reports), strings.Join(w.duties.conflicts, "; "))
	if len(w.duties.conflicts) > 0 {
		return broken, result
	}
	return held, result
}
