package statechart

import (
	"fmt"
	"math"
)

// valuesByName returns the values of an enum by their generated names.
func valuesByName[T Enum]() map[string]T {
	out := map[string]T{}
	for i := range math.MaxUint8 + 1 {
		out[T(i).String()] = T(i)
	}
	return out
}

// read sets c from the content of a chart file and validates it.
func (c *Chart[S, E]) read(d Data) error {
	states, err := c.readStates(d)
	if err != nil {
		return err
	}
	if err := c.readTransitions(d, states); err != nil {
		return err
	}
	return c.checkReachable(d, states)
}

// readStates sets the initial and the final states of c and returns the listed states by name.
func (c *Chart[S, E]) readStates(d Data) (map[string]S, error) {
	known, states := valuesByName[S](), map[string]S{}
	for _, s := range d.States {
		v, ok := known[s.Name]
		if !ok {
			return nil, fmt.Errorf("state %q is not a value of the enum", s.Name)
		}
		if _, duplicate := states[s.Name]; duplicate {
			return nil, fmt.Errorf("state %q is listed twice", s.Name)
		}
		states[s.Name] = v
		c.final[v] = s.Final
	}
	initial, ok := states[d.Initial]
	if !ok {
		return nil, fmt.Errorf("initial state %q is not listed", d.Initial)
	}
	c.initial = initial
	return states, nil
}

func (c *Chart[S, E]) readTransitions(d Data, states map[string]S) error {
	type trigger struct {
		from  S
		event E
	}
	events, seen := valuesByName[E](), map[trigger]bool{}
	for _, t := range d.Transitions {
		from, fromListed := states[t.From]
		to, toListed := states[t.To]
		e, eventKnown := events[t.Event]
		switch {
		case !fromListed || !toListed:
			return fmt.Errorf("transition %s %s %s names a state that is not listed", t.From, t.Event, t.To)
		case !eventKnown:
			return fmt.Errorf("event %q is not a value of the enum", t.Event)
		case c.final[from]:
			return fmt.Errorf("transition %s %s %s leaves a final state", t.From, t.Event, t.To)
		case seen[trigger{from, e}]:
			return fmt.Errorf("state %s has two transitions for event %s", t.From, t.Event)
		}
		seen[trigger{from, e}] = true
		c.transitions = append(c.transitions, Transition[S, E]{from, e, to})
	}
	return nil
}

func (c *Chart[S, E]) checkReachable(d Data, states map[string]S) error {
	reached := map[S]bool{c.initial: true}
	for range d.States {
		for _, t := range c.transitions {
			if reached[t.From] {
				reached[t.To] = true
			}
		}
	}
	for _, s := range d.States {
		if !reached[states[s.Name]] {
			return fmt.Errorf("state %q cannot be reached", s.Name)
		}
	}
	return nil
}
