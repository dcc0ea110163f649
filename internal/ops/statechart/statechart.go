// Package statechart runs state machines that are defined by state charts in JSON
// files. A chart lists its states, its events and the transitions between them,
// so that the code that uses a state machine contains none of these rules. The
// names in the file are those of the enums that are the type parameters of
// [Chart].
package statechart

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"
)

// Enum is the type of a chart's states or events: an integer type with a generated String method.
type Enum interface {
	~uint8
	fmt.Stringer
}

// StateData is one state in a chart file. A final state has no outgoing transitions.
type StateData struct {
	Name  string
	Final bool `json:",omitempty"`
}

// TransitionData is one transition in a chart file.
type TransitionData struct {
	From, Event, To string
}

// Data is the content of a chart file.
type Data struct {
	Name        string
	Initial     string
	States      []StateData
	Transitions []TransitionData
}

// Transition is a change from one state to another, or back to the same one, caused by an event.
type Transition[S, E Enum] struct {
	From  S
	Event E
	To    S
}

// Chart is a validated state chart. It is safe for concurrent use.
type Chart[S, E Enum] struct {
	name        string
	initial     S
	final       map[S]bool
	transitions []Transition[S, E]
	interpreter *stateless.StateMachine
}

// Load parses and validates a chart file. It returns a [FileError] if the file
// is not a chart of the two enums, has two transitions for one state and event,
// has a transition out of a final state or has an unreachable state.
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

// Transitions returns all transitions in file order.
func (c *Chart[S, E]) Transitions() []Transition[S, E] {
	return append([]Transition[S, E](nil), c.transitions...)
}

// Final reports whether s is a final state.
func (c *Chart[S, E]) Final(s S) bool { return c.final[s] }

// New returns a machine in the chart's initial state.
func (c *Chart[S, E]) New() *Machine[S, E] { return c.NewAt(c.initial) }

// NewAt returns a machine in state s, for example in a state that was stored.
func (c *Chart[S, E]) NewAt(s S) *Machine[S, E] { return &Machine[S, E]{chart: c, state: s} }

// Machine is a state machine that follows a chart. It is small and not safe for concurrent use.
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

// Fire makes the transition for e. If the chart has none from the current state,
// it returns a [RefusedError] and the state does not change.
func (m *Machine[S, E]) Fire(e E) error {
	err := m.chart.interpreter.FireCtx(m.context(), e)
	if errors.Is(err, errNoTransition) {
		return &RefusedError{Chart: m.chart.name, State: m.state.String(), Event: e.String(), Allowed: m.chart.allowed(m.state)}
	}
	return err
}

// machineKey is the context key of the machine for which the shared interpreter runs.
type machineKey struct{}

func (m *Machine[S, E]) context() context.Context {
	return context.WithValue(context.Background(), machineKey{}, m)
}

var errNoTransition = errors.New("no transition")

// configure builds the interpreter. All machines of the chart share it, because building one for each machine would
// cost more than the transitions themselves.
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

// allowed returns the names of the events that have a transition from s.
func (c *Chart[S, E]) allowed(s S) []string {
	var out []string
	for _, t := range c.transitions {
		if t.From == s {
			out = append(out, t.Event.String())
		}
	}
	return out
}

// RefusedError reports an event for which the chart has no transition from the current state. The state did not change.
type RefusedError struct {
	Chart, State, Event string
	// Allowed lists the events that have a transition from the state.
	Allowed []string
}

func (e *RefusedError) Error() string {
	s := fmt.Sprintf("chart %q has no event %s in state %s; ", e.Chart, e.Event, e.State)
	if len(e.Allowed) == 0 {
		return s + "the state is final, start a new machine"
	}
	return s + "read the state again and fire one of: " + strings.Join(e.Allowed, ", ")
}

// FileError reports a chart file that is not valid.
type FileError struct {
	Chart, Problem string
}

func (e *FileError) Error() string {
	return fmt.Sprintf("the file of chart %q is not valid: %s; correct the file and build again", e.Chart, e.Problem)
}
