// Package ledger records the usage that one host counts and writes it to the platform. The host sums usage in memory
// and flushes it by a conditional update of one platform object for each incarnation, which is one run of the host's
// process. Backend servers count usage too, by the tag of each request. If a host fails, the usage that it had not
// flushed is taken from these counts.
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
	"shallotramp/internal/usage/requesttag"
	"shallotramp/internal/usage/window"
)

const (
	// minFlushInterval is the minimum time between two flushes of a host.
	minFlushInterval = time.Second
	// maxWritesPerSecond is the maximum rate of flushes of all hosts together, to limit the load on the platform.
	maxWritesPerSecond = 40
	// idleFlushInterval is the time between flushes of a host without new usage. They show that the host is alive.
	idleFlushInterval = 20 * time.Second
	// maxFlushTries is the maximum number of conditional updates in one flush.
	maxFlushTries = 5
	flushTimeout  = 20 * time.Second
	// closeRetryInterval is the time between two flushes during [Ledger.Close].
	closeRetryInterval = time.Second
	// closeConfirmTimeout is how long [Ledger.Close] waits for the counts of backend servers.
	closeConfirmTimeout = 4 * time.Second
)

// CountReader reads the usage counts of backend servers.
type CountReader interface {
	// Counts returns the server's counts of the requests whose tag starts with prefix. The prefix is an incarnation or
	// a complete tag.
	Counts(ctx context.Context, server, prefix string) (map[requesttag.Tag]meter.Usage, error)
}

// entry is recorded usage that the platform may not have yet. The requestNumber is zero for usage without a request.
type entry struct {
	requestNumber uint64
	origin        window.ID
	organisation  string
	usage         meter.Usage
	estimated     bool
}

// pendingWrite is a write whose result may be unknown.
type pendingWrite struct {
	number uint64
	// entryCount is the number of entries since the start of the process that the write includes.
	entryCount uint64
}

// Ledger records the usage of one host. It is safe for concurrent use.
type Ledger struct {
	store        store.Store
	countReader  CountReader
	log          zerolog.Logger
	host         string
	zone         string
	windowLength time.Duration
	hostCount    func() int

	mu          sync.Mutex
	incarnation string
	nextNumber  uint64
	open        map[uint64]*Request
	// unconfirmed holds the ended requests whose exact usage is not known yet.
	unconfirmed []*Request
	// flushedEntries is the number of entries that the platform has, and unflushed holds those after them.
	unflushed      []entry
	flushedEntries uint64

	// flushing is held during a flush and guards the fields below.
	flushing sync.Mutex
	created  bool
	// stored is the last known content of the platform object, and version its version. It is nil if the object must be
	// read before the next write.
	stored        *Spec
	version       string
	writeCount    uint64
	pendingWrites []pendingWrite
	lastWrite     time.Time
}

// Option configures a [Ledger].
type Option func(*Ledger)

// WithCountReader sets the reader of the backend servers' counts.
func WithCountReader(r CountReader) Option { return func(l *Ledger) { l.countReader = r } }

// WithLog sets the logger. The default discards everything.
func WithLog(log zerolog.Logger) Option { return func(l *Ledger) { l.log = log } }

// WithWindowLength sets the length of a usage window. It must be the same on all hosts.
func WithWindowLength(d time.Duration) Option { return func(l *Ledger) { l.windowLength = d } }

// WithHostCount sets the function that returns the number of hosts. The more hosts there are, the less often each of
// them flushes.
func WithHostCount(f func() int) Option { return func(l *Ledger) { l.hostCount = f } }

// DefaultWindowLength is the default length of a usage window.
const DefaultWindowLength = time.Hour

// New returns a Ledger with a new incarnation of the host.
func New(st store.Store, host, zone string, opts ...Option) *Ledger {
	l := &Ledger{
		store: st, host: host, zone: zone, windowLength: DefaultWindowLength, log: zerolog.Nop(),
		hostCount: func() int { return 1 }, open: map[uint64]*Request{},
	}
	for _, o := range opts {
		o(l)
	}
	l.startIncarnation()
	return l
}

// startIncarnation starts a new incarnation, which has no platform object yet.
func (l *Ledger) startIncarnation() {
	l.incarnation = requesttag.NewIncarnation(time.Now(), rand.Uint32())
	l.nextNumber = 1
	l.created, l.stored, l.pendingWrites, l.writeCount = false, nil, nil, 0
}

// Incarnation returns the name of the current incarnation. Request tags contain it, and the platform object is named
// after it.
func (l *Ledger) Incarnation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation
}

// FlushInterval returns the time between two flushes of a host for the given number of hosts.
func FlushInterval(hosts int) time.Duration {
	return max(minFlushInterval, time.Duration(hosts)*time.Second/maxWritesPerSecond)
}

// Count records usage that belongs to no request. If the host fails before the next flush, this usage is lost, unlike
// that of requests started with [Ledger.Begin].
func (l *Ledger) Count(organisation string, u meter.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addEntry(entry{organisation: organisation, usage: u, origin: window.IDAt(time.Now(), l.windowLength)})
}

func (l *Ledger) addEntry(e entry) { l.unflushed = append(l.unflushed, e) }

// Begin starts a request of the organisation. The caller must send its tag to the backend servers as the request id.
func (l *Ledger) Begin(organisation string) *Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Request{
		ledger: l, organisation: organisation, servers: map[string]*serverUsage{},
		tag: requesttag.Tag{Incarnation: l.incarnation, Organisation: requesttag.HashOrganisation(organisation), Number: l.nextNumber},
	}
	l.open[l.nextNumber] = r
	l.nextNumber++
	return r
}

