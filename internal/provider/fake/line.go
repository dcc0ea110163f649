package fake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/provider/store"
)

// linePause is the longest time that a [Line] holds a call, as when its process is paused.
const linePause = time.Minute

var errLine = errors.New("no connection")

// FaultyClient is one process's connection to the object API, for tests on a clock that they advance. In
// trouble, a call may be held before or after it takes effect, lose its answer, take effect
// only later, or be the process's last. It implements [store.Store].
type FaultyClient struct {
	store.Store
	kill func()

	mu      sync.Mutex
	src     *rand.Rand
	cut     bool
	dead    bool
	trouble float64
}

// NewFaultyClient returns a line without trouble. kill is called when the line ends its process.
func NewFaultyClient(st store.Store, src *rand.Rand, kill func()) *FaultyClient {
	return &FaultyClient{Store: st, src: src, kill: kill}
}

// SetFaultRate sets the chance of a fault in a call, from 0 to 1.
func (l *FaultyClient) SetFaultRate(chance float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trouble = chance
}

// SetDisconnected cuts the process off from the platform, or ends that.
func (l *FaultyClient) SetDisconnected(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// Stop makes all later calls fail: the process is gone.
func (l *FaultyClient) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = true
}

// fault is what a line does to one call.
type fault uint8

const (
	none fault = iota
	refused
	heldBefore
	heldAfter
	answerLost
	late
	killedBefore
	killedAfter
	faults
)

// draw decides the fate of a call.
func (l *FaultyClient) draw() (fault, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.cut || l.dead:
		return refused, 0
	case l.src.Float64() >= l.trouble:
		return none, 0
	}
	return fault(1 + l.src.IntN(int(faults)-1)), time.Duration(l.src.Int64N(int64(linePause)))
}

// through does f among faults. A call without effect cannot be late.
func through[T any](l *FaultyClient, kind, name string, write bool, f func() (T, error)) (T, error) {
	fate, d := l.draw()
	switch fate {
	case none:
		return f()
	case heldBefore:
		time.Sleep(d)
		return f()
	case heldAfter:
		out, err := f()
		time.Sleep(d)
		return out, err
	case answerLost:
		_, _ = f()
	case late:
		if write {
			go func() {
				time.Sleep(d)
				_, _ = f()
			}()
		}
	case killedBefore:
		l.kill()
	case killedAfter:
		_, _ = f()
		l.kill()
	}
	var zero T
	return zero, &store.Error{Reason: store.Unavailable, Kind: kind, Name: name, Cause: errLine}
}

// Get implements [store.Store].
func (l *FaultyClient) Get(ctx context.Context, kind, name string) (store.Object, error) {
	return through(l, kind, name, false, func() (store.Object, error) { return l.Store.Get(ctx, kind, name) })
}

// List implements [store.Store].
func (l *FaultyClient) List(ctx context.Context, kind string) ([]store.Object, string, error) {
	version := ""
	list, err := through(l, kind, "", false, func() (out []store.Object, err error) {
		out, version, err = l.Store.List(ctx, kind)
		return out, err
	})
	return list, version, err
}

// Create implements [store.Store].
func (l *FaultyClient) Create(ctx context.Context, o store.Object) (store.Object, error) {
	ctx = context.WithoutCancel(ctx)
	return through(l, o.Kind, o.Name, true, func() (store.Object, error) { return l.Store.Create(ctx, o) })
}

// Update implements [store.Store].
func (l *FaultyClient) Update(ctx context.Context, o store.Object) (store.Object, error) {
	ctx = context.WithoutCancel(ctx)
	return through(l, o.Kind, o.Name, true, func() (store.Object, error) { return l.Store.Update(ctx, o) })
}
