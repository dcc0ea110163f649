package placement

import (
	"slices"
	"time"

	"shallotramp/internal/traffic/request"
)

const (
	// longPromptTokens is the size from which a prompt occupies an engine for several steps: two prefill
	// chunks of the usual size.
	longPromptTokens = 3000
	// assumedOutputTokens bounds the KV cache tokens reserved for an answer, whose length is not known.
	assumedOutputTokens = 512
	// cacheLifetime is how long a prompt part is assumed to stay in an engine's KV cache after its last use.
	cacheLifetime = 20 * time.Second
	// maxParts bounds the parts remembered of a server or a service, maxServersPerPart the servers
	// remembered of a part.
	maxParts          = 4096
	maxServersPerPart = 4
	// allServersCost is the cost of the best nearby server above which all servers are considered.
	allServersCost = 250 * time.Millisecond
	// minPeerLifetime is the minimum time for which another host's state is used.
	minPeerLifetime = 1500 * time.Millisecond
	// minSharedPartTokens is the size from which the location of a shared part is sent to other hosts.
	// maxPartLocations bounds the locations in one message.
	minSharedPartTokens = 256
	maxPartLocations    = 256
	// minFetchTokens is the number of cached tokens from which a fetch from another engine is worthwhile,
	// and cacheFetchTime the duration of a fetch.
	minFetchTokens = 512
	cacheFetchTime = 15 * time.Millisecond
	// recomputeCostPerToken is the cost of prefilling a token that another engine has cached.
	recomputeCostPerToken = 20 * time.Microsecond
	// maxFetchFailureRate is the failure rate above which nothing is fetched from a server.
	maxFetchFailureRate = 0.3
	// prefillDelayWeight weighs the delay that a long prompt's prefill causes to each other request in the
	// batch. It is small because most of them absorb it within their gap target.
	prefillDelayWeight = 0.02
	// reportLifetime is how long a server's load report is used.
	reportLifetime = 200 * time.Millisecond
	// maxQueuedPerEngineSlot is how many requests per slot may wait at an engine before requests that can no
	// longer meet their goal are refused.
	maxQueuedPerEngineSlot = 1
	// onTimeMargin is the fraction of the time left to the goal within which the first token must be expected.
	onTimeMargin = 0.9
	// lowTierDivisor divides the cost of pending prefill that is less urgent than the request.
	lowTierDivisor = 4
	// demandTimeConstant is the time over which the prefill load is averaged for the server demand.
	demandTimeConstant = 2 * time.Second
	// wrongPartitionCost is the cost of a long prompt on a server kept for short ones, and the reverse: the
	// delay of one event of the requests that run there.
	wrongPartitionCost = 150 * time.Millisecond
	// prefillTokensPerEvent is the maximum number of tokens that an engine prefills while it generates one
	// event: the chunks of a few steps.
	prefillTokensPerEvent = 8192
	// interferenceFrom is the fraction of the gap target that this prefill may take without a cost;
	// interferenceFull is the fraction from which wrongPartitionCost applies in full.
	interferenceFrom, interferenceFull = 0.5, 0.8
	// maxHostBias bounds the cost by which each host prefers some servers to others.
	maxHostBias = 50 * time.Millisecond
	// otherZoneCost is the cost of a server in another availability zone for a short prompt: the latency there and
	// back and the price of the traffic. otherZoneLongCost is that for a long prompt with a usual goal: news of the
	// prefill that other hosts have sent there is up to a second old.
	otherZoneCost     = 30 * time.Millisecond
	otherZoneLongCost = 150 * time.Millisecond
	// lateCost is the cost of an answer that is expected too late. From lateRiskFrom of the time left to the goal it
	// applies in part, and from onTimeMargin in full, because latencies vary.
	lateCost     = 400 * time.Millisecond
	lateRiskFrom = 0.4
	// usualGoal is the goal above which an expected latency costs less: callers that wait for an answer for seconds
	// lose nothing by a delay that makes others late.
	usualGoal = 400 * time.Millisecond
	// batchDelayPerRequest is the delay that each request in the batch adds to the tokens of the others.
	batchDelayPerRequest = 400 * time.Microsecond
	// maxKVShare is the fraction of an engine's KV cache above which a new request would preempt another.
	maxKVShare = 0.95
)

