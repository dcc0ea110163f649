// Package ledger carries what one host counted to the platform. The host sums in
// memory and flushes all at once, by conditional update of one object that belongs
// to the run of its process. Requests bear tags, so that what a vanished host had
// not flushed can be booked from the backend servers' own counts.
package ledger

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"shallotramp/internal/provider/store"
	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/tag"
	"shallotramp/internal/usage/window"
)

const (
	// flushInterval is the shortest time between two flushes of a host.
	flushInterval = time.Second
	// writeBudget is how many writes a second all hosts together make by their flushes.
	writeBudget = 40
	// idleInterval is how often a host without use shows that it lives.
	idleInterval = 20 * time.Second
	// flushTries bounds the conditional updates of one flush.
	flushTries = 5
	// flushTimeout bounds one flush.
	flushTimeout = 20 * time.Second
	// closeRetry is the time between the flushes of a planned stop.
	closeRetry = time.Second
	// closeWait is how long a planned stop waits for servers' counts.
	closeWait = 4 * time.Second
)

// CountReader reads what backend servers counted themselves.
type CountReader interface {
	// Counts returns the server's counts of the requests whose tag begins with prefix, an incarnation or a whole tag.
	Counts(ctx context.Context, server, prefix string) (map[tag.Tag]meter.Usage, error)
}

// ended is one booking that the platform may not have yet. Number is zero for use without a request.
type ended struct {
	number       uint64
	origin       window.ID
	organisation string
	use          meter.Usage
	estimated    bool
}

// flight is one write whose outcome may be unknown.
type flight struct {
	number uint64
	// upto is how many bookings since the start the write holds.
	upto uint64
}

// Ledger is the account of one host. It is safe for concurrent use.
type Ledger struct {
	store   store.Store
	records CountReader
	log     zerolog.Logger
	host    string
	zone    string
	length  time.Duration
	hosts   func() int

	mu          sync.Mutex
	incarnation string
	next        uint64
	open        map[uint64]*Request
	doubtful    []*Request
	// ended holds bookings from number first on.
	ended []ended
	first uint64

	// flushing is held through a flush and guards what follows.
	flushing sync.Mutex
	created  bool
	base     *Spec
	version  string
	attempts uint64
	flights  []flight
	written  time.Time
}

// Option changes a [Ledger].
type Option func(*Ledger)

// WithCountReader sets the reader of backend servers' own counts.
func WithCountReader(r CountReader) Option { return func(l *Ledger) { l.records = r } }

// WithLog sets the log.
func WithLog(log zerolog.Logger) Option { return func(l *Ledger) { l.log = log } }

// WithWindowLength sets the length of a usage window; it must be the same on all hosts.
func WithWindowLength(d time.Duration) Option { return func(l *Ledger) { l.length = d } }

// WithHostCount tells how many hosts share the platform's writes; flushes grow rarer with them.
func WithHostCount(f func() int) Option { return func(l *Ledger) { l.hosts = f } }

// DefaultWindowLength is the length of a window where none is set.
const DefaultWindowLength = time.Hour

// New returns a Ledger of a host's new incarnation.
func New(st store.Store, host, zone string, opts ...Option) *Ledger {
	l := &Ledger{
		store: st, host: host, zone: zone, length: DefaultWindowLength, log: zerolog.Nop(),
		hosts: func() int { return 1 }, open: map[uint64]*Request{},
	}
	for _, o := range opts {
		o(l)
	}
	l.begin()
	return l
}

// begin starts an incarnation with no object on the platform.
func (l *Ledger) begin() {
	l.incarnation = tag.NewIncarnation(time.Now(), rand.Uint32())
	l.next = 1
	l.created, l.base, l.flights, l.attempts = false, nil, nil, 0
}

// Incarnation names this run of the host in tags and on the platform.
func (l *Ledger) Incarnation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation
}

// FlushInterval returns the time between two flushes for so many hosts.
func FlushInterval(hosts int) time.Duration {
	return max(flushInterval, time.Duration(hosts)*time.Second/writeBudget)
}

// Count books use without a request of its own. It is lost if the host vanishes before the
// next flush; [Ledger.Begin] is not.
func (l *Ledger) Count(organisation string, u meter.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book(ended{organisation: organisation, use: u, origin: window.IDAt(time.Now(), l.length)})
}

func (l *Ledger) book(e ended) { l.ended = append(l.ended, e) }

// Begin opens a request of the organisation. Its tag must be the request id that backend servers see.
func (l *Ledger) Begin(organisation string) *Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Request{
		l: l, organisation: organisation, shares: map[string]*share{},
		tag: tag.Tag{Incarnation: l.incarnation, Organisation: tag.HashOrganisation(organisation), Number: l.next},
	}
	l.open[l.next] = r
	l.next++
	return r
}

// Run flushes at once, so that the platform knows the incarnation, and again until ctx ends; then it reports
// on done. A planned stop calls [Ledger.Close] first.
func (l *Ledger) Run(ctx context.Context, done chan<- error) {
	for {
		if err := l.Flush(ctx); err != nil {
			l.log.Warn().Err(err).Msg("usage not flushed; it is kept in memory and flushed later")
		}
		t := time.NewTimer(FlushInterval(l.hosts()))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			done <- nil
			return
		}
	}
}

