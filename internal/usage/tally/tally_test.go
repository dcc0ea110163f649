package tally_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/usage/tally"
)

const length = 5 * time.Second

var noon = time.Unix(1_800_000_000, 0)

func TestMerge(t *testing.T) {
	convey.Convey("Hosts that count the same windows", t, func() {
		a, b := tally.New(length, "a/1"), tally.New(length, "b/1")
		w := a.Window(noon)
		for range 3 {
			a.Begin("org", noon)
		}
		b.Begin("org", noon)
		b.Begin("org", noon.Add(length))
		convey.Convey("give one figure for each", func() {
			a.Merge("b/1", b.Own())
			convey.So(a.Total(w), convey.ShouldResemble, tally.Counts{"org": 4})
			convey.So(a.Total(w+1), convey.ShouldResemble, tally.Counts{"org": 1})
		})
		convey.Convey("lose nothing to words that come twice, late or from third hosts", func() {
			old := b.Own()
			b.Begin("org", noon)
			a.Merge("b/1", b.Own())
			a.Merge("b/1", old)
			a.Merge("a/1", map[tally.Window]tally.Counts{w: {"org": 99}})
			convey.So(a.Total(w), convey.ShouldResemble, tally.Counts{"org": 5})
		})
		convey.Convey("keep what a process counted that has started again", func() {
			a.Merge("b/1", b.Own())
			a.Merge("b/2", map[tally.Window]tally.Counts{w: {"org": 2}})
			convey.So(a.Total(w), convey.ShouldResemble, tally.Counts{"org": 6})
		})
		convey.Convey("forget windows that are long over", func() {
			a.Merge("b/1", b.Own())
			a.Forget(noon.Add(time.Hour))
			convey.So(len(a.All()), convey.ShouldEqual, 1)
			convey.So(a.Total(w), convey.ShouldBeEmpty)
		})
	})
}

func TestOwnIsACopy(t *testing.T) {
	a := tally.New(length, "a")
	a.Begin("org", noon)
	a.Own()[a.Window(noon)]["org"] = 7
	if got := a.Total(a.Window(noon))["org"]; got != 1 {
		t.Fatalf("count %d after a copy was changed, want 1", got)
	}
}

func ExampleTally() {
	t := tally.New(length, "host")
	t.Begin("org", noon)
	w := t.Window(noon)
	fmt.Println(w, t.Total(w), t.End(w).Sub(noon))
	// Output: 360000000 map[org:1] 5s
}
