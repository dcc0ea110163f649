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
	// pollInterval is how often a follower reads the head in addition to its watch. It bounds how long a watch that
	// delivers no events can delay a release.
	pollInterval = 2 * time.Second
	// retryDelay is the delay after a failed read or a broken watch.
	retryDelay = 500 * time.Millisecond
	// readTimeout bounds one read of a release from the platform.
	readTimeout = 5 * time.Second
)

// Follower keeps a [Holder] up to date with the newest release on the platform.
type Follower struct {
	store     store.Store
	holder    *Holder
	log       zerolog.Logger
	onAdopted func(*Snapshot)
	cache     *Cache
	// mu allows one adoption at a time.
	mu sync.Mutex
}

// FollowerOption changes a [Follower].
type FollowerOption func(*Follower)

// WithCache stores the chunks of releases in c, which may be shared with other components.
func WithCache(c *Cache) FollowerOption {
	return func(f *Follower) { f.cache = c }
}

// NewFollower returns a Follower that calls onAdopted after each release that it puts in force.
func NewFollower(st store.Store, h *Holder, log zerolog.Logger, onAdopted func(*Snapshot), opts ...FollowerOption) *Follower {
	f := &Follower{store: st, holder: h, log: log, onAdopted: onAdopted, cache: &Cache{}}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Run adopts new releases until ctx ends, then sends nil on done.
func (f *Follower) Run(ctx context.Context, done chan<- error) {
	defer func() { done <- nil }()
	for ctx.Err() == nil {
		if err := f.Poll(ctx); err != nil {
			f.log.Warn().Err(err).Msg("reading the newest release from the platform failed; keeping the release in force and trying again")
			sleep(ctx, retryDelay)
			continue
		}
		f.watch(ctx)
	}
}

// Poll reads the head once and adopts its release.
func (f *Follower) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requestedAt := time.Now()
	head, _, err := ReadHead(ctx, f.store)
	if err != nil {
		return err
	}
	return f.adopt(ctx, head, requestedAt)
}

// adopt adopts the release of head if it is newer than the one in force. newestAt is when head was known to be the
// newest, or zero if that is not known.
func (f *Follower) adopt(ctx context.Context, head Head, newestAt time.Time) error {
	if head.Number == 0 {
		return nil
	}
	if cur := f.holder.Current(); cur != nil && cur.Number >= head.Number {
		f.holder.Confirm(head.Number, newestAt)
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, cached := f.cache.Newest()
	content, err := ReadChunks(ctx, f.store, head.Chunks, cached)
	if err != nil {
		return err
	}
	set, err := Join(head.Chunks, content)
	if err != nil {
		return err
	}
	f.cache.Put(head.Entry, content)
	s := NewSnapshot(head.Number, head.Digest, set)
	if f.holder.Adopt(s) {
		f.log.Info().Uint64("Release", s.Number).Str("Digest", s.Digest).Msg("release adopted")
		f.onAdopted(s)
	}
	f.holder.Confirm(head.Number, newestAt)
	return nil
}

// watch adopts the releases that a watch on the head delivers, and polls in addition. It returns when the watch ends
// or a watched release cannot be read.
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
			if err := f.handleEvent(ctx, ev); err != nil {
				f.log.Warn().Err(err).Msg("adopting a release from the watch failed; reading the head again")
				return
			}
		case <-t.C:
			if err := f.Poll(ctx); err != nil {
				f.log.Warn().Err(err).Msg("reading the newest release from the platform failed; keeping the release in force and trying again")
			}
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) handleEvent(ctx context.Context, ev store.Event) error {
	if ev.Type != store.Added && ev.Type != store.Modified {
		return nil
	}
	head, err := DecodeHead(ev.Object)
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	// An event may arrive late, so only a read confirms that its release is the newest.
	if err := f.adopt(ctx, head, time.Time{}); err != nil {
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
