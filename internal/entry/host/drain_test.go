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
	"shallotramp/internal/platform/fake"
)

// TestPlannedStopCutsNothing stops a host while streams are open and new requests go on coming.
func TestPlannedStopCutsNothing(t *testing.T) {
	e := enginefake.NewEngine(enginefake.Config{Name: "e", Models: []string{"m"}, Slots: 256, TokenInterval: 2 * time.Millisecond})
	srv := httptest.NewServer(e)
	defer srv.Close()
	st := fake.NewStore()
	set := object.NewSet()
	if errs := object.Read(set, "test", strings.NewReader(sample)); len(errs) > 0 {
		t.Fatal(errs)
	}
	set.Pools["models"].Concurrency = 256
	set.BackendServers["engine-1"].Address = netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	set.Routes["m"].Open = true
	if _, err := release.Publish(context.Background(), st, release.Change{Set: set, Author: "test"}, time.Now()); err != nil {
		t.Fatal(err)
	}
	h, err := New(Config{Name: "h", Zone: "mid-a", Callers: loopback, Operators: loopback, DrainDelay: 300 * time.Millisecond, DrainTimeout: 30 * time.Second}, st, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	eventually(t, "the host is ready", func() bool { return h.Status().Ready })

	var cut, whole, refused atomic.Int64
	var wg sync.WaitGroup
	ask := func(tokens int) {
		body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":"tokens=%d"}]}`, tokens)
		res, err := http.Post(h.CallersURL()+"/v1/chat/completions", "application/json", strings.NewReader(body))
		if err != nil {
			// The listener is closed: the balancer sends callers to other hosts by now.
			refused.Add(1)
			return
		}
		defer res.Body.Close()
		b, err := io.ReadAll(res.Body)
		if err != nil || !strings.HasSuffix(string(b), "data: [DONE]\n\n") {
			cut.Add(1)
			t.Errorf("cut: %v, %.200s", err, b)
			return
		}
		whole.Add(1)
	}
	for range 20 {
		wg.Go(func() { ask(600) })
	}
	eventually(t, "the streams are open", func() bool { return h.gateway.Open() == 20 })
	load, endLoad := context.WithCancel(context.Background())
	wg.Go(func() {
		for load.Err() == nil {
			wg.Go(func() { ask(20) })
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
	if cut.Load() > 0 || whole.Load() < 20 {
		t.Errorf("%d cut, %d whole, %d not accepted", cut.Load(), whole.Load(), refused.Load())
	}
}

func TestDrainTimeoutIsSaid(t *testing.T) {
	e := enginefake.NewEngine(enginefake.Config{Name: "e", Models: []string{"m"}, Slots: 1, TokenInterval: time.Second})
	srv := httptest.NewServer(e)
	defer srv.Close()
	st := fake.NewStore()
	set := object.NewSet()
	_ = object.Read(set, "test", strings.NewReader(sample))
	set.BackendServers["engine-1"].Address = netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	set.Routes["m"].Open = true
	if _, err := release.Publish(context.Background(), st, release.Change{Set: set}, time.Now()); err != nil {
		t.Fatal(err)
	}
	h, err := New(Config{Name: "h", Zone: "mid-a", Callers: loopback, Operators: loopback, DrainTimeout: 50 * time.Millisecond}, st, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	eventually(t, "the host is ready", func() bool { return h.Status().Ready })
	go func() {
		res, err := http.Post(h.CallersURL()+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"tokens=30"}]}`))
		if err == nil {
			_ = res.Body.Close()
		}
	}()
	eventually(t, "the request is open", func() bool { return h.gateway.Open() == 1 })
	stop()
	if err := <-done; err == nil || !strings.Contains(err.Error(), "--drain-timeout") {
		t.Errorf("got %v", err)
	}
}
