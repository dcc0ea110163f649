package relay

import (
	"bytes"
	"compress/flate"
	"encoding/hex"
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/ops/event"
)

const (
	// pullTimeout is how long a release may come no further before another host is asked.
	pullTimeout = 2 * time.Second
	// busyDelay is the shortest pause before another host is asked for a chunk.
	busyDelay = 50 * time.Millisecond
	// fanout is how often a host serves one chunk within servePeriod; others ask hosts that got it.
	fanout      = 4
	servePeriod = time.Second
	// maxReleaseBytes bounds the content of a release.
	maxReleaseBytes = 64 << 20
)

// pull is a newer release on its way to this host.
type pull struct {
	from     LinkID
	number   uint64
	progress time.Time
	retry    time.Time
	head     *wire.Head
	got      map[string][]byte
	adopting bool
}

// want starts to fetch the release of p, unless one at least as new is on its way.
func (c *Core) want(now time.Time, p *peer) {
	if c.pull != nil && (c.pull.adopting || now.Sub(c.pull.progress) < pullTimeout && c.pull.number >= p.release) {
		return
	}
	got := map[string][]byte{}
	if c.pull != nil {
		got = c.pull.got
	}
	c.pull = &pull{from: p.id, number: p.release, progress: now, got: got}
	c.send(p, &wire.Envelope{Body: &wire.Envelope_HeadRequest{HeadRequest: &wire.HeadRequest{}}})
}

// pulls goes on with a release that waits for a chunk or comes no further.
func (c *Core) pulls(now time.Time) {
	if c.pull == nil || c.pull.adopting {
		return
	}
	if !c.pull.retry.IsZero() && !now.Before(c.pull.retry) {
		c.pull.retry = time.Time{}
		if p := c.holderOf(c.pull.number); p != nil {
			c.pull.from = p.id
			c.request(p)
		}
		return
	}
	if now.Sub(c.pull.progress) < pullTimeout {
		return
	}
	if p := c.holderOf(c.release + 1); p != nil {
		c.want(now, p)
		return
	}
	c.pull = nil
}

