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
	"shallotramp/internal/fleet/exchange"
	"shallotramp/internal/fleet/link"
	"shallotramp/internal/fleet/member"
	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/ops/event"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/traffic/dispatch"
)

const (
	// eventBuffer bounds the events that wait for the node; link readers wait when it is full.
	eventBuffer = 1024
	// leaveDelay lets the announcement of a planned stop reach the other hosts.
	leaveDelay = 100 * time.Millisecond
	// readTimeout bounds one read of the platform with its chunks.
	readTimeout = 10 * time.Second
)

// Role tells whether this host holds a lease.
type Role interface{ Held(now time.Time) bool }

// Decisions are the decisions of this host, such as a [dispatch.Loop].
type Decisions interface {
	State(ctx context.Context) (dispatch.HostState, error)
	Peer(s dispatch.HostState)
	Report(l dispatch.Load)
}

// noDecisions takes all and tells nothing.
type noDecisions struct{}

// State implements [Decisions].
func (noDecisions) State(context.Context) (dispatch.HostState, error) {
	return dispatch.HostState{}, errNoDecisions
}

// Peer implements [Decisions].
func (noDecisions) Peer(dispatch.HostState) {}

// Report implements [Decisions].
func (noDecisions) Report(dispatch.Load) {}

var errNoDecisions = errors.New("this host decides nothing")

// Config holds what a [Node] works with. Self, Listener, Source, Store and Holder are needed.
type Config struct {
	Self     member.Host
	Seeds    []netip.AddrPort
	Listener net.Listener
	Source   link.CredentialSource
	Store    store.Store
	Holder   *release.Holder
	// Adopted is called with each release put in force; calls do not overlap and never go back.
	Adopted func(*release.Snapshot)
	// Relay is the lease of the zone's relay; nil leaves the role to the lowest live host.
	Relay Role
	// Campaign is told whether this host should campaign for the relay lease; may be nil.
	Campaign func(on bool)
	// Decisions tell this host's state and take those of others and load reports; nil exchanges none.
	Decisions Decisions
	Log       zerolog.Logger
	Events    *event.Log
	Metrics   *metrics.Set
}

// Node carries a [Core] out on one host. Create it with [NewNode] and start it with [Node.Run].
type Node struct {
	cfg      Config
	core     *Core
	endpoint *link.Endpoint
	follower *release.Follower
	shelf    *release.Shelf
	links    map[LinkID]*link.Link
	events   chan func(now time.Time) []Effect
	ended    chan struct{}
	// adopting lets one adoption at a time tell of its release.
	adopting sync.Mutex
	told     uint64
	view     atomic.Pointer[View]
	// following ends the follower when this host relays; stopped reports its end.
	following context.CancelFunc
	stopped   chan error
	// calls are the reads of the platform and adoptions under way.
	calls sync.WaitGroup
}

// View is what a node tells of the fleet. It is immutable.
type View struct {
	Ready          bool
	Acting, Leased bool
	Release        uint64
	Confirmed      time.Time
	Members        []member.Member
	// Linked names the hosts with an open link, Zone the live hosts of this zone with this one.
	Linked []string
	Zone   []string
}

