// Package reconcile reconciles the backend servers in the configuration with those that
// the platform runs. An ordered server is added to the release, the published
// version of the configuration, when it runs and removed when it is gone. A drain
// marks a server as leaving. All hosts thus learn of these changes as of any other
// change of the configuration, and a new holder of the orders lease sees which
// drains its predecessor started. The package provides the planner's
// [planner.PoolSource] and [planner.Executor].
package reconcile

import (
	"context"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/capacity/order"
	"shallotramp/internal/capacity/planner"
	"shallotramp/internal/capacity/sizing"
	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/provider/ordering"
	"shallotramp/internal/provider/store"
)

// author is the author in the release history of releases that the system publishes.
const author = "shallotramp"

// Lister lists the servers that the platform runs or starts.
type Lister interface {
	// List returns the servers of the ordering interface with the given base URL.
	List(ctx context.Context, base string) ([]ordering.Server, error)
}

// Orderer queues orders. The package controller implements it.
type Orderer interface {
	Order(ctx context.Context, o order.Order) error
}

// LoadSource returns the load of pools and servers over all hosts.
type LoadSource interface {
	// Requests returns the number of running and waiting requests of a pool by class.
	Requests(pool string) map[string]int
	// Outstanding returns the number of running requests by server.
	Outstanding() map[string]int
}

// Reconciler implements [planner.PoolSource] and [planner.Executor]. Create it with [New].
type Reconciler struct {
	store  store.Store
	lister Lister
	base   string
	orders Orderer
	load   LoadSource
}

var (
	_ planner.PoolSource = (*Reconciler)(nil)
	_ planner.Executor   = (*Reconciler)(nil)
)

// New returns a Reconciler for the ordering interface with the given base URL.
func New(st store.Store, lister Lister, base string, orders Orderer, load LoadSource) *Reconciler {
	return &Reconciler{store: st, lister: lister, base: base, orders: orders, load: load}
}

// Order implements [planner.Executor].
func (r *Reconciler) Order(ctx context.Context, o order.Order) error { return r.orders.Order(ctx, o) }

// Drain implements [planner.Executor].
func (r *Reconciler) Drain(ctx context.Context, server string, drain bool) error {
	note := "drain " + server
	if !drain {
		note = "keep " + server
	}
	_, err := release.Amend(ctx, r.store, author, note, func(set *object.Set) (bool, error) {
		b, ok := set.BackendServers[server]
		if !ok || b.Leaving == drain {
			return false, nil
		}
		b.Leaving = drain
		return true, nil
	})
	return errors.Wrapf(err, "cannot publish the release with the note %q; the planner retries it at its next run", note)
}

// Pools implements [planner.PoolSource]. It first reconciles the release with the servers that the platform runs.
func (r *Reconciler) Pools(ctx context.Context) ([]planner.Pool, error) {
	list, err := r.lister.List(ctx, r.base)
	if err != nil {
		return nil, err
	}
	var set *object.Set
	_, err = release.Amend(ctx, r.store, author, "servers as the platform runs them", func(in *object.Set) (bool, error) {
		set = in
		return reconcile(in, list), nil
	})
	if err != nil {
		return nil, err
	}
	return r.pools(set, list), nil
}

// reconcile adds running servers that are missing from the set and removes ordered servers that are gone. It reports
// whether it changed the set.
func reconcile(set *object.Set, list []ordering.Server) bool {
	changed := false
	running := map[string]bool{}
	for _, l := range list {
		running[l.Name] = true
		_, pool := set.Pools[l.Pool]
		if _, known := set.BackendServers[l.Name]; known || l.Starting || !pool || !l.Address.IsValid() {
			continue
		}
		set.BackendServers[l.Name] = &object.BackendServerSpec{
			Name: l.Name, Pool: l.Pool, Zone: l.Zone, Address: l.Address, Price: l.Price, Reclaimable: l.Reclaimable, Ordered: true,
		}
		changed = true
	}
	for name, b := range set.BackendServers {
		if b.Ordered && !running[name] {
			delete(set.BackendServers, name)
			changed = true
		}
	}
	return changed
}

// pools returns the pools that the system may scale, sorted by name.
func (r *Reconciler) pools(set *object.Set, list []ordering.Server) []planner.Pool {
	open := r.load.Outstanding()
	var out []planner.Pool
	for name, spec := range set.Pools {
		if spec.MaxServers == 0 {
			continue
		}
		p := planner.Pool{
			Name:   name,
			Bounds: sizing.Bounds{Min: spec.MinServers, Max: spec.MaxServers, MaxReclaimable: spec.MaxReclaimable},
			Usable: map[string]bool{}, Demand: r.demand(set, spec),
		}
		for _, b := range set.BackendServers {
			if b.Pool == name {
				p.Servers = append(p.Servers, planner.Server{Name: b.Name, Group: serverGroup(b.Zone, b.Reclaimable), Draining: b.Leaving, Outstanding: open[b.Name]})
				p.Usable[b.Zone] = true
			}
		}
		for _, l := range list {
			if l.Pool == name && l.Starting {
				p.Servers = append(p.Servers, planner.Server{Name: l.Name, Group: serverGroup(l.Zone, l.Reclaimable), Starting: true})
				p.Usable[l.Zone] = true
			}
		}
		for zone := range p.Usable {
			p.Zones = append(p.Zones, zone)
		}
		sort.Strings(p.Zones)
		sort.Slice(p.Servers, func(i, j int) bool { return p.Servers[i].Name < p.Servers[j].Name })
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return strings.Compare(out[i].Name, out[j].Name) < 0 })
	return out
}

func serverGroup(zone string, reclaimable bool) sizing.ServerGroup {
	if reclaimable {
		return sizing.ServerGroup{Zone: zone, Kind: sizing.Reclaimable}
	}
	return sizing.ServerGroup{Zone: zone, Kind: sizing.Regular}
}

// demand returns the current demand on a pool.
func (r *Reconciler) demand(set *object.Set, spec *object.PoolSpec) sizing.Demand {
	var d sizing.Demand
	for class, n := range r.load.Requests(spec.Name) {
		servers := float64(n) / float64(max(1, spec.Concurrency))
		if c, ok := set.Classes[class]; ok && c.Reclaimable {
			d.Flexible += servers
		} else {
			d.Firm += servers
		}
	}
	return d
}
