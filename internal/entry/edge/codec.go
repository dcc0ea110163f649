// Package edge implements the reverse proxy of a host of the edge command, whose
// callers and backend servers speak plain HTTP. It reads a caller's request, lets a placement policy
// choose the backend server, forwards the request and the response unchanged, and
// resumes interrupted event streams on another server. Only the [Codec] knows the
// names of the headers.
package edge

import (
	"net/http"
	"net/netip"
	"time"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/request"
)

// RequestHeaders holds the decoded headers of a caller's request.
type RequestHeaders struct {
	// ID identifies the caller's attempt.
	ID string
	// Key is the caller's API key.
	Key string
	// Timeout is how long the caller waits, or 0 if it is not stated.
	Timeout      time.Duration
	PromptTokens int
	MaxTokens    int
	// Parts are the parts of the prompt that other requests may share.
	Parts []request.Part
	// LastEventID is the ID of the last event that the caller received, or empty for a new stream.
	LastEventID string
	// Malformed names the headers that could not be parsed. They hold hints only, so the request is served
	// without them.
	Malformed []string
}

// ForwardHeaders holds what the host adds to the headers of a request that it forwards to a backend server.
type ForwardHeaders struct {
	// Remaining is how much longer the caller waits.
	Remaining time.Duration
	// Server is the backend server that is expected to receive the request.
	Server       backend.Server
	Organisation string
	// Urgency orders the requests at the server, 0 first. A negative value is not sent.
	Urgency int
	// LastEventID is the ID of the last event that the caller received, or empty for a new stream.
	LastEventID string
	// FetchFrom is the address of a server whose KV cache holds more of the prompt. The zero value means none.
	FetchFrom netip.AddrPort
}

// ResponseHeaders holds the decoded headers of a backend server's response.
type ResponseHeaders struct {
	// ID identifies the caller's attempt that the response belongs to. It is empty if it is not stated.
	ID string
	// Sealed reports whether the response carries the server's seal. A successful response without one is not
	// forwarded to the caller.
	Sealed bool
	// NotRun reports whether the response guarantees that the request has not run.
	NotRun bool
	// WrongServer reports whether the response comes from another server than the one in [ForwardHeaders].
	WrongServer bool
	// Running and Waiting count the server's requests. They are set if LoadKnown.
	Running, Waiting int
	LoadKnown        bool
	// Slowdown is how long work takes on the server at this moment, as a multiple of the usual; 0 if it does not say.
	Slowdown float64
	// Limited is set if the server takes at most RequestRate requests per second from all hosts together.
	Limited     bool
	RequestRate float64
	// Leaving reports whether the server will stop and takes no new requests.
	Leaving bool
	// RetryAfter is the time for which the server, which has refused a request, takes no requests of this host.
	RetryAfter time.Duration
	// Malformed names the headers that could not be parsed and that do not affect the handling of the response.
	Malformed []string
}

// Codec reads and writes the platform's headers.
type Codec interface {
	// DecodeRequest parses the headers of a caller's request.
	DecodeRequest(h http.Header) (RequestHeaders, error)
	// EncodeRequest replaces those headers in h that only the host may set.
	EncodeRequest(h http.Header, o ForwardHeaders)
	// DecodeResponse parses the status and the headers of a backend server's response.
	DecodeResponse(status int, h http.Header) ResponseHeaders
	// EventFields returns the names of the fields of a stream's event beside those that text/event-stream defines.
	EventFields() []string
}
