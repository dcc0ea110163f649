package claim

import (
	"maps"
	"slices"
	"time"
)

// maxEntryBytes is the largest encoded size of a key and its entry without the reply.
const maxEntryBytes = 256

// Phase is the recorded state of a claimed call.
type Phase uint8

// The phases of a claimed call.
const (
	// Open calls are claimed, and no result is recorded.
	Open Phase = iota
	// Closed calls ran, and the backend server responded.
	Closed
	// Unsure calls may have run; the result will never be known.
	Unsure
)

// MarshalText returns the name of p.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText sets p by its name, and to [Unsure] if the name is unknown.
func (p *Phase) UnmarshalText(b []byte) error {
	*p = Unsure
	for _, known := range []Phase{Open, Closed} {
		if string(b) == known.String() {
			*p = known
		}
	}
	return nil
}

// Reply is the recorded response of a backend server.
type Reply struct {
	Status int               `json:",omitempty"`
	Header map[string]string `json:",omitempty"`
	Body   []byte            `json:",omitempty"`
	// Dropped means that the reply is not kept: it was too large or too old, or the shard was full.
	Dropped bool `json:",omitempty"`
}

func (r Reply) size() int {
	n := len(r.Body) * 4 / 3
	for k, v := range r.Header {
		n += len(k) + len(v) + 6
	}
	return n
}

// Entry is the record of one claimed call.
type Entry struct {
	// Print is the fingerprint of the call.
	Print Fingerprint
	// Attempt identifies the host process and request that made the claim. No other request may send the call.
	Attempt string
	// At is when the request began or claimed the call, by the wall clock of its host. It is only used for retention.
	At    time.Time
	Phase Phase
	Reply Reply `json:",omitzero"`
}

// Content is the content of a shard object.
type Content struct {
	Entries map[Key]Entry
}

func (c Content) clone() Content {
	out := Content{Entries: maps.Clone(c.Entries)}
	if out.Entries == nil {
		out.Entries = map[Key]Entry{}
	}
	return out
}

// size returns an upper bound of the encoded size of the shard.
func (c Content) size() int {
	n := 0
	for _, e := range c.Entries {
		n += maxEntryBytes + e.Reply.size()
	}
	return n
}

// dropExpired drops the entries and replies that are past their retention.
func (c Content) dropExpired(now time.Time, cfg Config) {
	for k, e := range c.Entries {
		age := now.Round(0).Sub(e.At)
		switch {
		case age > cfg.Retention+cfg.MaxClockSkew:
			delete(c.Entries, k)
		case age > cfg.ReplyRetention+cfg.MaxClockSkew && e.Phase == Closed && !e.Reply.Dropped:
			e.Reply = Reply{Dropped: true}
			c.Entries[k] = e
		}
	}
}

// dropReplies drops the oldest replies until the shard is no larger than limit, and reports whether it is.
// It never drops entries.
func (c Content) dropReplies(limit int) bool {
	size := c.size()
	if size <= limit {
		return true
	}
	keys := slices.Collect(maps.Keys(c.Entries))
	slices.SortFunc(keys, func(a, b Key) int { return c.Entries[a].At.Compare(c.Entries[b].At) })
	for _, k := range keys {
		e := c.Entries[k]
		if e.Phase != Closed || e.Reply.Dropped {
			continue
		}
		size -= e.Reply.size()
		e.Reply = Reply{Dropped: true}
		c.Entries[k] = e
		if size <= limit {
			return true
		}
	}
	return false
}
