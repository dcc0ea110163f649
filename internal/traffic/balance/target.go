package balance

import "shallotramp/internal/traffic/dispatch"

// target is what a server must have loaded to run a request. The zero value needs nothing.
type target struct {
	model, adapter, version string
	// prefill is set to find servers that only read prompts.
	prefill bool
}

func targetOf(model, adapter, version string) target {
	return target{model: model, adapter: adapter, version: version}
}

// fits reports whether the server has the target loaded and the role for it.
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

// targetList holds the servers with room for a target. Its buckets are indexed by roomLevel, by whether the servers
// are in the host's zone (0) or in another (1), and by whether they are reclaimable (1) or not (0).
type targetList struct{ buckets [roomLevels][2][2][]entry }

// entry is a server in a bucket. membershipIndex is the index in server.memberships that refers back to the entry.
type entry struct {
	server          *server
	membershipIndex int
}

// membership is a server's position in a bucket of a target's list, or -1 when it is in none.
type membership struct {
	list *targetList
	pos  int
}

// buildMemberships adds a membership for each target of p that the server fits. The server is in no bucket yet.
func (v *server) buildMemberships(p *pool) {
	v.memberships = v.memberships[:0]
	for t, l := range p.targets {
		if t.fits(v) {
			v.memberships = append(v.memberships, membership{l, -1})
		}
	}
	v.level = noRoom
}

// moveTo moves the server to the buckets of a level in the lists of its targets.
func (v *server) moveTo(to roomLevel) {
	if v.level != noRoom {
		v.countRoom(-1)
		for i := range v.memberships {
			v.memberships[i].remove(v)
		}
	}
	v.level = to
	if to == noRoom {
		return
	}
	v.countRoom(1)
	for i := range v.memberships {
		v.memberships[i].insert(v, i)
	}
}

// countRoom adds n to the pool's count of servers with room. Servers that only read prompts are not counted.
func (v *server) countRoom(n int) {
	if v.role != dispatch.Prefill {
		v.pool.withRoom[v.level][v.reclaimable] += n
	}
}

func (m *membership) bucket(v *server) *[]entry {
	return &m.list.buckets[v.level][v.remote][v.reclaimable]
}

func (m *membership) insert(v *server, i int) {
	bucket := m.bucket(v)
	m.pos = len(*bucket)
	*bucket = append(*bucket, entry{v, i})
}

func (m *membership) remove(v *server) {
	bucket := m.bucket(v)
	last := len(*bucket) - 1
	moved := (*bucket)[last]
	(*bucket)[m.pos] = moved
	moved.server.memberships[moved.membershipIndex].pos = m.pos
	*bucket = (*bucket)[:last]
	m.pos = -1
}

// targetList returns the list for t. It creates the list when no route of the current release has the target.
func (p *pool) targetList(t target) *targetList {
	if l, ok := p.targets[t]; ok {
		return l
	}
	l := &targetList{}
	p.targets[t] = l
	for _, v := range p.servers {
		if !t.fits(v) {
			continue
		}
		v.memberships = append(v.memberships, membership{l, -1})
		if v.level != noRoom {
			i := len(v.memberships) - 1
			v.memberships[i].insert(v, i)
		}
	}
	return l
}
