// Package edge is the data path of a host whose callers and backend servers
// speak plain HTTP: it reads a caller's request, lets a policy choose the backend
// server, passes request and answer on unchanged, and resumes streams. The names
// of headers belong to the [Codec].
package edge

import (
	"net/http"
	"net/netip"
	"time"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/request"
)

// RequestHeaders is what a caller's request says in its headers.
type RequestHeaders struct {
	// ID names the caller's attempt.
	ID  string
	Key string
	// Timeout is how long the caller waits, 0 if it does not say.
	Timeout      time.Duration
	PromptTokens int
	MaxTokens    int
	Parts        []request.Part
	// LastEventID is the last event that the caller has, empty for a new stream.
	LastEventID string
	// Malformed names headers with hints that could not be read: the request is served without them.
	Malformed []string
}

// ForwardHeaders is what the host tells a backend server beside the caller's request.
type ForwardHeaders struct {
	// Remaining is how much longer the caller waits.
	Remaining    time.Duration
	Server       backend.Server
	Organisation string
	// Urgency orders requests at the server, 0 first; below 0 it is not told.
	Urgency int
	// LastEventID is the last event that the caller has, empty for a new stream.
	LastEventID string
	// FetchFrom is a server whose cache holds more of the prompt; invalid for none.
	FetchFrom netip.AddrPort
}

// ResponseHeaders is what a backend server's answer says in its headers.
type ResponseHeaders struct {
	// ID is the caller's attempt that the answer belongs to, empty if it does not say.
	ID string
	// Sealed answers carry the server's seal.
	Sealed bool
	// NotRun answers promise that the request has not run.
	NotRun bool
	// WrongServer answers come from another server than the one that was meant.
	WrongServer bool
	// Load is what the server says of its load, if LoadKnown.
	Running, Waiting int
	LoadKnown        bool
	// Malformed names headers that could not be read and that decide nothing about the answer.
	Malformed []string
}

// Codec knows the names of the headers.
type Codec interface {
	// DecodeRequest reads a caller's headers.
	DecodeRequest(h http.Header) (RequestHeaders, error)
	// EncodeRequest replaces in h what only the host may say.
	EncodeRequest(h http.Header, o ForwardHeaders)
	// DecodeResponse reads the status and headers of a backend server's answer.
	DecodeResponse(status int, h http.Header) ResponseHeaders
}
