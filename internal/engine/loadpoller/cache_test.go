package loadpoller

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

// pipeResponseWriter is an [http.ResponseWriter] that writes the body to a pipe.
type pipeResponseWriter struct {
	*io.PipeWriter
	header http.Header
}

func (p *pipeResponseWriter) Header() http.Header { return p.header }
func (p *pipeResponseWriter) WriteHeader(int)     {}
func (p *pipeResponseWriter) Flush()              {}

// serveStream serves a request whose response body has no end.
func serveStream(h http.Handler, r *http.Request) *http.Response {
	pr, pw := io.Pipe()
	go func() {
		defer pw.Close()
		defer func() { _ = recover() }()
		h.ServeHTTP(&pipeResponseWriter{pw, http.Header{}}, r)
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: pr, Header: http.Header{}}
}

// complete runs a completion on the engine, so that its prompt is cached.
func complete(e *fake.Engine, prompt string) {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":1}`, prompt)
	e.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/completions", bytes.NewBufferString(body)))
}

// promptOf returns the i-th prompt, which is several blocks long.
func promptOf(i int) string { return strings.Repeat(fmt.Sprintf("prompt %d ", i), 400) }

func TestFollowerMendsGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pt := startPollerTest(1, false)
		defer pt.stop()
		e := pt.transport.engines["10.0.0.0:80"]
		complete(e, promptOf(0))
		time.Sleep(5 * time.Second)
		e.SetFaults(fake.Faults{DropCacheEvents: 2, CacheDelay: time.Second})
		for i := range 10 {
			complete(e, promptOf(i+1))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		before := pt.sink.cachedBlocks()
		time.Sleep(minCacheReadInterval)
		complete(e, promptOf(11))
		complete(e, promptOf(12))
		time.Sleep(5 * time.Second)
		after := pt.sink.cachedBlocks()
		e.Crash(2 * time.Second)
		time.Sleep(time.Minute)
		complete(e, promptOf(13))
		time.Sleep(time.Minute)
		restarted := pt.sink.cachedBlocks()
		convey.Convey("half of the events are missing until the complete cache is read", t, func() {
			convey.So(before[firstBlock(0)], convey.ShouldBeTrue)
			missing := 0
			for i := range 10 {
				if !before[firstBlock(i+1)] {
					missing++
				}
				convey.So(after[firstBlock(i+1)], convey.ShouldBeTrue)
			}
			convey.So(missing, convey.ShouldEqual, 5)
		})
		convey.Convey("a restarted engine has only what it cached since the restart", t, func() {
			convey.So(restarted[firstBlock(0)], convey.ShouldBeFalse)
			convey.So(restarted[firstBlock(13)], convey.ShouldBeTrue)
		})
	})
}

// firstBlock returns the first prefix block of promptOf(i).
func firstBlock(i int) uint64 { return request.PrefixOf(`"` + promptOf(i))[0] }

// cachedBlocks returns the blocks in the cache of s0 according to the events.
func (s *recordingSink) cachedBlocks() map[uint64]bool {
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

func (s *recordingSink) Cache(e dispatch.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
}

var (
	_ CacheSink              = (*dispatch.Loop)(nil)
	_ Sink                   = (*dispatch.Loop)(nil)
	_ dispatch.CacheObserver = (*balance.Balancer)(nil)
)
