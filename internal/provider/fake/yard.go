package fake

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sort"
	"sync"

	"shallotramp/internal/capacity/order"
	"shallotramp/internal/provider/ordering"
)

// OrderingAPI is a stand-in of the platform's ordering interface that runs what is ordered.
type OrderingAPI struct {
	*OrderReceiver
	run func(name, pool string) (netip.AddrPort, error)

	mu      sync.Mutex
	started int
	servers map[string]ordering.Server
}

// NewOrderingAPI returns a Yard that starts servers by run. It refuses old fencing numbers.
func NewOrderingAPI(run func(name, pool string) (netip.AddrPort, error)) *OrderingAPI {
	return &OrderingAPI{OrderReceiver: NewOrderReceiver(true), run: run, servers: map[string]ordering.Server{}}
}

// Put adds a server that runs, or replaces it.
func (y *OrderingAPI) Put(s ordering.Server) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.servers[s.Name] = s
}

// Reclaim takes a server back at once.
func (y *OrderingAPI) Reclaim(name string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	delete(y.servers, name)
}

// List returns the servers by name.
func (y *OrderingAPI) List(context.Context, string) ([]ordering.Server, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	out := make([]ordering.Server, 0, len(y.servers))
	for _, s := range y.servers {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, nil
}

// Send takes an order and carries it out once.
func (y *OrderingAPI) Send(ctx context.Context, in order.Intent) (order.Result, string) {
	before := len(y.All())
	result, detail := y.OrderReceiver.Send(ctx, in)
	for _, a := range y.All()[before:] {
		if a.Acted && a.Intent.Name == in.Name {
			y.act(in.Order)
		}
	}
	return result, detail
}

func (y *OrderingAPI) act(o order.Order) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if o.Action == order.StopServer {
		delete(y.servers, o.Server)
		return
	}
	price := 3.0
	if o.Reclaimable {
		price = 1
	}
	for range o.Count {
		y.started++
		s := ordering.Server{Name: fmt.Sprintf("%s-ordered-%d", o.Pool, y.started), Pool: o.Pool, Zone: o.Zone, Price: price, Reclaimable: o.Reclaimable}
		var err error
		if s.Address, err = y.run(s.Name, o.Pool); err == nil {
			y.servers[s.Name] = s
		}
	}
}

// Handler serves y over HTTP.
func (y *OrderingAPI) Handler() http.Handler {
	mux := http.NewServeMux()
	serveOrders(mux, y, y.OrderReceiver)
	mux.HandleFunc("GET "+ordering.ServersPath, func(w http.ResponseWriter, r *http.Request) {
		list, _ := y.List(r.Context(), "")
		reply(w, http.StatusOK, list)
	})
	return mux
}
