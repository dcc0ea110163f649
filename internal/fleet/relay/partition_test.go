package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/fleet/acceptance"
	"shallotramp/internal/fleet/member"
)

// verdict judges the release on what the platform knows, with a grace of a minute.
func (s *sim) verdict(committed time.Time) acceptance.Verdict {
	in := acceptance.Input{Release: s.head.Number, Committed: committed, Grace: time.Minute, Hosts: map[string][]string{}}
	for _, h := range s.list() {
		in.Hosts[h.Zone] = append(in.Hosts[h.Zone], h.Name)
	}
	for _, z := range s.statuses {
		in.Statuses = append(in.Statuses, z)
	}
	return acceptance.Evaluate(s.now, in)
}

// expires checks that a release that cannot reach a zone is accepted only when its hosts serve no keyed work.
func (s *sim) expires(n uint64, committed time.Time) {
	for !s.verdict(committed).Accepted && s.now.Sub(committed) < time.Hour {
		s.run(100 * time.Millisecond)
	}
	for name, h := range s.hosts {
		if h.release() < n && h.age() <= time.Minute {
			s.t.Errorf("accepted while %s, confirmed %v ago, serves release %d", name, h.age(), h.release())
		}
	}
	if s.now.Sub(committed) >= time.Hour {
		s.t.Error("never accepted")
	}
}

const (
	simZones   = 4
	simPerZone = 4
	// inForce is the time in which a release must be in force on each connected host.
	inForce = 5 * time.Second
)

func zoneName(i int) string { return fmt.Sprintf("z%02d", i) }

// isolate cuts the zone off from each zone of others and from the platform.
func (s *sim) isolate(zone string, oneWay bool) {
	for _, other := range append(allZones(), "platform") {
		s.cut[[2]string{zone, other}] = true
		if !oneWay {
			s.cut[[2]string{other, zone}] = true
		}
	}
}

func allZones() []string {
	var out []string
	for i := range simZones {
		out = append(out, zoneName(i))
	}
	return out
}

// oldest returns the greatest age of confirmation in the zones.
func (s *sim) oldest(zones ...string) time.Duration {
	var out time.Duration
	for _, h := range s.hosts {
		for _, z := range zones {
			if h.self.Zone == z && !h.down {
				out = max(out, h.age())
			}
		}
	}
	return out
}

func TestPartitions(t *testing.T) {
	rest := allZones()[1:]
	cases := map[string]struct {
		cut func(s *sim)
		// reached are the zones that get a release published during the fault.
		reached []string
		// stale are the zones whose confirmation stops.
		stale []string
	}{
		"zone from zone": {
			cut:     func(s *sim) { s.sever(zoneName(0), zoneName(1)) },
			reached: allZones(),
		},
		"zone from platform": {
			cut:     func(s *sim) { s.sever(zoneName(0), "platform") },
			reached: allZones(),
		},
		"all zones but one from platform": {
			cut: func(s *sim) {
				for _, z := range rest {
					s.sever(z, "platform")
				}
			},
			reached: allZones(),
		},
		"zone from all zones, not from platform": {
			cut: func(s *sim) {
				for _, z := range rest {
					s.sever(zoneName(0), z)
				}
			},
			reached: allZones(),
		},
		"zone from zones and platform": {
			cut:     func(s *sim) { s.isolate(zoneName(0), false) },
			reached: rest,
			stale:   allZones()[:1],
		},
		"one way out of a zone": {
			cut:     func(s *sim) { s.isolate(zoneName(0), true) },
			reached: rest,
			stale:   allZones()[:1],
		},
		"one way into a zone": {
			cut: func(s *sim) {
				for _, other := range append(rest, "platform") {
					s.cut[[2]string{other, zoneName(0)}] = true
				}
				// A call whose answer is lost fails as one that is.
				s.cut[[2]string{zoneName(0), "platform"}] = true
			},
			reached: rest,
			stale:   allZones()[:1],
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, simZones, simPerZone)
			s.publish()
			s.run(20 * time.Second)
			c.cut(s)
			s.run(10 * time.Second)
			n := s.publish()
			committed := s.now
			lag := s.lag(n, 30*time.Second, c.reached...)
			t.Logf("in force in %v after %v", c.reached, lag)
			if lag >= inForce {
				t.Error("too late")
			}
			s.run(20 * time.Second)
			if got := s.verdict(committed).Accepted; got != (len(c.stale) == 0) {
				t.Errorf("accepted: %t", got)
			}
			s.run(40 * time.Second)
			t.Logf("confirmation in %v is %v old", c.reached, s.oldest(c.reached...))
			if age := s.oldest(c.reached...); age > staleAfter {
				t.Errorf("confirmation in %v is %v old", c.reached, age)
			}
			for _, z := range c.stale {
				if age := s.oldest(z); age < time.Minute {
					t.Errorf("a confirmation reached %s over the cut %v ago", z, age)
				}
				if s.reached(n, []string{z}) {
					t.Errorf("a release reached %s over the cut", z)
				}
			}
			s.expires(n, committed)
			s.heal()
			healed := s.lag(n, time.Minute)
			t.Logf("in force everywhere %v after the cut", healed)
			if healed > maxDelay+readBackoff {
				t.Error("too late after the cut")
			}
			s.run(time.Minute)
			if got := len(s.acting()); got != simZones {
				t.Errorf("%d hosts relay after the cut: %v", got, s.acting())
			}
		})
	}
}

