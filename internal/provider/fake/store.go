// Package fake provides in-memory fakes of the platform: a store of objects that can be down, slow or stale or lose
// responses, an ordering interface and a receiver of usage reports. They are for tests and the demo, not for
// production.
package fake

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/provider/store"
)

// maxHistoryEvents is the number of events kept for watches.
const maxHistoryEvents = 10000

// Faults are the failures that a [Store] simulates. The zero value simulates none.
type Faults struct {
	// Down makes all calls fail and ends all watches.
	Down bool
	// Delay is the time for which each call is held before it takes effect.
	Delay time.Duration
	// LoseAnswers is the number of next writes that take effect and then fail.
	LoseAnswers int
	// StaleReads is the number of latest writes that reads do not see.
	StaleReads int
	// HoldWatches makes watches receive no events.
	HoldWatches bool
}

// Counts are the numbers of calls that a [Store] has served.
type Counts struct {
	Reads, Writes, Watches int
}

type historyEntry struct {
	seq int
	ev  store.Event
}

// Store is an in-memory fake of the platform's store. It implements [store.Store].
type Store struct {
	mu  sync.Mutex
	seq int
	// era counts how often the store was restored from a copy.
	era        int64
	restoredAt time.Time
	objects    map[string]store.Object
	history    []historyEntry
	faults     Faults
	counts     Counts
	changed    chan struct{}
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{objects: map[string]store.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the simulated faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// Counts returns the numbers of calls served so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Copy is the content of a store at one moment.
type Copy struct {
	seq     int
	objects map[string]store.Object
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.seq, maps.Clone(s.objects)}
}

// Restore replaces the content with a copy, begins a new era and ends all watches. What was written since the copy was made
// is lost.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.restoredAt = time.Now()
	s.seq, s.objects, s.history = c.seq, maps.Clone(c.objects), nil
	s.notify()
}

// Era implements [store.Restorable].
func (s *Store) Era() (era int64, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, s.restoredAt
}

// version returns the version of the state after a number of changes in the present era. The caller holds mu.
func (s *Store) version(seq int) string { return store.FormatVersion(s.era, int64(seq)) }

// notify wakes all watches. The caller holds mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// key ignores the case of the kind, because it is in lower case in the URL paths of the platform's store.
func key(kind, name string) string { return strings.ToLower(kind) + "/" + name }

// beginCall applies the simulated delay and outage. If it returns nil, it has locked s.mu.
func (s *Store) beginCall(ctx context.Context, kind, name string) error {
	s.mu.Lock()
	d := s.faults.Delay
	s.mu.Unlock()
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return &store.Error{Reason: store.Unavailable, Kind: kind, Name: name, Cause: ctx.Err()}
		}
	}
	s.mu.Lock()
	if s.faults.Down {
		s.mu.Unlock()
		return &store.Error{Reason: store.Unavailable, Kind: kind, Name: name, Cause: errors.New("the platform is down")}
	}
	return nil
}

