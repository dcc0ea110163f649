package usagestore_test

import (
	"context"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/provider/fake"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/usage/tally"
	"shallotramp/internal/usage/usagestore"
)

type counts = map[tally.Window]tally.Counts

func load(cr *usagestore.CachedRecord) map[string]counts {
	open, err := cr.Load(context.Background())
	convey.So(err, convey.ShouldBeNil)
	return open
}

func TestTwoHolders(t *testing.T) {
	ctx := context.Background()
	convey.Convey("Two hosts that both consider themselves the holder of the lease", t, func() {
		st := fake.NewStore()
		first, second := usagestore.New(st), usagestore.New(st)
		load(first)
		load(second)
		convey.So(first.Save(ctx, counts{7: {"org": 10}}, nil), convey.ShouldBeNil)
		convey.Convey("never freeze different counts for a window", func() {
			err := second.Save(ctx, counts{7: {"org": 12}}, nil)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(second.Loaded(), convey.ShouldBeFalse)
			load(second)
			c, ok := second.Frozen(7)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(c, convey.ShouldResemble, tally.Counts{"org": 10})
			convey.So(second.Save(ctx, counts{7: {"org": 12}, 8: {"org": 1}}, nil), convey.ShouldBeNil)
			c, _ = second.Frozen(7)
			convey.So(c, convey.ShouldResemble, tally.Counts{"org": 10})
		})
		convey.Convey("continue with the open counts of each other", func() {
			convey.So(first.Save(ctx, nil, map[string]counts{"a/1": {7: {"org": 10}, 8: {"org": 3}}}), convey.ShouldBeNil)
			open := load(second)
			convey.So(open["a/1"][8], convey.ShouldResemble, tally.Counts{"org": 3})
			convey.So(open["a/1"], convey.ShouldNotContainKey, tally.Window(7))
		})
		convey.Convey("know which windows are reported", func() {
			first.SetReported(7)
			convey.So(first.Save(ctx, nil, nil), convey.ShouldBeNil)
			load(second)
			convey.So(second.Reported(), convey.ShouldEqual, tally.Window(7))
		})
	})
}

func TestLostAnswer(t *testing.T) {
	ctx := context.Background()
	convey.Convey("A write whose response is lost", t, func() {
		st := fake.NewStore()
		cr := usagestore.New(st)
		load(cr)
		convey.So(cr.Save(ctx, counts{1: {"org": 1}}, nil), convey.ShouldBeNil)
		st.SetFaults(fake.Faults{LoseAnswers: 1})
		err := cr.Save(ctx, counts{2: {"org": 2}}, nil)
		st.SetFaults(fake.Faults{})
		convey.So(store.Failed(err, store.Unavailable), convey.ShouldBeTrue)
		convey.Convey("takes effect, and its counts do not change", func() {
			convey.So(cr.Loaded(), convey.ShouldBeFalse)
			load(cr)
			convey.So(cr.Save(ctx, counts{2: {"org": 5}}, nil), convey.ShouldBeNil)
			c, _ := cr.Frozen(2)
			convey.So(c, convey.ShouldResemble, tally.Counts{"org": 2})
		})
	})
}

// TestReportedWindowAfterRestore guards against a window that is reported with two different counts because the store was
// restored from a copy in which it is not frozen yet.
func TestReportedWindowAfterRestore(t *testing.T) {
	ctx := context.Background()
	convey.Convey("A holder has frozen and reported a window, and the store is restored from an older copy", t, func() {
		st := fake.NewStore()
		first := usagestore.New(st)
		load(first)
		convey.So(first.Save(ctx, counts{6: {"org": 4}}, nil), convey.ShouldBeNil)
		first.SetReported(6)
		copied := st.Copy()
		convey.So(first.Save(ctx, counts{7: {"org": 10}}, nil), convey.ShouldBeNil)
		first.SetReported(7)
		st.Restore(copied)
		convey.Convey("the holder itself still knows the counts, and writes them again", func() {
			first.MarkStale(false)
			load(first)
			convey.So(first.Incomplete(), convey.ShouldBeFalse)
			convey.So(first.Reported(), convey.ShouldEqual, tally.Window(7))
			convey.So(first.Save(ctx, counts{7: {"org": 12}}, nil), convey.ShouldBeNil)
			c, _ := first.Frozen(7)
			convey.So(c, convey.ShouldResemble, tally.Counts{"org": 10})
			convey.Convey("so that a later holder knows them too", func() {
				second := usagestore.New(st)
				load(second)
				convey.So(second.Incomplete(), convey.ShouldBeFalse)
				convey.So(second.Reported(), convey.ShouldEqual, tally.Window(7))
			})
		})
		convey.Convey("another holder learns that windows may be reported already", func() {
			second := usagestore.New(st)
			load(second)
			convey.So(second.Incomplete(), convey.ShouldBeTrue)
			second.SetReported(8)
			convey.So(second.Save(ctx, nil, nil), convey.ShouldBeNil)
			convey.So(second.Incomplete(), convey.ShouldBeFalse)
			convey.Convey("and the first one, when it holds the lease again, what the other has done", func() {
				first.MarkStale(true)
				load(first)
				convey.So(first.Incomplete(), convey.ShouldBeFalse)
				convey.So(first.Reported(), convey.ShouldEqual, tally.Window(8))
			})
		})
	})
}

// TestLoadedWindowAfterRestore guards against a window that is reported with two different counts because the holder froze it
// by a write without a response, or found it frozen, and the store was restored from a copy in which it is not frozen.
func TestLoadedWindowAfterRestore(t *testing.T) {
	ctx := context.Background()
	convey.Convey("A holder has found a window frozen in the record, and the store is restored from an older copy", t, func() {
		st := fake.NewStore()
		cr := usagestore.New(st)
		load(cr)
		convey.So(cr.Save(ctx, counts{1: {"org": 1}}, nil), convey.ShouldBeNil)
		copied := st.Copy()
		st.SetFaults(fake.Faults{LoseAnswers: 1})
		convey.So(cr.Save(ctx, counts{2: {"org": 2}}, nil), convey.ShouldNotBeNil)
		st.SetFaults(fake.Faults{})
		load(cr)
		c, ok := cr.Frozen(2)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(c, convey.ShouldResemble, tally.Counts{"org": 2})
		// The window is reported with these counts here, and the report gets no response.
		st.Restore(copied)
		cr.MarkStale(false)
		load(cr)
		convey.Convey("its counts stay the same", func() {
			convey.So(cr.Incomplete(), convey.ShouldBeFalse)
			convey.So(cr.Save(ctx, counts{2: {"org": 5}}, nil), convey.ShouldBeNil)
			c, _ := cr.Frozen(2)
			convey.So(c, convey.ShouldResemble, tally.Counts{"org": 2})
		})
	})
}
