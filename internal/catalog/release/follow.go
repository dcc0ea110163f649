package release

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotramp/internal/provider/store"
)

const (
	// pollInterval is how often a follower reads the head besides its watch, to bound what a
	// silent watch can hide.
	pollInterval = 2 * time.Second
	// retryDelay is the pause after a failed read.
	retryDelay = 500 * time.Millisecond
	// readTimeout bounds one read of the platform.
	readTimeout = 5 * time.Second
)

// Follower keeps a [Holder] at the newest release of the platform.
type Follower struct {
	store   store.Store
	holder  *Holder
	log     zerolog.Logger
	adopted func(*Snapshot)
	shelf   *Cache
	// mu lets one read at a time take a release.
	mu sync.Mutex
}

// FollowerOption changes a [Follower].
type FollowerOption func(*Follower)

// WithCache keeps the chunks of releases on s, where others may read and add them.
func WithCache(s *Cache) FollowerOption {
	return func(f *Follower) { f.shelf = s }
}

// NewFollower returns a Follower that calls adopted after each release put in force.
func NewFollower(st store.Store, h *Holder, log zerolog.Logger, adopted func(*Snapshot), opts ...FollowerOption) *Follower {
	f := &Follower{store: st, holder: h, log: log, adopted: adopted, shelf: &Cache{}}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Run follows until ctx ends and then reports on done.
func (f *Follower) Run(ctx context.Context, done chan<- error) {
	defer func() { done <- nil }()
	for ctx.Err() == nil {
		if err := f.Poll(ctx); err != nil {
			f.log.Warn().Err(err).Msg("reading the release failed; keeping the one in force")
			sleep(ctx, retryDelay)
			continue
		}
		f.watch(ctx)
	}
}

// Poll fetches the head once and adopts its release.
func (f *Follower) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := time.Now()
	head, _, err := ReadHead(ctx, f.store)
	if err != nil {
		return err
	}
	return f.take(ctx, head, asked)
}

// take adopts a head that was the newest at the time at.
func (f *Follower) take(ctx context.Context, head Head, at time.Time) error {
	if head.Number == 0 {
		return nil
	}
	if cur := f.holder.Current(); cur != nil && cur.Number >= head.Number {
		f.holder.Confirm(head.Number, at)
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, have := f.shelf.Newest()
	content, err := ReadChunks(ctx, f.store, head.Chunks, have)
	if err != nil {
		return err
	}
	set, err := Join(head.Chunks, content)
	if err != nil {
		return err
	}
	f.shelf.Put(head.Entry, content)
	s := NewSnapshot(head.Number, head.Digest, set)
	if f.holder.Adopt(s) {
		f.log.Info().Uint64("Release", s.Number).Str("Digest", s.Digest).Msg("release adopted")
		f.adopted(s)
	}
	f.holder.Confirm(head.Number, at)
	return nil
}

// watch adopts releases as the platform tells of them, until the watch breaks off or a poll fails.
func (f *Follower) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ch, err := f.store.Watch(ctx, HeadKind, HeadName, "")
	if err != nil {
		sleep(ctx, retryDelay)
		return
	}
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case ev, ok := <-ch:
			if !ok {
				sleep(ctx, retryDelay)
				return
			}
			if err := f.event(ctx, ev); err != nil {
				f.log.Warn().Err(err).Msg("a watched release could not be read; reading it again")
				return
			}
		case <-t.C:
			if err := f.Poll(ctx); err != nil {
				f.log.Warn().Err(err).Msg("reading the release failed; keeping the one in force")
			}
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) event(ctx context.Context, ev store.Event) error {
	if ev.Type != store.Added && ev.Type != store.Modified {
		return nil
	}
	head, err := DecodeHead(ev.Object)
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	// An event may be late: it shows a release, and only a read confirms it as the newest.
	if err := f.take(ctx, head, time.Time{}); err != nil {
		return err
	}
	return f.Poll(ctx)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
