package balance

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// arriveAtEngine runs a job on an engine, or queues it there when all slots are taken.
func (s *sim) arriveAtEngine(e *simEngine, j *simJob) {
	if e.down {
		s.endAttempt(j, request.Unreachable)
		return
	}
	s.result.sent++
	if len(e.running) >= simSlots {
		s.result.sentToFull++
		e.waiting = append(e.waiting, j)
		s.result.maxEngineQueue = max(s.result.maxEngineQueue, len(e.waiting))
		return
	}
	s.run(e, j)
}

func (s *sim) run(e *simEngine, j *simJob) {
	e.running[j] = true
	j.cachedTokens = s.prefill(e, j)
	uncached := simPromptTokens - j.cachedTokens
	s.result.promptTokens += simPromptTokens
	s.result.cachedTokens += j.cachedTokens
	attempt := j.attempt
	s.after(scale(time.Duration(uncached)*simPrefillPerToken, e.slowdown), func() { s.token(e, j, attempt) })
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// prefill adds the prompt to the engine's cache and publishes the change. It returns how many leading tokens were cached.
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
		if e.cache.Len() == simCacheBlocks {
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

// publish sends a cache event to all hosts, or loses it.
func (s *sim) publish(ev dispatch.CacheEvent) {
	if s.rng.Float64() < s.cfg.eventLoss {
		return
	}
	for _, h := range s.hosts {
		s.after(simCacheEventDelay, func() { h.chooser.Cache(s.now, ev) })
	}
}

// token generates one token and schedules the next.
func (s *sim) token(e *simEngine, j *simJob, attempt int) {
	if j.ended || j.attempt != attempt || !e.running[j] {
		return
	}
	if j.firstToken.IsZero() {
		j.firstToken = s.now
		s.cancelOther(j)
	}
	j.generated++
	if j.generated%16 == 0 {
		j.host.chooser.Progress(s.now, j.req.ID, 16)
	}
	if j.generated >= j.outputTokens {
		s.endAttempt(j, request.Completed)
		return
	}
	s.after(scale(simTokenInterval, e.slowdown), func() { s.token(e, j, attempt) })
}

// exchangeState sends the state of each host to the others, and reads the caches that a host knows only in part.
func (s *sim) exchangeState() {
	for _, h := range s.hosts {
		st := dispatch.HostState{Host: h.name, Zone: h.zone, At: s.now, Outstanding: h.chooser.Outstanding(), Waiting: map[string]int{"chat": len(h.queue)}}
		for _, n := range st.Outstanding {
			st.Running = map[string]int{"chat": n}
		}
		s.after(20*time.Millisecond, func() {
			for _, o := range s.hosts {
				if o != h {
					o.chooser.Peer(s.now, st)
				}
			}
		})
		for _, name := range h.chooser.PartialCaches(s.now) {
			e := s.engineByName[name]
			h.chooser.Cache(s.now, dispatch.CacheEvent{Server: name, Sequence: e.sequence, Stored: e.cache.Keys(), Whole: true})
		}
	}
}

// report sends load reports of all engines to all hosts, with a delay of reportAge.
func (s *sim) report() {
	for _, e := range s.engines {
		if e.down {
			continue
		}
		l := dispatch.Load{Server: e.name, At: s.now, Running: len(e.running), Waiting: len(e.waiting), CacheSequence: e.sequence}
		s.after(s.cfg.reportAge, func() {
			for _, h := range s.hosts {
				h.chooser.Report(s.now, l)
			}
		})
	}
}
