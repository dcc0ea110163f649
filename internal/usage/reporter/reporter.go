// Package reporter closes, freezes and reports usage windows, whose states the package window describes. It works on
// the host that holds the usage lease. Because windows are changed by conditional updates, all reports of a window have
// the same figures, which are its sums of usage, even if two hosts briefly consider themselves the holder.
package reporter

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotramp/internal/provider/report"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/usage/ledger"
	"shallotramp/internal/usage/window"
)

const (
	// stepInterval is the time between two calls of [Reporter.Step] in [Reporter.Run].
	stepInterval = 5 * time.Second
	// maxUpdateTries is the maximum number of conditional updates for one change.
	maxUpdateTries = 5
	// sendTimeout limits the time to send one report.
	sendTimeout = 5 * time.Second
	// silentAfter is the time without a flush after which a host counts as silent. The usage of its requests is then
	// read from the backend servers.
	silentAfter = 45 * time.Second
	// recoveryInterval is the time between two such recoveries if no failed host is known. It is long, because a
	// recovery lists all ledgers.
	recoveryInterval = time.Hour
	// recoveryPeriod is the time after a host's last flush during which its usage is recovered.
	recoveryPeriod = 2 * time.Hour
	// readTimeout limits one read of a backend server's counts.
	readTimeout = 5 * time.Second
	// ledgerRetention is how long a ledger is kept after the host's last flush. Usage of an incarnation that started
	// before this time and has no ledger is not recovered.
	ledgerRetention = 24 * time.Hour
	// windowRetention is how long a reported window is kept after its end.
	windowRetention = 35 * 24 * time.Hour
)

// Lease is the usage lease. Its holder sends the reports.
type Lease interface {
	// Held returns the fencing number, and whether this host holds the lease at now.
	Held(now time.Time) (fence uint64, ok bool)
	// Valid reports whether the lease, without a further renewal, is still held at a time that may be in the future.
	Valid(at time.Time) bool
}

// Sink accepts reports. [report.Client] implements it.
type Sink interface {
	Send(ctx context.Context, r report.Report, fence uint64) error
}

// Reporter reports usage windows while its host holds the lease. Create it with [New].
type Reporter struct {
	name          string
	store         store.Store
	lease         Lease
	sink          Sink
	log           zerolog.Logger
	windowLength  time.Duration
	grace         time.Duration
	leaseTerm     time.Duration
	countReader   ledger.CountReader
	servers       func() []string
	organisations func() []string

	// oldestUnreported is the oldest window that is not reported. It is empty until it is looked up after the lease was
	// acquired.
	oldestUnreported window.ID
	fence            uint64
	// lastRecovery is the time of the last recovery of silent hosts, and unreadCounts lists the counts that could not
	// be read in it.
	lastRecovery time.Time
	unreadCounts []string
	// mu guards failedAt and pendingFailure. The map failedAt has the time of each call of [Reporter.HostFailed] by
	// incarnation. The newest of these times that no recovery has covered is pendingFailure.
	mu             sync.Mutex
	failedAt       map[string]time.Time
	pendingFailure time.Time
	// frozenCache caches frozen windows, to look up which ledger pages they include.
	frozenCache map[window.ID]*window.Window
}

// Option configures a [Reporter].
type Option func(*Reporter)

// WithLog sets the logger. The default discards everything.
func WithLog(l zerolog.Logger) Option { return func(r *Reporter) { r.log = l } }

// WithWindow sets the length of a usage window and the time from its end until it is frozen.
func WithWindow(length, grace time.Duration) Option {
	return func(r *Reporter) { r.windowLength, r.grace = length, grace }
}

// WithLeaseTerm sets the term of the lease. For this time an earlier holder may still consider itself the holder.
func WithLeaseTerm(d time.Duration) Option { return func(r *Reporter) { r.leaseTerm = d } }

