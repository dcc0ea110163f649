package load

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/engine/fake"
	"shallotramp/internal/traffic/balance"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// pipe is the answer of a stream. It is an [http.ResponseWriter].
type pipe struct {
	*io.PipeWriter
	header http.Header
}

func (p *pipe) Header() http.Header { return p.header }
func (p *pipe) WriteHeader(int)     {}
func (p *pipe) Flush()              {}

// stream serves a request whose answer does not end by itself.
func stream(h http.Handler, r *http.Request) *http.Response {
	pr, pw := io.Pipe()
	go func() {
		defer pw.Close()
		defer func() { _ = recover() }()
		h.ServeHTTP(&pipe{pw, http.Header{}}, r)
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: pr, Header: http.Header{}}
}

// complete runs a completion on the engine, so that its prompt is cached.
func complete(e *fake.Engine, prompt string) {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":1}`, prompt)
	e.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/completions", bytes.NewBufferString(body)))
}

func promptOf(i int) string { return strings.Repeat(fmt.Sprintf("prompt %d ", i), 400) }

func TestFollowerMendsGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, false)
		defer b.stop()
		e := b.fleet.engines["10.0.0.0:80"]
		complete(e, promptOf(0))
		time.Sleep(5 * time.Second)
		e.SetFaults(fake.Faults{DropCacheEvents: 2, CacheDelay: time.Second})
		for i := range 10 {
			complete(e, promptOf(i+1))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		before := b.sink.cacheOf()
		time.Sleep(repairInterval)
		complete(e, promptOf(11))
		complete(e, promptOf(12))
		time.Sleep(5 * time.Second)
		after := b.sink.cacheOf()
		e.Crash(2 * time.Second)
		time.Sleep(time.Minute)
		complete(e, promptOf(13))
		time.Sleep(time.Minute)
		anew := b.sink.cacheOf()
		convey.Convey("half of the events are missing until the cache is read whole", t, func() {
			convey.So(before[blockOf(0)], convey.ShouldBeTrue)
			missing := 0
			for i := range 10 {
				if !before[blockOf(i+1)] {
					missing++
				}
				convey.So(after[blockOf(i+1)], convey.ShouldBeTrue)
			}
			convey.So(missing, convey.ShouldEqual, 5)
		})
		convey.Convey("an engine that began anew has only what it cached since", t, func() {
			convey.So(anew[blockOf(0)], convey.ShouldBeFalse)
			convey.So(anew[blockOf(13)], convey.ShouldBeTrue)
		})
	})
}

func blockOf(i int) uint64 { return request.PrefixOf(`"` + promptOf(i))[0] }

// cacheOf returns the blocks of s0 as a reader of the events sees them.
func (s *sink) cacheOf() map[uint64]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[uint64]bool{}
	for _, e := range s.events {
		if e.Whole {
			clear(out)
		}
		for _, block := range e.Stored {
			out[block] = true
		}
	}
	return out
}

func (s *sink) Cache(e dispatch.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
}

var (
	_ CacheSink              = (*dispatch.Loop)(nil)
	_ Sink                   = (*dispatch.Loop)(nil)
	_ dispatch.CacheObserver = (*balance.Balancer)(nil)
)
