// Package station runs a host beside its peers: it follows the platform's store,
// feeds the policy and the data path, exchanges words with other hosts, and takes
// its turn at the duties of which one host at a time is in charge.
package station

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"shallotramp/internal/capacity/supply"
	"shallotramp/internal/entry/edge"
	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/fleet/clock"
	"shallotramp/internal/fleet/directory"
	"shallotramp/internal/fleet/gossip"
	"shallotramp/internal/fleet/lease"
	"shallotramp/internal/ops/log"
	"shallotramp/internal/provider/feed"
	"shallotramp/internal/provider/mirror"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/placement"
	"shallotramp/internal/traffic/route"
	"shallotramp/internal/usage/tally"
)

// Kinds names the objects that are followed in the store.
type Kinds struct {
	Table, TableName, Servers string
}

// Platform is what the host needs of the world outside.
type Platform struct {
	Store interface {
		store.Store
		mirror.Source
	}
	Kinds        Kinds
	DecodeTable  func(json.RawMessage) (*route.Table, error)
	DecodeServer func(id string, spec json.RawMessage) (backend.Server, error)
	Codec        edge.Codec
	// Duties is nil where the platform gives none.
	Duties Duties
}

// Config describes a host.
type Config struct {
	Host, Zone     string
	IP             netip.Addr
	Callers, Ready netip.AddrPort
	Metrics        netip.AddrPort
	FleetPort      uint16
	Seeds          []netip.Addr
	// LinkMbps is the bandwidth of the host's link: hosts with wide ones follow the store for others.
	LinkMbps int
	Retry    placement.RetryLimits
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// Apply is the time in which a configuration must be in force. A watch of the store waits as long: one
	// that fell silent is noticed after it.
	Apply time.Duration
	// Term is that of the lease of the duties.
	Term time.Duration
	// UsageWindow is the length of a usage window, reported before UsageDue after its end.
	UsageWindow, UsageDue time.Duration
	ReportsUsage, Orders  bool
}

// Station is one host. Create it with [New].
type Station struct {
	cfg      Config
	platform Platform
	log      zerolog.Logger
	lines    *log.Log
	id       string

	policy *placement.Policy
	loop   *dispatch.Loop
	edge   *edge.Edge
	fleet  *gossip.Exchange
	clock  *clock.Clock
	tally  *tally.Tally
	leases *lease.Manager
	duty   *lease.Lease
	feed   *feed.Feed
	tables *mirror.Mirror
	lists  *mirror.Mirror

	servers  atomic.Pointer[[]backend.Server]
	listed   atomic.Bool
	stopping atomic.Bool
	// sought is when the lease was looked at or its holder heard; the step owns it.
	sought time.Time
	// holder is the host that was heard last as the holder of the duties.
	holder string
	// listening is from when on this host has heard all others, by true time.
	listening time.Time

	// mu guards what the mirrors and the step share.
	mu        sync.Mutex
	directory *directory.Directory
	storeDown map[string]bool
	doubt     doubt
	state     placement.HostState
	seen      []seenPart
	loads     map[string]supply.Load
	// heardHolder told that it holds the duties, first at heardHolderAt.
	heardHolder   string
	heardHolderAt time.Time
}

// New returns a Station. Nothing happens until [Station.Run].
func New(cfg Config, p Platform, lines *log.Log) *Station {
	s := &Station{
		cfg: cfg, platform: p, log: lines.Process, lines: lines, id: cfg.Host + "/" + uuid.NewString()[:8],
		clock: clock.New(time.Now(), clock.SinceBoot), directory: directory.New(), storeDown: map[string]bool{},
	}
	s.listening = s.clock.Now().Add(warmUp)
	s.servers.Store(&[]backend.Server{})
	if cfg.UsageWindow > 0 {
		s.tally = tally.New(cfg.UsageWindow, s.id)
	}
	s.policy = placement.New(uint64(time.Now().UnixNano()), placement.WithZone(cfg.Zone), placement.WithRetryLimits(cfg.Retry))
	s.loop = dispatch.NewLoop(s.policy)
	s.edge = edge.New(cfg.Zone, p.Codec, s.loop, edge.WithLog(lines.Requests), edge.WithUsage(counter{s}))
	s.fleet = gossip.New(gossip.Self{Host: s.id, Zone: cfg.Zone, Addr: cfg.IP, Port: cfg.FleetPort, Seeds: cfg.Seeds, LinkMbps: cfg.LinkMbps}, s.fill, s.hear, gossip.WithErrors(s.wordFailed))
	s.feed = feed.New(cfg.Apply)
	tables, list := feed.NewSource(p.Store, s.neighbours, s.neighbourFailed), feed.NewSource(p.Store, s.neighbours, s.neighbourFailed)
	s.tables = mirror.New(tables, p.Kinds.Table, cfg.Apply, relistInterval, func(u mirror.Update) {
		s.feed.Apply(p.Kinds.Table, u, tables.Direct(), time.Now())
		s.followTable(u)
	})
	s.lists = mirror.New(list, p.Kinds.Servers, cfg.Apply, relistInterval, func(u mirror.Update) {
		s.feed.Apply(p.Kinds.Servers, u, list.Direct(), time.Now())
		s.followServers(u)
	}, mirror.WithPause(cfg.Apply/coalesceShare))
	if p.Duties != nil {
		s.leases = lease.NewManager(p.Store, s.id, lease.WithConfig(leaseConfig(cfg.Term)), lease.WithObserver(s.leaseChanged))
		s.leases.SetWatching(false)
		s.duty = s.leases.Campaign(dutyRole)
	}
	return s
}

