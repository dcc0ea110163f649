package gateway

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"shallotramp/internal/traffic/request"
)

// idempotencyHeader is the header that identifies a non-idempotent call, so that a resent call is recognised.
const idempotencyHeader = "Idempotency-Key"

// maxIdempotencyKeyBytes limits the length of an Idempotency-Key.
const maxIdempotencyKeyBytes = 255

// safeMethods are the HTTP methods that do not change the state of a service that follows the HTTP semantics.
var safeMethods = map[string]bool{http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true}

// parseServiceRequest fills in the request from the path and headers of a request to a plain HTTP service.
func (g *Gateway) parseServiceRequest(c *call) *Fault {
	route, ok := c.snap.PathRoute(c.r.URL.Path)
	if !ok {
		return &Fault{Kind: UnknownTarget, Code: "unknown_path", Message: "no route matches the path", Remedy: "use a path under /v1/ or the prefix of a route"}
	}
	if f := g.resolveRoute(c, route, c.r.Header.Get(classHeader)); f != nil {
		return f
	}
	if safeMethods[c.r.Method] {
		c.req.Idempotent = true
		c.req.Attempts = max(c.req.Attempts, defaultAttempts)
	}
	keys := c.r.Header.Values(idempotencyHeader)
	if len(keys) > 1 || (len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxIdempotencyKeyBytes)) {
		return &Fault{Kind: InvalidRequest, Code: "bad_idempotency_key", Message: "the request has more than one Idempotency-Key, or one that is empty or too long", Remedy: "send exactly one key of at most 255 bytes"}
	}
	if !c.req.Idempotent && len(keys) == 0 {
		return &Fault{Kind: InvalidRequest, Code: "missing_idempotency_key", Message: "the route runs each call at most once and requires an Idempotency-Key", Remedy: "use a new key for each booking or order, and the same key when you resend it"}
	}
	c.req.PromptTokens = 1
	c.req.Fingerprint = xxhash.Sum64(c.body)
	return nil
}

// forwardService forwards the response of a plain HTTP service with its status and headers.
func (g *Gateway) forwardService(c *call, resp *http.Response, res *request.Result) *Fault {
	if c.req.Idempotent && (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusBadGateway) {
		res.Outcome = request.Failed
		return nil
	}
	buf := g.buffers.NewBuffer()
	defer buf.Release()
	if err := buf.ReadAll(resp.Body, maxResponseBytes); err != nil {
		res.Outcome = request.Broken
		return nil
	}
	writeResponse(c, resp, buf.Bytes(), res)
	return nil
}
