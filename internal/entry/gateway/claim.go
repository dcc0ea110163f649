package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/provider/transport"
	"shallotramp/internal/traffic/claim"
	"shallotramp/internal/traffic/request"
)

const (
	// outcomeGrace is how long after the deadline of the caller the gateway still waits for the response to a call
	// that was sent, to record its outcome.
	outcomeGrace = 30 * time.Second
	// platformRetryAfter is the Retry-After time of a call that was not sent because the platform, which stores the
	// claims, did not respond.
	platformRetryAfter = 5 * time.Second
	// replayedHeader marks a response that was recorded for an earlier request.
	replayedHeader = "Idempotent-Replayed"
)

// recordedHeaders are the response headers that are recorded with a response.
var recordedHeaders = []string{"Content-Type", "Content-Language", "Location", "Etag", "Retry-After"}

// verdictFaults maps each verdict that carries no recorded response to the Fault for the caller.
var verdictFaults = map[claim.Verdict]Fault{
	claim.Ran:        {Kind: Conflicting, Code: "already_ran", Message: "the call ran, but its response is no longer stored", Remedy: "query the service for the result; do not resend the call with a new key", Ran: request.DidRun},
	claim.MayHaveRun: {Kind: Conflicting, Code: "may_have_run", Message: "the outcome of an earlier request with this Idempotency-Key is unknown", Remedy: "resend with the same key, and query the service for the result before you use a new key", Ran: request.MayHaveRun},
	claim.Unasked:    {Kind: Unavailable, Code: "claim_unavailable", Message: "the call was not sent because its Idempotency-Key could not be claimed; an earlier request with this key may have run", Remedy: "resend with the same key after the time in Retry-After", Ran: request.MayHaveRun, RetryAfter: platformRetryAfter},
	claim.NeverRan:   {Kind: Unavailable, Code: "not_sent", Message: "the call was claimed but not sent in time", Remedy: "resend with the same key"},
	claim.OtherPrint: {Kind: Conflicting, Code: "key_reused", Message: "the Idempotency-Key was already used for a different call, which may have run", Remedy: "use a new key for a new call, and send the same body when you resend a call", Ran: request.MayHaveRun},
}

// atMostOnceState is the state of a call that must run at most once.
type atMostOnceState struct {
	// handle controls the claim of the call. It is nil if the call needs no claim, and after it has been refused.
	handle *claim.Handle
	// sent is set if the call may have reached a backend server.
	sent bool
	// responded is set if the caller has got a response from a claim, or the call ended while checkClaim waited.
	responded bool
}

// WithClaims makes each call of a non-idempotent route run at most once, by claiming its Idempotency-Key in b.
func WithClaims(claimer *claim.Claimer) Option { return func(g *Gateway) { g.claimer = claimer } }

// newAtMostOnceTransport returns a transport that opens a new connection for each request. On a reused connection,
// the server may close it while a request is being sent; net/http then retries a request that has an
// Idempotency-Key on its own.
func newAtMostOnceTransport() http.RoundTripper {
	return transport.Checked{Transport: &http.Transport{
		DialContext:            transport.Dial(&net.Dialer{Timeout: 2 * time.Second}),
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}}
}

// checkClaim reports whether c may be queued. If an earlier request has claimed the same Idempotency-Key, checkClaim
// responds to c from that claim and returns false.
func (g *Gateway) checkClaim(ctx context.Context, c *call) bool {
	if g.claimer == nil || c.req.Idempotent || c.req.Model != "" {
		return true
	}
	handle, answer := g.claimer.Begin(ctx, claim.Request{
		ID:          c.req.ID,
		Key:         claim.KeyOf(c.req.Organisation, c.req.Route, c.r.Header.Get(idempotencyHeader)),
		Fingerprint: claim.FingerprintOf(c.r.Method, c.r.URL.RequestURI(), c.body),
		Deadline:    c.req.Deadline,
	})
	switch {
	case answer == nil:
		c.atMostOnce.handle = handle
		return true
	case ctx.Err() != nil && answer.Verdict != claim.Replay:
		c.atMostOnce.responded = true
		g.respondInterruptedCheck(ctx, c, *answer)
	default:
		g.respondFromClaim(c, *answer)
	}
	return false
}

// respondInterruptedCheck ends c after its context ended while it waited for the outcome of an earlier request.
func (g *Gateway) respondInterruptedCheck(ctx context.Context, c *call, a claim.Answer) {
	f, ok := context.Cause(ctx).(*Fault)
	if !ok {
		return
	}
	out := *f
	if a.Verdict != claim.NeverRan {
		out.Ran = request.MayHaveRun
	}
	g.decisionLog.AddStep(c.req.ID, time.Now(), "ended", out.Code)
	out.write(c.w, c.req.ID)
}

// respondFromClaim sends the response that was recorded for an earlier request, or an error that says what is known
// of its outcome.
func (g *Gateway) respondFromClaim(c *call, a claim.Answer) {
	c.atMostOnce.responded = true
	g.decisionLog.AddStep(c.req.ID, time.Now(), "claim", a.Verdict.String())
	g.metrics.GetOrCreateCounter(`claims_told_total{verdict="` + a.Verdict.String() + `"}`).Inc()
	if a.Verdict == claim.Replay {
		h := c.w.Header()
		for k, v := range a.Reply.Header {
			h.Set(k, v)
		}
		h.Set(replayedHeader, "true")
		c.response.started = true
		c.w.WriteHeader(a.Reply.Status)
		_, _ = c.w.Write(a.Reply.Body)
		return
	}
	f := verdictFaults[a.Verdict]
	f.write(c.w, c.req.ID)
}

