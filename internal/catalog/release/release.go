// Package release publishes configurations and indexes them for request routing.
//
// A release is a numbered [object.Set]. Its documents are kept in content-addressed
// chunks, platform objects that are created once and never changed. One platform
// object, the head, holds the number and the chunk references of the newest
// release. The conditional update of the head is the only step that commits a
// release. A [Snapshot] is a release indexed for request routing.
package release

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/provider/store"
)

// Kinds and names of the platform objects that store releases.
const (
	HeadKind  = "Head"
	HeadName  = "release"
	ChunkKind = "Chunk"
)

const (
	// minChunkBytes and maxChunkBytes bound the size at which a chunk ends. Once a chunk has minChunkBytes, it ends
	// after a boundary document, see [isBoundary]; at maxChunkBytes it ends after any document. Boundaries depend
	// on names only, so a change leaves the chunks of other documents as they are and hosts need not fetch them
	// again.
	minChunkBytes = 16 << 10
	maxChunkBytes = 256 << 10
	// boundaryModulus is the average number of documents per boundary document.
	boundaryModulus = 128
	// historyLength is the number of earlier releases that the head lists.
	historyLength = 50
)

// ChunkRef refers to one chunk by the digest of its content.
type ChunkRef struct {
	Digest string
	Bytes  int
}

// Entry describes one release.
type Entry struct {
	Number uint64
	Digest string
	Author string
	Note   string `json:",omitempty"`
	Time   time.Time
	Chunks []ChunkRef
}

// Head is the content of the head object. Entry is the newest release, History lists the earlier ones, newest first.
type Head struct {
	Entry
	History []Entry `json:",omitempty"`
}

// ChunkSpec is the content of a chunk object.
type ChunkSpec struct {
	Documents json.RawMessage
}

// Split serialises the documents of s into chunks of bounded size. It returns the
// chunk references in order and the content by digest. Equal sets give equal chunks.
func Split(s *object.Set) ([]ChunkRef, map[string][]byte, error) {
	var refs []ChunkRef
	content := map[string][]byte{}
	var buf bytes.Buffer
	flush := func() {
		if buf.Len() == 0 {
			return
		}
		buf.WriteByte(']')
		b := bytes.Clone(buf.Bytes())
		buf.Reset()
		sum := sha256.Sum256(b)
		d := hex.EncodeToString(sum[:])
		content[d] = b
		refs = append(refs, ChunkRef{Digest: d, Bytes: len(b)})
	}
	for _, d := range s.Documents() {
		b, err := json.Marshal(d)
		if err != nil {
			return nil, nil, err
		}
		sep := byte(',')
		if buf.Len() == 0 {
			sep = '['
		}
		buf.WriteByte(sep)
		buf.Write(b)
		if buf.Len() >= maxChunkBytes || buf.Len() >= minChunkBytes && isBoundary(d) {
			flush()
		}
	}
	flush()
	return refs, content, nil
}

// isBoundary reports whether a chunk may end after d before it has maxChunkBytes. It depends only on a hash of the
// kind and name.
func isBoundary(d object.Document) bool {
	return xxhash.Sum64String(d.Kind.String()+"/"+d.Name)%boundaryModulus == 0
}

// CorruptError reports a chunk whose content does not match its digest.
type CorruptError struct{ Digest string }

func (e *CorruptError) Error() string {
	return fmt.Sprintf("chunk %s does not match its digest; publish the configuration again", e.Digest)
}

// Join builds a set from the chunks of refs and verifies each chunk against its digest.
func Join(refs []ChunkRef, content map[string][]byte) (*object.Set, error) {
	s := object.NewSet()
	for _, ref := range refs {
		b, ok := content[ref.Digest]
		sum := sha256.Sum256(b)
		if !ok || hex.EncodeToString(sum[:]) != ref.Digest {
			return nil, &CorruptError{Digest: ref.Digest}
		}
		var docs []json.RawMessage
		if err := json.Unmarshal(b, &docs); err != nil {
			return nil, err
		}
		for n, d := range docs {
			if err := s.AddJSON("chunk "+ref.Digest, n+1, d); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

// DigestOf returns the digest of a list of chunks, which identifies the content of a release.
func DigestOf(refs []ChunkRef) string {
	h := sha256.New()
	for _, r := range refs {
		h.Write([]byte(r.Digest))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// ReadHead returns the head and the version of its object. If no release is published
// yet, it returns a Head with number 0 and an empty version.
func ReadHead(ctx context.Context, st store.Store) (Head, string, error) {
	o, err := st.Get(ctx, HeadKind, HeadName)
	if store.Failed(err, store.NotFound) {
		return Head{}, "", nil
	}
	if err != nil {
		return Head{}, "", err
	}
	h, err := DecodeHead(o)
	return h, o.Version, err
}

// DecodeHead returns the content of a head object.
func DecodeHead(o store.Object) (Head, error) {
	var h Head
	if err := json.Unmarshal(o.Spec, &h); err != nil {
		return Head{}, errors.Wrap(err, "the head object cannot be decoded; publish the configuration again")
	}
	return h, nil
}

// ReadChunks returns the chunks of refs by digest. It fetches only those that are not in cached.
func ReadChunks(ctx context.Context, st store.Store, refs []ChunkRef, cached map[string][]byte) (map[string][]byte, error) {
	out := make(map[string][]byte, len(refs))
	for _, r := range refs {
		if b, ok := cached[r.Digest]; ok {
			out[r.Digest] = b
			continue
		}
		o, err := st.Get(ctx, ChunkKind, r.Digest)
		if err != nil {
			return nil, err
		}
		var c ChunkSpec
		if err := json.Unmarshal(o.Spec, &c); err != nil {
			return nil, &CorruptError{Digest: r.Digest}
		}
		out[r.Digest] = c.Documents
	}
	return out, nil
}
