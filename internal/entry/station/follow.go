package station

import (
	"context"
	"time"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/fleet/gossip"
	"shallotramp/internal/platform/mirror"
	"shallotramp/internal/platform/store"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/placement"
	"shallotramp/internal/usage/tally"
)

// followTable takes a new configuration.
func (s *Station) followTable(u mirror.Update) {
	if !s.heard("Table", u) {
		return
	}
	take := func(o store.Object) {
		if o.Name != s.platform.Kinds.TableName {
			return
		}
		t, err := s.platform.DecodeTable(o.Spec)
		if err != nil {
			s.log.Error().Str("Event", "TableRejected").Err(err).Send()
			return
		}
		if old := s.edge.Table(); old != nil && old.Version >= t.Version {
			return
		}
		s.edge.SetTable(t)
		s.loop.Apply(func(now time.Time) []dispatch.Effect { return s.policy.Configure(now, t) })
		s.log.Info().Str("Event", "TableInForce").Int64("Version", t.Version).Int("Routes", t.Len()).
			Str("StoreVersion", o.Version).Dur("Age", time.Since(u.Sent)).Send()
	}
	for _, o := range u.Objects {
		take(o)
	}
	for _, e := range u.Events {
		if e.Type != store.Deleted {
			take(e.Object)
		}
	}
}

// heard logs the loss and the return of the store, and reports whether the update is one.
func (s *Station) heard(what string, u mirror.Update) bool {
	key := "store"
	s.mu.Lock()
	defer s.mu.Unlock()
	down := s.storeDown[key+what]
	switch {
	case u.Err != nil && !down:
		s.log.Warn().Str("Event", "StoreLost").Str("What", what).Err(u.Err).Send()
	case u.Err == nil && down:
		s.log.Info().Str("Event", "StoreRegained").Str("What", what).Str("StoreVersion", u.Version).Send()
	}
	s.storeDown[key+what] = u.Err != nil
	return u.Err == nil
}

// followServers takes changes of the backend servers' entries.
func (s *Station) followServers(u mirror.Update) {
	if !s.heard("Servers", u) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.directory.Heard(now)
	if u.Whole {
		list := make([]backend.Server, 0, len(u.Objects))
		for _, o := range u.Objects {
			if b, ok := s.decode(o); ok {
				list = append(list, b)
			}
		}
		s.directory.Replace(now, list)
		s.listed.Store(true)
	}
	for _, e := range u.Events {
		if e.Type == store.Deleted {
			s.directory.Remove(now, e.Object.Name)
		} else if b, ok := s.decode(e.Object); ok {
			s.directory.Put(b)
		} else {
			s.directory.Remove(now, e.Object.Name)
		}
	}
	if u.Whole || len(u.Events) > 0 {
		s.publish(u.Version)
	}
}

func (s *Station) decode(o store.Object) (backend.Server, bool) {
	b, err := s.platform.DecodeServer(o.Name, o.Spec)
	if err != nil {
		s.log.Warn().Str("Event", "EntryRejected").Err(err).Send()
		return b, false
	}
	return b, true
}

// publish hands the list of servers to the data path and the policy.
func (s *Station) publish(version string) {
	list := s.directory.List()
	s.logServers(list, version)
	s.servers.Store(&list)
	s.edge.SetServers(list)
	s.loop.Apply(func(now time.Time) []dispatch.Effect { return s.policy.Servers(now, list) })
}

// logServers writes a line for each server whose state has changed.
func (s *Station) logServers(list []backend.Server, version string) {
	old := map[string]backend.Server{}
	for _, b := range *s.servers.Load() {
		old[b.ID] = b
	}
	for _, b := range list {
		was, known := old[b.ID]
		delete(old, b.ID)
		if !known || was.Leaving != b.Leaving || was.Addr != b.Addr {
			s.log.Info().Str("Event", "Server").Str("Server", b.ID).Str("Service", b.Service).Str("Zone", b.Zone).
				Stringer("Address", b.Addr).Bool("Leaving", b.Leaving).Bool("Spot", b.Spot).Str("StoreVersion", version).Send()
		}
	}
	for id := range old {
		s.log.Info().Str("Event", "ServerGone").Str("Server", id).Str("StoreVersion", version).Send()
	}
}

// fill completes a packet for another host.
func (s *Station) fill(p *gossip.Packet, counts bool) {
	p.TrueTimeMs = s.clock.Now().UnixMilli()
	if t := s.edge.Table(); t != nil {
		p.TableVersion = t.Version
	}
	p.Leaving = s.stopping.Load()
	p.Holder = s.duty != nil && s.duty.Valid(time.Now())
	for id, w := range *s.work.Load() {
		p.Work = append(p.Work, encodeWork(id, w))
	}
	if !counts || s.tally == nil {
		return
	}
	newest := s.tally.Window(s.clock.Now())
	for w, c := range s.tally.Own() {
		if w >= newest-toldWindows {
			p.Counts = append(p.Counts, &gossip.Counts{Window: int64(w), Requests: c})
		}
	}
}

// toldWindows is how many windows before the present one are told to other hosts: those not reported yet.
const toldWindows = 2

// hear takes another host's packet.
func (s *Station) hear(p *gossip.Packet, m gossip.Member) {
	s.clock.Hear(m.Host, time.UnixMilli(p.GetTrueTimeMs()))
	if s.tally != nil {
		for _, c := range p.GetCounts() {
			s.tally.Merge(m.Host, map[tally.Window]tally.Counts{tally.Window(c.GetWindow()): c.GetRequests()})
		}
	}
	if t := s.edge.Table(); t != nil && p.GetTableVersion() > t.Version {
		if s.heardOf.Swap(p.GetTableVersion()) != p.GetTableVersion() {
			s.tables.Poke()
		}
	}
	peer := placement.Peer{Host: m.Host, Work: make(map[string]placement.Work, len(p.GetWork()))}
	for _, w := range p.GetWork() {
		peer.Work[w.GetServer()] = decodeWork(w)
	}
	hosts := len(s.fleet.Members(time.Now())) + 1
	s.loop.Apply(func(now time.Time) []dispatch.Effect { return s.policy.Peer(now, peer, hosts) })
}

func encodeWork(server string, w placement.Work) *gossip.Work {
	out := &gossip.Work{Server: server, Running: int32(w.Running), Held: int32(w.Held)}
	for _, n := range w.Unread {
		out.Unread = append(out.Unread, int32(n))
	}
	return out
}

func decodeWork(w *gossip.Work) placement.Work {
	out := placement.Work{Running: int(w.GetRunning()), Held: int(w.GetHeld())}
	for i, n := range w.GetUnread() {
		if i < placement.Tiers {
			out.Unread[i] = int(n)
		}
	}
	return out
}

// step looks at the directory and the duties until ctx ends.
func (s *Station) step(ctx context.Context, done chan<- error) {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	d := newDutyState(s.platform.Store)
	for {
		select {
		case <-t.C:
			s.refresh()
			s.duties(ctx, d)
		case <-ctx.Done():
			done <- nil
			return
		}
	}
}

// refresh drops servers that did not return and takes the policy's outstanding work for other hosts.
func (s *Station) refresh() {
	s.mu.Lock()
	if s.directory.Expire(time.Now()) {
		s.publish("")
	}
	s.mu.Unlock()
	if s.tally != nil {
		s.tally.Forget(s.clock.Now())
	}
	s.loop.Apply(func(time.Time) []dispatch.Effect {
		w := s.policy.State()
		s.work.Store(&w)
		return nil
	})
}
