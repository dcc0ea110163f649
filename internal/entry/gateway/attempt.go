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
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// maxAnswerBytes bounds an answer that is not streamed.
const maxAnswerBytes = 64 << 20

var errPreempted = errors.New("preempted for a higher tier")

// attempt runs c once on the server of e. A fault is returned when the answer cannot go on.
func (g *Gateway) attempt(ctx context.Context, c *call, t *dispatch.Ticket, e dispatch.Effect) (request.Result, *Fault) {
	res := request.Result{ID: c.req.ID, Server: e.Server, Outcome: request.Unreachable}
	// The release in force may be newer than that of the call.
	b, ok := g.holder.Current().Set.BackendServers[e.Server]
	if !ok {
		return res, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !c.answer.unresumable {
		t.OnPreempt(func() { cancel(errPreempted) })
	}
	c.keep = func() { t.OnPreempt(nil) }
	defer t.OnPreempt(nil)
	ctx, span := g.tracer.Start(ctx, "backend call", trace.WithAttributes(
		attribute.String("server", e.Server), attribute.Int("attempt", e.Attempt)))
	defer span.End()
	begun := time.Now()
	fault := g.exchange(ctx, c, b, &res)
	res.Elapsed = time.Since(begun)
	if ctx.Err() != nil && res.Outcome != request.Completed {
		res.Outcome = request.Cancelled
		if errors.Is(context.Cause(ctx), errPreempted) {
			res.Outcome = request.Preempted
		}
	}
	res.Resumable = !c.answer.unresumable
	span.SetAttributes(attribute.String("outcome", res.Outcome.String()), attribute.Int("tokens", res.OutputTokens))
	return res, fault
}

// exchange sends c to b and relays the answer. It sets the outcome of res.
func (g *Gateway) exchange(ctx context.Context, c *call, b *object.BackendServerSpec, res *request.Result) *Fault {
	if c.once.ticket != nil {
		return g.exchangeOnce(ctx, c, b, res)
	}
	req, err := g.outgoing(ctx, c, b)
	if err != nil {
		res.Outcome = request.Cancelled
		return &Fault{Kind: InvalidRequest, Code: "bad_request", Message: "the request cannot be forwarded", Remedy: "correct it"}
	}
	answer, err := g.backends.RoundTrip(req)
	if err != nil {
		res.Outcome = outcomeOf(err)
		return nil
	}
	defer answer.Body.Close()
	if crossed(answer, c.req.ID) {
		g.metrics.GetOrCreateCounter(fmt.Sprintf(`crossed_answers_total{server=%q}`, b.Name)).Inc()
		g.log.Error().Str("Server", b.Name).Str("Request", string(c.req.ID)).Msg("a backend server answered with another request's answer; its connection is closed")
		res.Outcome = request.Broken
		return nil
	}
	if c.req.Model == "" {
		return g.relayService(c, answer, res)
	}
	switch {
	case answer.StatusCode == http.StatusTooManyRequests || answer.StatusCode == http.StatusServiceUnavailable:
		res.Outcome = request.Rejected
		return nil
	case answer.StatusCode >= http.StatusInternalServerError:
		res.Outcome = request.Failed
		return nil
	case answer.StatusCode >= http.StatusBadRequest:
		return g.relayWhole(c, answer, res)
	case c.req.Streaming:
		return g.relayStream(ctx, c, answer, res)
	}
	return g.relayWhole(c, answer, res)
}

// crossed reports whether the answer names another request than the one that was sent. Servers that
// name none are trusted to keep to the order of their connection.
func crossed(answer *http.Response, id request.ID) bool {
	named := answer.Header.Get("X-Request-Id")
	return named != "" && named != string(id)
}

// outcomeOf tells a connection that was refused, so that nothing ran, from one that broke.
func outcomeOf(err error) request.Outcome {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH) {
		return request.Unreachable
	}
	return request.Broken
}

// outgoing builds the request to the backend server. No credential of the caller is in it.
func (g *Gateway) outgoing(ctx context.Context, c *call, b *object.BackendServerSpec) (*http.Request, error) {
	body := c.body
	if c.req.Model != "" {
		var err error
		if body, err = c.bodyFor(); err != nil {
			return nil, err
		}
	}
	u := url.URL{Scheme: "http", Host: b.Address.String(), Path: c.r.URL.Path, RawPath: c.r.URL.RawPath, RawQuery: c.r.URL.RawQuery}
	req, err := http.NewRequestWithContext(ctx, c.r.Method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = forwardHeaders(c.r.Header, c.secret)
	req.Header.Set("X-Request-Id", string(c.req.ID))
	if !c.req.Idempotent {
		// The transport must not send a non-idempotent call a second time by itself, which it
		// does for a body that it can rewind.
		req.GetBody = nil
		if len(body) > 0 {
			req.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)})
		}
	}
	propagator.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// relayWhole passes on an answer that is not streamed, after all of it has come.
func (g *Gateway) relayWhole(c *call, answer *http.Response, res *request.Result) *Fault {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil {
		res.Outcome = request.Broken
		return nil
	}
	if len(body) > maxAnswerBytes {
		res.Outcome = request.Cancelled
		return &Fault{Kind: UpstreamFailed, Code: "answer_too_large", Message: fmt.Sprintf("the answer is larger than %d bytes", maxAnswerBytes), Remedy: "ask for a smaller or a streamed answer", Ran: request.DidRun}
	}
	usage := gjson.GetBytes(body, "usage")
	res.PromptTokens = int(usage.Get("prompt_tokens").Int())
	res.OutputTokens = int(usage.Get("completion_tokens").Int())
	res.CachedTokens = int(usage.Get("prompt_tokens_details.cached_tokens").Int())
	passOn(c, answer, body, res)
	if res.Outcome == request.Completed {
		res.Delivered = res.OutputTokens
	}
	return nil
}

// passOn gives the caller an answer that has come whole.
func passOn(c *call, answer *http.Response, body []byte, res *request.Result) {
	res.FirstToken = time.Since(c.req.Arrived)
	copyHeaders(c.w.Header(), answer.Header)
	c.w.WriteHeader(answer.StatusCode)
	c.answer.begun = true
	res.Outcome = request.Completed
	if _, err := c.w.Write(body); err != nil {
		res.Outcome = request.Cancelled
	}
}

// copyHeaders copies the headers of an answer that a caller may see.
func copyHeaders(to, from http.Header) {
	for n, values := range from {
		if hopHeaders[n] || n == "Content-Length" || n == "X-Request-Id" {
			continue
		}
		to[n] = append([]string(nil), values...)
	}
}
