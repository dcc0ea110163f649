package controller

import (
	"context"
	"encoding/json"
	"time"

	"shallotramp/internal/capacity/order"
	"shallotramp/internal/provider/store"
)

// startNextStep starts the call that the receiver's core wants next. Its result arrives as an event.
func (c *Controller) startNextStep(ctx context.Context, name string, r *receiverState) {
	var e order.Effect
	now := time.Now()
	c.withTransitionHook(name, r, func() { e = r.core.Next(now) })
	switch e.Step {
	case order.ReadIntent:
		c.readIntent(ctx, name, r)
	case order.WriteIntent:
		c.writeIntent(ctx, name, r, e)
	case order.AskReceiver:
		c.queryReceiver(ctx, name, r, e)
	case order.SendOrder:
		if e.Intent.Order.Action.LoadsWeights() && !c.weightLoads.AllowN(now, 1) {
			r.core.Delay(now, weightLoadRetryDelay)
			return
		}
		c.sendOrder(ctx, name, r, e)
	}
}

// startCall runs f on a new goroutine, and then done on the goroutine of Run unless the lease has changed since.
func (c *Controller) startCall(name string, r *receiverState, f func(), done func(now time.Time)) {
	r.busy = true
	epoch := c.leaseEpoch
	c.runAsync(f, func(now time.Time) {
		r.busy = false
		if c.held && c.leaseEpoch == epoch {
			c.withTransitionHook(name, r, func() { done(now) })
		}
	})
}

func (c *Controller) readIntent(ctx context.Context, name string, r *receiverState) {
	var o store.Object
	var err error
	c.startCall(name, r, func() {
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
			c.log.Warn().Err(err).Str("Receiver", name).Msg("cannot read the order intent; retrying")
			r.core.ReadFailed(now)
			return
		}
		r.core.ReadDone(now, in, o.Version, found)
	})
}

func (c *Controller) writeIntent(ctx context.Context, name string, r *receiverState, e order.Effect) {
	var o store.Object
	var err error
	c.startCall(name, r, func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		o, err = c.putIntent(ctx, name, e)
	}, func(now time.Time) { r.core.WriteDone(now, writeResult(err), o.Version) })
}

func (c *Controller) putIntent(ctx context.Context, name string, e order.Effect) (store.Object, error) {
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

func (c *Controller) queryReceiver(ctx context.Context, name string, r *receiverState, e order.Effect) {
	var applied bool
	var err error
	c.startCall(name, r, func() {
		ctx, cancel := context.WithTimeout(ctx, c.timing.SendTimeout)
		defer cancel()
		applied, err = c.sender.Applied(ctx, e.Intent)
	}, func(now time.Time) { r.core.QueryDone(now, applied, err == nil) })
}

// sendOrder sends one order if the lease is valid for as long as the send may take. The lease is checked
// immediately before the send, on the sending goroutine.
func (c *Controller) sendOrder(ctx context.Context, name string, r *receiverState, e order.Effect) {
	result, detail, sent := order.Unknown, "", false
	c.startCall(name, r, func() {
		ctx, cancel := context.WithTimeout(ctx, c.timing.SendTimeout)
		defer cancel()
		now := time.Now()
		fence, ok := c.lease.Held(now)
		if !ok || fence != e.Intent.Fence || !c.lease.Valid(now.Add(c.timing.SendTimeout)) {
			return
		}
		sent = true
		result, detail = c.sender.Send(ctx, e.Intent)
	}, func(now time.Time) {
		if !sent {
			r.core.Delay(now, c.timing.RetryDelay)
			return
		}
		c.log.Info().Str("Receiver", name).Str("Intent", e.Intent.Name).Stringer("Action", e.Intent.Order.Action).
			Stringer("Result", result).Str("Detail", detail).Msg("order sent")
		r.core.SendDone(now, result, detail)
	})
}
