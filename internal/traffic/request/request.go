// Package request defines what the decisions know of a caller's request: who
// asked, in which class, how much work it is expected to be, and how it ended.
// It holds no prompt, body or key.
package request

import (
	"time"
)

//go:generate go tool stringer -type Outcome,Ran -output request_string.go

// ID names a request in all hosts. It is also the answer's request id.
type ID string

// Request is a request as the decisions see it.
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
	// Idempotent work may run again.
	Idempotent bool
	// Streaming answers reach the caller token by token.
	Streaming bool
	// Attempts is the highest number of tries, the first included.
	Attempts int
	// PromptTokens is the estimated input and MaxTokens the caller's bound on the output; 0 is unbounded.
	PromptTokens int
	MaxTokens    int
	// Prefix holds hashes of the prompt's leading blocks, the first block first.
	Prefix []uint64
	// Fingerprint is a digest of the content, to know a resent request again.
	Fingerprint uint64
	Arrived     time.Time
	Deadline    time.Time
	// Zone is the availability zone of the host that took the request.
	Zone string
	// Parts of the prompt, in order, where the caller names them. The last belongs to the request or its session.
	Parts []Part
	// Goal is the time from Arrived to the first token, or to the whole answer without streaming, at full value.
	Goal time.Duration
	// GapTarget is the longest pause between two events at full value.
	GapTarget time.Duration
}

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Ran says whether a request may have run on a backend server.
type Ran uint8

// What is known of a request's run.
const (
	// NotRun is stated only when no backend server got the request.
	NotRun Ran = iota
	// MayHaveRun is stated whenever a backend server may have got it.
	MayHaveRun
	// DidRun is stated when a backend server answered.
	DidRun
)

// Outcome is how one attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Completed attempts gave a whole answer.
	Completed Outcome = iota
	// Rejected attempts were refused by the server before it ran them.
	Rejected
	// Unreachable attempts did not reach the server: the connection was refused.
	Unreachable
	// Broken attempts lost the server after it may have begun.
	Broken
	// Failed attempts were answered with a server error.
	Failed
	// Cancelled attempts were ended by the caller, a withdrawal or a deadline.
	Cancelled
	// Preempted attempts were ended for a higher tier, to be resumed.
	Preempted
)

// Result is the end of one attempt.
type Result struct {
	ID      ID
	Server  string
	Outcome Outcome
	// OutputTokens is what the attempt generated, and Delivered what reached the caller.
	OutputTokens int
	Delivered    int
	// Resumable tells that what was delivered can be continued exactly on another server.
	Resumable    bool
	PromptTokens int
	CachedTokens int
	FirstToken   time.Duration
	Elapsed      time.Duration
	// WrongServer tells that another server than the one meant was at the address, and rejected the request.
	WrongServer bool
}
