// Package controller carries orders to their receivers on the host that holds the
// lease for them. One goroutine owns the decisions; each receiver has at most one
// call on its way.
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
	// stepInterval is the longest time between two looks at the lease.
	stepInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = 5 * time.Second
	// listInterval is how often open intents are looked for: a predecessor's write may land late.
	listInterval = time.Minute
	// loadDelay is the time before a load that the weight store's limit held back is tried again.
	loadDelay = time.Second
	// inboxLength bounds the results that wait for the controller.
	inboxLength = 256
)

// Lease is the lease for orders, see the package lease.
type Lease interface {
	// Held returns the fencing number while the lease is held.
	Held(now time.Time) (fence uint64, ok bool)
	// Valid reports whether the lease, as known now, is still held at a time, also a later one.
	Valid(at time.Time) bool
}

// Sender sends orders and asks for their effect. The package ordering has one over HTTP.
type Sender interface {
	Send(ctx context.Context, in order.Intent) (result order.Result, detail string)
	Applied(ctx context.Context, in order.Intent) (bool, error)
}

// Transition is one step of the work for a receiver, for logs and explanations.
type Transition struct {
	Receiver string
	From, To order.State
	Intent   order.Intent
}

// Controller is one host's candidate for giving orders. Create it with [New].
type Controller struct {
	name    string
	store   store.Store
	lease   Lease
	sender  Sender
	checks  func(receiver string) bool
	times   order.Timing
	loads   *rate.Limiter
	log     zerolog.Logger
	observe func(Transition)

	inbox chan func(now time.Time)
	ended chan struct{}

	// The goroutine of Run owns what follows.
	desks map[string]*desk
	fence uint64
	held  bool
	// term counts the changes of fence and held; results of calls from an earlier term are dropped.
	term    int
	listing bool
	// listAt is when open intents are looked for next.
	listAt time.Time
	calls  int
}

// desk is the work for one receiver.
type desk struct {
	core *order.Core
	busy bool
}

// Option changes a [Controller].
type Option func(*Controller)

// WithLog sets the log.
func WithLog(l zerolog.Logger) Option { return func(c *Controller) { c.log = l } }

// WithTiming replaces the times of sends and waits.
func WithTiming(t order.Timing) Option { return func(c *Controller) { c.times = t } }

// WithWeightLoadLimit bounds the orders that draw on the weight store: burst at once, then one for each interval.
func WithWeightLoadLimit(interval time.Duration, burst int) Option {
	return func(c *Controller) { c.loads = rate.NewLimiter(rate.Every(interval), burst) }
}

// WithTransitionHook calls f with each change, on the controller's goroutine.
func WithTransitionHook(f func(Transition)) Option { return func(c *Controller) { c.observe = f } }

// New returns a Controller. Its name must be new at each start of the host. checks tells which
// receivers refuse an old fencing number; the others are waited out.
func New(name string, st store.Store, lease Lease, sender Sender, checks func(receiver string) bool, opts ...Option) *Controller {
	c := &Controller{
		name: name, store: st, lease: lease, sender: sender, checks: checks,
		times: order.DefaultTiming(), loads: rate.NewLimiter(rate.Inf, 1), log: zerolog.Nop(), observe: func(Transition) {},
		inbox: make(chan func(time.Time), inboxLength), ended: make(chan struct{}), desks: map[string]*desk{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Order queues an order. It fails with an [order.StoppedError] on a host that is not in charge. An
// order that is queued is recorded before it is sent; it is forgotten if the lease is lost before that.
func (c *Controller) Order(ctx context.Context, o order.Order) error {
	answer := make(chan error, 1)
	c.post(func(now time.Time) {
		if !c.held {
			answer <- &order.StoppedError{Receiver: o.Receiver}
			return
		}
		answer <- c.desk(now, o.Receiver).core.Add(o)
	})
	select {
	case err := <-answer:
		return err
	case <-c.ended:
		return &order.StoppedError{Receiver: o.Receiver}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post hands f to the controller's goroutine.
func (c *Controller) post(f func(now time.Time)) {
	select {
	case c.inbox <- f:
	case <-c.ended:
	}
}

// Run gives orders while the lease is held, until ctx ends; then it waits for the calls on their way and reports on done.
func (c *Controller) Run(ctx context.Context, done chan<- error) {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case f := <-c.inbox:
			f(time.Now())
		case <-t.C:
		case <-ctx.Done():
		}
		c.step(ctx)
	}
	for c.calls > 0 {
		(<-c.inbox)(time.Now())
	}
	close(c.ended)
	done <- nil
}

// step looks at the lease and starts what is due.
func (c *Controller) step(ctx context.Context) {
	now := time.Now()
	fence, ok := c.lease.Held(now)
	if ok != c.held || fence != c.fence {
		c.held, c.fence, c.listAt = ok, fence, now
		c.term++
		// A predecessor may have used up the weight store's limit.
		c.loads.AllowN(now, int(c.loads.TokensAt(now)))
		for name, d := range c.desks {
			c.change(name, d, func() { c.begin(now, d) })
		}
	}
	if !ok {
		return
	}
	if !c.listing && !now.Before(c.listAt) {
		c.list(ctx)
	}
	for name, d := range c.desks {
		if !d.busy {
			c.next(ctx, name, d)
		}
	}
}

func (c *Controller) begin(now time.Time, d *desk) {
	if c.held {
		d.core.Begin(now, c.fence)
		return
	}
	d.core.End()
}

// desk returns the work for a receiver.
func (c *Controller) desk(now time.Time, receiver string) *desk {
	d, ok := c.desks[receiver]
	if !ok {
		d = &desk{core: order.NewCore(c.name, receiver, c.checks(receiver), c.times)}
		c.desks[receiver] = d
		c.begin(now, d)
	}
	return d
}

// call runs f beside the controller, and done on its goroutine.
func (c *Controller) call(f func(), done func(now time.Time)) {
	c.calls++
	go func() {
		f()
		c.inbox <- func(now time.Time) {
			c.calls--
			done(now)
		}
	}()
}

// list finds the intents that predecessors left open.
func (c *Controller) list(ctx context.Context) {
	c.listing = true
	term := c.term
	var list []store.Object
	var err error
	c.call(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		list, _, err = c.store.List(ctx, order.Kind)
	}, func(now time.Time) {
		c.listing = false
		if !c.held || term != c.term {
			return
		}
		if err != nil {
			c.listAt = now.Add(c.times.RetryDelay)
			return
		}
		c.listAt = now.Add(listInterval)
		for _, o := range list {
			var in order.Intent
			if json.Unmarshal(o.Spec, &in) == nil && in.Open {
				c.desk(now, o.Name).core.OpenIntentListed(o.Version)
			}
		}
	})
}

// change runs f and tells of the change of state that it made.
func (c *Controller) change(name string, d *desk, f func()) {
	from := d.core.State()
	f()
	if to := d.core.State(); to != from {
		c.observe(Transition{name, from, to, d.core.Intent()})
	}
}
