package balance

import (
	"slices"
	"time"

	"shallotramp/internal/traffic/dispatch"
)

const (
	// maxMissingEvents bounds the missing cache events that are tracked for a server.
	maxMissingEvents = 1024
	// missingEventTimeout is how long a missing event may still come before the whole cache content has to
	// be read.
	missingEventTimeout = 2 * time.Second
	// partialConfidence is the share at which a cached block counts while the view may be wrong.
	partialConfidence = 0.8
)

// cacheView tracks the cache events of one server.
type cacheView struct {
	// generation is increased when all that was known of the cache becomes invalid.
	generation int
	// lastSequence is the highest sequence seen in events, reportedSequence that of the last load report.
	lastSequence, reportedSequence uint64
	// missing holds the sequences below lastSequence whose events have not come.
	missing map[uint64]struct{}
	// partial is set while events are missing. It was set at partialSince.
	partial      bool
	partialSince time.Time
	// reportsCachedTokens is set once the server has reported cached tokens. lastMissed is set when the
	// last request that expected cached tokens found none.
	reportsCachedTokens, lastMissed bool
}

// confidence is the share at which a cached block counts in the cost of a server.
func (c *cacheView) confidence() float64 {
	if c.partial || c.lastMissed {
		return partialConfidence
	}
	return 1
}

// observe records whether a request that expected cached tokens found any. A miss counts only for a server
// that has reported cached tokens before: one that never did may not report them at all.
func (c *cacheView) observe(found bool) {
	c.reportsCachedTokens = c.reportsCachedTokens || found
	c.lastMissed = c.reportsCachedTokens && !found
}

// invalidate drops all that is known of the server's cache.
func (c *cacheView) invalidate() {
	*c = cacheView{generation: c.generation + 1, reportsCachedTokens: c.reportsCachedTokens}
}

// markPartial records that events are missing.
func (c *cacheView) markPartial(now time.Time) {
	if !c.partial {
		c.partial, c.partialSince = true, now
	}
}

// checkSequence compares the cache sequence of a load report with those of the events.
func (c *cacheView) checkSequence(now time.Time, sequence uint64) {
	switch {
	case sequence == 0:
		return
	case sequence < c.reportedSequence:
		// The server restarted with an empty cache.
		c.invalidate()
	case c.lastSequence > 0 && c.lastSequence < c.reportedSequence:
		// The events up to the previous report should have come by now.
		c.markPartial(now)
	}
	c.reportedSequence = sequence
}

// acceptEvent records the sequence of an event. It returns false for an event that was seen before.
func (c *cacheView) acceptEvent(now time.Time, sequence uint64) bool {
	if _, ok := c.missing[sequence]; ok {
		delete(c.missing, sequence)
		c.partial = len(c.missing) > 0
		return true
	}
	if sequence <= c.lastSequence {
		return false
	}
	if c.lastSequence > 0 && sequence > c.lastSequence+1 {
		c.markPartial(now)
		c.addMissing(c.lastSequence+1, sequence)
	}
	c.lastSequence = sequence
	if len(c.missing) == 0 && c.lastSequence >= c.reportedSequence {
		c.partial = false
	}
	return true
}

// addMissing records the sequences from first to end-1 as missing, up to maxMissingEvents. When there are more,
// only an event with the whole cache content makes the view complete again.
func (c *cacheView) addMissing(first, end uint64) {
	if c.missing == nil {
		c.missing = map[uint64]struct{}{}
	}
	for sequence := first; sequence < end && len(c.missing) < maxMissingEvents; sequence++ {
		c.missing[sequence] = struct{}{}
	}
}

// Cache applies a cache event. Events may come late, twice or not at all. A gap is detected by the sequence,
// and closed by the missing events or by an event with the whole content, see [Balancer.PartialCaches].
func (b *Balancer) Cache(now time.Time, e dispatch.CacheEvent) {
	v, ok := b.servers[e.Server]
	if !ok {
		return
	}
	if e.Whole {
		if e.Sequence < v.cache.lastSequence {
			return
		}
		v.cache.invalidate()
		v.cache.lastSequence = e.Sequence
	} else if !v.cache.acceptEvent(now, e.Sequence) {
		return
	}
	for _, block := range e.Stored {
		b.prefixes.store(v, block)
	}
	for _, block := range e.Evicted {
		b.prefixes.evict(v, block)
	}
}

// PartialCaches returns the servers whose whole cache content should be read, because events have been
// missing for longer than missingEventTimeout.
func (b *Balancer) PartialCaches(now time.Time) []string {
	var out []string
	for _, p := range b.pools {
		for _, v := range p.servers {
			if v.cache.partial && now.Sub(v.cache.partialSince) >= missingEventTimeout {
				out = append(out, v.spec.Name)
			}
		}
	}
	slices.Sort(out)
	return out
}
