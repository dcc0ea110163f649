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

// yard plays a platform that carries orders out at once.
type yard struct {
	svc     *route.Service
	p       *supply.Planner
	now     time.Time
	servers []backend.Server
	serial  int
	// dry zones have no reclaimable servers.
	dry    map[string]bool
	orders []supply.Order
}

func newYard(least, most int, found map[string]int) *yard {
	prices := map[string]float64{}
	y := &yard{p: supply.New(), now: start, dry: map[string]bool{}}
	for z, n := range found {
		prices[z] = 1
		y.set(supply.ServerGroup{Service: "pool", Zone: z}, n)
	}
	y.svc = &route.Service{Name: "pool", Scaling: &route.Scaling{Min: least, Max: most, SpotPrice: 0.2, Prices: prices}}
	return y
}

func (y *yard) count(zone string, spot bool) int {
	n := 0
	for _, s := range y.servers {
		if s.Zone == zone && s.Spot == spot {
			n++
		}
	}
	return n
}

// set makes a place have n servers.
func (y *yard) set(at supply.ServerGroup, n int) {
	for y.count(at.Zone, at.Spot) > n {
		i := slices.IndexFunc(y.servers, func(s backend.Server) bool { return s.Zone == at.Zone && s.Spot == at.Spot })
		y.servers = slices.Delete(y.servers, i, i+1)
	}
	for y.count(at.Zone, at.Spot) < n {
		y.serial++
		y.servers = append(y.servers, backend.Server{
			ID: fmt.Sprint(y.serial), Service: at.Service, Zone: at.Zone, Spot: at.Spot, Addr: netip.MustParseAddrPort("10.0.0.1:80"),
		})
	}
}

// run lets d pass under a load, in steps of a quarter of a second.
func (y *yard) run(d time.Duration, load supply.Load) {
	for end := y.now.Add(d); y.now.Before(end); y.now = y.now.Add(250 * time.Millisecond) {
		for _, o := range y.p.Plan(y.now, y.svc, y.servers, load) {
			if o.Spot && o.Count > y.count(o.Zone, true) && y.dry[o.Zone] {
				y.p.Refused(y.now, o)
				continue
			}
			y.orders = append(y.orders, o)
			y.p.Confirmed(y.now, o)
			y.set(o.ServerGroup, o.Count)
		}
	}
}

func TestSupply(t *testing.T) {
	convey.Convey("A zone with regular servers", t, func() {
		y := newYard(1, 60, map[string]int{"a": 30})
		convey.Convey("gets no order before the list of servers can be whole", func() {
			y.run(2*time.Second, nil)
			convey.So(y.orders, convey.ShouldBeEmpty)
		})
		convey.Convey("keeps as many while nothing is known of its load, reclaimable ones", func() {
			y.run(9*time.Second, nil)
			convey.So(y.count("a", true), convey.ShouldEqual, 30)
			convey.So(y.count("a", false), convey.ShouldEqual, 0)
		})
		convey.Convey("follows the load when it has been known for a while", func() {
			y.run(9*time.Second, nil)
			y.run(25*time.Second, supply.Load{"a": 4})
			convey.So(y.count("a", true), convey.ShouldEqual, 13)
			convey.Convey("up at once", func() {
				y.run(time.Second, supply.Load{"a": 8})
				convey.So(y.count("a", true), convey.ShouldEqual, 23)
			})
			convey.Convey("and down later than a burst lasts", func() {
				y.run(2*time.Second, supply.Load{"a": 8})
				y.run(8*time.Second, supply.Load{"a": 1})
				convey.So(y.count("a", true), convey.ShouldEqual, 23)
				y.run(20*time.Second, supply.Load{"a": 1})
				convey.So(y.count("a", true), convey.ShouldEqual, 6)
			})
			convey.Convey("never above the bound", func() {
				y.run(2*time.Second, supply.Load{"a": 100})
				convey.So(y.count("a", true)+y.count("a", false), convey.ShouldEqual, 60)
			})
		})
	})
}

// TestReclaim replays the loss of all reclaimable servers of a zone while none are to be had.
func TestReclaim(t *testing.T) {
	convey.Convey("A zone whose reclaimable servers are taken away", t, func() {
		y := newYard(1, 6, map[string]int{"a": 3, "b": 3})
		load := supply.Load{"a": 0.8, "b": 0.8}
		y.run(30*time.Second, load)
		convey.So(y.count("a", true), convey.ShouldEqual, 5)
		y.dry["a"] = true
		y.set(supply.ServerGroup{Service: "pool", Zone: "a", Spot: true}, 0)
		y.run(2*time.Second, load)
		convey.Convey("gets a regular one to stand in", func() {
			convey.So(y.count("a", false), convey.ShouldEqual, 1)
			convey.So(y.count("b", true), convey.ShouldEqual, 5)
		})
		convey.Convey("is not asked for at each step", func() {
			before := len(y.orders)
			y.run(10*time.Second, load)
			convey.So(len(y.orders)-before, convey.ShouldBeLessThan, 5)
		})
		convey.Convey("has reclaimable ones again as soon as there are any, and the regular one goes", func() {
			y.dry["a"] = false
			y.run(5*time.Second, load)
			convey.So(y.count("a", true), convey.ShouldEqual, 5)
			convey.So(y.count("a", false), convey.ShouldEqual, 0)
		})
	})
}

func TestNoScaling(t *testing.T) {
	if got := supply.New().Plan(start, &route.Service{Name: "app"}, nil, nil); got != nil {
		t.Fatalf("orders %v for a service whose servers cannot be ordered", got)
	}
}
