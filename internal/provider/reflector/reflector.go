// Package reflector follows the objects of one kind in the platform's store. It lists them, then waits for changes, and
// lists them again if the store no longer has the changes after its version. While the store is unavailable, it retries
// at increasing intervals.
package reflector

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"shallotramp/internal/provider/store"
)

const (
	// initialRetryDelay and maxRetryDelay are the least and the longest delay after a failed call.
	initialRetryDelay = 150 * time.Millisecond
	maxRetryDelay     = 600 * time.Millisecond
	// catchUpWait is how long a call after Refresh waits for changes. If the store has changes, it returns them in
	// milliseconds.
	catchUpWait = 50 * time.Millisecond
)

// Source reads objects. The client of the platform's store implements it.
//
// A source that reads from copies may implement two more methods. MarkStale makes it read from the store itself until
// the store has returned objects or changes. Direct reports whether the last response came from the store itself. A
// [Reflector] lists all objects periodically only if they come from the store: a copy reports the changes that it
// missed as later changes.
type Source interface {
	// List returns all objects of the kind and the version of the list.
	List(ctx context.Context, kind string) ([]store.Object, string, error)
	// Changes waits up to wait for changes after version. It returns them and the version from which to continue.
	Changes(ctx context.Context, kind, version string, wait time.Duration) ([]store.Event, string, error)
}

// OutdatedError reports objects of the store that are older than the known ones.
type OutdatedError struct{ Kind, Version, Known string }

func (e *OutdatedError) Error() string {
	return fmt.Sprintf("objects of kind %s: the store responded with version %s, which is older than the known version %s; they are listed again after a delay", e.Kind, e.Version, e.Known)
}

// Update is the result of one call to a [Source].
type Update struct {
	// Full is set if the update holds all objects of the kind in Objects. Otherwise Events holds changes.
	Full    bool
	Objects []store.Object
	Events  []store.Event
	// Version is the store's version after the update.
	Version string
	// Err is the error of a failed call. The other fields are unset then.
	Err error
	// RequestedAt is when the call started.
	RequestedAt time.Time
}

// Reflector follows the objects of one kind.
type Reflector struct {
	source         Source
	kind           string
	wait           time.Duration
	relistInterval time.Duration
	onUpdate       func(Update)
	refresh        chan struct{}
	// listedAt is the time of the last list. The zero time makes the next call a list.
	listedAt      time.Time
	retryDelay    time.Duration
	coalesceDelay time.Duration
	// outdated is set if the last list was older than the known state and no changes have come since.
	outdated bool
}

// Option configures a [Reflector].
type Option func(*Reflector)

// WithCoalesceDelay makes the reflector wait for d after changes before the next call, so that changes that come in
// groups take one call.
func WithCoalesceDelay(d time.Duration) Option { return func(m *Reflector) { m.coalesceDelay = d } }

// New returns a Reflector that calls onUpdate for each update, on the goroutine of [Reflector.Run]. A call waits up to
// wait for changes. All objects are listed again every relistInterval, in case the store did not report a change.
func New(source Source, kind string, wait, relistInterval time.Duration, onUpdate func(Update), opts ...Option) *Reflector {
	m := &Reflector{source: source, kind: kind, wait: wait, relistInterval: relistInterval, onUpdate: onUpdate, refresh: make(chan struct{}, 1)}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Refresh ends the current wait and reads from the store at once. Call it when the store has a change that the
// reflector has not received.
func (m *Reflector) Refresh() {
	select {
	case m.refresh <- struct{}{}:
	default:
	}
}

// Run follows the objects until ctx ends and then sends nil on done.
func (m *Reflector) Run(ctx context.Context, done chan<- error) {
	version := ""
	for ctx.Err() == nil {
		if version == "" || m.listedAt.IsZero() || time.Since(m.listedAt) > m.relistInterval && m.isDirect() {
			version = m.list(ctx, version)
			continue
		}
		version = m.followChanges(ctx, version)
	}
	done <- nil
}

func (m *Reflector) isDirect() bool {
	d, ok := m.source.(interface{ Direct() bool })
	return !ok || d.Direct()
}

// list lists all objects. It returns the version from which to continue: that of the list, or lastVersion if the call
// failed or the list is older.
func (m *Reflector) list(ctx context.Context, lastVersion string) string {
	requestedAt := time.Now()
	objects, listVersion, err := m.source.List(ctx, m.kind)
	if err != nil {
		m.handleFailure(ctx, err)
		return lastVersion
	}
	if isOlder(listVersion, lastVersion) {
		// The known state is kept until a later list. A copy that is behind the store gets the changes that follow.
		if m.isDirect() || m.outdated {
			m.handleFailure(ctx, &OutdatedError{Kind: m.kind, Version: listVersion, Known: lastVersion})
		}
		m.outdated, m.listedAt = true, time.Now()
		return lastVersion
	}
	m.outdated, m.retryDelay, m.listedAt = false, 0, time.Now()
	m.onUpdate(Update{Full: true, Objects: objects, Version: listVersion, RequestedAt: requestedAt})
	return listVersion
}

// followChanges waits for changes after version and returns the version from which to continue. Refresh ends the wait.
func (m *Reflector) followChanges(ctx context.Context, version string) string {
	requestedAt := time.Now()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	waiterDone := make(chan struct{})
	go func() {
		defer close(waiterDone)
		select {
		case <-m.refresh:
			if d, ok := m.source.(interface{ MarkStale() }); ok {
				d.MarkStale()
			}
			cancel()
		case <-callCtx.Done():
		}
	}()
	events, newVersion, err := m.source.Changes(callCtx, m.kind, version, m.wait)
	refreshRequested := callCtx.Err() != nil && ctx.Err() == nil
	cancel()
	<-waiterDone
	switch {
	case refreshRequested:
		return m.catchUp(ctx, version)
	case store.Failed(err, store.Expired):
		m.listedAt = time.Time{}
		return version
	case err != nil:
		m.handleFailure(ctx, err)
		return version
	}
	if isOlder(newVersion, version) {
		m.handleFailure(ctx, &OutdatedError{Kind: m.kind, Version: newVersion, Known: version})
		return version
	}
	m.outdated, m.retryDelay = false, 0
	m.onUpdate(Update{Events: events, Version: newVersion, RequestedAt: requestedAt})
	if len(events) > 0 && m.coalesceDelay > 0 && m.isDirect() {
		sleep(ctx, m.coalesceDelay)
	}
	return newVersion
}

// catchUp reads the changes after version that caused Refresh. The store may fail to report existing changes, so if
// there are none, the next call lists all objects.
func (m *Reflector) catchUp(ctx context.Context, version string) string {
	requestedAt := time.Now()
	events, newVersion, err := m.source.Changes(ctx, m.kind, version, catchUpWait)
	if err != nil || len(events) == 0 || isOlder(newVersion, version) {
		m.listedAt = time.Time{}
		return version
	}
	m.onUpdate(Update{Events: events, Version: newVersion, RequestedAt: requestedAt})
	return newVersion
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// handleFailure reports a failed call and waits before the next one. That call lists all objects, as changes may have
// been missed.
func (m *Reflector) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	m.onUpdate(Update{Err: err})
	m.listedAt = time.Time{}
	m.retryDelay = min(max(2*m.retryDelay, initialRetryDelay), maxRetryDelay)
	sleep(ctx, m.retryDelay)
}

// isOlder reports whether version a is less than b. The store's versions are numbers.
func isOlder(a, b string) bool {
	x, errA := strconv.ParseInt(a, 10, 64)
	y, errB := strconv.ParseInt(b, 10, 64)
	return errA == nil && errB == nil && x < y
}
