package claim

import (
	"time"
)

// opKind is what an operation does with the entry of its key.
type opKind uint8

const (
	// opLookup reads the entry.
	opLookup opKind = iota
	// opClaim creates the entry if there is none.
	opClaim
	// opRecord writes how the call ended.
	opRecord
	// opRelease removes the entry of a request that was not sent, and confirms by a write what the shard has then.
	opRelease
)

// op is one operation on an entry. Its result is given to its request once, and ignored if the request has
// moved on or ended.
type op struct {
	kind     opKind
	req      *requestState
	key      Key
	entry    Entry
	deadline time.Time
}

// shardState is what this host knows of one shard. Its operations are written in batches: those that arrive
// while a read or write is in flight wait for the next batch.
type shardState struct {
	index   int
	content Content
	version string
	loaded  bool
	// mustRead is set when content is, or may be, out of date.
	mustRead bool
	// busy is set while a read or write is in flight.
	busy   bool
	queued []*op
	// inFlight and written are the batch and the content of the write in flight.
	inFlight []*op
	written  Content
	// retryAt is the earliest time of the next read or write after a failure, batchAt the earliest time after the
	// batch delay.
	retryAt, batchAt time.Time
	lastUsed         time.Time
}

// enqueue adds an operation to the queue of its shard.
func (c *Core) enqueue(now time.Time, o *op) []Effect {
	s := c.shardOf(o.key)
	s.lastUsed = now
	if len(s.queued) == 0 && len(s.inFlight) == 0 {
		s.batchAt = now
		if o.kind != opLookup {
			s.batchAt = now.Add(c.cfg.BatchDelay)
		}
	}
	if o.kind == opLookup {
		s.mustRead, s.batchAt = true, now
	}
	s.queued = append(s.queued, o)
	return c.advance(now, s)
}

func (c *Core) shardOf(k Key) *shardState {
	i := k.shard(c.cfg.Shards)
	s, ok := c.shards[i]
	if !ok {
		s = &shardState{index: i}
		c.shards[i] = s
	}
	return s
}

// advance starts the next read or write of a shard if one is due.
func (c *Core) advance(now time.Time, s *shardState) []Effect {
	out := c.expireOps(now, s)
	if s.busy || len(s.queued) == 0 || now.Before(s.retryAt) || now.Before(s.batchAt) {
		return out
	}
	if !s.loaded || s.mustRead {
		s.busy = true
		return append(out, Effect{Kind: ReadShard, Shard: s.index})
	}
	return append(out, c.commit(now, s)...)
}

// expireOps fails the queued operations that are past their deadline.
func (c *Core) expireOps(now time.Time, s *shardState) []Effect {
	var expired, kept []*op
	for _, o := range s.queued {
		if now.Before(o.deadline) {
			kept = append(kept, o)
		} else {
			expired = append(expired, o)
		}
	}
	s.queued = kept
	var out []Effect
	for _, o := range expired {
		out = append(out, c.opFailed(now, o)...)
	}
	return out
}

// commit applies the queued operations to a copy of the content, and writes the copy if it must be written.
func (c *Core) commit(now time.Time, s *shardState) []Effect {
	next := s.content.clone()
	next.dropExpired(now, c.cfg)
	write := false
	for _, o := range s.queued {
		write = c.apply(next, o) || write
	}
	batch := s.queued
	s.queued = nil
	if !write {
		return c.completeOps(now, s, batch)
	}
	if !next.dropReplies(c.cfg.MaxShardBytes) {
		return c.rejectClaims(now, s, batch)
	}
	s.busy, s.inFlight, s.written = true, batch, next
	return []Effect{{Kind: WriteShard, Shard: s.index, Content: next, Version: s.version}}
}

// apply carries out an operation on next and reports whether the shard must be written. A release is written
// even if it changes nothing: the write confirms that the content is still current, and it makes an earlier
// write of this host without a response fail if it arrives later.
func (c *Core) apply(next Content, o *op) bool {
	e, found := next.Entries[o.key]
	mine := found && e.Attempt == o.entry.Attempt
	switch o.kind {
	case opClaim:
		if !found && o.stillClaiming() {
			next.Entries[o.key] = o.entry
			return true
		}
	case opRecord:
		if !found || (mine && e.Phase == Open) {
			next.Entries[o.key] = o.entry
			return true
		}
	case opRelease:
		if mine && e.Phase == Open {
			delete(next.Entries, o.key)
		}
		return true
	}
	return false
}

// stillClaiming reports whether the request of o still waits for its claim.
func (o *op) stillClaiming() bool { return o.req.machine.State() == Claiming }

// rejectClaims fails the claims of a batch because the shard is full, and queues its other operations again.
func (c *Core) rejectClaims(now time.Time, s *shardState, batch []*op) []Effect {
	var out []Effect
	for _, o := range batch {
		if o.kind == opClaim {
			out = append(out, c.opFailed(now, o)...)
		} else {
			s.queued = append(s.queued, o)
		}
	}
	s.retryAt = now.Add(c.cfg.RetryDelay)
	return out
}

// completeOps completes the operations of a batch from the current content.
func (c *Core) completeOps(now time.Time, s *shardState, batch []*op) []Effect {
	var out []Effect
	for _, o := range batch {
		e, found := s.content.Entries[o.key]
		out = append(out, c.opDone(now, o, e, found)...)
	}
	return append(out, c.advance(now, s)...)
}

// ReadDone handles the result of a read; ok reports whether it succeeded. The version is empty if the shard
// does not exist yet.
func (c *Core) ReadDone(now time.Time, shard int, content Content, version string, ok bool) []Effect {
	s, found := c.shards[shard]
	if !found {
		return nil
	}
	s.busy = false
	if !ok {
		s.retryAt = c.retryTime(now)
		return c.advance(now, s)
	}
	s.loaded, s.mustRead, s.content, s.version = true, false, content, version
	var lookups, rest []*op
	for _, o := range s.queued {
		if o.kind == opLookup {
			lookups = append(lookups, o)
		} else {
			rest = append(rest, o)
		}
	}
	s.queued = rest
	return c.completeOps(now, s, lookups)
}

// WriteDone handles the result of a write. The version is that of the shard after the write.
func (c *Core) WriteDone(now time.Time, shard int, o Outcome, version string) []Effect {
	s, found := c.shards[shard]
	if !found {
		return nil
	}
	batch := s.inFlight
	s.busy, s.inFlight = false, nil
	if o == Written {
		s.content, s.version = s.written, version
		return c.completeOps(now, s, batch)
	}
	s.queued = append(batch, s.queued...)
	switch o {
	case Overtaken:
		// Another host wrote the shard first. A random delay prevents two hosts from colliding repeatedly.
		s.mustRead = true
		s.retryAt = now.Add(time.Duration(c.rng.Int64N(int64(c.cfg.RetryDelay / 8))))
	case Lost:
		s.mustRead = true
		s.retryAt = c.retryTime(now)
	case Denied:
		s.retryAt = c.retryTime(now)
	}
	return c.advance(now, s)
}

// retryTime returns when to retry after a failed read or write.
func (c *Core) retryTime(now time.Time) time.Time {
	return now.Add(c.cfg.RetryDelay/2 + time.Duration(c.rng.Int64N(int64(c.cfg.RetryDelay))))
}
