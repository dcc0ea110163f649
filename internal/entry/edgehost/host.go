// Package edgehost runs a host of the edge command as a member of a deployment. It
// watches the configuration and the backend servers in the platform's store, passes
// them to the placement policy and the proxy, exchanges state with other hosts by
// gossip, and competes for the duties lease, whose holder performs the [Duties].
package edgehost

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"shallotramp/internal/capacity/supply"
	"shallotramp/internal/entry/admission"
	"shallotramp/internal/entry/edge"
	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/fleet/evacuation"
	"shallotramp/internal/fleet/fleetclock"
	"shallotramp/internal/fleet/gossip"
	"shallotramp/internal/fleet/lease"
	"shallotramp/internal/fleet/serverlist"
	"shallotramp/internal/ops/log"
	"shallotramp/internal/provider/feed"
	"shallotramp/internal/provider/reflector"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/pace"
	"shallotramp/internal/traffic/placement"
	"shallotramp/internal/traffic/route"
	"shallotramp/internal/traffic/warmup"
	"shallotramp/internal/usage/tally"
)

// Kinds names the kinds of objects that the host watches in the store, and the object that holds the routing table.
type Kinds struct {
	Table, TableName, Servers string
	// Evacuations is the kind of the objects that name the availability zones whose servers get nothing; empty if there
	// are none.
	Evacuations string
}

// Platform connects the host to the platform on which it runs.
type Platform struct {
	Store interface {
		store.Store
		reflector.Source
	}
	Kinds        Kinds
	DecodeTable  func(json.RawMessage) (*route.Table, error)
	DecodeServer func(id string, spec json.RawMessage) (backend.Server, error)
	Codec        edge.Codec
	// Duties is nil if this host makes no such calls.
	Duties Duties
}

// Config describes a host.
type Config struct {
	Host, Zone             string
	IP                     netip.Addr
	CallersAddr, ReadyAddr netip.AddrPort
	MetricsAddr            netip.AddrPort
	FleetPort              uint16
	Seeds                  []netip.Addr
	// LinkMbps is the bandwidth of the host's network link. Hosts with the most bandwidth watch the store on behalf
	// of others.
	LinkMbps int
	// FirstStart is set while all hosts of the deployment start together for the first time, before there are requests.
	FirstStart bool
	Retry      placement.RetryLimits
	// BufferBytes is the memory for responses that are buffered before they are forwarded, and for what callers send.
	BufferBytes int64
	// MaxConns is the number of connections of callers; if it is 0, the descriptors of the process decide.
	MaxConns int
	// Grace is the time between the signal to stop and the moment at which the process is killed.
	Grace time.Duration
	// ApplyTimeout is the time within which a new configuration must take effect. A watch request to the store lasts
	// as long, so that a watch that has fallen silent is noticed in that time.
	ApplyTimeout time.Duration
	// EntryLifetime is the time after which the entry of a backend server that no longer renews it has expired; 0 if unknown.
	EntryLifetime time.Duration
	// ColdOvershoot and ColdAllowance bound the requests that a cold server gets in any second: ColdOvershoot times its rate
	// and ColdAllowance more. Both are 0 if there is no bound.
	ColdOvershoot, ColdAllowance float64
	// EvacuateTimeout is the time within which the evacuation of an availability zone must take effect; 0 if no zone is
	// evacuated.
	EvacuateTimeout time.Duration
	// LeaseTerm is the term of the duties lease.
	LeaseTerm time.Duration
	// UsageWindow is the length of a usage window. The usage is reported within UsageDue after the window's end.
	UsageWindow, UsageDue       time.Duration
	ReportsUsage, OrdersServers bool
}

