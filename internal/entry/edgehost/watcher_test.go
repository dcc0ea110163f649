package edgehost

import (
	"net/netip"
	"testing"

	"shallotramp/internal/fleet/gossip"
)

func addr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}) }

// TestWatchers guards against a zone whose hosts choose different watchers, too many or too few of them, or ask some of
// them too often. Watchers have to be the hosts with the most link bandwidth.
func TestWatchers(t *testing.T) {
	tests := map[string]struct {
		hosts int
		// fast is the number of hosts with the most link bandwidth. They have the highest addresses.
		fast int
		// watchers is the expected number of watchers, and load the most hosts that may ask one of them first.
		watchers, load int
	}{
		"one host":                              {1, 1, 1, 0},
		"a small zone":                          {3, 3, 2, 1},
		"a medium zone":                         {21, 21, 2, 10},
		"a large zone":                          {100, 100, 10, 9},
		"few hosts have a fast link":            {100, 5, 10, 9},
		"a third of the hosts have a fast link": {24, 8, 2, 11},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			members := func() []gossip.Member {
				var list []gossip.Member
				for i := range test.hosts {
					m := gossip.Member{Addr: addr(i), LinkMbps: 10}
					if i >= test.hosts-test.fast {
						m.LinkMbps = 200
					}
					list = append(list, m)
				}
				return list
			}
			direct, first := map[netip.Addr]bool{}, map[netip.Addr]int{}
			for i := range test.hosts {
				list := neighboursFor(addr(i), members(), 7200)
				if list == nil {
					direct[addr(i)] = true
					continue
				}
				first[list[0].Addr()]++
			}
			if len(direct) != test.watchers {
				t.Fatalf("%d hosts watch the store, want %d", len(direct), test.watchers)
			}
			fast := 0
			for i := test.hosts - test.fast; i < test.hosts; i++ {
				if direct[addr(i)] {
					fast++
				}
			}
			if want := min(test.fast, test.watchers); fast != want {
				t.Errorf("%d watchers have a fast link, want %d", fast, want)
			}
			for a, n := range first {
				if !direct[a] {
					t.Errorf("%s is asked but does not watch the store", a)
				}
				if n > test.load {
					t.Errorf("%s is asked first by %d hosts, want at most %d", a, n, test.load)
				}
			}
		})
	}
}
