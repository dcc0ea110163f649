// Package model is a discrete-event simulation of model engines, hosts and
// callers. It runs in virtual time, so that a policy can be evaluated under a
// load pattern in seconds and with the same results each time. An engine works
// in steps. Each step generates one token for every running request and prefills
// one chunk of a queued prompt.
package model

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"shallotramp/internal/traffic/request"
)

// EngineConfig holds the capacity and the timing of an engine.
type EngineConfig struct {
	// Slots is the maximum batch size, CacheTokens the size of the KV cache, and PrefillChunk the maximum number of
	// prompt tokens prefilled in one step.
	Slots, CacheTokens, PrefillChunk int
	// Step is the base duration of a step. Each running request adds StepPerSlot, and each prefilled token adds
	// PrefillPerToken. FirstTokenDelay is added before the first token of a request.
	Step, StepPerSlot, PrefillPerToken, FirstTokenDelay time.Duration
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// CacheFetchTime is the time to copy cached prompt tokens from another engine.
	CacheFetchTime time.Duration
}

// maxCachedParts bounds the prompt parts in the cache of an engine, which holds far fewer.
const maxCachedParts = 1 << 16

// job is a request on an engine.
type job struct {
	call *call
	// prefillLeft is the number of prompt tokens still to be prefilled, generated the number of tokens generated.
	prefillLeft, generated int
	readyAt                time.Time
}

// engine is the state of one engine.
type engine struct {
	cfg   EngineConfig
	name  string
	zone  string
	busy  bool
	queue []*job
	batch []*job
	// cache holds the last use of each cached prompt part, and cachedTokens their tokens. The parts used longest ago are
	// evicted when the cache is full.
	cache        *simplelru.LRU[uint64, request.Part]
	cachedTokens int
	// pace multiplies the durations of steps for good, moment at the moment. work is the time that the steps so far would
	// have taken without.
	pace, moment float64
	work         time.Duration
	// prefillTokens counts prefilled tokens, repeatedPrefillTokens those of them that another engine had cached.
	prefillTokens, repeatedPrefillTokens int
}

// admit queues a request in order of urgency, then of arrival. If from is not nil, the engine may fetch cached prompt
// tokens from it.
func (e *engine) admit(now time.Time, c *call, from *engine, others []*engine) {
	j := &job{call: c, readyAt: now}
	uncached := e.uncachedTokens(c.req.Parts)
	if from != nil && from.uncachedTokens(c.req.Parts) < uncached {
		uncached = from.uncachedTokens(c.req.Parts)
		j.readyAt = now.Add(e.cfg.CacheFetchTime)
	} else {
		e.repeatedPrefillTokens += e.repeatedTokens(c.req.Parts, others)
	}
	if len(c.req.Parts) == 0 {
		uncached = c.req.PromptTokens
	}
	j.prefillLeft = max(uncached, 1)
	for _, p := range c.req.Parts {
		e.keep(p)
	}
	i, _ := slices.BinarySearchFunc(e.queue, j, func(a, b *job) int {
		if a.call.urgency != b.call.urgency {
			return a.call.urgency - b.call.urgency
		}
		return a.call.arrivedAt.Compare(b.call.arrivedAt)
	})
	e.queue = slices.Insert(e.queue, i, j)
}

// newEngine returns an idle engine with an empty cache.
func newEngine(cfg EngineConfig, name, zone string) *engine {
	e := &engine{cfg: cfg, name: name, zone: zone, pace: 1, moment: 1}
	cache, err := simplelru.NewLRU(maxCachedParts, func(_ uint64, p request.Part) { e.cachedTokens -= p.Tokens })
	if err != nil {
		panic(err) // The size is a constant above 0.
	}
	e.cache = cache
	return e
}

// keep adds a part to the cache, or marks it as the one used last, and evicts others if the cache is full.
func (e *engine) keep(p request.Part) {
	if !e.cache.Contains(p.ID) {
		e.cachedTokens += p.Tokens
	}
	e.cache.Add(p.ID, p)
	for e.cfg.CacheTokens > 0 && e.cachedTokens > e.cfg.CacheTokens && e.cache.Len() > 1 {
		e.cache.RemoveOldest()
	}
}

// uncachedTokens returns the number of tokens in the first uncached part and all parts after it. A cached part is of use
// only if all parts before it are cached too.
func (e *engine) uncachedTokens(parts []request.Part) int {
	n := 0
	for _, p := range parts {
		if n > 0 || !e.cache.Contains(p.ID) {
			n += p.Tokens
		}
	}
	return n
}

// repeatedTokens returns the number of tokens that this engine has to prefill although another engine has them cached.
func (e *engine) repeatedTokens(parts []request.Part, others []*engine) int {
	own := e.uncachedTokens(parts)
	best := own
	for _, o := range others {
		best = min(best, o.uncachedTokens(parts))
	}
	return own - best
}

// step runs one step. It returns the end of the step, the requests that got a token, and true. If there is nothing to
// run, it returns the time at which the next prompt is ready, and false.
func (e *engine) step(now time.Time) (time.Time, []*job, bool) {
	prefill := e.nextPrefill(now)
	if prefill == nil && len(e.batch) == 0 {
		return e.nextReadyAt(), nil, false
	}
	d := e.cfg.Step + time.Duration(len(e.batch))*e.cfg.StepPerSlot
	if prefill != nil {
		n := min(prefill.prefillLeft, e.cfg.PrefillChunk)
		prefill.prefillLeft -= n
		e.prefillTokens += n
		d += time.Duration(n) * e.cfg.PrefillPerToken
	}
	e.work += d
	end := now.Add(time.Duration(float64(d) * e.pace * e.moment))
	batch := slices.Clone(e.batch)
	for _, j := range e.batch {
		j.generated++
	}
	if prefill != nil && prefill.prefillLeft == 0 {
		e.queue = slices.DeleteFunc(e.queue, func(j *job) bool { return j == prefill })
		e.batch = append(e.batch, prefill)
		prefill.readyAt = end.Add(e.cfg.FirstTokenDelay)
	}
	return end, batch, true
}

// nextPrefill returns the first queued request whose prompt is ready for prefill, or nil if there is none or the batch
// is full.
func (e *engine) nextPrefill(now time.Time) *job {
	if len(e.batch) >= e.cfg.Slots {
		return nil
	}
	for _, j := range e.queue {
		if !j.readyAt.After(now) {
			return j
		}
	}
	return nil
}

// nextReadyAt returns the earliest time at which a queued prompt is ready for prefill, or zero if the queue is empty.
func (e *engine) nextReadyAt() time.Time {
	var at time.Time
	for _, j := range e.queue {
		if at.IsZero() || j.readyAt.Before(at) {
			at = j.readyAt
		}
	}
	return at
}

// remove removes a request from the queue and the batch.
func (e *engine) remove(c *call) {
	isCall := func(j *job) bool { return j.call == c }
	e.queue = slices.DeleteFunc(e.queue, isCall)
	e.batch = slices.DeleteFunc(e.batch, isCall)
}