// Host is one host of the deployment. Create it with [New].
type Host struct {
	cfg      Config
	platform Platform
	log      zerolog.Logger
	logs     *log.Log
	// processID is the name of the host and a random suffix, so that a restarted host counts as another process.
	processID string

	policy           *placement.Policy
	loop             *dispatch.Loop
	proxy            *edge.Proxy
	gossip           *gossip.Endpoint
	clock            *fleetclock.Clock
	tally            *tally.Tally
	leases           *lease.Manager
	dutyLease        *lease.Lease
	feed             *feed.Feed
	tableReflector   *reflector.Reflector
	serversReflector *reflector.Reflector
	// evacuationsReflector is nil if no availability zone is evacuated, as is evacuations.
	evacuationsReflector *reflector.Reflector

	// refusals counts and logs the callers that were refused before their requests were handled.
	refusals *admission.Reporter

	// crashesSeen counts the requests of this host that ended with their server.
	crashesSeen *metrics.Counter
	// heldParts is the number of parts of prompts because of which requests are refused.
	heldParts *metrics.Gauge
	// storeRestored counts the restorations of the store that the host has noticed, by each kind of object.
	storeRestored *metrics.Counter
	// limitedServers is the number of servers that limit their requests.
	limitedServers *metrics.Gauge
	// overShare counts requests beyond the shares of their organisations.
	overShare *metrics.Counter
	// coldServers is the number of servers that are cold.
	coldServers *metrics.Gauge
	// evacuatedZones is the number of availability zones whose servers get nothing; nil if no zone is evacuated.
	evacuatedZones *metrics.Gauge
	// overloads are the reports of overload as last logged, by service.
	overloads map[string]loggedOverload

	servers       atomic.Pointer[[]backend.Server]
	serversListed atomic.Bool
	stopping      atomic.Bool
	// zoneView is the number of hosts among which this host divides the requests to cold servers.
	zoneView atomic.Int32
	// holderCheckedAt is when the lease was last read or a packet of its holder last received. Only runPeriodic uses
	// it.
	holderCheckedAt time.Time
	// lastHolder is the process that last said that it holds the duties lease.
	lastHolder string
	// countsCompleteFrom is the time, by the clock field, from which on this host has received the counts of all
	// others.
	countsCompleteFrom time.Time

	// mu guards the fields below, which the reflectors, the gossip endpoint and runPeriodic share, and those fields of
	// cfg that [Host.Reload] changes.
	mu         sync.Mutex
	serverList *serverlist.List
	// evacuations holds the evacuated availability zones. Until it is known, the policy gets no servers.
	evacuations *evacuation.List
	// evacuated are the evacuated zones that were logged last.
	evacuated []evacuation.Zone
	storeDown map[string]bool
	// newestTable is the object from which the routing table in force was decoded. Only the table's reflector uses it.
	newestTable store.Object
	// storeEras are the eras of the store by what was read from it.
	storeEras   map[string]int64
	staleness   staleness
	policyState placement.HostState
	recentParts []recentPart
	// pacedServers is the number of servers whose lasting pace differs from that of their service, and serverPaces are
	// the paces that were logged last.
	pacedServers *metrics.Gauge
	serverPaces  map[string]pace.Pace
	// serverLimits are the limits of servers that were logged last.
	serverLimits map[string]knownLimit
	// crashLoggedAt is the time of the last crash of a server that was logged.
	crashLoggedAt time.Time
	// zoneState is the state of the availability zone and zoneParts the placements of prompt parts by its hosts, both
	// for summaries to other zones.
	zoneState    placement.HostState
	zoneParts    map[placement.PartLocation]time.Time
	serviceLoads map[string]supply.Load
	// reportedHolder is the other process that holds the duties lease, and reportedHolderAt when it first said so.
	reportedHolder   string
	reportedHolderAt time.Time
}

// New returns a Host, which does nothing until [Host.Run].
func New(cfg Config, p Platform, logs *log.Log) *Host {
	if cfg.MaxConns <= 0 {
		cfg.MaxConns = admission.Conns(0, 0)
	}
	h := &Host{
		cfg: cfg, platform: p, log: logs.Process, logs: logs, processID: cfg.Host + "/" + uuid.NewString()[:8],
		clock: fleetclock.New(time.Now(), fleetclock.SinceBoot), serverList: serverlist.New(serverListOptions(cfg)...), storeDown: map[string]bool{}, storeEras: map[string]int64{}, zoneParts: map[placement.PartLocation]time.Time{},
	}
	h.refusals = admission.NewReporter(metrics.GetDefaultSet(), logs.Process)
	h.heldParts = metrics.GetOrCreateGauge("shallotramp_held_parts", nil)
	h.storeRestored = metrics.GetOrCreateCounter("shallotramp_store_restored_total")
	h.limitedServers = metrics.GetOrCreateGauge("shallotramp_limited_servers", nil)
	h.overShare = metrics.GetOrCreateCounter("shallotramp_requests_over_share_total")
	h.coldServers = metrics.GetOrCreateGauge("shallotramp_cold_servers", nil)
	h.pacedServers = metrics.GetOrCreateGauge("shallotramp_paced_servers", nil)
	h.crashesSeen = metrics.GetOrCreateCounter("shallotramp_requests_crashed_total")
	h.countsCompleteFrom = h.clock.Now().Add(warmUp)
	h.servers.Store(&[]backend.Server{})
	if cfg.UsageWindow > 0 {
		h.tally = tally.New(cfg.UsageWindow, h.processID)
	}
	h.policy = placement.New(uint64(time.Now().UnixNano()), policyOptions(cfg)...)
	h.loop = dispatch.NewLoop(h.policy)
	h.proxy = edge.New(cfg.Zone, p.Codec, h.loop, edge.WithLog(logs.Requests), edge.WithUsage(usageCounter{h}), edge.WithBufferBytes(cfg.BufferBytes), edge.WithRefusals(h.refusals.Refused))
	h.gossip = gossip.New(gossip.Self{Host: h.processID, Zone: cfg.Zone, Addr: cfg.IP, Port: cfg.FleetPort, Seeds: cfg.Seeds, LinkMbps: cfg.LinkMbps}, h.fillPacket, h.handlePacket, gossip.WithErrorHandler(h.logGossipFailure))
	h.feed = feed.New(cfg.ApplyTimeout)
	newSource := func(opts ...feed.Option) *feed.Source {
		return feed.NewSource(p.Store, h.neighbours, h.logNeighbourFailure, append([]feed.Option{feed.WithOthers(h.hostsWithNewestTable)}, opts...)...)
	}
	tableSource, serversSource := newSource(), newSource()
	h.tableReflector = reflector.New(tableSource, p.Kinds.Table, cfg.ApplyTimeout, relistInterval, func(u reflector.Update) {
		h.readTable(u, tableSource.Direct())
	})
	h.serversReflector = reflector.New(serversSource, p.Kinds.Servers, cfg.ApplyTimeout, relistInterval, func(u reflector.Update) {
		h.feed.Apply(p.Kinds.Servers, u, serversSource.Direct(), time.Now())
		h.applyServersUpdate(u)
	}, reflector.WithCoalesceDelay(cfg.ApplyTimeout/coalesceDivisor))
	if followsEvacuations(cfg, p.Kinds) {
		h.followEvacuations(newSource(feed.WithOthers(h.hostsThatSeeEvacuations), feed.WithMaxHostWait(cfg.EvacuateTimeout/hostWaitDivisor)))
	}
	if p.Duties != nil {
		h.leases = lease.NewManager(p.Store, h.processID, lease.WithConfig(leaseConfig(cfg.LeaseTerm)), lease.WithObserver(h.logLeaseChange))
		h.leases.SetWatching(false)
		h.dutyLease = h.leases.Campaign(dutiesLease)
	}
	return h
}

