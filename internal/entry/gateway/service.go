package gateway

import (
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"shallotramp/internal/traffic/request"
)

// idempotencyHeader names a non-idempotent call, so that a resent one is known again.
const idempotencyHeader = "Idempotency-Key"

// maxIdempotencyKeyBytes bounds the name of a call.
const maxIdempotencyKeyBytes = 255

// safeMethods change nothing on a service that keeps to HTTP.
var safeMethods = map[string]bool{http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true}

// readService fills in what the path and headers of a service request say.
func (g *Gateway) readService(c *call) *Fault {
	route, ok := c.snap.PathRoute(c.r.URL.Path)
	if !ok {
		return &Fault{Kind: UnknownTarget, Code: "unknown_path", Message: "no route serves the path", Remedy: "use a path under /v1/ or the prefix of a route"}
	}
	if f := g.target(c, route, c.r.Header.Get(classHeader)); f != nil {
		return f
	}
	if safeMethods[c.r.Method] {
		c.req.Idempotent = true
		c.req.Attempts = max(c.req.Attempts, defaultAttempts)
	}
	keys := c.r.Header.Values(idempotencyHeader)
	if len(keys) > 1 || (len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxIdempotencyKeyBytes)) {
		return &Fault{Kind: InvalidRequest, Code: "bad_idempotency_key", Message: "the request has several, an empty or an overlong Idempotency-Key", Remedy: "send one of at most 255 bytes"}
	}
	if !c.req.Idempotent && len(keys) == 0 {
		return &Fault{Kind: InvalidRequest, Code: "missing_idempotency_key", Message: "the route runs a call at most once and needs an Idempotency-Key", Remedy: "send one that is new for each booking or order, and the same one when you resend it"}
	}
	c.req.PromptTokens = 1
	c.req.Fingerprint = xxhash.Sum64(c.body)
	return nil
}

// relayService passes on the answer of a plain service with its status and headers.
func (g *Gateway) relayService(c *call, answer *http.Response, res *request.Result) *Fault {
	if c.req.Idempotent && (answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusBadGateway) {
		res.Outcome = request.Failed
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		res.Outcome = request.Broken
		return nil
	}
	passOn(c, answer, body, res)
	return nil
}
