package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

//go:generate go tool stringer -type FaultKind -output fail_string.go

// FaultKind is the category of a [Fault]. It determines the HTTP status.
type FaultKind uint8

// The kinds of faults.
const (
	// InvalidRequest means that the caller must change the request.
	InvalidRequest FaultKind = iota
	Unauthenticated
	Forbidden
	UnknownTarget
	TooLarge
	RateLimited
	Overloaded
	Unavailable
	TimedOut
	UpstreamFailed
	Conflicting
	NotReady
)

// faultTypes maps each kind to the HTTP status and the "type" of the error object.
var faultTypes = map[FaultKind]struct {
	status int
	name   string
}{
	InvalidRequest:  {http.StatusBadRequest, "invalid_request_error"},
	Unauthenticated: {http.StatusUnauthorized, "authentication_error"},
	Forbidden:       {http.StatusForbidden, "permission_error"},
	UnknownTarget:   {http.StatusNotFound, "not_found_error"},
	TooLarge:        {http.StatusRequestEntityTooLarge, "invalid_request_error"},
	RateLimited:     {http.StatusTooManyRequests, "rate_limit_error"},
	Overloaded:      {http.StatusServiceUnavailable, "overloaded_error"},
	Unavailable:     {http.StatusServiceUnavailable, "unavailable_error"},
	TimedOut:        {http.StatusGatewayTimeout, "timeout_error"},
	UpstreamFailed:  {http.StatusBadGateway, "upstream_error"},
	Conflicting:     {http.StatusConflict, "conflict_error"},
	NotReady:        {http.StatusServiceUnavailable, "unavailable_error"},
}

// Fault is an error that is reported to the caller.
type Fault struct {
	Kind    FaultKind
	Code    string
	Message string
	Remedy  string
	// Ran says whether the request may have run on a backend server.
	Ran        request.Ran
	RetryAfter time.Duration
}

func (f *Fault) Error() string { return f.Message + "; " + f.Remedy }

// faultBody is the error body of the OpenAI API, extended by the fields remedy, ran and request_id.
type faultBody struct {
	Error struct {
		Message   string     `json:"message"`
		Type      string     `json:"type"`
		Param     *string    `json:"param"`
		Code      string     `json:"code"`
		Remedy    string     `json:"remedy"`
		Ran       string     `json:"ran"`
		RequestID request.ID `json:"request_id"`
	} `json:"error"`
}

var ranTexts = map[request.Ran]string{
	request.NotRun:     "not run",
	request.MayHaveRun: "may have run",
	request.DidRun:     "ran",
}

func (f *Fault) body(id request.ID) []byte {
	var b faultBody
	b.Error.Message = fmt.Sprintf("%s (%s)", f.Error(), ranTexts[f.Ran])
	b.Error.Type = faultTypes[f.Kind].name
	b.Error.Code = f.Code
	b.Error.Remedy = f.Remedy
	b.Error.Ran = ranTexts[f.Ran]
	b.Error.RequestID = id
	out, err := json.Marshal(b)
	if err != nil {
		return []byte(`{"error":{"message":"internal"}}`)
	}
	return out
}

func (f *Fault) write(w http.ResponseWriter, id request.ID) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", string(id))
	h.Set("X-Request-Ran", ranTexts[f.Ran])
	if f.RetryAfter > 0 {
		secs := int64((f.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(secs, 10))
	}
	w.WriteHeader(faultTypes[f.Kind].status)
	_, _ = w.Write(f.body(id))
}

// refusalFaults maps each reason for which the dispatcher refuses a request to the Fault for the caller.
var refusalFaults = map[dispatch.RefusalReason]Fault{
	dispatch.Overload:     {Kind: Overloaded, Code: "overloaded", Message: "requests of this class are rejected because of overload", Remedy: "retry after the time in Retry-After"},
	dispatch.OverLimit:    {Kind: RateLimited, Code: "over_limit", Message: "the organisation is over its limit", Remedy: "retry after the time in Retry-After or ask the operator to raise the limit"},
	dispatch.NoServer:     {Kind: Unavailable, Code: "no_server", Message: "no backend server can run the request now", Remedy: "retry after the time in Retry-After"},
	dispatch.PastDeadline: {Kind: TimedOut, Code: "deadline", Message: "the request could not start before its deadline", Remedy: "retry with a later deadline or another class"},
	dispatch.CrashSuspect: {Kind: InvalidRequest, Code: "crash_suspect", Message: "the request was rejected because a backend server crashed in earlier runs of it", Remedy: "change the request, or ask the operator to lift its crash mark"},
	dispatch.Exhausted:    {Kind: UpstreamFailed, Code: "attempts_exhausted", Message: "no attempt returned a complete response", Remedy: "retry if it is safe to repeat the request"},
	dispatch.KeyWithdrawn: {Kind: Unauthenticated, Code: "key_withdrawn", Message: "the API key was withdrawn", Remedy: "use another key"},
}

func refusalFault(e dispatch.Effect) *Fault {
	f, ok := refusalFaults[e.Reason]
	if !ok {
		f = refusalFaults[dispatch.Exhausted]
	}
	f.Ran = e.Ran
	f.RetryAfter = e.RetryAfter
	return &f
}
