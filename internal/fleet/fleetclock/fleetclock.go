// Package fleetclock estimates the true time on a host whose wall clock may jump. The
// estimate starts from the wall clock and advances by a clock that neither jumps
// nor stops while the host is suspended. It follows the median of the other
// hosts' estimates.
package fleetclock

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// estimateLifetime is how long another host's estimate is used.
	estimateLifetime = 5 * time.Second
	// offsetTolerance is the difference from the median up to which the estimate is not corrected, because messages
	// take milliseconds to arrive.
	offsetTolerance = 100 * time.Millisecond
	// minOtherHosts is the number of other hosts' estimates that are needed for a correction.
	minOtherHosts = 2
)

// Clock estimates the true time. Its methods are safe for concurrent use.
type Clock struct {
	sinceBoot func() time.Duration

	mu sync.Mutex
	// base is the estimate at the moment when sinceBoot returned baseSinceBoot.
	base          time.Time
	baseSinceBoot time.Duration
	// estimates holds the last estimate of each other host.
	estimates map[string]peerEstimate
}

// peerEstimate is another host's estimate.
type peerEstimate struct {
	// offset is the difference from this host's estimate.
	offset time.Duration
	// receivedAt is the time since boot at which the estimate came.
	receivedAt time.Duration
}

// New returns a Clock that starts at wall, the time of the wall clock, and advances by sinceBoot. That function returns
// the time since a fixed moment and includes the time while the host is suspended, such as [SinceBoot].
func New(wall time.Time, sinceBoot func() time.Duration) *Clock {
	return &Clock{sinceBoot: sinceBoot, base: wall.Round(0), baseSinceBoot: sinceBoot(), estimates: map[string]peerEstimate{}}
}

// SinceBoot returns the time since the boot of the machine, including the time while it was suspended.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without that clock, the monotonic clock is used, which differs only in that it stops during suspensions.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

// Now returns the current estimate.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now()
}

func (c *Clock) now() time.Time { return c.base.Add(c.sinceBoot() - c.baseSinceBoot) }

// AddEstimate adds another host's estimate of the present time and corrects this host's estimate if it is too far
// from the median.
func (c *Clock) AddEstimate(host string, estimate time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.sinceBoot()
	c.estimates[host] = peerEstimate{offset: estimate.Sub(c.now()), receivedAt: at}
	offsets := []time.Duration{0}
	for h, e := range c.estimates {
		if at-e.receivedAt > estimateLifetime {
			delete(c.estimates, h)
			continue
		}
		offsets = append(offsets, e.offset)
	}
	if len(offsets) <= minOtherHosts {
		return
	}
	slices.Sort(offsets)
	correction := offsets[len(offsets)/2]
	if correction.Abs() < offsetTolerance {
		return
	}
	c.base = c.base.Add(correction)
	for h, e := range c.estimates {
		e.offset -= correction
		c.estimates[h] = e
	}
}
