package edge

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"shallotramp/internal/engine/bodybuffer"
	"shallotramp/internal/engine/connection"
	"shallotramp/internal/entry/admission"
	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/route"
)

// UsageCounter counts the requests that started to run, by organisation.
type UsageCounter interface {
	// CountRequest counts one request of the organisation.
	CountRequest(organisation string)
}

// Proxy handles the callers' requests. It implements [http.Handler]. Create it with [New].
type Proxy struct {
	zone    string
	codec   Codec
	loop    *dispatch.Loop
	pool    *connection.Pool
	log     zerolog.Logger
	usage   UsageCounter
	metrics *proxyMetrics
	tracer  trace.Tracer
	// buffers is the memory for responses that are buffered.
	buffers *bodybuffer.Budget
	// callerShare is the part of buffers that what callers send may use.
	callerShare *bodybuffer.Share
	refused     func(admission.Kind, netip.Addr)

	table   atomic.Pointer[route.Table]
	servers atomic.Pointer[map[string]backend.Server]
	// serversVersion is the version of the server list in the store.
	serversVersion atomic.Pointer[string]
	draining       atomic.Bool
	refusingNew    atomic.Bool
	openRequests   atomic.Int64
	// ended is done when all open requests must end, see [Proxy.EndRequests].
	ended       context.Context
	endRequests context.CancelFunc
	// sequence makes the request IDs unique within the process.
	sequence atomic.Uint64
}

// Option configures a [Proxy].
type Option func(*Proxy)

// WithUsage counts the requests that started to run with u.
func WithUsage(u UsageCounter) Option { return func(p *Proxy) { p.usage = u } }

// WithRefusals tells f of each caller whose body is refused.
func WithRefusals(f func(admission.Kind, netip.Addr)) Option {
	return func(p *Proxy) { p.refused = f }
}

// CallerShare returns the memory for what callers send.
func (p *Proxy) CallerShare() *bodybuffer.Share { return p.callerShare }

// callerDivisor divides the memory of the buffers to give the part that what callers send may use, so that the rest is left
// for responses.
const callerDivisor = 2

// defaultBufferBytes is the memory for buffered responses and for what callers send if it is not set.
const defaultBufferBytes = 64 << 20

// WithBufferBytes sets the memory for all responses that are buffered and all bodies of callers at the same time. The default applies if n is 0.
func WithBufferBytes(n int64) Option {
	return func(p *Proxy) {
		if n > 0 {
			p.setBufferBytes(n)
		}
	}
}

// WithLog logs the decisions about requests to l.
func WithLog(l zerolog.Logger) Option { return func(p *Proxy) { p.log = l } }

type noopUsageCounter struct{}

// CountRequest implements [UsageCounter].
func (noopUsageCounter) CountRequest(string) {}

// New returns a Proxy of a host in the given availability zone. The policy in loop decides about its requests.
// The Proxy responds with status 503 until [Proxy.SetTable] is called.
func New(zone string, codec Codec, loop *dispatch.Loop, opts ...Option) *Proxy {
	p := &Proxy{zone: zone, codec: codec, loop: loop, log: zerolog.Nop(), usage: noopUsageCounter{}, metrics: newProxyMetrics(), tracer: otel.Tracer("shallotramp/edge"), refused: func(admission.Kind, netip.Addr) {}}
	p.setBufferBytes(defaultBufferBytes)
	p.ended, p.endRequests = context.WithCancel(context.Background())
	p.pool = connection.NewPool(p.onDial)
	p.servers.Store(&map[string]backend.Server{})
	p.serversVersion.Store(new(string))
	for _, o := range opts {
		o(p)
	}
	return p
}

func (p *Proxy) setBufferBytes(n int64) {
	p.buffers = bodybuffer.NewBudget(n)
	p.callerShare = p.buffers.NewShare(n / callerDivisor)
}

func (p *Proxy) onDial(addr netip.AddrPort, err error) {
	if err != nil {
		p.metrics.dialFailed.Inc()
		p.log.Warn().Str("Event", "ConnectFailed").Stringer("Address", addr).Err(err).Send()
		return
	}
	p.metrics.dialed.Inc()
}

// SetTable installs a routing table. A table that is not newer than the installed one is ignored.
func (p *Proxy) SetTable(t *route.Table) {
	for {
		old := p.table.Load()
		if old != nil && old.Version >= t.Version {
			return
		}
		if p.table.CompareAndSwap(old, t) {
			return
		}
	}
}

