// Package host assembles a host of the serve command: the listeners for callers
// and operators, the dispatch loop, and the components that work with other hosts.
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
	"shallotramp/internal/capacity/reconcile"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/engine/loadpoller"
	"shallotramp/internal/entry/admission"
	"shallotramp/internal/entry/console"
	"shallotramp/internal/entry/gateway"
	"shallotramp/internal/fleet/lease"
	"shallotramp/internal/fleet/relay"
	"shallotramp/internal/ops/decisionlog"
	"shallotramp/internal/ops/event"
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
	Name string
	Zone string
	// Callers and Operators are the addresses of the listeners for callers and operators.
	Callers   netip.AddrPort
	Operators netip.AddrPort
	// DrainDelay is how long the host still accepts requests after it is no longer ready, so that
	// the load balancer notices. DrainTimeout bounds the wait for open requests.
	DrainDelay   time.Duration
	DrainTimeout time.Duration
	// MemoryBytes is the memory of the process, which bounds the connections of callers; 0 if unknown.
	MemoryBytes int64
	Limits      gateway.Limits
	Fleet       FleetConfig
	Usage       UsageConfig
	// OrderingURL is the base URL of the platform's interface that starts and stops backend servers. If it is
	// empty, pools stay as they are configured.
	OrderingURL string
}

// answerTimeout is the time for the answers to requests that are still open after the drain timeout.
const answerTimeout = time.Second

// usageCloseTimeout bounds the writing of usage at a planned stop.
const usageCloseTimeout = 30 * time.Second

// enforceInterval is the time between two checks of the open requests against the current release.
const enforceInterval = time.Second

// operatorConns is the number of connections to the listener for operators: some checkers, readers of metrics and people.
const operatorConns = 16

// maxEvents bounds the number of events that a host keeps.
const maxEvents = 500

// Host is one host of the fleet. Create it with [New] and start it with [Host.Run].
type Host struct {
	cfg              Config
	log              zerolog.Logger
	store            store.Store
	holder           *release.Holder
	loop             *dispatch.Loop
	gateway          *gateway.Gateway
	meter            *meter.Meter
	decisionLog      *decisionlog.DecisionLog
	metrics          *metrics.Set
	refusals         *admission.Reporter
	draining         atomic.Bool
	callerListener   net.Listener
	operatorListener net.Listener
	events           *event.Log
	// node links this host with other hosts; nil if links are off.
	node    *relay.Node
	leases  *lease.Manager
	claimer *claim.Claimer
	poller  *loadpoller.Poller
	ledger  *ledger.Ledger
	// demand adds up the requests of pools and servers as all hosts report them.
	demand *reconcile.LoadAggregator
	// controller and planner are nil on a host that does not start or stop backend servers.
	controller *controller.Controller
	planner    *planner.Planner
	// reporter is nil if usage is not reported.
	reporter *reporter.Reporter
}

// New returns a Host whose listeners are open, so that its addresses are known. It serves requests in [Host.Run].
func New(cfg Config, st store.Store, log zerolog.Logger) (*Host, error) {
	h := &Host{
		cfg: cfg, log: log, store: st, holder: &release.Holder{},
		meter: meter.New(), decisionLog: decisionlog.NewDecisionLog(), metrics: metrics.NewSet(),
		events: event.NewLog(maxEvents), claimer: claim.NewClaimer(st, cfg.Name),
	}
	h.loop = dispatch.NewLoop(scheduler.New(rand.Uint64(), scheduler.WithZone(cfg.Zone), scheduler.WithHost(cfg.Name)), dispatch.WithObserver(h.recordPreemption))
	h.refusals = admission.NewReporter(h.metrics, log)
	h.demand = reconcile.NewLoadAggregator(cfg.Name, h.loop)
	h.leases = lease.NewManager(st, cfg.Name)
	if err := h.listen(); err != nil {
		return nil, err
	}
	if err := h.prepareLinks(st); err != nil {
		_ = h.callerListener.Close()
		_ = h.operatorListener.Close()
		return nil, err
	}
	h.preparePoller()
	h.prepareUsage()
	h.prepareOrders()
	h.gateway = gateway.New(cfg.Zone, h.holder, h.loop, gateway.WithLog(log), gateway.WithMetrics(h.metrics),
		gateway.WithDecisionLog(h.decisionLog), gateway.WithUsageCounter(h.meter), gateway.WithLimits(cfg.Limits),
		gateway.WithRefusals(h.refusals.Refused), gateway.WithClaims(h.claimer), gateway.WithUsageRecorders(h.newUsageRecorder))
	return h, nil
}

func (h *Host) listen() error {
	var err error
	if h.callerListener, err = net.Listen("tcp", h.cfg.Callers.String()); err != nil {
		return errors.Wrap(err, "cannot listen for callers; free the address or set --callers")
	}
	if h.operatorListener, err = net.Listen("tcp", h.cfg.Operators.String()); err != nil {
		_ = h.callerListener.Close()
		return errors.Wrap(err, "cannot listen for operators; free the address or set --operators")
	}
	return nil
}

