package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/fleet/acceptance"
	"shallotramp/internal/fleet/membership"
)

// verdict returns whether the newest release is accepted, according to the platform's data and a grace of one minute.
func (s *sim) verdict(committed time.Time) acceptance.Verdict {
	in := acceptance.Input{Release: s.head.Number, Committed: committed, Grace: time.Minute, Hosts: map[string][]string{}}
	for _, h := range s.hostList() {
		in.Hosts[h.Zone] = append(in.Hosts[h.Zone], h.Name)
	}
	for _, z := range s.statuses {
		in.Statuses = append(in.Statuses, z)
	}
	return acceptance.Evaluate(s.now, in)
}

// checkAcceptance checks that a release that cannot reach some hosts is accepted, but only once their confirmations are
// older than the grace of one minute, so that they no longer serve requests with API keys.
func (s *sim) checkAcceptance(n uint64, committed time.Time) {
	for !s.verdict(committed).Accepted && s.now.Sub(committed) < time.Hour {
		s.run(100 * time.Millisecond)
	}
	for name, h := range s.hosts {
		if h.release() < n && h.confirmationAge() <= time.Minute {
			s.t.Errorf("accepted while %s, confirmed %v ago, still serves release %d", name, h.confirmationAge(), h.release())
		}
	}
	if s.now.Sub(committed) >= time.Hour {
		s.t.Error("the release was not accepted within an hour")
	}
}

const (
	simZones        = 4
	simHostsPerZone = 4
	// maxSpreadTime is the time within which a release must be in force on each connected host.
	maxSpreadTime = 5 * time.Second
)

func zoneName(i int) string { return fmt.Sprintf("z%02d", i) }

