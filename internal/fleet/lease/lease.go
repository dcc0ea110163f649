// Package lease assigns each role to at most one host at a time. A lease is an
// object in the platform's store that is only changed by conditional updates. Its
// holder measures the term on its own clock, from just before it sent the granted
// request, and stops before the term ends. A successor waits for the whole term and
// a margin, from when it first observed the version that has not changed since.
// Times of different clocks are never compared.
//
// [Core] makes the decisions and does no I/O; [Manager] carries out its effects.
package lease

import (
	_ "embed"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/ops/statechart"
)

//go:generate go tool stringer -type State,Event,Call,Outcome -output lease_string.go

// Kind is the kind of the lease objects in the store. They must never be
// deleted, because the fencing numbers would start from the beginning.
const Kind = "Lease"

// State is the state of one host's candidacy for a role.
type State uint8

// The states of a candidacy, see lease_chart.json.
const (
	// Following candidates observe the lease of another holder, or one that is free.
	Following State = iota
	// Acquiring candidates have sent a bid and do not know its result yet.
	Acquiring
	// Held means that the host is the holder while [Lease.Valid] returns true.
	Held
	// Releasing candidates no longer use the lease and write its release to the platform.
	Releasing
	// Resigned candidates have ended their candidacy.
	Resigned
)

// Event moves a candidacy from one state to another.
type Event uint8

// The events of a candidacy.
const (
	// Bid means that the candidate sends a write that would make it the holder.
	Bid Event = iota
	// Granted means that a write of this candidate made it the holder.
	Granted
	// Refused means that the bid gave this candidate no valid grant.
	Refused
	// Renew means that the holder's grant was extended.
	Renew
	// Expire means that the grant, or the wait for a release, has run out.
	Expire
	// Lose means that the holder observed that the lease is no longer its own.
	Lose
	// Resign ends the candidacy.
	Resign
	// Released means that the lease is observed as released or held by another host.
	Released
)

//go:embed lease_chart.json
var chartFile []byte

var leaseChart = statechart.MustLoad[State, Event](chartFile)

// Chart returns the state chart of candidacies.
func Chart() *statechart.Chart[State, Event] { return leaseChart }

// Record is the content of a lease object.
type Record struct {
	// Holder identifies the host and its start, so that a restarted host does not take over the grant of its
	// previous process.
	Holder string
	// Fence is the fencing number. It rises with each grant to a new holder and never falls, also if the store is restored
	// from a copy.
	Fence uint64
	// Attempt is the number of the holder's request that wrote this record.
	Attempt uint64
	Term    object.Duration
	// Released is set when the lease may be acquired without waiting.
	Released bool `json:",omitempty"`
}

// Config holds the durations and settings of a lease.
type Config struct {
	// Term is how long a lease binds other hosts. The holder counts it from just before it sends the request.
	Term time.Duration
	// SuccessorMargin is how long a successor waits after the end of the term, because its clock may run faster
	// than that of the holder.
	SuccessorMargin time.Duration
	// HolderMargin is how long before the end of the term the holder stops.
	HolderMargin time.Duration
	// RenewInterval is the time from the request of a grant to its next renewal, PollInterval the time between
	// two reads of a following candidate, and RetryDelay the mean delay after a failed call.
	RenewInterval, PollInterval, RetryDelay time.Duration
	// RequireHint makes candidates bid only within hintValidTerms after they start or get a hint ([Manager.Hint])
	// that the holder may be gone. They then need not wait for a poll that confirms that the lease is unchanged.
	RequireHint bool
	// Stagger delays a bid for each role that the host already holds, by MaxStagger at most. Jitter is the upper
	// bound of an additional random delay.
	Stagger, MaxStagger, Jitter time.Duration
}

// DefaultConfig returns the default configuration of hosts.
func DefaultConfig() Config {
	return Config{
		Term: 10 * time.Second, SuccessorMargin: time.Second, HolderMargin: time.Second,
		RenewInterval: 3 * time.Second, PollInterval: 4 * time.Second, RetryDelay: 300 * time.Millisecond,
		Stagger: 50 * time.Millisecond, MaxStagger: 400 * time.Millisecond, Jitter: 100 * time.Millisecond,
	}
}

// Grant is the right to act for a role for a limited time. The zero Grant is never valid.
type Grant struct {
	Fence uint64
	// Era is the era of the store in which the lease was granted.
	Era int64
	// Continues is set if this host held the lease before, with another fencing number, and no other host can have held it
	// since.
	Continues bool
	// Sent is the time just before the granted request was sent. Duration is counted from it.
	Sent     time.Time
	Duration time.Duration
}

// Valid reports whether the grant is valid at now. It must be so by both the monotonic and the wall clock: the
// monotonic clock stops while a virtual machine is suspended, and the wall clock may be set back.
func (g Grant) Valid(now time.Time) bool {
	return g.Fence > 0 && now.Sub(g.Sent) < g.Duration && now.Round(0).Sub(g.Sent.Round(0)) < g.Duration
}

// excludesOthers reports whether no other host can have acquired the lease by t: successors wait for the whole term.
func (g Grant) excludesOthers(t time.Time, term time.Duration) bool {
	g.Duration = term
	return g.Valid(t)
}

// Call is the kind of a call to the platform's store.
type Call uint8

// The kinds of calls.
const (
	NoCall Call = iota
	ReadCall
	CreateCall
	UpdateCall
)

// Effect is one call to the platform that a [Core] asks its caller to carry out. The result is given to
// [Core.Observe], [Core.ReadFailed] or [Core.WriteDone]; until then the core asks for no other call.
type Effect struct {
	Call Call
	// Record is written by CreateCall, and by UpdateCall if the object still has Version.
	Record  Record
	Version string
}

// Outcome is the result of writing a lease.
type Outcome uint8

// The outcomes of a write.
const (
	// Written means that the write took effect.
	Written Outcome = iota
	// NotWritten means that the write had no effect: the version had changed, or the platform rejected the call.
	NotWritten
	// Lost means that no response came: the write may have taken effect, or may still do so.
	Lost
)

// Snapshot is a version of a lease object. Found is false if the object does not exist.
type Snapshot struct {
	Found   bool
	Record  Record
	Version string
}
