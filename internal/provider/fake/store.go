// Package fake provides small stand-ins of the platform: an object API that can
// be down, slow, stale or lose answers, an ordering interface and a receiver of
// usage reports. Tests and the demo use them; nothing of them runs in production.
package fake

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/provider/store"
)

// historyLength is how many events the stand-in keeps for watches.
const historyLength = 10000

// Faults are the failures that a [Store] shows. The zero value shows none.
type Faults struct {
	// Down refuses each call and breaks watches off.
	Down bool
	// Delay holds each call before it takes effect.
	Delay time.Duration
	// LoseAnswers lets the next writes take effect and then fail.
	LoseAnswers int
	// StaleReads serves reads as of this many writes ago.
	StaleReads int
	// HoldWatches keeps events back from watches.
	HoldWatches bool
}

// Counts are the calls that a [Store] served.
type Counts struct {
	Reads, Writes, Watches int
}

type entry struct {
	seq int
	ev  store.Event
}

// Store is an object API in memory. It implements [store.Store].
type Store struct {
	mu      sync.Mutex
	seq     int
	objects map[string]store.Object
	history []entry
	faults  Faults
	counts  Counts
	changed chan struct{}
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{objects: map[string]store.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults shown from now on.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Counts returns the calls served so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// key ignores the case of the kind, because paths of the object API are in lower case.
func key(kind, name string) string { return strings.ToLower(kind) + "/" + name }

// enter applies the delay and the outage. It returns with s.mu held when err is nil.
func (s *Store) enter(ctx context.Context, kind, name string) error {
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
	if err := s.enter(ctx, kind, name); err != nil {
		return store.Object{}, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	if o, ok := s.view()[key(kind, name)]; ok {
		return o, nil
	}
	return store.Object{}, &store.Error{Reason: store.NotFound, Kind: kind, Name: name}
}

// view returns the objects as reads see them.
func (s *Store) view() map[string]store.Object {
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
	if err := s.enter(ctx, kind, ""); err != nil {
		return nil, "", err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	var out []store.Object
	for _, o := range s.view() {
		if strings.EqualFold(o.Kind, kind) {
			out = append(out, o)
		}
	}
	return out, strconv.Itoa(s.seq - s.faults.StaleReads), nil
}

// Create implements [store.Store].
func (s *Store) Create(ctx context.Context, o store.Object) (store.Object, error) {
	return s.write(ctx, o, func(_ store.Object, found bool) store.Reason {
		if found {
			return store.Exists
		}
		return written
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
		return written
	})
}

// written is the verdict of a write that goes ahead; it is no reason of the store package.
const written store.Reason = 255

func (s *Store) write(ctx context.Context, o store.Object, verdict func(store.Object, bool) store.Reason) (store.Object, error) {
	if len(o.Spec) > store.MaxValueBytes {
		return store.Object{}, &store.Error{Reason: store.TooLarge, Kind: o.Kind, Name: o.Name}
	}
	if err := s.enter(ctx, o.Kind, o.Name); err != nil {
		return store.Object{}, err
	}
	defer s.mu.Unlock()
	s.counts.Writes++
	old, found := s.objects[key(o.Kind, o.Name)]
	if r := verdict(old, found); r != written {
		return store.Object{}, &store.Error{Reason: r, Kind: o.Kind, Name: o.Name}
	}
	t := store.Added
	if found {
		t = store.Modified
	}
	s.seq++
	o.Version = strconv.Itoa(s.seq)
	s.objects[key(o.Kind, o.Name)] = o
	s.record(t, o)
	return s.answer(o)
}

// answer loses the answer of a write that took effect, when the faults say so.
func (s *Store) answer(o store.Object) (store.Object, error) {
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return store.Object{}, &store.Error{Reason: store.Unavailable, Kind: o.Kind, Name: o.Name, Cause: errors.New("the answer was lost")}
	}
	return o, nil
}

func (s *Store) record(t store.EventType, o store.Object) {
	s.history = append(s.history, entry{s.seq, store.Event{Type: t, Object: o}})
	if len(s.history) > historyLength {
		s.history = append([]entry(nil), s.history[historyLength/2:]...)
	}
	s.wake()
}

// Delete implements [store.Store].
func (s *Store) Delete(ctx context.Context, o store.Object) error {
	if err := s.enter(ctx, o.Kind, o.Name); err != nil {
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
	old.Version = strconv.Itoa(s.seq)
	s.record(store.Deleted, old)
	_, err := s.answer(old)
	return err
}

// Watch implements [store.Store].
func (s *Store) Watch(ctx context.Context, kind, name, version string) (<-chan store.Event, error) {
	if err := s.enter(ctx, kind, name); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Watches++
	from := s.seq
	if version != "" {
		v, err := strconv.Atoi(version)
		if err != nil {
			return nil, &store.Error{Reason: store.Invalid, Kind: kind, Name: name, Cause: err}
		}
		from = v
	}
	if len(s.history) > 0 && s.history[0].seq > from+1 {
		return nil, &store.Error{Reason: store.Expired, Kind: kind, Name: name}
	}
	ch := make(chan store.Event, 64)
	go s.follow(ctx, kind, name, from, ch)
	return ch, nil
}

// follow sends events after from until ctx ends or the platform goes down; then it closes ch.
func (s *Store) follow(ctx context.Context, kind, name string, from int, ch chan<- store.Event) {
	defer close(ch)
	for {
		s.mu.Lock()
		if s.faults.Down {
			s.mu.Unlock()
			return
		}
		changed := s.changed
		var next []store.Event
		if !s.faults.HoldWatches {
			next, from = s.since(kind, name, from)
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

func (s *Store) since(kind, name string, from int) ([]store.Event, int) {
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
