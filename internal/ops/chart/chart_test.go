package chart_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/ops/chart"
)

type door uint8

const (
	shut door = iota
	open
	gone
)

func (d door) String() string { return name(int(d), "Shut", "Open", "Gone") }

type push uint8

const (
	pull push = iota
	slam
	remove
)

func (p push) String() string { return name(int(p), "Pull", "Slam", "Remove") }

func name(i int, names ...string) string {
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
	c := chart.MustLoad[door, push]([]byte(doorFile))
	convey.Convey("a machine follows its chart", t, func() {
		m := c.New()
		convey.So(m.Fire(pull), convey.ShouldBeNil)
		convey.So(m.Fire(pull), convey.ShouldBeNil)
		convey.So(m.State(), convey.ShouldEqual, open)
		convey.So(m.Can(remove), convey.ShouldBeTrue)
		convey.So(len(c.Transitions()), convey.ShouldEqual, 4)

		convey.Convey("and an event that it does not have is refused and changes nothing", func() {
			m := c.NewAt(shut)
			var refused *chart.RefusedError
			err := m.Fire(remove)
			convey.So(errors.As(err, &refused), convey.ShouldBeTrue)
			convey.So(err.Error(), convey.ShouldEndWith, "fire one of: Pull")
			convey.So(m.State(), convey.ShouldEqual, shut)
			convey.So(m.Can(remove), convey.ShouldBeFalse)
		})
		convey.Convey("and a final state takes no event", func() {
			m := c.NewAt(gone)
			convey.So(m.Fire(pull).Error(), convey.ShouldEndWith, "start a new machine")
			convey.So(c.Final(gone), convey.ShouldBeTrue)
		})
	})
}

func TestMachinesOfOneChartAreIndependent(t *testing.T) {
	c := chart.MustLoad[door, push]([]byte(doorFile))
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			m := c.New()
			for range 1000 {
				if m.Fire(pull) != nil || m.State() != open || m.Fire(slam) != nil || m.State() != shut {
					t.Error("a machine left its own path")
					return
				}
			}
		})
	}
	wg.Wait()
}

func TestLoadRefuses(t *testing.T) {
	tests := map[string]struct{ old, with, problem string }{
		"a state that the enum lacks":        {`"Name": "Gone"`, `"Name": "Lost"`, `state "Lost"`},
		"a state listed twice":               {`{"Name": "Open"}`, `{"Name": "Open"}, {"Name": "Open"}`, "twice"},
		"an event that the enum lacks":       {`"Event": "Slam"`, `"Event": "Kick"`, `event "Kick"`},
		"an unknown initial state":           {`"Initial": "Shut"`, `"Initial": "Ajar"`, `"Ajar" is not listed`},
		"a transition to an unlisted state":  {`"To": "Gone"`, `"To": "Ajar"`, "names a state"},
		"two transitions for one event":      {`"Event": "Slam"`, `"Event": "Pull"`, "two transitions"},
		"a transition out of a final state":  {`"From": "Open", "Event": "Slam"`, `"From": "Gone", "Event": "Slam"`, "leaves a final state"},
		"a state that cannot be reached":     {`"To": "Gone"`, `"To": "Shut"`, "cannot be reached"},
		"a field that no chart has":          {`"Initial"`, `"Start": "Shut", "Initial"`, "unknown field"},
		"a file that is not a JSON document": {`{"Name": "door"`, `{"Name" "door"`, "invalid character"},
	}
	for what, tt := range tests {
		t.Run(what, func(t *testing.T) {
			_, err := chart.Load[door, push]([]byte(strings.Replace(doorFile, tt.old, tt.with, 1)))
			var bad *chart.FileError
			if !errors.As(err, &bad) || !strings.Contains(err.Error(), tt.problem) {
				t.Fatalf("got %v, want a FileError with %q", err, tt.problem)
			}
		})
	}
}

func ExampleMachine_Fire() {
	m := chart.MustLoad[door, push]([]byte(doorFile)).New()
	fmt.Println(m.Fire(pull), m.State())
	fmt.Println(m.Fire(remove), m.State())
	fmt.Println(m.Fire(slam))
	// Output:
	// <nil> Open
	// <nil> Gone
	// chart "door" has no event Slam in state Gone; the state is final, start a new machine
}

func BenchmarkFire(b *testing.B) {
	m := chart.MustLoad[door, push]([]byte(doorFile)).New()
	b.ReportAllocs()
	for b.Loop() {
		_ = m.Fire(pull)
	}
}
