// Package planner scales the pools of backend servers for hosts of the serve
// command; for those of the edge command, package supply does. It predicts the demand on
// each pool, computes the servers that the pool needs, orders the missing ones, and
// drains surplus servers before it stops them. It acts only on the host that holds
// the orders lease.
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
	// planInterval is the time between two runs of the planner.
	planInterval = time.Minute
	// serverStartTime is the time from the order of a server until it accepts requests.
	serverStartTime = 5 * time.Minute
	// forecastMargin is how far the forecast reaches beyond the start time of a server that is ordered now.
	forecastMargin = 10 * time.Minute
	// pendingTimeout is how long an ordered server that does not appear counts as starting.
	pendingTimeout = 2 * serverStartTime
	// drainTimeout is the longest time of a drain. After it a server is stopped even with requests running. It is also
	// the time after which an order to stop a server is repeated.
	drainTimeout = 10 * time.Minute
)

// Server is one backend server that the platform runs or starts for a pool.
type Server struct {
	Name     string
	Group    sizing.ServerGroup
	Starting bool
	Draining bool
	// Outstanding is the number of requests that the server runs for all hosts.
	Outstanding int
}

// Pool is the current state of one pool.
type Pool struct {
	Name   string
	Bounds sizing.Bounds
	// Zones lists the availability zones of the pool. Usable is true for those that can be reached.
	Zones  []string
	Usable map[string]bool
	// Demand is the current demand.
	Demand  sizing.Demand
	Servers []Server
}

// Command is an order if Order is set. Otherwise it starts or ends the drain of Server.
type Command struct {
	Order  *order.Order
	Server string
	Drain  bool
}

// poolState is what the planner remembers of one pool.
type poolState struct {
	sizer    *sizing.Sizer
	firm     *forecast.Forecast
	flexible *forecast.Forecast
	pending  []pending
	// drainingSince and stopOrderedAt have the servers' names as keys. previousNames are those of the last decision.
	drainingSince map[string]time.Time
	stopOrderedAt map[string]time.Time
	previousNames map[string]bool
}

// pending is an ordered server that the platform does not list yet.
type pending struct {
	group     sizing.ServerGroup
	orderedAt time.Time
}

// Core makes the decisions for all pools. It does no I/O and is not safe for concurrent use.
type Core struct {
	settings sizing.Settings
	pools    map[string]*poolState
}

// NewCore returns a Core without a history of demand.
func NewCore(settings sizing.Settings) *Core {
	return &Core{settings: settings, pools: map[string]*poolState{}}
}

// Decide returns the commands for a pool.
func (c *Core) Decide(now time.Time, in Pool) []Command {
	p := c.pool(in)
	p.firm.Observe(now, in.Demand.Firm)
	p.flexible.Observe(now, in.Demand.Flexible)
	p.reconcilePending(now, in.Servers)
	const horizon = serverStartTime + forecastMargin
	d := sizing.Demand{Firm: p.firm.Peak(now, horizon), Flexible: p.flexible.Peak(now, horizon)}
	var out []Command
	for _, ch := range p.sizer.Decide(now, d, p.countByGroup(in.Servers), in.Usable) {
		out = append(out, p.commandsFor(now, in, ch)...)
	}
	return append(out, p.stopDrained(now, in.Servers)...)
}

func (c *Core) pool(in Pool) *poolState {
	p, ok := c.pools[in.Name]
	if !ok {
		p = &poolState{
			firm: forecast.New(), flexible: forecast.New(),
			drainingSince: map[string]time.Time{}, stopOrderedAt: map[string]time.Time{}, previousNames: map[string]bool{},
		}
		c.pools[in.Name] = p
	}
	if p.sizer == nil || !p.sizer.Matches(in.Bounds, in.Zones) {
		p.sizer = sizing.New(c.settings, in.Bounds, in.Zones)
	}
	return p
}

// reconcilePending removes one pending server of the same group for each server that is new. It also forgets pending
// servers that have timed out and drains of servers that are gone.
func (p *poolState) reconcilePending(now time.Time, servers []Server) {
	names := map[string]bool{}
	for _, s := range servers {
		names[s.Name] = true
		if p.previousNames[s.Name] {
			continue
		}
		for i, w := range p.pending {
			if w.group == s.Group {
				p.pending = append(p.pending[:i], p.pending[i+1:]...)
				break
			}
		}
	}
	p.previousNames = names
	for len(p.pending) > 0 && now.Sub(p.pending[0].orderedAt) > pendingTimeout {
		p.pending = p.pending[1:]
	}
	for n := range p.drainingSince {
		if !names[n] {
			delete(p.drainingSince, n)
			delete(p.stopOrderedAt, n)
		}
	}
}

