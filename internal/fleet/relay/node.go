package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/fleet/link"
	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/fleet/statesync"
	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/ops/event"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/traffic/dispatch"
)

const (
	// inputBuffer is the capacity of the queue of inputs to the core. Link readers block while it is full.
	inputBuffer = 1024
	// leaveDelay is the time for the announcement of a planned stop to reach the other hosts.
	leaveDelay = 100 * time.Millisecond
	// readTimeout limits one read of the platform's head and chunks.
	readTimeout = 10 * time.Second
)

// LeaseStatus reports whether this host holds a lease.
type LeaseStatus interface{ Held(now time.Time) bool }

// Dispatcher is the request dispatcher of this host, such as a [dispatch.Loop]. State returns the state of this host.
// Peer receives the state of another host or the sum of several. Report receives a load report of a backend server.
type Dispatcher interface {
	State(ctx context.Context) (dispatch.HostState, error)
	Peer(s dispatch.HostState)
	Report(l dispatch.Load)
}

// noDispatcher is a [Dispatcher] that has no state and ignores its input.
type noDispatcher struct{}

// State implements [Dispatcher].
func (noDispatcher) State(context.Context) (dispatch.HostState, error) {
	return dispatch.HostState{}, errNoDispatcher
}

// Peer implements [Dispatcher].
func (noDispatcher) Peer(dispatch.HostState) {}

// Report implements [Dispatcher].
func (noDispatcher) Report(dispatch.Load) {}

var errNoDispatcher = errors.New("this host has no dispatcher")

// Config configures a [Node]. Self, Listener, Source, Store and Holder are required.
type Config struct {
	Self     membership.Host
	Seeds    []netip.AddrPort
	Listener net.Listener
	Source   link.CredentialSource
	Store    store.Store
	Holder   *release.Holder
	// OnAdopted is called after a release is put in force. Calls do not overlap, and the release numbers increase.
	OnAdopted func(*release.Snapshot)
	// RelayLease is the lease of the zone's relay; if nil, the live host with the lowest name is the relay.
	RelayLease LeaseStatus
	// Campaign is called at each tick and is passed whether this host should campaign for the relay lease. It may be
	// nil.
	Campaign func(on bool)
	// Dispatcher gives this host's state and receives the states of other hosts and load reports. It may be nil.
	Dispatcher Dispatcher
	Log        zerolog.Logger
	Events     *event.Log
	Metrics    *metrics.Set
}

// Node runs a [Core] on one host: it passes inputs to the core and executes its effects. Create it with [NewNode] and
// start it with [Node.Run].
type Node struct {
	cfg      Config
	core     *Core
	endpoint *link.Endpoint
	follower *release.Follower
	cache    *release.Cache
	links    map[LinkID]*link.Link
	// inputs are functions that pass an input to the core. [Node.Run] calls them one at a time.
	inputs  chan func(now time.Time) []Effect
	runDone chan struct{}
	// announceMu guards announcedRelease and serializes calls of [Config.OnAdopted].
	announceMu       sync.Mutex
	announcedRelease uint64
	view             atomic.Pointer[View]
	// stopFollower stops the running follower; it is nil if this host is not the relay. followerDone receives a value
	// when the follower has ended.
	stopFollower context.CancelFunc
	followerDone chan error
	// background counts the running background calls, such as reads of the platform and adoptions.
	background sync.WaitGroup
}

// View is a snapshot of what a node knows about the fleet. It is immutable.
type View struct {
	Ready          bool
	Acting, Leased bool
	Release        uint64
	Confirmed      time.Time
	Members        []membership.Member
	// Linked names the hosts with an open link. Zone names the live hosts of this zone, including this one.
	Linked []string
	Zone   []string
}

