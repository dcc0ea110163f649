package stock_test

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
	"shallotramp/internal/capacity/sizing"
	"shallotramp/internal/capacity/stock"
	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/provider/fake"
	"shallotramp/internal/provider/ordering"
)

// load is what hosts would tell.
type load struct {
	requests atomic.Pointer[map[string]int]
}

func (l *load) Requests(string) map[string]int { return *l.requests.Load() }
func (l *load) Outstanding() map[string]int    { return nil }

// direct hands orders to the ordering interface as a controller does in the end.
type direct struct{ yard *fake.OrderingAPI }

func (d direct) Order(ctx context.Context, o order.Order) error {
	d.yard.Send(ctx, order.Intent{Name: time.Now().String() + o.Receiver + o.Server + o.Pool + order.Zone(o.Zone), Order: o})
	return nil
}

// bench is a pool of two zones with one server each, and an ordering interface.
type bench struct {
	store *fake.Store
	yard  *fake.OrderingAPI
	load  *load
	stock *stock.Stock
}

func newBench(t *testing.T) *bench {
	t.Helper()
	port := uint16(100)
	b := &bench{store: fake.NewStore(), load: &load{}}
	b.yard = fake.NewOrderingAPI(func(string, string) (netip.AddrPort, error) {
		port++
		return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), nil
	})
	b.load.requests.Store(&map[string]int{})
	set := object.NewSet()
	set.Classes["firm"] = &object.ClassSpec{Name: "firm", Tier: 1}
	set.Classes["flexible"] = &object.ClassSpec{Name: "flexible", Tier: 2, Reclaimable: true}
	set.Pools["p"] = &object.PoolSpec{Name: "p", Protocol: object.Engine, Concurrency: 8, MinServers: 2, MaxServers: 12, MaxReclaimable: 0.5}
	for i, zone := range []string{"a", "b"} {
		s := &object.BackendServerSpec{Name: "s-" + zone, Pool: "p", Zone: zone, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))}
		set.BackendServers[s.Name] = s
		b.yard.Put(ordering.Server{Name: s.Name, Pool: "p", Zone: zone, Address: s.Address})
	}
	if _, err := release.Publish(t.Context(), b.store, release.Publication{Set: set, Author: "operator"}, time.Now()); err != nil {
		t.Fatal(err)
	}
	b.stock = stock.New(b.store, b.yard, "", direct{b.yard}, b.load)
	return b
}

// servers returns how many servers the release in force has, and how many of them leave.
func (b *bench) servers(t *testing.T) (all, leaving int) {
	t.Helper()
	_, set, err := release.Load(t.Context(), b.store, 0)
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

// TestPoolFollowsDemand lets the planner size a pool for an hour of much work and hours of little.
func TestPoolFollowsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		p := planner.New(sizing.DefaultSettings(), b.stock, b.stock, func(time.Time) bool { return true }, zerolog.Nop())
		go p.Run(ctx, done)
		b.load.requests.Store(&map[string]int{"firm": 24, "flexible": 16})
		time.Sleep(time.Hour)
		much, _ := b.servers(t)
		b.load.requests.Store(&map[string]int{"firm": 1})
		time.Sleep(12 * time.Hour)
		little, _ := b.servers(t)
		t.Logf("%d servers for 40 requests, %d after hours of one", much, little)
		// 40 requests on servers of 8 places are 5 servers' work.
		if much < 5 || much > 12 {
			t.Errorf("%d servers for the work of 5, of at most 12", much)
		}
		if little >= much || little < 2 {
			t.Errorf("%d servers after hours of little work, %d before, at least 2", little, much)
		}
		stop()
		<-done
	})
}

func TestReleaseKeepsStep(t *testing.T) {
	b := newBench(t)
	if err := (direct{b.yard}).Order(t.Context(), order.Order{Action: order.StartServers, Pool: "p", Zone: "a", Count: 2, Reclaimable: true}); err != nil {
		t.Fatal(err)
	}
	pools, err := b.stock.Pools(t.Context())
	if err != nil || len(pools) != 1 || len(pools[0].Servers) != 4 {
		t.Fatalf("%+v, %v", pools, err)
	}
	if all, _ := b.servers(t); all != 4 {
		t.Errorf("%d servers are in the release, want 4", all)
	}
	for range 2 { // the second drain changes nothing
		if err := b.stock.Drain(t.Context(), "s-a", true); err != nil {
			t.Fatal(err)
		}
	}
	if _, leaving := b.servers(t); leaving != 1 {
		t.Errorf("%d servers leave, want 1", leaving)
	}
	head, _, _ := release.ReadHead(t.Context(), b.store)
	if head.Number != 3 {
		t.Errorf("release %d, want 3: one for the servers, one for the drain", head.Number)
	}
	b.yard.Reclaim("p-ordered-1")
	if _, err := b.stock.Pools(t.Context()); err != nil {
		t.Fatal(err)
	}
	if all, _ := b.servers(t); all != 3 {
		t.Errorf("%d servers are in the release after one was reclaimed, want 3", all)
	}
	b.yard.Reclaim("s-b")
	if _, err := b.stock.Pools(t.Context()); err != nil {
		t.Fatal(err)
	}
	if all, _ := b.servers(t); all != 3 {
		t.Error("a server that an operator configured was removed")
	}
}
