package placement

import (
	"slices"
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
	// maxParts bounds the parts that are remembered of a server, maxHolders the servers of a part.
	maxParts   = 4096
	maxHolders = 4
	// lookAround is the cost of the best near server from which all servers are looked at.
	lookAround = 250 * time.Millisecond
	// peerLifetime is how long another host's word of its outstanding work counts at least.
	peerLifetime = 1500 * time.Millisecond
	// notHome is the cost of a server that is not the first for a prompt's shared prefix.
	notHome = 30 * time.Millisecond
	// toldTokens is the size from which other hosts are told where a shared part went, and maxSeen bounds
	// the parts in one word.
	toldTokens = 256
	maxSeen    = 256
	// fetchTokens is the least that is worth a fetch from another engine, and fetchTime what a fetch takes.
	fetchTokens = 512
	fetchTime   = 15 * time.Millisecond
	// againPerToken is the cost of a shared token that is read though another engine holds it.
	againPerToken = 20 * time.Microsecond
	// doubtfulRate is the rate of failures from which nothing is fetched from a server.
	doubtfulRate = 0.3
	// harmPerRunning weighs the delay that a prompt's reading puts on each request that runs beside it: most
	// bear it within their allowed pause.
	harmPerRunning = 0.02
	// reportLifetime is how long a server's own word of its load counts.
	reportLifetime = 200 * time.Millisecond
	// crowdedShare is how many requests may wait at an engine for each of its places before those that can
	// no longer be on time are refused.
	crowdedShare = 1
	// onTimeMargin is the part of the time left to the goal in which a first token must be expected.
	onTimeMargin = 0.9
	// lowTierShare divides the unread work of low tiers where it does not come first.
	lowTierShare = 4
	// meterTime is the time over which the need for servers is averaged.
	meterTime = 2 * time.Second
	// otherPartition is the cost of a long prompt on a server kept for short ones, and the reverse: one
	// event's delay for those that run there.
	otherPartition = 150 * time.Millisecond
	// eventReading is how many tokens an engine reads, at most, while it makes one event: a few steps' chunks.
	eventReading = 8192
	// mixFrom and mixTo are the parts of the accepted pause that such reading may take without harm, and
	// from which it harms fully.
	mixFrom, mixTo = 0.5, 0.8
	// leanTime bounds the cost by which a host leans to servers of its own.
	leanTime = 50 * time.Millisecond
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
	// ahead counts the requests that the server takes first.
	ahead int
	// from holds more of the prompt; again is what is read though another server holds it.
	from  *server
	again int
	full  bool
	// crowded engines have as many requests waiting as they have places.
	crowded bool
	why     string
}

// choose returns the server with the least cost: the request's own delay, that of the work which runs
// there, and a surcharge for doubtful or distant servers. It looks at the own availability zone and at the
// servers that keep the prompt's shared part, and at all others if none of these is soon free.
func (p *Policy) choose(now time.Time, e *entry) choice {
	near := e.svc.zones[p.zone]
	home := e.homeOf(near)
	best := p.best(now, e, near, home, choice{})
	best = p.best(now, e, e.svc.holders.of(e.req.Parts), home, best)
	if best.server == nil || best.full || best.cost > lookAround {
		best = p.best(now, e, e.svc.servers, home, best)
	}
	if best.server != nil {
		return best
	}
	// Servers that were set aside are better than none.
	for _, s := range e.svc.servers {
		if !s.elsewhere {
			best = better(best, p.consider(now, e, s, home))
		}
	}
	return best
}

// best returns the better of a choice and those among servers that are not avoided.
func (p *Policy) best(now time.Time, e *entry, servers []*server, home *server, best choice) choice {
	for _, s := range servers {
		if !s.gone && !s.elsewhere && !s.avoid(now) && !e.hasTried(s) {
			best = better(best, p.consider(now, e, s, home))
		}
	}
	return best
}

