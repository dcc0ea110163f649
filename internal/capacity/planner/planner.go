// Package planner turns demand into orders for backend servers: it predicts the
// demand on each pool, sizes the pool, starts what is missing, and drains servers
// before it stops them. It runs on the host that gives orders.
package planner

import (
	"context"
	"sort"
	"time"

	"github.com/rs/zerolog"

	"shallotramp/internal/capacity/forecast"
	"shallotramp/internal/capacity/order"
	"shallotramp/internal/capacity/sizing"
)

const (
	// interval is the time between two decisions.
	interval = time.Minute
	// startTime is how long a server takes from its order to its first request.
	startTime = 5 * time.Minute
	// lookahead is how far beyond the start of a server ordered now demand is predicted.
	lookahead = 10 * time.Minute
	// pendingTime is how long an order for servers counts as servers that start, if they do not appear.
	pendingTime = 2 * startTime
	// drainTime is the longest drain, after which a server is stopped with work open.
	drainTime = 10 * time.Minute
)

// Server is one backend server that the platform runs, or starts, for a pool.
type Server struct {
	Name     string
	Group    sizing.ServerGroup
	Starting bool
	Draining bool
	// Outstanding counts the requests on it, over all hosts.
	Outstanding int
}

// Pool is one pool as seen now.
type Pool struct {
	Name   string
	Bounds sizing.Bounds
	// Zones of the pool, and those of them that can be reached.
	Zones  []string
	Usable map[string]bool
	// Demand is the work that arrives now, in servers busy to the full.
	Demand  sizing.Demand
	Servers []Server
}

// Command is one thing to do: an order, or the drain of a server, to begin or to end.
type Command struct {
	Order  *order.Order
	Server string
	Drain  bool
}

// pool is the memory of one pool.
type pool struct {
	sizer     *sizing.Sizer
	firm      *forecast.Forecast
	flexible  *forecast.Forecast
	pending   []pending
	draining  map[string]time.Time
	stopped   map[string]time.Time
	lastNames map[string]bool
}

// pending is a server that was ordered and has not appeared yet.
type pending struct {
	place sizing.ServerGroup
	at    time.Time
}

// Core decides for all pools. It does no I/O and is used by one goroutine.
type Core struct {
	set   sizing.Settings
	pools map[string]*pool
}

// NewCore returns a Core that knows nothing of earlier demand.
func NewCore(set sizing.Settings) *Core { return &Core{set: set, pools: map[string]*pool{}} }

// Decide returns the steps for a pool.
func (c *Core) Decide(now time.Time, in Pool) []Command {
	p := c.pool(in)
	p.firm.Observe(now, in.Demand.Firm)
	p.flexible.Observe(now, in.Demand.Flexible)
	p.appear(now, in.Servers)
	const horizon = startTime + lookahead
	d := sizing.Demand{Firm: p.firm.Peak(now, horizon), Flexible: p.flexible.Peak(now, horizon)}
	var out []Command
	for _, ch := range p.sizer.Decide(now, d, p.counts(in.Servers), in.Usable) {
		out = append(out, p.change(now, in, ch)...)
	}
	return append(out, p.stops(now, in.Servers)...)
}

func (c *Core) pool(in Pool) *pool {
	p, ok := c.pools[in.Name]
	if !ok {
		p = &pool{
			firm: forecast.New(), flexible: forecast.New(),
			draining: map[string]time.Time{}, stopped: map[string]time.Time{}, lastNames: map[string]bool{},
		}
		c.pools[in.Name] = p
	}
	if p.sizer == nil || !p.sizer.Matches(in.Bounds, in.Zones) {
		p.sizer = sizing.New(c.set, in.Bounds, in.Zones)
	}
	return p
}

// appear takes servers that are new off the pending ones of their place.
func (p *pool) appear(now time.Time, servers []Server) {
	names := map[string]bool{}
	for _, s := range servers {
		names[s.Name] = true
		if p.lastNames[s.Name] {
			continue
		}
		for i, w := range p.pending {
			if w.place == s.Group {
				p.pending = append(p.pending[:i], p.pending[i+1:]...)
				break
			}
		}
	}
	p.lastNames = names
	for len(p.pending) > 0 && now.Sub(p.pending[0].at) > pendingTime {
		p.pending = p.pending[1:]
	}
	for n := range p.draining {
		if !names[n] {
			delete(p.draining, n)
			delete(p.stopped, n)
		}
	}
}

