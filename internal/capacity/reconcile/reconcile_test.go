package reconcile_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"shallotramp/internal/capacity/order"
	"shallotramp/internal/capacity/planner"
	"shallotramp/internal/capacity/reconcile"
	"shallotramp/internal/capacity/sizing"
	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/provider/fake"
	"shallotramp/internal/provider/ordering"
)

// fakeLoad is a LoadSource with settable requests.
type fakeLoad struct {
	requests atomic.Pointer[map[string]int]
}

func (l *fakeLoad) Requests(string) map[string]int { return *l.requests.Load() }
func (l *fakeLoad) Outstanding() map[string]int    { return nil }

// directOrderer sends orders to the ordering interface directly, without a controller.
type directOrderer struct{ api *fake.OrderingAPI }

func (a directOrderer) Order(ctx context.Context, o order.Order) error {
	a.api.Send(ctx, order.Intent{Name: time.Now().String() + o.Receiver + o.Server + o.Pool + order.ZoneReceiver(o.Zone), Order: o})
	return nil
}

// testSetup is a pool with one server in each of two zones, and a fake ordering interface.
type testSetup struct {
	store      *fake.Store
	api        *fake.OrderingAPI
	load       *fakeLoad
	reconciler *reconcile.Reconciler
}

func newTestSetup(t *testing.T) *testSetup {
	t.Helper()
	port := uint16(100)
	ts := &testSetup{store: fake.NewStore(), load: &fakeLoad{}}
	ts.api = fake.NewOrderingAPI(func(string, string) (netip.AddrPort, error) {
		port++
		return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), nil
	})
	ts.load.requests.Store(&map[string]int{})
	set := object.NewSet()
	set.Classes["firm"] = &object.ClassSpec{Name: "firm", Tier: 1}
	set.Classes["flexible"] = &object.ClassSpec{Name: "flexible", Tier: 2, Reclaimable: true}
	set.Pools["p"] = &object.PoolSpec{Name: "p", Protocol: object.Engine, Concurrency: 8, MinServers: 2, MaxServers: 12, MaxReclaimable: 0.5}
	for i, zone := range []string{"a", "b"} {
		s := &object.BackendServerSpec{Name: "s-" + zone, Pool: "p", Zone: zone, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))}
		set.BackendServers[s.Name] = s
		ts.api.Put(ordering.Server{Name: s.Name, Pool: "p", Zone: zone, Address: s.Address})
	}
	if _, err := release.Publish(t.Context(), ts.store, release.Publication{Set: set, Author: "operator"}, time.Now()); err != nil {
		t.Fatal(err)
	}
	ts.reconciler = reconcile.New(ts.store, ts.api, "", directOrderer{ts.api}, ts.load)
	return ts
}

// servers returns the number of servers in the current release, and how many of them are leaving.
func (ts *testSetup) servers(t *testing.T) (all, leaving int) {
	t.Helper()
	_, set, err := release.Load(t.Context(), ts.store, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range set.BackendServers {
		all++
		if s.Leaving {
			leaving++
		}
	}
	return all, leaving
}

// TestPoolFollowsDemand checks that the planner scales a pool up during an hour of high demand, and down in the hours
// of low demand that follow.
func TestPoolFollowsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSetup(t)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		p := planner.New(sizing.DefaultSettings(), ts.reconciler, ts.reconciler, func(time.Time) bool { return true }, zerolog.Nop())
		go p.Run(ctx, done)
		ts.load.requests.Store(&map[string]int{"firm": 24, "flexible": 16})
		time.Sleep(time.Hour)
		busy, _ := ts.servers(t)
		ts.load.requests.Store(&map[string]int{"firm": 1})
		time.Sleep(12 * time.Hour)
		idle, _ := ts.servers(t)
		t.Logf("%d servers for 40 requests, %d after 12 hours with one request", busy, idle)
		// 40 requests fill 5 servers with a concurrency of 8.
		if busy < 5 || busy > 12 {
			t.Errorf("%d servers for 40 requests, want 5 to 12", busy)
		}
		if idle >= busy || idle < 2 {
			t.Errorf("%d servers after hours of low demand, want fewer than the %d before and at least 2", idle, busy)
		}
		stop()
		<-done
	})
}

// TestReleaseFollowsPlatform checks that the release follows the servers that the platform runs, without needless
// releases and without removing servers that an operator configured.
func TestReleaseFollowsPlatform(t *testing.T) {
	ts := newTestSetup(t)
	if err := (directOrderer{ts.api}).Order(t.Context(), order.Order{Action: order.StartServers, Pool: "p", Zone: "a", Count: 2, Reclaimable: true}); err != nil {
		t.Fatal(err)
	}
	pools, err := ts.reconciler.Pools(t.Context())
	if err != nil || len(pools) != 1 || len(pools[0].Servers) != 4 {
		t.Fatalf("%+v, %v", pools, err)
	}
	if all, _ := ts.servers(t); all != 4 {
		t.Errorf("%d servers are in the release, want 4", all)
	}
	for range 2 { // the second drain changes nothing
		if err := ts.reconciler.Drain(t.Context(), "s-a", true); err != nil {
			t.Fatal(err)
		}
	}
	if _, leaving := ts.servers(t); leaving != 1 {
		t.Errorf("%d servers are leaving, want 1", leaving)
	}
	head, _, _ := release.ReadHead(t.Context(), ts.store)
	if head.Number != 3 {
		t.Errorf("release %d, want 3: one for the servers, one for the drain", head.Number)
	}
	ts.api.Reclaim("p-ordered-1")
	if _, err := ts.reconciler.Pools(t.Context()); err != nil {
		t.Fatal(err)
	}
	if all, _ := ts.servers(t); all != 3 {
		t.Errorf("%d servers are in the release after one was reclaimed, want 3", all)
	}
	ts.api.Reclaim("s-b")
	if _, err := ts.reconciler.Pools(t.Context()); err != nil {
		t.Fatal(err)
	}
	if all, _ := ts.servers(t); all != 3 {
		t.Error("a server that an operator configured was removed")
	}
}
