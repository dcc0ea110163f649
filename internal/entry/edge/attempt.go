package edge

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"shallotramp/internal/engine/connection"
	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/route"
)

// maxAnswer bounds an answer that is kept whole before it is passed on.
const maxAnswer = 16 << 20

// perConnection are headers that concern one connection only.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// reply is a whole answer of a backend server.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one server. It reports whether the caller has its answer.
func (t *transfer) attempt(eff dispatch.Effect) (request.Result, bool) {
	_, span := t.e.tracer.Start(t.ctx, "backend call", trace.WithAttributes(
		attribute.String("server", eff.Server), attribute.Int("attempt", eff.Attempt), attribute.Int("urgency", eff.Urgency)))
	defer span.End()
	res, done := t.send(eff)
	res.Delivered = t.events
	res.Resumable = t.begun && t.route.Resumable && t.last != ""
	span.SetAttributes(attribute.Stringer("outcome", res.Outcome), attribute.Int("events", res.Delivered))
	return res, done
}

func (t *transfer) send(eff dispatch.Effect) (request.Result, bool) {
	began := time.Now()
	res := request.Result{ID: t.req.ID, Server: eff.Server, Outcome: request.Unreachable}
	server, ok := (*t.e.servers.Load())[eff.Server]
	if !ok {
		return res, false
	}
	conn, err := t.e.pool.Get(t.ctx, server.Addr, !t.route.Repeatable())
	if err != nil {
		return t.unanswered(res, err)
	}
	out, err := conn.Do(t.ctx, t.outgoing(server, eff), t.body, t.mine)
	if err != nil {
		return t.unanswered(res, err)
	}
	a := t.e.codec.DecodeResponse(out.StatusCode, out.Header)
	t.mayHaveRun = t.mayHaveRun || !a.NotRun
	t.unread("server", a.Malformed)
	if a.LoadKnown {
		t.e.loop.Report(dispatch.Load{Server: server.ID, At: time.Now(), Running: a.Running, Waiting: a.Waiting})
	}
	res.FirstToken = time.Since(began)
	done := false
	if t.route.Kind == route.Stream && out.StatusCode == http.StatusOK {
		res.Outcome, done = t.stream(conn, out, a)
	} else {
		res.Outcome, done = t.whole(conn, out, a)
	}
	res.Elapsed = time.Since(began)
	res.Elsewhere = a.WrongServer && res.Outcome == request.Rejected
	if !done {
		t.line(zerolog.WarnLevel, "AttemptFailed").Stringer("Outcome", res.Outcome).Int("Status", out.StatusCode).Str("Why", eff.Why).Send()
	}
	return res, done
}

// mine reports whether an answer belongs to this request.
func (t *transfer) mine(res *http.Response) bool {
	id := t.e.codec.DecodeResponse(res.StatusCode, res.Header).ID
	return id == "" || id == t.call.ID
}

// unanswered sorts an attempt without an answer.
func (t *transfer) unanswered(res request.Result, err error) (request.Result, bool) {
	var e *connection.Error
	sent := errors.As(err, &e) && e.Sent
	t.mayHaveRun = t.mayHaveRun || sent
	if sent {
		res.Outcome = request.Broken
	}
	if t.ctx.Err() != nil {
		res.Outcome = request.Cancelled
		t.gone(sent)
		return res, true
	}
	if sent && t.route.Kind != route.Stream {
		t.count()
	}
	t.line(zerolog.WarnLevel, "AttemptFailed").Stringer("Outcome", res.Outcome).Err(err).Send()
	return res, false
}

// gone answers, after the attempt, a caller that left or whose time is over. The policy learns of the
// attempt's end first, so the panic that ends a handler comes from expired.
func (t *transfer) gone(sent bool) {
	if sent && t.route.Kind != route.Stream {
		t.count()
	}
	if errors.Is(context.Cause(t.ctx), errTimeout) && !t.begun {
		t.expired()
		return
	}
	t.ended = true
}

// outgoing builds the request to a backend server.
func (t *transfer) outgoing(s backend.Server, eff dispatch.Effect) *http.Request {
	h := t.r.Header.Clone()
	for _, name := range perConnection {
		delete(h, name)
	}
	delete(h, "Content-Length")
	if _, ok := h["User-Agent"]; !ok {
		// Keeps net/http from naming itself.
		h["User-Agent"] = []string{""}
	}
	o := ForwardHeaders{Remaining: time.Until(t.deadline), Server: s, Urgency: -1, LastEventID: t.call.LastEventID}
	if t.last != "" {
		o.LastEventID = t.last
	}
	if t.org != nil {
		o.Organisation = t.org.Name
	}
	if t.route.Prompted {
		o.Urgency = eff.Urgency
	}
	if from, ok := (*t.e.servers.Load())[eff.From]; ok {
		o.FetchFrom = from.Addr
	}
	t.e.codec.EncodeRequest(h, o)
	return &http.Request{
		Method: t.r.Method, URL: &url.URL{Opaque: t.r.RequestURI}, Host: t.r.Host,
		Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// whole reads an answer to its end before any of it is passed on: a part of it must not look complete.
func (t *transfer) whole(conn *connection.Conn, out *http.Response, a ResponseHeaders) (request.Outcome, bool) {
	body, err := io.ReadAll(io.LimitReader(out.Body, maxAnswer))
	_ = out.Body.Close() // A read error was returned above.
	if err != nil {
		conn.Close()
		if t.ctx.Err() != nil {
			t.gone(true)
			return request.Cancelled, true
		}
		t.count()
		return request.Broken, false
	}
	t.e.pool.Put(conn)
	if a.NotRun {
		return request.Rejected, false
	}
	t.count()
	rep := &reply{status: out.StatusCode, header: out.Header, body: body}
	switch {
	case out.StatusCode < http.StatusMultipleChoices && !a.Sealed:
		return request.Broken, false
	case out.StatusCode >= http.StatusInternalServerError, promises(out.StatusCode):
		t.failure = rep
		return request.Failed, false
	}
	t.pass(rep)
	return request.Completed, true
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// pass answers with a backend server's answer. One whose status would promise, untruly, that the request
// has not run becomes a failure of the host's own.
func (t *transfer) pass(rep *reply) {
	if promises(rep.status) {
		t.fail(&failure{status: http.StatusBadGateway, cause: "the backend server failed while it ran the request"})
		return
	}
	t.copyHeader(rep.header)
	t.w.Header().Set("Content-Length", strconv.Itoa(len(rep.body)))
	t.w.WriteHeader(rep.status)
	if _, err := t.w.Write(rep.body); err != nil {
		t.e.log.Debug().Str("Event", "CallerLeft").Str("Request", t.call.ID).Err(err).Send()
	}
	t.e.metrics.answered(rep.status)
	t.e.metrics.took(t.route.Name, time.Since(t.arrived))
	t.line(zerolog.InfoLevel, "Answered").Int("Status", rep.status).Send()
}

func (t *transfer) copyHeader(from http.Header) {
	h := t.w.Header()
	for k, v := range from {
		h[k] = v
	}
	for _, name := range perConnection {
		delete(h, name)
	}
	if t.e.draining.Load() {
		h.Set("Connection", "close")
	}
}
