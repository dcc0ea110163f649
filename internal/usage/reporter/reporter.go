// Package reporter closes, freezes and reports usage windows. It runs on the host
// that holds the reporter's lease; the platform's conditional updates keep the
// figures the same even when two hosts believe that they hold it.
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
	// stepInterval is how often the reporter looks for work.
	stepInterval = 5 * time.Second
	// updateTries bounds the conditional updates of one change.
	updateTries = 5
	// sendTimeout bounds the sending of one report.
	sendTimeout = 5 * time.Second
	// silentAfter is how long a host has not flushed when the backend servers are asked for its requests.
	silentAfter = 45 * time.Second
	// settleInterval is the time between two such readings without a hint. A reading lists all ledgers.
	settleInterval = time.Hour
	// settleFor is how long after its last flush a silent host's requests are asked for.
	settleFor = 2 * time.Hour
	// readTimeout bounds one reading of a backend server's counts.
	readTimeout = 5 * time.Second
	// keepLedgers is how long after a host's last flush its ledger is kept, and after its start its tags are known.
	keepLedgers = 24 * time.Hour
	// keepWindows is how long reported windows are kept.
	keepWindows = 35 * 24 * time.Hour
)

// Lease is the reporter's lease.
type Lease interface {
	// Held returns the fencing number while the lease is held.
	Held(now time.Time) (fence uint64, ok bool)
	// Valid reports whether the lease, as known now, is still held at a time, also a later one.
	Valid(at time.Time) bool
}

// Sink takes reports. [report.Client] is one.
type Sink interface {
	Send(ctx context.Context, r report.Report, fence uint64) error
}

// Reporter is one host's candidate for reporting. Create it with [New].
type Reporter struct {
	name    string
	store   store.Store
	lease   Lease
	sink    Sink
	log     zerolog.Logger
	length  time.Duration
	grace   time.Duration
	term    time.Duration
	records ledger.CountReader
	servers func() []string
	names   func() []string

	// oldest is the first window not yet reported, empty until it is known for this term.
	oldest window.ID
	fence  uint64
	// settled is when silent hosts' requests were last asked for, unread what then gave no answer.
	settled time.Time
	unread  []string
	// vanished holds the incarnations that were told to have vanished, and when; hinted is the newest of
	// these that no reading has covered.
	mu       sync.Mutex
	vanished map[string]time.Time
	hinted   time.Time
	// frozen caches windows that are frozen, for their members.
	frozen map[window.ID]*window.Window
}

// Option changes a [Reporter].
type Option func(*Reporter)

// WithLog sets the log.
func WithLog(l zerolog.Logger) Option { return func(r *Reporter) { r.log = l } }

// WithWindow sets the length of a window and the time after its end at which it is frozen.
func WithWindow(length, grace time.Duration) Option {
	return func(r *Reporter) { r.length, r.grace = length, grace }
}

// WithLeaseTerm sets the term of the lease: how long a predecessor may still believe that it holds it.
func WithLeaseTerm(d time.Duration) Option { return func(r *Reporter) { r.term = d } }

// WithCountReader sets the backend servers' own counts, the servers to ask and the names of organisations.
func WithCountReader(records ledger.CountReader, servers, organisations func() []string) Option {
	return func(r *Reporter) { r.records, r.servers, r.names = records, servers, organisations }
}

// DefaultGrace is the time from a window's end to its freeze.
const DefaultGrace = 2 * time.Minute

// DefaultLeaseTerm is the longest time that a predecessor may believe itself in charge.
const DefaultLeaseTerm = 15 * time.Second

// New returns a Reporter. Its name must be new at each start of the host.
func New(name string, st store.Store, lease Lease, sink Sink, opts ...Option) *Reporter {
	none := func() []string { return nil }
	r := &Reporter{
		name: name, store: st, lease: lease, sink: sink, log: zerolog.Nop(),
		length: ledger.DefaultWindowLength, grace: DefaultGrace, term: DefaultLeaseTerm,
		servers: none, names: none, frozen: map[window.ID]*window.Window{}, vanished: map[string]time.Time{},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// HostFailed hints that a host's incarnation has vanished, so that backend servers are asked for its requests
// soon, also if it has never written its ledger. It is safe for concurrent use.
func (r *Reporter) HostFailed(now time.Time, incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.vanished[incarnation]; ok {
		return
	}
	for i, at := range r.vanished {
		if now.Sub(at) > settleFor {
			delete(r.vanished, i)
		}
	}
	r.vanished[incarnation], r.hinted = now, now
}

// Run reports windows while the lease is held, until ctx ends; then it reports on done.
func (r *Reporter) Run(ctx context.Context, done chan<- error) {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if err := r.Step(ctx); err != nil {
				r.log.Warn().Err(err).Msg("usage windows not up to date; retrying")
			}
		case <-ctx.Done():
			done <- nil
			return
		}
	}
}

