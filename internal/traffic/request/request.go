// Package request defines what placement and scheduling policies know about a
// caller's request: whose it is, its class, how much work it is expected to be,
// and how it ended. It holds no prompt, body or key.
package request

import (
	"time"
)

//go:generate go tool stringer -type Outcome,Ran -output request_string.go

// ID identifies a request on all hosts. It is also the request ID in the answer.
type ID string

// Request describes a request to the policies.
type Request struct {
	ID           ID
	Organisation string
	// KeyName is the name of the key object, never the key.
	KeyName string
	Class   string
	Tier    int
	Route   string
	Pool    string
	Model   string
	Adapter string
	Version string
	// Idempotent requests may be retried after they may have run.
	Idempotent bool
	// Streaming answers are sent to the caller token by token.
	Streaming bool
	// Attempts is the maximum number of attempts, including the first.
	Attempts int
	// PromptTokens is the estimated input, and MaxTokens the caller's limit on the output; 0 means no limit.
	PromptTokens int
	MaxTokens    int
	// Prefix holds the hashes of the prompt's leading blocks, in order; see [PrefixOf].
	Prefix []uint64
	// Fingerprint is a digest of the content, by which a resent request is recognised.
	Fingerprint uint64
	Arrived     time.Time
	Deadline    time.Time
	// Zone is the availability zone of the host that received the request.
	Zone string
	// Parts are the parts of the prompt, in order, if the caller describes them. The last part belongs to this
	// request or its session only.
	Parts []Part
	// Goal is the target for the time from Arrived to the first token or, without streaming, to the whole
	// answer. A later one is worth less to the caller.
	Goal time.Duration
	// GapTarget is the target for the longest pause between two events. A longer one is worth less to the caller.
	GapTarget time.Duration
}

// SharedParts returns the IDs of the parts that other requests may share, in order.
func (r *Request) SharedParts() []uint64 {
	if len(r.Parts) < 2 {
		return nil
	}
	out := make([]uint64, 0, len(r.Parts)-1)
	for _, x := range r.Parts[:len(r.Parts)-1] {
		out = append(out, x.ID)
	}
	return out
}

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Ran says whether a request may have run on a backend server.
type Ran uint8

// The values of [Ran].
const (
	// NotRun is reported only when no backend server received the request.
	NotRun Ran = iota
	// MayHaveRun is reported whenever a backend server may have received it.
	MayHaveRun
	// DidRun is reported when a backend server answered.
	DidRun
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Completed attempts returned a complete answer.
	Completed Outcome = iota
	// Rejected attempts were refused by the server before it ran them.
	Rejected
	// Unreachable attempts did not reach the server: the connection was refused.
	Unreachable
	// Broken attempts lost the connection after the server may have begun to run them.
	Broken
	// Failed attempts were answered with a server error.
	Failed
	// Cancelled attempts were ended by the caller, a withdrawn key or a deadline.
	Cancelled
	// Preempted attempts were ended in favour of a higher tier and are resumed later.
	Preempted
)

// Result describes the end of an attempt.
type Result struct {
	ID      ID
	Server  string
	Outcome Outcome
	// OutputTokens counts the tokens that the attempt generated, and Delivered those sent to the caller.
	OutputTokens int
	Delivered    int
	// Resumable says that the delivered output can be continued exactly on another server.
	Resumable    bool
	PromptTokens int
	CachedTokens int
	FirstToken   time.Duration
	Elapsed      time.Duration
	// WrongServer says that the request was rejected because another server than the chosen one was at the
	// address.
	WrongServer bool
}
