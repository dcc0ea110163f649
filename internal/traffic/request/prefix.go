package request

import "github.com/cespare/xxhash/v2"

const (
	// PrefixBlockBytes is the size of the blocks by which prompts are compared.
	PrefixBlockBytes = 1024
	// maxPrefixBlocks bounds the blocks of a prompt that are compared.
	maxPrefixBlocks = 16
)

// PrefixOf hashes the leading blocks of a prompt, each together with all blocks before it.
func PrefixOf(text string) []uint64 {
	var out []uint64
	d := xxhash.New()
	for len(text) >= PrefixBlockBytes && len(out) < maxPrefixBlocks {
		_, _ = d.WriteString(text[:PrefixBlockBytes])
		out = append(out, d.Sum64())
		text = text[PrefixBlockBytes:]
	}
	return out
}
