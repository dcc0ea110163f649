package host

import (
	"context"
	"sort"
	"time"

	"shallotramp/internal/entry/console"
)

// stateTimeout bounds the wait for the state of the dispatch loop.
const stateTimeout = time.Second

// statusPage returns the content of the status page.
func (h *Host) statusPage() console.Page {
	p := console.Page{Status: h.Status(), Classes: h.gateway.StatsByClass(), Pools: h.pools(), Events: h.events.Recent()}
	if h.node != nil {
		p.Members = h.node.View().Members
	}
	return p
}

// pools returns the pools of the current release, sorted by name.
func (h *Host) pools() []console.Pool {
	snap := h.holder.Current()
	if snap == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	// If the state does not come in time, the page shows no outstanding work.
	state, _ := h.loop.State(ctx)
	var out []console.Pool
	for name, spec := range snap.Set.Pools {
		p := console.Pool{Name: name}
		for _, b := range snap.Servers(name) {
			p.Servers++
			p.Outstanding += state.Outstanding[b.Name]
			p.Capacity += spec.Concurrency
			if b.Reclaimable {
				p.Reclaimable++
			}
		}
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
