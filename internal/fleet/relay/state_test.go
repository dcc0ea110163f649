package relay

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/traffic/dispatch"
)

func TestStatesReachZoneAndOtherZones(t *testing.T) {
	convey.Convey("Each host has the states of the hosts of its zone and the sum of those of other zones", t, func() {
		s := newSim(t, 3, 3)
		used := map[string]int64{}
		for name, h := range s.hosts {
			h.state = func() dispatch.HostState {
				return dispatch.HostState{
					Outstanding: map[string]int{"engine-" + h.self.Zone: 2},
					Pools: map[string]dispatch.PoolState{"models": {
						WantedThrottleTier: 2, AppliedThrottleTier: 2, Classes: map[string]dispatch.ClassState{"chat": {Waiting: 1, Running: 2}},
					}},
					ServedTokens: map[string]map[string]int64{"chat": {"river": 1000 + used[name]}},
				}
			}
		}
		s.publish()
		s.run(20 * time.Second)
		h := s.hosts["z01-h02"]
		neighbour := h.peerStates["z01-h00"]
		convey.So(neighbour.Outstanding, convey.ShouldResemble, map[string]int{"engine-z01": 2})
		convey.So(neighbour.Pools["models"].Classes["chat"].Running, convey.ShouldEqual, 2)
		convey.So(neighbour.Running["chat"], convey.ShouldEqual, 2)
		others := h.peerStates[otherZonesSource]
		convey.So(others.Outstanding, convey.ShouldResemble, map[string]int{"engine-z00": 6, "engine-z02": 6})
		convey.So(others.Pools["models"], convey.ShouldResemble, dispatch.PoolState{
			WantedThrottleTier: 2, AppliedThrottleTier: 2, Classes: map[string]dispatch.ClassState{"chat": {Waiting: 6, Running: 12}},
		})
		convey.So(s.hosts["z01-h00"].peerStates[otherZonesSource].Outstanding, convey.ShouldResemble, others.Outstanding)

		// The sum includes only tokens served from now on, not those served before.
		used["z00-h01"], used["z02-h00"] = 5, 7
		total := int64(0)
		for range 60 {
			s.run(100 * time.Millisecond)
			if n := h.peerStates[otherZonesSource].ServedTokens["chat"]["river"]; n > 0 {
				total = n
			}
		}
		convey.So(total, convey.ShouldEqual, 12)

		// The sum no longer includes a zone that sends no states.
		s.isolate("z02", false)
		s.run(10 * time.Second)
		convey.So(h.peerStates[otherZonesSource].Outstanding, convey.ShouldResemble, map[string]int{"engine-z00": 6})
	})
}

func TestLoadsReachZoneAndFewOtherZones(t *testing.T) {
	convey.Convey("A load report reaches the hosts of its zone, and those of other zones only if there are few zones", t, func() {
		for zones, want := range map[int]bool{3: true, 6: false} {
			s := newSim(t, zones, 3)
			for _, h := range s.hosts {
				h.state = func() dispatch.HostState { return dispatch.HostState{} }
			}
			s.publish()
			s.run(15 * time.Second)
			for range 3 {
				s.hosts["z01-h02"].core.ShareLoads(s.now, []dispatch.Load{{Server: "engine-1", At: s.now, Running: 4, Loaded: []string{"m"}}})
				s.run(2 * time.Second)
			}
			sameZone := s.hosts["z01-h01"].loads["engine-1"]
			convey.So(sameZone.Running, convey.ShouldEqual, 4)
			convey.So(sameZone.Loaded, convey.ShouldResemble, []string{"m"})
			for _, name := range []string{"z00-h00", "z02-h01"} {
				otherZone, ok := s.hosts[name].loads["engine-1"]
				convey.So(ok, convey.ShouldEqual, want)
				if ok {
					convey.So(otherZone.Loaded, convey.ShouldResemble, []string{"m"})
					convey.So(s.now.Sub(otherZone.At), convey.ShouldBeLessThan, 3*time.Second)
				}
			}
		}
	})
}
