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

	"shallotramp/internal/engine/connection"
	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/route"
)

// UsageCounter counts requests that began to run.
type UsageCounter interface {
	// CountRequest counts one of the organisation's.
	CountRequest(organisation string)
}

// Proxy handles callers' requests. Create it with [New]; it implements [http.Handler].
type Proxy struct {
	zone    string
	codec   Codec
	loop    *dispatch.Loop
	pool    *connection.Pool
	log     zerolog.Logger
	usage   UsageCounter
	metrics *meters
	tracer  trace.Tracer

	table   atomic.Pointer[route.Table]
	servers atomic.Pointer[map[string]backend.Server]
	// listed is the store's version of the list of servers.
	listed   atomic.Pointer[string]
	draining atomic.Bool
	leaving  atomic.Bool
	open     atomic.Int64
	serial   atomic.Uint64
}

// Option changes an [Edge].
type Option func(*Proxy)

// WithUsage counts requests that began to run.
func WithUsage(u UsageCounter) Option { return func(e *Proxy) { e.usage = u } }

// WithLog writes decisions to l.
func WithLog(l zerolog.Logger) Option { return func(e *Proxy) { e.log = l } }

// noUsage counts nothing.
type noUsage struct{}

// CountRequest implements [Usage].
func (noUsage) CountRequest(string) {}

// New returns an Edge in an availability zone whose decisions loop takes. It answers 503 until it has a table.
func New(zone string, codec Codec, loop *dispatch.Loop, opts ...Option) *Proxy {
	e := &Proxy{zone: zone, codec: codec, loop: loop, log: zerolog.Nop(), usage: noUsage{}, metrics: newMeters(), tracer: otel.Tracer("shallotramp/edge")}
	e.pool = connection.NewPool(e.dialed)
	e.servers.Store(&map[string]backend.Server{})
	e.listed.Store(new(string))
	for _, o := range opts {
		o(e)
	}
	return e
}

func (e *Proxy) dialed(addr netip.AddrPort, err error) {
	if err != nil {
		e.metrics.dialFailed.Inc()
		e.log.Warn().Str("Event", "ConnectFailed").Stringer("Address", addr).Err(err).Send()
		return
	}
	e.metrics.dialed.Inc()
}

// SetTable puts a routing table in force. Older versions than the present one are ignored.
func (e *Proxy) SetTable(t *route.Table) {
	for {
		old := e.table.Load()
		if old != nil && old.Version >= t.Version {
			return
		}
		if e.table.CompareAndSwap(old, t) {
			return
		}
	}
}

// Table returns the routing table in force, or nil.
func (e *Proxy) Table() *route.Table { return e.table.Load() }

// SetServers replaces the addresses of the backend servers; version is the store's of the list.
func (e *Proxy) SetServers(list []backend.Server, version string) {
	if version != "" {
		e.listed.Store(&version)
	}
	m := make(map[string]backend.Server, len(list))
	for _, s := range list {
		m[s.ID] = s
	}
	e.servers.Store(&m)
	e.pool.Prune(time.Now(), func(yield func(netip.AddrPort) bool) {
		for i := range list {
			if !yield(list[i].Addr) {
				return
			}
		}
	})
}

// InFlight returns the number of requests that are being answered.
func (e *Proxy) InFlight() int64 { return e.open.Load() }

// Drain asks callers to leave: each answer closes its connection.
func (e *Proxy) Drain() { e.draining.Store(true) }

// RefuseNew refuses new requests, which another host can take.
func (e *Proxy) RefuseNew() { e.leaving.Store(true) }

// transfer is one caller's request on its way.
type transfer struct {
	e     *Proxy
	w     http.ResponseWriter
	r     *http.Request
	call  RequestHeaders
	body  []byte
	table *route.Table
	route *route.Route
	org   *route.Organisation
	// ctx ends when the caller leaves or its time is over.
	ctx      context.Context
	arrived  time.Time
	deadline time.Time
	req      *request.Request
	counted  bool
	// begun tells that the answer's head went out; last is the last event that the caller has.
	begun  bool
	events int
	last   string
	// failure is the last failure that a backend server answered with.
	failure *reply
	sent    int
	// mayHaveRun tells that a backend server got the request and did not say that it has not run it.
	mayHaveRun bool
	server     string
	// urgency is that of the latest attempt.
	urgency int
	// ended tells that the caller's connection must end without an answer.
	ended bool
}

