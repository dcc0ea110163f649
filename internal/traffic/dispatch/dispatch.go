// Package dispatch connects a policy to the code that forwards requests. A [Policy]
// decides, without I/O, which request runs where and when. A [Loop] is the goroutine that
// owns the policy, passes events to it and delivers its effects.
package dispatch

import (
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/serverlimit"
	"shallotramp/internal/traffic/suspect"
)

//go:generate go tool stringer -type EffectKind,RefusalReason,Role -output dispatch_string.go

// Role is the part of a request that a backend server runs.
type Role uint8

// The roles.
const (
	// Whole servers run complete requests.
	Whole Role = iota
	// Prefill servers prefill prompts and export the KV cache.
	Prefill
	// Decode servers import the KV cache and generate the answer.
	Decode
)

// Load is a backend server's report of its own load.
type Load struct {
	Server string
	// At is when the server measured.
	At time.Time
	// Running and Waiting count requests; QueuedTokens estimates their work in tokens.
	Running, Waiting, QueuedTokens int
	// Slowdown is how long work takes on the server at this moment, as a multiple of the usual; 0 if unknown.
	Slowdown float64
	// Loaded lists models, adapters and versions as "model", "model+adapter" or "model@version".
	Loaded []string
	// CacheSequence numbers the server's cache events.
	CacheSequence uint64
	Leaving       bool
	Role          Role
}

// Notice is what a backend server says about itself in the head of an answer.
type Notice struct {
	Server string
	// SentAt is when the request was sent, and At when the head of the answer arrived.
	SentAt, At time.Time
	// Limited is set if the server takes at most Rate requests per second from all hosts together.
	Limited bool
	Rate    float64
	// Leaving is set if the server will stop and takes no new requests.
	Leaving bool
	// RetryAfter is the time for which the server, which has refused a request, takes no requests of this host; 0 if it says
	// nothing.
	RetryAfter time.Duration
}

// CacheEvent is a change of a server's prefix cache or, with Whole, its complete content. Blocks are identified
// by the hashes of [request.PrefixOf]. Sequence counts the events that a server sends from 1, so that a gap
// shows a lost event.
type CacheEvent struct {
	Server   string
	Sequence uint64
	Stored   []uint64 `json:",omitempty"`
	Evicted  []uint64 `json:",omitempty"`
	Whole    bool     `json:",omitempty"`
}

// CacheObserver is a [Policy] that uses cache events.
type CacheObserver interface {
	Cache(now time.Time, e CacheEvent)
}

// ServerState is the lifecycle state of a server, from leases, heartbeats and the platform's list. Leaving servers
// are draining; Gone servers have ended.
type ServerState struct {
	Server  string
	Zone    string
	Leaving bool
	Gone    bool
}

// HostState is what a host reports to the other hosts about its queues and outstanding work.
type HostState struct {
	Host string
	Zone string
	At   time.Time
	// Waiting and Running count requests by class.
	Waiting, Running map[string]int
	// OldestWait is the longest time that a request has waited, by class.
	OldestWait map[string]time.Duration
	// Outstanding counts requests by server.
	Outstanding map[string]int
	// UsedTokens counts tokens since the host started, by organisation.
	UsedTokens map[string]int64
	// CrashCounts counts crashes of servers by the fingerprint of the request that ran.
	CrashCounts map[uint64]int
	// PartCrashes and PartAnswers are crashes and answers by part of the prompt, those of other hosts included.
	PartCrashes []suspect.PartCrash
	PartAnswers []suspect.PartAnswer
	// Pools holds the queued and running work of each pool.
	Pools map[string]PoolState
	// ServedTokens counts tokens of completed work since the host started, by class and organisation. Totals
	// never decrease; entries that have not changed recently may be missing.
	ServedTokens map[string]map[string]int64
	// Hosts is the number of hosts whose states are summed up here; 0 means 1.
	Hosts int
	// ServerLimits are the newest limits that servers have named, those that other hosts have reported included.
	ServerLimits []serverlimit.Notice
	// Demand is what organisations with a limit ask for.
	Demand map[string]Demand
}

// Demand is what an organisation asks for, including refused requests.
type Demand struct {
	// Requests and Tokens are rates per second.
	Requests, Tokens float64
	// Streams counts admitted requests that have not ended.
	Streams int
}

