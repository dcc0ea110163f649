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
		convey.Convey("have one sum for each window", func() {
			a.Merge("b/1", b.Own())
			convey.So(a.Total(w), convey.ShouldResemble, tally.Counts{"org": 4})
			convey.So(a.Total(w+1), convey.ShouldResemble, tally.Counts{"org": 1})
		})
		convey.Convey("have correct sums after repeated, late and forwarded messages", func() {
			old := b.Own()
			b.Count("org", noon)
			a.Merge("b/1", b.Own())
			a.Merge("b/1", old)
			a.Merge("a/1", map[tally.Window]tally.Counts{w: {"org": 99}})
			convey.So(a.Total(w), convey.ShouldResemble, tally.Counts{"org": 5})
		})
		convey.Convey("keep the counts of the previous process of a restarted host", func() {
			a.Merge("b/1", b.Own())
			a.Merge("b/2", map[tally.Window]tally.Counts{w: {"org": 2}})
			convey.So(a.Total(w), convey.ShouldResemble, tally.Counts{"org": 6})
		})
		convey.Convey("delete old windows", func() {
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
		receivedUntil map[string]time.Time
		live          []string
		replaced      func(string) bool
		want          bool
	}{
		"no other process":                      {nil, nil, none, true},
		"all received up to the end":            {map[string]time.Time{"b/1": end, "c/1": end.Add(time.Second)}, []string{"b/1", "c/1"}, none, true},
		"one received only before the end":      {map[string]time.Time{"b/1": end.Add(-time.Millisecond), "c/1": end}, []string{"b/1", "c/1"}, none, false},
		"nothing received from a live process":  {nil, []string{"b/1"}, none, false},
		"one stopped sending in the window":     {map[string]time.Time{"b/1": begin}, nil, none, false},
		"one stopped sending before the window": {map[string]time.Time{"b/1": begin.Add(-time.Millisecond)}, nil, none, true},
		"one was replaced on its host":          {map[string]time.Time{"b/1": begin}, nil, func(p string) bool { return p == "b/1" }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := tally.New(length, "a/1")
			for process, upTo := range test.receivedUntil {
				a.MarkReceived(process, upTo)
				a.MarkReceived(process, begin.Add(-time.Hour)) // Messages may arrive out of order.
			}
			if got := a.AllReceived(w, test.live, test.replaced); got != test.want {
				t.Fatalf("all received: %t, want %t", got, test.want)
			}
		})
	}
	t.Run("one ended as planned", func(t *testing.T) {
		a := tally.New(length, "a/1")
		a.MarkReceived("b/1", begin)
		a.MarkEnded("b/1")
		if !a.AllReceived(w, nil, none) {
			t.Fatal("not all received")
		}
	})
}

func TestOrphans(t *testing.T) {
	convey.Convey("The counts of ended processes are forwarded", t, func() {
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
		t.Fatalf("got count %d after a change of the copy, want 1", got)
	}
}

func ExampleTally() {
	t := tally.New(length, "host")
	t.Count("org", noon)
	w := t.Window(noon)
	fmt.Println(w, t.Total(w), t.End(w).Sub(noon))
	// Output: 360000000 map[org:1] 5s
}
