package balance

// target is what a request needs to be loaded. The zero value needs nothing.
type target struct{ model, adapter, version string }

func targetOf(model, adapter, version string) target { return target{model, adapter, version} }

// fits reports whether the server has the target loaded.
func (t target) fits(v *server) bool {
	switch {
	case t.model == "" || v.loaded == nil:
		return true
	case t.adapter != "" && !v.loaded[t.model+"+"+t.adapter]:
		return false
	case t.version != "" && !v.loaded[t.model+"@"+t.version]:
		return false
	}
	return t.adapter != "" || t.version != "" || v.loaded[t.model]
}

// targetList holds the servers with room for a target: by remote (1) or in the host's zone (0),
// and by reclaimable (1) or not (0).
type targetList struct{ open [2][2][]entry }

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
	v.listed = false
}

// unlist takes the server out of all lists before it is indexed anew.
func (v *server) unlist() {
	if !v.listed {
		return
	}
	v.listed = false
	v.pool.open[v.cheap]--
	v.list("", false)
}

// list enters the server into the lists of its targets, or takes it out.
func (v *server) list(zone string, in bool) {
	if in {
		v.remote = 0
		if v.spec.Zone != zone {
			v.remote = 1
		}
	}
	for i := range v.slots {
		s := &v.slots[i]
		open := &s.list.open[v.remote][v.cheap]
		if in {
			s.pos = len(*open)
			*open = append(*open, entry{v, i})
			continue
		}
		last := len(*open) - 1
		moved := (*open)[last]
		(*open)[s.pos] = moved
		moved.v.slots[moved.slot].pos = s.pos
		*open = (*open)[:last]
		s.pos = -1
	}
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
		if v.listed {
			i := len(v.slots) - 1
			open := &l.open[v.remote][v.cheap]
			v.slots[i].pos = len(*open)
			*open = append(*open, entry{v, i})
		}
	}
	return l
}
