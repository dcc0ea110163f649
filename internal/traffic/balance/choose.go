package balance

import (
	"slices"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

const (
	// scanLimit is the length up to which all servers of a list are compared. From a longer list,
	// sampleSize servers are drawn at random.
	scanLimit  = 8
	sampleSize = 5
	// spilloverLoad is the load factor of the best server in the host's zone from which other zones are
	// considered: the server must be full, because what is known of other zones is older.
	spilloverLoad = 1.0
	// The defaults are used until requests were measured.
	defaultOutputTokens           = 256.0
	defaultDecodeSeconds          = 2.0
	defaultPrefillSecondsPerToken = 1.0 / 5000
	// maxOutputFactor bounds the ratio of a request's expected output to the pool's mean output.
	maxOutputFactor = 4.0
	// fullLoadCostFactor is the share by which generating an answer takes longer on a full server than on
	// an empty one.
	fullLoadCostFactor = 0.25
	// failureCostSeconds is added for each recent failure of a server.
	failureCostSeconds = 0.5
	// priceCostSeconds is added for a server at the pool's mean price, and in proportion for others.
	priceCostSeconds = 0.05
	// tieBreakNoise is the largest share that is added to a cost at random, so that the hosts do not all
	// choose the same one of equal servers.
	tieBreakNoise = 0.001
	// minPairTokens is the smallest uncached part of a prompt that is read by a separate server.
	minPairTokens = 1024
	// sameZoneCostSeconds is added for a server in the zone of an excluded server, so that a retry
	// preferably goes to another zone than the attempt that failed.
	sameZoneCostSeconds = 0.25
)

// The reasons for a choice that are shown to operators.
const (
	whyCached = "has the prompt's prefix cached"
	whyLocal  = "shortest expected time in the zone"
	whyRemote = "shortest expected time, in another zone"
)

// exclusion holds the servers that must not be chosen for a request, and their zones.
type exclusion struct {
	names []string
	zones []string
}

func (e *exclusion) set(b *Balancer, names []string) {
	e.names, e.zones = names, e.zones[:0]
	for _, n := range names {
		if v, ok := b.servers[n]; ok {
			e.zones = append(e.zones, v.spec.Zone)
		}
	}
}

// search is the state of one choice.
type search struct {
	b                *Balancer
	now              time.Time
	r                *request.Request
	p                *pool
	target           target
	list             *targetList
	class            *object.ClassSpec
	allowReclaimable bool
	level            roomLevel
	// best is the cheapest server so far, cost its cost. cached is set when it may have some of the prompt
	// cached.
	best   *server
	cost   float64
	cached bool
}

// Choose returns the server for r, which is none of exclude, and the reason for the choice. It returns false when
// no server has room.
func (b *Balancer) Choose(now time.Time, r *request.Request, exclude []string) (server, why string, ok bool) {
	b.processTimers(now)
	p, ok := b.pools[r.Pool]
	if !ok {
		return "", "", false
	}
	s := b.search(now, r, p, targetOf(r.Model, r.Adapter, r.Version), exclude)
	if s.best == nil {
		return "", "", false
	}
	return s.best.spec.Name, s.why(), true
}

// ChoosePair returns a server that reads the prompt of r and a server that imports the KV cache and
// generates the answer. It returns false when the pool has no such servers with room, or when the prompt is
// too short to be worth the transfer. One server then runs the whole request, see [Balancer.Choose].
func (b *Balancer) ChoosePair(now time.Time, r *request.Request, exclude []string) (prefill, decode string, ok bool) {
	b.processTimers(now)
	p, ok := b.pools[r.Pool]
	if !ok {
		return "", "", false
	}
	t := targetOf(r.Model, r.Adapter, r.Version)
	decodeSearch := b.search(now, r, p, t, exclude)
	if decodeSearch.best == nil || decodeSearch.best.role != dispatch.Decode {
		return "", "", false
	}
	if r.PromptTokens-b.prefixes.matchedBlocks(decodeSearch.best, r.Prefix)*blockTokens < minPairTokens {
		return "", "", false
	}
	t.prefill = true
	prefillSearch := b.search(now, r, p, t, exclude)
	if prefillSearch.best == nil {
		return "", "", false
	}
	return prefillSearch.best.spec.Name, decodeSearch.best.spec.Name, true
}

// unknownClass is used for a class that the current release does not have.
var unknownClass object.ClassSpec

// search finds the cheapest server with room for a target.
func (b *Balancer) search(now time.Time, r *request.Request, p *pool, t target, exclude []string) search {
	b.exclude.set(b, exclude)
	s := search{b: b, now: now, r: r, p: p, target: t, list: p.targetList(t), class: &unknownClass}
	if c, ok := b.snap.Set.Classes[r.Class]; ok {
		s.class, s.allowReclaimable = c, c.Reclaimable
	}
	s.findAtLevel()
	if s.best == nil && p.isTopTier(r.Tier) {
		s.level = overcommitRoom
		s.findAtLevel()
	}
	return s
}

// findAtLevel considers servers of the search's room level.
func (s *search) findAtLevel() {
	s.considerCached()
	s.considerZone(0)
	if s.best == nil || len(s.b.exclude.names) > 0 || s.best.loadFactor(s.now) >= spilloverLoad {
		s.considerZone(1)
	}
}

// isTopTier reports whether number is the top tier of the pool, the highest that it serves.
func (p *pool) isTopTier(number int) bool { return len(p.tiers) > 0 && p.tiers[0].number == number }

func (s *search) why() string {
	switch {
	case s.cached:
		return whyCached
	case s.best.remote == 1:
		return whyRemote
	}
	return whyLocal
}

// Room reports whether a server of the pool has room for a request of a rank. Rank 1 is the top tier
// of the pool, rank 2 the next one that it serves, and so on.
func (b *Balancer) Room(now time.Time, pool string, rank int) bool {
	b.processTimers(now)
	p, ok := b.pools[pool]
	if !ok {
		return false
	}
	allowReclaimable := rank >= 1 && rank <= len(p.tiers) && p.tiers[rank-1].allowReclaimable
	return p.hasRoom(regularRoom, allowReclaimable) || rank == 1 && p.hasRoom(overcommitRoom, allowReclaimable)
}

func (p *pool) hasRoom(l roomLevel, allowReclaimable bool) bool {
	return p.withRoom[l][0] > 0 || allowReclaimable && p.withRoom[l][1] > 0
}

// considerCached considers the servers that may have the longest part of the prompt cached.
func (s *search) considerCached() {
	h, ok := s.b.prefixes.longestMatch(s.r.Prefix)
	if !ok {
		return
	}
	for i := range h.n {
		v := h.list[i].server
		if h.list[i].valid() && v.pool == s.p && v.level == s.level && s.eligible(v) {
			s.consider(v)
		}
	}
}

// eligible reports whether a server with room has the request's target loaded and may run its class.
func (s *search) eligible(v *server) bool {
	if v.reclaimable == 1 && !s.allowReclaimable {
		return false
	}
	return s.target.fits(v)
}

// considerZone considers servers with room, in the host's zone (remote is 0) or in others (1).
func (s *search) considerZone(remote int) {
	s.considerBucket(&s.list.buckets[s.level][remote][0])
	if s.allowReclaimable {
		s.considerBucket(&s.list.buckets[s.level][remote][1])
	}
}

// considerBucket considers all servers of a short list, and a random sample of a long one.
func (s *search) considerBucket(list *[]entry) {
	if len(*list) <= scanLimit {
		// Backwards, because consider may remove a full server, and the last entry then takes its place.
		for i := len(*list) - 1; i >= 0; i-- {
			s.consider((*list)[i].server)
		}
		return
	}
	for range sampleSize {
		if len(*list) == 0 {
			return
		}
		s.consider((*list)[s.b.rng.IntN(len(*list))].server)
	}
}

// consider makes v the best server if it has room and costs less than the best so far.
func (s *search) consider(v *server) {
	if v == s.best || slices.Contains(s.b.exclude.names, v.spec.Name) {
		return
	}
	// The server's state may be out of date by what changes with time alone.
	s.b.update(s.now, v)
	if v.level != s.level || s.tooSlow(v) && !s.probeDue(v) {
		return
	}
	cachedBlocks := s.b.prefixes.matchedBlocks(v, s.r.Prefix)
	c := s.costOf(v, cachedBlocks) * (1 + tieBreakNoise*s.b.rng.Float64())
	if s.best == nil || c < s.cost {
		s.best, s.cost, s.cached = v, c, cachedBlocks > 0
	}
}

// tooSlow reports whether the request would miss its deadline or the time between tokens of its class on v,
// but not on a server of the pool's mean speed. The request then waits for another server.
func (s *search) tooSlow(v *server) bool {
	if v.speed >= fullSpeed || s.p.usable < 2 {
		return false
	}
	if target := time.Duration(s.class.BetweenTokens).Seconds(); target > 0 && s.p.ratedServers > 0 {
		if usual := 1 / s.p.meanTokenRate(); usual <= target && usual/v.speed > target {
			return true
		}
	}
	if s.r.Deadline.IsZero() {
		return false
	}
	left, usual := s.r.Deadline.Sub(s.now).Seconds(), s.decodeSeconds()
	return usual <= left && usual/v.speed > left
}

// probeDue reports whether v should get one request to measure whether it is still slow. Requests of the
// top one of several tiers are not used for that.
func (s *search) probeDue(v *server) bool {
	return v.outstanding(s.now) == 0 && s.now.Sub(v.tokenRateAt) >= probeInterval && (len(s.p.tiers) < 2 || !s.p.isTopTier(s.r.Tier))
}

// costOf estimates the seconds that the request takes on v, plus penalties for price and for the risk of a failure.
func (s *search) costOf(v *server, cachedBlocks int) float64 {
	uncached := max(0, float64(s.r.PromptTokens)-float64(cachedBlocks*blockTokens)*v.cache.confidence())
	seconds := uncached * s.p.prefillSecondsPerToken.valueOr(defaultPrefillSecondsPerToken)
	// The cost grows with the square of the load: hosts with outdated information are most likely to
	// compete for the last free slots of a server.
	load := v.loadFactor(s.now)
	seconds += s.decodeSeconds() * (1 + fullLoadCostFactor*load*load)
	seconds /= v.speed
	if v.remote == 1 {
		seconds += s.b.crossZoneCost(v.spec.Zone).Seconds()
	}
	if s.p.meanPrice > 0 {
		seconds += priceCostSeconds * v.spec.Price / s.p.meanPrice
	}
	seconds += failureCostSeconds * float64(v.failures)
	if slices.Contains(s.b.exclude.zones, v.spec.Zone) {
		seconds += sameZoneCostSeconds
	}
	return seconds
}

// decodeSeconds is the mean time of generating an answer, and less when the caller limits the answer to less than
// the mean length.
func (s *search) decodeSeconds() float64 {
	out := s.p.outputTokens.valueOr(defaultOutputTokens)
	usual := s.p.decodeSeconds.valueOr(defaultDecodeSeconds)
	if s.r.MaxTokens == 0 || out <= 0 {
		return usual
	}
	return usual * min(maxOutputFactor, min(float64(s.r.MaxTokens), out)/out)
}

// loadFactor is the server's load as a share of its concurrency limit.
func (v *server) loadFactor(now time.Time) float64 {
	return float64(v.outstanding(now)) / float64(v.concurrencyLimit(now))
}