// isolate blocks messages from the zone to all other zones and the platform and, unless oneWay is set, also those to
// the zone.
func (s *sim) isolate(zone string, oneWay bool) {
	for _, other := range append(allZones(), "platform") {
		s.blockedPairs[[2]string{zone, other}] = true
		if !oneWay {
			s.blockedPairs[[2]string{other, zone}] = true
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

// maxConfirmationAge returns the highest age of the confirmations of the zones' live hosts.
func (s *sim) maxConfirmationAge(zones ...string) time.Duration {
	var out time.Duration
	for _, h := range s.hosts {
		for _, z := range zones {
			if h.self.Zone == z && !h.down {
				out = max(out, h.confirmationAge())
			}
		}
	}
	return out
}

func TestPartitions(t *testing.T) {
	otherZones := allZones()[1:]
	cases := map[string]struct {
		inject func(s *sim)
		// reached are the zones that receive a release that is published during the fault.
		reached []string
		// stale are the zones that receive no confirmations during the fault.
		stale []string
	}{
		"one zone and another zone are disconnected": {
			inject:  func(s *sim) { s.disconnect(zoneName(0), zoneName(1)) },
			reached: allZones(),
		},
		"one zone and the platform are disconnected": {
			inject:  func(s *sim) { s.disconnect(zoneName(0), "platform") },
			reached: allZones(),
		},
		"all zones but one are disconnected from the platform": {
			inject: func(s *sim) {
				for _, z := range otherZones {
					s.disconnect(z, "platform")
				}
			},
			reached: allZones(),
		},
		"one zone is disconnected from all zones but not from the platform": {
			inject: func(s *sim) {
				for _, z := range otherZones {
					s.disconnect(zoneName(0), z)
				}
			},
			reached: allZones(),
		},
		"one zone is disconnected from all zones and the platform": {
			inject:  func(s *sim) { s.isolate(zoneName(0), false) },
			reached: otherZones,
			stale:   allZones()[:1],
		},
		"only messages from one zone are blocked": {
			inject:  func(s *sim) { s.isolate(zoneName(0), true) },
			reached: otherZones,
			stale:   allZones()[:1],
		},
		"only messages to one zone are blocked": {
			inject: func(s *sim) {
				for _, other := range append(otherZones, "platform") {
					s.blockedPairs[[2]string{other, zoneName(0)}] = true
				}
				// A call to the platform whose response is lost fails like a call that is lost.
				s.blockedPairs[[2]string{zoneName(0), "platform"}] = true
			},
			reached: otherZones,
			stale:   allZones()[:1],
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, simZones, simHostsPerZone)
			s.publish()
			s.run(20 * time.Second)
			c.inject(s)
			s.run(10 * time.Second)
			n := s.publish()
			committed := s.now
			lag := s.runUntilReached(n, 30*time.Second, c.reached...)
			t.Logf("in force in %v after %v", c.reached, lag)
			if lag >= maxSpreadTime {
				t.Error("the release reached the connected zones too late")
			}
			s.run(20 * time.Second)
			if got := s.verdict(committed).Accepted; got != (len(c.stale) == 0) {
				t.Errorf("the release is accepted: %t", got)
			}
			s.run(40 * time.Second)
			t.Logf("confirmation in %v is %v old", c.reached, s.maxConfirmationAge(c.reached...))
			if age := s.maxConfirmationAge(c.reached...); age > staleAfter {
				t.Errorf("confirmation in %v is %v old", c.reached, age)
			}
			for _, z := range c.stale {
				if age := s.maxConfirmationAge(z); age < time.Minute {
					t.Errorf("a confirmation reached the isolated zone %s %v ago", z, age)
				}
				if s.reached(n, []string{z}) {
					t.Errorf("the release reached the isolated zone %s", z)
				}
			}
			s.checkAcceptance(n, committed)
			s.heal()
			recovery := s.runUntilReached(n, time.Minute)
			t.Logf("in force on all hosts %v after the fault", recovery)
			if recovery > maxDialDelay+maxReadBackoff {
				t.Error("the release was in force on all hosts too late after the fault")
			}
			s.run(time.Minute)
			if got := len(s.acting()); got != simZones {
				t.Errorf("%d hosts act as relays after the fault: %v", got, s.acting())
			}
		})
	}
}

func TestFlappingLinks(t *testing.T) {
	convey.Convey("While a zone's links flap, no host returns to an earlier release, and afterwards all hosts have the newest one", t, func() {
		s := newSim(t, simZones, simHostsPerZone)
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
		convey.So(s.runUntilReached(n, time.Minute), convey.ShouldBeLessThan, maxDialDelay+maxReadBackoff)
		s.run(time.Minute)
		convey.So(len(s.acting()), convey.ShouldEqual, simZones)
		n = s.publish()
		convey.So(s.runUntilReached(n, time.Minute), convey.ShouldBeLessThan, maxSpreadTime)
	})
}

func TestPlatformDownForAnHour(t *testing.T) {
	convey.Convey("While the platform is down for an hour", t, func() {
		s := newSim(t, simZones, simHostsPerZone)
		s.publish()
		s.run(20 * time.Second)
		for _, z := range allZones() {
			s.disconnect(z, "platform")
		}
		before := s.head.Number
		s.tickInterval = 5 * TickInterval
		s.run(30 * time.Minute)
		self := s.hosts["z00-h01"].self
		s.crash("z00-h01")
		self.Incarnation++
		restarted := s.start(self, s.hosts["z00-h02"].self.Address)
		s.run(30 * time.Minute)

		// No host received a confirmation, neither from another host nor after a restart.
		for _, h := range s.hosts {
			convey.So(h.confirmationAge(), convey.ShouldBeGreaterThanOrEqualTo, time.Hour)
		}
		// The restarted host received the release from its zone.
		convey.So(restarted.release(), convey.ShouldEqual, before)
		convey.So(restarted.core.Ready(), convey.ShouldBeTrue)
		m, _ := s.hosts["z00-h02"].core.table.Get("z00-h01")
		convey.So(m.State, convey.ShouldEqual, membership.Alive)
		// Each zone has a relay, and after the outage a new release soon reaches all hosts.
		convey.So(len(s.acting()), convey.ShouldEqual, simZones)
		s.heal()
		n := s.publish()
		convey.So(s.runUntilReached(n, time.Minute), convey.ShouldBeLessThan, maxSpreadTime)
	})
}

func TestPlatformSlow(t *testing.T) {
	cases := map[string]struct {
		delay    time.Duration
		maxLag   time.Duration
		confirms bool
	}{
		"a call takes two seconds":                      {2 * time.Second, maxSpreadTime, true},
		"a call takes longer than its timeout":          {simCallTimeout + time.Second, 0, false},
		"a call takes four of the allowed five seconds": {4 * time.Second, 2 * maxSpreadTime, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, simZones, simHostsPerZone)
			s.publish()
			s.run(20 * time.Second)
			s.platformDelay = c.delay
			s.run(30 * time.Second)
			n := s.publish()
			lag := s.runUntilReached(n, 20*time.Second)
			t.Logf("in force after %v, confirmation %v old", lag, s.maxConfirmationAge(allZones()...))
			if c.confirms && lag >= c.maxLag {
				t.Errorf("in force on all hosts after %v", lag)
			}
			if age := s.maxConfirmationAge(allZones()...); c.confirms != (age < 4*staleAfter) {
				t.Errorf("confirmation is %v old", age)
			}
		})
	}
}