// Close flushes until the platform has all, at a planned stop after the last request ended. Requests that a
// server's count is still missing for after closeWait are left to the reporter.
func (l *Ledger) Close(ctx context.Context) error {
	begun := time.Now()
	for {
		err := l.flush(ctx, true)
		if err == nil && (l.doubts() == 0 || time.Since(begun) > closeWait) {
			return nil
		}
		select {
		case <-time.After(closeRetry):
		case <-ctx.Done():
			return err
		}
	}
}

// Flush writes what was counted since the last flush.
func (l *Ledger) Flush(ctx context.Context) error { return l.flush(ctx, false) }

func (l *Ledger) flush(ctx context.Context, last bool) error {
	l.flushing.Lock()
	defer l.flushing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	l.resolve(ctx)
	if !last && l.idle() || last && l.unused() {
		return nil
	}
	var err error
	for range flushTries {
		if err = l.load(ctx); err != nil {
			return err
		}
		if err = l.write(ctx, last); err == nil {
			return nil
		}
		if !store.Failed(err, store.Conflict) {
			return err
		}
	}
	return err
}

// idle reports whether a flush can wait.
func (l *Ledger) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.base == nil || len(l.ended) > 0 {
		return false
	}
	return time.Since(l.written) < idleInterval
}

// unused reports whether the host counted nothing since it started and has no object to close.
func (l *Ledger) unused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.created && l.next == 1 && len(l.ended) == 0 && l.first == 0
}

// load reads the ledger's object, or creates it, unless its newest version is known.
func (l *Ledger) load(ctx context.Context) error {
	if l.base != nil {
		return nil
	}
	name := l.Incarnation()
	o, err := l.store.Get(ctx, Kind, name)
	if store.Failed(err, store.NotFound) && !l.created {
		s := &Spec{Incarnation: name, Host: l.host, Zone: l.zone, Next: 1, Flushed: time.Now()}
		if o, err = s.Encode(""); err != nil {
			return err
		}
		o, err = l.store.Create(ctx, o)
	}
	if err != nil {
		return err
	}
	s, err := Decode(o)
	if err != nil {
		return err
	}
	l.created, l.base, l.version = true, s, o.Version
	l.landed(s.Flushes)
	return nil
}

// landed forgets the bookings that write number holds, for the platform has them.
func (l *Ledger) landed(number uint64) {
	i := slices.IndexFunc(l.flights, func(f flight) bool { return f.number == number })
	if i < 0 {
		return
	}
	l.mu.Lock()
	if upto := l.flights[i].upto; upto > l.first {
		l.ended = append([]ended(nil), l.ended[upto-l.first:]...)
		l.first = upto
	}
	l.mu.Unlock()
	// Earlier writes are void: the object has moved on past the versions that they name.
	l.flights = append([]flight(nil), l.flights[i+1:]...)
}

// write sends the newest state over the known version.
func (l *Ledger) write(ctx context.Context, last bool) error {
	s, f, err := l.snapshot(last)
	if err != nil {
		return err
	}
	o, err := s.Encode(l.version)
	if err != nil {
		return err
	}
	l.flights = append(l.flights, f)
	o, err = l.store.Update(ctx, o)
	if err == nil {
		l.base, l.version, l.written = s, o.Version, time.Now()
		l.landed(f.number)
		return nil
	}
	l.base = nil
	if store.Failed(err, store.NotFound) {
		l.restart()
	}
	return err
}

// restart begins a new incarnation after the platform dropped the ledger of a host that was silent
// for longer than ledgers are kept. What it had not flushed was booked from the servers' counts.
func (l *Ledger) restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Error().Str("Incarnation", l.incarnation).Int("Requests", len(l.ended)).
		Msg("the usage ledger is gone after a long silence; counting on in a new one")
	l.first += uint64(len(l.ended))
	l.ended = nil
	l.open = map[uint64]*Request{}
	l.doubtful = nil
	l.begin()
}

// snapshot returns the spec with all bookings, to be written over the base.
func (l *Ledger) snapshot(last bool) (*Spec, flight, error) {
	o, err := l.base.Encode("")
	if err != nil {
		return nil, flight{}, err
	}
	s, err := Decode(o)
	if err != nil {
		return nil, flight{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.ended {
		if e.number == 0 {
			s.Add(e.origin, e.organisation, e.use)
			continue
		}
		s.EndRequest(e.origin, e.number, e.organisation, e.use)
		if e.estimated {
			s.Estimated++
		}
	}
	s.Next = l.next
	s.Open = s.Open[:0]
	for n := range l.open {
		s.Open = append(s.Open, n)
	}
	slices.Sort(s.Open)
	l.attempts++
	s.Flushes, s.Flushed = l.attempts, time.Now()
	s.Closed = last && len(s.Open) == 0
	return s, flight{number: l.attempts, upto: l.first + uint64(len(l.ended))}, nil
}