// countByGroup counts the servers by group and state, without those that were ordered to stop. Pending servers count as
// starting.
func (p *poolState) countByGroup(servers []Server) map[sizing.ServerGroup]sizing.Count {
	out := map[sizing.ServerGroup]sizing.Count{}
	for _, s := range servers {
		c := out[s.Group]
		switch {
		case !p.stopOrderedAt[s.Name].IsZero():
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
		c := out[w.group]
		c.Starting++
		out[w.group] = c
	}
	return out
}

// commandsFor returns the commands that carry out a change of a group.
func (p *poolState) commandsFor(now time.Time, in Pool, ch sizing.Change) []Command {
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
	for _, s := range p.pickServers(in.Servers, ch.Group, true, ch.Undrain) {
		delete(p.drainingSince, s)
		out = append(out, Command{Server: s})
	}
	for _, s := range p.pickServers(in.Servers, ch.Group, false, ch.Drain) {
		out = append(out, Command{Server: s, Drain: true})
	}
	return out
}

// pickServers returns the names of up to n servers of a group with the given draining state, those with the fewest
// outstanding requests first. It skips servers that start and those that were ordered to stop.
func (p *poolState) pickServers(servers []Server, group sizing.ServerGroup, draining bool, n int) []string {
	var list []Server
	for _, s := range servers {
		if s.Group == group && s.Draining == draining && !s.Starting && p.stopOrderedAt[s.Name].IsZero() {
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

// stopDrained returns orders to stop the servers that have drained. It repeats an order that had no effect.
func (p *poolState) stopDrained(now time.Time, servers []Server) []Command {
	var out []Command
	for _, s := range servers {
		if !s.Draining {
			delete(p.drainingSince, s.Name)
			continue
		}
		since, ok := p.drainingSince[s.Name]
		if !ok {
			p.drainingSince[s.Name] = now
			continue
		}
		if s.Outstanding > 0 && now.Sub(since) < drainTimeout {
			continue
		}
		if orderedAt := p.stopOrderedAt[s.Name]; !orderedAt.IsZero() && now.Sub(orderedAt) < drainTimeout {
			continue
		}
		p.stopOrderedAt[s.Name] = now
		out = append(out, Command{Order: &order.Order{
			Action: order.StopServer, Receiver: order.ZoneReceiver(s.Group.Zone), Zone: s.Group.Zone, Server: s.Name,
		}})
	}
	return out
}

// PoolSource returns the state of the pools. It must include the servers that the platform starts, as soon as the
// platform has carried out their order.
type PoolSource interface {
	Pools(ctx context.Context) ([]Pool, error)
}

// Executor carries out commands.
type Executor interface {
	// Order queues an order. It fails on a host that does not hold the orders lease.
	Order(ctx context.Context, o order.Order) error
	// Drain starts or ends the drain of a server: no host sends new requests to a draining server.
	Drain(ctx context.Context, server string, drain bool) error
}

// Planner runs a [Core] at regular intervals. Create it with [New].
type Planner struct {
	core       *Core
	source     PoolSource
	executor   Executor
	holdsLease func(now time.Time) bool
	log        zerolog.Logger
}

// New returns a Planner that acts while holdsLease returns true.
func New(settings sizing.Settings, src PoolSource, ex Executor, holdsLease func(now time.Time) bool, log zerolog.Logger) *Planner {
	return &Planner{core: NewCore(settings), source: src, executor: ex, holdsLease: holdsLease, log: log}
}

// Run plans at each interval until ctx ends, and then sends nil on done.
func (p *Planner) Run(ctx context.Context, done chan<- error) {
	t := time.NewTicker(planInterval)
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
	if !p.holdsLease(now) {
		return
	}
	pools, err := p.source.Pools(ctx)
	if err != nil {
		p.log.Warn().Err(err).Msg("cannot read the state of the pools; the servers stay unchanged until the next run")
		return
	}
	for _, in := range pools {
		if in.Bounds.Min == 0 && in.Bounds.Max == 0 {
			continue
		}
		for _, s := range p.core.Decide(now, in) {
			if err := p.execute(ctx, s); err != nil {
				p.log.Warn().Err(err).Str("Pool", in.Name).Msg("cannot execute a command for the pool; the next run plans it again")
			}
		}
	}
}

func (p *Planner) execute(ctx context.Context, s Command) error {
	if s.Order != nil {
		return p.executor.Order(ctx, *s.Order)
	}
	return p.executor.Drain(ctx, s.Server, s.Drain)
}
