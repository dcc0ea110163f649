package relay_test

import (
	"fmt"
	"net/netip"
	"testing"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/fleet/relay"
)

// configurationOf returns a configuration of n organisations with two keys each, and 1100 backend servers for every 1400
// organisations.
func configurationOf(n int) *object.Set {
	s := object.NewSet()
	for i := range n {
		org := fmt.Sprintf("organisation-%04d", i)
		s.Organisations[org] = &object.OrganisationSpec{Name: org, Weight: 1}
		for k := range 2 {
			name := fmt.Sprintf("%s-key-%d", org, k)
			s.Keys[name] = &object.KeySpec{Name: name, Organisation: org, Digest: object.DigestOf(name)}
		}
	}
	for i := range n * 1100 / 1400 {
		name := fmt.Sprintf("engine-%04d", i)
		s.BackendServers[name] = &object.BackendServerSpec{
			Name: name, Pool: "pool-1", Zone: fmt.Sprintf("zone-%d", i%16), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8000), Price: 2,
		}
	}
	return s
}

// BenchmarkAdopt adopts a release like a host that has none of its chunks: it decompresses, verifies, parses and indexes
// them. It reports the compressed size of all chunks and of those that change when a key is added.
func BenchmarkAdopt(b *testing.B) {
	for _, n := range []int{350, 700, 1400} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			set := configurationOf(n)
			refs, content, err := release.Split(set)
			if err != nil {
				b.Fatal(err)
			}
			a := relay.Adopt{Entry: release.Entry{Number: 1, Digest: release.DigestOf(refs), Chunks: refs}, Content: map[string][]byte{}}
			all := 0
			for d, c := range content {
				a.Content[d] = relay.Compress(c)
				all += len(a.Content[d])
			}
			set.Keys["extra"] = &object.KeySpec{Name: "extra", Organisation: "organisation-0000", Digest: object.DigestOf("extra")}
			_, next, err := release.Split(set)
			if err != nil {
				b.Fatal(err)
			}
			changed := 0
			for d, c := range next {
				if _, ok := content[d]; !ok {
					changed += len(relay.Compress(c))
				}
			}
			for b.Loop() {
				got, err := relay.Unpack(a, &release.Cache{})
				if err != nil {
					b.Fatal(err)
				}
				s, err := release.Join(refs, got)
				if err != nil {
					b.Fatal(err)
				}
				release.NewSnapshot(1, "", s)
			}
			b.ReportMetric(float64(all), "release-B")
			b.ReportMetric(float64(changed), "change-B")
		})
	}
}
