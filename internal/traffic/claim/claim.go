// Package claim ensures that non-idempotent calls, such as bookings and orders,
// run at most once. A call is identified by its organisation, route and
// idempotency key. Before a request sends the call to a backend server, it claims
// the call by an entry in the platform's store. When the caller resends the
// call, any host finds that entry and answers with the recorded reply, or reports
// that the call may have run.
//
// The entries are distributed over a fixed number of shard objects by the digest
// of the key. Shards are only changed by conditional updates. Each write of a
// shard drops the entries that are past their retention, so shard objects never
// have to be deleted. [Core] makes the decisions and does no I/O; [Claimer] carries
// out its effects.
package claim

import (
	"crypto/sha256"
	_ "embed"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"time"

	"shallotramp/internal/ops/statechart"
	"shallotramp/internal/traffic/request"
)

//go:generate go tool stringer -type State,Event,Phase,EffectKind,Verdict,ResultKind,Outcome -output claim_string.go

// Kind is the kind of the shard objects in the platform's store.
const Kind = "Claim"

// digestBytes is the length of the digests of keys and bodies.
const digestBytes = 16

// State is the state of one request to run a non-idempotent call.
type State uint8

// The states of a request, see claim_chart.json.
const (
	// Looking requests read the shard to find an earlier claim of the call.
	Looking State = iota
	// Waiting requests found a claim of another request whose result is not recorded yet.
	Waiting
	// Queued requests found no other claim and wait for a backend server.
	Queued
	// Claiming requests wait until the platform's store has written their claim.
	Claiming
	// Claimed requests hold the claim and may be sent.
	Claimed
	// Sent requests may have reached a backend server.
	Sent
	// Releasing requests wait for the write that removes their claim, if there is one, and so confirms that the call
	// has not run.
	Releasing
	// Done requests were answered by a backend server.
	Done
	// Unknown requests ended without a known result; the call may have run.
	Unknown
	// NotRun requests ended with the confirmation that the call has not run.
	NotRun
	// Replayed requests were answered from the recorded result of an earlier one.
	Replayed
)

// Event moves a request from one state to another.
type Event uint8

// The events of a request.
const (
	// Absent means that the shard has no entry of another request for the key.
	Absent Event = iota
	// Found means that another request has claimed the call and its result is not recorded yet.
	Found
	// Recorded means that the shard has the result of an earlier request, or a claim of another call under the same key.
	Recorded
	// Unresolved means that it is unknown whether the call ran.
	Unresolved
	// Claim starts to claim the call.
	Claim
	// Refuse ends a request that will not be sent.
	Refuse
	// Confirmed means that the claim of this request was written.
	Confirmed
	// Send permits the request to be sent.
	Send
	// Answered means that the backend server gave a complete response.
	Answered
	// Broken means that the request may have reached a backend server, but got no complete response.
	Broken
	// Unreached means that the request did not reach a backend server.
	Unreached
	// Released means that the shard has no entry for the key after the release was written.
	Released
)

//go:embed claim_chart.json
var chartFile []byte

var claimChart = statechart.MustLoad[State, Event](chartFile)

// Chart returns the state chart of claims.
func Chart() *statechart.Chart[State, Event] { return claimChart }

// Config holds the durations and limits of claims. Shards must be the same on all hosts.
type Config struct {
	// Shards is the number of shard objects. It determines the shard of each key, which must not change while
	// an entry for the key is retained.
	Shards int
	// SendWindow is how long a call may be sent, counted from the time at which its claim was started.
	SendWindow time.Duration
	// ClaimTimeout bounds the lookup and the claim of a call, ReleaseTimeout the wait for the confirmation that a
	// refused call has not run, and WaitTimeout the wait for the result of an earlier request.
	ClaimTimeout, ReleaseTimeout, WaitTimeout time.Duration
	// CleanupTimeout bounds the attempts to write a result or a release after the request has ended.
	CleanupTimeout time.Duration
	// RetryDelay is the mean delay after a failed read or write, and PollDelay the first delay between two reads
	// for a waiting request.
	RetryDelay, PollDelay time.Duration
	// BatchDelay delays a write so that further operations on the same shard can join it.
	BatchDelay time.Duration
	// Retention is how long an entry is kept, and ReplyRetention how long its reply is kept. The host that writes
	// the shard checks both by its own clock. That may be wrong by MaxClockSkew, so both are kept longer by as much.
	Retention, ReplyRetention, MaxClockSkew time.Duration
	// MaxReplyBytes is the size limit of a recorded reply, MaxShardBytes that of a shard.
	MaxReplyBytes, MaxShardBytes int
}