// Run flushes periodically until ctx ends, and then sends nil on done. The first flush is immediate, so that the
// platform knows the incarnation. Call [Ledger.Close] before a planned stop.
func (l *Ledger) Run(ctx context.Context, done chan<- error) {
	for {
		if err := l.Flush(ctx); err != nil {
			l.log.Warn().Err(err).Msg("cannot write usage to the platform; keeping it in memory and retrying")
		}
		t := time.NewTimer(FlushInterval(l.hostCount()))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			done <- nil
			return
		}
	}
}

// Close flushes until the platform has all usage. Call it at a planned stop, after the last request has ended. If a
// backend server's count of a request is still missing after closeConfirmTimeout, the reporter records that request.
func (l *Ledger) Close(ctx context.Context) error {
	start := time.Now()
	for {
		err := l.flush(ctx, true)
		if err == nil && (l.unconfirmedCount() == 0 || time.Since(start) > closeConfirmTimeout) {
			return nil
		}
		select {
		case <-time.After(closeRetryInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// Flush writes the usage recorded since the last flush to the platform.
func (l *Ledger) Flush(ctx context.Context) error { return l.flush(ctx, false) }

func (l *Ledger) flush(ctx context.Context, last bool) error {
	l.flushing.Lock()
	defer l.flushing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	l.confirmUsage(ctx)
	if !last && l.idle() || last && l.neverUsed() {
		return nil
	}
	var err error
	for range maxFlushTries {
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

// idle reports whether there is nothing to flush yet.
func (l *Ledger) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stored == nil || len(l.unflushed) > 0 {
		return false
	}
	return time.Since(l.lastWrite) < idleFlushInterval
}

// neverUsed reports whether the host has counted no usage since its start and has created no platform object.
func (l *Ledger) neverUsed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.created && l.nextNumber == 1 && len(l.unflushed) == 0 && l.flushedEntries == 0
}

// load reads or creates the platform object, unless its current version is known.
func (l *Ledger) load(ctx context.Context) error {
	if l.stored != nil {
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
	l.created, l.stored, l.version = true, s, o.Version
	l.confirmWrite(s.Flushes)
	return nil
}

// confirmWrite removes the entries that the write with this number includes, because the platform has them.
func (l *Ledger) confirmWrite(number uint64) {
	i := slices.IndexFunc(l.pendingWrites, func(f pendingWrite) bool { return f.number == number })
	if i < 0 {
		return
	}
	l.mu.Lock()
	if n := l.pendingWrites[i].entryCount; n > l.flushedEntries {
		l.unflushed = append([]entry(nil), l.unflushed[n-l.flushedEntries:]...)
		l.flushedEntries = n
	}
	l.mu.Unlock()
	// Earlier writes can no longer take effect, because they replace versions that are not current any more.
	l.pendingWrites = append([]pendingWrite(nil), l.pendingWrites[i+1:]...)
}

// write replaces the known version of the platform object by one with all entries.
func (l *Ledger) write(ctx context.Context, last bool) error {
	s, f, err := l.snapshot(last)
	if err != nil {
		return err
	}
	o, err := s.Encode(l.version)
	if err != nil {
		return err
	}
	l.pendingWrites = append(l.pendingWrites, f)
	o, err = l.store.Update(ctx, o)
	if err == nil {
		l.stored, l.version, l.lastWrite = s, o.Version, time.Now()
		l.confirmWrite(f.number)
		return nil
	}
	l.stored = nil
	if store.Failed(err, store.NotFound) {
		l.restart()
	}
	return err
}

// restart starts a new incarnation after the platform object was deleted, because the host did not flush for longer
// than ledgers are retained. The unflushed usage is dropped: the reporter has recorded it from the backend servers'
// counts.
func (l *Ledger) restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Error().Str("Incarnation", l.incarnation).Int("Requests", len(l.unflushed)).
		Msg("usage ledger was deleted because this host did not flush for too long; continuing with a new ledger")
	l.flushedEntries += uint64(len(l.unflushed))
	l.unflushed = nil
	l.open = map[uint64]*Request{}
	l.unconfirmed = nil
	l.startIncarnation()
}

// snapshot returns the stored spec with all unflushed entries added.
func (l *Ledger) snapshot(last bool) (*Spec, pendingWrite, error) {
	o, err := l.stored.Encode("")
	if err != nil {
		return nil, pendingWrite{}, err
	}
	s, err := Decode(o)
	if err != nil {
		return nil, pendingWrite{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.unflushed {
		if e.requestNumber == 0 {
			s.Add(e.origin, e.organisation, e.usage)
			continue
		}
		s.EndRequest(e.origin, e.requestNumber, e.organisation, e.usage)
		if e.estimated {
			s.Estimated++
		}
	}
	s.Next = l.nextNumber
	s.Open = s.Open[:0]
	for n := range l.open {
		s.Open = append(s.Open, n)
	}
	slices.Sort(s.Open)
	l.writeCount++
	s.Flushes, s.Flushed = l.writeCount, time.Now()
	s.Closed = last && len(s.Open) == 0
	return s, pendingWrite{number: l.writeCount, entryCount: l.flushedEntries + uint64(len(l.unflushed))}, nil
}
