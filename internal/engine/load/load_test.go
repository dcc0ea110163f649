package load

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

// fleet serves engines by address without a network. It is an [http.RoundTripper].
type fleet struct {
	mu      sync.Mutex
	engines map[string]*fake.Engine
	polls   map[string]int
	atOnce  int
	most    int
	hang    bool
}

func (f *fleet) RoundTrip(r *http.Request) (answer *http.Response, err error) {
	f.count(r.URL.Host+r.URL.Path, 1)
	defer f.count("", -1)
	if f.hang {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if strings.HasSuffix(r.URL.Path, "/events") {
		return stream(f.engines[r.URL.Host], r), nil
	}
	defer func() {
		if recover() != nil {
			err = errors.New("connection reset")
		}
	}()
	rec := httptest.NewRecorder()
	f.engines[r.URL.Host].ServeHTTP(rec, r)
	return rec.Result(), nil
}

func (f *fleet) count(url string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls[url]++
	f.atOnce += n
	f.most = max(f.most, f.atOnce)
}

func (f *fleet) polled(url string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.polls[url]
}

// sink keeps what was posted.
type sink struct {
	mu     sync.Mutex
	loads  map[string][]dispatch.Load
	states []dispatch.ServerState
	events []dispatch.CacheEvent
}

func (s *sink) Report(l dispatch.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads[l.Server] = append(s.loads[l.Server], l)
}

func (s *sink) Server(st dispatch.ServerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states = append(s.states, st)
}

// reports returns what a server's reports were so far.
func (s *sink) reports(server string) []dispatch.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.loads[server])
}

func (s *sink) told() []dispatch.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.states)
}

// bench runs a poller of n engines in zones a and b for a while inside a bubble.
type bench struct {
	fleet  *fleet
	sink   *sink
	poller *Poller
	stop   func()
}

func newBench(n int, hang bool) *bench {
	b := &bench{
		fleet: &fleet{engines: map[string]*fake.Engine{}, polls: map[string]int{}, hang: hang},
		sink:  &sink{loads: map[string][]dispatch.Load{}},
	}
	set := object.NewSet()
	set.Pools["models"] = &object.PoolSpec{Name: "models", Protocol: object.Engine}
	for i := range n {
		name := fmt.Sprintf("s%d", i)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		set.BackendServers[name] = &object.BackendServerSpec{Name: name, Pool: "models", Zone: string(rune('a' + i%2)), Address: addr}
		b.fleet.engines[addr.String()] = fake.NewEngine(fake.Config{Name: name, Models: []string{"m"}, Slots: 4})
	}
	h := &release.Holder{}
	h.Adopt(release.NewSnapshot(1, "", set))
	b.poller = New("a", h, b.sink, WithSeed(1), WithTransport(b.fleet))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go b.poller.Run(ctx, done)
	b.stop = func() {
		cancel()
		<-done
	}
	return b
}

func TestPollerReportsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(4, false)
		defer b.stop()
		time.Sleep(10 * time.Second)
		convey.Convey("servers of the zone are polled about once a second, models less often", t, func() {
			convey.So(b.sink.reports("s1"), convey.ShouldBeEmpty)
			convey.So(len(b.sink.reports("s0")), convey.ShouldBeBetween, 7, 13)
			convey.So(len(b.sink.reports("s2")), convey.ShouldBeBetween, 7, 13)
			convey.So(b.fleet.polled("10.0.0.0:80/v1/models"), convey.ShouldBeBetween, 0, 4)
			l := b.sink.reports("s0")[0]
			convey.So(l.Loaded, convey.ShouldResemble, []string{"m"})
			convey.So(time.Since(l.At), convey.ShouldBeLessThan, 10*time.Second)
		})
		b.poller.SetAssigned(func(server string) bool { return server == "s1" })
		time.Sleep(2 * time.Second)
		convey.Convey("another share takes effect", t, func() {
			convey.So(b.sink.reports("s1"), convey.ShouldNotBeEmpty)
		})
	})
}

func TestPollerTellsLeavingAndGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, false)
		defer b.stop()
		e := b.fleet.engines["10.0.0.0:80"]
		time.Sleep(3 * time.Second)
		e.SetFaults(fake.Faults{Leaving: true})
		time.Sleep(2 * time.Second)
		last := b.sink.reports("s0")[len(b.sink.reports("s0"))-1]
		e.SetFaults(fake.Faults{Gone: true})
		time.Sleep(10 * time.Second)
		gone := b.sink.told()
		n := len(b.sink.reports("s0"))
		e.SetFaults(fake.Faults{})
		time.Sleep(3 * time.Second)
		convey.Convey("a notice is in the next report, silence is told once, and a return is a report", t, func() {
			convey.So(last.Leaving, convey.ShouldBeTrue)
			convey.So(gone, convey.ShouldResemble, []dispatch.ServerState{{Server: "s0", Zone: "a", Leaving: true, Gone: true}})
			convey.So(len(b.sink.reports("s0")), convey.ShouldBeGreaterThan, n)
		})
	})
}

func TestPollerOfPlainServices(t *testing.T) {
	tests := map[string]struct {
		handler http.Handler
		running int
	}{
		"a service that reports its load":         {fake.NewService(), 0},
		"a service that answers 200 to all paths": {http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"Path":"/metrics"}`)) }), 0},
		"a service without metrics":               {http.NotFoundHandler(), 0},
		"a busy service":                          {http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("service_requests_running 3\n")) }), 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := New("a", &release.Holder{}, &sink{}, WithTransport(handlerTransport{tc.handler}))
			l, err := p.readMetrics(t.Context(), "http://10.0.0.1:80/metrics")
			if err != nil || l.Running != tc.running || l.At.IsZero() {
				t.Errorf("load %+v, error %v", l, err)
			}
		})
	}
}

// handlerTransport answers requests by a handler.
type handlerTransport struct{ h http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	t.h.ServeHTTP(rec, r)
	return rec.Result(), nil
}

func TestPollerBoundsSlowServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(200, true)
		time.Sleep(20 * time.Second)
		b.stop()
		if b.fleet.most > maxPolls || b.fleet.most < 2 {
			t.Errorf("%d polls at once", b.fleet.most)
		}
		if len(b.sink.told()) != 100 {
			t.Errorf("%d servers of the zone are told gone", len(b.sink.told()))
		}
	})
}

// TestPlainServiceNeedNotTellItsLoad polls services that answer /metrics as they like.
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
			if r := <-p.results; (r.err != nil) != (name == "with an error") || r.untold {
				t.Errorf("an engine that answers so gave %v", r.err)
			}
		})
	}
}
