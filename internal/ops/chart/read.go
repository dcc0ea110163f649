package chart

import (
	"fmt"
	"math"
)

// names maps the generated names of an enum to its values.
func names[T Enum]() map[string]T {
	out := map[string]T{}
	for i := range math.MaxUint8 + 1 {
		out[T(i).String()] = T(i)
	}
	return out
}

// read fills c from a file's data and checks it.
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

// readStates returns the states that the file lists, by name.
func (c *Chart[S, E]) readStates(d Data) (map[string]S, error) {
	known, states := names[S](), map[string]S{}
	for _, s := range d.States {
		v, ok := known[s.Name]
		if !ok {
			return nil, fmt.Errorf("state %q is none of the enum's", s.Name)
		}
		if _, twice := states[s.Name]; twice {
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
	type cause struct {
		from  S
		event E
	}
	events, seen := names[E](), map[cause]bool{}
	for _, t := range d.Transitions {
		from, knowsFrom := states[t.From]
		to, knowsTo := states[t.To]
		e, knowsEvent := events[t.Event]
		switch {
		case !knowsFrom || !knowsTo:
			return fmt.Errorf("transition %s %s %s names a state that is not listed", t.From, t.Event, t.To)
		case !knowsEvent:
			return fmt.Errorf("event %q is none of the enum's", t.Event)
		case c.final[from]:
			return fmt.Errorf("transition %s %s %s leaves a final state", t.From, t.Event, t.To)
		case seen[cause{from, e}]:
			return fmt.Errorf("state %s has two transitions for event %s", t.From, t.Event)
		}
		seen[cause{from, e}] = true
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
