package release

import "sync"

// Cache keeps the entry and chunks of the newest release that this host has, for its own follower and
// for other hosts. Like a [Holder] it never goes back. It is safe for concurrent use.
type Cache struct {
	mu      sync.Mutex
	entry   Entry
	content map[string][]byte
}

// Put keeps the release if it is newer than the one kept, and reports whether it did. Neither entry nor
// content may be changed afterwards.
func (s *Cache) Put(e Entry, content map[string][]byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Number <= s.entry.Number {
		return false
	}
	s.entry, s.content = e, content
	return true
}

// Newest returns the release kept and its chunks by digest, which must not be changed.
func (s *Cache) Newest() (Entry, map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry, s.content
}