func better(a, b choice) choice {
	if a.server == nil || a.full != b.full && a.full || a.full == b.full && b.cost < a.cost {
		return b
	}
	return a
}

func (e *entry) hasTried(s *server) bool {
	for _, t := range e.tried {
		if t == s {
			return true
		}
	}
	return false
}

func (p *Policy) consider(now time.Time, e *entry, s, home *server) choice {
	var c choice
	if e.svc.engine != nil {
		c = p.engine(now, e, s, home)
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
	// Hosts learn of each other's work late: each leans to servers of its own, so that they do not all
	// send to the one that looked free last.
	c.cost += time.Duration(mix(s.rank, p.lean) % uint64(leanTime))
	return c
}

// engine estimates a model engine: prompts before this one, its own, and the step time of the batch.
func (p *Policy) engine(now time.Time, e *entry, s, home *server) choice {
	w := s.load()
	l := &e.svc.learned
	c := choice{uncached: e.unread(now, s), why: "least expected delay"}
	p.fetch(now, e, s, &c)
	running, unread := w.ahead(p.level(e))
	c.ahead = running
	slots := max(s.info.Slots, 1)
	c.first = l.reading(unread+c.uncached) + l.base + time.Duration(w.all())*placeTime
	if c.from != nil {
		c.first += fetchTime
	}
	if over := running + 1 - slots; over > 0 {
		c.first += time.Duration(over) * l.whole / time.Duration(slots)
	}
	// Less urgent work yields its place, but not for nothing.
	c.cost = c.first + l.reading(w.allUnread()-unread)/lowTierShare
	c.cost += time.Duration(c.again) * againPerToken
	if over := w.all() + 1 - slots; over > 0 {
		c.cost += time.Duration(over) * l.whole / time.Duration(slots)
		c.crowded = over > crowdedShare*slots
	}
	if e.long {
		// Each running request waits while the prompt is read.
		c.cost += time.Duration(float64(l.reading(c.uncached)) * harmPerRunning * float64(w.all()))
	}
	if e.long != s.forLong && len(e.svc.servers) > 1 {
		c.cost += time.Duration(e.svc.mixing(e) * float64(otherPartition))
	}
	if len(e.req.Parts) > 1 && e.long && s != home {
		c.cost += notHome
	}
	if m := e.svc.engine.CacheTokens; m > 0 && float64(w.KVTokens+e.req.PromptTokens) > fullHeld*float64(m) {
		c.cost += l.whole
		c.first += l.whole / 4
	}
	return c
}

// mixing returns how much long prompts harm the streams beside them, 0 to 1: whether the prompts that are
// read during one event pause it for longer than its callers accept.
func (s *service) mixing(e *entry) float64 {
	if g := e.req.GapTarget; g > 0 && (s.gap == 0 || g < s.gap) {
		s.gap = g
	}
	if s.gap == 0 {
		return 1
	}
	share := float64(s.learned.reading(eventReading)) / float64(s.gap)
	return min(max((share-mixFrom)/(mixTo-mixFrom), 0), 1)
}

// unread estimates the tokens that the server has to read.
func (e *entry) unread(now time.Time, s *server) int {
	if len(e.req.Parts) == 0 {
		return e.req.PromptTokens
	}
	return s.cache.missing(now, e.req.Parts)
}

// fetch finds a server to fetch what it has read and s has not, and estimates what is read again.
func (p *Policy) fetch(now time.Time, e *entry, s *server, c *choice) {
	parts := e.req.Parts
	if len(parts) == 0 || c.uncached <= parts[len(parts)-1].Tokens {
		return
	}
	best := c.uncached
	for _, o := range e.svc.holders.of(parts) {
		if o == s || o.gone || o.elsewhere || o.avoid(now) || o.rate(now) > doubtfulRate {
			continue
		}
		if n := o.cache.missing(now, parts); n < best {
			best, c.from = n, o
		}
	}
	if c.uncached-best < fetchTokens {
		c.again, c.from = c.uncached-best, nil
		return
	}
	c.uncached = best
}

// homeOf returns the first server for the request's shared prefix among those of an availability zone: hosts
// that do not know where a part is kept send it there.
func (e *entry) homeOf(servers []*server) *server {
	if len(e.req.Parts) < 2 || !e.long {
		return nil
	}
	key := affinity(e.req.Parts)
	var home *server
	var least uint64
	for _, s := range servers {
		if rank := mix(s.rank, key); s.forLong && (home == nil || rank < least) {
			home, least = s, rank
		}
	}
	return home
}

// affinity is the longest prefix that other requests may share.
func affinity(parts []request.Part) uint64 {
	if len(parts) > 1 {
		return parts[len(parts)-2].ID
	}
	return parts[0].ID
}

// plain estimates a plain service by its places and the time of an answer.
func (p *Policy) plain(now time.Time, e *entry, s *server) choice {
	taken := s.taken(now)
	slots := max(s.info.Slots, 1)
	c := choice{first: e.svc.learned.whole, ahead: taken, why: "least outstanding work"}
	c.cost = c.first * time.Duration(taken) / time.Duration(slots)
	if over := taken + 1 - slots; over > 0 {
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
	s.zones = map[string][]*server{}
	for _, x := range s.servers {
		s.zones[x.info.Zone] = append(s.zones[x.info.Zone], x)
	}
	if s.engine == nil {
		return
	}
	for _, l := range s.zones {
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
	// read and began are the latest samples of perToken and base.
	read, began samples
}

const (
	// firstPerToken, firstBase and firstWhole are assumed until requests have shown better.
	firstPerToken = 20 * time.Microsecond
	firstBase     = 50 * time.Millisecond
	firstWhole    = 60 * time.Millisecond
	// learnShare is the weight of a new observation.
	learnShare = 0.05
	// sampleTokens is the least prompt from which the reading time is learned.
	sampleTokens = 1500
	// keptSamples is how many samples are kept, fewSamples how many are needed.
	keptSamples = 48
	fewSamples  = 5
	// lowShare is the part of the samples below the estimate: work ahead that the host did not know of only
	// makes a first token later, so that the low samples tell the time that the prompt itself took.
	lowShare = 0.2
)

// samples are the latest ones, the oldest overwritten first.
type samples struct {
	kept []time.Duration
	next int
}

func (s *samples) add(d time.Duration) {
	if len(s.kept) < keptSamples {
		s.kept = append(s.kept, d)
		return
	}
	s.kept[s.next] = d
	s.next = (s.next + 1) % keptSamples
}

// low returns the estimate, or old while there are too few samples.
func (s *samples) low(old time.Duration) time.Duration {
	if len(s.kept) < fewSamples {
		return old
	}
	l := slices.Clone(s.kept)
	slices.Sort(l)
	return l[int(lowShare*float64(len(l)))]
}

func newRates() rates {
	return rates{perToken: firstPerToken, base: firstBase, whole: firstWhole}
}

func (r *rates) reading(tokens int) time.Duration { return time.Duration(tokens) * r.perToken }

// firstToken learns from a first token.
func (r *rates) firstToken(took time.Duration, e *entry) {
	switch {
	case e.svc.engine == nil:
	case e.uncached < sampleTokens:
		r.began.add(max(took-r.reading(e.uncached), 0))
		r.base = r.began.low(r.base)
	case took > r.base:
		r.read.add((took - r.base) / time.Duration(e.uncached))
		r.perToken = max(r.read.low(r.perToken), time.Microsecond)
	}
}

func (r *rates) completed(took time.Duration, _ *entry) { r.whole = blend(r.whole, took) }

func blend(old, sample time.Duration) time.Duration {
	return old + time.Duration(learnShare*float64(sample-old))
}
