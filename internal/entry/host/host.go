// Package host assembles an entry host: the callers' and operators' listeners,
// the decisions and the parts of the fleet that run on it.
package host

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotramp/internal/capacity/controller"
	"shallotramp/internal/capacity/planner"
	"shallotramp/internal/capacity/stock"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/engine/load"
	"shallotramp/internal/entry/console"
	"shallotramp/internal/entry/gateway"
	"shallotramp/internal/fleet/lease"
	"shallotramp/internal/fleet/relay"
	"shallotramp/internal/ops/event"
	"shallotramp/internal/ops/explain"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/traffic/claim"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/scheduler"
	"shallotramp/internal/usage/ledger"
	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/reporter"
)

// Config holds the settings of a host.
type Config struct {
	Name      string
	Zone      string
	Callers   netip.AddrPort
	Operators netip.AddrPort
	// DrainDelay is how long the host still takes requests after it is no longer ready, so that
	// the balancer notices. DrainTimeout bounds the wait for open requests.
	DrainDelay   time.Duration
	DrainTimeout time.Duration
	Limits       gateway.Limits
	Fleet        FleetConfig
	Usage        UsageConfig
	// OrderingURL is the base URL of the platform's interface that starts and stops backend servers; empty
	// leaves pools as they are configured.
	OrderingURL string
}

// usageCloseTimeout bounds the writing of usage at a planned stop.
const usageCloseTimeout = 30 * time.Second

// enforceInterval is how often open requests are checked against the release in force.
const enforceInterval = time.Second

// eventsKept bounds the events that a host remembers.
const eventsKept = 500

// Host is one entry host. Create it with [New] and start it with [Host.Run].
type Host struct {
	cfg      Config
	log      zerolog.Logger
	store    store.Store
	holder   *release.Holder
	loop     *dispatch.Loop
	gateway  *gateway.Gateway
	meter    *meter.Meter
	book     *explain.Book
	metrics  *metrics.Set
	draining atomic.Bool
	callers  net.Listener
	console  net.Listener
	events   *event.Log
	// node is nil without links to other hosts.
	node   *relay.Node
	leases *lease.Manager
	claims *claim.Book
	poller *load.Poller
	ledger *ledger.Ledger
	// tally sums up what all hosts tell of pools.
	tally *stock.Tally
	// controller and planner are nil where no orders are given.
	controller *controller.Controller
	planner    *planner.Planner
	// reporter is nil where usage is not reported.
	reporter *reporter.Reporter
}

// New returns a Host that listens at once, so that its addresses are known, and serves when run.
func New(cfg Config, st store.Store, log zerolog.Logger) (*Host, error) {
	h := &Host{
		cfg: cfg, log: log, store: st, holder: &release.Holder{},
		meter: meter.New(), book: explain.NewBook(), metrics: metrics.NewSet(),
		events: event.New(eventsKept), claims: claim.NewBook(st, cfg.Name),
	}
	h.loop = dispatch.NewLoop(scheduler.New(rand.Uint64(), scheduler.WithZone(cfg.Zone)), dispatch.WithObserver(h.observe))
	h.tally = stock.NewTally(cfg.Name, h.loop)
	h.leases = lease.NewManager(st, cfg.Name)
	if err := h.listen(); err != nil {
		return nil, err
	}
	if err := h.join(st); err != nil {
		_ = h.callers.Close()
		_ = h.console.Close()
		return nil, err
	}
	h.preparePoller()
	h.prepareUsage()
	h.prepareOrders()
	h.gateway = gateway.New(cfg.Zone, h.holder, h.loop, gateway.WithLog(log), gateway.WithMetrics(h.metrics),
		gateway.WithBook(h.book), gateway.WithCounter(h.meter), gateway.WithLimits(cfg.Limits),
		gateway.WithClaims(h.claims), gateway.WithAccounts(h.openAccount))
	return h, nil
}

func (h *Host) listen() error {
	var err error
	if h.callers, err = net.Listen("tcp", h.cfg.Callers.String()); err != nil {
		return errors.Wrap(err, "the callers' listener cannot start; free the address or set --callers")
	}
	if h.console, err = net.Listen("tcp", h.cfg.Operators.String()); err != nil {
		_ = h.callers.Close()
		return errors.Wrap(err, "the operators' listener cannot start; free the address or set --operators")
	}
	return nil
}

