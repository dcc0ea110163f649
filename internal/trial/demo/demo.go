// Package demo runs a whole deployment in one process: stand-ins of the platform,
// of model engines and of booking services, three entry hosts in two availability
// zones, and sample objects. It can offer a load with a burst and a fault and
// check what must always hold.
package demo

import (
	"bytes"
	"context"
	"crypto/rand"
	_ "embed"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	enginefake "shallotramp/internal/engine/fake"
	"shallotramp/internal/entry/host"
	"shallotramp/internal/fleet/link/testcert"
	platformfake "shallotramp/internal/provider/fake"
	"shallotramp/internal/provider/ordering"
	"shallotramp/internal/provider/store"
)

//go:embed objects.yaml
var objects []byte

// hostZones are the availability zones of the entry hosts.
var hostZones = []string{"mid-a", "mid-b", "mid-a"}

const (
	engineSlots   = 8
	tokenInterval = 20 * time.Millisecond
	prefillToken  = 100 * time.Microsecond
	usageWindow   = 5 * time.Second
	usageGrace    = 2 * time.Second
	usageTimeout  = 40 * time.Second
	readyTimeout  = 15 * time.Second
	drainDelay    = 200 * time.Millisecond
	drainTimeout  = 30 * time.Second
)

// Addresses tells where the parts of the demo listen. Keys holds an API key for each organisation.
type Addresses struct {
	Callers   []string
	Operators []string
	Keys      map[string]string
	StandIns  map[string]string
	Platform  string
}

// Demo is a running deployment. Create it with [Start] and end it with [Demo.Stop].
type Demo struct {
	Addresses Addresses

	log      zerolog.Logger
	set      *object.Set
	platform *platformfake.Store
	// reports is the platform's receiver of usage reports, at the same address.
	reports *platformfake.ReportReceiver
	// yard starts and stops engines as they are ordered.
	yard *platformfake.OrderingAPI
	// mu guards what ordered engines add to while the demo runs.
	mu       sync.Mutex
	engines  map[string]*enginefake.Engine
	services map[string]*enginefake.Service
	hosts    []*host.Host
	servers  []*http.Server
	// authority signs the certificates of the hosts.
	authority *testcert.Authority
	cancel    context.CancelFunc
	ended     chan error
	next      netip.AddrPort
}

// Start brings the deployment up. The first callers' listener takes listen, the others
// the ports after it; port 0 lets the system choose each.
func Start(ctx context.Context, listen netip.AddrPort, log zerolog.Logger) (*Demo, error) {
	d := &Demo{
		log: log, platform: platformfake.NewStore(), reports: platformfake.NewReportReceiver(), next: listen,
		engines: map[string]*enginefake.Engine{}, services: map[string]*enginefake.Service{},
		ended:     make(chan error, len(hostZones)),
		Addresses: Addresses{Keys: map[string]string{}, StandIns: map[string]string{}},
	}
	if err := d.start(ctx); err != nil {
		_ = d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Demo) start(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(context.WithoutCancel(ctx))
	callers := make([]netip.AddrPort, len(hostZones))
	for i := range callers {
		callers[i] = d.address()
	}
	platform := http.NewServeMux()
	platform.Handle("/", d.platform.Handler())
	platform.Handle("/usage/", d.reports.Handler())
	d.yard = platformfake.NewOrderingAPI(d.runOrdered)
	platform.Handle(ordering.PathPrefix, d.yard.Handler())
	platform.Handle(ordering.ServersPath, d.yard.Handler())
	url, err := d.serve(platform)
	if err != nil {
		return err
	}
	d.Addresses.Platform = url
	if err := d.fillObjects(); err != nil {
		return err
	}
	client := store.NewClient(url)
	change := release.Change{Set: d.set, Author: "demo", Note: "sample objects"}
	if _, err := release.Publish(ctx, client, change, time.Now().UTC()); err != nil {
		return err
	}
	if d.authority, err = testcert.NewAuthority(); err != nil {
		return err
	}
	for i, zone := range hostZones {
		if err := d.startHost(ctx, i, zone, callers[i]); err != nil {
			return err
		}
	}
	return d.awaitReady(ctx)
}

// address returns the next address to listen on.
func (d *Demo) address() netip.AddrPort {
	a := d.next
	if a.Port() != 0 {
		d.next = netip.AddrPortFrom(a.Addr(), a.Port()+1)
	}
	return a
}

func (d *Demo) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", d.address().String())
	if err != nil {
		return "", errors.Wrap(err, "free the address or choose another with --listen")
	}
	d.run(h, ln)
	return "http://" + ln.Addr().String(), nil
}

