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

// OrderFaults are the failures that an [OrderReceiver] simulates. The zero value simulates none.
type OrderFaults struct {
	Down bool
	// Delay is the time for which each order is held before it takes effect.
	Delay time.Duration
	// LoseAnswers is the number of next orders that are carried out but whose responses are lost.
	LoseAnswers int
}

// ReceivedOrder is one order as it was received.
type ReceivedOrder struct {
	Intent order.Intent
	At     time.Time
	// Acted is set if the receiver carried out the order on this receipt: it did not have the name before.
	Acted bool
}

// OrderReceiver receives orders. It is a fake of the ordering interface and of backend servers. It carries out the order
// of each name only once and records every order that it receives.
type OrderReceiver struct {
	checksFence bool

	mu       sync.Mutex
	faults   OrderFaults
	fence    uint64
	applied  map[string]bool
	received []ReceivedOrder
}

// NewOrderReceiver returns a receiver. With checksFence it rejects orders whose fencing number is lower than one that it
// has seen; otherwise it ignores fencing numbers.
func NewOrderReceiver(checksFence bool) *OrderReceiver {
	return &OrderReceiver{checksFence: checksFence, applied: map[string]bool{}}
}

// SetFaults replaces the simulated faults.
func (r *OrderReceiver) SetFaults(f OrderFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// All returns every order received, in the order of receipt.
func (r *OrderReceiver) All() []ReceivedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ReceivedOrder(nil), r.received...)
}

// Send receives an order like [ordering.Client.Send], for tests without HTTP.
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
	if r.checksFence && in.Fence < r.fence {
		r.received = append(r.received, a)
		return order.Stale, "a higher fencing number was seen"
	}
	r.fence = max(r.fence, in.Fence)
	a.Acted = !r.applied[in.Name]
	r.applied[in.Name] = true
	r.received = append(r.received, a)
	if r.faults.LoseAnswers > 0 {
		r.faults.LoseAnswers--
		return order.Unknown, "the response was lost"
	}
	return order.Done, ""
}

// Applied reports whether the order of an intent was carried out.
func (r *OrderReceiver) Applied(_ context.Context, in order.Intent) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Down {
		return false, errors.New("the receiver is down")
	}
	return r.applied[in.Name], nil
}

var statusByResult = map[order.Result]int{
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

// orderSender carries out an order.
type orderSender interface {
	Send(ctx context.Context, in order.Intent) (order.Result, string)
}

// serveOrders registers the handlers of orders, which s carries out and r records.
func serveOrders(mux *http.ServeMux, s orderSender, r *OrderReceiver) {
	mux.HandleFunc("PUT "+ordering.PathPrefix+"{name}", func(w http.ResponseWriter, q *http.Request) { servePut(w, q, s) })
	mux.HandleFunc("GET "+ordering.PathPrefix+"{name}", r.serveGet)
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, r.All()) })
}

func servePut(w http.ResponseWriter, q *http.Request, s orderSender) {
	in := order.Intent{Name: q.PathValue("name"), Holder: q.Header.Get(ordering.HolderHeader)}
	in.Fence, _ = strconv.ParseUint(q.Header.Get(ordering.FenceHeader), 10, 64)
	if err := json.NewDecoder(q.Body).Decode(&in.Order); err != nil {
		http.Error(w, "the body is not an order in JSON", http.StatusBadRequest)
		return
	}
	result, detail := s.Send(q.Context(), in)
	http.Error(w, detail, statusByResult[result])
}

func (r *OrderReceiver) serveGet(w http.ResponseWriter, q *http.Request) {
	applied, err := r.Applied(q.Context(), order.Intent{Name: q.PathValue("name")})
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case !applied:
		http.Error(w, "no order of this name was received", http.StatusNotFound)
	default:
		reply(w, http.StatusOK, nil)
	}
}
