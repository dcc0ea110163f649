package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/fleet/acceptance"
	"shallotramp/internal/fleet/link"
	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/provider/store"
)

// maxChunkBytes limits the size of a decompressed chunk.
const maxChunkBytes = 1 << 20

// apply executes the effects that the core requests.
func (n *Node) apply(ctx context.Context, effects []Effect) {
	// The messages that one input causes share a frame on each link.
	batches := map[*link.Link][]*wire.Envelope{}
	defer func() {
		for l, batch := range batches {
			l.Send(batch...)
		}
	}()
	for _, e := range effects {
		switch e := e.(type) {
		case Dial:
			n.endpoint.Dial(ctx, e.Address)
		case CloseLink:
			if l, ok := n.links[e.Link]; ok {
				// Close waits for the session's goroutines, which may wait for this one, so it runs in the background.
				n.background.Go(l.Close)
			}
		case Send:
			if l, ok := n.links[e.Link]; ok {
				batches[l] = append(batches[l], e.Message)
			}
		case FollowPlatform:
			n.setFollowing(ctx, e.On)
		case ReadPlatform:
			n.background.Go(func() { n.readPlatform(ctx) })
		case Adopt:
			n.background.Go(func() { n.adopt(e) })
		case WriteStatus:
			n.background.Go(func() { n.writeStatus(ctx, e) })
		case ReadLocalState:
			n.background.Go(func() { n.readLocalState(ctx) })
		case DeliverState:
			n.cfg.Dispatcher.Peer(e.State)
		case DeliverLoad:
			n.cfg.Dispatcher.Report(e.Load)
		case Confirm:
			n.cfg.Holder.Confirm(e.Number, e.At)
		case RecordEvent:
			n.cfg.Events.Add(e.Kind, e.Subject, e.Cause)
			n.cfg.Log.Info().Stringer("Kind", e.Kind).Str("Subject", e.Subject).Str("Cause", e.Cause).Msg("fleet event")
		}
	}
}

// setFollowing starts or stops the platform's follower.
func (n *Node) setFollowing(ctx context.Context, on bool) {
	if on == (n.stopFollower != nil) {
		return
	}
	if !on {
		n.stopFollower()
		n.stopFollower = nil
		done := n.followerDone
		n.background.Go(func() { <-done })
		return
	}
	ctx, n.stopFollower = context.WithCancel(ctx)
	n.followerDone = make(chan error, 1)
	go n.follower.Run(ctx, n.followerDone)
}

func (n *Node) readPlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := n.follower.Poll(ctx)
	n.post(func(now time.Time) []Effect {
		n.updateLocalRelease(ctx, now)
		return n.core.PlatformReadDone(now, err)
	})
}

// announce passes the release in force to [Config.OnAdopted] and to the core. If two releases are adopted
// concurrently, an older one is not announced after a newer one.
func (n *Node) announce(*release.Snapshot) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	s := n.cfg.Holder.Current()
	if s.Number <= n.announcedRelease {
		return
	}
	n.announcedRelease = s.Number
	if n.cfg.OnAdopted != nil {
		n.cfg.OnAdopted(s)
	}
	grace := s.Set.LongestGrace()
	n.post(func(now time.Time) []Effect {
		n.core.SetLongestGrace(grace)
		return n.core.SetLocalRelease(now, s.Number, n.cfg.Holder.Confirmed())
	})
}

// readLocalState reads this host's state from the dispatcher and passes it to the core.
func (n *Node) readLocalState(ctx context.Context) {
	s, err := n.cfg.Dispatcher.State(ctx)
	n.post(func(now time.Time) []Effect {
		if err != nil {
			return n.core.LocalStateUnavailable()
		}
		return n.core.SetLocalState(now, s)
	})
}

// writeStatus writes a zone's status to the platform.
func (n *Node) writeStatus(ctx context.Context, w WriteStatus) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	err := putStatus(ctx, n.cfg.Store, w.Status)
	if !w.Forwarded {
		n.post(func(now time.Time) []Effect { return n.core.StatusWritten(now, err) })
	}
}

// putStatus merges s with the platform's status of the zone and writes it. It writes nothing if the platform's status
// is of a newer release.
func putStatus(ctx context.Context, st store.Store, s acceptance.ZoneStatus) error {
	o, err := st.Get(ctx, acceptance.Kind, s.Zone)
	missing := store.Failed(err, store.NotFound)
	if err != nil && !missing {
		return err
	}
	var old acceptance.ZoneStatus
	if !missing && json.Unmarshal(o.Spec, &old) == nil {
		if old.Release > s.Release {
			return nil
		}
		s.Merge(&old)
	}
	spec, err := json.Marshal(s)
	if err != nil {
		return err
	}
	next := store.Object{Kind: acceptance.Kind, Name: s.Zone, Version: o.Version, Spec: spec}
	if missing {
		_, err = st.Create(ctx, next)
	} else {
		_, err = st.Update(ctx, next)
	}
	return err
}

// adopt verifies a release of another host and puts it in force.
func (n *Node) adopt(a Adopt) {
	s, err := n.buildSnapshot(a)
	if err != nil {
		n.post(func(now time.Time) []Effect { return n.core.AdoptFailed(now, a.Entry.Number, err) })
		return
	}
	n.cfg.Holder.Adopt(s)
	n.announce(s)
}

func (n *Node) buildSnapshot(a Adopt) (*release.Snapshot, error) {
	content, err := Unpack(a, n.cache)
	if err != nil {
		return nil, err
	}
	set, err := release.Join(a.Entry.Chunks, content)
	if err != nil {
		return nil, err
	}
	n.cache.Put(a.Entry, content)
	return release.NewSnapshot(a.Entry.Number, a.Entry.Digest, set), nil
}

// Unpack returns the decompressed chunks of a release by digest, from the cache or else from a.Content. It verifies
// the list of chunks against the digest of the release; [release.Join] verifies each chunk.
func Unpack(a Adopt, cache *release.Cache) (map[string][]byte, error) {
	if release.DigestOf(a.Entry.Chunks) != a.Entry.Digest {
		return nil, &release.CorruptError{Digest: a.Entry.Digest}
	}
	_, cached := cache.Newest()
	out := make(map[string][]byte, len(a.Entry.Chunks))
	for _, r := range a.Entry.Chunks {
		if b, ok := cached[r.Digest]; ok {
			out[r.Digest] = b
			continue
		}
		compressed, ok := a.Content[r.Digest]
		if !ok {
			return nil, &release.CorruptError{Digest: r.Digest}
		}
		b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxChunkBytes+1))
		if err != nil || len(b) > maxChunkBytes {
			return nil, errors.CombineErrors(&release.CorruptError{Digest: r.Digest}, err)
		}
		out[r.Digest] = b
	}
	return out, nil
}