// holderOf returns a random linked host with the release or a later one.
func (c *Core) holderOf(number uint64) *peer {
	var all []*peer
	for _, p := range c.sortedPeers() {
		if p.release >= number {
			all = append(all, p)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[c.rand.IntN(len(all))]
}

// pulled ends a pull whose release, or a later one, is in force.
func (c *Core) pulled(now time.Time) {
	if c.pull != nil && (c.pull.adopting || c.pull.number <= c.release) {
		c.pull = nil
	}
	if p := c.holderOf(c.release + 1); p != nil && c.pull == nil {
		c.want(now, p)
	}
}

// AdoptFailed notes that a release from another host could not be put in force.
func (c *Core) AdoptFailed(_ time.Time, number uint64, err error) []Effect {
	c.pull = nil
	c.note(event.LinkRefused, releaseName(number), err.Error())
	return c.take()
}

func (c *Core) serveHead(p *peer) {
	e, _ := c.shelf.Newest()
	if e.Number == 0 {
		return
	}
	h := &wire.Head{Number: e.Number, Digest: e.Digest, Author: e.Author, Note: e.Note, UnixNano: e.Time.UnixNano()}
	for _, r := range e.Chunks {
		d, err := hex.DecodeString(r.Digest)
		if err != nil {
			return
		}
		h.Chunks = append(h.Chunks, &wire.ChunkRef{Digest: d, Bytes: uint64(r.Bytes)})
	}
	c.send(p, &wire.Envelope{Body: &wire.Envelope_Head{Head: h}})
}

func (c *Core) head(now time.Time, p *peer, h *wire.Head) {
	if c.pull == nil || c.pull.adopting || c.pull.from != p.id || h.GetNumber() <= c.release {
		return
	}
	total := uint64(0)
	for _, r := range h.GetChunks() {
		total += min(r.GetBytes(), maxReleaseBytes)
	}
	if total > maxReleaseBytes {
		c.note(event.LinkRefused, p.host.Name, "the release is larger than this host takes")
		c.pull = nil
		return
	}
	c.pull.head, c.pull.number, c.pull.progress = h, h.GetNumber(), now
	c.request(p)
}

// request asks p for the chunks that are missing, or adopts the release if none is.
func (c *Core) request(p *peer) {
	if c.pull.head == nil {
		c.send(p, &wire.Envelope{Body: &wire.Envelope_HeadRequest{HeadRequest: &wire.HeadRequest{}}})
		return
	}
	missing := c.missing()
	for _, d := range missing {
		c.send(p, &wire.Envelope{Body: &wire.Envelope_ChunkRequest{ChunkRequest: &wire.ChunkRequest{Digest: d}}})
	}
	if len(missing) == 0 {
		c.adopt()
	}
}

func (c *Core) missing() [][]byte {
	_, have := c.shelf.Newest()
	var out [][]byte
	for _, r := range c.pull.head.GetChunks() {
		d := hex.EncodeToString(r.GetDigest())
		if _, ok := have[d]; ok {
			continue
		}
		if _, ok := c.pull.got[d]; !ok {
			out = append(out, r.GetDigest())
		}
	}
	return out
}

func (c *Core) adopt() {
	h := c.pull.head
	e := release.Entry{
		Number: h.GetNumber(), Digest: h.GetDigest(), Author: h.GetAuthor(), Note: h.GetNote(), Time: time.Unix(0, h.GetUnixNano()).UTC(),
	}
	for _, r := range h.GetChunks() {
		e.Chunks = append(e.Chunks, release.Ref{Digest: hex.EncodeToString(r.GetDigest()), Bytes: int(r.GetBytes())})
	}
	c.pull.adopting = true
	c.emit(Adopt{e, c.pull.got})
}

func (c *Core) chunk(now time.Time, m *wire.Chunk) {
	if c.pull == nil || c.pull.adopting || c.pull.head == nil {
		return
	}
	if m.GetBusy() {
		c.pull.retry = now.Add(busyDelay + randDuration(c.rand, 2*busyDelay))
		return
	}
	d := hex.EncodeToString(m.GetDigest())
	if !c.awaits(m.GetDigest()) {
		// It was asked for a release that a newer one replaced.
		return
	}
	c.pull.got[d], c.pull.progress = m.GetContent(), now
	if len(c.missing()) == 0 {
		c.adopt()
	}
}

func (c *Core) awaits(digest []byte) bool {
	for _, r := range c.pull.head.GetChunks() {
		if bytes.Equal(r.GetDigest(), digest) {
			return true
		}
	}
	return false
}

// served limits how often one chunk is served, so that a release spreads from host to host.
type served struct {
	packed map[string][]byte
	times  map[string][]time.Time
}

func newServed() served {
	return served{packed: map[string][]byte{}, times: map[string][]time.Time{}}
}

// allow reports whether the chunk may be served at now, and counts it.
func (s *served) allow(digest string, now time.Time) bool {
	var recent []time.Time
	for _, t := range s.times[digest] {
		if now.Sub(t) < servePeriod {
			recent = append(recent, t)
		}
	}
	ok := len(recent) < fanout
	if ok {
		recent = append(recent, now)
	}
	s.times[digest] = recent
	return ok
}

// pack returns the compressed chunk and forgets those that are no longer kept.
func (s *served) pack(digest string, content map[string][]byte) []byte {
	if b, ok := s.packed[digest]; ok {
		return b
	}
	for d := range s.packed {
		if _, ok := content[d]; !ok {
			delete(s.packed, d)
			delete(s.times, d)
		}
	}
	s.packed[digest] = Compress(content[digest])
	return s.packed[digest]
}

func (c *Core) serveChunk(now time.Time, p *peer, m *wire.ChunkRequest) {
	d := hex.EncodeToString(m.GetDigest())
	_, have := c.shelf.Newest()
	out := &wire.Chunk{Digest: m.GetDigest(), Busy: true}
	if _, ok := have[d]; ok && c.served.allow(d, now) {
		out.Busy, out.Content = false, c.served.pack(d, have)
	}
	c.send(p, &wire.Envelope{Body: &wire.Envelope_Chunk{Chunk: out}})
}

// Compress returns b compressed with DEFLATE.
func Compress(b []byte) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant.
	}
	_, _ = w.Write(b)
	_ = w.Close()
	return buf.Bytes()
}
