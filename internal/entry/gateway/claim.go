package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/traffic/claim"
	"shallotramp/internal/traffic/request"
)

const (
	// outcomeGrace is how long after its caller's deadline the outcome of a sent call is still awaited and recorded.
	outcomeGrace = 30 * time.Second
	// platformRetryAfter is what a caller is told to wait when the platform could not be asked.
	platformRetryAfter = 5 * time.Second
	// replayedHeader marks an answer that is the recorded one of an earlier request.
	replayedHeader = "Idempotent-Replayed"
)

// keptHeaders are the headers of an answer that are recorded with it.
var keptHeaders = []string{"Content-Type", "Content-Language", "Location", "Etag", "Retry-After"}

// verdicts gives the failure for each verdict that is not an answer.
var verdicts = map[claim.Verdict]Fault{
	claim.Ran:        {Kind: Conflicting, Code: "already_ran", Message: "the call ran, but its answer is no longer kept", Remedy: "ask the service for its state; do not send it under a new key", Ran: request.DidRun},
	claim.MayHaveRun: {Kind: Conflicting, Code: "may_have_run", Message: "an earlier request with this Idempotency-Key has no known outcome", Remedy: "resend with the same key, and ask the service for its state before you use a new one", Ran: request.MayHaveRun},
	claim.Unasked:    {Kind: Unavailable, Code: "claim_unavailable", Message: "the call was not sent now, for it could not be claimed; an earlier request with this Idempotency-Key may have run", Remedy: "resend with the same key after the time in Retry-After", Ran: request.MayHaveRun, RetryAfter: platformRetryAfter},
	claim.NeverRan:   {Kind: Unavailable, Code: "not_sent", Message: "the call was claimed and not sent in time", Remedy: "resend with the same key"},
	claim.OtherPrint: {Kind: Conflicting, Code: "key_reused", Message: "the Idempotency-Key was used for another call, which may have run", Remedy: "use a new key for a new call, and the same body when you resend one", Ran: request.MayHaveRun},
}

// once is the state of a call that runs at most once.
type once struct {
	ticket *claim.Handle
	// sent tells that the call may have reached a backend server.
	sent bool
	// settled calls have been answered from their claim.
	settled bool
}

// WithClaims runs the calls of non-idempotent routes at most once, by the claims of b.
func WithClaims(b *claim.Claimer) Option { return func(g *Gateway) { g.claims = b } }

// newOnceTransport returns a transport with a connection for each call. On a kept one the server's close can
// cross the call, and net/http then sends a call with an Idempotency-Key again by itself.
func newOnceTransport() http.RoundTripper {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

// look reports whether c may go to the queue. A call that was claimed before is answered from that claim.
func (g *Gateway) look(ctx context.Context, c *call) bool {
	if g.claims == nil || c.req.Idempotent || c.req.Model != "" {
		return true
	}
	t, answer := g.claims.Begin(ctx, claim.Request{
		ID:          c.req.ID,
		Key:         claim.KeyOf(c.req.Organisation, c.req.Route, c.r.Header.Get(idempotencyHeader)),
		Fingerprint: claim.FingerprintOf(c.r.Method, c.r.URL.RequestURI(), c.body),
		Deadline:    c.req.Deadline,
	})
	switch {
	case answer == nil:
		c.once.ticket = t
		return true
	case ctx.Err() != nil && answer.Verdict != claim.Replay:
		c.once.settled = true
		g.interruptedLook(ctx, c, *answer)
	default:
		g.tell(c, *answer)
	}
	return false
}

// interruptedLook ends a call whose deadline, key or caller ended while it waited for an earlier request.
func (g *Gateway) interruptedLook(ctx context.Context, c *call, a claim.Answer) {
	f, ok := context.Cause(ctx).(*Fault)
	if !ok {
		return
	}
	out := *f
	if a.Verdict != claim.NeverRan {
		out.Ran = request.MayHaveRun
	}
	g.book.Note(c.req.ID, time.Now(), "ended", out.Code)
	out.write(c.w, c.req.ID)
}

// tell answers c from the claim of an earlier request, or with what is known of it.
func (g *Gateway) tell(c *call, a claim.Answer) {
	c.once.settled = true
	g.book.Note(c.req.ID, time.Now(), "claim", a.Verdict.String())
	g.metrics.GetOrCreateCounter(`claims_told_total{verdict="` + a.Verdict.String() + `"}`).Inc()
	if a.Verdict == claim.Replay {
		h := c.w.Header()
		for k, v := range a.Reply.Header {
			h.Set(k, v)
		}
		h.Set(replayedHeader, "true")
		c.answer.begun = true
		c.w.WriteHeader(a.Reply.Status)
		_, _ = c.w.Write(a.Reply.Body)
		return
	}
	f := verdicts[a.Verdict]
	f.write(c.w, c.req.ID)
}

// exchangeOnce claims c, sends it and relays the answer. The sending goes on when the caller has left, so
// that its outcome is recorded for a resend.
func (g *Gateway) exchangeOnce(ctx context.Context, c *call, b *object.BackendServerSpec, res *request.Result) *Fault {
	res.Outcome = request.Cancelled
	_, span := g.tracer.Start(ctx, "claim")
	answer, err := c.once.ticket.Claim(ctx)
	span.End()
	if err != nil {
		return nil
	}
	if answer != nil {
		g.tell(c, *answer)
		return nil
	}
	sending, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.req.Deadline.Add(outcomeGrace))
	req, err := g.outgoing(sending, c, b)
	if err != nil {
		cancel()
		c.once.ticket.Finish(claim.Result{Kind: claim.ServerUnreached})
		return &Fault{Kind: InvalidRequest, Code: "bad_request", Message: "the request cannot be forwarded", Remedy: "correct it"}
	}
	c.once.sent = true
	done := make(chan sentCall, 1)
	go g.sendOnce(c.once.ticket, req, cancel, done)
	select {
	case s := <-done:
		return g.relayOnce(c, s, res)
	case <-ctx.Done():
		return nil
	}
}

