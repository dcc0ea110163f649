// Package gateway is the HTTP frontend for callers of the serve command's hosts. It serves the OpenAI-compatible API
// for models, and plain HTTP services under the path prefixes of their routes. It authenticates each request, submits
// it to the dispatcher, which chooses a backend server, and forwards the response. A response that is not complete ends
// with an explicit error.
package gateway

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/engine/bodybuffer"
	"shallotramp/internal/entry/admission"
	"shallotramp/internal/ops/decisionlog"
	"shallotramp/internal/provider/transport"
	"shallotramp/internal/traffic/claim"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/usage/meter"
)

// Limits are the size and time limits for one request.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// ReadTimeout is the limit for reading the headers of a request, and again for reading the body.
	ReadTimeout time.Duration
	// WriteTimeout is the limit for one write to a caller that reads slowly.
	WriteTimeout time.Duration
	// BufferBytes limits the responses that are buffered and the bodies of callers at the same time, beyond a first part of
	// each.
	BufferBytes int64
}

// DefaultLimits are used where a limit is zero.
var DefaultLimits = Limits{MaxBodyBytes: 8 << 20, MaxHeaderBytes: 64 << 10, ReadTimeout: 30 * time.Second, WriteTimeout: 20 * time.Second}

// backendBufferBytes is the size of the read buffer and of the write buffer of a connection to a backend server. It
// is small because a stream event has a few hundred bytes and a host has thousands of open streams.
const backendBufferBytes = 1 << 10

// maxResponseHeaderBytes limits the header of a response of a backend server.
const maxResponseHeaderBytes = 64 << 10

// UsageCounter counts the usage of each organisation.
type UsageCounter interface {
	Count(organisation string, u meter.Usage)
}

// UsageRecorder records the usage of one request.
type UsageRecorder interface {
	// ID returns the request id that is sent to backend servers. If this host is lost, the usage that the servers
	// counted can still be attributed by this id.
	ID() string
	// Attempt adds the usage of one attempt. exact says that u is the final count of the server itself.
	Attempt(server string, u meter.Usage, exact bool)
	// End is called once, when the request has ended.
	End()
}

// Gateway serves callers. Create it with [New].
type Gateway struct {
	zone             string
	holder           *release.Holder
	dispatcher       *dispatch.Loop
	usageCounter     UsageCounter
	newUsageRecorder func(organisation string) UsageRecorder
	decisionLog      *decisionlog.DecisionLog
	metrics          *metrics.Set
	log              zerolog.Logger
	tracer           trace.Tracer
	limits           Limits
	// buffers is the memory for responses that are buffered.
	buffers *bodybuffer.Budget
	// callerShare is the part of buffers that what callers send may use.
	callerShare      *bodybuffer.Share
	refused          func(admission.Kind, netip.Addr)
	backendTransport http.RoundTripper
	// atMostOnceTransport sends calls that must run at most once.
	atMostOnceTransport http.RoundTripper
	claimer             *claim.Claimer
	openCalls           *callRegistry
	classStats          *classCounterMap
}

// Option configures a [Gateway].
type Option func(*Gateway)

// WithLimits replaces the limits; zero fields keep their defaults.
func WithLimits(l Limits) Option {
	return func(g *Gateway) {
		if l.MaxBodyBytes > 0 {
			g.limits.MaxBodyBytes = l.MaxBodyBytes
		}
		if l.MaxHeaderBytes > 0 {
			g.limits.MaxHeaderBytes = l.MaxHeaderBytes
		}
		if l.ReadTimeout > 0 {
			g.limits.ReadTimeout = l.ReadTimeout
		}
		if l.WriteTimeout > 0 {
			g.limits.WriteTimeout = l.WriteTimeout
		}
		if l.BufferBytes > 0 {
			g.setBufferBytes(l.BufferBytes)
		}
	}
}

// WithRefusals tells f of each caller whose body is refused.
func WithRefusals(f func(admission.Kind, netip.Addr)) Option {
	return func(g *Gateway) { g.refused = f }
}

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithMetrics sets the set in which metrics are registered.
func WithMetrics(s *metrics.Set) Option { return func(g *Gateway) { g.metrics = s } }

// WithDecisionLog sets where the decisions about each request are recorded.
func WithDecisionLog(l *decisionlog.DecisionLog) Option {
	return func(g *Gateway) { g.decisionLog = l }
}

