package planner_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/capacity/order"
	"shallotramp/internal/capacity/planner"
	"shallotramp/internal/capacity/sizing"
)

// fakePlatform starts, drains and stops servers as ordered, and counts stops of servers that are not drained.
type fakePlatform struct {
	mu      sync.Mutex
	demand  sizing.Demand
	servers []planner.Server
	started map[string]time.Time
	lastID  int
	// interrupted counts the servers that were stopped with outstanding requests or without a drain.
	interrupted, starts, stops int
}

func (p *fakePlatform) Pools(context.Context) ([]planner.Pool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.servers {
		s := &p.servers[i]
		s.Starting = time.Since(p.started[s.Name]) < 5*time.Minute
		if s.Draining && s.Outstanding > 0 {
			s.Outstanding--
		}
	}
	usable := map[string]bool{"mid-a": true, "mid-b": true, "mid-c": true}
	return []planner.Pool{{
		Name: "briefings", Bounds: sizing.Bounds{Min: 3, Max: 30, MaxReclaimable: 0.5}, Zones: []string{"mid-a", "mid-b", "mid-c"},
		Usable: usable, Demand: p.demand, Servers: append([]planner.Server(nil), p.servers...),
	}}, nil
}

func (p *fakePlatform) Order(_ context.Context, o order.Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.Action == order.StopServer {
		for i, s := range p.servers {
			if s.Name == o.Server {
				if s.Outstanding > 0 || !s.Draining {
					p.interrupted++
				}
				p.stops++
				p.servers = append(p.servers[:i], p.servers[i+1:]...)
				return nil
			}
		}
		return nil
	}
	kind := sizing.Regular
	if o.Reclaimable {
		kind = sizing.Reclaimable
	}
	for range o.Count {
		p.lastID++
		p.starts++
		name := fmt.Sprintf("runner-%d", p.lastID)
		p.started[name] = time.Now()
		p.servers = append(p.servers, planner.Server{Name: name, Group: sizing.ServerGroup{Zone: o.Zone, Kind: kind}, Starting: true, Outstanding: 3})
	}
	return nil
}

func (p *fakePlatform) Drain(_ context.Context, server string, drain bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.servers {
		if p.servers[i].Name == server {
			p.servers[i].Draining = drain
		}
	}
	return nil
}

func (p *fakePlatform) activeServers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.servers {
		if !s.Draining {
			n++
		}
	}
	return n
}

// TestDay runs a pool through low, high and low demand. It guards against orders without need at constant demand, scale
// down too soon, stops of servers that still run requests, and orders from a host that lost the lease.
func TestDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakePlatform{started: map[string]time.Time{}}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		var leaseLost atomic.Bool
		p := planner.New(sizing.DefaultSettings(), c, c, func(time.Time) bool { return !leaseLost.Load() }, zerolog.Nop())
		go p.Run(ctx, done)
		runWith := func(d sizing.Demand, span time.Duration) int {
			c.mu.Lock()
			c.demand = d
			c.mu.Unlock()
			time.Sleep(span + time.Second)
			return c.activeServers()
		}
		convey.Convey("A pool over a day", t, func() {
			low := runWith(sizing.Demand{Firm: 1.9, Flexible: 1.9}, 30*time.Minute)
			starts := c.starts
			convey.So(low, convey.ShouldBeBetween, 4, 8)
			convey.So(runWith(sizing.Demand{Firm: 1.9, Flexible: 1.9}, 3*time.Hour), convey.ShouldEqual, low)
			convey.So(c.starts, convey.ShouldEqual, starts)
			high := runWith(sizing.Demand{Firm: 5.9, Flexible: 5.9}, 2*time.Hour)
			convey.So(high, convey.ShouldBeBetween, 14, 31)
			convey.So(runWith(sizing.Demand{Firm: 1.9, Flexible: 1.9}, 20*time.Minute), convey.ShouldEqual, high)
			convey.So(runWith(sizing.Demand{Firm: 1.9, Flexible: 1.9}, 3*time.Hour), convey.ShouldEqual, low)
			convey.So(c.stops, convey.ShouldBeGreaterThan, 0)
			convey.So(c.interrupted, convey.ShouldEqual, 0)
			leaseLost.Store(true)
			starts = c.starts
			runWith(sizing.Demand{Firm: 5.9, Flexible: 5.9}, time.Hour)
			convey.So(c.starts, convey.ShouldEqual, starts)
		})
		stop()
		<-done
	})
}
