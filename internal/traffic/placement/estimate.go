package placement

import (
	"time"

	"shallotramp/internal/traffic/request"
)

const (
	// longPrompt is the size from which a prompt occupies an engine for several steps, in tokens: two
	// usual chunks of prefill.
	longPrompt = 3000
	// assumedOutput bounds the memory that is set aside for an answer of unknown length, in tokens.
	assumedOutput = 512
	// cacheLifetime is how long a part is assumed to stay in an engine's cache.
	cacheLifetime = 20 * time.Second
	// maxParts is the number of remembered parts of a server from which old ones are dropped.
	maxParts = 4096
	// peerLifetime is how long another host's word of its outstanding work counts.
	peerLifetime = 1500 * time.Millisecond
	// homeShare is the part of a shared prefix that a key's first server is assumed to hold though this host
	// has not sent it: other hosts send equal keys there.
	homeShare = 0.6
	// otherPartition is the cost of a long prompt on a server kept for short ones, and the reverse: one
	// event's delay for those that run there.
	otherPartition = 150 * time.Millisecond
	// otherZone is the cost of another availability zone: two crossings and the price of the bytes, for a
	// short prompt; otherZoneLong for a long one.
	otherZone     = 30 * time.Millisecond
	otherZoneLong = 120 * time.Millisecond
	// placeTime is the delay that each running request adds to the tokens of the others.
	placeTime = 400 * time.Microsecond
	// fullHeld is the share of an engine's memory from which another request would preempt one.
	fullHeld = 0.95
)

// choice is a server for a request and what to expect there.
type choice struct {
	server *server
	// first is the expected time to the first token, or to the answer of a plain service.
	first    time.Duration
	cost     time.Duration
	uncached int
	full     bool
	why      string
}

// choose returns the server with the least cost: the request's own delay, that of the work which runs
// there, and a surcharge for doubtful or distant servers.
func (p *Policy) choose(now time.Time, e *entry) choice {
	var best choice
	for pass := range 2 {
		for _, s := range e.svc.servers {
			if pass == 0 && (s.avoid(now) || e.hasTried(s)) {
				continue
			}
			c := p.consider(now, e, s)
			if best.server == nil || c.full != best.full && best.full || c.full == best.full && c.cost < best.cost {
				best = c
			}
		}
		// Servers that were set aside are better than none.
		if best.server != nil {
			break
		}
	}
	return best
}

func (e *entry) hasTried(s *server) bool {
	for _, t := range e.tried {
		if t == s {
			return true
		}
	}
	return false
}

func (p *Policy) consider(now time.Time, e *entry, s *server) choice {
	var c choice
	if e.svc.engine != nil {
		c = p.engine(now, e, s)
	} else {
		c = p.plain(now, e, s)
	}
	c.server = s
	if s.info.Zone != p.zone {
		c.cost += otherZone
		if e.long {
			c.cost += otherZoneLong - otherZone
		}
	}
	c.cost += s.doubt(now)
	// Equal costs are broken by chance, so that hosts do not send in a herd.
	c.cost += time.Duration(p.rnd.Int64N(int64(time.Millisecond)))
	return c
}

// engine estimates a model engine: prompts before this one, its own, and the step time of the batch.
func (p *Policy) engine(now time.Time, e *entry, s *server) choice {
	w := p.load(s)
	l := &e.svc.learned
	c := choice{uncached: p.uncached(now, e, s), why: "least expected delay"}
	slots := max(s.info.Slots, 1)
	c.first = l.reading(w.ahead(e.req.Tier)+c.uncached) + l.base + time.Duration(w.Running)*placeTime
	if over := w.Running + 1 - slots; over > 0 {
		c.first += time.Duration(over) * l.whole / time.Duration(slots)
	}
	c.cost = c.first
	if e.long {
		// Each running request waits while the prompt is read.
		c.cost += time.Duration(float64(l.reading(c.uncached)) * harmPerRunning * float64(w.Running))
	}
	if e.long != s.forLong && len(e.svc.servers) > 1 {
		c.cost += otherPartition
	}
	if m := e.svc.engine.CacheTokens; m > 0 && float64(w.Held+e.req.PromptTokens) > fullHeld*float64(m) {
		c.cost += l.whole
		c.first += l.whole / 4
	}
	return c
}

