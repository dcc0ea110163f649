package controller

import (
	"context"
	"encoding/json"
	"time"

	"shallotramp/internal/capacity/order"
	"shallotramp/internal/provider/store"
)

// next starts the next step of a receiver's work. Its result comes through the inbox.
func (c *Controller) next(ctx context.Context, name string, d *desk) {
	var e order.Effect
	now := time.Now()
	c.change(name, d, func() { e = d.core.Next(now) })
	switch e.Step {
	case order.ReadIntent:
		c.read(ctx, name, d)
	case order.WriteIntent:
		c.write(ctx, name, d, e)
	case order.AskReceiver:
		c.ask(ctx, name, d, e)
	case order.SendOrder:
		if e.Intent.Order.Action.LoadsWeights() && !c.loads.AllowN(now, 1) {
			d.core.Delay(now, loadDelay)
			return
		}
		c.send(ctx, name, d, e)
	}
}

// start runs f beside the controller for a receiver, and then done unless the lease has changed hands since.
func (c *Controller) start(name string, d *desk, f func(), done func(now time.Time)) {
	d.busy = true
	term := c.term
	c.call(f, func(now time.Time) {
		d.busy = false
		if c.held && c.term == term {
			c.change(name, d, func() { done(now) })
		}
	})
}

func (c *Controller) read(ctx context.Context, name string, d *desk) {
	var o store.Object
	var err error
	c.start(name, d, func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		o, err = c.store.Get(ctx, order.Kind, name)
	}, func(now time.Time) {
		var in order.Intent
		found := err == nil
		if found {
			err = json.Unmarshal(o.Spec, &in)
		}
		if err != nil && !store.Failed(err, store.NotFound) {
			c.log.Warn().Err(err).Str("Receiver", name).Msg("order intent not read; retrying")
			d.core.ReadFailed(now)
			return
		}
		d.core.ReadDone(now, in, o.Version, found)
	})
}

func (c *Controller) write(ctx context.Context, name string, d *desk, e order.Effect) {
	var o store.Object
	var err error
	c.start(name, d, func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		o, err = c.put(ctx, name, e)
	}, func(now time.Time) { d.core.WriteDone(now, writeResult(err), o.Version) })
}

func (c *Controller) put(ctx context.Context, name string, e order.Effect) (store.Object, error) {
	b, err := json.Marshal(e.Intent)
	if err != nil {
		return store.Object{}, err
	}
	o := store.Object{Kind: order.Kind, Name: name, Version: e.Version, Spec: b}
	if e.Version == "" {
		return c.store.Create(ctx, o)
	}
	return c.store.Update(ctx, o)
}

func writeResult(err error) order.Result {
	switch {
	case err == nil:
		return order.Done
	case store.Failed(err, store.Conflict), store.Failed(err, store.Exists), store.Failed(err, store.NotFound):
		return order.Stale
	}
	return order.Unknown
}

func (c *Controller) ask(ctx context.Context, name string, d *desk, e order.Effect) {
	var applied bool
	var err error
	c.start(name, d, func() {
		ctx, cancel := context.WithTimeout(ctx, c.times.SendTimeout)
		defer cancel()
		applied, err = c.sender.Applied(ctx, e.Intent)
	}, func(now time.Time) { d.core.QueryDone(now, applied, err == nil) })
}

// send sends one order if the lease holds for as long as the send may take. The lease is read
// directly before the send, in the goroutine that sends.
func (c *Controller) send(ctx context.Context, name string, d *desk, e order.Effect) {
	result, detail, sent := order.Unknown, "", false
	c.start(name, d, func() {
		ctx, cancel := context.WithTimeout(ctx, c.times.SendTimeout)
		defer cancel()
		now := time.Now()
		fence, ok := c.lease.Held(now)
		if !ok || fence != e.Intent.Fence || !c.lease.Valid(now.Add(c.times.SendTimeout)) {
			return
		}
		sent = true
		result, detail = c.sender.Send(ctx, e.Intent)
	}, func(now time.Time) {
		if !sent {
			d.core.Delay(now, c.times.RetryDelay)
			return
		}
		c.log.Info().Str("Receiver", name).Str("Intent", e.Intent.Name).Stringer("Action", e.Intent.Order.Action).
			Stringer("Result", result).Str("Detail", detail).Msg("order sent")
		d.core.SendDone(now, result, detail)
	})
}
