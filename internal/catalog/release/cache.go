package release

import (
	"slices"
	"sync"
)

// keptReleases is the number of releases before the newest whose chunks are kept. Another host that pulls one of them
// can complete the transfer although a newer one has been put in force here. Releases share chunks.
const keptReleases = 4

// Cache keeps the entry and chunks of the newest release that this host has fetched, for its own [Follower]
// and for other hosts. Like a [Holder] it never returns to an earlier release. It is safe for concurrent use.
type Cache struct {
	mu      sync.Mutex
	entry   Entry
	content map[string][]byte
	// earlier holds the chunks of the releases before, the latest first.
	earlier []map[string][]byte
}

// Put stores the release if it is newer than the stored one, and reports whether it did. The caller must not
// change e or content afterwards.
func (c *Cache) Put(e Entry, content map[string][]byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Number <= c.entry.Number {
		return false
	}
	if c.content != nil {
		c.earlier = slices.Insert(c.earlier, 0, c.content)
		c.earlier = c.earlier[:min(keptReleases, len(c.earlier))]
	}
	c.entry, c.content = e, content
	return true
}

// Chunk returns a chunk of the newest release, or of one of the releases shortly before it.
func (c *Cache) Chunk(digest string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.content[digest]
	for i := 0; !ok && i < len(c.earlier); i++ {
		b, ok = c.earlier[i][digest]
	}
	return b, ok
}

// Newest returns the stored release and its chunks by digest. The caller must not change them.
func (c *Cache) Newest() (Entry, map[string][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entry, c.content
}
