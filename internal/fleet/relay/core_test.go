package relay

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/fleet/member"
	"shallotramp/internal/fleet/wire"
)

func TestReleaseReachesEachHost(t *testing.T) {
	convey.Convey("With one relay a zone, a release is in force everywhere within seconds", t, func() {
		s := newSim(t, 4, 6)
		s.publish()
		s.run(10 * time.Second)
		convey.So(s.acting(), convey.ShouldResemble, []string{"z00-h00", "z01-h00", "z02-h00", "z03-h00"})
		convey.So(s.reached(1, nil), convey.ShouldBeTrue)
		n := s.publish()
		committed := s.now
		convey.So(s.lag(n, 10*time.Second), convey.ShouldBeLessThan, 6*time.Second)
		convey.So(s.verdict(committed).Accepted, convey.ShouldBeFalse)
		s.run(3 * time.Second)
		convey.So(s.verdict(committed).Accepted, convey.ShouldBeTrue)

		convey.Convey("and only relays call the platform", func() {
			s.reads, s.writes = 0, 0
			s.run(time.Minute)
			convey.So(s.reads, convey.ShouldBeLessThanOrEqualTo, 4*31)
			convey.So(s.writes, convey.ShouldBeLessThanOrEqualTo, 4*2*2)
			for _, h := range s.hosts {
				convey.So(h.age(), convey.ShouldBeLessThan, 4*time.Second)
			}
		})
	})
}

func TestHostsOfAZoneKeepTheirLinks(t *testing.T) {
	convey.Convey("Each host is linked once with each of its zone, and only relays across", t, func() {
		s := newSim(t, 3, 5)
		s.publish()
		s.run(30 * time.Second)
		for name, h := range s.hosts {
			want := 4
			if name[4:] == "h00" {
				want += 2
			}
			convey.So(len(h.core.peers), convey.ShouldEqual, want)
			convey.So(len(h.ends), convey.ShouldEqual, want)
		}
	})
}

func TestRelayVanishes(t *testing.T) {
	convey.Convey("Another host relays when the relay vanishes, and releases go on", t, func() {
		s := newSim(t, 3, 4)
		s.publish()
		s.run(10 * time.Second)
		s.stop("z01-h00")
		n := s.publish()
		convey.So(s.lag(n, 20*time.Second), convey.ShouldBeLessThan, 6*time.Second)
		s.run(10 * time.Second)
		convey.So(s.acting(), convey.ShouldResemble, []string{"z00-h00", "z01-h01", "z02-h00"})
	})
}

func TestLeaseGoesBeforeHint(t *testing.T) {
	convey.Convey("The holder of the lease relays, and the lowest host does not", t, func() {
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
	start := func(s *sim, seed string) *simHost {
		self := member.Host{Name: "z00-h99", Zone: "z00", Incarnation: 9, Address: s.hosts["z00-h00"].self.Address}
		s.stop("z00-h00")
		return s.start(self, s.hosts[seed].self.Address)
	}
	convey.Convey("A started host is ready only with the newest release", t, func() {
		s := newSim(t, 2, 3)
		s.publish()
		s.run(10 * time.Second)
		s.publish()
		s.run(5 * time.Second)
		convey.Convey("of the platform", func() {
			h := start(s, "z00-h01")
			convey.So(h.core.Ready(), convey.ShouldBeFalse)
			s.run(time.Second)
			convey.So(h.core.Ready(), convey.ShouldBeTrue)
			convey.So(h.release(), convey.ShouldEqual, 2)
		})
		convey.Convey("of its peers while the platform is cut off, with their confirmation", func() {
			s.sever("z00", "platform")
			s.sever("z01", "platform")
			s.run(time.Minute)
			h := start(s, "z00-h01")
			s.run(10 * time.Second)
			convey.So(h.core.Ready(), convey.ShouldBeTrue)
			convey.So(h.release(), convey.ShouldEqual, 2)
			convey.So(h.age(), convey.ShouldBeGreaterThan, 70*time.Second)
			convey.So(h.age(), convey.ShouldBeLessThan, 75*time.Second)
		})
	})
}

func TestConfirmationAgeCountsTheWay(t *testing.T) {
	at := simStart.Add(time.Minute)
	cases := map[string]struct {
		beat *wire.Heartbeat
		want time.Duration
	}{
		"no confirmation tells nothing":         {&wire.Heartbeat{Echo: 1}, 0},
		"without an echo the way is unknown":    {&wire.Heartbeat{ConfirmedAge: 1}, 0},
		"the way is the trip less what is held": {&wire.Heartbeat{ConfirmedAge: uint64(time.Second) + 1, Echo: uint64(50*time.Second) + 1, Held: uint64(9 * time.Second)}, 2 * time.Second},
		"a message that waited is as old":       {&wire.Heartbeat{ConfirmedAge: 1, Echo: uint64(20*time.Second) + 1}, 40 * time.Second},
		"an echo of the future is no echo":      {&wire.Heartbeat{ConfirmedAge: 1, Echo: uint64(2 * time.Minute)}, 0},
		"a host that held longer than the trip": {&wire.Heartbeat{ConfirmedAge: 1, Echo: uint64(50*time.Second) + 1, Held: uint64(time.Minute)}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			core := &Core{started: simStart}
			got := core.confirmedAt(at, c.beat)
			if (c.want == 0) != got.IsZero() || c.want > 0 && at.Sub(got) != c.want {
				t.Fatalf("got %v, want an age of %v", got, c.want)
			}
		})
	}
}
