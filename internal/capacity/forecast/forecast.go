// Package forecast predicts the demand on a pool from the measured demand: its level
// and trend over the last minutes, and the weekly pattern. It does no I/O and reads
// no clock.
package forecast

import (
	"math"
	"time"
)

const (
	// slotDuration is the length of the slots of the weekly pattern.
	slotDuration = 15 * time.Minute
	slotsPerWeek = int(7 * 24 * time.Hour / slotDuration)
	// levelTimeConstant is the time constant of the exponential smoothing of level and trend.
	levelTimeConstant = 3 * time.Minute
	// newestWeekWeight is the weight of the newest week in the smoothed peak of a slot.
	newestWeekWeight = 0.5
	// minScale and maxScale bound the ratio of the current level to the pattern. maxScale also bounds the growth that a
	// trend predicts.
	minScale, maxScale = 0.8, 1.5
)

// Forecast predicts the demand on one pool by one kind of work, in any unit of work per second. It is not safe for concurrent use.
type Forecast struct {
	// level is the smoothed demand.
	level float64
	// trend is the smoothed change of the level per second.
	trend        float64
	lastObserved time.Time
	// pattern holds the smoothed peak of each slot of the week, and hasPattern whether there is one. currentPeak is the
	// highest demand so far in currentSlot.
	pattern     [slotsPerWeek]float64
	hasPattern  [slotsPerWeek]bool
	currentPeak float64
	currentSlot int
}

// New returns a Forecast without observations.
func New() *Forecast { return &Forecast{currentSlot: -1} }

// slotAt returns the index of the slot of the week that contains t.
func slotAt(t time.Time) int {
	t = t.UTC()
	since := time.Duration(t.Weekday())*24*time.Hour + time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
	return int(since / slotDuration)
}

// Observe records the demand measured at now.
func (f *Forecast) Observe(now time.Time, demand float64) {
	f.advanceSlot(slotAt(now))
	f.currentPeak = max(f.currentPeak, demand)
	if f.lastObserved.IsZero() {
		f.level, f.lastObserved = demand, now
		return
	}
	dt := now.Sub(f.lastObserved).Seconds()
	if dt <= 0 {
		return
	}
	w := 1 - math.Exp(-dt/levelTimeConstant.Seconds())
	before := f.level
	f.level += w * (demand - f.level)
	f.trend += w * ((f.level-before)/dt - f.trend)
	f.lastObserved = now
}

// advanceSlot adds the peak of the current slot to the pattern when another slot begins.
func (f *Forecast) advanceSlot(slot int) {
	if slot == f.currentSlot {
		return
	}
	if f.currentSlot >= 0 {
		if f.hasPattern[f.currentSlot] {
			f.pattern[f.currentSlot] += newestWeekWeight * (f.currentPeak - f.pattern[f.currentSlot])
		} else {
			f.pattern[f.currentSlot], f.hasPattern[f.currentSlot] = f.currentPeak, true
		}
	}
	f.currentSlot, f.currentPeak = slot, 0
}

// Peak returns the highest demand expected from now to the horizon.
func (f *Forecast) Peak(now time.Time, horizon time.Duration) float64 {
	// A jump in demand looks like a steep trend for some minutes, so the growth is limited.
	rising := min(f.level+max(f.trend, 0)*horizon.Seconds(), f.level*maxScale)
	peak := max(rising, 0)
	scale := f.patternScale(now)
	for t := now; !t.After(now.Add(horizon)); t = t.Add(slotDuration) {
		peak = max(peak, f.patternAt(t)*scale)
	}
	return max(peak, f.patternAt(now.Add(horizon))*scale)
}

func (f *Forecast) patternAt(t time.Time) float64 { return f.pattern[slotAt(t)] }

// patternScale returns the bounded ratio of the current level to the pattern.
func (f *Forecast) patternScale(now time.Time) float64 {
	usual := f.patternAt(now)
	if usual == 0 {
		return 1
	}
	return min(max(f.level/usual, minScale), maxScale)
}