// Table returns the installed routing table, or nil.
func (p *Proxy) Table() *route.Table { return p.table.Load() }

// SetServers replaces the list of backend servers. The version is that of the list in the store; an empty one
// leaves the known version as it is.
func (p *Proxy) SetServers(list []backend.Server, version string) {
	if version != "" {
		p.serversVersion.Store(&version)
	}
	byID := make(map[string]backend.Server, len(list))
	for _, s := range list {
		byID[s.ID] = s
	}
	p.servers.Store(&byID)
	p.pool.Prune(time.Now(), func(yield func(netip.AddrPort) bool) {
		for i := range list {
			if !yield(list[i].Addr) {
				return
			}
		}
	})
}

// OpenRequests returns the number of open requests.
func (p *Proxy) OpenRequests() int64 { return p.openRequests.Load() }

// Drain makes callers reconnect to other hosts: from now on each response closes its connection.
func (p *Proxy) Drain() { p.draining.Store(true) }

// RefuseNew refuses new requests with status 503, so that another host can take them.
func (p *Proxy) RefuseNew() { p.refusingNew.Store(true) }

// EndRequests ends the open requests, because the process is about to end: their callers get an answer, which says whether the
// request may have run. A stream that has begun is cut.
func (p *Proxy) EndRequests() { p.endRequests() }

// transaction is the state of one caller's request until its response is complete.
type transaction struct {
	proxy      *Proxy
	w          http.ResponseWriter
	r          *http.Request
	reqHeaders RequestHeaders
	body       []byte
	// callerBody holds the memory of body until the request is over.
	callerBody *bodybuffer.Body
	table      *route.Table
	route      *route.Route
	org        *route.Organisation
	// ctx ends when the caller disconnects or the request's deadline passes.
	ctx          context.Context
	arrived      time.Time
	deadline     time.Time
	req          *request.Request
	usageCounted bool
	// headerSent reports whether the response header has been sent to the caller.
	headerSent bool
	eventsSent int
	// lastEventID is the ID of the last event that was sent to the caller.
	lastEventID string
	// lastFailure is the latest error response of a backend server.
	lastFailure *bufferedResponse
	// buffers hold responses until the request is over.
	buffers  []*bodybuffer.Buffer
	attempts int
	// mayHaveRun reports whether a backend server received the request and did not state that it has not run it.
	mayHaveRun bool
	// refusedOn are the connections on which a server has refused the request. A faulty server may write the refusal once
	// more, which could not be told from the answer if the request came on the same connection again.
	refusedOn []*connection.Conn
	// server and urgency are those of the latest attempt.
	server  string
	urgency int
	// abortConn reports whether the caller's connection must be closed without a complete response.
	abortConn bool
}

// ServeHTTP implements [http.Handler].
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.openRequests.Add(1)
	defer p.openRequests.Add(-1)
	t := &transaction{proxy: p, w: w, r: r, arrived: time.Now()}
	if p.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer t.releaseBuffers()
	if e := t.admit(); e != nil {
		t.writeError(e)
		return
	}
	ctx, span := p.tracer.Start(r.Context(), "request", trace.WithAttributes(
		attribute.String("request", t.reqHeaders.ID), attribute.String("route", t.route.Name), attribute.Int64("version", t.table.Version)))
	defer span.End()
	cancel := t.setDeadline(ctx)
	defer cancel()
	t.run()
}

// releaseBuffers frees the memory of buffered responses and of the request body.
func (t *transaction) releaseBuffers() {
	if t.callerBody != nil {
		t.callerBody.Release()
	}
	for _, b := range t.buffers {
		b.Release()
	}
}

// admit finds the request's route and organisation and reads its body. It returns nil if the request may proceed.
func (t *transaction) admit() *errorResponse {
	table := t.proxy.table.Load()
	t.table = table
	if table == nil {
		return &errorResponse{status: http.StatusServiceUnavailable, retryAfter: retryAfterNoConfig, cause: "the host has not loaded its configuration yet; send the request again"}
	}
	if e := t.refuseIfStopping(); e != nil {
		return e
	}
	headers, err := t.proxy.codec.DecodeRequest(t.r.Header)
	if err != nil {
		return &errorResponse{status: http.StatusBadRequest, cause: err.Error()}
	}
	t.reqHeaders = headers
	if t.route = table.Match(t.r.Host, t.r.URL.EscapedPath()); t.route == nil {
		return &errorResponse{status: http.StatusNotFound, cause: "no route matches the host and path of the request"}
	}
	if table.RequiresKey && !t.route.Anonymous {
		if t.org = table.Organisation(headers.Key); t.org == nil {
			return &errorResponse{status: http.StatusUnauthorized, cause: "the API key is unknown"}
		}
	}
	if e := t.readBody(table.Limits); e != nil {
		return e
	}
	return t.refuseIfStopping() // Reading the body may have taken long.
}

