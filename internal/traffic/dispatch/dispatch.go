// Package dispatch connects decisions to traffic. A [Policy] decides, without
// I/O, which request runs where and when; the [Loop] is the one goroutine that
// owns it, feeds it events and carries its effects out.
package dispatch

import (
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/request"
)

//go:generate go tool stringer -type EffectKind,RefusalReason,Role -output dispatch_string.go

// Role is the part of a request's work that a backend server does.
type Role uint8

// The roles.
const (
	// Whole servers do all of a request.
	Whole Role = iota
	// Prefill servers read prompts and export their KV cache.
	Prefill
	// Decode servers import the KV cache and generate the answer.
	Decode
)

// Load is what a backend server reported of itself.
type Load struct {
	Server string
	// At is when the server measured.
	At time.Time
	// Running and Waiting count requests; QueuedTokens estimates their work.
	Running, Waiting, QueuedTokens int
	// Loaded lists models, adapters and versions as "model", "model+adapter" or "model@version".
	Loaded []string
	// CacheSequence numbers the server's cache events.
	CacheSequence uint64
	Leaving       bool
	Role          Role
}

// CacheEvent is a change of a server's prefix cache, or with Whole its content. Blocks are named
// by the hashes of [request.PrefixOf]. Sequence counts a server's events from 1, without gaps when it sends them.
type CacheEvent struct {
	Server   string
	Sequence uint64
	Stored   []uint64 `json:",omitempty"`
	Evicted  []uint64 `json:",omitempty"`
	Whole    bool     `json:",omitempty"`
}

// CacheObserver is a [Policy] that takes cache events.
type CacheObserver interface {
	Cache(now time.Time, e CacheEvent)
}

// ServerState is what is known of a server's life, from leases, heartbeats and the platform's list.
type ServerState struct {
	Server  string
	Zone    string
	Leaving bool
	Gone    bool
}

// HostState is what another host tells of its queues and outstanding work.
type HostState struct {
	Host string
	Zone string
	At   time.Time
	// Waiting and Running count requests by class.
	Waiting, Running map[string]int
	// OldestWait by class.
	OldestWait map[string]time.Duration
	// Outstanding counts requests by server.
	Outstanding map[string]int
	// UsedTokens counts tokens by organisation since the host started.
	UsedTokens map[string]int64
	// CrashCounts lists fingerprints of requests that crashed servers, with the crash count.
	CrashCounts map[uint64]int
	// Pools tells of the queue and running work of each pool.
	Pools map[string]PoolState
	// ServedTokens counts tokens of work done since the host started, by class and organisation. Totals
	// never fall; entries that have not changed of late may be missing.
	ServedTokens map[string]map[string]int64
	// Hosts counts the hosts that the state sums up; 0 is 1.
	Hosts int
	// Demand by organisations that have a limit.
	Demand map[string]Demand
}

// Demand is what an organisation asks for, granted or not.
type Demand struct {
	// Requests and Tokens are rates per second.
	Requests, Tokens float64
	// Streams counts requests that were admitted and have not ended.
	Streams int
}

// PoolState is what a host tells of a pool.
type PoolState struct {
	// WantedThrottleTier is the highest tier of which the host has so much waiting work that lower tiers should
	// start by their floors only, and Applied the one after which it starts them so; 0 is none.
	WantedThrottleTier, AppliedThrottleTier int
	Classes                                 map[string]ClassState
}

// ClassState is what a host tells of a class in a pool.
type ClassState struct {
	// Waiting counts requests that wait, Sheddable those of them that have not run.
	Waiting, Sheddable, Running int
	// Started counts the attempts since the host started.
	Started int
	// LeastUse is the recent work, in tokens by weight, of the organisation that is next, when Waiting is not 0.
	LeastUse float64
	// Uses samples, in ascending order, the work that comes before each sheddable request: what its
	// organisation had of late and what of it waits ahead, in tokens by weight.
	Uses []float64
}

// RefusalReason tells why a request is refused.
type RefusalReason uint8

// The reasons of refusal.
const (
	// Overload refusals come from shedding.
	Overload RefusalReason = iota
	// OverLimit refusals come from an organisation's limit.
	OverLimit
	// NoServer refusals find no backend server that could run the work.
	NoServer
	// PastDeadline refusals could not start in time.
	PastDeadline
	// CrashSuspect refusals are requests that crashed servers before.
	CrashSuspect
	// Exhausted refusals have no attempt or retry budget left.
	Exhausted
	// KeyWithdrawn refusals end queued work of a withdrawn key.
	KeyWithdrawn
)

// EffectKind tells what is to be done.
type EffectKind uint8

// The kinds of effects.
const (
	// Start sends the request to Server.
	Start EffectKind = iota
	// Refuse answers the caller with Reason and RetryAfter.
	Refuse
	// Preempt cancels a running request on its server, to be resumed later.
	Preempt
)

// Effect is one thing that a [Policy] wants done.
type Effect struct {
	Kind EffectKind
	ID   request.ID
	// Server and Attempt, from 1, are set for Start.
	Server  string
	Attempt int
	// Urgency orders requests at the server, 0 first, for policies that tell it.
	Urgency int
	// FetchFrom is a server whose cache holds more of the prompt, to be fetched from there; empty for none.
	FetchFrom string
	// Reason, RetryAfter and Ran are set for Refuse.
	Reason     RefusalReason
	RetryAfter time.Duration
	Ran        request.Ran
	// Why explains the decision for operators.
	Why string
	// Inputs are what decided, for policies that tell them.
	Inputs DecisionInputs
}

// DecisionInputs are what decided about a request.
type DecisionInputs struct {
	// ExpectedLatency is the time to the first token or the answer on the best server, Patience how long the caller
	// would have waited for it.
	ExpectedLatency, MaxLatency time.Duration
	// UncachedTokens counts the tokens of the prompt that the server would have had to read, Ahead the requests that
	// it would have taken first.
	UncachedTokens, RequestsAhead int
	// PeerStateAge is that of the oldest word of another host's work which was counted.
	PeerStateAge time.Duration
}

// CorePolicy is what a [Loop] needs of a policy. It is used by one goroutine, does no I/O and reads no clock.
type CorePolicy interface {
	// Arrive takes a new request.
	Arrive(now time.Time, r *request.Request) []Effect
	// Cancel forgets a request whose caller left or whose key was withdrawn. A running
	// request is finished by its Result later.
	Cancel(now time.Time, id request.ID) []Effect
	// Progress notes that tokens were generated for a running request.
	Progress(now time.Time, id request.ID, tokens int)
	// Finish notes the end of an attempt.
	Finish(now time.Time, r request.Result) []Effect
	// Report notes a server's load report.
	Report(now time.Time, l Load) []Effect
	// Tick lets time pass; it is called at least every 100 ms.
	Tick(now time.Time) []Effect
}

// Policy decides about the requests of a release, beside other hosts.
type Policy interface {
	CorePolicy
	// Configure adopts a release; servers and classes that are gone are dropped.
	Configure(now time.Time, s *release.Snapshot) []Effect
	// Server notes a change in a server's life.
	Server(now time.Time, s ServerState) []Effect
	// Peer notes what another host reports.
	Peer(now time.Time, h HostState) []Effect
	// State returns what this host tells the others.
	State(now time.Time) HostState
}
