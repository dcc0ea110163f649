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

// OrderingAPI is a fake of the platform's ordering interface that starts and stops the ordered servers.
type OrderingAPI struct {
	*OrderReceiver
	startServer func(name, pool string) (netip.AddrPort, error)

	mu      sync.Mutex
	started int
	servers map[string]ordering.Server
}

// NewOrderingAPI returns an OrderingAPI that calls startServer to start a server. It rejects old fencing numbers.
func NewOrderingAPI(startServer func(name, pool string) (netip.AddrPort, error)) *OrderingAPI {
	return &OrderingAPI{OrderReceiver: NewOrderReceiver(true), startServer: startServer, servers: map[string]ordering.Server{}}
}

// Put adds or replaces a running server.
func (api *OrderingAPI) Put(s ordering.Server) {
	api.mu.Lock()
	defer api.mu.Unlock()
	api.servers[s.Name] = s
}

// Reclaim removes a server at once.
func (api *OrderingAPI) Reclaim(name string) {
	api.mu.Lock()
	defer api.mu.Unlock()
	delete(api.servers, name)
}

// List returns the servers, sorted by name.
func (api *OrderingAPI) List(context.Context, string) ([]ordering.Server, error) {
	api.mu.Lock()
	defer api.mu.Unlock()
	out := make([]ordering.Server, 0, len(api.servers))
	for _, s := range api.servers {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, nil
}

// Send receives an order and carries it out if its name is new.
func (api *OrderingAPI) Send(ctx context.Context, in order.Intent) (order.Result, string) {
	before := len(api.All())
	result, detail := api.OrderReceiver.Send(ctx, in)
	for _, a := range api.All()[before:] {
		if a.Acted && a.Intent.Name == in.Name {
			api.applyOrder(in.Order)
		}
	}
	return result, detail
}

func (api *OrderingAPI) applyOrder(o order.Order) {
	api.mu.Lock()
	defer api.mu.Unlock()
	if o.Action == order.StopServer {
		delete(api.servers, o.Server)
		return
	}
	price := 3.0
	if o.Reclaimable {
		price = 1
	}
	for range o.Count {
		api.started++
		s := ordering.Server{Name: fmt.Sprintf("%s-ordered-%d", o.Pool, api.started), Pool: o.Pool, Zone: o.Zone, Price: price, Reclaimable: o.Reclaimable}
		var err error
		if s.Address, err = api.startServer(s.Name, o.Pool); err == nil {
			api.servers[s.Name] = s
		}
	}
}

// Handler serves the ordering interface over HTTP.
func (api *OrderingAPI) Handler() http.Handler {
	mux := http.NewServeMux()
	serveOrders(mux, api, api.OrderReceiver)
	mux.HandleFunc("GET "+ordering.ServersPath, func(w http.ResponseWriter, r *http.Request) {
		list, _ := api.List(r.Context(), "")
		reply(w, http.StatusOK, list)
	})
	return mux
}
