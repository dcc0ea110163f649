package claim

import (
	"maps"
	"slices"
	"time"
)

// entryBytes is what an entry without its answer takes at most in a shard.
const entryBytes = 256

// Phase is what the platform knows of a claimed call.
type Phase uint8

// The phases of a claimed call.
const (
	// Open calls were claimed; nothing else is known.
	Open Phase = iota
	// Closed calls ran and were answered.
	Closed
	// Unsure calls may have run, and nobody will learn more.
	Unsure
)

// MarshalText writes the phase's name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a phase's name. What is unknown counts as [Unsure].
func (p *Phase) UnmarshalText(b []byte) error {
	*p = Unsure
	for _, known := range []Phase{Open, Closed} {
		if string(b) == known.String() {
			*p = known
		}
	}
	return nil
}

// Reply is the recorded answer of a backend server.
type Reply struct {
	Status int               `json:",omitempty"`
	Header map[string]string `json:",omitempty"`
	Body   []byte            `json:",omitempty"`
	// Dropped replies are no longer kept, or were too large.
	Dropped bool `json:",omitempty"`
}

func (r Reply) size() int {
	n := len(r.Body) * 4 / 3
	for k, v := range r.Header {
		n += len(k) + len(v) + 6
	}
	return n
}

// Entry is one claimed call.
type Entry struct {
	Print Fingerprint
	// Attempt names the request that made the claim. No other request may send the call.
	Attempt string
	// At is the claiming host's wall clock, for retention only.
	At    time.Time
	Phase Phase
	Reply Reply `json:",omitzero"`
}

// Content is what a shard holds.
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

// size estimates the bytes of the shard on the wire, from above.
func (c Content) size() int {
	n := 0
	for _, e := range c.Entries {
		n += entryBytes + e.Reply.size()
	}
	return n
}

// prune drops what is past its time.
func (c Content) prune(now time.Time, cfg Config) {
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

// shrink drops the oldest answers until the shard is within its bound, and reports whether it is.
// Claims are never dropped.
func (c Content) shrink(limit int) bool {
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
