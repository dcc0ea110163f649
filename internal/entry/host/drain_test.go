package host

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	enginefake "shallotramp/internal/engine/fake"
	"shallotramp/internal/provider/fake"
)

// startHostWithEngines runs a host in front of the engines until the test ends or stop is called. The host's error
// goes to done.
func startHostWithEngines(t *testing.T, cfg Config, engines map[string]*enginefake.Engine) (h *Host, stop context.CancelFunc, done chan error) {
	t.Helper()
	set := object.NewSet()
	if errs := object.Read(set, "test", strings.NewReader(sampleObjects)); len(errs) > 0 {
		t.Fatal(errs)
	}
	set.Routes["m"].Open = true
	set.Pools["models"].Concurrency = 256
	for name, e := range engines {
		srv := httptest.NewServer(e)
		t.Cleanup(srv.Close)
		spec := *set.BackendServers["engine-1"]
		spec.Name, spec.Address = name, netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
		set.BackendServers[name] = &spec
	}
	st := fake.NewStore()
	if _, err := release.Publish(context.Background(), st, release.Publication{Set: set, Author: "test"}, time.Now()); err != nil {
		t.Fatal(err)
	}
	cfg.Name, cfg.Zone, cfg.Callers, cfg.Operators = "h", "mid-a", loopback, loopback
	h, err := New(cfg, st, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	done = make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	eventually(t, "the host is ready", func() bool { return h.Status().Ready })
	return h, stop, done
}

// TestPlannedStopCutsNothing stops a host while streams are open and new requests keep coming. Every request that the
// host accepted must get its whole response.
func TestPlannedStopCutsNothing(t *testing.T) {
	e := enginefake.NewEngine(enginefake.Config{Name: "e", Models: []string{"m"}, Slots: 256, TokenInterval: 2 * time.Millisecond})
	h, stop, done := startHostWithEngines(t, Config{DrainDelay: 300 * time.Millisecond, DrainTimeout: 30 * time.Second}, map[string]*enginefake.Engine{"engine-1": e})

	var truncated, complete, refused atomic.Int64
	var wg sync.WaitGroup
	send := func(tokens int) {
		body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":"tokens=%d"}]}`, tokens)
		res, err := http.Post(h.CallersURL()+"/v1/chat/completions", "application/json", strings.NewReader(body))
		if err != nil {
			// The listener is closed; by now the load balancer sends callers to other hosts.
			refused.Add(1)
			return
		}
		defer res.Body.Close()
		b, err := io.ReadAll(res.Body)
		if err != nil || !strings.HasSuffix(string(b), "data: [DONE]\n\n") {
			truncated.Add(1)
			t.Errorf("truncated response: %v, %.200s", err, b)
			return
		}
		complete.Add(1)
	}
	for range 20 {
		wg.Go(func() { send(600) })
	}
	eventually(t, "the streams are open", func() bool { return h.gateway.OpenRequests() == 20 })
	load, endLoad := context.WithCancel(context.Background())
	wg.Go(func() {
		for load.Err() == nil {
			wg.Go(func() { send(20) })
			time.Sleep(5 * time.Millisecond)
		}
	})
	stop()
	eventually(t, "the host is no longer ready", func() bool { return !h.Status().Ready })
	if err := <-done; err != nil {
		t.Error(err)
	}
	endLoad()
	wg.Wait()
	if truncated.Load() > 0 || complete.Load() < 20 {
		t.Errorf("%d responses truncated, %d complete, %d requests not accepted", truncated.Load(), complete.Load(), refused.Load())
	}
}

// TestDrainTimeoutIsSaid checks that the error names --drain-timeout if a request is still open after it.
func TestDrainTimeoutIsSaid(t *testing.T) {
	e := enginefake.NewEngine(enginefake.Config{Name: "e", Models: []string{"m"}, Slots: 1, TokenInterval: time.Second})
	h, stop, done := startHostWithEngines(t, Config{DrainTimeout: 50 * time.Millisecond}, map[string]*enginefake.Engine{"engine-1": e})
	go func() {
		res, err := http.Post(h.CallersURL()+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"tokens=30"}]}`))
		if err == nil {
			_ = res.Body.Close()
		}
	}()
	eventually(t, "the request is open", func() bool { return h.gateway.OpenRequests() == 1 })
	stop()
	if err := <-done; err == nil || !strings.Contains(err.Error(), "--drain-timeout") {
		t.Errorf("got %v", err)
	}
}

// TestRequestsAtEndOfDrain guards against requests that are cut without an answer at the end of a planned stop: one is at an
// engine, the other waits for it.
func TestRequestsAtEndOfDrain(t *testing.T) {
	e := enginefake.NewEngine(enginefake.Config{Name: "e", Models: []string{"m"}, Slots: 1, TokenInterval: time.Second})
	h, stop, done := startHostWithEngines(t, Config{DrainTimeout: 50 * time.Millisecond}, map[string]*enginefake.Engine{"engine-1": e})
	const requests = 600 // More than the host sends to the engine at once.
	type answer struct {
		status int
		ran    string
		err    error
	}
	answers := make(chan answer, requests)
	for range requests {
		go func() {
			res, err := http.Post(h.CallersURL()+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"tokens=30"}]}`))
			if err != nil {
				answers <- answer{err: err}
				return
			}
			_, err = io.ReadAll(res.Body)
			_ = res.Body.Close()
			answers <- answer{res.StatusCode, res.Header.Get("X-Request-Ran"), err}
		}()
	}
	eventually(t, "the requests are open", func() bool { return h.gateway.OpenRequests() == requests })
	stop()
	if err := <-done; err == nil || !strings.Contains(err.Error(), "--drain-timeout") {
		t.Errorf("got %v", err)
	}
	counts := map[string]int{}
	for range requests {
		a := <-answers
		if a.err != nil {
			t.Errorf("a request was cut: %v", a.err)
		}
		counts[fmt.Sprint(a.status, " ", a.ran)]++
	}
	if counts["504 may have run"] == 0 || counts["503 not run"] == 0 || counts["504 may have run"]+counts["503 not run"] != requests {
		t.Errorf("answers %v, want 504 for those at the engine and 503 for those that wait", counts)
	}
}
