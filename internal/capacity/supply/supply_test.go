package supply_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/capacity/supply"
	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/route"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// fakePlatform is a platform that carries out orders at once.
type fakePlatform struct {
	svc     *route.Service
	planner *supply.Planner
	now     time.Time
	servers []backend.Server
	lastID  int
	// noSpot holds the zones that have no spot servers to order.
	noSpot map[string]bool
	orders []supply.Order
}

func newFakePlatform(minServers, maxServers int, regular map[string]int) *fakePlatform {
	prices := map[string]float64{}
	f := &fakePlatform{planner: supply.New(), now: start, noSpot: map[string]bool{}}
	for z, n := range regular {
		prices[z] = 1
		f.setServers(supply.ServerGroup{Service: "pool", Zone: z}, n)
	}
	f.svc = &route.Service{Name: "pool", Scaling: &route.Scaling{Min: minServers, Max: maxServers, SpotPrice: 0.2, Prices: prices}}
	return f
}

func (p *fakePlatform) count(zone string, spot bool) int {
	n := 0
	for _, s := range p.servers {
		if s.Zone == zone && s.Spot == spot {
			n++
		}
	}
	return n
}

// setServers adds or removes servers until the group has n.
func (p *fakePlatform) setServers(group supply.ServerGroup, n int) {
	for p.count(group.Zone, group.Spot) > n {
		i := slices.IndexFunc(p.servers, func(s backend.Server) bool { return s.Zone == group.Zone && s.Spot == group.Spot })
		p.servers = slices.Delete(p.servers, i, i+1)
	}
	for p.count(group.Zone, group.Spot) < n {
		p.lastID++
		p.servers = append(p.servers, backend.Server{
			ID: fmt.Sprint(p.lastID), Service: group.Service, Zone: group.Zone, Spot: group.Spot, Addr: netip.MustParseAddrPort("10.0.0.1:80"),
		})
	}
}

// run calls the planner every 250 ms for the duration d at a constant load, and carries out its orders.
func (p *fakePlatform) run(d time.Duration, load supply.Load) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(250 * time.Millisecond) {
		for _, o := range p.planner.Plan(p.now, p.svc, p.servers, load) {
			if o.Spot && o.Count > p.count(o.Zone, true) && p.noSpot[o.Zone] {
				p.planner.Rejected(p.now, o)
				continue
			}
			p.orders = append(p.orders, o)
			p.planner.Confirmed(p.now, o)
			p.setServers(o.ServerGroup, o.Count)
		}
	}
}

func TestSupply(t *testing.T) {
	convey.Convey("A zone with regular servers", t, func() {
		f := newFakePlatform(1, 60, map[string]int{"a": 30})
		convey.Convey("gets no order before the list of servers can be complete", func() {
			f.run(2*time.Second, nil)
			convey.So(f.orders, convey.ShouldBeEmpty)
		})
		convey.Convey("keeps as many servers while its load is unknown, as spot servers", func() {
			f.run(9*time.Second, nil)
			convey.So(f.count("a", true), convey.ShouldEqual, 30)
			convey.So(f.count("a", false), convey.ShouldEqual, 0)
		})
		convey.Convey("follows the load once that has been known for a while", func() {
			f.run(9*time.Second, nil)
			f.run(25*time.Second, supply.Load{"a": 4})
			convey.So(f.count("a", true), convey.ShouldEqual, 13)
			convey.Convey("up at once", func() {
				f.run(time.Second, supply.Load{"a": 8})
				convey.So(f.count("a", true), convey.ShouldEqual, 23)
			})
			convey.Convey("and down later than a burst lasts", func() {
				f.run(2*time.Second, supply.Load{"a": 8})
				f.run(8*time.Second, supply.Load{"a": 1})
				convey.So(f.count("a", true), convey.ShouldEqual, 23)
				f.run(20*time.Second, supply.Load{"a": 1})
				convey.So(f.count("a", true), convey.ShouldEqual, 6)
			})
			convey.Convey("never above the maximum", func() {
				f.run(2*time.Second, supply.Load{"a": 100})
				convey.So(f.count("a", true)+f.count("a", false), convey.ShouldEqual, 60)
			})
		})
	})
}

// TestReclaim checks the loss of all spot servers of a zone while the platform has no others to order there.
func TestReclaim(t *testing.T) {
	convey.Convey("A zone whose spot servers are reclaimed", t, func() {
		f := newFakePlatform(1, 6, map[string]int{"a": 3, "b": 3})
		load := supply.Load{"a": 0.8, "b": 0.8}
		f.run(30*time.Second, load)
		convey.So(f.count("a", true), convey.ShouldEqual, 5)
		f.noSpot["a"] = true
		f.setServers(supply.ServerGroup{Service: "pool", Zone: "a", Spot: true}, 0)
		f.run(2*time.Second, load)
		convey.Convey("gets a regular server as a replacement", func() {
			convey.So(f.count("a", false), convey.ShouldEqual, 1)
			convey.So(f.count("b", true), convey.ShouldEqual, 5)
		})
		convey.Convey("does not get an order at each step", func() {
			before := len(f.orders)
			f.run(10*time.Second, load)
			convey.So(len(f.orders)-before, convey.ShouldBeLessThan, 5)
		})
		convey.Convey("gets spot servers again as soon as there are any, and releases the regular one", func() {
			f.noSpot["a"] = false
			f.run(5*time.Second, load)
			convey.So(f.count("a", true), convey.ShouldEqual, 5)
			convey.So(f.count("a", false), convey.ShouldEqual, 0)
		})
	})
}

// TestOrderIsNotRepeatedDuringBoot guards against an order that is sent again while its servers start: each call to the
// platform is paid for.
func TestOrderIsNotRepeatedDuringBoot(t *testing.T) {
	const bootTime = 4 * time.Second
	p := supply.New()
	svc := &route.Service{Name: "pool", Scaling: &route.Scaling{Min: 1, Max: 60, BootTime: bootTime, SpotPrice: 0.2, Prices: map[string]float64{"a": 1}}}
	var sentAt []time.Duration
	for at := time.Duration(0); at < 20*time.Second; at += 250 * time.Millisecond {
		for _, o := range p.Plan(start.Add(at), svc, nil, nil) {
			p.Confirmed(start.Add(at), o)
			if o.Spot {
				sentAt = append(sentAt, at)
			}
		}
	}
	if len(sentAt) < 2 {
		t.Fatalf("orders at %v: an order whose servers never appear is not repeated", sentAt)
	}
	if gap := sentAt[1] - sentAt[0]; gap <= bootTime+2*time.Second {
		t.Fatalf("an order is repeated after %s, while its servers start", gap)
	}
}

func TestNoScaling(t *testing.T) {
	if got := supply.New().Plan(start, &route.Service{Name: "app"}, nil, nil); got != nil {
		t.Fatalf("orders %v for a service without scaling, want none", got)
	}
}
