package claim

import (
	"time"
)

// opKind tells what an op does with the entry of its key.
type opKind uint8

const (
	// look reads the entry.
	look opKind = iota
	// stake makes the entry, if there is none.
	stake
	// record notes how the call ended.
	record
	// release removes the entry of an attempt that was not sent, and proves what is there instead.
	release
)

// op is one step on a shard. It is answered once, to its call, unless that has gone on without it.
type op struct {
	kind  opKind
	call  *call
	key   Key
	entry Entry
	until time.Time
}

// bucket is one shard as this host knows it. Its ops are committed in groups: while a call to the
// platform is on its way, others gather for the next.
type bucket struct {
	index   int
	content Content
	version string
	known   bool
	// mustRead is set when the known content is certainly or probably old.
	mustRead bool
	busy     bool
	waiting  []*op
	flying   []*op
	next     Content
	// retryAt holds calls back after a failure, gatherAt lets a group gather.
	retryAt, gatherAt time.Time
	usedAt            time.Time
}

// add queues an op.
func (c *Core) add(now time.Time, o *op) []Effect {
	b := c.bucket(o.key)
	b.usedAt = now
	if len(b.waiting) == 0 && len(b.flying) == 0 {
		b.gatherAt = now
		if o.kind != look {
			b.gatherAt = now.Add(c.cfg.BatchDelay)
		}
	}
	if o.kind == look {
		b.mustRead, b.gatherAt = true, now
	}
	b.waiting = append(b.waiting, o)
	return c.pump(now, b)
}

func (c *Core) bucket(k Key) *bucket {
	i := k.shard(c.cfg.Shards)
	b, ok := c.buckets[i]
	if !ok {
		b = &bucket{index: i}
		c.buckets[i] = b
	}
	return b
}

// pump makes the next call of a bucket, if there is any to make.
func (c *Core) pump(now time.Time, b *bucket) []Effect {
	out := c.giveUp(now, b)
	if b.busy || len(b.waiting) == 0 || now.Before(b.retryAt) || now.Before(b.gatherAt) {
		return out
	}
	if !b.known || b.mustRead {
		b.busy = true
		return append(out, Effect{Kind: ReadShard, Shard: b.index})
	}
	return append(out, c.commit(now, b)...)
}

// giveUp answers the ops whose time is over.
func (c *Core) giveUp(now time.Time, b *bucket) []Effect {
	var late, kept []*op
	for _, o := range b.waiting {
		if now.Before(o.until) {
			kept = append(kept, o)
		} else {
			late = append(late, o)
		}
	}
	b.waiting = kept
	var out []Effect
	for _, o := range late {
		out = append(out, c.unresolved(now, o)...)
	}
	return out
}

// commit applies the waiting ops to a copy of the known content and writes it, if it has to be written.
func (c *Core) commit(now time.Time, b *bucket) []Effect {
	next := b.content.clone()
	next.prune(now, c.cfg)
	write := false
	for _, o := range b.waiting {
		write = c.apply(next, o) || write
	}
	group := b.waiting
	b.waiting = nil
	if !write {
		return c.reply(now, b, group)
	}
	if !next.shrink(c.cfg.MaxShardBytes) {
		return c.full(now, b, group)
	}
	b.busy, b.flying, b.next = true, group, next
	return []Effect{{Kind: WriteShard, Shard: b.index, Content: next, Version: b.version}}
}

// apply changes the entry of an op and reports whether the shard must be written. A release is written also
// when it changes nothing: the write proves that what was read is still so, and stops an earlier write of
// this host whose answer was lost.
func (c *Core) apply(next Content, o *op) bool {
	e, found := next.Entries[o.key]
	mine := found && e.Attempt == o.entry.Attempt
	switch o.kind {
	case stake:
		if !found && o.live() {
			next.Entries[o.key] = o.entry
			return true
		}
	case record:
		if !found || (mine && e.Phase == Open) {
			next.Entries[o.key] = o.entry
			return true
		}
	case release:
		if mine && e.Phase == Open {
			delete(next.Entries, o.key)
		}
		return true
	}
	return false
}

// live reports whether the call of a claim still wants it.
func (o *op) live() bool { return o.call.machine.State() == Claiming }

// full refuses the claims of a shard that has no room; the others go on.
func (c *Core) full(now time.Time, b *bucket, group []*op) []Effect {
	var out []Effect
	for _, o := range group {
		if o.kind == stake {
			out = append(out, c.unresolved(now, o)...)
		} else {
			b.waiting = append(b.waiting, o)
		}
	}
	b.retryAt = now.Add(c.cfg.RetryDelay)
	return out
}

// reply answers a group from the known content.
func (c *Core) reply(now time.Time, b *bucket, group []*op) []Effect {
	var out []Effect
	for _, o := range group {
		e, found := b.content.Entries[o.key]
		out = append(out, c.resolved(now, o, e, found)...)
	}
	return append(out, c.pump(now, b)...)
}

// ReadDone takes the result of a read. An empty version is a shard that does not exist yet.
func (c *Core) ReadDone(now time.Time, shard int, content Content, version string, ok bool) []Effect {
	b, found := c.buckets[shard]
	if !found {
		return nil
	}
	b.busy = false
	if !ok {
		b.retryAt = c.later(now)
		return c.pump(now, b)
	}
	b.known, b.mustRead, b.content, b.version = true, false, content, version
	var looks, rest []*op
	for _, o := range b.waiting {
		if o.kind == look {
			looks = append(looks, o)
		} else {
			rest = append(rest, o)
		}
	}
	b.waiting = rest
	return c.reply(now, b, looks)
}

// WriteDone takes the result of a write; version is that of a written shard.
func (c *Core) WriteDone(now time.Time, shard int, o Outcome, version string) []Effect {
	b, found := c.buckets[shard]
	if !found {
		return nil
	}
	group := b.flying
	b.busy, b.flying = false, nil
	if o == Written {
		b.content, b.version = b.next, version
		return c.reply(now, b, group)
	}
	b.waiting = append(group, b.waiting...)
	switch o {
	case Overtaken:
		// Another host was faster; a random delay keeps two from meeting again and again.
		b.mustRead = true
		b.retryAt = now.Add(time.Duration(c.rng.Int64N(int64(c.cfg.RetryDelay / 8))))
	case Lost:
		b.mustRead = true
		b.retryAt = c.later(now)
	case Denied:
		b.retryAt = c.later(now)
	}
	return c.pump(now, b)
}

// later returns a time after the delay of a failed call.
func (c *Core) later(now time.Time) time.Time {
	return now.Add(c.cfg.RetryDelay/2 + time.Duration(c.rng.Int64N(int64(c.cfg.RetryDelay))))
}
