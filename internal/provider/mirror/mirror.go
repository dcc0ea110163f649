// Package mirror follows the objects of one kind in the platform's store: it
// lists them, then waits for changes, and starts again from a list when history
// is gone. A store that is away is asked again at growing intervals.
package mirror

import (
	"context"
	"strconv"
	"time"

	"shallotramp/internal/provider/store"
)

const (
	// firstDelay and maxDelay bound the time between two calls of which the first failed.
	firstDelay = 150 * time.Millisecond
	maxDelay   = 600 * time.Millisecond
	// catchUpWait is how long a call waits for changes of which there is word: the store answers in
	// milliseconds if it has them.
	catchUpWait = 50 * time.Millisecond
)

// Source reads objects. The client of the platform's store is one.
//
// A source that has copies may implement Doubt, which makes it ask the store itself until that has told, and
// Direct, which reports whether the last answer came from the store. Only those are listed again now and then:
// whoever follows a copy hears of changes that it missed.
type Source interface {
	// List returns all objects of the kind and the version of the list.
	List(ctx context.Context, kind string) ([]store.Object, string, error)
	// Changes waits up to wait for changes after version and returns them with the version to go on from.
	Changes(ctx context.Context, kind, version string, wait time.Duration) ([]store.Event, string, error)
}

// Update is what a follower learned.
type Update struct {
	// Full updates hold all Objects; others hold Events.
	Full    bool
	Objects []store.Object
	Events  []store.Event
	// Version is the store's version after the update.
	Version string
	// Err is a failed call; nothing else is set then.
	Err error
	// RequestedAt is when the call that told this began.
	RequestedAt time.Time
}

// Mirror follows one kind.
type Mirror struct {
	source Source
	kind   string
	wait   time.Duration
	relist time.Duration
	out    func(Update)
	poke   chan struct{}
	listed time.Time
	delay  time.Duration
	pause  time.Duration
}

// Option changes a [Mirror].
type Option func(*Mirror)

// WithCoalesceDelay waits after each change before the next call, so that changes that come in groups take one call.
func WithCoalesceDelay(d time.Duration) Option { return func(m *Mirror) { m.pause = d } }

// New returns a Mirror that tells out of each update, on its own goroutine. A call waits up to wait for
// changes, and all objects are listed again every relist, in case a change was not told.
func New(source Source, kind string, wait, relist time.Duration, out func(Update), opts ...Option) *Mirror {
	m := &Mirror{source: source, kind: kind, wait: wait, relist: relist, out: out, poke: make(chan struct{}, 1)}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Refresh lists all objects soon, for there is word of a change that was not seen.
func (m *Mirror) Refresh() {
	select {
	case m.poke <- struct{}{}:
	default:
	}
}

// Run follows until ctx ends and then reports on done.
func (m *Mirror) Run(ctx context.Context, done chan<- error) {
	version := ""
	for ctx.Err() == nil {
		if version == "" || m.listed.IsZero() || time.Since(m.listed) > m.relist && m.direct() {
			version = m.list(ctx, version)
			continue
		}
		version = m.change(ctx, version)
	}
	done <- nil
}

func (m *Mirror) direct() bool {
	d, ok := m.source.(interface{ Direct() bool })
	return !ok || d.Direct()
}

// list returns the version to go on from, or that of before.
func (m *Mirror) list(ctx context.Context, before string) string {
	sent := time.Now()
	objects, at, err := m.source.List(ctx, m.kind)
	if err != nil {
		m.failed(ctx, err)
		return before
	}
	m.delay, m.listed = 0, time.Now()
	if older(at, before) {
		// The answer is older than what is known already: another list will tell.
		return before
	}
	m.out(Update{Full: true, Objects: objects, Version: at, RequestedAt: sent})
	return at
}

func (m *Mirror) change(ctx context.Context, version string) string {
	sent := time.Now()
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	over := make(chan struct{})
	go func() {
		defer close(over)
		select {
		case <-m.poke:
			if d, ok := m.source.(interface{ MarkStale() }); ok {
				d.MarkStale()
			}
			cancel()
		case <-call.Done():
		}
	}()
	events, at, err := m.source.Changes(call, m.kind, version, m.wait)
	poked := call.Err() != nil && ctx.Err() == nil
	cancel()
	<-over
	switch {
	case poked:
		return m.catchUp(ctx, version)
	case store.Failed(err, store.Expired):
		m.listed = time.Time{}
		return version
	case err != nil:
		m.failed(ctx, err)
		return version
	}
	m.delay = 0
	if older(at, version) {
		m.listed = time.Time{}
		return version
	}
	m.out(Update{Events: events, Version: at, RequestedAt: sent})
	if len(events) > 0 && m.pause > 0 && m.direct() {
		sleep(ctx, m.pause)
	}
	return at
}

// catchUp asks for changes of which there is word. A watch may be deaf though there are some: without any, all
// objects are listed.
func (m *Mirror) catchUp(ctx context.Context, version string) string {
	sent := time.Now()
	events, at, err := m.source.Changes(ctx, m.kind, version, catchUpWait)
	if err != nil || len(events) == 0 || older(at, version) {
		m.listed = time.Time{}
		return version
	}
	m.out(Update{Events: events, Version: at, RequestedAt: sent})
	return at
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// failed waits before the next call, which lists all objects: changes may have been missed.
func (m *Mirror) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	m.out(Update{Err: err})
	m.listed = time.Time{}
	m.delay = min(max(2*m.delay, firstDelay), maxDelay)
	sleep(ctx, m.delay)
}

// older reports whether version a comes before b. Versions of this store are numbers.
func older(a, b string) bool {
	x, errA := strconv.ParseInt(a, 10, 64)
	y, errB := strconv.ParseInt(b, 10, 64)
	return errA == nil && errB == nil && x < y
}
