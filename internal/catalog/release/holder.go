package release

import (
	"sync/atomic"
	"time"
)

// Holder holds the release in force on a host. It never goes back to an earlier one. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]
	// confirmed keeps the monotonic reading, so that a wall clock set back lengthens no grace.
	confirmed atomic.Pointer[time.Time]
}

// Current returns the release in force, or nil before the first.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Adopt puts s in force if it is newer than the release in force, and reports whether it did.
func (h *Holder) Adopt(s *Snapshot) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Number >= s.Number {
			return false
		}
		if h.current.CompareAndSwap(old, s) {
			return true
		}
	}
}

// Confirm notes that release number was the newest one at the time at. It has
// no effect for another release than the one in force, nor for an earlier time.
func (h *Holder) Confirm(number uint64, at time.Time) {
	s := h.current.Load()
	if s == nil || s.Number != number {
		return
	}
	for {
		old := h.confirmed.Load()
		if at.IsZero() || old != nil && !at.After(*old) || h.confirmed.CompareAndSwap(old, &at) {
			return
		}
	}
}

// Confirmed returns when the release in force was last known to be the newest; zero for never.
func (h *Holder) Confirmed() time.Time {
	if at := h.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
