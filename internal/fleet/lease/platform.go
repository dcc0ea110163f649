package lease

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"shallotramp/internal/provider/store"
)

// callPlatform carries out an effect and posts its result to the event loop.
func (m *Manager) callPlatform(ctx context.Context, l *Lease, e Effect) {
	defer m.platformCalls.Done()
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Term/3)
	defer cancel()
	if e.Call == ReadCall {
		s, err := m.readLease(ctx, l.name)
		m.post(func(now time.Time) {
			m.step(l, now, func(now time.Time) []Effect {
				if err != nil {
					return l.core.ReadFailed(now)
				}
				return l.core.Observe(now, s, true)
			})
		})
		return
	}
	o, version := m.writeLease(ctx, l.name, e)
	m.post(func(now time.Time) {
		m.step(l, now, func(now time.Time) []Effect { return l.core.WriteDone(now, e, o, version) })
	})
}

func (m *Manager) readLease(ctx context.Context, name string) (Snapshot, error) {
	o, err := m.store.Get(ctx, Kind, name)
	if store.Failed(err, store.NotFound) {
		return Snapshot{}, nil
	}
	if err != nil {
		return Snapshot{}, err
	}
	return snapshotOf(o)
}

func snapshotOf(o store.Object) (Snapshot, error) {
	s := Snapshot{Found: true, Version: o.Version}
	return s, json.Unmarshal(o.Spec, &s.Record)
}

func (m *Manager) writeLease(ctx context.Context, name string, e Effect) (Outcome, string) {
	spec, err := json.Marshal(e.Record)
	if err != nil {
		return NotWritten, ""
	}
	o := store.Object{Kind: Kind, Name: name, Version: e.Version, Spec: spec}
	if e.Call == CreateCall {
		o, err = m.store.Create(ctx, o)
	} else {
		o, err = m.store.Update(ctx, o)
	}
	switch {
	case err == nil:
		return Written, o.Version
	case store.Failed(err, store.Unavailable):
		return Lost, ""
	}
	return NotWritten, ""
}

// runWatch watches the leases while the manager is watching, and restarts a watch that ended.
func (m *Manager) runWatch(ctx context.Context) {
	defer m.platformCalls.Done()
	for ctx.Err() == nil {
		if m.watching.Load() {
			m.watchOnce(ctx)
		}
		select {
		case <-time.After(m.cfg.PollInterval):
		case <-ctx.Done():
		}
	}
}

func (m *Manager) watchOnce(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := m.store.Watch(ctx, Kind, "", "")
	if err != nil {
		return
	}
	for ev := range events {
		if !m.watching.Load() {
			return
		}
		m.handleWatchEvent(ev)
	}
}

func (m *Manager) handleWatchEvent(ev store.Event) {
	if ev.Type == store.Bookmark {
		return
	}
	s, err := snapshotOf(ev.Object)
	if err != nil {
		return
	}
	if ev.Type == store.Deleted {
		s = Snapshot{}
	}
	m.post(func(now time.Time) {
		for _, l := range slices.Clone(m.leases) {
			if l.name == ev.Object.Name {
				m.step(l, now, func(now time.Time) []Effect { return l.core.Observe(now, s, false) })
			}
		}
	})
}