// ServeHTTP implements [http.Handler].
func (e *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.open.Add(1)
	defer e.open.Add(-1)
	t := &transfer{e: e, w: w, r: r, arrived: time.Now()}
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if f := t.admit(); f != nil {
		t.fail(f)
		return
	}
	ctx, span := e.tracer.Start(r.Context(), "request", trace.WithAttributes(
		attribute.String("request", t.call.ID), attribute.String("route", t.route.Name), attribute.Int64("version", t.table.Version)))
	defer span.End()
	cancel := t.limit(ctx)
	defer cancel()
	t.run()
}

// admit finds the request's route and organisation and reads its body.
func (t *transfer) admit() *failure {
	table := t.e.table.Load()
	t.table = table
	if table == nil {
		return &failure{status: http.StatusServiceUnavailable, retryAfter: retryUnconfigured, cause: "no configuration is known yet"}
	}
	if t.e.leaving.Load() {
		return &failure{status: http.StatusServiceUnavailable, retryAfter: retryLeaving, cause: "the host is stopping"}
	}
	call, err := t.e.codec.DecodeRequest(t.r.Header)
	if err != nil {
		return &failure{status: http.StatusBadRequest, cause: err.Error()}
	}
	t.call = call
	if t.route = table.Match(t.r.Host, t.r.URL.EscapedPath()); t.route == nil {
		return &failure{status: http.StatusNotFound, cause: "no route matches"}
	}
	if table.Keyed && !t.route.Anonymous {
		if t.org = table.Organisation(call.Key); t.org == nil {
			return &failure{status: http.StatusUnauthorized, cause: "the key is not known"}
		}
	}
	return t.readBody(table.Limits)
}

// limit bounds the request by the caller's patience and the route's timeout.
func (t *transfer) limit(ctx context.Context) context.CancelFunc {
	left := t.route.Timeout
	if t.call.Timeout > 0 && (left <= 0 || t.call.Timeout < left) {
		left = t.call.Timeout
	}
	if left <= 0 {
		left = maxDuration
	}
	t.deadline = t.arrived.Add(left)
	ctx, cancel := context.WithDeadlineCause(ctx, t.deadline, errTimeout)
	t.ctx = ctx
	return cancel
}

// run asks for decisions and carries them out until the caller has its answer.
func (t *transfer) run() {
	t.req = t.describe()
	t.unread("caller", t.call.Malformed)
	ticket := t.e.loop.Submit(t.req)
	for {
		select {
		case eff := <-ticket.Effects:
			if eff.Kind != dispatch.Start {
				t.refused(eff)
				return
			}
			t.sent++
			t.server, t.urgency = eff.Server, eff.Urgency
			t.placed(eff)
			res, done := t.attempt(eff)
			t.e.loop.Finish(res, done)
			if t.ended {
				t.expired()
			}
			if done {
				return
			}
		case <-t.ctx.Done():
			t.e.loop.Cancel(t.req.ID)
			t.expired()
			return
		}
	}
}

// describe tells the policy of the request.
func (t *transfer) describe() *request.Request {
	r := &request.Request{
		ID:    request.ID(t.call.ID + "/" + strconv.FormatUint(t.e.serial.Add(1), 36)),
		Class: t.route.Name, Route: t.route.Name, Tier: t.table.Tier(t.route, t.org),
		Pool: t.route.Pick(hashOf(t.call.ID)), Idempotent: t.route.Repeatable(),
		Streaming: t.route.Kind == route.Stream, Attempts: t.route.Attempts,
		PromptTokens: t.call.PromptTokens, MaxTokens: t.call.MaxTokens, Parts: t.call.Parts,
		Arrived: t.arrived, Deadline: t.deadline, Zone: t.e.zone,
		Goal: t.route.Goal, GapTarget: t.route.GapTarget,
	}
	if t.org != nil {
		r.Organisation = t.org.Name
	}
	r.Fingerprint = t.fingerprint()
	return r
}

// fingerprint names the request by its content: method, path, organisation and body stay the same when its
// caller sends it again.
func (t *transfer) fingerprint() uint64 {
	d := xxhash.New()
	organisation := ""
	if t.org != nil {
		organisation = t.org.Name
	}
	for _, s := range []string{t.r.Method, t.r.Host, t.r.RequestURI, organisation} {
		_, _ = d.WriteString(s + "\x00") // A hash's Write returns no error.
	}
	_, _ = d.Write(t.body)
	return d.Sum64()
}

// count counts the request once, when it began to run.
func (t *transfer) count() {
	if !t.counted && t.org != nil {
		t.counted = true
		t.e.usage.CountRequest(t.org.Name)
	}
}