func TestFlappingLinks(t *testing.T) {
	convey.Convey("While a zone's links flap, no host goes back, and afterwards all have the newest release", t, func() {
		s := newSim(t, simZones, simPerZone)
		s.publish()
		s.run(20 * time.Second)
		for i := range 20 {
			s.isolate(zoneName(i%2), i%3 == 0)
			s.run(time.Duration(1+i%4) * time.Second)
			s.publish()
			s.heal()
			s.run(time.Duration(1+i%3) * time.Second)
		}
		n := s.publish()
		convey.So(s.lag(n, time.Minute), convey.ShouldBeLessThan, maxDelay+readBackoff)
		s.run(time.Minute)
		convey.So(len(s.acting()), convey.ShouldEqual, simZones)
		n = s.publish()
		convey.So(s.lag(n, time.Minute), convey.ShouldBeLessThan, inForce)
	})
}

func TestPlatformDownForAnHour(t *testing.T) {
	convey.Convey("While the platform is down for an hour", t, func() {
		s := newSim(t, simZones, simPerZone)
		s.publish()
		s.run(20 * time.Second)
		for _, z := range allZones() {
			s.sever(z, "platform")
		}
		before := s.head.Number
		s.tick = 5 * TickInterval
		s.run(30 * time.Minute)
		self := s.hosts["z00-h01"].self
		s.stop("z00-h01")
		self.Incarnation++
		restarted := s.start(self, s.hosts["z00-h02"].self.Address)
		s.run(30 * time.Minute)

		// No host got a confirmation, also not by way of another or a restart.
		for _, h := range s.hosts {
			convey.So(h.age(), convey.ShouldBeGreaterThanOrEqualTo, time.Hour)
		}
		// The restarted host got the release of its zone.
		convey.So(restarted.release(), convey.ShouldEqual, before)
		convey.So(restarted.core.Ready(), convey.ShouldBeTrue)
		m, _ := s.hosts["z00-h02"].core.table.Get("z00-h01")
		convey.So(m.State, convey.ShouldEqual, member.Alive)
		// Each zone has a relay, and all get a release soon after.
		convey.So(len(s.acting()), convey.ShouldEqual, simZones)
		s.heal()
		n := s.publish()
		convey.So(s.lag(n, time.Minute), convey.ShouldBeLessThan, inForce)
	})
}

func TestPlatformSlow(t *testing.T) {
	cases := map[string]struct {
		slow   time.Duration
		within time.Duration
		fresh  bool
	}{
		"a call takes two seconds":           {2 * time.Second, inForce, true},
		"a call takes longer than its bound": {simTimeout + time.Second, 0, false},
		"a call takes four of five seconds":  {4 * time.Second, 2 * inForce, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, simZones, simPerZone)
			s.publish()
			s.run(20 * time.Second)
			s.slow = c.slow
			s.run(30 * time.Second)
			n := s.publish()
			lag := s.lag(n, 20*time.Second)
			t.Logf("in force after %v, confirmation %v old", lag, s.oldest(allZones()...))
			if c.fresh && lag >= c.within {
				t.Errorf("in force everywhere after %v", lag)
			}
			if age := s.oldest(allZones()...); c.fresh != (age < 4*staleAfter) {
				t.Errorf("confirmation is %v old", age)
			}
		})
	}
}