// WithUsageCounter sets the counter for the usage of organisations.
func WithUsageCounter(c UsageCounter) Option { return func(g *Gateway) { g.usageCounter = c } }

// WithUsageRecorders sets the function that creates a UsageRecorder for each request.
func WithUsageRecorders(f func(organisation string) UsageRecorder) Option {
	return func(g *Gateway) { g.newUsageRecorder = f }
}

// WithTransport sets the transport for all requests to backend servers.
func WithTransport(rt http.RoundTripper) Option {
	return func(g *Gateway) { g.backendTransport, g.atMostOnceTransport = rt, rt }
}

const (
	// bufferRatio is the part of the runtime's memory limit that buffered responses may use, and defaultBufferBytes their memory
	// if there is no such limit.
	bufferRatio        = 0.25
	defaultBufferBytes = 512 << 20
)

// bufferBytes returns the memory for all responses that are buffered at the same time.
func bufferBytes() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return int64(bufferRatio * float64(limit))
	}
	return defaultBufferBytes
}

// callerDivisor divides the memory of the buffers to give the part that what callers send may use, so that the rest is left
// for responses.
const callerDivisor = 2

func (g *Gateway) setBufferBytes(n int64) {
	g.buffers = bodybuffer.NewBudget(n)
	g.callerShare = g.buffers.NewShare(n / callerDivisor)
}

// CallerShare returns the memory for what callers send.
func (g *Gateway) CallerShare() *bodybuffer.Share { return g.callerShare }

// New returns a Gateway in zone that takes its configuration from holder and submits requests to loop.
func New(zone string, holder *release.Holder, loop *dispatch.Loop, opts ...Option) *Gateway {
	g := &Gateway{
		zone: zone, holder: holder, dispatcher: loop,
		usageCounter: meter.New(), decisionLog: decisionlog.NewDecisionLog(), metrics: metrics.NewSet(), log: zerolog.Nop(),
		tracer: otel.Tracer("shallotramp/gateway"), limits: DefaultLimits, refused: func(admission.Kind, netip.Addr) {}, openCalls: newCallRegistry(), classStats: &classCounterMap{},
		atMostOnceTransport: newAtMostOnceTransport(),
		backendTransport: transport.Checked{Transport: &http.Transport{
			DialContext:            transport.Dial(&net.Dialer{Timeout: 2 * time.Second, KeepAlive: 15 * time.Second}),
			MaxIdleConnsPerHost:    256,
			IdleConnTimeout:        time.Minute,
			DisableCompression:     true,
			ReadBufferSize:         backendBufferBytes,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			WriteBufferSize:        backendBufferBytes,
		}},
	}
	g.setBufferBytes(bufferBytes())
	for _, o := range opts {
		o(g)
	}
	return g
}

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() http.Handler {
	e := echo.New()
	model := g.handle(g.parseModelRequest)
	e.POST("/v1/chat/completions", model)
	e.POST("/v1/completions", model)
	e.POST("/v1/embeddings", model)
	e.GET("/v1/models", g.serveModels)
	e.GET("/v1/models/:model", g.serveModel)
	e.Any("/*", g.handle(g.parseServiceRequest))
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if !c.Response().Committed {
			(&Fault{Kind: UnknownTarget, Code: "unknown_path", Message: err.Error(), Remedy: "use a path under /v1/ or the prefix of a route"}).write(c.Response(), newID())
		}
	}
	return e
}

// Server returns an HTTP server for callers with the header and time limits set.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:           g.Handler(),
		MaxHeaderBytes:    g.limits.MaxHeaderBytes,
		ReadHeaderTimeout: g.limits.ReadTimeout,
		IdleTimeout:       2 * time.Minute,
		BaseContext:       func(net.Listener) context.Context { return context.Background() },
	}
}

// OpenRequests returns the number of open requests.
func (g *Gateway) OpenRequests() int { return g.openCalls.len() }

// StatsByClass returns the statistics of each class since this host started, sorted by class name.
func (g *Gateway) StatsByClass() []ClassStats { return g.classStats.list() }

// Enforce ends the open requests that the current configuration no longer allows. It must be called after each
// change of the configuration and at least once a second.
func (g *Gateway) Enforce(now time.Time) {
	snap := g.holder.Current()
	confirmed := g.holder.Confirmed()
	g.openCalls.cancelWhere(func(c *call) *Fault { return checkOpenCall(snap, confirmed, c, now) })
}

func newID() request.ID {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return request.ID(id.String())
}
