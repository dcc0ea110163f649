package release

import (
	"sync/atomic"
	"time"
)

// Holder holds the release in force on a host. It never returns to an earlier release. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]
	// confirmed keeps the monotonic clock reading, so that setting the wall clock back does not lengthen a grace period.
	confirmed atomic.Pointer[time.Time]
}

// Current returns the release in force, or nil before the first one.
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

// Confirm records that the release with this number was the newest one at the time at. It has no effect if
// another release is in force, or if at is zero or not after the last confirmation.
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

// Confirmed returns when the release in force was last known to be the newest, or zero if never.
func (h *Holder) Confirmed() time.Time {
	if at := h.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
