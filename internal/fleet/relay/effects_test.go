package relay

import (
	"testing"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
)

func TestUnpackRefuses(t *testing.T) {
	set := object.NewSet()
	set.Organisations["river"] = &object.OrganisationSpec{Name: "river"}
	refs, content, err := release.Split(set)
	if err != nil {
		t.Fatal(err)
	}
	digest := refs[0].Digest
	packed := Compress(content[digest])
	complete := release.Entry{Number: 1, Digest: release.DigestOf(refs), Chunks: refs}
	cases := map[string]struct {
		entry   release.Entry
		content map[string][]byte
		ok      bool
	}{
		"a complete release is accepted":                   {complete, map[string][]byte{digest: packed}, true},
		"a missing chunk":                                  {complete, nil, false},
		"a truncated chunk":                                {complete, map[string][]byte{digest: packed[:len(packed)/2]}, false},
		"a chunk that exceeds the limit when decompressed": {complete, map[string][]byte{digest: Compress(make([]byte, maxChunkBytes+1))}, false},
		"a list of chunks that does not match the digest":  {release.Entry{Number: 1, Digest: "other", Chunks: refs}, map[string][]byte{digest: packed}, false},
		"no chunks with the digest of a release":           {release.Entry{Number: 1, Digest: complete.Digest}, nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := Unpack(Adopt{Entry: c.entry, Content: c.content}, &release.Cache{})
			var corrupt *release.CorruptError
			if c.ok != (err == nil) || err != nil && !errors.As(err, &corrupt) {
				t.Fatalf("Unpack returned the error %v", err)
			}
			if c.ok && string(got[digest]) != string(content[digest]) {
				t.Fatal("the decompressed chunk differs from the original")
			}
		})
	}
}
