// Package controller sends orders to their receivers, which package ordering
// describes, from the host that holds the orders lease. One goroutine makes all
// decisions. Each receiver has at most one call in flight. The decisions themselves
// are those of [order.Core].
package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"shallotramp/internal/capacity/order"
	"shallotramp/internal/provider/store"
)

const (
	// stepInterval is the longest time between two checks of the lease.
	stepInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = 5 * time.Second
	// listInterval is the time between two lists of the open intents. They are listed again because a write of
	// a previous lease holder may take effect late.
	listInterval = time.Minute
	// weightLoadRetryDelay is the delay before an order that exceeded the weight load limit is tried again.
	weightLoadRetryDelay = time.Second
	// eventQueueLength bounds the number of events that wait for the goroutine of [Controller.Run].
	eventQueueLength = 256
)

// Lease is the orders lease. The package lease implements it.
type Lease interface {
	// Held returns the fencing number, and whether this host holds the lease at now.
	Held(now time.Time) (fence uint64, ok bool)
	// Valid reports whether the lease, without a further renewal, is still held at a time that may be in the future.
	Valid(at time.Time) bool
}

// Sender sends orders to receivers. The package ordering implements it over HTTP.
type Sender interface {
	// Send sends the order of an intent and returns the result and a text about it from the receiver.
	Send(ctx context.Context, in order.Intent) (result order.Result, detail string)
	// Applied asks the receiver whether it has carried out the intent.
	Applied(ctx context.Context, in order.Intent) (bool, error)
}

// Transition is one change of state of a receiver's [order.Core].
type Transition struct {
	Receiver string
	From, To order.State
	Intent   order.Intent
}

// Controller sends orders while its host holds the orders lease. Create it with [New].
type Controller struct {
	name         string
	store        store.Store
	lease        Lease
	sender       Sender
	checksFence  func(receiver string) bool
	timing       order.Timing
	weightLoads  *rate.Limiter
	log          zerolog.Logger
	onTransition func(Transition)

	// events carries functions that the goroutine of Run calls. stopped is closed when Run ends.
	events  chan func(now time.Time)
	stopped chan struct{}

	// The fields below are used only by the goroutine of Run.
	receivers map[string]*receiverState
	fence     uint64
	held      bool
	// leaseEpoch counts the changes of fence and held. Results of calls that began in an earlier epoch are dropped.
	leaseEpoch   int
	listInFlight bool
	// nextList is when the open intents are listed next.
	nextList      time.Time
	callsInFlight int
}

// receiverState is the state of the orders to one receiver.
type receiverState struct {
	core *order.Core
	// busy is set while a call for the receiver is in flight.
	busy bool
}

// Option configures a [Controller].
type Option func(*Controller)

// WithLog sets the logger. The default discards everything.
func WithLog(l zerolog.Logger) Option { return func(c *Controller) { c.log = l } }

// WithTiming sets the timeouts and delays. The default is [order.DefaultTiming].
func WithTiming(t order.Timing) Option { return func(c *Controller) { c.timing = t } }

// WithWeightLoadLimit limits the rate of orders that make a server load weights from the weight store: burst at
// once, then one per interval.
func WithWeightLoadLimit(interval time.Duration, burst int) Option {
	return func(c *Controller) { c.weightLoads = rate.NewLimiter(rate.Every(interval), burst) }
}

// WithTransitionHook sets a function that is called at each transition, on the goroutine of [Controller.Run].
func WithTransitionHook(f func(Transition)) Option { return func(c *Controller) { c.onTransition = f } }