// Step does what is due. Each call resumes where this or another reporter stopped.
func (r *Reporter) Step(ctx context.Context) error {
	fence, ok := r.lease.Held(time.Now())
	if !ok {
		r.oldest = ""
		return nil
	}
	if fence != r.fence {
		r.fence, r.oldest = fence, ""
	}
	if r.oldest == "" {
		if err := r.find(ctx); err != nil {
			return err
		}
	}
	if err := r.settleSilent(ctx, false); err != nil {
		return err
	}
	return r.advance(ctx)
}

// find looks up the oldest window that is not reported.
func (r *Reporter) find(ctx context.Context) error {
	all, err := r.windows(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	if len(all) == 0 {
		r.oldest = window.IDAt(now, r.length)
		return nil
	}
	oldest := all[len(all)-1].ID.Next(r.length)
	for _, w := range all {
		if w.State != window.Reported {
			oldest = w.ID
			break
		}
	}
	r.dropWindows(ctx, all, now)
	r.oldest = oldest
	return nil
}

func (r *Reporter) dropWindows(ctx context.Context, all []*window.Window, now time.Time) {
	for _, w := range all {
		if w.State == window.Reported && now.Sub(w.EndTime()) > keepWindows {
			_ = r.store.Delete(ctx, store.Object{Kind: window.Kind, Name: string(w.ID)})
		}
	}
}

// windows returns all windows in order of time.
func (r *Reporter) windows(ctx context.Context) ([]*window.Window, error) {
	list, _, err := r.store.List(ctx, window.Kind)
	if err != nil {
		return nil, err
	}
	out := make([]*window.Window, 0, len(list))
	for _, o := range list {
		w, err := decode(o)
		if err != nil {
			return nil, err
		}
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

func decode(o store.Object) (*window.Window, error) {
	w := &window.Window{}
	if err := json.Unmarshal(o.Spec, w); err != nil {
		return nil, errors.Wrapf(err, "usage window %s is unreadable; restore it from a copy of the platform's objects", o.Name)
	}
	return w, nil
}

// advance takes each window from the oldest on as far as it goes. Windows are frozen in
// order, each after the one before it; a report that fails holds up none of them.
func (r *Reporter) advance(ctx context.Context) error {
	var failed error
	reported := true
	for id := r.oldest; id.Start().Before(time.Now()); id = id.Next(r.length) {
		w, err := r.advanceOne(ctx, id)
		if err != nil {
			failed = err
		}
		if w == nil || w.State < window.Frozen {
			return failed
		}
		reported = reported && w.State == window.Reported
		if reported {
			r.oldest = id.Next(r.length)
		}
	}
	return failed
}

// advanceOne takes one window as far as it goes and returns it as last known, nil if not known.
func (r *Reporter) advanceOne(ctx context.Context, id window.ID) (*window.Window, error) {
	w, err := r.change(ctx, id, nil)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if w.State == window.Open && !now.Before(w.EndTime()) {
		if w, err = r.change(ctx, id, func(w *window.Window) error { return w.Close(time.Now()) }); err != nil {
			return nil, err
		}
	}
	if w.State == window.Closing && !now.Before(w.EndTime().Add(r.grace)) {
		if w, err = r.freeze(ctx, id); err != nil {
			return nil, err
		}
	}
	if w.State == window.Frozen {
		sent, err := r.send(ctx, w)
		if err != nil {
			return w, err
		}
		w = sent
	}
	return w, nil
}

// change applies f to the window's newest version by conditional update, and creates the
// window if it is new. A nil f only reads. A window that f refuses in its state is returned as it is.
func (r *Reporter) change(ctx context.Context, id window.ID, f func(*window.Window) error) (*window.Window, error) {
	var err error
	for range updateTries {
		var o store.Object
		o, err = r.store.Get(ctx, window.Kind, string(id))
		if store.Failed(err, store.NotFound) {
			o, err = r.create(ctx, id)
		}
		if store.Failed(err, store.Exists) {
			continue
		}
		if err != nil {
			return nil, err
		}
		var w *window.Window
		if w, err = decode(o); err != nil || f == nil {
			return w, err
		}
		if err = f(w); err != nil {
			return r.refused(ctx, id, err)
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

// refused reads the window again after a refused change: another reporter may have been faster.
func (r *Reporter) refused(ctx context.Context, id window.ID, cause error) (*window.Window, error) {
	var stale *window.StaleFenceError
	var early *window.TooEarlyError
	if errors.As(cause, &stale) || errors.As(cause, &early) {
		return nil, cause
	}
	return r.change(ctx, id, nil)
}

func (r *Reporter) create(ctx context.Context, id window.ID) (store.Object, error) {
	w := window.New(id, r.length)
	b, err := json.Marshal(w)
	if err != nil {
		return store.Object{}, err
	}
	return r.store.Create(ctx, store.Object{Kind: window.Kind, Name: string(id), Spec: b})
}
