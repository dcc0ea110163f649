// Package event keeps what changed in the fleet and why, in bounded memory, for operators.
package event

import (
	"sync"
	"time"
)

//go:generate go tool stringer -type Kind -output kind_string.go

// Kind names the type of an event.
type Kind uint8

// The kinds of events.
const (
	// RoleChange is a role that was taken, lost or handed over.
	RoleChange Kind = iota
	// Ejection is a backend server taken out of or back into use.
	Ejection
	// Order is an order to a backend server or the platform.
	Order
	// ReleaseAdopted is a release put in force on this host.
	ReleaseAdopted
	// LinkUp and LinkDown are links to other hosts.
	LinkUp
	LinkDown
	// LinkRefused is a link or message that was refused.
	LinkRefused
	// MemberChange is a host that became alive, suspected, left or forgotten.
	MemberChange
)

// MarshalText writes the name of k.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Event is one change.
type Event struct {
	Time    time.Time
	Kind    Kind
	Subject string
	Cause   string
	// Count is how often the same change came one after another, last at Time.
	Count int
}

// Log keeps the last events. It is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	events []Event
	next   int
}

// NewLog returns a Log of the last n events.
func NewLog(n int) *Log { return &Log{events: make([]Event, 0, max(n, 1))} }

// Add notes a change of kind on subject, because of cause. The same change again only raises the
// count, so that a fault that repeats does not push all else out.
func (l *Log) Add(kind Kind, subject, cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := Event{Time: time.Now(), Kind: kind, Subject: subject, Cause: cause, Count: 1}
	if last := l.last(); last != nil && last.Kind == kind && last.Subject == subject && last.Cause == cause {
		last.Count++
		last.Time = e.Time
		return
	}
	if len(l.events) < cap(l.events) {
		l.events = append(l.events, e)
		return
	}
	l.events[l.next] = e
	l.next = (l.next + 1) % len(l.events)
}

func (l *Log) last() *Event {
	if len(l.events) == 0 {
		return nil
	}
	return &l.events[(l.next+len(l.events)-1)%len(l.events)]
}

// Recent returns the kept events, newest first.
func (l *Log) Recent() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Event, 0, len(l.events))
	for i := range l.events {
		out = append(out, l.events[(l.next+len(l.events)-1-i)%len(l.events)])
	}
	return out
}