// NewNode returns a Node.
func NewNode(cfg Config) *Node {
	if cfg.Events == nil {
		cfg.Events = event.NewLog(1)
	}
	if cfg.Dispatcher == nil {
		cfg.Dispatcher = noDispatcher{}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	n := &Node{
		cfg: cfg, cache: &release.Cache{}, links: map[LinkID]*link.Link{},
		inputs: make(chan func(time.Time) []Effect, inputBuffer), runDone: make(chan struct{}),
	}
	n.endpoint = link.NewEndpoint(cfg.Self, cfg.Source, cfg.Listener, n)
	n.follower = release.NewFollower(cfg.Store, cfg.Holder, cfg.Log, n.announce, release.WithCache(n.cache))
	n.view.Store(&View{})
	n.registerMetrics()
	return n
}

func (n *Node) registerMetrics() {
	n.cfg.Metrics.NewGauge("shallotramp_fleet_sent_bytes_total", func() float64 { s, _ := n.endpoint.Bytes(); return float64(s) })
	n.cfg.Metrics.NewGauge("shallotramp_fleet_received_bytes_total", func() float64 { _, r := n.endpoint.Bytes(); return float64(r) })
	n.cfg.Metrics.NewGauge("shallotramp_fleet_links", func() float64 { return float64(len(n.View().Linked)) })
	n.cfg.Metrics.NewGauge("shallotramp_fleet_relay", func() float64 {
		if n.View().Acting {
			return 1
		}
		return 0
	})
}

// View returns the snapshot of the last tick.
func (n *Node) View() *View { return n.view.Load() }

// Address returns the address at which the node accepts links.
func (n *Node) Address() netip.AddrPort { return n.cfg.Self.Address }

// Bytes returns the bytes sent and received on links, with TLS and framing.
func (n *Node) Bytes() (sent, received int64) { return n.endpoint.Bytes() }

// ShareLoads sends load reports that this host polled to the other hosts of its zone. The caller passes them to its
// own dispatcher.
func (n *Node) ShareLoads(reports []dispatch.Load) {
	n.post(func(now time.Time) []Effect {
		n.core.ShareLoads(now, reports)
		return nil
	})
}

// Polls reports whether this host is the one of its zone that polls the load of the server.
func (n *Node) Polls(server string) bool {
	v := n.View()
	return len(v.Zone) == 0 || statesync.Owner(server, v.Zone) == n.cfg.Self.Name
}

// Run runs the node until ctx ends, announces the stop to other hosts and then sends the result on done.
func (n *Node) Run(ctx context.Context, done chan<- error) {
	defer close(n.runDone)
	now := time.Now()
	n.core = NewCore(now, n.cfg.Self, n.cfg.Seeds, n.cache, rand.New(rand.NewPCG(n.cfg.Self.Incarnation, uint64(len(n.cfg.Self.Name)))))
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	components := []func(context.Context, chan<- error){n.endpoint.Run, newRegistrar(n).Run}
	results := make(chan error, len(components))
	for _, run := range components {
		go run(workCtx, results)
	}
	n.loop(ctx, workCtx)
	n.apply(workCtx, n.core.Leave(time.Now()))
	sleep(workCtx, leaveDelay)
	stop()
	n.setFollowing(workCtx, false)
	var err error
	for range components {
		err = errors.CombineErrors(err, n.drainUntil(results))
	}
	n.waitBackground()
	done <- err
}

// drainUntil receives one result. Until then it discards inputs, so that their senders do not block.
func (n *Node) drainUntil(result <-chan error) error {
	for {
		select {
		case err := <-result:
			return err
		case <-n.inputs:
		}
	}
}

// waitBackground waits for the background calls, which end when their context does.
func (n *Node) waitBackground() {
	result := make(chan error, 1)
	go func() {
		n.background.Wait()
		result <- nil
	}()
	_ = n.drainUntil(result)
}

func (n *Node) loop(ctx, workCtx context.Context) {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	for {
		select {
		case handle := <-n.inputs:
			n.apply(workCtx, handle(time.Now()))
		case now := <-t.C:
			n.tick(workCtx, now)
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) tick(ctx context.Context, now time.Time) {
	n.updateLocalRelease(ctx, now)
	if n.cfg.Campaign != nil {
		n.cfg.Campaign(n.core.Candidate())
	}
	n.apply(ctx, n.core.Tick(now, n.cfg.RelayLease != nil && n.cfg.RelayLease.Held(now)))
	v := &View{Ready: n.core.Ready(), Members: n.core.Members(), Confirmed: n.cfg.Holder.Confirmed()}
	v.Acting, v.Leased = n.core.Acting()
	if s := n.cfg.Holder.Current(); s != nil {
		v.Release = s.Number
	}
	v.Zone = append(v.Zone, n.cfg.Self.Name)
	for _, m := range v.Members {
		if m.Zone == n.cfg.Self.Zone && m.State == membership.Alive {
			v.Zone = append(v.Zone, m.Name)
		}
	}
	for _, l := range n.links {
		v.Linked = append(v.Linked, l.Peer.Name)
	}
	n.view.Store(v)
}

// updateLocalRelease passes the release in force on this host to the core.
func (n *Node) updateLocalRelease(ctx context.Context, now time.Time) {
	if s := n.cfg.Holder.Current(); s != nil {
		n.apply(ctx, n.core.SetLocalRelease(now, s.Number, n.cfg.Holder.Confirmed()))
	}
}

// post queues an input for the goroutine of [Node.Run].
func (n *Node) post(f func(now time.Time) []Effect) {
	select {
	case n.inputs <- f:
	case <-n.runDone:
	}
}

// Up implements [link.Handler].
func (n *Node) Up(l *link.Link) {
	n.post(func(now time.Time) []Effect {
		n.links[LinkID(l.ID)] = l
		return n.core.LinkUp(now, LinkID(l.ID), l.Peer, l.Dialled)
	})
}

// Receive implements [link.Handler].
func (n *Node) Receive(l *link.Link, e *wire.Envelope) {
	n.post(func(now time.Time) []Effect { return n.core.Receive(now, LinkID(l.ID), e) })
}

// Down implements [link.Handler].
func (n *Node) Down(l *link.Link, cause error) {
	var bad *wire.MessageError
	if errors.As(cause, &bad) {
		n.countRefusal(link.BadMessage)
	}
	n.post(func(now time.Time) []Effect {
		delete(n.links, LinkID(l.ID))
		return n.core.LinkDown(now, LinkID(l.ID), cause.Error())
	})
}

// Refused implements [link.Handler].
func (n *Node) Refused(peer netip.AddrPort, dialled bool, err error) {
	var e *link.RefusedError
	if errors.As(err, &e) {
		n.countRefusal(e.Reason)
	}
	n.post(func(now time.Time) []Effect {
		if !dialled {
			n.cfg.Events.Add(event.LinkRefused, peer.Addr().String(), err.Error())
			return nil
		}
		return n.core.DialFailed(now, peer, err.Error())
	})
}

func (n *Node) countRefusal(r link.Refusal) {
	n.cfg.Metrics.GetOrCreateCounter(`shallotramp_link_refused_total{reason="` + r.String() + `"}`).Inc()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
