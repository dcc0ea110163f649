// Package membership keeps a host's view of the other hosts: which are alive, which are
// suspected to have failed and which are only known from the host list of the
// platform, which lags behind. The states rest on heartbeats and may be wrong: a
// role that at most one host may hold needs a lease.
package membership

import (
	"iter"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

//go:generate go tool stringer -type State -output state_string.go

// State is the state of a host as another host knows it.
type State uint8

// The states of a host.
const (
	// Seeded hosts are known from a list only and have never been in contact.
	Seeded State = iota
	// Alive hosts have sent a heartbeat recently.
	Alive
	// Suspect hosts were alive, but stopped sending heartbeats or lost their link. They may still serve callers.
	Suspect
	// Left hosts have announced a planned stop.
	Left
	// Forgotten hosts have been silent for longer than every organisation's CutOffGrace, so that they no longer serve
	// requests with API keys.
	Forgotten
)

const (
	// SuspectAfter is the time without a heartbeat after which a host becomes suspect: three heartbeat intervals.
	SuspectAfter = 3 * time.Second
	// DefaultForgetAfter is the default time after which a suspect or seeded host is forgotten.
	DefaultForgetAfter = 15 * time.Minute
	// leftRetention is how long a host that left stays in the table, so that a lagging list that still names it has
	// no effect.
	leftRetention = 15 * time.Minute
)

// Host is the identity and the address of a host. Incarnation rises with each start of the host.
type Host struct {
	Name        string
	Zone        string
	Address     netip.AddrPort
	Incarnation uint64
}

// Member is a host and what is known about it.
type Member struct {
	Host
	State State
	// Since is when the state began, and Heard when the last heartbeat arrived.
	Since, Heard time.Time
	// Release is the host's release and Confirmed when it was last known to be the newest, as reported by the last
	// heartbeat. Confirmed is a time of this host's clock.
	Release   uint64
	Confirmed time.Time
	// Leased reports whether the host holds the relay lease of its zone, Acting whether it acts as the relay.
	Leased, Acting bool
}

// Change is a change of a host's state, and its cause.
type Change struct {
	Host     Host
	From, To State
	Cause    string
}

// Heartbeat is the content of a heartbeat: the state of its sender, see [Member].
type Heartbeat struct {
	Release        uint64
	Confirmed      time.Time
	Leased, Acting bool
}

// Table holds the other hosts that one host knows. It must be used by one goroutine only.
type Table struct {
	members map[string]*Member
	// sorted has the members in the order of their names. It is nil after a member was added or removed.
	sorted      []*Member
	forgetAfter time.Duration
}

// NewTable returns an empty Table that forgets hosts after a silence of forgetAfter. Zero means [DefaultForgetAfter].
func NewTable(forgetAfter time.Duration) *Table {
	if forgetAfter == 0 {
		forgetAfter = DefaultForgetAfter
	}
	return &Table{members: map[string]*Member{}, forgetAfter: forgetAfter}
}

// SetForgetAfter sets the duration of silence after which hosts are forgotten.
func (t *Table) SetForgetAfter(d time.Duration) { t.forgetAfter = d }

// AddListed handles a list of hosts that names h. Because a list lags, it changes a known host only if it names a newer
// incarnation and the host is not alive. A host that left thus stays left until a newer incarnation is listed.
func (t *Table) AddListed(now time.Time, h Host) {
	m, ok := t.members[h.Name]
	if !ok {
		t.add(&Member{Host: h, State: Seeded, Since: now})
		return
	}
	if h.Incarnation > m.Incarnation && m.State != Alive {
		m.Host = h
		if m.State == Left {
			m.State, m.Since = Seeded, now
		}
	}
}

// LinkUp handles a new link with h, which proves that h is alive. An incarnation older than the known one is ignored.
func (t *Table) LinkUp(now time.Time, h Host) []Change {
	m, ok := t.members[h.Name]
	if !ok {
		m = &Member{Host: h, State: Seeded, Since: now}
		t.add(m)
	}
	if h.Incarnation < m.Incarnation {
		return nil
	}
	if h.Incarnation > m.Incarnation {
		m.Release, m.Confirmed, m.Leased, m.Acting = 0, time.Time{}, false, false
	} else if m.State == Left {
		return nil
	}
	m.Host, m.Heard = h, now
	return t.setState(now, m, Alive, "heartbeat")
}

// Heartbeat handles a heartbeat of the named host.
func (t *Table) Heartbeat(now time.Time, name string, b Heartbeat) []Change {
	m, ok := t.members[name]
	if !ok || m.State == Left {
		return nil
	}
	m.Heard, m.Release, m.Leased, m.Acting = now, b.Release, b.Leased, b.Acting
	if b.Confirmed.After(m.Confirmed) {
		m.Confirmed = b.Confirmed
	}
	return t.setState(now, m, Alive, "heartbeat")
}

// Leave handles the announcement of a planned stop.
func (t *Table) Leave(now time.Time, name string) []Change {
	m, ok := t.members[name]
	if !ok {
		return nil
	}
	m.Leased, m.Acting = false, false
	return t.setState(now, m, Left, "planned stop")
}

// LinkDown handles the loss of the link to the named host, for the given cause.
func (t *Table) LinkDown(now time.Time, name, cause string) []Change {
	m, ok := t.members[name]
	if !ok || m.State != Alive {
		return nil
	}
	m.Leased, m.Acting = false, false
	return t.setState(now, m, Suspect, cause)
}

// Tick makes hosts without heartbeats suspect, and forgets suspect, seeded and left hosts after their time.
func (t *Table) Tick(now time.Time) []Change {
	var out []Change
	for m := range t.Each() {
		switch {
		case m.State == Alive && now.Sub(m.Heard) >= SuspectAfter:
			m.Leased, m.Acting = false, false
			out = append(out, t.setState(now, m, Suspect, "no heartbeat")...)
		case m.State == Left && now.Sub(m.Since) >= leftRetention:
			t.remove(m)
		case (m.State == Suspect || m.State == Seeded) && now.Sub(m.Since) >= t.forgetAfter:
			t.remove(m)
			out = append(out, Change{Host: m.Host, From: m.State, To: Forgotten, Cause: "silent for longer than the longest CutOffGrace"})
		}
	}
	return out
}

func (t *Table) setState(now time.Time, m *Member, to State, cause string) []Change {
	if m.State == to {
		return nil
	}
	c := Change{Host: m.Host, From: m.State, To: to, Cause: cause}
	m.State, m.Since = to, now
	return []Change{c}
}

// Get returns the named member.
func (t *Table) Get(name string) (Member, bool) {
	m, ok := t.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// All returns copies of all members in the order of their names.
func (t *Table) All() []Member {
	out := make([]Member, 0, len(t.members))
	for m := range t.Each() {
		out = append(out, *m)
	}
	return out
}

// Each returns an iterator over the members in the order of their names. The caller must not change the members.
func (t *Table) Each() iter.Seq[*Member] {
	if t.sorted == nil {
		t.sorted = slices.SortedFunc(maps.Values(t.members), func(a, b *Member) int { return strings.Compare(a.Name, b.Name) })
	}
	return slices.Values(t.sorted)
}

func (t *Table) add(m *Member) {
	t.members[m.Name] = m
	t.sorted = nil
}

func (t *Table) remove(m *Member) {
	delete(t.members, m.Name)
	t.sorted = nil
}
