package gossip

import (
	"net/netip"
	"testing"
	"time"
)

// TestNoMemberIsForgotten replays large zones: a host that was not told by chance for long took the teller for
// silent, and asked the platform's store itself. Hosts count as silent after three of the usual intervals.
func TestNoMemberIsForgotten(t *testing.T) {
	tests := map[string]struct {
		near, far int
		// most is the longest time between two packets to a host of the zone.
		most time.Duration
	}{
		"a deployment of today": {2, 4, 3 * nearInterval},
		"a grown deployment":    {20, 41, 6 * nearInterval},
		"a large deployment":    {99, 200, 30 * nearInterval},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
			x := New(Self{Host: "self", Zone: "z-a", Addr: netip.MustParseAddr("10.0.0.1")}, nil, nil)
			told := map[netip.Addr]time.Time{}
			for i := range test.near + test.far {
				a := netip.AddrFrom4([4]byte{10, 1, byte(i / 200), byte(i % 200)})
				zone := "z-a"
				if i >= test.near {
					zone = "z-b"
				}
				x.members[a] = &peer{Member: Member{Host: a.String(), Zone: zone, Addr: a}}
				if zone == "z-a" {
					told[a] = start
				}
			}
			for at := start; at.Before(start.Add(time.Minute)); at = at.Add(nearInterval) {
				for _, p := range x.members {
					p.LastHeard = at
				}
				targets, _ := x.targets(at)
				if len(targets) > fewHosts {
					t.Fatalf("%d packets at once, want at most %d", len(targets), fewHosts)
				}
				for _, g := range targets {
					if since := at.Sub(told[g.addr]); !told[g.addr].IsZero() && since > test.most {
						t.Fatalf("a host of the zone was told after %s, want %s", since, test.most)
					}
					if _, near := told[g.addr]; near {
						told[g.addr] = at
					}
				}
			}
			for a, last := range told {
				if gap := start.Add(time.Minute).Sub(last); gap > test.most {
					t.Errorf("%s was not told for %s", a, gap)
				}
			}
		})
	}
}
