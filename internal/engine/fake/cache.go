package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

const (
	// defaultCacheBlocks is the size of the prefix cache if [Config] sets none.
	defaultCacheBlocks = 4096
	// maxCacheEvents limits the events kept for readers that lag behind.
	maxCacheEvents = 1024
)

// cache is the prefix cache of an engine and the events that it publishes.
type cache struct {
	blocks   *simplelru.LRU[uint64, struct{}]
	sequence uint64
	events   []cacheEvent
	// changed is closed when the next event is published.
	changed chan struct{}
}

type cacheEvent struct {
	at time.Time
	dispatch.CacheEvent
}

func newCache(size int) *cache {
	if size <= 0 {
		size = defaultCacheBlocks
	}
	blocks, err := simplelru.NewLRU[uint64, struct{}](size, nil)
	if err != nil {
		// The size is positive.
		panic(err)
	}
	return &cache{blocks: blocks, changed: make(chan struct{})}
}

// add stores the blocks of a prompt and returns how many of its leading bytes were already cached. The cache holds at
// most size blocks.
func (c *cache) add(text string, size int) int {
	cached := 0
	var ev dispatch.CacheEvent
	for i, block := range request.PrefixOf(text) {
		if _, ok := c.blocks.Get(block); ok {
			if cached == i*request.PrefixBlockBytes {
				cached += request.PrefixBlockBytes
			}
			continue
		}
		if c.blocks.Len() == size {
			old, _, _ := c.blocks.RemoveOldest()
			ev.Evicted = append(ev.Evicted, old)
		}
		c.blocks.Add(block, struct{}{})
		ev.Stored = append(ev.Stored, block)
	}
	if len(ev.Stored) > 0 {
		c.publish(ev)
	}
	return cached
}

func (c *cache) publish(ev dispatch.CacheEvent) {
	c.sequence++
	ev.Sequence = c.sequence
	c.events = append(c.events, cacheEvent{time.Now(), ev})
	if len(c.events) > maxCacheEvents {
		c.events = append([]cacheEvent(nil), c.events[len(c.events)-maxCacheEvents:]...)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// next returns the first event after a sequence number. If there is none, it returns a channel that is closed when
// the next event is published.
func (c *cache) next(after uint64) (ev cacheEvent, ok bool, changed <-chan struct{}) {
	for _, ev := range c.events {
		if ev.Sequence > after {
			return ev, true, nil
		}
	}
	return cacheEvent{}, false, c.changed
}

// serveCache serves the complete content of the cache.
func (e *Engine) serveCache(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	ev := dispatch.CacheEvent{Server: e.cfg.Name, Sequence: e.cache.sequence, Stored: e.cache.blocks.Keys(), Whole: true}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ev)
}

// serveCacheEvents streams the cache events from now on, delayed and with gaps as the faults specify.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush()
	e.mu.Lock()
	seen, crashed := e.cache.sequence, e.crashed
	e.mu.Unlock()
	for {
		e.mu.Lock()
		ev, ok, changed := e.cache.next(seen)
		f := e.faults
		e.mu.Unlock()
		if !ok {
			select {
			case <-changed:
				continue
			case <-crashed:
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				return
			}
		}
		seen = ev.Sequence
		if f.DropCacheEvents > 0 && ev.Sequence%uint64(f.DropCacheEvents) == 0 {
			continue
		}
		if !e.wait(r.Context(), f.CacheDelay-time.Since(ev.at)) {
			return
		}
		ev.Server = e.cfg.Name
		body, _ := json.Marshal(ev.CacheEvent)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", body); err != nil || rc.Flush() != nil {
			return
		}
	}
}