// refuseIfStopping returns a refusal if the host takes no new requests any more.
func (t *transaction) refuseIfStopping() *errorResponse {
	if !t.proxy.refusingNew.Load() {
		return nil
	}
	return &errorResponse{status: http.StatusServiceUnavailable, retryAfter: retryAfterStopping, cause: "the host is stopping; send the request again"}
}

// setDeadline bounds the request by the shorter of the caller's timeout and the route's, and by the end of the host.
func (t *transaction) setDeadline(ctx context.Context) context.CancelFunc {
	timeout := t.route.Timeout
	if t.reqHeaders.Timeout > 0 && (timeout <= 0 || t.reqHeaders.Timeout < timeout) {
		timeout = t.reqHeaders.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	t.deadline = t.arrived.Add(timeout)
	ctx, cancel := context.WithDeadlineCause(ctx, t.deadline, errTimeout)
	ctx, end := context.WithCancelCause(ctx)
	unlink := context.AfterFunc(t.proxy.ended, func() { end(errStopping) })
	t.ctx = ctx
	return func() {
		unlink()
		end(nil)
		cancel()
	}
}

// run submits the request to the policy and carries out its decisions until the caller has a response.
func (t *transaction) run() {
	t.req = t.policyRequest()
	t.logMalformed("caller", t.reqHeaders.Malformed)
	handle := t.proxy.loop.Submit(t.req)
	for {
		select {
		case eff := <-handle.Effects:
			if eff.Kind != dispatch.Start {
				t.handleRefusal(eff)
				return
			}
			t.attempts++
			t.server, t.urgency = eff.Server, eff.Urgency
			t.logPlacement(eff)
			res, done := t.attempt(eff)
			t.proxy.loop.Finish(res, done)
			if t.abortConn {
				t.handleContextEnd()
			}
			if done {
				return
			}
		case <-t.ctx.Done():
			t.proxy.loop.Cancel(t.req.ID)
			t.handleContextEnd()
			return
		}
	}
}

// policyRequest returns the description of the request on which the policy decides.
func (t *transaction) policyRequest() *request.Request {
	r := &request.Request{
		ID:    request.ID(t.reqHeaders.ID + "/" + strconv.FormatUint(t.proxy.sequence.Add(1), 36)),
		Class: t.route.Name, Route: t.route.Name, Tier: t.table.Tier(t.route, t.org),
		Pool: t.route.Pick(hashString(t.reqHeaders.ID)), Idempotent: t.route.Retryable(),
		Streaming: t.route.Kind == route.Stream, Attempts: t.route.Attempts,
		PromptTokens: t.reqHeaders.PromptTokens, MaxTokens: t.reqHeaders.MaxTokens, Parts: t.reqHeaders.Parts,
		Arrived: t.arrived, Deadline: t.deadline, Zone: t.proxy.zone,
		Goal: t.route.Goal, GapTarget: t.route.GapTarget,
	}
	if t.org != nil {
		r.Organisation = t.org.Name
	}
	r.Fingerprint = t.fingerprint()
	return r
}

// fingerprint hashes the request's content. Method, host, path, organisation and body are the same when the caller
// sends the request again, while its ID differs.
func (t *transaction) fingerprint() uint64 {
	d := xxhash.New()
	organisation := ""
	if t.org != nil {
		organisation = t.org.Name
	}
	for _, s := range []string{t.r.Method, t.r.Host, t.r.RequestURI, organisation} {
		_, _ = d.WriteString(s + "\x00") // Writing to a hash never fails.
	}
	_, _ = d.Write(t.body)
	return d.Sum64()
}

// countUsage counts the request as usage of its organisation. It counts at most once, after the request started to
// run.
func (t *transaction) countUsage() {
	if !t.usageCounted && t.org != nil {
		t.usageCounted = true
		t.proxy.usage.CountRequest(t.org.Name)
	}
}
