package balance

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"shallotramp/internal/traffic/request"
)

const (
	// blockTokens is the estimated length of a prompt's block in tokens.
	blockTokens = 256
	// maxBlocks bounds the blocks whose servers are known, over all servers.
	maxBlocks = 1 << 16
	// maxHolders bounds the servers known for one block.
	maxHolders = 4
)

// holder is a server that may have a block. It counts while the server's cache has the term.
type holder struct {
	v    *server
	term int
}

func (h holder) valid() bool { return h.v != nil && h.term == h.v.cache.term }

// holders are the servers that may have a block cached, the latest last.
type holders struct {
	list [maxHolders]holder
	n    int
}

func (h *holders) find(v *server) int {
	for i := range h.n {
		if h.list[i].v == v && h.list[i].valid() {
			return i
		}
	}
	return -1
}

func (h *holders) remove(i int) {
	copy(h.list[i:h.n], h.list[i+1:h.n])
	h.n--
	h.list[h.n] = holder{}
}

func (h *holders) add(v *server) {
	for i := h.n - 1; i >= 0; i-- {
		if h.list[i].v == v || !h.list[i].valid() {
			h.remove(i)
		}
	}
	if h.n == maxHolders {
		h.remove(0)
	}
	h.list[h.n] = holder{v, v.cache.term}
	h.n++
}

// prefixCache is this host's view of the servers' prefix caches: what it sent them, corrected by
// their events and by what requests found cached. It is a hint.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, *holders]
}

func newPrefixCache() *prefixCache {
	l, err := simplelru.NewLRU[uint64, *holders](maxBlocks, nil)
	if err != nil {
		// The size is a positive constant.
		panic(err)
	}
	return &prefixCache{blocks: l}
}

// note takes it that v caches the blocks of a prompt sent to it.
func (c *prefixCache) note(v *server, prefix []uint64) {
	for _, block := range prefix {
		c.store(v, block)
	}
}

func (c *prefixCache) store(v *server, block uint64) {
	h, ok := c.blocks.Get(block)
	if !ok {
		h = &holders{}
		c.blocks.Add(block, h)
	}
	h.add(v)
}

func (c *prefixCache) evict(v *server, block uint64) {
	h, ok := c.blocks.Peek(block)
	if !ok {
		return
	}
	if i := h.find(v); i >= 0 {
		h.remove(i)
	}
	if h.n == 0 {
		c.blocks.Remove(block)
	}
}

// deepest returns the servers that may have most blocks of a prompt.
func (c *prefixCache) deepest(prefix []uint64) (*holders, bool) {
	for i := len(prefix) - 1; i >= 0; i-- {
		if h, ok := c.blocks.Peek(prefix[i]); ok && h.n > 0 {
			return h, true
		}
	}
	return nil, false
}

// match returns how many leading blocks of a prompt v may have. Each block's hash covers those
// before it, so that the deepest one tells.
func (c *prefixCache) match(v *server, prefix []uint64) int {
	for i := len(prefix) - 1; i >= 0; i-- {
		if h, ok := c.blocks.Peek(prefix[i]); ok && h.find(v) >= 0 {
			return i + 1
		}
	}
	return 0
}

// correct takes back what a request did not find on its server.
func (c *prefixCache) correct(v *server, prefix []uint64, expected int, res request.Result) {
	switch {
	case res.Outcome == request.Unreachable, res.Outcome == request.Rejected:
		if expected == 0 {
			c.forget(v, prefix)
		}
	case res.Outcome == request.Completed && expected > 0:
		v.cache.observe(res.CachedTokens > 0)
	case res.CachedTokens > 0:
		v.cache.tells = true
	}
}

func (c *prefixCache) forget(v *server, prefix []uint64) {
	for _, block := range prefix {
		c.evict(v, block)
	}
}