// New returns a Controller. Its name must be different at each start of the host. checksFence reports whether a
// receiver rejects orders with an old fencing number. Orders to other receivers are sent only after
// [order.Timing.PredecessorWait].
func New(name string, st store.Store, lease Lease, sender Sender, checksFence func(receiver string) bool, opts ...Option) *Controller {
	c := &Controller{
		name: name, store: st, lease: lease, sender: sender, checksFence: checksFence,
		timing: order.DefaultTiming(), weightLoads: rate.NewLimiter(rate.Inf, 1), log: zerolog.Nop(), onTransition: func(Transition) {},
		events: make(chan func(time.Time), eventQueueLength), stopped: make(chan struct{}), receivers: map[string]*receiverState{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Order queues an order. It fails with an [order.StoppedError] on a host that does not hold the lease. A queued
// order is recorded as an intent before it is sent. It is dropped if the lease is lost before it is recorded.
func (c *Controller) Order(ctx context.Context, o order.Order) error {
	result := make(chan error, 1)
	c.post(func(now time.Time) {
		if !c.held {
			result <- &order.StoppedError{Receiver: o.Receiver}
			return
		}
		result <- c.receiver(now, o.Receiver).core.Add(o)
	})
	select {
	case err := <-result:
		return err
	case <-c.stopped:
		return &order.StoppedError{Receiver: o.Receiver}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post passes f to the goroutine of Run.
func (c *Controller) post(f func(now time.Time)) {
	select {
	case c.events <- f:
	case <-c.stopped:
	}
}

// Run sends orders while the lease is held, until ctx ends. It then waits for the calls in flight and sends nil on
// done.
func (c *Controller) Run(ctx context.Context, done chan<- error) {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case f := <-c.events:
			f(time.Now())
		case <-t.C:
		case <-ctx.Done():
		}
		c.step(ctx)
	}
	for c.callsInFlight > 0 {
		(<-c.events)(time.Now())
	}
	close(c.stopped)
	done <- nil
}

// step checks the lease and starts the calls that are due.
func (c *Controller) step(ctx context.Context) {
	now := time.Now()
	fence, ok := c.lease.Held(now)
	if ok != c.held || fence != c.fence {
		c.held, c.fence, c.nextList = ok, fence, now
		c.leaseEpoch++
		// Starts with an empty token bucket: the previous holder may have just used the whole burst.
		c.weightLoads.AllowN(now, int(c.weightLoads.TokensAt(now)))
		for name, r := range c.receivers {
			c.withTransitionHook(name, r, func() { c.applyLease(now, r) })
		}
	}
	if !ok {
		return
	}
	if !c.listInFlight && !now.Before(c.nextList) {
		c.listOpenIntents(ctx)
	}
	for name, r := range c.receivers {
		if !r.busy {
			c.startNextStep(ctx, name, r)
		}
	}
}

// applyLease starts the core if this host holds the lease, and stops it otherwise.
func (c *Controller) applyLease(now time.Time, r *receiverState) {
	if c.held {
		r.core.Begin(now, c.fence)
		return
	}
	r.core.End()
}

// receiver returns the state of the named receiver and creates it if there is none.
func (c *Controller) receiver(now time.Time, name string) *receiverState {
	r, ok := c.receivers[name]
	if !ok {
		r = &receiverState{core: order.NewCore(c.name, name, c.checksFence(name), c.timing)}
		c.receivers[name] = r
		c.applyLease(now, r)
	}
	return r
}

// runAsync runs f on a new goroutine, and then done on the goroutine of Run.
func (c *Controller) runAsync(f func(), done func(now time.Time)) {
	c.callsInFlight++
	go func() {
		f()
		c.events <- func(now time.Time) {
			c.callsInFlight--
			done(now)
		}
	}()
}

// listOpenIntents finds the intents that previous lease holders left open.
func (c *Controller) listOpenIntents(ctx context.Context) {
	c.listInFlight = true
	epoch := c.leaseEpoch
	var list []store.Object
	var err error
	c.runAsync(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		list, _, err = c.store.List(ctx, order.Kind)
	}, func(now time.Time) {
		c.listInFlight = false
		if !c.held || epoch != c.leaseEpoch {
			return
		}
		if err != nil {
			c.nextList = now.Add(c.timing.RetryDelay)
			return
		}
		c.nextList = now.Add(listInterval)
		for _, o := range list {
			var in order.Intent
			if json.Unmarshal(o.Spec, &in) == nil && in.Open {
				c.receiver(now, o.Name).core.OpenIntentListed(o.Version)
			}
		}
	})
}

// withTransitionHook runs f and calls the hook if f changed the state of the receiver's core.
func (c *Controller) withTransitionHook(name string, r *receiverState, f func()) {
	from := r.core.State()
	f()
	if to := r.core.State(); to != from {
		c.onTransition(Transition{name, from, to, r.core.Intent()})
	}
}
