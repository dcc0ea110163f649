package balance

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// reach is the arrival at an engine.
func (s *sim) reach(e *simEngine, j *simJob) {
	if e.down {
		s.end(j, request.Unreachable)
		return
	}
	s.res.placed++
	if len(e.running) >= simSlots {
		s.res.overfull++
		e.waiting = append(e.waiting, j)
		s.res.mostOver = max(s.res.mostOver, len(e.waiting))
		return
	}
	s.run(e, j)
}

func (s *sim) run(e *simEngine, j *simJob) {
	e.running[j] = true
	j.cached = s.prefill(e, j)
	uncached := simPrompt - j.cached
	s.res.prompt += simPrompt
	s.res.cached += j.cached
	try := j.try
	s.at(scale(time.Duration(uncached)*simPrefill, e.slow), func() { s.token(e, j, try) })
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// prefill looks the prompt up in the engine's cache, adds it, and publishes the change with gaps.
func (s *sim) prefill(e *simEngine, j *simJob) int {
	cached := 0
	var stored, evicted []uint64
	for i, block := range j.req.Prefix {
		if _, ok := e.cache.Get(block); ok {
			if cached == i*blockTokens {
				cached = (i + 1) * blockTokens
			}
			continue
		}
		if e.cache.Len() == simBlocks {
			old, _, _ := e.cache.RemoveOldest()
			evicted = append(evicted, old)
		}
		e.cache.Add(block, struct{}{})
		stored = append(stored, block)
	}
	if len(stored) > 0 {
		e.sequence++
		s.publish(dispatch.CacheEvent{Server: e.name, Sequence: e.sequence, Stored: stored, Evicted: evicted})
	}
	return cached
}

func (s *sim) publish(ev dispatch.CacheEvent) {
	if s.rng.Float64() < s.cfg.gaps {
		return
	}
	for _, h := range s.hosts {
		s.at(simEventLate, func() { h.c.Cache(s.now, ev) })
	}
}

// token generates one token and plans the next.
func (s *sim) token(e *simEngine, j *simJob, try int) {
	if j.over || j.try != try || !e.running[j] {
		return
	}
	if j.first.IsZero() {
		j.first = s.now
		s.win(j)
	}
	j.got++
	if j.got%16 == 0 {
		j.host.c.Progress(s.now, j.req.ID, 16)
	}
	if j.got >= j.length {
		s.end(j, request.Completed)
		return
	}
	s.at(scale(simInterval, e.slow), func() { s.token(e, j, try) })
}

func (s *sim) gossip() {
	for _, h := range s.hosts {
		st := dispatch.HostState{Host: h.name, Zone: h.zone, At: s.now, Outstanding: h.c.Outstanding(), Waiting: map[string]int{"chat": len(h.queue)}}
		for _, n := range st.Outstanding {
			st.Running = map[string]int{"chat": n}
		}
		s.at(20*time.Millisecond, func() {
			for _, o := range s.hosts {
				if o != h {
					o.c.Peer(s.now, st)
				}
			}
		})
		for _, name := range h.c.PartialCaches(s.now) {
			e := s.byName[name]
			h.c.Cache(s.now, dispatch.CacheEvent{Server: name, Sequence: e.sequence, Stored: e.cache.Keys(), Whole: true})
		}
	}
}

func (s *sim) report() {
	for _, e := range s.engines {
		if e.down {
			continue
		}
		l := dispatch.Load{Server: e.name, At: s.now, Running: len(e.running), Waiting: len(e.waiting), CacheSequence: e.sequence}
		s.at(s.cfg.reportAge, func() {
			for _, h := range s.hosts {
				h.c.Report(s.now, l)
			}
		})
	}
}
