package loadpoller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/engine/fake"
	"shallotramp/internal/traffic/dispatch"
)

// engineTransport is an [http.RoundTripper] that passes requests to engines by address, without a network.
type engineTransport struct {
	mu            sync.Mutex
	engines       map[string]*fake.Engine
	requests      map[string]int
	concurrent    int
	maxConcurrent int
	// hang makes all requests wait until their context ends.
	hang bool
}

func (t *engineTransport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	t.count(r.URL.Host+r.URL.Path, 1)
	defer t.count("", -1)
	if t.hang {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if strings.HasSuffix(r.URL.Path, "/events") {
		return serveStream(t.engines[r.URL.Host], r), nil
	}
	defer func() {
		if recover() != nil {
			err = errors.New("connection reset")
		}
	}()
	rec := httptest.NewRecorder()
	t.engines[r.URL.Host].ServeHTTP(rec, r)
	return rec.Result(), nil
}

func (t *engineTransport) count(url string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[url]++
	t.concurrent += n
	t.maxConcurrent = max(t.maxConcurrent, t.concurrent)
}

func (t *engineTransport) requestsTo(url string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests[url]
}

// recordingSink records what the poller passes to it.
type recordingSink struct {
	mu     sync.Mutex
	loads  map[string][]dispatch.Load
	states []dispatch.ServerState
	events []dispatch.CacheEvent
}

func (s *recordingSink) Report(l dispatch.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads[l.Server] = append(s.loads[l.Server], l)
}

func (s *recordingSink) Server(st dispatch.ServerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states = append(s.states, st)
}

// reports returns the load reports of a server so far.
func (s *recordingSink) reports(server string) []dispatch.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.loads[server])
}

func (s *recordingSink) serverStates() []dispatch.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.states)
}

// pollerTest is a running poller with its engines and sink.
type pollerTest struct {
	transport *engineTransport
	sink      *recordingSink
	poller    *Poller
	stop      func()
}

// startPollerTest starts a poller in zone a for n engines that alternate between zones a and b. It must be called in a
// synctest bubble.
func startPollerTest(n int, hang bool) *pollerTest {
	pt := &pollerTest{
		transport: &engineTransport{engines: map[string]*fake.Engine{}, requests: map[string]int{}, hang: hang},
		sink:      &recordingSink{loads: map[string][]dispatch.Load{}},
	}
	set := object.NewSet()
	set.Pools["models"] = &object.PoolSpec{Name: "models", Protocol: object.Engine}
	for i := range n {
		name := fmt.Sprintf("s%d", i)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		set.BackendServers[name] = &object.BackendServerSpec{Name: name, Pool: "models", Zone: string(rune('a' + i%2)), Address: addr}
		pt.transport.engines[addr.String()] = fake.NewEngine(fake.Config{Name: name, Models: []string{"m"}, Slots: 4})
	}
	h := &release.Holder{}
	h.Adopt(release.NewSnapshot(1, "", set))
	pt.poller = New("a", h, pt.sink, WithSeed(1), WithTransport(pt.transport))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go pt.poller.Run(ctx, done)
	pt.stop = func() {
		cancel()
		<-done
	}
	return pt
}

func TestPollerReportsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pt := startPollerTest(4, false)
		defer pt.stop()
		time.Sleep(10 * time.Second)
		convey.Convey("servers of the zone are polled about once a second, the list of models less often", t, func() {
			convey.So(pt.sink.reports("s1"), convey.ShouldBeEmpty)
			convey.So(len(pt.sink.reports("s0")), convey.ShouldBeBetween, 7, 13)
			convey.So(len(pt.sink.reports("s2")), convey.ShouldBeBetween, 7, 13)
			convey.So(pt.transport.requestsTo("10.0.0.0:80/v1/models"), convey.ShouldBeBetween, 0, 4)
			l := pt.sink.reports("s0")[0]
			convey.So(l.Loaded, convey.ShouldResemble, []string{"m"})
			convey.So(time.Since(l.At), convey.ShouldBeLessThan, 10*time.Second)
		})
		pt.poller.SetAssigned(func(server string) bool { return server == "s1" })
		time.Sleep(2 * time.Second)
		convey.Convey("a new assignment takes effect", t, func() {
			convey.So(pt.sink.reports("s1"), convey.ShouldNotBeEmpty)
		})
	})
}

func TestPollerTellsLeavingAndGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pt := startPollerTest(1, false)
		defer pt.stop()
		e := pt.transport.engines["10.0.0.0:80"]
		time.Sleep(3 * time.Second)
		e.SetFaults(fake.Faults{Leaving: true})
		time.Sleep(2 * time.Second)
		last := pt.sink.reports("s0")[len(pt.sink.reports("s0"))-1]
		e.SetFaults(fake.Faults{Gone: true})
		time.Sleep(10 * time.Second)
		gone := pt.sink.serverStates()
		n := len(pt.sink.reports("s0"))
		e.SetFaults(fake.Faults{})
		time.Sleep(3 * time.Second)
		convey.Convey("leaving is in the next report, gone is reported once, and a recovered server reports its load again", t, func() {
			convey.So(last.Leaving, convey.ShouldBeTrue)
			convey.So(gone, convey.ShouldResemble, []dispatch.ServerState{{Server: "s0", Zone: "a", Leaving: true, Gone: true}})
			convey.So(len(pt.sink.reports("s0")), convey.ShouldBeGreaterThan, n)
		})
	})
}

func TestPollerOfPlainServices(t *testing.T) {
	tests := map[string]struct {
		handler http.Handler
		running int
	}{
		"a service that reports its load":          {fake.NewService(), 0},
		"a service that responds 200 to all paths": {http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"Path":"/metrics"}`)) }), 0},
		"a service without metrics":                {http.NotFoundHandler(), 0},
		"a busy service":                           {http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("service_requests_running 3\n")) }), 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := New("a", &release.Holder{}, &recordingSink{}, WithTransport(handlerTransport{tc.handler}))
			l, err := p.readMetrics(t.Context(), "http://10.0.0.1:80/metrics")
			if err != nil || l.Running != tc.running || l.At.IsZero() {
				t.Errorf("load %+v, error %v", l, err)
			}
		})
	}
}

// handlerTransport is an [http.RoundTripper] that passes requests to a handler.
type handlerTransport struct{ h http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	t.h.ServeHTTP(rec, r)
	return rec.Result(), nil
}

func TestPollerBoundsSlowServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pt := startPollerTest(200, true)
		time.Sleep(20 * time.Second)
		pt.stop()
		if pt.transport.maxConcurrent > maxConcurrentPolls || pt.transport.maxConcurrent < 2 {
			t.Errorf("%d concurrent polls", pt.transport.maxConcurrent)
		}
		if len(pt.sink.serverStates()) != 100 {
			t.Errorf("%d servers of the zone were reported as gone, want 100", len(pt.sink.serverStates()))
		}
	})
}

// TestPlainServiceNeedNotTellItsLoad checks that a plain service that serves no load on /metrics does not count as gone.
// A model engine that responds with a server error does.
func TestPlainServiceNeedNotTellItsLoad(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"with JSON":     func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"Path":"/metrics"}`)) },
		"with an error": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"not at all":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) },
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(h)
			defer srv.Close()
			p := New("z", &release.Holder{}, nil)
			v := &server{spec: &object.BackendServerSpec{Name: "s"}, protocol: object.Service}
			go p.poll(t.Context(), v, strings.TrimPrefix(srv.URL, "http://"), false)
			if r := <-p.results; r.err != nil {
				t.Errorf("the service counts as gone: %v", r.err)
			}
			v.protocol = object.Engine
			go p.poll(t.Context(), v, strings.TrimPrefix(srv.URL, "http://"), false)
			if r := <-p.results; (r.err != nil) != (name == "with an error") || r.loadUnknown {
				t.Errorf("an engine with this response gave the error %v", r.err)
			}
		})
	}
}
