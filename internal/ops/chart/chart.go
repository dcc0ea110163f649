// Package chart interprets state charts that are kept as JSON files. A chart
// names its states, its events and the transitions between them; the code that
// acts on a state holds none of that itself. The names in the file are those of
// the enums that a [Chart] is loaded for.
package chart

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"
)

// Enum is a type of states or events: an integer with generated names.
type Enum interface {
	~uint8
	fmt.Stringer
}

// StateData is one state in a chart's file. A final state is never left.
type StateData struct {
	Name  string
	Final bool `json:",omitempty"`
}

// TransitionData is one transition in a chart's file.
type TransitionData struct {
	From, Event, To string
}

// Data is the content of a chart's file.
type Data struct {
	Name        string
	Initial     string
	States      []StateData
	Transitions []TransitionData
}

// Transition leads from one state to another, or back to the same one, on an event.
type Transition[S, E Enum] struct {
	From  S
	Event E
	To    S
}

// Chart is a checked state chart. It is safe for concurrent use.
type Chart[S, E Enum] struct {
	name        string
	initial     S
	final       map[S]bool
	transitions []Transition[S, E]
	interpreter *stateless.StateMachine
}

// Load reads and checks a chart. It returns a [FileError] for a file that is not
// a chart of the two enums, has two transitions for one state and event, leaves
// a final state or has a state that cannot be reached.
func Load[S, E Enum](file []byte) (*Chart[S, E], error) {
	var d Data
	dec := json.NewDecoder(bytes.NewReader(file))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, &FileError{Chart: d.Name, Problem: err.Error()}
	}
	c := &Chart[S, E]{name: d.Name, final: map[S]bool{}}
	if err := c.read(d); err != nil {
		return nil, &FileError{Chart: d.Name, Problem: err.Error()}
	}
	c.interpreter = c.configure()
	return c, nil
}

// MustLoad is [Load] for embedded files. It panics on an error.
func MustLoad[S, E Enum](file []byte) *Chart[S, E] {
	c, err := Load[S, E](file)
	if err != nil {
		panic(err)
	}
	return c
}

// Name returns the chart's name.
func (c *Chart[S, E]) Name() string { return c.name }

// Transitions returns all transitions in the order of the file.
func (c *Chart[S, E]) Transitions() []Transition[S, E] {
	return append([]Transition[S, E](nil), c.transitions...)
}

// Final reports whether the state is never left.
func (c *Chart[S, E]) Final(s S) bool { return c.final[s] }

// New returns a machine in the chart's initial state.
func (c *Chart[S, E]) New() *Machine[S, E] { return c.NewAt(c.initial) }

// NewAt returns a machine in state s, such as one that was stored.
func (c *Chart[S, E]) NewAt(s S) *Machine[S, E] { return &Machine[S, E]{chart: c, state: s} }

// Machine is one instance of a chart. It is small and not safe for concurrent use.
type Machine[S, E Enum] struct {
	chart *Chart[S, E]
	state S
}

// State returns the current state.
func (m *Machine[S, E]) State() S { return m.state }

// Can reports whether the chart has a transition for e from the current state.
func (m *Machine[S, E]) Can(e E) bool {
	ok, err := m.chart.interpreter.CanFireCtx(m.context(), e)
	return ok && err == nil
}

// Fire takes the transition for e. It returns a [RefusedError], and stays in
// its state, when the chart has none.
func (m *Machine[S, E]) Fire(e E) error {
	err := m.chart.interpreter.FireCtx(m.context(), e)
	if errors.Is(err, errNoTransition) {
		return &RefusedError{Chart: m.chart.name, State: m.state.String(), Event: e.String(), Allowed: m.chart.allowed(m.state)}
	}
	return err
}

// machineKey is the context key under which the shared interpreter finds the machine that fires.
type machineKey struct{}

func (m *Machine[S, E]) context() context.Context {
	return context.WithValue(context.Background(), machineKey{}, m)
}

var errNoTransition = errors.New("no transition")

// configure builds the interpreter. One serves all machines of the chart, because building
// one for each would cost more than the transitions themselves.
func (c *Chart[S, E]) configure() *stateless.StateMachine {
	sm := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			return ctx.Value(machineKey{}).(*Machine[S, E]).state, nil
		},
		func(ctx context.Context, s stateless.State) error {
			ctx.Value(machineKey{}).(*Machine[S, E]).state = s.(S)
			return nil
		},
		stateless.FiringImmediate)
	for _, t := range c.transitions {
		if t.From == t.To {
			sm.Configure(t.From).PermitReentry(t.Event)
			continue
		}
		sm.Configure(t.From).Permit(t.Event, t.To)
	}
	sm.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error {
		return errNoTransition
	})
	return sm
}

func (c *Chart[S, E]) allowed(s S) []string {
	var out []string
	for _, t := range c.transitions {
		if t.From == s {
			out = append(out, t.Event.String())
		}
	}
	return out
}

// RefusedError is an event that the chart does not allow in the state. Nothing was changed.
type RefusedError struct {
	Chart, State, Event string
	// Allowed names the events that the state takes.
	Allowed []string
}

func (e *RefusedError) Error() string {
	s := fmt.Sprintf("chart %q has no event %s in state %s; ", e.Chart, e.Event, e.State)
	if len(e.Allowed) == 0 {
		return s + "the state is final, start a new machine"
	}
	return s + "read the state again and fire one of: " + strings.Join(e.Allowed, ", ")
}

// FileError is a file that holds no valid chart.
type FileError struct {
	Chart, Problem string
}

func (e *FileError) Error() string {
	return fmt.Sprintf("the file of chart %q is not valid: %s; correct the file and build again", e.Chart, e.Problem)
}
