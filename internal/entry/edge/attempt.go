package edge

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"shallotramp/internal/engine/bodybuffer"
	"shallotramp/internal/engine/connection"
	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/route"
)

const (
	// maxResponseBytes limits a response that is buffered before it is forwarded, and maxFailureBytes one that says that
	// the server failed.
	maxResponseBytes = 16 << 20
	maxFailureBytes  = 64 << 10
)

// errNoID means that a response without an ID came on a connection that had carried another request. It may be a second
// response to that request.
var errNoID = errors.New("the response has no ID and may belong to an earlier request on the connection")

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// bufferedResponse is a complete response of a backend server.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one backend server. It reports whether the request is over, so that no further
// attempt is needed.
func (t *transaction) attempt(eff dispatch.Effect) (request.Result, bool) {
	_, span := t.proxy.tracer.Start(t.ctx, "backend call", trace.WithAttributes(
		attribute.String("server", eff.Server), attribute.Int("attempt", eff.Attempt), attribute.Int("urgency", eff.Urgency)))
	defer span.End()
	res, done := t.send(eff)
	res.Delivered = t.eventsSent
	res.Resumable = t.headerSent && t.route.Resumable && t.lastEventID != ""
	span.SetAttributes(attribute.Stringer("outcome", res.Outcome), attribute.Int("events", res.Delivered))
	return res, done
}

func (t *transaction) send(eff dispatch.Effect) (request.Result, bool) {
	start := time.Now()
	res := request.Result{ID: t.req.ID, Server: eff.Server, Outcome: request.Unreachable}
	server, ok := (*t.proxy.servers.Load())[eff.Server]
	if !ok {
		return res, false
	}
	conn, err := t.proxy.pool.Get(t.ctx, server.Addr, !t.route.Retryable(), t.refusedOn...)
	if err != nil {
		return t.handleSendError(res, err)
	}
	resp, err := conn.Do(t.ctx, t.backendRequest(server, eff), t.body, t.matchesRequest)
	if err != nil {
		return t.handleSendError(res, err)
	}
	respHeaders := t.proxy.codec.DecodeResponse(resp.StatusCode, resp.Header)
	if respHeaders.ID == "" && t.reqHeaders.ID != "" && conn.Reused() {
		conn.Close()
		return t.handleSendError(res, &connection.Error{Addr: server.Addr, Sent: true, Reused: true, Cause: errNoID})
	}
	t.mayHaveRun = t.mayHaveRun || !respHeaders.NotRun
	t.logMalformed("server", respHeaders.Malformed)
	t.postNotice(eff, respHeaders, start)
	if respHeaders.LoadKnown && !respHeaders.WrongServer {
		t.proxy.loop.Report(dispatch.Load{Server: server.ID, At: time.Now(), Running: respHeaders.Running, Waiting: respHeaders.Waiting, Slowdown: respHeaders.Slowdown})
	}
	res.FirstToken = time.Since(start)
	done := false
	if t.route.Kind == route.Stream && resp.StatusCode == http.StatusOK {
		res.Outcome, done = t.forwardStream(conn, resp, respHeaders)
	} else {
		res.Outcome, done = t.forwardBuffered(conn, resp, respHeaders)
	}
	res.Elapsed = time.Since(start)
	res.WrongServer = respHeaders.WrongServer && res.Outcome == request.Rejected
	if !done {
		t.logEvent(zerolog.WarnLevel, "AttemptFailed").Stringer("Outcome", res.Outcome).Int("Status", resp.StatusCode).Str("Why", eff.Why).Send()
	}
	return res, done
}

// postNotice passes what the server says about itself to the policy. A server that had a limit and names none any more says
// something too. The answer of another server at the address says nothing about this one.
func (t *transaction) postNotice(eff dispatch.Effect, h ResponseHeaders, sentAt time.Time) {
	if h.WrongServer || !h.Limited && !eff.Limited && !h.Leaving && h.RetryAfter <= 0 {
		return
	}
	if h.Leaving || h.RetryAfter > 0 {
		t.logEvent(zerolog.InfoLevel, "ServerNotice").Bool("Leaving", h.Leaving).Dur("RetryAfter", h.RetryAfter).Send()
	}
	t.proxy.loop.Notice(dispatch.Notice{
		Server: eff.Server, SentAt: sentAt, At: time.Now(), Limited: h.Limited, Rate: h.RequestRate, Leaving: h.Leaving, RetryAfter: h.RetryAfter,
	})
}

// matchesRequest reports whether a response belongs to this request.
func (t *transaction) matchesRequest(resp *http.Response) bool {
	id := t.proxy.codec.DecodeResponse(resp.StatusCode, resp.Header).ID
	return id == "" || id == t.reqHeaders.ID
}

// handleSendError classifies an attempt that got no response.
func (t *transaction) handleSendError(res request.Result, err error) (request.Result, bool) {
	var e *connection.Error
	sent := errors.As(err, &e) && e.Sent
	t.mayHaveRun = t.mayHaveRun || sent
	if sent {
		res.Outcome = request.Broken
	}
	if t.ctx.Err() != nil {
		res.Outcome = request.Cancelled
		t.handleCancelledAttempt(sent)
		return res, true
	}
	if sent && t.route.Kind != route.Stream {
		t.countUsage()
	}
	t.logEvent(zerolog.WarnLevel, "AttemptFailed").Stringer("Outcome", res.Outcome).Err(err).Send()
	return res, false
}

