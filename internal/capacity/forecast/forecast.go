// Package forecast predicts the demand on a pool from what was measured: the
// level of the last minutes, and the pattern of earlier weeks. It does no I/O
// and reads no clock.
package forecast

import (
	"math"
	"time"
)

const (
	// slotLength divides a week into slots, each with a demand of its own.
	slotLength = 15 * time.Minute
	slots      = int(7 * 24 * time.Hour / slotLength)
	// levelTime is the time constant of the current level.
	levelTime = 3 * time.Minute
	// slotWeight is the weight of the newest week in a slot's peak.
	slotWeight = 0.5
	// minScale and maxScale bound how far a week may differ from the pattern, maxScale also how far a trend is followed.
	minScale, maxScale = 0.8, 1.5
)

// Forecast holds the demand on one pool by one kind of work, in any unit of work a second. It is used by one goroutine.
type Forecast struct {
	level float64
	// trend is the change of the level a second.
	trend float64
	last  time.Time
	// pattern holds the peak of each slot of a week, current the peak so far of the slot at hand.
	pattern [slots]float64
	known   [slots]bool
	current float64
	slot    int
}

// New returns a Forecast that knows nothing.
func New() *Forecast { return &Forecast{slot: -1} }

func slotOf(t time.Time) int {
	t = t.UTC()
	since := time.Duration(t.Weekday())*24*time.Hour + time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
	return int(since / slotLength)
}

// Observe takes the demand measured at now.
func (f *Forecast) Observe(now time.Time, demand float64) {
	f.turn(slotOf(now))
	f.current = max(f.current, demand)
	if f.last.IsZero() {
		f.level, f.last = demand, now
		return
	}
	dt := now.Sub(f.last).Seconds()
	if dt <= 0 {
		return
	}
	w := 1 - math.Exp(-dt/levelTime.Seconds())
	before := f.level
	f.level += w * (demand - f.level)
	f.trend += w * ((f.level-before)/dt - f.trend)
	f.last = now
}

// turn closes the slot at hand when another begins.
func (f *Forecast) turn(slot int) {
	if slot == f.slot {
		return
	}
	if f.slot >= 0 {
		if f.known[f.slot] {
			f.pattern[f.slot] += slotWeight * (f.current - f.pattern[f.slot])
		} else {
			f.pattern[f.slot], f.known[f.slot] = f.current, true
		}
	}
	f.slot, f.current = slot, 0
}

// Peak returns the highest demand expected from now to the horizon.
func (f *Forecast) Peak(now time.Time, horizon time.Duration) float64 {
	// A jump looks like a steep trend for some minutes: it is followed only so far.
	rising := min(f.level+max(f.trend, 0)*horizon.Seconds(), f.level*maxScale)
	peak := max(rising, 0)
	scale := f.scale(now)
	for t := now; !t.After(now.Add(horizon)); t = t.Add(slotLength) {
		peak = max(peak, f.at(t)*scale)
	}
	return max(peak, f.at(now.Add(horizon))*scale)
}

func (f *Forecast) at(t time.Time) float64 { return f.pattern[slotOf(t)] }

// scale relates this week to the pattern, by the level now.
func (f *Forecast) scale(now time.Time) float64 {
	usual := f.at(now)
	if usual == 0 {
		return 1
	}
	return min(max(f.level/usual, minScale), maxScale)
}
