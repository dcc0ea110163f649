package fleetclock_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/fleet/fleetclock"
)

var wall = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func TestEstimate(t *testing.T) {
	convey.Convey("A host whose wall clock was right at its start", t, func() {
		var sinceBoot time.Duration
		c := fleetclock.New(wall, func() time.Duration { return sinceBoot })
		convey.Convey("advances by a clock that does not jump", func() {
			sinceBoot = time.Minute
			convey.So(c.Now(), convey.ShouldEqual, wall.Add(time.Minute))
		})
		convey.Convey("does not follow one host that is wrong", func() {
			c.AddEstimate("a", wall.Add(2*time.Second))
			c.AddEstimate("b", wall)
			c.AddEstimate("c", wall.Add(time.Millisecond))
			convey.So(c.Now(), convey.ShouldEqual, wall)
		})
		convey.Convey("does not follow a single other host at all", func() {
			c.AddEstimate("a", wall.Add(2*time.Second))
			convey.So(c.Now(), convey.ShouldEqual, wall)
		})
	})
	convey.Convey("A host that started while its wall clock was wrong", t, func() {
		var sinceBoot time.Duration
		c := fleetclock.New(wall.Add(3*time.Second), func() time.Duration { return sinceBoot })
		convey.Convey("follows the median of the others", func() {
			c.AddEstimate("a", wall)
			c.AddEstimate("b", wall.Add(time.Millisecond))
			convey.So(c.Now().Sub(wall), convey.ShouldBeLessThanOrEqualTo, time.Millisecond)
			convey.Convey("and stays there", func() {
				sinceBoot = time.Second
				c.AddEstimate("a", wall.Add(time.Second))
				convey.So(c.Now().Sub(wall), convey.ShouldBeLessThanOrEqualTo, time.Second+time.Millisecond)
			})
		})
		convey.Convey("does not use old estimates", func() {
			c.AddEstimate("a", wall)
			sinceBoot = time.Minute
			c.AddEstimate("b", wall.Add(time.Minute))
			convey.So(c.Now(), convey.ShouldEqual, wall.Add(time.Minute+3*time.Second))
		})
	})
}

func TestSinceBootAdvances(t *testing.T) {
	a := fleetclock.SinceBoot()
	if b := fleetclock.SinceBoot(); b < a || a <= 0 {
		t.Fatalf("%v, then %v", a, b)
	}
}
