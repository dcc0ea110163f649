package release

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/catalog/object"
)

func TestHolderNeverGoesBack(t *testing.T) {
	convey.Convey("A holder accepts only newer releases and later confirmations", t, func() {
		now := time.Now()
		var h Holder
		convey.So(h.Confirmed().IsZero(), convey.ShouldBeTrue)
		h.Confirm(1, now)
		convey.So(h.Confirmed().IsZero(), convey.ShouldBeTrue)
		convey.So(h.Adopt(NewSnapshot(2, "", object.NewSet())), convey.ShouldBeTrue)
		convey.So(h.Adopt(NewSnapshot(1, "", object.NewSet())), convey.ShouldBeFalse)
		convey.So(h.Adopt(NewSnapshot(2, "", object.NewSet())), convey.ShouldBeFalse)
		h.Confirm(2, now)
		h.Confirm(2, now.Add(-time.Second))
		h.Confirm(3, now.Add(time.Second))
		h.Confirm(2, time.Time{})
		convey.So(h.Confirmed(), convey.ShouldEqual, now)
		// The monotonic clock reading is kept, so that setting the wall clock back does not lengthen a grace period.
		convey.So(h.Confirmed().String(), convey.ShouldContainSubstring, "m=")
	})
}
