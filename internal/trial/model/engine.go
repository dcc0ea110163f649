// Package model plays model engines, hosts and callers in virtual time, so that
// the decisions of a policy can be replayed under a load pattern in seconds and
// with the same figures each time. An engine works in steps: each step gives
// every running request one token and reads one chunk of a waiting prompt.
package model

import (
	"slices"
	"time"

	"shallotramp/internal/traffic/request"
)

// EngineConfig describes a kind of engine.
type EngineConfig struct {
	// Slots is the largest batch, CacheTokens the memory, Chunk the tokens of prompts read in one step.
	Slots, CacheTokens, PrefillChunk int
	// Step is the time of a step, to which each running request adds StepPerSlot and each token read
	// PrefillPerToken. First is added before a request's first token.
	Step, StepPerSlot, PrefillPerToken, FirstTokenDelay time.Duration
	// TokensPerEvent is the tokens in one event of a stream.
	TokensPerEvent int
	// CacheFetchTime is the time to take what another engine has read.
	CacheFetchTime time.Duration
}

// job is a request on an engine.
type job struct {
	call *call
	// unread tokens are still to be read, made is what was generated.
	unread, made int
	readable     time.Time
}

// engine is one engine's state.
type engine struct {
	kind  EngineConfig
	name  string
	zone  string
	busy  bool
	queue []*job
	batch []*job
	cache map[uint64]time.Time
	// tokens read, and those read though another engine had them.
	read, again int
}

// admit takes a request; from is an engine whose cache may be fetched.
func (e *engine) admit(now time.Time, c *call, from *engine, others []*engine) {
	j := &job{call: c, readable: now}
	missing := e.missing(c.req.Parts)
	if from != nil && from.missing(c.req.Parts) < missing {
		missing = from.missing(c.req.Parts)
		j.readable = now.Add(e.kind.CacheFetchTime)
	} else {
		e.again += e.readAgain(c.req.Parts, others)
	}
	if len(c.req.Parts) == 0 {
		missing = c.req.PromptTokens
	}
	j.unread = max(missing, 1)
	for _, p := range c.req.Parts {
		e.cache[p.ID] = now
	}
	i, _ := slices.BinarySearchFunc(e.queue, j, func(a, b *job) int {
		if a.call.urgency != b.call.urgency {
			return a.call.urgency - b.call.urgency
		}
		return a.call.sent.Compare(b.call.sent)
	})
	e.queue = slices.Insert(e.queue, i, j)
}

func (e *engine) missing(parts []request.Part) int {
	n := 0
	for _, p := range parts {
		if _, ok := e.cache[p.ID]; n > 0 || !ok {
			n += p.Tokens
		}
	}
	return n
}

// readAgain counts the shared tokens that this engine reads though another has them.
func (e *engine) readAgain(parts []request.Part, others []*engine) int {
	mine := e.missing(parts)
	best := mine
	for _, o := range others {
		best = min(best, o.missing(parts))
	}
	return mine - best
}

// step works once and returns when the step is over, or false if there is nothing to do.
func (e *engine) step(now time.Time) (time.Time, []*job, bool) {
	reading := e.pick(now)
	if reading == nil && len(e.batch) == 0 {
		return e.wake(), nil, false
	}
	d := e.kind.Step + time.Duration(len(e.batch))*e.kind.StepPerSlot
	if reading != nil {
		n := min(reading.unread, e.kind.PrefillChunk)
		reading.unread -= n
		e.read += n
		d += time.Duration(n) * e.kind.PrefillPerToken
	}
	end := now.Add(d)
	made := slices.Clone(e.batch)
	for _, j := range e.batch {
		j.made++
	}
	if reading != nil && reading.unread == 0 {
		e.queue = slices.DeleteFunc(e.queue, func(j *job) bool { return j == reading })
		e.batch = append(e.batch, reading)
		reading.readable = end.Add(e.kind.FirstTokenDelay)
	}
	return end, made, true
}

// pick returns the prompt to read next: one that has begun, else the most urgent.
func (e *engine) pick(now time.Time) *job {
	if len(e.batch) >= e.kind.Slots {
		return nil
	}
	for _, j := range e.queue {
		if !j.readable.After(now) {
			return j
		}
	}
	return nil
}

// wake returns when the first prompt that is being fetched can be read; zero for none.
func (e *engine) wake() time.Time {
	var at time.Time
	for _, j := range e.queue {
		if at.IsZero() || j.readable.Before(at) {
			at = j.readable
		}
	}
	return at
}

// drop removes a request whose caller has left.
func (e *engine) drop(c *call) {
	gone := func(j *job) bool { return j.call == c }
	e.queue = slices.DeleteFunc(e.queue, gone)
	e.batch = slices.DeleteFunc(e.batch, gone)
}