// recordPreemption notes a preemption in the explanation of the request, whose own goroutine does not see that
// decision. It ignores other effects.
func (h *Host) recordPreemption(effect dispatch.Effect) {
	if effect.Kind == dispatch.Preempt {
		h.decisionLog.AddStep(effect.ID, time.Now(), "preempted", effect.Why)
		h.metrics.GetOrCreateCounter("preemptions_total").Inc()
	}
}

// CallersURL returns the base URL of the callers' listener.
func (h *Host) CallersURL() string { return "http://" + h.callerListener.Addr().String() }

// OperatorsURL returns the base URL of the operators' listener.
func (h *Host) OperatorsURL() string { return "http://" + h.operatorListener.Addr().String() }

// Run serves until ctx ends and then drains: the host is no longer ready, open requests finish, and the listeners
// close.
func (h *Host) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	components := h.components()
	done := make(chan error, len(components))
	for _, run := range components {
		go run(workCtx, done)
	}
	callerServer := h.gateway.Server()
	callerServer.Handler = h.closeWhileDraining(callerServer.Handler)
	operatorServer := &http.Server{Handler: h.operatorHandler(), ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 2)
	go serve(h.gate(admission.Conns(h.cfg.MemoryBytes, 0)), callerServer, h.callerListener, served)
	go serve(h.gate(operatorConns), operatorServer, h.operatorListener, served)
	h.log.Info().Str("Host", h.cfg.Name).Str("Zone", h.cfg.Zone).Str("Callers", h.CallersURL()).Str("Operators", h.OperatorsURL()).Msg("host is serving requests")
	var err error
	select {
	case <-ctx.Done():
		err = h.drain(callerServer)
	case err = <-served:
		served <- nil
	}
	stop()
	for range components {
		<-done
	}
	_ = operatorServer.Close()
	_ = callerServer.Close()
	<-served
	<-served
	return err
}

// components returns the Run functions of the goroutines that run beside the listeners.
func (h *Host) components() []func(context.Context, chan<- error) {
	out := []func(context.Context, chan<- error){h.loop.Run, h.enforce, h.claimer.Run, h.leases.Run, h.poller.Run, h.ledger.Run}
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

// gate returns the bounds of a listener with at most maxConns connections.
func (h *Host) gate(maxConns int) *admission.Gate {
	return admission.New(maxConns, admission.WithHeadBytes(func() int64 { return int64(h.cfg.Limits.MaxHeaderBytes) }),
		admission.WithShare(h.gateway.CallerShare()), admission.WithObserver(h.refusals.Refused))
}

func serve(g *admission.Gate, s *http.Server, ln net.Listener, served chan<- error) {
	err := g.Serve(s, ln)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	served <- err
}

// closeWhileDraining closes a caller's connection after the response while the host drains, so that few idle
// connections are left when the listener closes: a request sent while its connection closes would be lost.
func (h *Host) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain stops accepting requests and waits for the open ones.
func (h *Host) drain(callerServer *http.Server) error {
	h.draining.Store(true)
	h.log.Info().Int("Open", h.gateway.OpenRequests()).Msg("host is draining")
	time.Sleep(h.cfg.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.DrainTimeout)
	defer cancel()
	err := callerServer.Shutdown(ctx)
	if err != nil {
		err = errors.Wrapf(err, "%d requests were still open after --drain-timeout; raise it to let them finish", h.gateway.OpenRequests())
		h.gateway.EndRequests()
		answerCtx, cancelAnswers := context.WithTimeout(context.Background(), answerTimeout)
		defer cancelAnswers()
		_ = callerServer.Shutdown(answerCtx) // The first error is returned.
		_ = callerServer.Close()
	}
	// The usage is complete only after the last request. What this host cannot write, the reporter takes from the
	// backend servers' counts.
	ctx, cancel = context.WithTimeout(context.Background(), usageCloseTimeout)
	defer cancel()
	return errors.CombineErrors(err, errors.Wrap(h.ledger.Close(ctx), "cannot write the host's usage to the platform's store; the reporter takes it from the backend servers' counts"))
}

func (h *Host) follower() *release.Follower {
	return release.NewFollower(h.store, h.holder, h.log, h.applyRelease)
}

func (h *Host) applyRelease(s *release.Snapshot) {
	h.loop.Configure(s)
	h.gateway.Enforce(time.Now())
}

// enforce checks the open requests periodically, because keys expire and the grace period of a host that is cut off
// from the platform ends.
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

func (h *Host) operatorHandler() http.Handler {
	c := &console.Console{Status: h.Status, Page: h.statusPage, DecisionLog: h.decisionLog, Metrics: h.metrics, ExtraHandlers: h.extraHandlers()}
	return c.Handler()
}

// Status returns the host's state as operators see it.
func (h *Host) Status() console.Status {
	s := console.Status{
		Host: h.cfg.Name, Zone: h.cfg.Zone, Draining: h.draining.Load(),
		Confirmed: h.holder.Confirmed(), Open: h.gateway.OpenRequests(), Use: h.meter.Sums(),
	}
	if snap := h.holder.Current(); snap != nil {
		s.Release, s.Digest = snap.Number, snap.Digest
		s.Ready = !s.Draining && h.ready()
	}
	return s
}
