package relay

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/fleet/wire"
)

func TestReleaseReachesEachHost(t *testing.T) {
	convey.Convey("With one relay per zone, a release is in force on all hosts within seconds", t, func() {
		s := newSim(t, 4, 6)
		s.publish()
		s.run(10 * time.Second)
		convey.So(s.acting(), convey.ShouldResemble, []string{"z00-h00", "z01-h00", "z02-h00", "z03-h00"})
		convey.So(s.reached(1, nil), convey.ShouldBeTrue)
		n := s.publish()
		committed := s.now
		convey.So(s.runUntilReached(n, 10*time.Second), convey.ShouldBeLessThan, 6*time.Second)
		convey.So(s.verdict(committed).Accepted, convey.ShouldBeFalse)
		s.run(3 * time.Second)
		convey.So(s.verdict(committed).Accepted, convey.ShouldBeTrue)

		convey.Convey("and only relays call the platform", func() {
			s.reads, s.writes = 0, 0
			s.run(time.Minute)
			convey.So(s.reads, convey.ShouldBeLessThanOrEqualTo, 4*31)
			convey.So(s.writes, convey.ShouldBeLessThanOrEqualTo, 4*2*2)
			for _, h := range s.hosts {
				convey.So(h.confirmationAge(), convey.ShouldBeLessThan, 4*time.Second)
			}
		})
	})
}

func TestHostsOfAZoneKeepTheirLinks(t *testing.T) {
	convey.Convey("Each host has one link with each host of its zone, and only relays have links with other zones", t, func() {
		s := newSim(t, 3, 5)
		s.publish()
		s.run(30 * time.Second)
		for name, h := range s.hosts {
			want := 4
			if name[4:] == "h00" {
				want += 2
			}
			convey.So(len(h.core.peers), convey.ShouldEqual, want)
			convey.So(len(h.links), convey.ShouldEqual, want)
		}
	})
}

func TestRelayCrashes(t *testing.T) {
	convey.Convey("When the relay crashes, another host becomes the relay, and releases still reach all hosts", t, func() {
		s := newSim(t, 3, 4)
		s.publish()
		s.run(10 * time.Second)
		s.crash("z01-h00")
		n := s.publish()
		convey.So(s.runUntilReached(n, 20*time.Second), convey.ShouldBeLessThan, 6*time.Second)
		s.run(10 * time.Second)
		convey.So(s.acting(), convey.ShouldResemble, []string{"z00-h00", "z01-h01", "z02-h00"})
	})
}

func TestLeaseHolderGoesBeforeFallback(t *testing.T) {
	convey.Convey("The holder of the lease is the relay, and the host with the lowest name is not", t, func() {
		s := newSim(t, 1, 4)
		s.hosts["z00-h02"].leased = true
		s.publish()
		s.run(10 * time.Second)
		convey.So(s.acting(), convey.ShouldResemble, []string{"z00-h02"})
		s.hosts["z00-h02"].leased = false
		s.run(10 * time.Second)
		convey.So(s.acting(), convey.ShouldResemble, []string{"z00-h00"})
	})
}

func TestStartedHostTakesTheNewest(t *testing.T) {
	startReplacement := func(s *sim, seed string) *simHost {
		self := membership.Host{Name: "z00-h99", Zone: "z00", Incarnation: 9, Address: s.hosts["z00-h00"].self.Address}
		s.crash("z00-h00")
		return s.start(self, s.hosts[seed].self.Address)
	}
	convey.Convey("A host that starts is ready only when it has the newest release", t, func() {
		s := newSim(t, 2, 3)
		s.publish()
		s.run(10 * time.Second)
		s.publish()
		s.run(5 * time.Second)
		convey.Convey("of the platform", func() {
			h := startReplacement(s, "z00-h01")
			convey.So(h.core.Ready(), convey.ShouldBeFalse)
			s.run(time.Second)
			convey.So(h.core.Ready(), convey.ShouldBeTrue)
			convey.So(h.release(), convey.ShouldEqual, 2)
		})
		convey.Convey("of its peers and their confirmation, while the platform cannot be reached", func() {
			s.disconnect("z00", "platform")
			s.disconnect("z01", "platform")
			s.run(time.Minute)
			h := startReplacement(s, "z00-h01")
			s.run(10 * time.Second)
			convey.So(h.core.Ready(), convey.ShouldBeTrue)
			convey.So(h.release(), convey.ShouldEqual, 2)
			convey.So(h.confirmationAge(), convey.ShouldBeGreaterThan, 70*time.Second)
			convey.So(h.confirmationAge(), convey.ShouldBeLessThan, 75*time.Second)
		})
	})
}

// TestConfirmationAgeCountsTransit guards against a confirmation that looks newer than it is, because the time that its
// heartbeat spent on the way was not counted.
func TestConfirmationAgeCountsTransit(t *testing.T) {
	at := simStart.Add(time.Minute)
	cases := map[string]struct {
		heartbeat *wire.Heartbeat
		want      time.Duration
	}{
		"a heartbeat without a confirmation":                    {&wire.Heartbeat{Echo: 1}, 0},
		"without an echo the transit time is unknown":           {&wire.Heartbeat{ConfirmedAge: 1}, 0},
		"the transit time is the round trip less the held time": {&wire.Heartbeat{ConfirmedAge: uint64(time.Second) + 1, Echo: uint64(50*time.Second) + 1, Held: uint64(9 * time.Second)}, 2 * time.Second},
		"the delay of a message counts as age":                  {&wire.Heartbeat{ConfirmedAge: 1, Echo: uint64(20*time.Second) + 1}, 40 * time.Second},
		"an echo of a future time is ignored":                   {&wire.Heartbeat{ConfirmedAge: 1, Echo: uint64(2 * time.Minute)}, 0},
		"a held time longer than the round trip is ignored":     {&wire.Heartbeat{ConfirmedAge: 1, Echo: uint64(50*time.Second) + 1, Held: uint64(time.Minute)}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			core := &Core{started: simStart}
			got := core.confirmedAt(at, c.heartbeat)
			if (c.want == 0) != got.IsZero() || c.want > 0 && at.Sub(got) != c.want {
				t.Fatalf("got %v, want an age of %v", got, c.want)
			}
		})
	}
}