// WithCountReader sets the reader of the backend servers' counts and the functions that return the servers to read from
// and the names of all organisations.
func WithCountReader(counts ledger.CountReader, servers, organisations func() []string) Option {
	return func(r *Reporter) { r.countReader, r.servers, r.organisations = counts, servers, organisations }
}

// DefaultGrace is the default time from the end of a window until it is frozen.
const DefaultGrace = 2 * time.Minute

// DefaultLeaseTerm is the default term of the lease.
const DefaultLeaseTerm = 15 * time.Second

// New returns a Reporter. The name must be different at each start of the host.
func New(name string, st store.Store, lease Lease, sink Sink, opts ...Option) *Reporter {
	none := func() []string { return nil }
	r := &Reporter{
		name: name, store: st, lease: lease, sink: sink, log: zerolog.Nop(),
		windowLength: ledger.DefaultWindowLength, grace: DefaultGrace, leaseTerm: DefaultLeaseTerm,
		servers: none, organisations: none, frozenCache: map[window.ID]*window.Window{}, failedAt: map[string]time.Time{},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// HostFailed records that an incarnation of a host, which is one run of its process, has probably failed. Its usage is
// then recovered from the backend servers soon, even if the host never wrote its ledger. HostFailed is safe for
// concurrent use.
func (r *Reporter) HostFailed(now time.Time, incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.failedAt[incarnation]; ok {
		return
	}
	for i, at := range r.failedAt {
		if now.Sub(at) > recoveryPeriod {
			delete(r.failedAt, i)
		}
	}
	r.failedAt[incarnation], r.pendingFailure = now, now
}

// Run calls [Reporter.Step] periodically until ctx ends, and then sends nil on done.
func (r *Reporter) Run(ctx context.Context, done chan<- error) {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if err := r.Step(ctx); err != nil {
				r.log.Warn().Err(err).Msg("cannot update or report usage windows; retrying")
			}
		case <-ctx.Done():
			done <- nil
			return
		}
	}
}

// Step closes, freezes and reports the windows for which this is due, if the lease is held. It continues where this or
// another reporter has stopped.
func (r *Reporter) Step(ctx context.Context) error {
	fence, ok := r.lease.Held(time.Now())
	if !ok {
		r.oldestUnreported = ""
		return nil
	}
	if fence != r.fence {
		r.fence, r.oldestUnreported = fence, ""
	}
	if r.oldestUnreported == "" {
		if err := r.findOldestUnreported(ctx); err != nil {
			return err
		}
	}
	if err := r.recoverSilentHosts(ctx, false); err != nil {
		return err
	}
	return r.advanceWindows(ctx)
}