// counter counts usage at true time.
type counter struct{ s *Station }

// Begin implements [edge.Usage].
func (c counter) Begin(organisation string) {
	if c.s.tally != nil {
		c.s.tally.Begin(organisation, c.s.clock.Now())
	}
}

const (
	// relistInterval is the time between two whole lists.
	relistInterval = 20 * time.Second
	// coalesceShare is the part of the time to apply a change, one in so many, for which the host waits after
	// a change of the servers' list: changes come in groups, and each call is paid for.
	coalesceShare = 8
	// leastWatchers is how many hosts of an availability zone follow the store for the others at least, and
	// followers how many others each of them tells: a list of thousands of servers is near a megabyte, and
	// links are as narrow as 10 Mbit/s.
	leastWatchers = 2
	followers     = 10
	// stepInterval is how often the host looks at its duties and its directory.
	stepInterval = 250 * time.Millisecond
	// readHeaderTimeout bounds the head of a caller's request. Callers are slower only when they are cut off.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle caller's connection is kept: longer than any configuration lets
	// callers use one again.
	idleTimeout = 3 * time.Minute
)

// Run serves until ctx ends, then stops in order: readiness off, open requests answered, duties given up.
func (s *Station) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := make(chan error, 16)
	n := 0
	start := func(f func(context.Context, chan<- error)) {
		n++
		go f(work, done)
	}
	start(s.loop.Run)
	start(s.tables.Run)
	start(s.lists.Run)
	start(s.fleet.Run)
	start(s.step)
	if s.leases != nil {
		start(s.leases.Run)
	}
	callers, err := s.listen(s.cfg.Callers, s.edge)
	if err != nil {
		return err
	}
	ready, err := s.listen(s.cfg.Ready, http.HandlerFunc(s.serveReady))
	if err != nil {
		return err
	}
	measures, err := s.listen(s.cfg.Metrics, http.HandlerFunc(s.serveMetrics))
	if err != nil {
		return err
	}
	fleet, err := s.listen(netip.AddrPortFrom(s.cfg.IP, s.cfg.FleetPort), s.feed)
	if err != nil {
		return err
	}
	s.log.Info().Str("Event", "Started").Str("Host", s.cfg.Host).Str("Process", s.id).Stringer("Callers", s.cfg.Callers).Send()
	select {
	case <-ctx.Done():
	case err = <-done:
		n--
	}
	s.drain(callers)
	stop()
	for ; n > 0; n-- {
		err = errors.CombineErrors(err, <-done)
	}
	_ = ready.Close() // The process ends; open checks of readiness need no answer.
	_ = measures.Close()
	_ = fleet.Close()
	s.log.Info().Str("Event", "Stopped").Send()
	return err
}

// listen serves h at addr until the server is closed.
func (s *Station) listen(addr netip.AddrPort, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listener %s; free the address or change the settings", addr)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error().Str("Event", "ListenerEnded").Stringer("Address", addr).Err(err).Send()
		}
	}()
	return srv, nil
}

// serveReady answers the balancer's check.
func (s *Station) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || s.edge.Table() == nil || !s.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Station) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.edge.WriteMetrics(w)
	s.lines.WriteMetrics(w)
	metrics.WritePrometheus(w, false)
}

// CountCall counts a call to the platform by its kind and result.
func CountCall(call string, err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`shallotramp_platform_calls_total{call=%q,result=%q}`, call, result)).Inc()
}
