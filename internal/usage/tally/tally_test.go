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
			a.Count("org", noon)
		}
		b.Count("org", noon)
		b.Count("org", noon.Add(length))
		convey.Convey("give one figure for each", func() {
			a.Merge("b/1", b.Own())
			convey.So(a.Total(w), convey.ShouldResemble, tally.Counts{"org": 4})
			convey.So(a.Total(w+1), convey.ShouldResemble, tally.Counts{"org": 1})
		})
		convey.Convey("lose nothing to words that come twice, late or from third hosts", func() {
			old := b.Own()
			b.Count("org", noon)
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
			a.Prune(noon.Add(time.Hour))
			convey.So(len(a.All()), convey.ShouldEqual, 1)
			convey.So(a.Total(w), convey.ShouldBeEmpty)
		})
	})
}

func TestSettled(t *testing.T) {
	w := tally.New(length, "a/1").Window(noon)
	begin := tally.New(length, "a/1").End(w - 1)
	end := begin.Add(length)
	none := func(string) bool { return false }
	tests := map[string]struct {
		told map[string]time.Time
		live []string
		over func(string) bool
		want bool
	}{
		"alone":                             {nil, nil, none, true},
		"all have told since the end":       {map[string]time.Time{"b/1": end, "c/1": end.Add(time.Second)}, []string{"b/1", "c/1"}, none, true},
		"one told before the end":           {map[string]time.Time{"b/1": end.Add(-time.Millisecond), "c/1": end}, []string{"b/1", "c/1"}, none, false},
		"one that lives has told nothing":   {nil, []string{"b/1"}, none, false},
		"one fell silent in the window":     {map[string]time.Time{"b/1": begin}, nil, none, false},
		"one fell silent before the window": {map[string]time.Time{"b/1": begin.Add(-time.Millisecond)}, nil, none, true},
		"one has a successor on its host":   {map[string]time.Time{"b/1": begin}, nil, func(p string) bool { return p == "b/1" }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := tally.New(length, "a/1")
			for host, upTo := range test.told {
				a.MarkReceived(host, upTo)
				a.MarkReceived(host, begin.Add(-time.Hour)) // Words may come out of order.
			}
			if got := a.AllReceived(w, test.live, test.over); got != test.want {
				t.Fatalf("settled %t, want %t", got, test.want)
			}
		})
	}
	t.Run("one has ended in order", func(t *testing.T) {
		a := tally.New(length, "a/1")
		a.MarkReceived("b/1", begin)
		a.MarkEnded("b/1")
		if !a.AllReceived(w, nil, none) {
			t.Fatal("not settled")
		}
	})
}

func TestOrphans(t *testing.T) {
	convey.Convey("The counts of processes that have ended are told for them", t, func() {
		a := tally.New(length, "a/1")
		w := a.Window(noon)
		a.Count("org", noon)
		a.Merge("b/1", map[tally.Window]tally.Counts{w: {"org": 2}})
		a.Merge("c/1", map[tally.Window]tally.Counts{w: {"org": 3}})
		got := a.EndedProcessCounts(func(host string) bool { return host == "c/1" })
		convey.So(got, convey.ShouldResemble, map[string]map[tally.Window]tally.Counts{"b/1": {w: {"org": 2}}})
		convey.Convey("as copies", func() {
			got["b/1"][w]["org"] = 99
			convey.So(a.Total(w), convey.ShouldResemble, tally.Counts{"org": 6})
		})
	})
}

func TestOwnIsACopy(t *testing.T) {
	a := tally.New(length, "a")
	a.Count("org", noon)
	a.Own()[a.Window(noon)]["org"] = 7
	if got := a.Total(a.Window(noon))["org"]; got != 1 {
		t.Fatalf("count %d after a copy was changed, want 1", got)
	}
}

func ExampleTally() {
	t := tally.New(length, "host")
	t.Count("org", noon)
	w := t.Window(noon)
	fmt.Println(w, t.Total(w), t.End(w).Sub(noon))
	// Output: 360000000 map[org:1] 5s
}