// observe keeps decisions that no request's own goroutine sees.
func (h *Host) observe(e dispatch.Effect) {
	if e.Kind == dispatch.Preempt {
		h.book.Note(e.ID, time.Now(), "preempted", e.Why)
		h.metrics.GetOrCreateCounter("preemptions_total").Inc()
	}
}

// CallersURL returns the base URL of the callers' listener.
func (h *Host) CallersURL() string { return "http://" + h.callers.Addr().String() }

// OperatorsURL returns the base URL of the operators' listener.
func (h *Host) OperatorsURL() string { return "http://" + h.console.Addr().String() }

// Run serves until ctx ends, then drains: readiness off, open requests finished, listeners closed.
func (h *Host) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	parts := h.parts()
	done := make(chan error, len(parts))
	for _, run := range parts {
		go run(work, done)
	}
	callers := h.gateway.Server()
	callers.Handler = h.closing(callers.Handler)
	operators := &http.Server{Handler: h.consoleHandler(), ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 2)
	go serve(callers, h.callers, served)
	go serve(operators, h.console, served)
	h.log.Info().Str("Host", h.cfg.Name).Str("Zone", h.cfg.Zone).Str("Callers", h.CallersURL()).Str("Operators", h.OperatorsURL()).Msg("host serves")
	var err error
	select {
	case <-ctx.Done():
		err = h.drain(callers)
	case err = <-served:
		served <- nil
	}
	stop()
	for range parts {
		<-done
	}
	_ = operators.Close()
	_ = callers.Close()
	<-served
	<-served
	return err
}

// parts returns what runs beside the listeners.
func (h *Host) parts() []func(context.Context, chan<- error) {
	out := []func(context.Context, chan<- error){h.loop.Run, h.enforce, h.claims.Run, h.leases.Run, h.poller.Run, h.ledger.Run}
	if h.node != nil {
		out = append(out, h.node.Run)
	} else {
		out = append(out, h.follower().Run)
	}
	if h.reporter != nil {
		out = append(out, h.reporter.Run)
	}
	if h.planner != nil {
		out = append(out, h.controller.Run, h.planner.Run)
	}
	return out
}

func serve(s *http.Server, ln net.Listener, served chan<- error) {
	err := s.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	served <- err
}

// closing ends a caller's connection with its answer while the host drains, so that few idle
// connections are left when the listener closes: a request that crosses their end would be lost.
func (h *Host) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain stops taking new work and waits for the open requests.
func (h *Host) drain(callers *http.Server) error {
	h.draining.Store(true)
	h.log.Info().Int("Open", h.gateway.Open()).Msg("host drains")
	time.Sleep(h.cfg.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.DrainTimeout)
	defer cancel()
	err := callers.Shutdown(ctx)
	if err != nil {
		err = errors.Wrapf(err, "%d requests were still open after --drain-timeout; raise it to let them finish", h.gateway.Open())
		_ = callers.Close()
	}
	// What requests used is complete only now; a host that cannot write it leaves it to the reporter.
	ctx, cancel = context.WithTimeout(context.Background(), usageCloseTimeout)
	defer cancel()
	return errors.CombineErrors(err, errors.Wrap(h.ledger.Close(ctx), "the host's usage was not written; the reporter books it from the backend servers' counts"))
}

func (h *Host) follower() *release.Follower {
	return release.NewFollower(h.store, h.holder, h.log, h.adopted)
}

func (h *Host) adopted(s *release.Snapshot) {
	h.loop.Configure(s)
	h.gateway.Enforce(time.Now())
}

// enforce checks the open requests against time: keys expire and a cut-off host's grace ends.
func (h *Host) enforce(ctx context.Context, done chan<- error) {
	t := time.NewTicker(enforceInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			if h.holder.Current() != nil {
				h.gateway.Enforce(now)
			}
		case <-ctx.Done():
			done <- nil
			return
		}
	}
}

func (h *Host) consoleHandler() http.Handler {
	c := &console.Console{Status: h.Status, Page: h.page, Explanations: h.book, Metrics: h.metrics, ExtraHandlers: h.fleetPages()}
	return c.Handler()
}

// Status returns what the host tells of itself.
func (h *Host) Status() console.Status {
	s := console.Status{
		Host: h.cfg.Name, Zone: h.cfg.Zone, Draining: h.draining.Load(),
		Confirmed: h.holder.Confirmed(), Open: h.gateway.Open(), Use: h.meter.Sums(),
	}
	if snap := h.holder.Current(); snap != nil {
		s.Release, s.Digest = snap.Number, snap.Digest
		s.Ready = !s.Draining && h.ready()
	}
	return s
}
