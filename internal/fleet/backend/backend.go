// Package backend names the backend servers of a deployment and what is known
// of each from discovery: address, availability zone, places and whether it
// leaves.
package backend

import (
	"net/netip"
	"time"
)

// Server is one incarnation of a backend server, as its entry tells.
type Server struct {
	// ID names the incarnation. A server that starts again under its ID has another Born.
	ID      string
	Service string
	Addr    netip.AddrPort
	Zone    string
	// Slots is how many requests run at once.
	Slots int
	// Leaving servers get no new work.
	Leaving bool
	// LeavesIn is the time from the notice to the end, 0 if unknown.
	LeavesIn time.Duration
	// Spot servers can be reclaimed, all of an availability zone at once.
	Spot bool
	// WarmupLeft is how long the server remains slow after its start.
	WarmupLeft time.Duration
	// StartedAt is the start of the incarnation; zero if unknown.
	StartedAt time.Time
}

// AcceptsWork reports whether the server takes new work.
func (s Server) AcceptsWork() bool { return !s.Leaving && s.Addr.IsValid() }