// harmPerRunning weighs the delay that a prompt's reading puts on each request that runs beside it: most
// bear it within their allowed pause.
const harmPerRunning = 0.02

// uncached estimates the tokens that the server has to read.
func (p *Policy) uncached(now time.Time, e *entry, s *server) int {
	parts := e.req.Parts
	if len(parts) == 0 {
		return e.req.PromptTokens
	}
	n := s.cache.uncached(now, parts)
	own := parts[len(parts)-1].Tokens
	if shared := n - own; shared > 0 && p.home(e, s) {
		n -= int(homeShare * float64(shared))
	}
	return n
}

// home reports whether s is the first server of the request's shared prefix within its availability zone.
func (p *Policy) home(e *entry, s *server) bool {
	key := affinity(e.req.Parts)
	mine := rankOf(s.info.ID, key)
	for _, o := range e.svc.servers {
		if o != s && o.info.Zone == s.info.Zone && o.forLong == s.forLong && rankOf(o.info.ID, key) < mine {
			return false
		}
	}
	return true
}

// affinity is the longest prefix that other requests may share.
func affinity(parts []request.Part) uint64 {
	if len(parts) > 1 {
		return parts[len(parts)-2].ID
	}
	return parts[0].ID
}

// plain estimates a plain service by its places and the time of an answer.
func (p *Policy) plain(_ time.Time, e *entry, s *server) choice {
	w := p.load(s)
	slots := max(s.info.Slots, 1)
	c := choice{first: e.svc.learned.whole, why: "least outstanding work"}
	c.cost = c.first * time.Duration(w.Running) / time.Duration(slots)
	if over := w.Running + 1 - slots; over > 0 {
		c.first += e.svc.learned.whole * time.Duration(over) / time.Duration(slots)
		c.full = over > queuedPerSlot*slots
	}
	return c
}

// queuedPerSlot is how many requests may wait at a plain server for each of its places.
const queuedPerSlot = 1

// partition keeps part of the servers of each availability zone for long prompts, so that short
// conversations beside them are not paused. All hosts choose the same servers.
func (s *service) partition() {
	if s.engine == nil {
		return
	}
	zones := map[string][]*server{}
	for _, x := range s.servers {
		zones[x.info.Zone] = append(zones[x.info.Zone], x)
	}
	for _, l := range zones {
		n := (len(l)*longShare + 99) / 100
		for i, x := range l {
			x.forLong = i < n
		}
	}
}

// longShare is the part of a zone's engines that take long prompts first, in percent.
const longShare = 50

// rates are what a service's requests have shown.
type rates struct {
	// perToken is the time to read one token of a prompt.
	perToken time.Duration
	// base is the time to the first token without a prompt, whole that of a whole answer.
	base, whole time.Duration
}

const (
	// firstPerToken, firstBase and firstWhole are assumed until requests have shown better: a slow engine.
	firstPerToken = 25 * time.Microsecond
	firstBase     = 60 * time.Millisecond
	firstWhole    = 60 * time.Millisecond
	// learnShare is the weight of a new observation.
	learnShare = 0.05
	// sampleTokens is the least prompt from which the reading time is learned.
	sampleTokens = 1500
)

func newRates() rates {
	return rates{perToken: firstPerToken, base: firstBase, whole: firstWhole}
}

func (r *rates) reading(tokens int) time.Duration { return time.Duration(tokens) * r.perToken }

func (r *rates) firstToken(took time.Duration, e *entry) {
	switch {
	case e.svc.engine == nil:
	case e.uncached < sampleTokens:
		r.base = blend(r.base, min(took, 4*r.base))
	case took > r.base:
		// Waiting before the prompt is in took as well: a sample above the estimate counts less.
		sample := (took - r.base) / time.Duration(e.uncached)
		r.perToken = max(blend(r.perToken, min(sample, 2*r.perToken)), time.Microsecond)
	}
}

func (r *rates) completed(took time.Duration, _ *entry) { r.whole = blend(r.whole, took) }

func blend(old, sample time.Duration) time.Duration {
	return old + time.Duration(learnShare*float64(sample-old))
}