func policyOptions(cfg Config) []placement.Option {
	out := []placement.Option{placement.WithZone(cfg.Zone), placement.WithHost(cfg.Host), placement.WithRetryLimits(cfg.Retry)}
	if cfg.ColdOvershoot > 0 || cfg.ColdAllowance > 0 {
		out = append(out, placement.WithColdServers(cfg.Host, warmup.Bound{Overshoot: cfg.ColdOvershoot, Allowance: cfg.ColdAllowance}, warmupOptions(cfg)...))
	}
	return out
}

func warmupOptions(cfg Config) []warmup.Option {
	if !cfg.FirstStart {
		return nil
	}
	return []warmup.Option{warmup.WithFirstStart()}
}

func serverListOptions(cfg Config) []serverlist.Option {
	if cfg.EntryLifetime <= 0 {
		return nil
	}
	return []serverlist.Option{serverlist.WithEntryLifetime(cfg.EntryLifetime)}
}

// usageCounter counts usage in the window given by the host's estimate of true time.
type usageCounter struct{ host *Host }

// CountRequest implements [edge.UsageCounter].
func (c usageCounter) CountRequest(organisation string) {
	if c.host.tally != nil {
		c.host.tally.Count(organisation, c.host.clock.Now())
	}
}

const (
	// relistInterval is the time between two complete lists of the objects in the store.
	relistInterval = 20 * time.Second
	// coalesceDivisor divides Config.ApplyTimeout to give the pause after a change of the server list. Changes come
	// in groups, and each call to the store is paid for.
	coalesceDivisor = 5
	// minWatchers is the least number of hosts of an availability zone that watch the store on behalf of the others,
	// and followersPerWatcher the number of hosts for each watcher in a large zone, as they read the objects from
	// it. A list of thousands of servers is nearly a megabyte, and some links have only 10 Mbit/s.
	minWatchers         = 2
	followersPerWatcher = 10
	// firstPacketsTime is the time in which hosts that start together exchange first packets. If a host then knows more
	// than smallFleetHosts others, it waits until it has found no more for discoveryPause, or for maxDiscoveryTime.
	firstPacketsTime = 600 * time.Millisecond
	smallFleetHosts  = 12
	discoveryPause   = 600 * time.Millisecond
	maxDiscoveryTime = 4 * time.Second
	// periodicInterval is the time between two rounds of runPeriodic.
	periodicInterval = 250 * time.Millisecond
	// readHeaderTimeout limits the time to read a request header. Only callers that have lost their connection take
	// longer.
	readHeaderTimeout = 10 * time.Second
	// sideConns is the number of connections to the readiness check and to the metrics: some checkers and readers.
	sideConns = 16
	// idleTimeout is how long an idle connection is kept open. It is longer than callers reuse an idle connection in
	// any configuration.
	idleTimeout = 3 * time.Minute
)

