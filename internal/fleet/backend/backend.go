// Package backend describes the backend servers of a deployment as service
// discovery reports them: address, availability zone, number of slots and
// whether the server is leaving.
package backend

import (
	"net/netip"
	"time"
)

// Server is one incarnation of a backend server, as described by its entry in the platform's store.
type Server struct {
	// ID identifies the server. A server that restarts under the same ID has another StartedAt.
	ID      string
	Service string
	Addr    netip.AddrPort
	Zone    string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Leaving is set if the server will stop; it gets no new work.
	Leaving bool
	// LeavesIn is the time from the notice until the server stops; 0 if unknown.
	LeavesIn time.Duration
	// Spot is set if the server can be reclaimed, together with all spot servers of its availability zone.
	Spot bool
	// Revision identifies the state of the server's entry: entries with the same revision are one message of the server.
	Revision string
	// WarmupLeft is how long the server was still cold when it wrote its entry, and ColdUntil when it ceases to be, by the
	// time at which this host received that entry; zero if it is not cold.
	WarmupLeft time.Duration
	ColdUntil  time.Time
	// StartedAt is the time at which the incarnation started; zero if unknown.
	StartedAt time.Time
}

// IsCold reports whether the server is cold at now.
func (s Server) IsCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// AcceptsWork reports whether the server may get new work.
func (s Server) AcceptsWork() bool { return !s.Leaving && s.Addr.IsValid() }
