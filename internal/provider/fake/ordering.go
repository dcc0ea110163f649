package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/capacity/order"
	"shallotramp/internal/provider/ordering"
)

// OrderFaults are the failures that a [Receiver] shows. The zero value shows none.
type OrderFaults struct {
	Down bool
	// Delay holds each order before it takes effect.
	Delay time.Duration
	// LoseAnswers carries the next orders out and then fails.
	LoseAnswers int
}

// ReceivedOrder is one order as it came.
type ReceivedOrder struct {
	Intent order.Intent
	At     time.Time
	// Acted tells that the receiver carried it out now, for the first time.
	Acted bool
}

// OrderReceiver takes orders: a stand-in of the ordering interface and of backend servers.
// It carries each name out once, and records all that comes.
type OrderReceiver struct {
	checks bool

	mu     sync.Mutex
	faults OrderFaults
	fence  uint64
	acted  map[string]bool
	all    []ReceivedOrder
}

// NewOrderReceiver returns a receiver that refuses lower fencing numbers than it has seen, or ignores them.
func NewOrderReceiver(checksFence bool) *OrderReceiver {
	return &OrderReceiver{checks: checksFence, acted: map[string]bool{}}
}

// SetFaults replaces the faults shown from now on.
func (r *OrderReceiver) SetFaults(f OrderFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// All returns every order that came, in order.
func (r *OrderReceiver) All() []ReceivedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ReceivedOrder(nil), r.all...)
}

// Send takes an order as [ordering.Client.Send] does, for tests without HTTP.
func (r *OrderReceiver) Send(ctx context.Context, in order.Intent) (order.Result, string) {
	r.mu.Lock()
	d := r.faults.Delay
	r.mu.Unlock()
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return order.Unknown, ctx.Err().Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Down {
		return order.Unknown, "the receiver is down"
	}
	a := ReceivedOrder{Intent: in, At: time.Now()}
	if r.checks && in.Fence < r.fence {
		r.all = append(r.all, a)
		return order.Stale, "a higher fencing number was seen"
	}
	r.fence = max(r.fence, in.Fence)
	a.Acted = !r.acted[in.Name]
	r.acted[in.Name] = true
	r.all = append(r.all, a)
	if r.faults.LoseAnswers > 0 {
		r.faults.LoseAnswers--
		return order.Unknown, "the answer was lost"
	}
	return order.Done, ""
}

// Applied tells whether an intent was carried out.
func (r *OrderReceiver) Applied(_ context.Context, in order.Intent) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Down {
		return false, errors.New("the receiver is down")
	}
	return r.acted[in.Name], nil
}

var orderStatus = map[order.Result]int{
	order.Done:    http.StatusCreated,
	order.Stale:   http.StatusPreconditionFailed,
	order.Unknown: http.StatusServiceUnavailable,
}

// Handler serves r over HTTP.
func (r *OrderReceiver) Handler() http.Handler {
	mux := http.NewServeMux()
	serveOrders(mux, r, r)
	return mux
}

// sender carries an order out.
type sender interface {
	Send(ctx context.Context, in order.Intent) (order.Result, string)
}

// serveOrders serves orders that s carries out and r records.
func serveOrders(mux *http.ServeMux, s sender, r *OrderReceiver) {
	mux.HandleFunc("PUT "+ordering.PathPrefix+"{name}", func(w http.ResponseWriter, q *http.Request) { servePut(w, q, s) })
	mux.HandleFunc("GET "+ordering.PathPrefix+"{name}", r.serveGet)
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, r.All()) })
}

func servePut(w http.ResponseWriter, q *http.Request, s sender) {
	in := order.Intent{Name: q.PathValue("name"), Holder: q.Header.Get(ordering.HolderHeader)}
	in.Fence, _ = strconv.ParseUint(q.Header.Get(ordering.FenceHeader), 10, 64)
	if err := json.NewDecoder(q.Body).Decode(&in.Order); err != nil {
		http.Error(w, "the body is no order", http.StatusBadRequest)
		return
	}
	result, detail := s.Send(q.Context(), in)
	http.Error(w, detail, orderStatus[result])
}

func (r *OrderReceiver) serveGet(w http.ResponseWriter, q *http.Request) {
	applied, err := r.Applied(q.Context(), order.Intent{Name: q.PathValue("name")})
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case !applied:
		http.Error(w, "no such order", http.StatusNotFound)
	default:
		reply(w, http.StatusOK, nil)
	}
}
