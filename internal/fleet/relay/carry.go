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

// maxChunkBytes bounds one chunk after decompression.
const maxChunkBytes = 1 << 20

// carryOut does what the core wants.
func (n *Node) carryOut(ctx context.Context, effects []Effect) {
	// Messages of one event share a frame on each link.
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
				// Closing waits for the session's goroutines, which may wait for this one.
				n.calls.Go(l.Close)
			}
		case Send:
			if l, ok := n.links[e.Link]; ok {
				batches[l] = append(batches[l], e.Message)
			}
		case FollowPlatform:
			n.follow(ctx, e.On)
		case ReadPlatform:
			n.calls.Go(func() { n.read(ctx) })
		case Adopt:
			n.calls.Go(func() { n.adopt(e) })
		case WriteStatus:
			n.calls.Go(func() { n.writeStatus(ctx, e) })
		case ReadLocalState:
			n.calls.Go(func() { n.askState(ctx) })
		case DeliverState:
			n.cfg.Dispatcher.Peer(e.State)
		case DeliverLoad:
			n.cfg.Dispatcher.Report(e.Load)
		case Confirm:
			n.cfg.Holder.Confirm(e.Number, e.At)
		case RecordEvent:
			n.cfg.Events.Add(e.Kind, e.Subject, e.Cause)
			n.cfg.Log.Info().Stringer("Kind", e.Kind).Str("Subject", e.Subject).Str("Cause", e.Cause).Msg("fleet changed")
		}
	}
}

// follow starts or stops the follower of the platform.
func (n *Node) follow(ctx context.Context, on bool) {
	if on == (n.following != nil) {
		return
	}
	if !on {
		n.following()
		n.following = nil
		ends := n.stopped
		n.calls.Go(func() { <-ends })
		return
	}
	ctx, n.following = context.WithCancel(ctx)
	n.stopped = make(chan error, 1)
	go n.follower.Run(ctx, n.stopped)
}

func (n *Node) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := n.follower.Read(ctx)
	n.post(func(now time.Time) []Effect {
		n.local(ctx, now)
		return n.core.PlatformReadDone(now, err)
	})
}

// adopted tells of the newest release; two releases adopted at once are told of in order.
func (n *Node) adopted(*release.Snapshot) {
	n.adopting.Lock()
	defer n.adopting.Unlock()
	s := n.cfg.Holder.Current()
	if s.Number <= n.told {
		return
	}
	n.told = s.Number
	if n.cfg.OnAdopted != nil {
		n.cfg.OnAdopted(s)
	}
	grace := s.Set.LongestGrace()
	n.post(func(now time.Time) []Effect {
		n.core.SetLongestGrace(grace)
		return n.core.SetLocalRelease(now, s.Number, n.cfg.Holder.Confirmed())
	})
}

// askState asks the decisions for this host's state.
func (n *Node) askState(ctx context.Context) {
	s, err := n.cfg.Dispatcher.State(ctx)
	n.post(func(now time.Time) []Effect {
		if err != nil {
			return n.core.LocalStateUnavailable()
		}
		return n.core.SetLocalState(now, s)
	})
}

// writeStatus writes the status over the one that the platform has.
func (n *Node) writeStatus(ctx context.Context, w WriteStatus) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := putStatus(ctx, n.cfg.Store, w.Status)
	if !w.Forwarded {
		n.post(func(now time.Time) []Effect { return n.core.StatusWritten(now, err) })
	}
}

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
	s, err := n.build(a)
	if err != nil {
		n.post(func(now time.Time) []Effect { return n.core.AdoptFailed(now, a.Entry.Number, err) })
		return
	}
	n.cfg.Holder.Adopt(s)
	n.adopted(s)
}

func (n *Node) build(a Adopt) (*release.Snapshot, error) {
	content, err := Unpack(a, n.shelf)
	if err != nil {
		return nil, err
	}
	set, err := release.Join(a.Entry.Chunks, content)
	if err != nil {
		return nil, err
	}
	n.shelf.Put(a.Entry, content)
	return release.NewSnapshot(a.Entry.Number, a.Entry.Digest, set), nil
}

// Unpack returns the chunks of a release, from what came and from the shelf. It verifies that the list of chunks
// is that of the release; [release.Join] verifies each chunk.
func Unpack(a Adopt, shelf *release.Shelf) (map[string][]byte, error) {
	if release.DigestOf(a.Entry.Chunks) != a.Entry.Digest {
		return nil, &release.CorruptError{Digest: a.Entry.Digest}
	}
	_, have := shelf.Newest()
	out := make(map[string][]byte, len(a.Entry.Chunks))
	for _, r := range a.Entry.Chunks {
		if b, ok := have[r.Digest]; ok {
			out[r.Digest] = b
			continue
		}
		packed, ok := a.Content[r.Digest]
		if !ok {
			return nil, &release.CorruptError{Digest: r.Digest}
		}
		b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxChunkBytes+1))
		if err != nil || len(b) > maxChunkBytes {
			return nil, errors.CombineErrors(&release.CorruptError{Digest: r.Digest}, err)
		}
		out[r.Digest] = b
	}
	return out, nil
}