// run serves h on ln until the demo stops.
func (d *Demo) run(h http.Handler, ln net.Listener) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	d.servers = append(d.servers, s)
	go func() {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error().Err(err).Msg("a stand-in stopped")
		}
	}()
}

// fillObjects reads the sample objects and gives them keys and the addresses of their stand-ins.
func (d *Demo) fillObjects() error {
	d.set = object.NewSet()
	if errs := object.Read(d.set, "demo", bytes.NewReader(objects)); len(errs) > 0 {
		return errs[0]
	}
	for name := range d.set.Organisations {
		secret := "sk-" + rand.Text()
		d.Addresses.Keys[name] = secret
		d.set.Keys[name] = &object.KeySpec{Name: name, Organisation: name, Digest: object.DigestOf(secret)}
	}
	for _, b := range d.set.BackendServers {
		url, err := d.serve(d.standIn(b))
		if err != nil {
			return err
		}
		d.Addresses.StandIns[b.Name] = url
		b.Address = netip.MustParseAddrPort(url[len("http://"):])
		d.yard.Put(ordering.Server{Name: b.Name, Pool: b.Pool, Zone: b.Zone, Address: b.Address, Price: b.Price, Reclaimable: b.Reclaimable})
	}
	return nil
}

func (d *Demo) standIn(b *object.BackendServerSpec) http.Handler {
	pool := d.set.Pools[b.Pool]
	if pool.Protocol == object.Service {
		s := enginefake.NewService()
		d.services[b.Name] = s
		return s
	}
	e := newEngine(b.Name, pool)
	d.engines[b.Name] = e
	return e
}

// runOrdered starts an engine that the ordering interface was asked for.
func (d *Demo) runOrdered(name, pool string) (netip.AddrPort, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := newEngine(name, d.set.Pools[pool])
	ln, err := net.Listen("tcp", netip.AddrPortFrom(d.next.Addr(), 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	d.engines[name] = e
	d.run(e, ln)
	return netip.ParseAddrPort(ln.Addr().String())
}

func newEngine(name string, pool *object.PoolSpec) *enginefake.Engine {
	return enginefake.NewEngine(enginefake.Config{
		Name: name, Models: pool.Models, Slots: engineSlots, TokenInterval: tokenInterval, PrefillToken: prefillToken,
	})
}

func (d *Demo) startHost(ctx context.Context, i int, zone string, callers netip.AddrPort) error {
	certificate, err := d.authority.HostCredentials(hostName(i))
	if err != nil {
		return err
	}
	h, err := host.New(host.Config{
		Name: hostName(i), Zone: zone, Callers: callers, Operators: d.address(),
		DrainDelay: drainDelay, DrainTimeout: drainTimeout,
		OrderingURL: d.Addresses.Platform,
		Usage:       host.UsageConfig{ReportsURL: d.Addresses.Platform, Window: usageWindow, Grace: usageGrace},
		Fleet:       host.FleetConfig{Listen: d.address(), Credentials: certificate},
	}, store.NewClient(d.Addresses.Platform), d.log.With().Str("Host", hostName(i)).Logger())
	if err != nil {
		return err
	}
	d.hosts = append(d.hosts, h)
	d.Addresses.Callers = append(d.Addresses.Callers, h.CallersURL())
	d.Addresses.Operators = append(d.Addresses.Operators, h.OperatorsURL())
	go func() { d.ended <- h.Run(ctx) }()
	return nil
}

func hostName(i int) string { return "host-" + string(rune('1'+i)) }

func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ready := 0
		for _, h := range d.hosts {
			if h.Status().Ready {
				ready++
			}
		}
		if ready == len(d.hosts) {
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return errors.Newf("%d of %d hosts were ready in time; see the log with --log-level debug", ready, len(d.hosts))
		}
	}
}

// Stop drains the hosts and closes the stand-ins.
func (d *Demo) Stop() error {
	d.cancel()
	var err error
	for range d.hosts {
		err = errors.CombineErrors(err, <-d.ended)
	}
	d.hosts = nil
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		_ = s.Close()
	}
	return err
}
