// Package gateway serves callers: the OpenAI-compatible HTTP API for models and
// plain services under their routes' prefixes. It authenticates a request,
// hands it to the decisions and relays the answer of the backend server that
// they choose, whole or with an explicit error.
package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/ops/explain"
	"shallotramp/internal/traffic/claim"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/usage/meter"
)

// Limits bound what one request may take.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// ReadTimeout bounds the reading of a request, WriteTimeout one write to a slow reader.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
}

// DefaultLimits are used where a limit is zero.
var DefaultLimits = Limits{MaxBodyBytes: 8 << 20, MaxHeaderBytes: 64 << 10, ReadTimeout: 30 * time.Second, WriteTimeout: 20 * time.Second}

// backendBufferBytes is the size of each of the two buffers of a connection to a backend server. An
// event of a stream is a few hundred bytes, and a host holds thousands of streams.
const backendBufferBytes = 1 << 10

// UsageCounter takes what organisations use.
type UsageCounter interface {
	Count(organisation string, u meter.Use)
}

// UsageRecorder takes the use of one request. Its ID is the request id that backend servers see, so that their
// own counts can be booked for a host that vanished.
type UsageRecorder interface {
	ID() string
	// Attempt adds what an attempt used; exact use is the server's own final count.
	Attempt(server string, u meter.Use, exact bool)
	End()
}

// Gateway serves callers. Create it with [New].
type Gateway struct {
	zone     string
	holder   *release.Holder
	loop     *dispatch.Loop
	counter  UsageCounter
	accounts func(organisation string) UsageRecorder
	book     *explain.Book
	metrics  *metrics.Set
	log      zerolog.Logger
	tracer   trace.Tracer
	limits   Limits
	backends http.RoundTripper
	// onces is the transport of calls that run at most once.
	onces  http.RoundTripper
	claims *claim.Book
	open   *registry
	scores *scores
}

// Option changes a [Gateway].
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
	}
}

// WithLog sets the log.
func WithLog(l zerolog.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithMetrics sets the set in which metrics are kept.
func WithMetrics(s *metrics.Set) Option { return func(g *Gateway) { g.metrics = s } }

// WithDecisionLog sets where decisions are remembered.
func WithDecisionLog(b *explain.Book) Option { return func(g *Gateway) { g.book = b } }

// WithUsageCounter sets what takes the use of organisations.
func WithUsageCounter(c UsageCounter) Option { return func(g *Gateway) { g.counter = c } }

// WithUsageRecorders opens an account for each request by f, in place of the counter.
func WithUsageRecorders(f func(organisation string) UsageRecorder) Option {
	return func(g *Gateway) { g.accounts = f }
}

// WithTransport sets the transport to backend servers.
func WithTransport(rt http.RoundTripper) Option {
	return func(g *Gateway) { g.backends, g.onces = rt, rt }
}

// New returns a Gateway in zone for the releases of holder and the decisions of loop.
func New(zone string, holder *release.Holder, loop *dispatch.Loop, opts ...Option) *Gateway {
	g := &Gateway{
		zone: zone, holder: holder, loop: loop,
		counter: meter.New(), book: explain.NewBook(), metrics: metrics.NewSet(), log: zerolog.Nop(),
		tracer: otel.Tracer("shallotramp/gateway"), limits: DefaultLimits, open: newRegistry(), scores: &scores{},
		onces: newOnceTransport(),
		backends: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: 2 * time.Second, KeepAlive: 15 * time.Second}).DialContext,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
			ReadBufferSize:      backendBufferBytes,
			WriteBufferSize:     backendBufferBytes,
		},
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Handler returns the handler of the callers' listener.
func (g *Gateway) Handler() http.Handler {
	e := echo.New()
	model := g.handle(g.readModel)
	e.POST("/v1/chat/completions", model)
	e.POST("/v1/completions", model)
	e.POST("/v1/embeddings", model)
	e.GET("/v1/models", g.serveModels)
	e.GET("/v1/models/:model", g.serveOneModel)
	e.Any("/*", g.handle(g.readService))
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if !c.Response().Committed {
			(&Fault{Kind: UnknownTarget, Code: "unknown_path", Message: err.Error(), Remedy: "use a path under /v1/ or the prefix of a route"}).write(c.Response(), newID())
		}
	}
	return e
}

// Server returns an HTTP server for the callers' listener with the header and time limits set.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:           g.Handler(),
		MaxHeaderBytes:    g.limits.MaxHeaderBytes,
		ReadHeaderTimeout: g.limits.ReadTimeout,
		IdleTimeout:       2 * time.Minute,
		BaseContext:       func(net.Listener) context.Context { return context.Background() },
	}
}

// OpenRequests returns how many requests are open.
func (g *Gateway) OpenRequests() int { return g.open.len() }

// ClassStats returns the service that each class got on this host since it started, by name.
func (g *Gateway) ClassStats() []ClassStats { return g.scores.list() }

// Enforce ends the open requests that the release in force no longer allows. It
// is called after each adoption and at least once a second.
func (g *Gateway) Enforce(now time.Time) {
	snap := g.holder.Current()
	confirmed := g.holder.Confirmed()
	g.open.endWhere(func(c *call) *Fault { return allowed(snap, confirmed, c, now) })
}

func newID() request.ID {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return request.ID(id.String())
}