// DefaultConfig returns the configuration that hosts use.
func DefaultConfig() Config {
	return Config{
		Shards: 1 << 16, SendWindow: 10 * time.Second,
		ClaimTimeout: 5 * time.Second, ReleaseTimeout: 2 * time.Second, WaitTimeout: 10 * time.Second,
		CleanupTimeout: time.Minute, RetryDelay: 100 * time.Millisecond, PollDelay: 100 * time.Millisecond,
		Retention: 24 * time.Hour, ReplyRetention: time.Hour, MaxClockSkew: 10 * time.Minute,
		MaxReplyBytes: 4 << 10, MaxShardBytes: 512 << 10,
	}
}

// Key identifies a call. It is a digest of the call's organisation, route and idempotency key.
type Key string

// KeyOf returns the key of a call. The digest includes the length of each part, so that different parts
// never give the same input.
func KeyOf(organisation, route, idempotencyKey string) Key {
	return Key(digest([]byte(organisation), []byte(route), []byte(idempotencyKey)))
}

// Fingerprint is the digest of the method, target and body of a call. All requests with the same key must have
// the same fingerprint.
type Fingerprint string

// FingerprintOf returns the fingerprint of a call.
func FingerprintOf(method, target string, body []byte) Fingerprint {
	return Fingerprint(digest([]byte(method), []byte(target), body))
}

func digest(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		h.Write(p)
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:digestBytes])
}

// shard returns the index of the shard of k, of n shards.
func (k Key) shard(n int) int {
	sum := sha256.Sum256([]byte(k))
	return int(binary.BigEndian.Uint64(sum[:8]) % uint64(n))
}

// shardName returns the object name of a shard.
func shardName(shard int) string { return fmt.Sprintf("claims-%04x", shard) }

// Request is a request to run a call.
type Request struct {
	ID          request.ID
	Key         Key
	Fingerprint Fingerprint
	Deadline    time.Time
}

// ResultKind is how sending a call ended.
type ResultKind uint8

// The results of sending a call.
const (
	// ServerAnswered means that the backend server gave a complete response.
	ServerAnswered ResultKind = iota
	// ServerUnreached means that the call certainly was not sent: the host made no connection, or did not send.
	ServerUnreached
	// ServerLost means that the call may have reached a backend server, but got no complete response; it may have run.
	ServerLost
)

// Result is the result of sending a call. Reply is set for ServerAnswered.
type Result struct {
	Kind  ResultKind
	Reply Reply
}

// Verdict is the result of a request as reported to its caller.
type Verdict uint8

// The verdicts.
const (
	// Replay means that the call ran earlier and its recorded reply is returned.
	Replay Verdict = iota
	// Ran means that the call ran earlier, but its reply is no longer kept.
	Ran
	// MayHaveRun means that it is unknown whether the call ran.
	MayHaveRun
	// NeverRan means that the call had not run when the platform's store confirmed the release of the claim.
	NeverRan
	// Unasked means that the claim could not be read or written: this request was not sent, but an earlier one may
	// have run the call.
	Unasked
	// OtherPrint means that an earlier request with the same key had another fingerprint.
	OtherPrint
)

// EffectKind is the kind of an [Effect].
type EffectKind uint8

// The kinds of effects.
const (
	// ReadShard reads a shard; the result is given to [Core.ReadDone].
	ReadShard EffectKind = iota
	// WriteShard creates the shard, or updates it if it still has Version; the result is given to [Core.WriteDone].
	WriteShard
	// Proceed lets a new request go to the queue, and a request that already tried to claim the call try again.
	Proceed
	// SendCall permits the call to be sent before the time SendBefore.
	SendCall
	// Tell ends the request and gives Verdict and Reply to its caller.
	Tell
)

// Effect is one action that a [Core] asks its caller to carry out.
type Effect struct {
	Kind EffectKind
	// Shard is set for ReadShard and WriteShard, Content and Version for WriteShard. An empty Version creates the shard.
	Shard   int
	Content Content
	Version string
	// ID is set for Proceed, SendCall and Tell, SendBefore for SendCall, Verdict and Reply for Tell.
	ID         request.ID
	SendBefore time.Time
	Verdict    Verdict
	Reply      Reply
}

// Outcome is the result of writing a shard.
type Outcome uint8

// The outcomes of a write.
const (
	// Written means that the write took effect.
	Written Outcome = iota
	// Overtaken means that the write had no effect because the shard has another version.
	Overtaken
	// Denied means that the write had no effect because the platform's store rejected it.
	Denied
	// Lost means that no response came: the write may have taken effect, or may still do so.
	Lost
)
