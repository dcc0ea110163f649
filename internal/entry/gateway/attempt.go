package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/engine/bodybuffer"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// maxResponseBytes limits the body of a response that is not streamed.
const maxResponseBytes = 64 << 20

var errPreempted = errors.New("preempted for a higher tier")

// runAttempt sends c once to the backend server of e and forwards the response. It returns a Fault if the request
// must fail without another attempt.
func (g *Gateway) runAttempt(ctx context.Context, c *call, t *dispatch.Handle, e dispatch.Effect) (request.Result, *Fault) {
	res := request.Result{ID: c.req.ID, Server: e.Server, Outcome: request.Unreachable}
	// The server is looked up in the current configuration, which may be newer than the one that c started with.
	b, ok := g.holder.Current().Set.BackendServers[e.Server]
	if !ok {
		return res, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !c.response.unresumable {
		t.OnPreempt(func() { cancel(errPreempted) })
	}
	c.disablePreemption = func() { t.OnPreempt(nil) }
	defer t.OnPreempt(nil)
	ctx, span := g.tracer.Start(ctx, "backend call", trace.WithAttributes(
		attribute.String("server", e.Server), attribute.Int("attempt", e.Attempt)))
	defer span.End()
	start := time.Now()
	c.attempt, c.sentAt = e, start
	fault := g.exchange(ctx, c, b, &res)
	res.Elapsed = time.Since(start)
	if ctx.Err() != nil && res.Outcome != request.Completed {
		res.Outcome = request.Cancelled
		if errors.Is(context.Cause(ctx), errPreempted) {
			res.Outcome = request.Preempted
		}
	}
	res.Resumable = !c.response.unresumable
	span.SetAttributes(attribute.String("outcome", res.Outcome.String()), attribute.Int("tokens", res.OutputTokens))
	return res, fault
}

// exchange sends c to b, forwards the response and sets the outcome in res.
func (g *Gateway) exchange(ctx context.Context, c *call, b *object.BackendServerSpec, res *request.Result) *Fault {
	if c.atMostOnce.handle != nil {
		return g.exchangeAtMostOnce(ctx, c, b, res)
	}
	req, err := g.backendRequest(ctx, c, b)
	if err != nil {
		res.Outcome = request.Cancelled
		return &Fault{Kind: InvalidRequest, Code: "bad_request", Message: "the request cannot be converted to a backend request", Remedy: "check the method, path and body of the request"}
	}
	resp, err := g.backendTransport.RoundTrip(req)
	if err != nil {
		res.Outcome = transportErrorOutcome(err)
		return nil
	}
	defer resp.Body.Close()
	if mismatched(resp, c.req.ID) {
		g.metrics.GetOrCreateCounter(fmt.Sprintf(`crossed_answers_total{server=%q}`, b.Name)).Inc()
		g.log.Error().Str("Server", b.Name).Str("Request", string(c.req.ID)).Msg("backend server returned the response to another request; response discarded and connection closed")
		res.Outcome = request.Broken
		return nil
	}
	g.reportNotice(c, resp)
	if c.req.Model == "" {
		return g.forwardService(c, resp, res)
	}
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		res.Outcome = request.Rejected
		return nil
	case resp.StatusCode >= http.StatusInternalServerError, c.response.started && resp.StatusCode != http.StatusOK:
		// After the begin of a stream, nothing but the rest of that stream may follow.
		res.Outcome = request.Failed
		return nil
	case resp.StatusCode >= http.StatusBadRequest:
		return g.forwardBuffered(c, resp, res)
	case c.req.Streaming:
		return g.forwardStream(ctx, c, resp, res)
	}
	return g.forwardBuffered(c, resp, res)
}

// mismatched reports whether the X-Request-Id of resp is not the id of the request that was sent. A response
// without an id is accepted: such a server is trusted to respond in the order of its connection.
func mismatched(resp *http.Response, id request.ID) bool {
	respID := resp.Header.Get("X-Request-Id")
	return respID != "" && respID != string(id)
}

// transportErrorOutcome returns Unreachable if no connection was made, so that the request cannot have run, and
// Broken for any other transport error.
func transportErrorOutcome(err error) request.Outcome {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH) {
		return request.Unreachable
	}
	return request.Broken
}

// backendRequest builds the request to the backend server, without the credentials of the caller.
func (g *Gateway) backendRequest(ctx context.Context, c *call, b *object.BackendServerSpec) (*http.Request, error) {
	body := c.body
	if c.req.Model != "" {
		var err error
		if body, err = c.backendBody(); err != nil {
			return nil, err
		}
	}
	u := url.URL{Scheme: "http", Host: b.Address.String(), Path: c.r.URL.Path, RawPath: c.r.URL.RawPath, RawQuery: c.r.URL.RawQuery, ForceQuery: c.r.URL.ForceQuery}
	req, err := http.NewRequestWithContext(ctx, c.r.Method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = forwardHeaders(c.r.Header, c.secret)
	req.Header.Set("X-Request-Id", string(c.req.ID))
	if !c.req.Idempotent {
		// The transport retries a request on its own if it can rewind the body. A non-idempotent request
		// must not be sent twice, so its body is made impossible to rewind.
		req.GetBody = nil
		if len(body) > 0 {
			req.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)})
		}
	}
	propagator.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// forwardBuffered forwards a response that is not streamed, after reading the whole body.
func (g *Gateway) forwardBuffered(c *call, resp *http.Response, res *request.Result) *Fault {
	buf := g.buffers.NewBuffer()
	defer buf.Release()
	err := buf.ReadAll(resp.Body, maxResponseBytes)
	if err != nil && !errors.Is(err, bodybuffer.ErrTooLarge) {
		res.Outcome = request.Broken
		return nil
	}
	body := buf.Bytes()
	if err != nil {
		res.Outcome = request.Cancelled
		return &Fault{Kind: UpstreamFailed, Code: "answer_too_large", Message: fmt.Sprintf("the response of the backend server is larger than %d bytes", maxResponseBytes), Remedy: "request a smaller or a streamed response", Ran: request.DidRun}
	}
	usage := gjson.GetBytes(body, "usage")
	res.PromptTokens = int(usage.Get("prompt_tokens").Int())
	res.OutputTokens = int(usage.Get("completion_tokens").Int())
	res.CachedTokens = int(usage.Get("prompt_tokens_details.cached_tokens").Int())
	writeResponse(c, resp, body, res)
	if res.Outcome == request.Completed {
		res.Delivered = res.OutputTokens
	}
	return nil
}

// writeResponse writes a completely read response to the caller.
func writeResponse(c *call, resp *http.Response, body []byte, res *request.Result) {
	res.FirstToken = time.Since(c.req.Arrived)
	copyResponseHeaders(c.w.Header(), resp.Header)
	c.w.WriteHeader(resp.StatusCode)
	c.response.started = true
	res.Outcome = request.Completed
	if _, err := c.w.Write(body); err != nil {
		res.Outcome = request.Cancelled
	}
}

// copyResponseHeaders copies the headers of a backend response that a caller may see.
func copyResponseHeaders(dst, src http.Header) {
	for n, values := range src {
		if hopByHopHeaders[n] || n == "Content-Length" || n == "X-Request-Id" {
			continue
		}
		dst[n] = append([]string(nil), values...)
	}
}