// choice is a server for a request, with the estimates for it.
type choice struct {
	server *server
	// latency is the expected time to the first token of an engine, or to the answer of a plain service.
	latency time.Duration
	// usualLatency is the expected time to the first token of an engine of usual pace with the same work and a slot
	// free, or to the answer of a plain server of usual pace.
	usualLatency time.Duration
	cost         time.Duration
	uncached     int
	// requestsAhead counts the requests that the server runs before this one.
	requestsAhead int
	// fetchFrom is a server from which cached prompt tokens are fetched; nil for none. fetchedTokens counts them.
	// recomputedTokens counts tokens that are prefilled although another server has them cached.
	fetchFrom                       *server
	fetchedTokens, recomputedTokens int
	// full servers cannot take the request now: plain ones have no slot free and no room for another waiting request,
	// and others take no request of this host until wait has passed, see addWait.
	full bool
	wait time.Duration
	// overloaded engines have more requests waiting than maxQueuedPerEngineSlot allows.
	overloaded bool
	why        string
}

// choose returns the server with the lowest cost: the expected latency, the delay caused to requests that run
// there, and a surcharge for unhealthy or distant servers. It considers the servers of the own availability
// zone, the homes of the prompt's shared prefix and the servers known to have it cached, and all other servers if the
// best of these is too busy.
func (p *Policy) choose(now time.Time, e *entry) choice {
	near := e.svc.serversByZone[p.zone]
	h := e.homes(now, p.zone)
	best := p.best(now, e, near, h, choice{})
	best = p.best(now, e, h.servers, h, best)
	best = p.best(now, e, e.svc.parts.lookup(e.req.Parts), h, best)
	if best.server == nil || best.full || best.cost > allServersCost {
		best = p.best(now, e, e.svc.servers, h, best)
	}
	if best.server != nil && best.wait == 0 {
		return best
	}
	// Without another server, use those that are avoided or were tried. If another server will take the request later, they
	// are an alternative from when they are no longer avoided.
	othersLater := best.server != nil
	for _, s := range e.svc.servers {
		if s.addressTaken {
			continue
		}
		c := p.estimate(now, e, s, h)
		if othersLater && s.avoided(now) {
			c.delay(s.avoidUntil.Sub(now))
		}
		best = better(best, c)
	}
	return best
}

// delay marks the server as full until d has passed, or longer if it already is.
func (c *choice) delay(d time.Duration) {
	if d <= c.wait {
		return
	}
	c.latency += d - c.wait
	c.cost += d - c.wait
	c.full, c.wait = true, d
}

