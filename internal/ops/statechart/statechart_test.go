package statechart_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/ops/statechart"
)

type doorState uint8

const (
	shut doorState = iota
	open
	gone
)

func (d doorState) String() string { return enumName(int(d), "Shut", "Open", "Gone") }

type doorEvent uint8

const (
	pull doorEvent = iota
	slam
	remove
)

func (p doorEvent) String() string { return enumName(int(p), "Pull", "Slam", "Remove") }

func enumName(i int, names ...string) string {
	if i < len(names) {
		return names[i]
	}
	return fmt.Sprintf("Enum(%d)", i)
}

const doorFile = `{"Name": "door", "Initial": "Shut",
	"States": [{"Name": "Shut"}, {"Name": "Open"}, {"Name": "Gone", "Final": true}],
	"Transitions": [
		{"From": "Shut", "Event": "Pull", "To": "Open"},
		{"From": "Open", "Event": "Pull", "To": "Open"},
		{"From": "Open", "Event": "Slam", "To": "Shut"},
		{"From": "Open", "Event": "Remove", "To": "Gone"}]}`

func TestMachineFollowsItsChart(t *testing.T) {
	c := statechart.MustLoad[doorState, doorEvent]([]byte(doorFile))
	convey.Convey("a machine makes the transitions of its chart", t, func() {
		m := c.New()
		convey.So(m.Fire(pull), convey.ShouldBeNil)
		convey.So(m.Fire(pull), convey.ShouldBeNil)
		convey.So(m.State(), convey.ShouldEqual, open)
		convey.So(m.Can(remove), convey.ShouldBeTrue)
		convey.So(len(c.Transitions()), convey.ShouldEqual, 4)

		convey.Convey("an event without a transition is refused and does not change the state", func() {
			m := c.NewAt(shut)
			var refused *statechart.RefusedError
			err := m.Fire(remove)
			convey.So(errors.As(err, &refused), convey.ShouldBeTrue)
			convey.So(err.Error(), convey.ShouldEndWith, "fire one of: Pull")
			convey.So(m.State(), convey.ShouldEqual, shut)
			convey.So(m.Can(remove), convey.ShouldBeFalse)
		})
		convey.Convey("a final state accepts no event", func() {
			m := c.NewAt(gone)
			convey.So(m.Fire(pull).Error(), convey.ShouldEndWith, "start a new machine")
			convey.So(c.Final(gone), convey.ShouldBeTrue)
		})
	})
}

func TestMachinesOfOneChartAreIndependent(t *testing.T) {
	c := statechart.MustLoad[doorState, doorEvent]([]byte(doorFile))
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			m := c.New()
			for range 1000 {
				if m.Fire(pull) != nil || m.State() != open || m.Fire(slam) != nil || m.State() != shut {
					t.Error("a machine has a state that its own events do not lead to")
					return
				}
			}
		})
	}
	wg.Wait()
}

func TestLoadRefuses(t *testing.T) {
	tests := map[string]struct{ old, with, problem string }{
		"a state that the enum lacks":       {`"Name": "Gone"`, `"Name": "Lost"`, `state "Lost"`},
		"a state listed twice":              {`{"Name": "Open"}`, `{"Name": "Open"}, {"Name": "Open"}`, "twice"},
		"an event that the enum lacks":      {`"Event": "Slam"`, `"Event": "Kick"`, `event "Kick"`},
		"an unknown initial state":          {`"Initial": "Shut"`, `"Initial": "Ajar"`, `"Ajar" is not listed`},
		"a transition to an unlisted state": {`"To": "Gone"`, `"To": "Ajar"`, "names a state"},
		"two transitions for one event":     {`"Event": "Slam"`, `"Event": "Pull"`, "two transitions"},
		"a transition out of a final state": {`"From": "Open", "Event": "Slam"`, `"From": "Gone", "Event": "Slam"`, "leaves a final state"},
		"a state that cannot be reached":    {`"To": "Gone"`, `"To": "Shut"`, "cannot be reached"},
		"an unknown field":                  {`"Initial"`, `"Start": "Shut", "Initial"`, "unknown field"},
		"a file that is not valid JSON":     {`{"Name": "door"`, `{"Name" "door"`, "invalid character"},
	}
	for what, tt := range tests {
		t.Run(what, func(t *testing.T) {
			_, err := statechart.Load[doorState, doorEvent]([]byte(strings.Replace(doorFile, tt.old, tt.with, 1)))
			var bad *statechart.FileError
			if !errors.As(err, &bad) || !strings.Contains(err.Error(), tt.problem) {
				t.Fatalf("got %v, want a FileError with %q", err, tt.problem)
			}
		})
	}
}

func ExampleMachine_Fire() {
	m := statechart.MustLoad[doorState, doorEvent]([]byte(doorFile)).New()
	fmt.Println(m.Fire(pull), m.State())
	fmt.Println(m.Fire(remove), m.State())
	fmt.Println(m.Fire(slam))
	// Output:
	// <nil> Open
	// <nil> Gone
	// chart "door" has no event Slam in state Gone; the state is final, start a new machine
}

func BenchmarkFire(b *testing.B) {
	m := statechart.MustLoad[doorState, doorEvent]([]byte(doorFile)).New()
	b.ReportAllocs()
	for b.Loop() {
		_ = m.Fire(pull)
	}
}
