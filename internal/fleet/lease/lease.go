// Package lease gives roles to hosts. A lease is an object of the platform that
// is changed by conditional update only. Its holder counts the term from before
// the request that was granted, on its own clock, and stops by itself before the
// term ends; a successor waits the whole term and a margin from its own first
// observation of an unchanged version. No two clocks are ever compared.
//
// [Core] decides, without I/O; [Manager] carries its effects out.
package lease

import (
	_ "embed"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/ops/chart"
)

//go:generate go tool stringer -type State,Event,Call,Outcome -output lease_string.go

// Kind is the kind of lease objects on the platform. They must never be deleted:
// the fencing number would begin again.
const Kind = "Lease"

// State is the state of one host's candidature for a role.
type State uint8

// The states of a lease, see lease_chart.json.
const (
	// Following candidates watch the holder.
	Following State = iota
	// Acquiring candidates have sent a bid whose result is unknown.
	Acquiring
	// Held leases make the host the holder, as long as [Lease.Valid] says so.
	Held
	// Releasing leases are no longer used, and the platform is being told.
	Releasing
	// Resigned candidates are out.
	Resigned
)

// Event moves a lease from one state to another.
type Event uint8

// The events of a lease.
const (
	Bid Event = iota
	Granted
	Refused
	Renew
	Expire
	Lose
	Resign
	Released
)

//go:embed lease_chart.json
var chartFile []byte

var leaseChart = chart.MustLoad[State, Event](chartFile)

// Chart returns the state chart of leases.
func Chart() *chart.Chart[State, Event] { return leaseChart }

// Record is what the platform keeps of a lease.
type Record struct {
	// Holder names the host and its start, so that a restarted host does not take itself for its predecessor.
	Holder string
	// Fence rises with each grant to a new holder and never falls.
	Fence uint64
	// Attempt numbers the requests of the holder. It tells which request wrote this record.
	Attempt uint64
	Term    object.Duration
	// Released leases may be taken without a wait.
	Released bool `json:",omitempty"`
}

// Config holds the times of a lease.
type Config struct {
	// Term is how long a grant lasts, counted from before its request.
	Term time.Duration
	// SuccessorMargin is what a successor waits beyond the term. It covers the rates of the two clocks.
	SuccessorMargin time.Duration
	// HolderMargin is how long before the end of the term the holder stops.
	HolderMargin time.Duration
	// RenewInterval is the time from one grant's request to the next renewal, Poll that between two reads of a
	// follower, Retry that before a failed call is repeated.
	RenewInterval, PollInterval, RetryDelay time.Duration
	// RequireHint candidates learn of a silent holder by [Manager.Hint]: they need not wait for their next read.
	RequireHint bool
	// Stagger delays a bid for each role that the host holds already, up to MaxStagger. Jitter bounds a
	// random delay in addition.
	Stagger, MaxStagger, Jitter time.Duration
}

// DefaultConfig returns the times that hosts use.
func DefaultConfig() Config {
	return Config{
		Term: 10 * time.Second, SuccessorMargin: time.Second, HolderMargin: time.Second,
		RenewInterval: 3 * time.Second, PollInterval: 4 * time.Second, RetryDelay: 300 * time.Millisecond,
		Stagger: 50 * time.Millisecond, MaxStagger: 400 * time.Millisecond, Jitter: 100 * time.Millisecond,
	}
}

// Grant is the right to act for a role until its limit. The zero Grant gives none.
type Grant struct {
	Fence uint64
	// Sent is the time before the request that was granted.
	Sent     time.Time
	Duration time.Duration
}

// Valid reports whether the grant holds at now. Both the monotonic and the wall clock must say so: the
// monotonic clock stands still while a virtual machine is suspended, and the wall clock may be set back.
func (g Grant) Valid(now time.Time) bool {
	return g.Fence > 0 && now.Sub(g.Sent) < g.Duration && now.Round(0).Sub(g.Sent.Round(0)) < g.Duration
}

// Call is what a [Core] wants done on the platform.
type Call uint8

// The calls of a core.
const (
	NoCall Call = iota
	ReadCall
	CreateCall
	UpdateCall
)

// Effect is one call to the platform. Its result is given back by [Core.Seen],
// [Core.ReadFailed] or [Core.Answer]; until then the core wants no other call.
type Effect struct {
	Call Call
	// Record is written by CreateCall, and by UpdateCall if the platform still has Version.
	Record  Record
	Version string
}

// Outcome is the result of a write.
type Outcome uint8

// The outcomes of a write.
const (
	// Written requests took effect.
	Written Outcome = iota
	// NotWritten requests had no effect: the version had changed, or the platform refused the call.
	NotWritten
	// Lost requests may have taken effect, or may still do so.
	Lost
)

// Snapshot is a lease as it was read.
type Snapshot struct {
	Found   bool
	Record  Record
	Version string
}