// best returns the best of a choice and the usable servers of a list.
func (p *Policy) best(now time.Time, e *entry, servers []*server, h homes, best choice) choice {
	for _, s := range servers {
		if !s.unavailable && !s.addressTaken && !s.avoided(now) && !e.hasTried(s) {
			best = better(best, p.estimate(now, e, s, h))
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

func (p *Policy) estimate(now time.Time, e *entry, s *server, h homes) choice {
	var c choice
	if e.svc.engine != nil {
		c = p.estimateEngine(now, e, s, h)
	} else {
		c = p.estimatePlain(now, e, s)
	}
	c.server = s
	if s.info.Zone != p.zone {
		if e.longPrompt {
			c.cost += scaleToGoal(otherZoneLongCost, e.req.Goal)
		} else {
			c.cost += otherZoneCost
		}
	}
	c.cost += s.healthCost(now)
	p.addWait(now, s, &c)
	// Hosts learn of each other's work with a delay. Each prefers other servers, so that they do not all
	// send to the same one that looked idle.
	c.cost += p.hostBias(e.svc, s)
	return c
}

// estimateEngine estimates a model engine: the prefill of the prompts ahead and of this one, and the batch's step
// time.
func (p *Policy) estimateEngine(now time.Time, e *entry, s *server, h homes) choice {
	w := s.totalWork()
	l := &e.svc.latencyModel
	speed := e.svc.paces.At(now, s.info.ID)
	c := choice{uncached: e.uncachedTokens(now, s), why: "least expected delay"}
	p.planFetch(now, e, s, h, &c)
	requestsAhead, prefillAhead := w.ahead(p.urgency(e))
	c.requestsAhead = requestsAhead
	slots := e.svc.paces.Batch(s.info.ID, max(s.info.Slots, 1), e.svc.minGapTarget)
	answerTime := scale(l.answerTime, speed.Decode)
	c.usualLatency = l.prefillTime(prefillAhead+c.uncached) + l.firstTokenBase + time.Duration(w.totalInFlight())*batchDelayPerRequest
	c.latency = scale(c.usualLatency, speed.Prefill)
	if c.fetchFrom != nil {
		c.latency += cacheFetchTime
	}
	if over := requestsAhead + 1 - slots; over > 0 {
		c.latency += time.Duration(over) * answerTime / time.Duration(slots)
	}
	// Less urgent work waits for this request, but delaying it has a cost.
	c.cost = scaleToGoal(c.latency+ownGain(c.usualLatency-l.prefillTime(prefillAhead), speed.Prefill), e.req.Goal) + scale(l.prefillTime(w.totalPendingPrefill()-prefillAhead), speed.Prefill)/lowTierDivisor
	c.cost += time.Duration(e.lateRisk(now, c.latency) * float64(lateCost))
	c.cost += time.Duration(c.recomputedTokens) * recomputeCostPerToken
	c.cost += time.Duration(c.fetchedTokens) * fetchCostPerToken
	if over := w.totalInFlight() + 1 - slots; over > 0 {
		c.cost += time.Duration(over) * answerTime / time.Duration(slots)
		c.overloaded = over > maxQueuedPerEngineSlot*slots
	}
	if e.longPrompt {
		// The other requests in the batch are delayed while the prompt is prefilled.
		c.cost += time.Duration(float64(l.prefillTime(c.uncached)) * speed.Prefill * prefillDelayWeight * float64(w.totalInFlight()))
	}
	if e.longPrompt != s.forLongPrompts && len(e.svc.servers) > 1 {
		c.cost += time.Duration(e.svc.interference(e, speed.Prefill) * float64(wrongPartitionCost))
	}
	c.cost += h.cost(s)
	if m := e.svc.engine.CacheTokens; m > 0 && float64(w.KVTokens+e.req.PromptTokens) > maxKVShare*float64(m) {
		c.cost += answerTime
		c.latency += answerTime / 4
	}
	return c
}

// interference returns from 0 to 1 how much the prefill of long prompts disturbs streams on the same engine:
// whether prefill during one event delays it beyond the smallest gap target.
func (s *service) interference(e *entry, pace float64) float64 {
	if g := e.req.GapTarget; g > 0 && (s.minGapTarget == 0 || g < s.minGapTarget) {
		s.minGapTarget = g
	}
	if s.minGapTarget == 0 {
		return 1
	}
	share := float64(s.latencyModel.prefillTime(prefillTokensPerEvent)) * pace / float64(s.minGapTarget)
	return min(max((share-interferenceFrom)/(interferenceFull-interferenceFrom), 0), 1)
}

// uncachedTokens estimates the number of prompt tokens that the server has to prefill.
func (e *entry) uncachedTokens(now time.Time, s *server) int {
	if len(e.req.Parts) == 0 {
		return e.req.PromptTokens
	}
	return s.cache.uncachedTokens(now, e.req.Parts)
}

// planFetch looks for a server that has cached more of the prompt than s. It plans a fetch from there, or counts
// the tokens as recomputed if they are too few.
func (p *Policy) planFetch(now time.Time, e *entry, s *server, h homes, c *choice) {
	parts := e.req.Parts
	if len(parts) == 0 || c.uncached <= parts[len(parts)-1].Tokens {
		return
	}
	best := c.uncached
	for _, o := range e.svc.parts.lookup(parts) {
		if o == s || o.unavailable || !o.canBeSource(now) {
			continue
		}
		if n := o.cache.uncachedTokens(now, parts); n < best {
			best, c.fetchFrom = n, o
		}
	}
	if o := h.sourceFor(s); c.fetchFrom == nil && o != nil && o.canBeSource(now) {
		best, c.fetchFrom = min(best, assumedUncached(parts)), o
	}
	switch {
	case h.isHome(s):
		// The home probably has the prefix cached, and fetches only what it has not.
		c.uncached = min(c.uncached, assumedUncached(parts))
	case c.uncached-best < minFetchTokens:
		c.recomputedTokens, c.fetchFrom = c.uncached-best, nil
	default:
		c.uncached, c.fetchedTokens = best, c.uncached-best
	}
}

// canBeSource reports whether cached tokens may be fetched from the server.
func (s *server) canBeSource(now time.Time) bool {
	return !s.addressTaken && !s.avoided(now) && s.failureRateAt(now) <= maxFetchFailureRate
}

// scaleToGoal returns the cost of an expected latency: the latency itself for goals up to usualGoal, and less for
// longer ones.
func scaleToGoal(latency, goal time.Duration) time.Duration {
	if goal <= usualGoal {
		return latency
	}
	return time.Duration(float64(latency) * float64(usualGoal) / float64(goal))
}

// sharedPrefixID returns the ID of the last part that other requests may share.
func sharedPrefixID(parts []request.Part) uint64 {
	if len(parts) > 1 {
		return parts[len(parts)-2].ID
	}
	return parts[0].ID
}

// estimatePlain estimates a server of a plain service from its slots and the mean answer time.
func (p *Policy) estimatePlain(now time.Time, e *entry, s *server) choice {
	inFlight := s.requestCount(now)
	slots := max(s.info.Slots, 1)
	answerTime := scale(e.svc.latencyModel.answerTime, e.svc.paces.At(now, s.info.ID).Decode)
	c := choice{latency: answerTime, usualLatency: e.svc.latencyModel.answerTime, requestsAhead: inFlight, why: "least outstanding work"}
	c.cost = c.latency*time.Duration(inFlight)/time.Duration(slots) + max(answerTime-c.usualLatency, 0)
	if over := inFlight + 1 - slots; over > 0 {
		c.latency += answerTime * time.Duration(over) / time.Duration(slots)
		c.full = over > maxQueuedPerPlainSlot*slots
	}
	return c
}

// maxQueuedPerPlainSlot is how many requests per slot may wait at a server of a plain service.
const maxQueuedPerPlainSlot = 1

// partition reserves some servers of each availability zone for long prompts, so that their prefill does not
// delay short conversations. All hosts choose the same servers.
func (s *service) partition() {
	s.serversByZone = map[string][]*server{}
	for _, x := range s.servers {
		s.serversByZone[x.info.Zone] = append(s.serversByZone[x.info.Zone], x)
	}
	if s.engine == nil {
		return
	}
	for _, l := range s.serversByZone {
		if s.paces.Differs() {
			s.partitionByPace(l)
			continue
		}
		n := (len(l)*longPromptServersPercent + 99) / 100
		for i, x := range l {
			x.forLongPrompts = i < n
		}
	}
}

// longPromptServersPercent is the percentage of a zone's engines that are preferred for long prompts.
const longPromptServersPercent = 65

// latencyModel estimates latencies of a service from its past requests.
type latencyModel struct {
	// prefillPerToken is the prefill time of one prompt token.
	prefillPerToken time.Duration
	// firstTokenBase is the time to the first token without prefill, answerTime that of a complete answer.
	firstTokenBase, answerTime time.Duration
	// prefillSamples and baseSamples are the latest samples of prefillPerToken and firstTokenBase.
	prefillSamples, baseSamples sampleWindow
}

const (
	// The initial estimates are used until there are enough samples.
	initialPrefillPerToken = 20 * time.Microsecond
	initialFirstTokenBase  = 50 * time.Millisecond
	initialAnswerTime      = 60 * time.Millisecond
	// ewmaWeight is the weight of a new observation.
	ewmaWeight = 0.05
	// minSampleTokens is the number of uncached tokens from which a request is a sample of the prefill time;
	// smaller ones are samples of firstTokenBase.
	minSampleTokens = 1500
	// maxSamples is how many samples are kept, minSamples how many are needed for an estimate.
	maxSamples = 48
	minSamples = 5
	// estimateQuantile is the quantile of the samples that is used. It is low because work unknown to the host
	// can only delay a first token, so that low samples show the time of the prompt alone.
	estimateQuantile = 0.2
)

// sampleWindow is a ring buffer of the latest samples.
type sampleWindow struct {
	values []time.Duration
	oldest int
}

func (w *sampleWindow) add(d time.Duration) {
	if len(w.values) < maxSamples {
		w.values = append(w.values, d)
		return
	}
	w.values[w.oldest] = d
	w.oldest = (w.oldest + 1) % maxSamples
}

// estimate returns the estimate from the samples, or fallback while there are too few.
func (w *sampleWindow) estimate(fallback time.Duration) time.Duration {
	if len(w.values) < minSamples {
		return fallback
	}
	l := slices.Clone(w.values)
	slices.Sort(l)
	return l[int(estimateQuantile*float64(len(l)))]
}

func newLatencyModel() latencyModel {
	return latencyModel{prefillPerToken: initialPrefillPerToken, firstTokenBase: initialFirstTokenBase, answerTime: initialAnswerTime}
}

func (r *latencyModel) prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * r.prefillPerToken
}

// observeFirstToken updates the model with the time to a first token, as a server of usual pace would have taken.
func (r *latencyModel) observeFirstToken(took time.Duration, e *entry) {
	took = scale(took, 1/e.pace.Prefill)
	switch {
	case e.svc.engine == nil:
	case e.uncached < minSampleTokens:
		r.baseSamples.add(max(took-r.prefillTime(e.uncached), 0))
		r.firstTokenBase = r.baseSamples.estimate(r.firstTokenBase)
	case took > r.firstTokenBase:
		r.prefillSamples.add((took - r.firstTokenBase) / time.Duration(e.uncached))
		r.prefillPerToken = max(r.prefillSamples.estimate(r.prefillPerToken), time.Microsecond)
	}
}

func (r *latencyModel) observeAnswer(took time.Duration, e *entry) {
	r.answerTime = ewma(r.answerTime, scale(took, 1/e.pace.Decode))
}

// ewma returns the exponentially weighted moving average with a new sample.
func ewma(old, sample time.Duration) time.Duration {
	return old + time.Duration(ewmaWeight*float64(sample-old))
}