// handleCancelledAttempt ends a request whose context ended during an attempt. If the
// connection has to be aborted, it only sets abortConn: the panic that aborts the handler must not come before run
// has reported the end of the attempt to the policy.
func (t *transaction) handleCancelledAttempt(sent bool) {
	if sent && t.route.Kind != route.Stream {
		t.countUsage()
	}
	if t.callerWaits() && !t.headerSent {
		t.handleContextEnd()
		return
	}
	t.abortConn = true
}

// backendRequest builds the request that is sent to a backend server.
func (t *transaction) backendRequest(s backend.Server, eff dispatch.Effect) *http.Request {
	h := t.r.Header.Clone()
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	delete(h, "Content-Length")
	if _, ok := h["User-Agent"]; !ok {
		// Keeps net/http from adding its own User-Agent.
		h["User-Agent"] = []string{""}
	}
	fwd := ForwardHeaders{Remaining: time.Until(t.deadline), Server: s, Urgency: -1, LastEventID: t.resumeAfter()}
	if t.org != nil {
		fwd.Organisation = t.org.Name
	}
	if t.route.HasPromptParts {
		fwd.Urgency = eff.Urgency
	}
	if from, ok := (*t.proxy.servers.Load())[eff.FetchFrom]; ok {
		fwd.FetchFrom = from.Addr
	}
	t.proxy.codec.EncodeRequest(h, fwd)
	return &http.Request{
		Method: t.r.Method, URL: targetURL(t.r), Host: t.r.Host,
		Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// targetURL returns the URL with which net/http writes a request's target as the caller has sent it. It would write a scheme
// before an opaque target that begins with two slashes.
func targetURL(r *http.Request) *url.URL {
	if !strings.HasPrefix(r.RequestURI, "//") {
		return &url.URL{Opaque: r.RequestURI}
	}
	return &url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
}

// resumeAfter returns the ID of the event after which the next server continues the stream, or an empty string for a new
// stream.
func (t *transaction) resumeAfter() string {
	if t.lastEventID != "" {
		return t.lastEventID
	}
	return t.reqHeaders.LastEventID
}

// forwardBuffered reads the complete response before it forwards any of it. Otherwise a truncated response could look
// complete to the caller.
func (t *transaction) forwardBuffered(conn *connection.Conn, resp *http.Response, respHeaders ResponseHeaders) (request.Outcome, bool) {
	limit := maxResponseBytes
	if resp.StatusCode >= http.StatusInternalServerError {
		limit = maxFailureBytes
	}
	buf := t.proxy.buffers.NewBuffer()
	err := buf.ReadAll(resp.Body, limit)
	_ = resp.Body.Close() // ReadAll has already returned any read error.
	if err != nil {
		buf.Release()
		conn.Close()
		t.logEvent(zerolog.WarnLevel, "ResponseUnread").Int("Status", resp.StatusCode).Err(err).Send()
		if t.ctx.Err() != nil {
			t.handleCancelledAttempt(true)
			return request.Cancelled, true
		}
		t.countUsage()
		if resp.StatusCode >= http.StatusInternalServerError && errors.Is(err, bodybuffer.ErrTooLarge) {
			return request.Failed, false
		}
		return request.Broken, false
	}
	t.buffers = append(t.buffers, buf)
	t.proxy.pool.Put(conn)
	if respHeaders.NotRun {
		t.refusedOn = append(t.refusedOn, conn)
		return request.Rejected, false
	}
	t.countUsage()
	if t.headerSent {
		// The caller has the begin of a stream, which nothing but the rest of that stream may follow.
		return request.Failed, false
	}
	buffered := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: buf.Bytes()}
	switch {
	case resp.StatusCode < http.StatusMultipleChoices && !respHeaders.Sealed:
		return request.Broken, false
	case resp.StatusCode >= http.StatusInternalServerError, impliesNotRun(resp.StatusCode):
		t.lastFailure = buffered
		return request.Failed, false
	}
	t.writeResponse(buffered)
	return request.Completed, true
}

// impliesNotRun reports whether callers take the status as a guarantee that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// writeResponse forwards a buffered response. If its status would wrongly state that the request has not run, it
// responds with status 502 instead.
func (t *transaction) writeResponse(resp *bufferedResponse) {
	if impliesNotRun(resp.status) {
		t.writeError(&errorResponse{status: http.StatusBadGateway, cause: "the backend server failed while it ran the request"})
		return
	}
	t.copyHeader(resp.header)
	t.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	t.w.WriteHeader(resp.status)
	if _, err := t.w.Write(resp.body); err != nil {
		t.proxy.log.Debug().Str("Event", "CallerLeft").Str("Request", t.reqHeaders.ID).Err(err).Send()
	}
	t.proxy.metrics.countResponse(resp.status)
	t.proxy.metrics.observeDuration(t.route.Name, time.Since(t.arrived))
	t.logEvent(zerolog.InfoLevel, "Answered").Int("Status", resp.status).Send()
}

func (t *transaction) copyHeader(from http.Header) {
	h := t.w.Header()
	for k, v := range from {
		h[k] = v
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	if t.proxy.draining.Load() {
		h.Set("Connection", "close")
	}
}
