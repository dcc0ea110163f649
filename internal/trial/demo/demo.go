// Package demo runs a complete deployment in one process: fakes of the platform,
// of model engines and of plain services, three hosts in two availability
// zones, and sample objects. It can generate load with a burst, inject a fault
// and check that the invariants of the system hold.
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
var sampleObjects []byte

// hostZones are the availability zones of the hosts.
var hostZones = []string{"mid-a", "mid-b", "mid-a"}

const (
	engineSlots     = 8
	tokenInterval   = 20 * time.Millisecond
	prefillPerToken = 100 * time.Microsecond
	usageWindow     = 5 * time.Second
	usageGrace      = 2 * time.Second
	usageTimeout    = 40 * time.Second
	readyTimeout    = 15 * time.Second
	drainDelay      = 200 * time.Millisecond
	drainTimeout    = 30 * time.Second
)

// Addresses lists the URLs of the parts of the demo. StandIns holds those of the fake backend servers by name, Keys an API
// key for each organisation.
type Addresses struct {
	Callers   []string
	Operators []string
	Keys      map[string]string
	StandIns  map[string]string
	Platform  string
}

// Demo is a running deployment. Create it with [Start] and stop it with [Demo.Stop].
type Demo struct {
	Addresses Addresses

	log      zerolog.Logger
	set      *object.Set
	platform *platformfake.Store
	// reports receives usage reports. It is served at the address of the platform.
	reports *platformfake.ReportReceiver
	// orderingAPI starts and stops engines when hosts order them.
	orderingAPI *platformfake.OrderingAPI
	// mu guards engines and servers, to which engines ordered during a run are added.
	mu       sync.Mutex
	engines  map[string]*enginefake.Engine
	services map[string]*enginefake.Service
	hosts    []*host.Host
	servers  []*http.Server
	// authority signs the certificates of the hosts.
	authority   *testcert.Authority
	cancel      context.CancelFunc
	hostErrors  chan error
	nextAddress netip.AddrPort
}

// Start starts the deployment and waits until all hosts are ready. The first host listens for callers on listen, and the
// other listeners use the ports after it. With port 0 the operating system chooses each port.
func Start(ctx context.Context, listen netip.AddrPort, log zerolog.Logger) (*Demo, error) {
	d := &Demo{
		log: log, platform: platformfake.NewStore(), reports: platformfake.NewReportReceiver(), nextAddress: listen,
		engines: map[string]*enginefake.Engine{}, services: map[string]*enginefake.Service{},
		hostErrors: make(chan error, len(hostZones)),
		Addresses:  Addresses{Keys: map[string]string{}, StandIns: map[string]string{}},
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
		callers[i] = d.takeAddress()
	}
	platform := http.NewServeMux()
	platform.Handle("/", d.platform.Handler())
	platform.Handle("/usage/", d.reports.Handler())
	d.orderingAPI = platformfake.NewOrderingAPI(d.startOrderedEngine)
	platform.Handle(ordering.PathPrefix, d.orderingAPI.Handler())
	platform.Handle(ordering.ServersPath, d.orderingAPI.Handler())
	url, err := d.serve(platform)
	if err != nil {
		return err
	}
	d.Addresses.Platform = url
	if err := d.loadObjects(); err != nil {
		return err
	}
	client := store.NewClient(url)
	change := release.Publication{Set: d.set, Author: "demo", Note: "sample objects"}
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

// takeAddress returns the next address to listen on.
func (d *Demo) takeAddress() netip.AddrPort {
	a := d.nextAddress
	if a.Port() != 0 {
		d.nextAddress = netip.AddrPortFrom(a.Addr(), a.Port()+1)
	}
	return a
}

// serve serves h on the next address and returns its URL.
func (d *Demo) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", d.takeAddress().String())
	if err != nil {
		return "", errors.Wrap(err, "cannot listen for the demo; free the address or choose another with --listen")
	}
	d.serveOn(h, ln)
	return "http://" + ln.Addr().String(), nil
}

// serveOn serves h on ln until the demo stops.
func (d *Demo) serveOn(h http.Handler, ln net.Listener) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	d.servers = append(d.servers, s)
	go func() {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error().Err(err).Msg("HTTP server of a fake failed")
		}
	}()
}

// loadObjects reads the sample objects, adds an API key for each organisation, and starts a fake for each backend server.
func (d *Demo) loadObjects() error {
	d.set = object.NewSet()
	if errs := object.Read(d.set, "demo", bytes.NewReader(sampleObjects)); len(errs) > 0 {
		return errs[0]
	}
	for name := range d.set.Organisations {
		secret := "sk-" + rand.Text()
		d.Addresses.Keys[name] = secret
		d.set.Keys[name] = &object.KeySpec{Name: name, Organisation: name, Digest: object.DigestOf(secret)}
	}
	for _, b := range d.set.BackendServers {
		url, err := d.serve(d.newFake(b))
		if err != nil {
			return err
		}
		d.Addresses.StandIns[b.Name] = url
		b.Address = netip.MustParseAddrPort(url[len("http://"):])
		d.orderingAPI.Put(ordering.Server{Name: b.Name, Pool: b.Pool, Zone: b.Zone, Address: b.Address, Price: b.Price, Reclaimable: b.Reclaimable})
	}
	return nil
}

func (d *Demo) newFake(b *object.BackendServerSpec) http.Handler {
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

// startOrderedEngine starts an engine that was ordered through orderingAPI.
func (d *Demo) startOrderedEngine(name, pool string) (netip.AddrPort, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := newEngine(name, d.set.Pools[pool])
	ln, err := net.Listen("tcp", netip.AddrPortFrom(d.nextAddress.Addr(), 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	d.engines[name] = e
	d.serveOn(e, ln)
	return netip.ParseAddrPort(ln.Addr().String())
}

func newEngine(name string, pool *object.PoolSpec) *enginefake.Engine {
	return enginefake.NewEngine(enginefake.Config{
		Name: name, Models: pool.Models, Slots: engineSlots, TokenInterval: tokenInterval, PrefillToken: prefillPerToken,
	})
}

func (d *Demo) startHost(ctx context.Context, i int, zone string, callers netip.AddrPort) error {
	certificate, err := d.authority.HostCredentials(hostName(i))
	if err != nil {
		return err
	}
	h, err := host.New(host.Config{
		Name: hostName(i), Zone: zone, Callers: callers, Operators: d.takeAddress(),
		DrainDelay: drainDelay, DrainTimeout: drainTimeout,
		OrderingURL: d.Addresses.Platform,
		Usage:       host.UsageConfig{ReportsURL: d.Addresses.Platform, Window: usageWindow, Grace: usageGrace},
		Fleet:       host.FleetConfig{Listen: d.takeAddress(), Credentials: certificate},
	}, store.NewClient(d.Addresses.Platform), d.log.With().Str("Host", hostName(i)).Logger())
	if err != nil {
		return err
	}
	d.hosts = append(d.hosts, h)
	d.Addresses.Callers = append(d.Addresses.Callers, h.CallersURL())
	d.Addresses.Operators = append(d.Addresses.Operators, h.OperatorsURL())
	go func() { d.hostErrors <- h.Run(ctx) }()
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
			return errors.Newf("only %d of %d hosts were ready in time; see the log with --log-level debug", ready, len(d.hosts))
		}
	}
}

// Stop drains the hosts and closes the fakes.
func (d *Demo) Stop() error {
	d.cancel()
	var err error
	for range d.hosts {
		err = errors.CombineErrors(err, <-d.hostErrors)
	}
	d.hosts = nil
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		_ = s.Close()
	}
	return err
}
