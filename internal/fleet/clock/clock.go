// Package clock estimates true time on a host whose time of day may jump. The
// estimate goes on from the time of day at the start by a clock that neither
// jumps nor stops while the host is suspended, and follows the median of the
// other hosts' estimates.
package clock

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// wordLifetime is how long another host's estimate counts.
	wordLifetime = 5 * time.Second
	// slack is the difference from the median that is left alone: messages are on their way for milliseconds.
	slack = 100 * time.Millisecond
	// fewest is how many other hosts must be heard before the estimate follows them.
	fewest = 2
)

// Clock estimates true time. Its methods are safe for concurrent use.
type Clock struct {
	boot func() time.Duration

	mu      sync.Mutex
	start   time.Time
	started time.Duration
	words   map[string]word
}

type word struct {
	offset time.Duration
	heard  time.Duration
}

// New returns a Clock that goes on from wall, the time of day, by boot, which tells the time since some
// moment and counts suspensions; [SinceBoot] is the kernel's.
func New(wall time.Time, boot func() time.Duration) *Clock {
	return &Clock{boot: boot, start: wall.Round(0), started: boot(), words: map[string]word{}}
}

// SinceBoot returns the time since the machine's start, suspensions included.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without that clock, the steady one is nearest: it only misses suspensions.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

// Now returns the estimate.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now()
}

func (c *Clock) now() time.Time { return c.start.Add(c.boot() - c.started) }

// AddEstimate takes another host's estimate, as of now.
func (c *Clock) AddEstimate(host string, estimate time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.boot()
	c.words[host] = word{offset: estimate.Sub(c.now()), heard: at}
	offsets := []time.Duration{0}
	for h, w := range c.words {
		if at-w.heard > wordLifetime {
			delete(c.words, h)
			continue
		}
		offsets = append(offsets, w.offset)
	}
	if len(offsets) <= fewest {
		return
	}
	slices.Sort(offsets)
	shift := offsets[len(offsets)/2]
	if shift.Abs() < slack {
		return
	}
	c.start = c.start.Add(shift)
	for h, w := range c.words {
		w.offset -= shift
		c.words[h] = w
	}
}
