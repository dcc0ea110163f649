package station

import (
	"context"
	"time"

	"shallotramp/internal/capacity/supply"
	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/provider/mirror"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/traffic/dispatch"
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
		s.mu.Lock()
		defer s.mu.Unlock()
		s.directory.StoreUnavailable()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.directory.StoreAnswered(now)
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
	if sum := digest(list); sum != s.doubt.digest {
		s.doubt.digest, s.doubt.changed, s.doubt.since = sum, time.Now(), time.Time{}
	}
	s.logServers(list, version)
	s.servers.Store(&list)
	s.edge.SetServers(list, version)
	s.loop.Apply(func(now time.Time) []dispatch.Effect { return s.policy.Servers(now, list) })
}

// logServers writes a line for each server whose state has changed. Both lists are in the order of names.
func (s *Station) logServers(list []backend.Server, version string) {
	old := *s.servers.Load()
	lines := 0
	more := func() bool { lines++; return lines <= changeLines }
	gone := func(id string) {
		if more() {
			s.log.Info().Str("Event", "ServerGone").Str("Server", id).Str("StoreVersion", version).Send()
		}
	}
	for _, b := range list {
		for len(old) > 0 && old[0].ID < b.ID {
			gone(old[0].ID)
			old = old[1:]
		}
		known := len(old) > 0 && old[0].ID == b.ID
		if (!known || old[0].Leaving != b.Leaving || old[0].Addr != b.Addr) && more() {
			s.log.Info().Str("Event", "Server").Str("Server", b.ID).Str("Service", b.Service).Str("Zone", b.Zone).
				Stringer("Address", b.Addr).Bool("Leaving", b.Leaving).Bool("Spot", b.Spot).Str("StoreVersion", version).Send()
		}
		if known {
			old = old[1:]
		}
	}
	for _, b := range old {
		gone(b.ID)
	}
	if lines > changeLines {
		s.log.Info().Str("Event", "ServersChanged").Int("Changes", lines).Int("Servers", len(list)).Str("StoreVersion", version).Send()
	}
}

// changeLines bounds the lines about servers for one change of the list: a host that starts learns of all.
const changeLines = 100

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

// measured takes the load of each service whose servers can be ordered.
func (s *Station) measured(now time.Time) {
	t := s.edge.Table()
	if t == nil {
		return
	}
	loads := map[string]supply.Load{}
	for name, svc := range t.Services {
		if svc.Scaling != nil {
			loads[name] = s.policy.Load(now, name)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads = loads
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
	s.loop.Apply(func(now time.Time) []dispatch.Effect {
		s.told(s.policy.State(now))
		s.measured(now)
		return nil
	})
}