// Get implements [store.Store].
func (s *Store) Get(ctx context.Context, kind, name string) (store.Object, error) {
	if err := s.beginCall(ctx, kind, name); err != nil {
		return store.Object{}, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	if o, ok := s.readableObjects()[key(kind, name)]; ok {
		return o, nil
	}
	return store.Object{}, &store.Error{Reason: store.NotFound, Kind: kind, Name: name}
}

// readableObjects returns the objects that reads see. They may be stale.
func (s *Store) readableObjects() map[string]store.Object {
	if s.faults.StaleReads == 0 {
		return s.objects
	}
	old := map[string]store.Object{}
	for _, e := range s.history {
		if e.seq > s.seq-s.faults.StaleReads {
			break
		}
		k := key(e.ev.Object.Kind, e.ev.Object.Name)
		if e.ev.Type == store.Deleted {
			delete(old, k)
			continue
		}
		old[k] = e.ev.Object
	}
	return old
}

// List implements [store.Store].
func (s *Store) List(ctx context.Context, kind string) ([]store.Object, string, error) {
	if err := s.beginCall(ctx, kind, ""); err != nil {
		return nil, "", err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	var out []store.Object
	for _, o := range s.readableObjects() {
		if strings.EqualFold(o.Kind, kind) {
			out = append(out, o)
		}
	}
	return out, s.version(s.seq - s.faults.StaleReads), nil
}

// Create implements [store.Store].
func (s *Store) Create(ctx context.Context, o store.Object) (store.Object, error) {
	return s.write(ctx, o, func(_ store.Object, found bool) store.Reason {
		if found {
			return store.Exists
		}
		return writeAllowed
	})
}

// Update implements [store.Store].
func (s *Store) Update(ctx context.Context, o store.Object) (store.Object, error) {
	return s.write(ctx, o, func(old store.Object, found bool) store.Reason {
		switch {
		case !found:
			return store.NotFound
		case old.Version != o.Version:
			return store.Conflict
		}
		return writeAllowed
	})
}

// writeAllowed is returned by the check of a write that may proceed. It is not a reason of the store package.
const writeAllowed store.Reason = 255

func (s *Store) write(ctx context.Context, o store.Object, check func(store.Object, bool) store.Reason) (store.Object, error) {
	if len(o.Spec) > store.MaxValueBytes {
		return store.Object{}, &store.Error{Reason: store.TooLarge, Kind: o.Kind, Name: o.Name}
	}
	if err := s.beginCall(ctx, o.Kind, o.Name); err != nil {
		return store.Object{}, err
	}
	defer s.mu.Unlock()
	s.counts.Writes++
	old, found := s.objects[key(o.Kind, o.Name)]
	if r := check(old, found); r != writeAllowed {
		return store.Object{}, &store.Error{Reason: r, Kind: o.Kind, Name: o.Name}
	}
	t := store.Added
	if found {
		t = store.Modified
	}
	s.seq++
	o.Version = s.version(s.seq)
	s.objects[key(o.Kind, o.Name)] = o
	s.record(t, o)
	return s.writeResponse(o)
}

// writeResponse returns the response of a write that took effect, or an error if the response is to be lost.
func (s *Store) writeResponse(o store.Object) (store.Object, error) {
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return store.Object{}, &store.Error{Reason: store.Unavailable, Kind: o.Kind, Name: o.Name, Cause: errors.New("the response was lost")}
	}
	return o, nil
}

func (s *Store) record(t store.EventType, o store.Object) {
	s.history = append(s.history, historyEntry{s.seq, store.Event{Type: t, Object: o}})
	if len(s.history) > maxHistoryEvents {
		s.history = append([]historyEntry(nil), s.history[maxHistoryEvents/2:]...)
	}
	s.notify()
}

// Delete implements [store.Store].
func (s *Store) Delete(ctx context.Context, o store.Object) error {
	if err := s.beginCall(ctx, o.Kind, o.Name); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.counts.Writes++
	old, found := s.objects[key(o.Kind, o.Name)]
	switch {
	case !found:
		return &store.Error{Reason: store.NotFound, Kind: o.Kind, Name: o.Name}
	case o.Version != "" && old.Version != o.Version:
		return &store.Error{Reason: store.Conflict, Kind: o.Kind, Name: o.Name}
	}
	s.seq++
	delete(s.objects, key(o.Kind, o.Name))
	old.Version = s.version(s.seq)
	s.record(store.Deleted, old)
	_, err := s.writeResponse(old)
	return err
}

// Watch implements [store.Store].
func (s *Store) Watch(ctx context.Context, kind, name, version string) (<-chan store.Event, error) {
	if err := s.beginCall(ctx, kind, name); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Watches++
	from := s.seq
	if version != "" {
		era, revision, ok := store.ParseVersion(version)
		switch {
		case !ok:
			return nil, &store.Error{Reason: store.Invalid, Kind: kind, Name: name, Cause: errors.Newf("version %q is not a number", version)}
		case era != s.era:
			return nil, &store.Error{Reason: store.Expired, Kind: kind, Name: name}
		}
		from = int(revision)
	}
	if len(s.history) > 0 && s.history[0].seq > from+1 {
		return nil, &store.Error{Reason: store.Expired, Kind: kind, Name: name}
	}
	ch := make(chan store.Event, 64)
	go s.streamEvents(ctx, kind, name, s.era, from, ch)
	return ch, nil
}

// streamEvents sends the events of an era after the sequence number from to ch until ctx ends, the platform is down or the
// store is restored. Then it closes ch.
func (s *Store) streamEvents(ctx context.Context, kind, name string, era int64, from int, ch chan<- store.Event) {
	defer close(ch)
	for {
		s.mu.Lock()
		if s.faults.Down || s.era != era {
			s.mu.Unlock()
			return
		}
		changed := s.changed
		var next []store.Event
		if !s.faults.HoldWatches {
			next, from = s.eventsSince(kind, name, from)
		}
		s.mu.Unlock()
		for _, ev := range next {
			select {
			case ch <- ev:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// eventsSince returns the events after from of matching objects, and the sequence number of the last event in history.
// The caller holds mu.
func (s *Store) eventsSince(kind, name string, from int) ([]store.Event, int) {
	var out []store.Event
	i := len(s.history)
	for i > 0 && s.history[i-1].seq > from {
		i--
	}
	for _, e := range s.history[i:] {
		from = e.seq
		if strings.EqualFold(e.ev.Object.Kind, kind) && (name == "" || e.ev.Object.Name == name) {
			out = append(out, e.ev)
		}
	}
	return out, from
}
