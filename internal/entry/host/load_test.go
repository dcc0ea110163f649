package host

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	enginefake "shallotramp/internal/engine/fake"
	"shallotramp/internal/platform/fake"
)

// TestLeavingServerGetsNoNewWork sends requests to a host before two engines, of which one announces that it leaves.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	set := object.NewSet()
	if errs := object.Read(set, "test", strings.NewReader(sample)); len(errs) > 0 {
		t.Fatal(errs)
	}
	set.Routes["m"].Open = true
	engines := map[string]*enginefake.Engine{}
	for _, name := range []string{"engine-1", "engine-2"} {
		engines[name] = enginefake.NewEngine(enginefake.Config{Name: name, Models: []string{"m"}, Slots: 8, TokenInterval: time.Millisecond})
		srv := httptest.NewServer(engines[name])
		defer srv.Close()
		spec := *set.BackendServers["engine-1"]
		spec.Name, spec.Address = name, netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
		set.BackendServers[name] = &spec
	}
	st := fake.NewStore()
	if _, err := release.Publish(context.Background(), st, release.Change{Set: set}, time.Now()); err != nil {
		t.Fatal(err)
	}
	h, err := New(Config{Name: "h", Zone: "mid-a", Callers: loopback, Operators: loopback, DrainTimeout: time.Second}, st, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	defer func() {
		stop()
		<-done
	}()
	eventually(t, "the host is ready", func() bool { return h.Status().Ready })
	// send returns how many of n requests each engine got.
	send := func(n int) map[string]int {
		before := map[string]int{}
		for name, e := range engines {
			before[name] = len(e.Counts())
		}
		for range n {
			res, err := http.Post(h.CallersURL()+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"tokens=2"}]}`))
			if err != nil {
				t.Fatal(err)
			}
			_ = res.Body.Close()
		}
		for name, e := range engines {
			before[name] = len(e.Counts()) - before[name]
		}
		return before
	}
	if got := send(40); got["engine-1"] == 0 || got["engine-2"] == 0 {
		t.Errorf("before the notice the engines got %v", got)
	}
	engines["engine-1"].SetFaults(enginefake.Faults{Leaving: true})
	eventually(t, "the notice is known", func() bool { return send(30)["engine-1"] == 0 })
	if got := send(40); got["engine-1"] != 0 {
		t.Errorf("after the notice the engines got %v", got)
	}
}