// sentCall is the end of a sending.
type sentCall struct {
	kind   claim.ResultKind
	answer *http.Response
	body   []byte
}

// sendOnce sends req, tells its ticket how that ended and reports on done.
func (g *Gateway) sendOnce(t *claim.Handle, req *http.Request, cancel context.CancelFunc, done chan<- sentCall) {
	defer cancel()
	if !t.MaySend(time.Now()) {
		t.Finish(claim.Result{Kind: claim.ServerUnreached})
		done <- sentCall{kind: claim.ServerUnreached}
		return
	}
	answer, err := g.onces.RoundTrip(req)
	if err != nil {
		s := sentCall{kind: unsent(err)}
		t.Finish(claim.Result{Kind: s.kind})
		done <- s
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		t.Finish(claim.Result{Kind: claim.ServerLost})
		done <- sentCall{kind: claim.ServerLost}
		return
	}
	reply := claim.Reply{Status: answer.StatusCode, Header: map[string]string{}, Body: body}
	for _, name := range keptHeaders {
		if v := answer.Header.Get(name); v != "" {
			reply.Header[name] = v
		}
	}
	t.Finish(claim.Result{Kind: claim.ServerAnswered, Reply: reply})
	done <- sentCall{claim.ServerAnswered, answer, body}
}

// unsent tells a failure to connect, after which nothing can have run, from any later one.
func unsent(err error) claim.ResultKind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return claim.ServerUnreached
	}
	return claim.ServerLost
}

// relayOnce gives the caller the answer of a sending.
func (g *Gateway) relayOnce(c *call, s sentCall, res *request.Result) *Fault {
	switch s.kind {
	case claim.ServerUnreached:
		c.once.sent = false
		res.Outcome = request.Unreachable
		return nil
	case claim.ServerLost:
		res.Outcome = request.Broken
		return nil
	}
	s.answer.Body = io.NopCloser(bytes.NewReader(s.body))
	return g.relayService(c, s.answer, res)
}

// settle makes the failure of a call that runs at most once true: "not run" is told only if the platform has
// proved it, and an outcome that another request has recorded meanwhile is told in place of the failure. It
// returns nil when the caller has been answered.
func (g *Gateway) settle(c *call, f *Fault) *Fault {
	switch {
	case c.once.settled:
		return nil
	case c.once.ticket == nil:
		return f
	}
	out := *f
	if c.once.sent {
		if out.Ran == request.NotRun {
			out.Ran = request.MayHaveRun
		}
		return &out
	}
	a := c.once.ticket.Refuse()
	c.once.ticket = nil
	switch a.Verdict {
	case claim.NeverRan:
		out.Ran = request.NotRun
	case claim.MayHaveRun, claim.Unasked:
		out.Ran = request.MayHaveRun
	default:
		g.tell(c, a)
		return nil
	}
	return &out
}

// leave sets the key of a call free whose caller left before it was sent.
func (g *Gateway) leave(c *call) {
	if c.once.ticket != nil && !c.once.sent && !c.once.settled {
		c.once.ticket.Refuse()
	}
}
