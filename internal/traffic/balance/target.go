package balance

import "shallotramp/internal/traffic/dispatch"

// target is what a request needs to be loaded. The zero value needs nothing.
type target struct {
	model, adapter, version string
	// prefill asks for servers that only read prompts.
	prefill bool
}

func targetOf(model, adapter, version string) target {
	return target{model: model, adapter: adapter, version: version}
}

// fits reports whether the server has the target loaded.
func (t target) fits(v *server) bool {
	switch {
	case t.prefill != (v.role == dispatch.Prefill):
		return false
	case t.model == "" || v.loaded == nil:
		return true
	case t.adapter != "" && !v.loaded[t.model+"+"+t.adapter]:
		return false
	case t.version != "" && !v.loaded[t.model+"@"+t.version]:
		return false
	}
	return t.adapter != "" || t.version != "" || v.loaded[t.model]
}

// targetList holds the servers with room for a target: by level, by remote (1) or in the host's
// zone (0), and by reclaimable (1) or not (0).
type targetList struct{ open [levels][2][2][]entry }

// entry is a server in a list; slot is the place in its slots that knows of the list.
type entry struct {
	v    *server
	slot int
}

// slot is a server's place in the list of a target.
type slot struct {
	list *targetList
	pos  int
}

// index finds the targets of p that the server has loaded.
func (v *server) index(p *pool) {
	v.slots = v.slots[:0]
	for t, l := range p.targets {
		if t.fits(v) {
			v.slots = append(v.slots, slot{l, -1})
		}
	}
	v.level = closed
}

// list moves the server to the lists of its targets for a level.
func (v *server) list(to level) {
	if v.level != closed {
		v.count(-1)
		for i := range v.slots {
			v.slots[i].leave(v)
		}
	}
	v.level = to
	if to == closed {
		return
	}
	v.count(1)
	for i := range v.slots {
		v.slots[i].enter(v, i)
	}
}

// count keeps the pool's number of servers with room. Those that only read prompts are not counted.
func (v *server) count(n int) {
	if v.role != dispatch.Prefill {
		v.pool.open[v.level][v.cheap] += n
	}
}

func (s *slot) open(v *server) *[]entry { return &s.list.open[v.level][v.remote][v.cheap] }

func (s *slot) enter(v *server, i int) {
	open := s.open(v)
	s.pos = len(*open)
	*open = append(*open, entry{v, i})
}

func (s *slot) leave(v *server) {
	open := s.open(v)
	last := len(*open) - 1
	moved := (*open)[last]
	(*open)[s.pos] = moved
	moved.v.slots[moved.slot].pos = s.pos
	*open = (*open)[:last]
	s.pos = -1
}

// target returns the list for t, and makes it when the release in force has no route for it any more.
func (p *pool) target(t target) *targetList {
	if l, ok := p.targets[t]; ok {
		return l
	}
	l := &targetList{}
	p.targets[t] = l
	for _, v := range p.servers {
		if !t.fits(v) {
			continue
		}
		v.slots = append(v.slots, slot{l, -1})
		if v.level != closed {
			i := len(v.slots) - 1
			v.slots[i].enter(v, i)
		}
	}
	return l
}
