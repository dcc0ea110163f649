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
	whole := release.Entry{Number: 1, Digest: release.DigestOf(refs), Chunks: refs}
	cases := map[string]struct {
		entry   release.Entry
		content map[string][]byte
		ok      bool
	}{
		"a whole release is taken":               {whole, map[string][]byte{digest: packed}, true},
		"a missing chunk":                        {whole, nil, false},
		"a truncated chunk":                      {whole, map[string][]byte{digest: packed[:len(packed)/2]}, false},
		"a chunk that unpacks beyond all bounds": {whole, map[string][]byte{digest: Compress(make([]byte, maxChunkBytes+1))}, false},
		"a list of chunks of another release":    {release.Entry{Number: 1, Digest: "other", Chunks: refs}, map[string][]byte{digest: packed}, false},
		"no chunks under a release's digest":     {release.Entry{Number: 1, Digest: whole.Digest}, nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := Unpack(Adopt{Entry: c.entry, Content: c.content}, &release.Shelf{})
			var corrupt *release.CorruptError
			if c.ok != (err == nil) || err != nil && !errors.As(err, &corrupt) {
				t.Fatalf("got %v", err)
			}
			if c.ok && string(got[digest]) != string(content[digest]) {
				t.Fatal("the content changed")
			}
		})
	}
}
