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
	// pullTimeout is how long a pull may make no progress before another host is asked.
	pullTimeout = 2 * time.Second
	// minBusyDelay is the shortest delay after a busy response before the missing chunks are requested again.
	minBusyDelay = 50 * time.Millisecond
	// maxServesPerPeriod is how often a host serves one chunk within servePeriod. It responds to further requests
	// that it is busy, so that the other hosts ask hosts that have received the chunk.
	maxServesPerPeriod = 4
	servePeriod        = time.Second
	// maxReleaseBytes limits the size of a release.
	maxReleaseBytes = 64 << 20
)

// pull is the transfer of a newer release from other hosts to this one.
type pull struct {
	from         LinkID
	number       uint64
	lastProgress time.Time
	retryAt      time.Time
	head         *wire.Head
	// chunks holds the compressed chunks received, by digest.
	chunks   map[string][]byte
	adopting bool
}

// startPull starts to pull the release of p, unless a release is being adopted or a pull makes progress. A pull is not
// replaced by that of a newer release: if releases come faster than one is transferred, none would be adopted. It keeps
// the chunks of the previous pull, for releases share chunks.
func (c *Core) startPull(now time.Time, p *peer) {
	if c.pull != nil && (c.pull.adopting || now.Sub(c.pull.lastProgress) < pullTimeout) {
		return
	}
	got := map[string][]byte{}
	if c.pull != nil {
		got = c.pull.chunks
	}
	c.pull = &pull{from: p.id, number: p.release, lastProgress: now, chunks: got}
	c.send(p, &wire.Envelope{Body: &wire.Envelope_HeadRequest{HeadRequest: &wire.HeadRequest{}}})
}

// continuePull continues with another host after a busy response, and restarts a pull that makes no progress. It requests
// the head again: a host may have a newer release by now and no longer the chunks of the earlier one.
func (c *Core) continuePull(now time.Time) {
	if c.pull == nil || c.pull.adopting {
		return
	}
	if !c.pull.retryAt.IsZero() && !now.Before(c.pull.retryAt) {
		c.pull.retryAt = time.Time{}
		if p := c.peerWithRelease(c.release + 1); p != nil {
			c.pull.from, c.pull.head = p.id, nil
			c.requestMissingChunks(p)
		}
		return
	}
	if now.Sub(c.pull.lastProgress) < pullTimeout {
		return
	}
	if p := c.peerWithRelease(c.release + 1); p != nil {
		c.startPull(now, p)
		return
	}
	c.pull = nil
}

