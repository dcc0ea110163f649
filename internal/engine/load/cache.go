package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"

	"shallotramp/internal/traffic/dispatch"
)

const (
	// repairInterval is the shortest time between two reads of a server's whole cache.
	repairInterval = 30 * time.Second
	// followDelay is the pause after a stream of cache events ended.
	followDelay = time.Second
	// maxEventBytes bounds one cache event.
	maxEventBytes = 1 << 20
)

// CacheSink is a [Sink] that takes cache events. [dispatch.Loop] is one.
type CacheSink interface {
	Cache(e dispatch.CacheEvent)
}

// follow starts or ends the reader of the cache of a server that numbers its cache events.
func (p *Poller) follow(ctx context.Context, v *server, sequence uint64) {
	sink, ok := p.sink.(CacheSink)
	if !ok || sequence == 0 {
		return
	}
	switch mine := p.mine(v); {
	case mine && v.unfollow == nil:
		f := &follower{p: p, sink: sink, name: v.spec.Name, url: "http://" + v.spec.Address.String()}
		ctx, v.unfollow = context.WithCancel(ctx)
		p.readers++
		go f.run(ctx, v)
	case !mine && v.unfollow != nil:
		v.unfollow()
	}
}

// follower reads the cache events of one server.
type follower struct {
	p         *Poller
	sink      CacheSink
	name, url string
	last      uint64
	gap       bool
	read      time.Time
}

// run follows until ctx ends. Each new stream begins with the whole cache.
func (f *follower) run(ctx context.Context, v *server) {
	for ctx.Err() == nil {
		if time.Since(f.read) >= repairInterval {
			f.whole(ctx)
		}
		f.stream(ctx)
		// What happened until the next stream is missing, and a server that began anew counts from 1.
		f.gap, f.last = true, 0
		t := time.NewTimer(followDelay)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
	f.p.ended <- v
}

// stream reads events until the server or ctx ends.
func (f *follower) stream(ctx context.Context) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/cache/events", http.NoBody)
	if err != nil {
		return
	}
	answer, err := f.p.client.Do(req)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return
	}
	for ev, err := range sse.Read(answer.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return
		}
		f.event(ctx, ev.Data)
	}
}

// event posts one event. After a gap the whole cache is read, though not at once after the last time.
func (f *follower) event(ctx context.Context, data string) {
	var e dispatch.CacheEvent
	if json.Unmarshal([]byte(data), &e) != nil {
		f.gap = true
		return
	}
	f.gap = f.gap || e.Sequence > f.last+1
	f.last = max(f.last, e.Sequence)
	e.Server = f.name
	f.sink.Cache(e)
	if f.gap && time.Since(f.read) >= repairInterval {
		f.whole(ctx)
	}
}

// whole reads the whole cache, which mends gaps.
func (f *follower) whole(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.p.timeout)
	defer cancel()
	f.read = time.Now()
	status, body, err := f.p.get(ctx, f.url+"/cache")
	var e dispatch.CacheEvent
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &e) != nil {
		return
	}
	e.Server, e.Whole = f.name, true
	f.last, f.gap = e.Sequence, false
	f.sink.Cache(e)
}