// exchangeAtMostOnce claims c, sends it and forwards the response. Sending continues after the caller has
// disconnected, so that the outcome is recorded for a resent request.
func (g *Gateway) exchangeAtMostOnce(ctx context.Context, c *call, b *object.BackendServerSpec, res *request.Result) *Fault {
	res.Outcome = request.Cancelled
	_, span := g.tracer.Start(ctx, "claim")
	answer, err := c.atMostOnce.handle.Claim(ctx)
	span.End()
	if err != nil {
		return nil
	}
	if answer != nil {
		g.respondFromClaim(c, *answer)
		return nil
	}
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.req.Deadline.Add(outcomeGrace))
	req, err := g.backendRequest(sendCtx, c, b)
	if err != nil {
		cancel()
		c.atMostOnce.handle.Finish(claim.Result{Kind: claim.ServerUnreached})
		return &Fault{Kind: InvalidRequest, Code: "bad_request", Message: "the request cannot be converted to a backend request", Remedy: "check the method, path and body of the request"}
	}
	c.atMostOnce.sent = true
	done := make(chan sendResult, 1)
	go g.sendAtMostOnce(c.atMostOnce.handle, req, cancel, done)
	select {
	case s := <-done:
		if s.resp != nil {
			g.reportNotice(c, s.resp)
		}
		return g.forwardSendResult(c, s, res)
	case <-ctx.Done():
		return nil
	}
}

// sendResult is the result of sendAtMostOnce. resp and body are set only for claim.ServerAnswered.
type sendResult struct {
	kind claim.ResultKind
	resp *http.Response
	body []byte
}

// sendAtMostOnce sends req and reports the result to handle and on done.
func (g *Gateway) sendAtMostOnce(handle *claim.Handle, req *http.Request, cancel context.CancelFunc, done chan<- sendResult) {
	defer cancel()
	if !handle.MaySend(time.Now()) {
		handle.Finish(claim.Result{Kind: claim.ServerUnreached})
		done <- sendResult{kind: claim.ServerUnreached}
		return
	}
	resp, err := g.atMostOnceTransport.RoundTrip(req)
	if err != nil {
		s := sendResult{kind: sendErrorKind(err)}
		handle.Finish(claim.Result{Kind: s.kind})
		done <- s
		return
	}
	defer resp.Body.Close()
	buf := g.buffers.NewBuffer()
	defer buf.Release()
	if err := buf.ReadAll(resp.Body, maxResponseBytes); err != nil {
		handle.Finish(claim.Result{Kind: claim.ServerLost})
		done <- sendResult{kind: claim.ServerLost}
		return
	}
	body := buf.Bytes()
	reply := claim.Reply{Status: resp.StatusCode, Header: map[string]string{}, Body: body}
	for _, name := range recordedHeaders {
		if v := resp.Header.Get(name); v != "" {
			reply.Header[name] = v
		}
	}
	handle.Finish(claim.Result{Kind: claim.ServerAnswered, Reply: reply})
	done <- sendResult{claim.ServerAnswered, resp, body}
}

// sendErrorKind returns ServerUnreached if the connection failed, so that the call cannot have run, and ServerLost
// for any later error.
func sendErrorKind(err error) claim.ResultKind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return claim.ServerUnreached
	}
	return claim.ServerLost
}

// forwardSendResult forwards the response in s to the caller, or sets the outcome of a failed send.
func (g *Gateway) forwardSendResult(c *call, s sendResult, res *request.Result) *Fault {
	switch s.kind {
	case claim.ServerUnreached:
		c.atMostOnce.sent = false
		res.Outcome = request.Unreachable
		return nil
	case claim.ServerLost:
		res.Outcome = request.Broken
		return nil
	}
	writeResponse(c, s.resp, s.body, res)
	return nil
}

// finalizeFault corrects what f says about the run of a call that must run at most once. It reports "not run" only
// if the platform has confirmed it. If another request has recorded an outcome in the meantime, the caller gets that
// outcome instead of f. finalizeFault returns nil if the caller has got a response.
func (g *Gateway) finalizeFault(c *call, f *Fault) *Fault {
	switch {
	case c.atMostOnce.responded:
		return nil
	case c.atMostOnce.handle == nil:
		return f
	}
	out := *f
	if c.atMostOnce.sent {
		if out.Ran == request.NotRun {
			out.Ran = request.MayHaveRun
		}
		return &out
	}
	a := c.atMostOnce.handle.Refuse()
	c.atMostOnce.handle = nil
	switch a.Verdict {
	case claim.NeverRan:
		out.Ran = request.NotRun
	case claim.MayHaveRun, claim.Unasked:
		out.Ran = request.MayHaveRun
	default:
		g.respondFromClaim(c, a)
		return nil
	}
	return &out
}

// releaseClaim releases the Idempotency-Key of a call that ended before it was sent.
func (g *Gateway) releaseClaim(c *call) {
	if c.atMostOnce.handle != nil && !c.atMostOnce.sent && !c.atMostOnce.responded {
		c.atMostOnce.handle.Refuse()
	}
}
