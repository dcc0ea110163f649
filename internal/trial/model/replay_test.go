package model_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/trial/model"
)

// play replays a pattern and returns what callers got with our policy and with the baseline.
func play(t *testing.T, name string) (ours, base *model.Result) {
	t.Helper()
	p, err := model.BuiltinPattern(name)
	if err != nil {
		t.Fatal(err)
	}
	return model.Simulate(p, 1, model.Placement), model.Simulate(p, 1, model.LeastLoad)
}

func TestCalm(t *testing.T) {
	convey.Convey("On a calm day nearly all are on time", t, func() {
		ours, base := play(t, "calm")
		for _, r := range ours.Classes {
			convey.So(r.Attainment(), convey.ShouldBeGreaterThan, 0.97)
			convey.So(r.Refused, convey.ShouldEqual, 0)
		}
		convey.Convey("and shared parts of prompts are read again half as often", func() {
			convey.So(ours.RepeatedPrefillTokens*2, convey.ShouldBeLessThan, base.RepeatedPrefillTokens+base.RepeatedPrefillTokens/10)
		})
	})
}

func TestLongPromptsBurst(t *testing.T) {
	convey.Convey("A burst of long prompts does not delay conversations", t, func() {
		ours, base := play(t, "long-prompts-burst")
		convey.So(ours.Classes["chat"].Attainment(), convey.ShouldBeGreaterThan, 0.98)
		convey.So(ours.Classes["brief"].Attainment(), convey.ShouldBeGreaterThanOrEqualTo, base.Classes["brief"].Attainment())
	})
}

func TestSlowEngines(t *testing.T) {
	convey.Convey("Where one long prompt pauses the streams beside it, they are kept apart", t, func() {
		ours, base := play(t, "slow-engines")
		convey.So(ours.Classes["chat"].Attainment(), convey.ShouldBeGreaterThan, 0.97)
		convey.So(base.Classes["chat"].LateGap, convey.ShouldBeGreaterThan, 10*ours.Classes["chat"].LateGap)
	})
}

func TestLargeBurst(t *testing.T) {
	convey.Convey("Many hosts that learn late of each other's work spread a burst over small engines", t, func() {
		ours, base := play(t, "large-burst")
		convey.So(ours.Classes["brief"].Attainment(), convey.ShouldBeGreaterThan, 2*base.Classes["brief"].Attainment())
		convey.So(ours.Classes["chat"].Attainment(), convey.ShouldBeGreaterThan, 0.95)
	})
}

func TestOverload(t *testing.T) {
	convey.Convey("With twice what the engines bear", t, func() {
		ours, base := play(t, "overload")
		convey.Convey("the more urgent kind is served before the other", func() {
			convey.So(ours.Classes["chat"].ServedShare(), convey.ShouldBeGreaterThan, 0.95)
		})
		convey.Convey("more of the other are on time and more are served than in order of arrival", func() {
			convey.So(ours.Classes["brief"].OnTime, convey.ShouldBeGreaterThan, 5*base.Classes["brief"].OnTime)
			convey.So(ours.Classes["brief"].ServedShare(), convey.ShouldBeGreaterThan, 1.5*base.Classes["brief"].ServedShare())
		})
		convey.Convey("and hardly any caller leaves unanswered: who cannot be served is told at once", func() {
			convey.So(ours.Classes["brief"].Abandoned*10, convey.ShouldBeLessThan, ours.Classes["brief"].Offered)
		})
	})
}

func TestZoneReclaimed(t *testing.T) {
	convey.Convey("Streams of engines that are reclaimed go on elsewhere", t, func() {
		ours, base := play(t, "zone-reclaimed")
		convey.So(ours.Classes["chat"].ServedShare(), convey.ShouldBeGreaterThan, 0.99)
		convey.So(base.Classes["chat"].Refused, convey.ShouldBeGreaterThan, ours.Classes["chat"].Refused)
	})
}

func TestPlaysRepeat(t *testing.T) {
	p, err := model.BuiltinPattern("zone-reclaimed")
	if err != nil {
		t.Fatal(err)
	}
	a, b := model.Simulate(p, 5, model.Placement), model.Simulate(p, 5, model.Placement)
	for name, r := range a.Classes {
		if o := b.Classes[name]; r.OnTime != o.OnTime || r.Refused != o.Refused || r.FirstEventQuantile(0.99) != o.FirstEventQuantile(0.99) {
			t.Fatalf("class %s: %+v, then %+v with the same seed", name, r, o)
		}
	}
}

func TestReadPatterns(t *testing.T) {
	bad := map[string]string{
		"a field that is not known":     "- {Name: x, Speed: 3}",
		"a pattern without hosts":       "- {Name: x, Zones: 1, Engines: 1, Length: 1s}",
		"a pattern without classes":     "- {Name: x, Hosts: 1, Zones: 1, Engines: 1, Length: 1s}",
		"engines that make no step":     "- {Name: x, Hosts: 1, Zones: 1, Engines: 1, Length: 1s, Classes: [{Name: c}]}",
		"fewer engines than zones":      "- {Name: x, Hosts: 1, Zones: 3, Engines: 1, Length: 1s, Classes: [{Name: c}]}",
		"a time that cannot be read":    "- {Name: x, Length: soon}",
		"what is no list":               "Name: x",
		"what is no YAML in any manner": "\t{",
	}
	for name, raw := range bad {
		t.Run(name, func(t *testing.T) {
			var e *model.PatternError
			if _, err := model.ReadPatterns([]byte(raw)); !errors.As(err, &e) {
				t.Fatalf("error %v, want a PatternError", err)
			}
		})
	}
}

func ExampleSimulate() {
	p, err := model.BuiltinPattern("calm")
	if err != nil {
		fmt.Println(err)
		return
	}
	r := model.Simulate(p, 1, model.Placement)
	fmt.Println(r.Classes["chat"].Attainment() > 0.97)
	// Output: true
}