// PoolState is what a host reports to the other hosts about a pool.
type PoolState struct {
	// WantedThrottleTier is the highest tier with so much waiting work on the host that lower tiers should be
	// limited to their floors, the shares of slots reserved for their classes. AppliedThrottleTier is the tier
	// below which the host limits them so. 0 means none.
	WantedThrottleTier, AppliedThrottleTier int
	Classes                                 map[string]ClassState
}

// ClassState is what a host reports to the other hosts about a class in a pool.
type ClassState struct {
	// Waiting counts requests that wait, Sheddable those among them that have not run.
	Waiting, Sheddable, Running int
	// Started counts the attempts since the host started.
	Started int
	// HeadUsage is the recent usage, in tokens per unit of weight, of the organisation whose request starts next;
	// it is valid when Waiting is not 0.
	HeadUsage float64
	// UsageSamples are samples, in ascending order, of the usage that precedes each sheddable request: the recent
	// usage of its organisation plus the work of that organisation's requests that wait ahead of it, in tokens
	// per unit of weight.
	UsageSamples []float64
}

// RefusalReason is why a request is refused.
type RefusalReason uint8

// The reasons of refusal.
const (
	// Overload refusals shed load.
	Overload RefusalReason = iota
	// OverLimit refusals enforce an organisation's limit.
	OverLimit
	// NoServer refusals are made because no backend server can run the request.
	NoServer
	// PastDeadline refusals are of requests that could not start in time.
	PastDeadline
	// CrashSuspect refusals are of requests that are suspected of crashing servers.
	CrashSuspect
	// Exhausted refusals are of requests without attempts or retry budget left.
	Exhausted
	// KeyWithdrawn refusals are of queued requests whose key was withdrawn.
	KeyWithdrawn
)

// EffectKind is the action of an [Effect].
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

// Effect is an action that a [Policy] decided on.
type Effect struct {
	Kind EffectKind
	ID   request.ID
	// Server and Attempt, from 1, are set for Start.
	Server  string
	Attempt int
	// Urgency is the request's priority at the server, 0 the highest, for policies that set it.
	Urgency int
	// FetchFrom is a server from which Server should fetch cached parts of the prompt; empty for none.
	FetchFrom string
	// Reason, RetryAfter and Ran are set for Refuse.
	Reason     RefusalReason
	RetryAfter time.Duration
	Ran        request.Ran
	// Limited is set if the server named a limit of its requests before, for policies that keep to it.
	Limited bool
	// Why explains the decision for operators.
	Why string
	// Inputs are the values that the decision was based on, for policies that set them.
	Inputs DecisionInputs
}

// DecisionInputs are the values that a decision about a request was based on.
type DecisionInputs struct {
	// ExpectedLatency is the estimated time to the first token or the answer on the best server, MaxLatency the
	// longest time that the caller is assumed to wait for it.
	ExpectedLatency, MaxLatency time.Duration
	// UncachedTokens counts the prompt tokens that the server has to prefill, RequestsAhead the requests that it
	// runs first.
	UncachedTokens, RequestsAhead int
	// PeerStateAge is the age of the oldest state of another host that was used.
	PeerStateAge time.Duration
}

// CorePolicy is the part of a policy that a [Loop] requires. It is used by one goroutine, does no I/O and reads no
// clock.
type CorePolicy interface {
	// Arrive submits a new request.
	Arrive(now time.Time, r *request.Request) []Effect
	// Cancel drops a waiting request whose caller disconnected or whose key was withdrawn. A running request is
	// ended later by Finish.
	Cancel(now time.Time, id request.ID) []Effect
	// Progress reports that tokens were generated for a running request.
	Progress(now time.Time, id request.ID, tokens int)
	// Finish reports the end of an attempt.
	Finish(now time.Time, r request.Result) []Effect
	// Report passes a server's load report.
	Report(now time.Time, l Load) []Effect
	// Tick passes the current time; it is called at least every 100 ms.
	Tick(now time.Time) []Effect
}

// NoticeObserver is a [Policy] that uses what servers say about themselves.
type NoticeObserver interface {
	Notice(now time.Time, n Notice) []Effect
}

// Policy is a [CorePolicy] that is configured by releases and exchanges its state with other hosts.
type Policy interface {
	CorePolicy
	// Configure replaces the release; servers and classes that it no longer has are dropped.
	Configure(now time.Time, s *release.Snapshot) []Effect
	// Server passes a change of a server's state.
	Server(now time.Time, s ServerState) []Effect
	// Peer passes another host's state.
	Peer(now time.Time, h HostState) []Effect
	// State returns what this host reports to the other hosts.
	State(now time.Time) HostState
}
