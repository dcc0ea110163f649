package loadpoller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"

	"shallotramp/internal/traffic/dispatch"
)

const (
	// minCacheReadInterval is the minimum time between two reads of a server's complete cache content.
	minCacheReadInterval = 30 * time.Second
	// reconnectDelay is the delay before an ended stream of cache events is opened again.
	reconnectDelay = time.Second
	// maxEventBytes limits the size of one cache event.
	maxEventBytes = 1 << 20
)

// CacheSink receives the cache events of servers. A [Sink] that does not implement it gets none. [dispatch.Loop]
// implements it.
type CacheSink interface {
	Cache(e dispatch.CacheEvent)
}

// updateFollower starts the cacheFollower of a server that publishes cache events if this host polls the server, and
// stops it otherwise.
func (p *Poller) updateFollower(ctx context.Context, v *server, sequence uint64) {
	sink, ok := p.sink.(CacheSink)
	if !ok || sequence == 0 {
		return
	}
	switch assigned := p.isAssigned(v); {
	case assigned && v.stopFollower == nil:
		f := &cacheFollower{poller: p, sink: sink, name: v.spec.Name, url: "http://" + v.spec.Address.String()}
		ctx, v.stopFollower = context.WithCancel(ctx)
		p.followersRunning++
		go f.run(ctx, v)
	case !assigned && v.stopFollower != nil:
		v.stopFollower()
	}
}

// cacheFollower keeps the sink informed of the prefix cache of one server. It reads the server's cache events and,
// after a gap, its complete cache.
type cacheFollower struct {
	poller       *Poller
	sink         CacheSink
	name, url    string
	lastSequence uint64
	// hasGap is true if events may have been missed since the complete cache was last read.
	hasGap      bool
	cacheReadAt time.Time
}

// run reads events until ctx ends. Before each new stream it reads the complete cache, at most once per
// minCacheReadInterval.
func (f *cacheFollower) run(ctx context.Context, v *server) {
	for ctx.Err() == nil {
		if time.Since(f.cacheReadAt) >= minCacheReadInterval {
			f.readCache(ctx)
		}
		f.readEvents(ctx)
		// The events until the next stream are missed, and a restarted server numbers its events from 1.
		f.hasGap, f.lastSequence = true, 0
		t := time.NewTimer(reconnectDelay)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
	f.poller.endedFollowers <- v
}

// readEvents reads one stream of events until it or ctx ends.
func (f *cacheFollower) readEvents(ctx context.Context) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/cache/events", http.NoBody)
	if err != nil {
		return
	}
	resp, err := f.poller.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return
	}
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return
		}
		f.handleEvent(ctx, ev.Data)
	}
}

// handleEvent passes one event to the sink. After a gap it reads the complete cache, at most once per
// minCacheReadInterval.
func (f *cacheFollower) handleEvent(ctx context.Context, data string) {
	var e dispatch.CacheEvent
	if json.Unmarshal([]byte(data), &e) != nil {
		f.hasGap = true
		return
	}
	f.hasGap = f.hasGap || e.Sequence > f.lastSequence+1
	f.lastSequence = max(f.lastSequence, e.Sequence)
	e.Server = f.name
	f.sink.Cache(e)
	if f.hasGap && time.Since(f.cacheReadAt) >= minCacheReadInterval {
		f.readCache(ctx)
	}
}

// readCache reads the complete cache and passes it to the sink, which makes up for missed events.
func (f *cacheFollower) readCache(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.poller.timeout)
	defer cancel()
	f.cacheReadAt = time.Now()
	status, body, err := f.poller.get(ctx, f.url+"/cache")
	var e dispatch.CacheEvent
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &e) != nil {
		return
	}
	e.Server, e.Whole = f.name, true
	f.lastSequence, f.hasGap = e.Sequence, false
	f.sink.Cache(e)
}
