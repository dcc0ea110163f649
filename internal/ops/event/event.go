// Package event keeps a bounded log of recent changes in the deployment and their causes, for operators.
package event

import (
	"sync"
	"time"
)

//go:generate go tool stringer -type Kind -output kind_string.go

// Kind is the type of an event.
type Kind uint8

// The kinds of events.
const (
	// RoleChange means that a host took, lost or handed over a role.
	RoleChange Kind = iota
	// Ejection means that a backend server was ejected from use or readmitted.
	Ejection
	// Order means that an order was sent to a backend server or the platform.
	Order
	// ReleaseAdopted means that this host began to use a release.
	ReleaseAdopted
	// LinkUp and LinkDown mean that a link to another host was opened or closed.
	LinkUp
	LinkDown
	// LinkRefused means that a link or a message was refused.
	LinkRefused
	// MemberChange means that the membership state of a host changed: alive, suspected, left or forgotten.
	MemberChange
)

// MarshalText returns the name of k.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Event is one change.
type Event struct {
	Time    time.Time
	Kind    Kind
	Subject string
	Cause   string
	// Count is the number of consecutive occurrences of the same change. Time is that of the last.
	Count int
}

// Log is a ring buffer of the last events. It is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	events []Event
	// next is the index of the oldest event once the buffer is full.
	next int
}

// NewLog returns a Log that keeps the last n events.
func NewLog(n int) *Log { return &Log{events: make([]Event, 0, max(n, 1))} }

// Add records a change of subject and its cause. If the last event is the same change, Add only increments its count,
// so that a repeating fault does not evict all other events.
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

// Recent returns the recorded events, newest first.
func (l *Log) Recent() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Event, 0, len(l.events))
	for i := range l.events {
		out = append(out, l.events[(l.next+len(l.events)-1-i)%len(l.events)])
	}
	return out
}