func (p *pool) counts(servers []Server) map[sizing.ServerGroup]sizing.Count {
	out := map[sizing.ServerGroup]sizing.Count{}
	for _, s := range servers {
		c := out[s.Group]
		switch {
		case !p.stopped[s.Name].IsZero():
		case s.Draining:
			c.Draining++
		case s.Starting:
			c.Starting++
		default:
			c.Running++
		}
		out[s.Group] = c
	}
	for _, w := range p.pending {
		c := out[w.place]
		c.Starting++
		out[w.place] = c
	}
	return out
}

// change turns one change of size into steps.
func (p *pool) change(now time.Time, in Pool, ch sizing.Change) []Command {
	var out []Command
	if ch.Start > 0 {
		out = append(out, Command{Order: &order.Order{
			Action: order.StartServers, Receiver: order.ZoneReceiver(ch.Group.Zone), Pool: in.Name, Zone: ch.Group.Zone,
			Count: ch.Start, Reclaimable: ch.Group.Kind == sizing.Reclaimable,
		}})
		for range ch.Start {
			p.pending = append(p.pending, pending{ch.Group, now})
		}
	}
	for _, s := range p.pick(in.Servers, ch.Group, true, ch.Undrain) {
		delete(p.draining, s)
		out = append(out, Command{Server: s})
	}
	for _, s := range p.pick(in.Servers, ch.Group, false, ch.Drain) {
		out = append(out, Command{Server: s, Drain: true})
	}
	return out
}

// pick returns n servers of a place that drain, or do not, those with the least open work first.
func (p *pool) pick(servers []Server, at sizing.ServerGroup, draining bool, n int) []string {
	var list []Server
	for _, s := range servers {
		if s.Group == at && s.Draining == draining && !s.Starting && p.stopped[s.Name].IsZero() {
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Outstanding < list[j].Outstanding || list[i].Outstanding == list[j].Outstanding && list[i].Name < list[j].Name
	})
	var out []string
	for _, s := range list[:min(n, len(list))] {
		out = append(out, s.Name)
	}
	return out
}

// stops orders the end of servers that have drained. An order that had no effect is repeated.
func (p *pool) stops(now time.Time, servers []Server) []Command {
	var out []Command
	for _, s := range servers {
		if !s.Draining {
			delete(p.draining, s.Name)
			continue
		}
		since, ok := p.draining[s.Name]
		if !ok {
			p.draining[s.Name] = now
			continue
		}
		if s.Outstanding > 0 && now.Sub(since) < drainTime {
			continue
		}
		if at := p.stopped[s.Name]; !at.IsZero() && now.Sub(at) < drainTime {
			continue
		}
		p.stopped[s.Name] = now
		out = append(out, Command{Order: &order.Order{
			Action: order.StopServer, Receiver: order.ZoneReceiver(s.Group.Zone), Zone: s.Group.Zone, Server: s.Name,
		}})
	}
	return out
}

// PoolSource tells what there is. Its servers must include those that the platform starts, as soon as their order is carried out.
type PoolSource interface {
	Pools(ctx context.Context) ([]Pool, error)
}

// Executor carries steps out. Order fails on a host that is not in charge.
type Executor interface {
	Order(ctx context.Context, o order.Order) error
	// Drain keeps new work off a server, on all hosts, or ends that.
	Drain(ctx context.Context, server string, drain bool) error
}

// Planner runs a [Core] once a minute. Create it with [New].
type Planner struct {
	core  *Core
	view  PoolSource
	actor Executor
	held  func(now time.Time) bool
	log   zerolog.Logger
}

// New returns a Planner that acts while held reports that this host gives orders.
func New(set sizing.Settings, v PoolSource, a Executor, held func(now time.Time) bool, log zerolog.Logger) *Planner {
	return &Planner{core: NewCore(set), view: v, actor: a, held: held, log: log}
}

// Run plans until ctx ends and then reports on done.
func (p *Planner) Run(ctx context.Context, done chan<- error) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			p.plan(ctx, now)
		case <-ctx.Done():
			done <- nil
			return
		}
	}
}

func (p *Planner) plan(ctx context.Context, now time.Time) {
	if !p.held(now) {
		return
	}
	pools, err := p.view.Pools(ctx)
	if err != nil {
		p.log.Warn().Err(err).Msg("pools not known; servers stay as they are")
		return
	}
	for _, in := range pools {
		if in.Bounds.Min == 0 && in.Bounds.Max == 0 {
			continue
		}
		for _, s := range p.core.Decide(now, in) {
			if err := p.do(ctx, s); err != nil {
				p.log.Warn().Err(err).Str("Pool", in.Name).Msg("a step of the plan failed; planning anew")
			}
		}
	}
}

func (p *Planner) do(ctx context.Context, s Command) error {
	if s.Order != nil {
		return p.actor.Order(ctx, *s.Order)
	}
	return p.actor.Drain(ctx, s.Server, s.Drain)
}
