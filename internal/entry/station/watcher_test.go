package station

import (
	"net/netip"
	"testing"

	"shallotramp/internal/fleet/gossip"
)

func addr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}) }

func TestWatchers(t *testing.T) {
	tests := map[string]struct {
		hosts int
		// wide hosts have the widest links; they come last by address.
		wide int
		// watchers are expected, each with at most load followers.
		watchers, load int
	}{
		"one host":              {1, 1, 1, 0},
		"a zone of today":       {3, 3, 2, 1},
		"a grown zone":          {21, 21, 2, 10},
		"a large zone":          {100, 100, 10, 9},
		"few hosts are wide":    {100, 5, 10, 9},
		"a third of hosts wide": {24, 8, 2, 11},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			members := func() []gossip.Member {
				var zone []gossip.Member
				for i := range test.hosts {
					m := gossip.Member{Addr: addr(i), LinkMbps: 10}
					if i >= test.hosts-test.wide {
						m.LinkMbps = 200
					}
					zone = append(zone, m)
				}
				return zone
			}
			direct, first := map[netip.Addr]bool{}, map[netip.Addr]int{}
			for i := range test.hosts {
				list := watchersFor(addr(i), members(), 7200)
				if list == nil {
					direct[addr(i)] = true
					continue
				}
				first[list[0].Addr()]++
			}
			if len(direct) != test.watchers {
				t.Fatalf("%d hosts follow the store, want %d", len(direct), test.watchers)
			}
			wide := 0
			for i := test.hosts - test.wide; i < test.hosts; i++ {
				if direct[addr(i)] {
					wide++
				}
			}
			if want := min(test.wide, test.watchers); wide != want {
				t.Errorf("%d watchers have a wide link, want %d", wide, want)
			}
			for a, n := range first {
				if !direct[a] {
					t.Errorf("%s is asked and does not follow the store", a)
				}
				if n > test.load {
					t.Errorf("%s is asked first by %d hosts, want at most %d", a, n, test.load)
				}
			}
		})
	}
}