// NewNode returns a Node.
func NewNode(cfg Config) *Node {
	if cfg.Events == nil {
		cfg.Events = event.New(1)
	}
	if cfg.Decisions == nil {
		cfg.Decisions = noDecisions{}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	n := &Node{
		cfg: cfg, shelf: &release.Shelf{}, links: map[LinkID]*link.Link{},
		events: make(chan func(time.Time) []Effect, eventBuffer), ended: make(chan struct{}),
	}
	n.endpoint = link.NewEndpoint(cfg.Self, cfg.Source, cfg.Listener, n)
	n.follower = release.NewFollower(cfg.Store, cfg.Holder, cfg.Log, n.adopted, release.WithShelf(n.shelf))
	n.view.Store(&View{})
	n.measure()
	return n
}

// measure registers the metrics of the node.
func (n *Node) measure() {
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

// View returns what the node knew at its last tick.
func (n *Node) View() *View { return n.view.Load() }

// Address returns where the node accepts links.
func (n *Node) Address() netip.AddrPort { return n.cfg.Self.Address }

// Bytes returns the bytes sent and received on links, with TLS and framing.
func (n *Node) Bytes() (sent, received int64) { return n.endpoint.Bytes() }

// Loads passes load reports that this host polled to its zone. The caller gives them to its own decisions.
func (n *Node) Loads(reports []dispatch.Load) {
	n.post(func(now time.Time) []Effect {
		n.core.Loads(now, reports)
		return nil
	})
}

// Polls reports whether this host polls the load of the server for its zone.
func (n *Node) Polls(server string) bool {
	v := n.View()
	return len(v.Zone) == 0 || exchange.Owner(server, v.Zone) == n.cfg.Self.Name
}

// Run carries the core out until ctx ends, announces the stop and then reports on done.
func (n *Node) Run(ctx context.Context, done chan<- error) {
	defer close(n.ended)
	now := time.Now()
	n.core = New(now, n.cfg.Self, n.cfg.Seeds, n.shelf, rand.New(rand.NewPCG(n.cfg.Self.Incarnation, uint64(len(n.cfg.Self.Name)))))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	parts := []func(context.Context, chan<- error){n.endpoint.Run, newRegistrar(n).Run}
	ends := make(chan error, len(parts))
	for _, run := range parts {
		go run(work, ends)
	}
	n.loop(ctx, work)
	n.carryOut(work, n.core.Leave(time.Now()))
	sleep(work, leaveDelay)
	stop()
	n.follow(work, false)
	var err error
	for range parts {
		err = errors.CombineErrors(err, n.await(ends))
	}
	n.wait()
	done <- err
}

// await reads one end of a part while events go on, so that no sender of events hangs.
func (n *Node) await(ends <-chan error) error {
	for {
		select {
		case err := <-ends:
			return err
		case <-n.events:
		}
	}
}

// wait waits for calls under way, which end with their context.
func (n *Node) wait() {
	ends := make(chan error, 1)
	go func() {
		n.calls.Wait()
		ends <- nil
	}()
	_ = n.await(ends)
}

func (n *Node) loop(ctx, work context.Context) {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	for {
		select {
		case f := <-n.events:
			n.carryOut(work, f(time.Now()))
		case now := <-t.C:
			n.tick(work, now)
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) tick(ctx context.Context, now time.Time) {
	n.local(ctx, now)
	if n.cfg.Campaign != nil {
		n.cfg.Campaign(n.core.Candidate())
	}
	n.carryOut(ctx, n.core.Tick(now, n.cfg.Relay != nil && n.cfg.Relay.Held(now)))
	v := &View{Ready: n.core.Ready(), Members: n.core.Members(), Confirmed: n.cfg.Holder.Confirmed()}
	v.Acting, v.Leased = n.core.Acting()
	if s := n.cfg.Holder.Current(); s != nil {
		v.Release = s.Number
	}
	v.Zone = append(v.Zone, n.cfg.Self.Name)
	for _, m := range v.Members {
		if m.Zone == n.cfg.Self.Zone && m.State == member.Alive {
			v.Zone = append(v.Zone, m.Name)
		}
	}
	for _, l := range n.links {
		v.Linked = append(v.Linked, l.Peer.Name)
	}
	n.view.Store(v)
}

// local tells the core what this host has in force.
func (n *Node) local(ctx context.Context, now time.Time) {
	if s := n.cfg.Holder.Current(); s != nil {
		n.carryOut(ctx, n.core.Local(now, s.Number, n.cfg.Holder.Confirmed()))
	}
}

// post hands an event to the node's goroutine.
func (n *Node) post(f func(now time.Time) []Effect) {
	select {
	case n.events <- f:
	case <-n.ended:
	}
}

// Up implements [link.Handler].
func (n *Node) Up(l *link.Link) {
	n.post(func(now time.Time) []Effect {
		n.links[LinkID(l.ID)] = l
		return n.core.Up(now, LinkID(l.ID), l.Peer, l.Dialled)
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
		n.refused(link.BadMessage)
	}
	n.post(func(now time.Time) []Effect {
		delete(n.links, LinkID(l.ID))
		return n.core.Down(now, LinkID(l.ID), cause.Error())
	})
}

// Refused implements [link.Handler].
func (n *Node) Refused(peer netip.AddrPort, dialled bool, err error) {
	var e *link.RefusedError
	if errors.As(err, &e) {
		n.refused(e.Reason)
	}
	n.post(func(now time.Time) []Effect {
		if !dialled {
			n.cfg.Events.Add(event.LinkRefused, peer.Addr().String(), err.Error())
			return nil
		}
		return n.core.Refused(now, peer, err.Error())
	})
}

func (n *Node) refused(r link.Refusal) {
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