// peerWithRelease returns a random linked host that has the release or a later one, or nil.
func (c *Core) peerWithRelease(number uint64) *peer {
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

// finishPull ends a pull whose release, or a later one, is in force, and starts the next if a linked host has a newer
// release.
func (c *Core) finishPull(now time.Time) {
	if c.pull != nil && (c.pull.adopting || c.pull.number <= c.release) {
		c.pull = nil
	}
	if p := c.peerWithRelease(c.release + 1); p != nil && c.pull == nil {
		c.startPull(now, p)
	}
}

// AdoptFailed records that a release of another host could not be put in force.
func (c *Core) AdoptFailed(_ time.Time, number uint64, err error) []Effect {
	c.pull = nil
	c.recordEvent(event.LinkRefused, releaseSubject(number), err.Error())
	return c.takeEffects()
}

func (c *Core) serveHead(p *peer) {
	e, _ := c.cache.Newest()
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

func (c *Core) receiveHead(now time.Time, p *peer, h *wire.Head) {
	if c.pull == nil || c.pull.adopting || c.pull.from != p.id || h.GetNumber() <= c.release {
		return
	}
	total := uint64(0)
	for _, r := range h.GetChunks() {
		total += min(r.GetBytes(), maxReleaseBytes)
	}
	if total > maxReleaseBytes {
		c.recordEvent(event.LinkRefused, p.host.Name, "the pull of its release was refused: the release is larger than the maximum size")
		c.pull = nil
		return
	}
	c.pull.head, c.pull.number, c.pull.lastProgress = h, h.GetNumber(), now
	c.requestMissingChunks(p)
}

// requestMissingChunks requests the missing chunks from p, or adopts the release if none is missing. If the head of the
// release is missing, it requests that first.
func (c *Core) requestMissingChunks(p *peer) {
	if c.pull.head == nil {
		c.send(p, &wire.Envelope{Body: &wire.Envelope_HeadRequest{HeadRequest: &wire.HeadRequest{}}})
		return
	}
	missing := c.missingChunks()
	for _, d := range missing {
		c.send(p, &wire.Envelope{Body: &wire.Envelope_ChunkRequest{ChunkRequest: &wire.ChunkRequest{Digest: d}}})
	}
	if len(missing) == 0 {
		c.adoptPulled()
	}
}

func (c *Core) missingChunks() [][]byte {
	_, cached := c.cache.Newest()
	var out [][]byte
	for _, r := range c.pull.head.GetChunks() {
		d := hex.EncodeToString(r.GetDigest())
		if _, ok := cached[d]; ok {
			continue
		}
		if _, ok := c.pull.chunks[d]; !ok {
			out = append(out, r.GetDigest())
		}
	}
	return out
}

func (c *Core) adoptPulled() {
	h := c.pull.head
	e := release.Entry{
		Number: h.GetNumber(), Digest: h.GetDigest(), Author: h.GetAuthor(), Note: h.GetNote(), Time: time.Unix(0, h.GetUnixNano()).UTC(),
	}
	for _, r := range h.GetChunks() {
		e.Chunks = append(e.Chunks, release.ChunkRef{Digest: hex.EncodeToString(r.GetDigest()), Bytes: int(r.GetBytes())})
	}
	c.pull.adopting = true
	c.emit(Adopt{e, c.pull.chunks})
}

func (c *Core) receiveChunk(now time.Time, m *wire.Chunk) {
	if c.pull == nil || c.pull.adopting || c.pull.head == nil {
		return
	}
	if m.GetBusy() {
		c.pull.retryAt = now.Add(minBusyDelay + randDuration(c.rand, 2*minBusyDelay))
		return
	}
	d := hex.EncodeToString(m.GetDigest())
	if !c.isWanted(m.GetDigest()) {
		// The chunk belongs to an earlier pull, which was replaced by that of a newer release.
		return
	}
	c.pull.chunks[d], c.pull.lastProgress = m.GetContent(), now
	if len(c.missingChunks()) == 0 {
		c.adoptPulled()
	}
}

func (c *Core) isWanted(digest []byte) bool {
	for _, r := range c.pull.head.GetChunks() {
		if bytes.Equal(r.GetDigest(), digest) {
			return true
		}
	}
	return false
}

// chunkServer compresses chunks and limits how often each is served, so that hosts also fetch a release from hosts that
// have received it.
type chunkServer struct {
	compressed map[string][]byte
	servedAt   map[string][]time.Time
}

func newChunkServer() chunkServer {
	return chunkServer{compressed: map[string][]byte{}, servedAt: map[string][]time.Time{}}
}

// allow reports whether the chunk may be served at now. If so, it counts the chunk as served.
func (s *chunkServer) allow(digest string, now time.Time) bool {
	var recent []time.Time
	for _, t := range s.servedAt[digest] {
		if now.Sub(t) < servePeriod {
			recent = append(recent, t)
		}
	}
	ok := len(recent) < maxServesPerPeriod
	if ok {
		recent = append(recent, now)
	}
	s.servedAt[digest] = recent
	return ok
}

// compress returns the compressed chunk and caches it. Before it adds a chunk, it removes those that cache no longer has.
func (s *chunkServer) compress(digest string, content []byte, cache *release.Cache) []byte {
	if b, ok := s.compressed[digest]; ok {
		return b
	}
	for d := range s.compressed {
		if _, ok := cache.Chunk(d); !ok {
			delete(s.compressed, d)
			delete(s.servedAt, d)
		}
	}
	s.compressed[digest] = Compress(content)
	return s.compressed[digest]
}

func (c *Core) serveChunk(now time.Time, p *peer, m *wire.ChunkRequest) {
	d := hex.EncodeToString(m.GetDigest())
	out := &wire.Chunk{Digest: m.GetDigest(), Busy: true}
	if content, ok := c.cache.Chunk(d); ok && c.chunkServer.allow(d, now) {
		out.Busy, out.Content = false, c.chunkServer.compress(d, content, c.cache)
	}
	c.send(p, &wire.Envelope{Body: &wire.Envelope_Chunk{Chunk: out}})
}

// Compress returns b compressed with DEFLATE.
func Compress(b []byte) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		panic(err) // NewWriter fails only for an invalid level.
	}
	_, _ = w.Write(b)
	_ = w.Close()
	return buf.Bytes()
}
