package gossip

import (
	"net/netip"
	"testing"
	"time"
)

// TestPacketIntervalIsBounded simulates zones of several sizes. In large zones the hosts that are sent a packet are
// drawn at random. Once a host was left out for so long that it took the sender for silent and read the platform's
// store itself. Hosts count as silent after three of the usual intervals.
func TestPacketIntervalIsBounded(t *testing.T) {
	tests := map[string]struct {
		sameZone, crossZone int
		// maxGap is the longest time between two packets to a host of the zone.
		maxGap time.Duration
	}{
		"a small deployment":  {2, 4, 3 * baseSameZoneInterval},
		"a medium deployment": {20, 41, 6 * baseSameZoneInterval},
		"a large deployment":  {99, 200, 30 * baseSameZoneInterval},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
			e := New(Self{Host: "self", Zone: "z-a", Addr: netip.MustParseAddr("10.0.0.1")}, nil, nil)
			lastSent := map[netip.Addr]time.Time{}
			for i := range test.sameZone + test.crossZone {
				a := netip.AddrFrom4([4]byte{10, 1, byte(i / 200), byte(i % 200)})
				zone := "z-a"
				if i >= test.sameZone {
					zone = "z-b"
				}
				e.peers[a] = &peer{Member: Member{Host: a.String(), Zone: zone, Addr: a}}
				if zone == "z-a" {
					lastSent[a] = start
				}
			}
			for at := start; at.Before(start.Add(time.Minute)); at = at.Add(baseSameZoneInterval) {
				for _, p := range e.peers {
					p.LastSeen = at
				}
				targets := e.dueTargets(at)
				if len(targets) > fanout {
					t.Fatalf("%d packets at once, want at most %d", len(targets), fanout)
				}
				for _, target := range targets {
					if gap := at.Sub(lastSent[target.addr]); !lastSent[target.addr].IsZero() && gap > test.maxGap {
						t.Fatalf("a host of the zone was sent a packet after %s, want at most %s", gap, test.maxGap)
					}
					if _, sameZone := lastSent[target.addr]; sameZone {
						lastSent[target.addr] = at
					}
				}
			}
			for a, last := range lastSent {
				if gap := start.Add(time.Minute).Sub(last); gap > test.maxGap {
					t.Errorf("%s was sent no packet for %s", a, gap)
				}
			}
		})
	}
}
