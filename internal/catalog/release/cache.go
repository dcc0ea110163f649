package release

import "sync"

// Cache keeps the entry and chunks of the newest release that this host has fetched, for its own [Follower]
// and for other hosts. Like a [Holder] it never returns to an earlier release. It is safe for concurrent use.
type Cache struct {
	mu      sync.Mutex
	entry   Entry
	content map[string][]byte
}

// Put stores the release if it is newer than the stored one, and reports whether it did. The caller must not
// change e or content afterwards.
func (c *Cache) Put(e Entry, content map[string][]byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Number <= c.entry.Number {
		return false
	}
	c.entry, c.content = e, content
	return true
}

// Newest returns the stored release and its chunks by digest. The caller must not change them.
func (c *Cache) Newest() (Entry, map[string][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entry, c.content
}
