package fake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/provider/store"
)

// maxCallDelay is the longest time for which a [FaultyClient] delays a call, as when its process is paused.
const maxCallDelay = time.Minute

var errNoConnection = errors.New("no connection")

// FaultyClient simulates one process's client of the platform's store, for tests with a simulated clock. It injects
// faults at random: a call may fail, be delayed before or after it takes effect, lose its response, take effect only
// later, or kill the process. It implements [store.Store].
type FaultyClient struct {
	store.Store
	// kill ends the simulated process.
	kill func()

	mu           sync.Mutex
	rng          *rand.Rand
	disconnected bool
	stopped      bool
	faultRate    float64
}

// NewFaultyClient returns a client of st with a fault rate of 0. It calls kill to end its process.
func NewFaultyClient(st store.Store, rng *rand.Rand, kill func()) *FaultyClient {
	return &FaultyClient{Store: st, rng: rng, kill: kill}
}

// SetFaultRate sets the probability of a fault in a call, from 0 to 1.
func (c *FaultyClient) SetFaultRate(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultRate = rate
}

// SetDisconnected disconnects the process from the platform or connects it again.
func (c *FaultyClient) SetDisconnected(disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = disconnected
}

// Stop makes all later calls fail, as the process has ended.
func (c *FaultyClient) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
}

// fault is a fault that a [FaultyClient] injects into one call. In the names of faults, before and after refer to the
// effect of the call.
type fault uint8

const (
	noFault fault = iota
	failedBefore
	delayedBefore
	delayedAfter
	responseLost
	appliedLate
	killedBefore
	killedAfter
	faultCount
)

// drawFault returns a random fault for a call, or noFault, and the delay for the faults that delay.
func (c *FaultyClient) drawFault() (fault, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.disconnected || c.stopped:
		return failedBefore, 0
	case c.rng.Float64() >= c.faultRate:
		return noFault, 0
	}
	return fault(1 + c.rng.IntN(int(faultCount)-1)), time.Duration(c.rng.Int64N(int64(maxCallDelay)))
}

// callWithFaults makes a call with a fault that is drawn for it. Only a write can take effect later.
func callWithFaults[T any](c *FaultyClient, kind, name string, write bool, call func() (T, error)) (T, error) {
	drawn, d := c.drawFault()
	switch drawn {
	case noFault:
		return call()
	case delayedBefore:
		time.Sleep(d)
		return call()
	case delayedAfter:
		out, err := call()
		time.Sleep(d)
		return out, err
	case responseLost:
		_, _ = call()
	case appliedLate:
		if write {
			go func() {
				time.Sleep(d)
				_, _ = call()
			}()
		}
	case killedBefore:
		c.kill()
	case killedAfter:
		_, _ = call()
		c.kill()
	}
	var zero T
	return zero, &store.Error{Reason: store.Unavailable, Kind: kind, Name: name, Cause: errNoConnection}
}

// Get implements [store.Store].
func (c *FaultyClient) Get(ctx context.Context, kind, name string) (store.Object, error) {
	return callWithFaults(c, kind, name, false, func() (store.Object, error) { return c.Store.Get(ctx, kind, name) })
}

// List implements [store.Store].
func (c *FaultyClient) List(ctx context.Context, kind string) ([]store.Object, string, error) {
	version := ""
	list, err := callWithFaults(c, kind, "", false, func() (out []store.Object, err error) {
		out, version, err = c.Store.List(ctx, kind)
		return out, err
	})
	return list, version, err
}

// Create implements [store.Store].
func (c *FaultyClient) Create(ctx context.Context, o store.Object) (store.Object, error) {
	ctx = context.WithoutCancel(ctx)
	return callWithFaults(c, o.Kind, o.Name, true, func() (store.Object, error) { return c.Store.Create(ctx, o) })
}

// Update implements [store.Store].
func (c *FaultyClient) Update(ctx context.Context, o store.Object) (store.Object, error) {
	ctx = context.WithoutCancel(ctx)
	return callWithFaults(c, o.Kind, o.Name, true, func() (store.Object, error) { return c.Store.Update(ctx, o) })
}
