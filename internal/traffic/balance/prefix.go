package balance

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"shallotramp/internal/traffic/request"
)

const (
	// blockTokens is the estimated length of a block of a prompt in tokens.
	blockTokens = 256
	// maxBlocks bounds the number of blocks in the index, over all servers.
	maxBlocks = 1 << 16
	// maxHolders bounds the number of servers that are recorded for one block.
	maxHolders = 4
)

// holder is a server that may have a block cached. It is valid while the server's cache has the same generation.
type holder struct {
	server     *server
	generation int
}

func (h holder) valid() bool { return h.server != nil && h.generation == h.server.cache.generation }

// holders lists the servers that may have a block cached, the one added last at the end.
type holders struct {
	list [maxHolders]holder
	n    int
}

func (h *holders) find(v *server) int {
	for i := range h.n {
		if h.list[i].server == v && h.list[i].valid() {
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
		if h.list[i].server == v || !h.list[i].valid() {
			h.remove(i)
		}
	}
	if h.n == maxHolders {
		h.remove(0)
	}
	h.list[h.n] = holder{v, v.cache.generation}
	h.n++
}

// prefixIndex maps the blocks of prompts to the servers that may have them cached. It records what this host
// sent to the servers, corrected by their cache events and by what requests found cached. It is a hint: an entry
// may be wrong.
type prefixIndex struct {
	blocks *simplelru.LRU[uint64, *holders]
}

func newPrefixIndex() *prefixIndex {
	l, err := simplelru.NewLRU[uint64, *holders](maxBlocks, nil)
	if err != nil {
		// The size is a positive constant.
		panic(err)
	}
	return &prefixIndex{blocks: l}
}

// addPrompt records the blocks of a prompt that was sent to v, which is assumed to cache them.
func (c *prefixIndex) addPrompt(v *server, prefix []uint64) {
	for _, block := range prefix {
		c.store(v, block)
	}
}

func (c *prefixIndex) store(v *server, block uint64) {
	h, ok := c.blocks.Get(block)
	if !ok {
		h = &holders{}
		c.blocks.Add(block, h)
	}
	h.add(v)
}

func (c *prefixIndex) evict(v *server, block uint64) {
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

// longestMatch returns the servers that may have the most leading blocks of a prompt.
func (c *prefixIndex) longestMatch(prefix []uint64) (*holders, bool) {
	for i := len(prefix) - 1; i >= 0; i-- {
		if h, ok := c.blocks.Peek(prefix[i]); ok && h.n > 0 {
			return h, true
		}
	}
	return nil, false
}

// matchedBlocks returns how many leading blocks of a prompt v may have. The hash of a block covers all blocks
// before it, so that the last block that is found decides.
func (c *prefixIndex) matchedBlocks(v *server, prefix []uint64) int {
	for i := len(prefix) - 1; i >= 0; i-- {
		if h, ok := c.blocks.Peek(prefix[i]); ok && h.find(v) >= 0 {
			return i + 1
		}
	}
	return 0
}

// applyResult corrects what was recorded for an attempt. A request that did not run has left no blocks on its
// server; one that ran tells whether the blocks that were expected there were cached.
func (c *prefixIndex) applyResult(v *server, prefix []uint64, expectedBlocks int, res request.Result) {
	switch {
	case res.Outcome == request.Unreachable, res.Outcome == request.Rejected:
		if expectedBlocks == 0 {
			c.removePrompt(v, prefix)
		}
	case res.Outcome == request.Completed && expectedBlocks > 0:
		v.cache.observe(res.CachedTokens > 0)
	case res.CachedTokens > 0:
		v.cache.reportsCachedTokens = true
	}
}

func (c *prefixIndex) removePrompt(v *server, prefix []uint64) {
	for _, block := range prefix {
		c.evict(v, block)
	}
}
