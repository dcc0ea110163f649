package relay

import (
	"bufio"
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/fleet/wire"
)

// FuzzReceive passes arbitrary messages of peers, from its own and from another zone, to a relay. No message may make it
// panic, adopt an earlier release, confirm a release that is not in force, or adopt content that does not match its
// digest.
func FuzzReceive(f *testing.F) {
	for _, e := range []*wire.Envelope{
		{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{Stamp: 1, Echo: 1, Release: 9, ConfirmedAge: 1}}},
		{Body: &wire.Envelope_Members{Members: &wire.Members{Hosts: []*wire.Host{{Name: "x", Zone: "z", Address: []byte{1}}}}}},
		{Body: &wire.Envelope_Head{Head: &wire.Head{Number: 9, Chunks: []*wire.ChunkRef{{Digest: []byte{1}, Bytes: 5}}}}},
		{Body: &wire.Envelope_Chunk{Chunk: &wire.Chunk{Digest: []byte{1}, Content: []byte("x")}}},
		{Body: &wire.Envelope_ChunkRequest{ChunkRequest: &wire.ChunkRequest{Digest: []byte{1}}}},
		{Body: &wire.Envelope_State{State: &wire.State{Source: "b", Full: true, Keys: []uint32{79, 1, 0, 0}, Names: []string{"e"}, Indexes: []uint32{0}, Values: []int64{3}, Sequence: 1}}},
		{Body: &wire.Envelope_Loads{Loads: &wire.Loads{Reports: []*wire.Load{{Server: "e", Age: 1 << 62}}}}},
		{Body: &wire.Envelope_ZoneStatus{ZoneStatus: &wire.ZoneStatus{Content: []byte(`{"Zone":"z2"}`)}}},
	} {
		var buf bytes.Buffer
		if _, err := wire.Write(&buf, e); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes())
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		h := &simHost{s: &sim{t: t, now: simStart}, holder: &release.Holder{}, cache: &release.Cache{}}
		c := NewCore(simStart, membership.Host{Name: "a", Zone: "z1"}, nil, h.cache, rand.New(rand.NewPCG(1, 2)))
		c.LinkUp(simStart, 1, membership.Host{Name: "b", Zone: "z1"}, true)
		c.LinkUp(simStart, 2, membership.Host{Name: "c", Zone: "z2"}, false)
		c.Tick(simStart.Add(time.Second), true)
		c.SetLocalRelease(simStart.Add(time.Second), 5, simStart)
		r := bufio.NewReader(bytes.NewReader(in))
		now := simStart.Add(2 * time.Second)
		for {
			e, err := wire.Read(r)
			if err != nil {
				return
			}
			for _, id := range []LinkID{1, 2} {
				for _, out := range append(c.Receive(now, id, e), c.Tick(now, true)...) {
					checkEffect(t, out, h.cache)
				}
			}
			now = now.Add(300 * time.Millisecond)
		}
	})
}

func checkEffect(t *testing.T, e Effect, cache *release.Cache) {
	switch e := e.(type) {
	case Adopt:
		if e.Entry.Number <= 5 {
			t.Fatalf("adopted release %d, which is not newer than the release in force", e.Entry.Number)
		}
		content, err := Unpack(e, cache)
		if err != nil {
			return
		}
		if set, err := release.Join(e.Entry.Chunks, content); err == nil && len(e.Entry.Chunks) > 0 {
			_ = set.Check()
		}
	case Confirm:
		if e.Number != 5 {
			t.Fatalf("confirmed release %d, which is not in force", e.Number)
		}
	}
}