// Run serves requests until ctx ends. It then turns readiness off, releases the duties lease, waits for the open
// requests and returns.
func (h *Host) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := make(chan error, 16)
	running := 0
	start := func(f func(context.Context, chan<- error)) {
		running++
		go f(work, done)
	}
	start(h.loop.Run)
	start(h.whenFleetKnown(h.tableReflector.Run))
	start(h.whenFleetKnown(h.serversReflector.Run))
	if h.evacuationsReflector != nil {
		start(h.whenFleetKnown(h.evacuationsReflector.Run))
	}
	start(h.gossip.Run)
	start(h.runPeriodic)
	if h.leases != nil {
		start(h.leases.Run)
	}
	callers, err := h.listen(h.cfg.CallersAddr, h.proxy, h.cfg.MaxConns)
	if err != nil {
		return err
	}
	readyServer, err := h.listen(h.cfg.ReadyAddr, http.HandlerFunc(h.serveReady), min(sideConns, h.cfg.MaxConns/4))
	if err != nil {
		return err
	}
	metricsServer, err := h.listen(h.cfg.MetricsAddr, http.HandlerFunc(h.serveMetrics), min(sideConns, h.cfg.MaxConns/4))
	if err != nil {
		return err
	}
	feedServer, err := h.listen(netip.AddrPortFrom(h.cfg.IP, h.cfg.FleetPort), h.feed, h.cfg.MaxConns/2)
	if err != nil {
		return err
	}
	h.log.Info().Str("Event", "Started").Str("Host", h.cfg.Host).Str("Process", h.processID).Stringer("Callers", h.cfg.CallersAddr).Send()
	select {
	case <-ctx.Done():
	case err = <-done:
		running--
	}
	h.drain(callers)
	stop()
	for ; running > 0; running-- {
		err = errors.CombineErrors(err, <-done)
	}
	_ = readyServer.Close() // The process ends, so readiness checks in progress need no response.
	_ = metricsServer.Close()
	_ = feedServer.Close()
	h.log.Info().Str("Event", "Stopped").Send()
	return err
}

// whenFleetKnown returns a function that calls run once this host has had time to find the others of a large fleet that
// starts for the first time. Until it knows the watchers of its zone it would read from the store itself, like all
// others.
func (h *Host) whenFleetKnown(run func(context.Context, chan<- error)) func(context.Context, chan<- error) {
	return func(ctx context.Context, done chan<- error) {
		// Seeds do not wait: one of them becomes the first holder of the duties lease and orders servers.
		if h.cfg.FirstStart && !slices.Contains(h.cfg.Seeds, h.cfg.IP) {
			sleep(ctx, firstPacketsTime)
			h.awaitDiscovery(ctx)
		}
		run(ctx, done)
	}
}

// awaitDiscovery waits until no more hosts of a large fleet are found.
func (h *Host) awaitDiscovery(ctx context.Context) {
	start, foundAt := time.Now(), time.Now()
	known := h.gossip.KnownHosts()
	for known > smallFleetHosts && time.Since(foundAt) < discoveryPause && time.Since(start) < maxDiscoveryTime && ctx.Err() == nil {
		sleep(ctx, discoveryPause/4)
		if n := h.gossip.KnownHosts(); n != known {
			known, foundAt = n, time.Now()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// listen serves handler at addr, with at most maxConns connections, until the returned server is closed.
func (h *Host) listen(addr netip.AddrPort, handler http.Handler, maxConns int) (*http.Server, error) {
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "cannot listen on %s; free the address or change it in the settings", addr)
	}
	gate := admission.New(maxConns, admission.WithHeadBytes(h.maxHeadBytes), admission.WithShare(h.proxy.CallerShare()), admission.WithObserver(h.refusals.Refused))
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := gate.Serve(srv, l); !errors.Is(err, http.ErrServerClosed) {
			h.log.Error().Str("Event", "ListenerEnded").Stringer("Address", addr).Err(err).Send()
		}
	}()
	return srv, nil
}

// maxHeadBytes returns the largest head of a request in the configuration, or 0 if it is not known.
func (h *Host) maxHeadBytes() int64 {
	if t := h.proxy.Table(); t != nil {
		return t.Limits.HeaderBytes
	}
	return 0
}

// serveReady responds to the load balancer's readiness check.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() || h.proxy.Table() == nil || !h.serversListed.Load() || !h.evacuationsKnown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	h.proxy.WriteMetrics(w)
	h.logs.WriteMetrics(w)
	h.writeTableMetrics(w)
	metrics.WritePrometheus(w, false)
}

// CountCall counts a call to the platform by its name and result.
func CountCall(call string, err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`shallotramp_platform_calls_total{call=%q,result=%q}`, call, result)).Inc()
}
