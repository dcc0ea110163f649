// Package member keeps what a host knows of the other hosts: who is alive, who is
// suspected and who is only named by the platform's lagging list. It decides by
// heartbeats, so all it says is a hint; what must have one holder needs a lease.
package member

import (
	"iter"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

//go:generate go tool stringer -type State -output state_string.go

// State is what is known of a host's life.
type State uint8

// The states of a host.
const (
	// Seeded hosts are named by a list and were never heard.
	Seeded State = iota
	// Alive hosts sent a heartbeat lately.
	Alive
	// Suspect hosts were alive and are silent. They may still serve callers.
	Suspect
	// Left hosts announced a planned stop.
	Left
	// Forgotten hosts were silent for so long that they serve no keyed work.
	Forgotten
)

const (
	// SuspectAfter is the silence after which a host is suspected: three heartbeats.
	SuspectAfter = 3 * time.Second
	// DefaultForgetAfter is the silence after which a host is forgotten.
	DefaultForgetAfter = 15 * time.Minute
	// leftRetention is how long a host that left is remembered, so that lists naming it have no effect.
	leftRetention = 15 * time.Minute
)

// Host tells who a host is and where it listens. Incarnation rises with each start.
type Host struct {
	Name        string
	Zone        string
	Address     netip.AddrPort
	Incarnation uint64
}

// Member is a host and what is known of it.
type Member struct {
	Host
	State State
	// Since is when the state began, Heard when the last heartbeat came.
	Since, Heard time.Time
	// Release and Confirmed are as the last heartbeat told, by this host's clock.
	Release   uint64
	Confirmed time.Time
	// Leased and Acting tell whether the host holds the relay lease of its zone, and relays.
	Leased, Acting bool
}

// Change is a change of a host's state and its cause.
type Change struct {
	Host     Host
	From, To State
	Cause    string
}

// Heartbeat is what a heartbeat tells of its sender.
type Heartbeat struct {
	Release        uint64
	Confirmed      time.Time
	Leased, Acting bool
}

// Table holds the members that one host knows, without itself. It is used by one goroutine.
type Table struct {
	members map[string]*Member
	// sorted holds the members by name; nil after one came or went.
	sorted      []*Member
	forgetAfter time.Duration
}

// NewTable returns an empty Table that forgets hosts after a silence of forgetAfter; zero means [DefaultForgetAfter].
func NewTable(forgetAfter time.Duration) *Table {
	if forgetAfter == 0 {
		forgetAfter = DefaultForgetAfter
	}
	return &Table{members: map[string]*Member{}, forgetAfter: forgetAfter}
}

// SetForgetAfter changes the silence after which hosts are forgotten.
func (t *Table) SetForgetAfter(d time.Duration) { t.forgetAfter = d }

// Seed notes that a list names h. A list lags: it revives no host that left and replaces no newer incarnation.
func (t *Table) Seed(now time.Time, h Host) {
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

// LinkUp notes that h itself was heard. An older incarnation than the known one is ignored.
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

// Heartbeat notes a heartbeat of the named host.
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

// Leave notes a planned stop.
func (t *Table) Leave(now time.Time, name string) []Change {
	m, ok := t.members[name]
	if !ok {
		return nil
	}
	m.Leased, m.Acting = false, false
	return t.setState(now, m, Left, "planned stop")
}

// LinkDown notes that the link to the host broke off.
func (t *Table) LinkDown(now time.Time, name, cause string) []Change {
	m, ok := t.members[name]
	if !ok || m.State != Alive {
		return nil
	}
	m.Leased, m.Acting = false, false
	return t.setState(now, m, Suspect, cause)
}

// Tick suspects and forgets silent hosts.
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
			out = append(out, Change{Host: m.Host, From: m.State, To: Forgotten, Cause: "silent for longer than any grace"})
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

// All returns copies of all members by name.
func (t *Table) All() []Member {
	out := make([]Member, 0, len(t.members))
	for m := range t.Each() {
		out = append(out, *m)
	}
	return out
}

// Each goes through the members by name, which the caller must not change.
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
