package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
)

var _ dispatch.CacheObserver = (*Policy)(nil)

// Cache implements [dispatch.CacheObserver].
func (p *Policy) Cache(now time.Time, e dispatch.CacheEvent) {
	if o, ok := p.chooser.(dispatch.CacheObserver); ok {
		o.Cache(now, e)
	}
}