// findOldestUnreported sets oldestUnreported from the windows that the platform has, and deletes expired windows.
func (r *Reporter) findOldestUnreported(ctx context.Context) error {
	all, err := r.listWindows(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	if len(all) == 0 {
		r.oldestUnreported = window.IDAt(now, r.windowLength)
		return nil
	}
	oldest := all[len(all)-1].ID.Next(r.windowLength)
	for _, w := range all {
		if w.State != window.Reported {
			oldest = w.ID
			break
		}
	}
	r.deleteExpiredWindows(ctx, all, now)
	r.oldestUnreported = oldest
	return nil
}

func (r *Reporter) deleteExpiredWindows(ctx context.Context, all []*window.Window, now time.Time) {
	for _, w := range all {
		if w.State == window.Reported && now.Sub(w.EndTime()) > windowRetention {
			_ = r.store.Delete(ctx, store.Object{Kind: window.Kind, Name: string(w.ID)})
		}
	}
}

// listWindows returns all windows, oldest first.
func (r *Reporter) listWindows(ctx context.Context) ([]*window.Window, error) {
	list, _, err := r.store.List(ctx, window.Kind)
	if err != nil {
		return nil, err
	}
	out := make([]*window.Window, 0, len(list))
	for _, o := range list {
		w, err := decodeWindow(o)
		if err != nil {
			return nil, err
		}
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

func decodeWindow(o store.Object) (*window.Window, error) {
	w := &window.Window{}
	if err := json.Unmarshal(o.Spec, w); err != nil {
		return nil, errors.Wrapf(err, "cannot decode usage window %s; restore the object from a backup of the platform", o.Name)
	}
	return w, nil
}

// advanceWindows advances each window from the oldest unreported one. Windows are frozen in order, but a failed report
// does not delay the windows after it.
func (r *Reporter) advanceWindows(ctx context.Context) error {
	var failed error
	reported := true
	for id := r.oldestUnreported; id.Start().Before(time.Now()); id = id.Next(r.windowLength) {
		w, err := r.advanceWindow(ctx, id)
		if err != nil {
			failed = err
		}
		if w == nil || w.State < window.Frozen {
			return failed
		}
		reported = reported && w.State == window.Reported
		if reported {
			r.oldestUnreported = id.Next(r.windowLength)
		}
	}
	return failed
}

// advanceWindow closes, freezes and reports the window, as far as this is due. It returns the window in its last known
// state, or nil if the state is unknown.
func (r *Reporter) advanceWindow(ctx context.Context, id window.ID) (*window.Window, error) {
	w, err := r.updateWindow(ctx, id, nil)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if w.State == window.Open && !now.Before(w.EndTime()) {
		if w, err = r.updateWindow(ctx, id, func(w *window.Window) error { return w.Close(time.Now()) }); err != nil {
			return nil, err
		}
	}
	if w.State == window.Closing && !now.Before(w.EndTime().Add(r.grace)) {
		if w, err = r.freezeWindow(ctx, id); err != nil {
			return nil, err
		}
	}
	if w.State == window.Frozen {
		reported, err := r.sendReport(ctx, w)
		if err != nil {
			return w, err
		}
		w = reported
	}
	return w, nil
}

// updateWindow applies the function apply to the window by a conditional update. It creates the window if it does not
// exist. If apply is nil, the window is only read. If the state of the window does not allow the change, the window is
// returned unchanged.
func (r *Reporter) updateWindow(ctx context.Context, id window.ID, apply func(*window.Window) error) (*window.Window, error) {
	var err error
	for range maxUpdateTries {
		var o store.Object
		o, err = r.store.Get(ctx, window.Kind, string(id))
		if store.Failed(err, store.NotFound) {
			o, err = r.createWindow(ctx, id)
		}
		if store.Failed(err, store.Exists) {
			continue
		}
		if err != nil {
			return nil, err
		}
		var w *window.Window
		if w, err = decodeWindow(o); err != nil || apply == nil {
			return w, err
		}
		if err = apply(w); err != nil {
			return r.rereadRejected(ctx, id, err)
		}
		if o.Spec, err = json.Marshal(w); err != nil {
			return nil, err
		}
		if _, err = r.store.Update(ctx, o); err == nil {
			return w, nil
		}
		if !store.Failed(err, store.Conflict) {
			return nil, err
		}
	}
	return nil, err
}

// rereadRejected reads the window again after its state did not allow a change, because another reporter may have made
// the change already. Errors that a second read cannot explain are returned.
func (r *Reporter) rereadRejected(ctx context.Context, id window.ID, cause error) (*window.Window, error) {
	var stale *window.StaleFenceError
	var early *window.TooEarlyError
	if errors.As(cause, &stale) || errors.As(cause, &early) {
		return nil, cause
	}
	return r.updateWindow(ctx, id, nil)
}

func (r *Reporter) createWindow(ctx context.Context, id window.ID) (store.Object, error) {
	w := window.New(id, r.windowLength)
	b, err := json.Marshal(w)
	if err != nil {
		return store.Object{}, err
	}
	return r.store.Create(ctx, store.Object{Kind: window.Kind, Name: string(id), Spec: b})
}
