// Package claim runs bookings and orders at most once. Before a non-idempotent
// call is sent, it is claimed on the platform under its organisation, route and
// idempotency key; a resend to any host then finds the recorded outcome, or is
// told truthfully that the call may have run.
//
// Claims are kept in a fixed number of shard objects, by the digest of the key,
// each changed by conditional update only. A shard's writer drops what is past
// its retention, so that nothing has to be deleted. [Core] decides, without I/O;
// [Book] carries its effects out.
package claim

import (
	"crypto/sha256"
	_ "embed"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"time"

	"shallotramp/internal/ops/chart"
	"shallotramp/internal/traffic/request"
)

//go:generate go tool stringer -type State,Event,Phase,EffectKind,Verdict,ResultKind,Outcome -output claim_string.go

// Kind is the kind of the shard objects on the platform.
const Kind = "Claim"

// digestBytes is the length of the digests of keys and bodies.
const digestBytes = 16

// State is the state of one request for a non-idempotent call.
type State uint8

// The states of a request, see claim_chart.json.
const (
	// Looking requests read whether the key was claimed before.
	Looking State = iota
	// Waiting requests found a claim without an outcome.
	Waiting
	// Queued requests found no claim and wait for a backend server.
	Queued
	// Claiming requests have a claim on its way to the platform.
	Claiming
	// Claimed requests may be sent.
	Claimed
	// Sent requests may have reached a backend server.
	Sent
	// Releasing requests prove that the call has not run.
	Releasing
	// Done requests were answered by a backend server.
	Done
	// Unknown requests may have run.
	Unknown
	// NotRun requests are proved not to have run.
	NotRun
	// Replayed requests got the recorded outcome of an earlier one.
	Replayed
)

// Event moves a request from one state to another.
type Event uint8

// The events of a request.
const (
	Absent Event = iota
	Found
	Recorded
	Unresolved
	Claim
	Refuse
	Confirmed
	Send
	Answered
	Broken
	Unreached
	Released
)

//go:embed claim_chart.json
var chartFile []byte

var claimChart = chart.MustLoad[State, Event](chartFile)

// Chart returns the state chart of claims.
func Chart() *chart.Chart[State, Event] { return claimChart }

// Config holds the times and bounds of claims. Shards must be the same on all hosts.
type Config struct {
	// Shards is the number of objects that hold claims. A key's shard must not change while its claim is kept.
	Shards int
	// SendWindow is how long after its claim began a call may still be sent.
	SendWindow time.Duration
	// ClaimTimeout bounds the wait for a claim, ReleaseTimeout the wait for the proof that a refused call has not
	// run, and WaitTimeout that for the outcome of an earlier request.
	ClaimTimeout, ReleaseTimeout, WaitTimeout time.Duration
	// CleanupTimeout bounds the time in which an outcome or a release is written after the request has ended.
	CleanupTimeout time.Duration
	// RetryDelay is the delay after a failed call, and Poll the first delay between two reads of a waiting request.
	RetryDelay, PollDelay time.Duration
	// BatchDelay delays a write so that more claims of its shard join it.
	BatchDelay time.Duration
	// Retention is how long a key stays claimed, and ReplyRetention how long its answer is kept. Both are
	// compared with the clock of the host that writes the shard, which may be wrong by Skew.
	Retention, ReplyRetention, MaxClockSkew time.Duration
	// MaxReplyBytes bounds a kept answer, MaxShardBytes a shard.
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

// Key is the digest under which a call is claimed.
type Key string

// KeyOf returns the key of a call. Each part is measured, so that no two calls share a text.
func KeyOf(organisation, route, idempotencyKey string) Key {
	return Key(digest([]byte(organisation), []byte(route), []byte(idempotencyKey)))
}

// Fingerprint is the digest of what a call asks for. One key names one print.
type Fingerprint string

// FingerprintOf returns the print of a call.
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

// shard returns the shard of k among n.
func (k Key) shard(n int) int {
	sum := sha256.Sum256([]byte(k))
	return int(binary.BigEndian.Uint64(sum[:8]) % uint64(n))
}

// shardName returns the name of the object of a shard.
func shardName(shard int) string { return fmt.Sprintf("claims-%04x", shard) }

// Request is a new request for a call.
type Request struct {
	ID          request.ID
	Key         Key
	Fingerprint Fingerprint
	Deadline    time.Time
}

// ResultKind tells how a sending ended.
type ResultKind uint8

// The results of a sending.
const (
	// ServerAnswered sendings got a whole answer.
	ServerAnswered ResultKind = iota
	// ServerUnreached sendings are proved not to have left: no connection was made, or the host did not send.
	ServerUnreached
	// ServerLost sendings may have run.
	ServerLost
)

// Result is the end of a sending; Reply is set for ServerAnswered.
type Result struct {
	Kind  ResultKind
	Reply Reply
}

// Verdict is what a request's caller is told.
type Verdict uint8

// The verdicts.
const (
	// Replay verdicts carry the recorded answer.
	Replay Verdict = iota
	// Ran verdicts tell that the call ran, but its answer is not kept.
	Ran
	// MayHaveRun verdicts tell that the call may have run.
	MayHaveRun
	// NeverRan verdicts tell that the call had not run when the platform was asked.
	NeverRan
	// Unasked verdicts tell that the platform did not answer: this request was not sent, but an earlier one may have run.
	Unasked
	// OtherPrint verdicts tell that the key names another call.
	OtherPrint
)

// EffectKind tells what is to be done.
type EffectKind uint8

// The kinds of effects.
const (
	// ReadShard reads a shard; the result is given to [Core.ReadDone].
	ReadShard EffectKind = iota
	// WriteShard creates the shard, or updates it if it still has Version; the result is given to [Core.WriteDone].
	WriteShard
	// Proceed lets the request go to the queue.
	Proceed
	// SendCall lets the call be sent, if the sending begins before Until.
	SendCall
	// Tell ends the request with Verdict.
	Tell
)

// Effect is one thing that a [Core] wants done.
type Effect struct {
	Kind EffectKind
	// Shard, Content and Version are set for ReadShard and WriteShard. An empty Version creates the shard.
	Shard   int
	Content Content
	Version string
	// ID is set for the others.
	ID         request.ID
	SendBefore time.Time
	Verdict    Verdict
	Reply      Reply
}

// Outcome is the result of a write to the platform.
type Outcome uint8

// The outcomes of a write.
const (
	// Written shards are as wanted.
	Written Outcome = iota
	// Overtaken writes had no effect, for the shard has another version.
	Overtaken
	// Denied writes had no effect, for the platform refused the call.
	Denied
	// Lost writes may have taken effect, or may still do so.
	Lost
)
