package balance

import (
	"slices"
	"time"

	"shallotramp/internal/traffic/dispatch"
)

const (
	// maxMissing bounds the missing cache events that are awaited one by one.
	maxMissing = 1024
	// lateEvents is how long a missing event may still come before the view has to be read whole.
	lateEvents = 2 * time.Second
	// partialTrust is what a block counts that is known from a view with gaps.
	partialTrust = 0.8
)

// cacheView is what is known of one server's cache events.
type cacheView struct {
	// term changes when all that was known is void.
	term int
	// last is the highest sequence seen in events, reported the one of the last load report.
	last, reported uint64
	missing        map[uint64]struct{}
	// partial is set while events are missing, since the time of the first.
	partial bool
	since   time.Time
	// tells is set when the server counts cached tokens, and missed when the last expected ones were not there.
	tells, missed bool
}

// trust is what a block known of the view counts.
func (c *cacheView) trust() float64 {
	if c.partial || c.missed {
		return partialTrust
	}
	return 1
}

// observe compares what a request expected to find cached with what it found. Servers that never
// told of cached tokens prove nothing.
func (c *cacheView) observe(found bool) {
	c.tells = c.tells || found
	c.missed = c.tells && !found
}

// void forgets the server's blocks.
func (c *cacheView) void() {
	*c = cacheView{term: c.term + 1, tells: c.tells}
}

func (c *cacheView) gap(now time.Time) {
	if !c.partial {
		c.partial, c.since = true, now
	}
}

// report compares the sequence of a load report with those seen.
func (c *cacheView) report(now time.Time, n uint64) {
	switch {
	case n == 0:
		return
	case n < c.reported:
		// The server began anew with an empty cache.
		c.void()
	case c.last > 0 && c.last < c.reported:
		// Events up to the report before this one should have come by now.
		c.gap(now)
	}
	c.reported = n
}

// take notes the sequence of an event. It returns false for one that was seen before.
func (c *cacheView) take(now time.Time, n uint64) bool {
	if _, ok := c.missing[n]; ok {
		delete(c.missing, n)
		c.partial = len(c.missing) > 0
		return true
	}
	if n <= c.last {
		return false
	}
	if c.last > 0 && n > c.last+1 {
		c.gap(now)
		c.await(c.last+1, n)
	}
	c.last = n
	if len(c.missing) == 0 && c.last >= c.reported {
		c.partial = false
	}
	return true
}

// await notes the sequences from first to before end as missing. When they are too many, only a whole view repairs.
func (c *cacheView) await(first, end uint64) {
	if c.missing == nil {
		c.missing = map[uint64]struct{}{}
	}
	for n := first; n < end && len(c.missing) < maxMissing; n++ {
		c.missing[n] = struct{}{}
	}
}

// Cache notes a cache event. Events may come late, twice or not at all: a gap is found by the
// sequence, and mended by the missing event or by a whole view, see [Balancer.PartialCaches].
func (b *Balancer) Cache(now time.Time, e dispatch.CacheEvent) {
	v, ok := b.servers[e.Server]
	if !ok {
		return
	}
	if e.Whole {
		if e.Sequence < v.cache.last {
			return
		}
		v.cache.void()
		v.cache.last = e.Sequence
	} else if !v.cache.take(now, e.Sequence) {
		return
	}
	for _, block := range e.Stored {
		b.cache.store(v, block)
	}
	for _, block := range e.Evicted {
		b.cache.evict(v, block)
	}
}

// PartialCaches lists the servers whose cache should be read whole, for events were missing for a while.
func (b *Balancer) PartialCaches(now time.Time) []string {
	var out []string
	for _, p := range b.pools {
		for _, v := range p.servers {
			if v.cache.partial && now.Sub(v.cache.since) >= lateEvents {
				out = append(out, v.spec.Name)
			}
		}
	}
	slices.Sort(out)
	return out
}
