package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"shallotramp/internal/ops/statechart"
	"shallotramp/internal/provider/store"
)

const (
	// releaseTimeout bounds the time in which a stopping manager releases its leases.
	releaseTimeout = time.Second
	// idlePollFactor multiplies the poll interval of a manager that does not watch.
	idlePollFactor = 8
	// eventBuffer is the capacity of the event channel of a [Manager].
	eventBuffer = 64
)

// Change is a state transition of a candidacy, for logs.
type Change struct {
	Role  string
	From  State
	Event Event
	To    State
	Fence uint64
}

// Manager campaigns for roles on behalf of one host: it runs the event loop of the cores and carries out their
// effects. Its methods are safe for concurrent use.
type Manager struct {
	store         store.Store
	host          string
	cfg           Config
	onChange      func(Change)
	events        chan func(now time.Time)
	wake          chan struct{}
	stopped       chan struct{}
	platformCalls sync.WaitGroup

	mu sync.Mutex
	// newLeases are those whose campaign has not started yet. They are guarded by mu.
	newLeases     []*Lease
	campaignCount int
	watching      atomic.Bool

	// leases and platformCtx are used by the goroutine of Run.
	leases []*Lease
	// platformCtx is canceled when the manager has stopped, which ends its platform calls.
	platformCtx context.Context
}

// Option changes a [Manager].
type Option func(*Manager)

// WithConfig replaces the configuration.
func WithConfig(c Config) Option { return func(m *Manager) { m.cfg = c } }

// WithObserver sets a function that is called with each change, on the manager's goroutine.
func WithObserver(f func(Change)) Option { return func(m *Manager) { m.onChange = f } }

// NewManager returns a Manager of a host. It campaigns while [Manager.Run] runs.
func NewManager(st store.Store, host string, opts ...Option) *Manager {
	m := &Manager{
		store: st, host: host + "/" + uuid.NewString()[:8], cfg: DefaultConfig(), onChange: func(Change) {},
		events: make(chan func(time.Time), eventBuffer), wake: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
	m.watching.Store(true)
	for _, o := range opts {
		o(m)
	}
	return m
}

// Lease is the candidacy of a host for one role.
type Lease struct {
	name    string
	manager *Manager
	core    *Core
	grant   atomic.Pointer[Grant]
	// announcement is the snapshot of a held lease, and nil if the lease is not held.
	announcement atomic.Pointer[Snapshot]
	resigned     atomic.Bool
	changes      chan State
	// ended is closed when the candidacy has ended.
	ended chan struct{}
}

// Campaign bids for the role until the lease is resigned or the manager stops.
func (m *Manager) Campaign(name string) *Lease {
	l := &Lease{name: name, manager: m, changes: make(chan State, 1), ended: make(chan struct{})}
	m.mu.Lock()
	m.newLeases = append(m.newLeases, l)
	m.mu.Unlock()
	m.wakeUp()
	return l
}

// SetWatching sets whether the host watches the leases, or only polls them at a longer interval. A few watching
// hosts in a zone are enough; the read load on the platform then does not grow with every host of the fleet.
func (m *Manager) SetWatching(watching bool) {
	if m.watching.Swap(watching) != watching {
		m.post(func(now time.Time) {
			for _, l := range m.leases {
				m.step(l, now, func(now time.Time) []Effect {
					l.core.SetPollInterval(m.pollInterval())
					l.core.Hint(now)
					return l.core.Tick(now)
				})
			}
		})
	}
}

// Hint makes the host read the lease of a role at once, because another source indicated that it may be free.
func (m *Manager) Hint(name string) {
	m.post(func(now time.Time) {
		for _, l := range m.leases {
			if l.name == name {
				l.core.Hint(now)
				m.step(l, now, l.core.Tick)
			}
		}
	})
}

// HandleAnnouncement handles a snapshot that the holder of a role announced, see [Core.HandleAnnouncement].
func (m *Manager) HandleAnnouncement(name string, s Snapshot) {
	m.post(func(now time.Time) {
		for _, l := range m.leases {
			if l.name == name {
				m.step(l, now, func(now time.Time) []Effect { return l.core.HandleAnnouncement(now, s) })
				return
			}
		}
	})
}

func (m *Manager) pollInterval() time.Duration {
	if m.watching.Load() {
		return m.cfg.PollInterval
	}
	return m.cfg.PollInterval * idlePollFactor
}

func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// post sends an event to the goroutine of Run.
func (m *Manager) post(f func(now time.Time)) {
	select {
	case m.events <- f:
	case <-m.stopped:
	}
}

// Name returns the name of the role.
func (l *Lease) Name() string { return l.name }

// Held returns the fencing number if the host holds the role at now. The caller must read now from the clock
// immediately before each use, because the process may have been paused since an earlier check.
func (l *Lease) Held(now time.Time) (fence uint64, ok bool) {
	g := l.grant.Load()
	if g == nil || l.resigned.Load() || !g.Valid(now) {
		return 0, false
	}
	if era, _ := store.CurrentEra(l.manager.store); era > g.Era {
		return 0, false
	}
	return g.Fence, true
}

// Continues reports whether the host held the role before its present grant and no other host can have held it between.
func (l *Lease) Continues() bool {
	g := l.grant.Load()
	return g != nil && g.Continues
}

// Valid reports whether the host holds the role at now, see [Lease.Held].
func (l *Lease) Valid(now time.Time) bool {
	_, ok := l.Held(now)
	return ok
}

// Announcement returns the snapshot to send to other candidates, and false if the host does not hold the role.
func (l *Lease) Announcement() (Snapshot, bool) {
	s := l.announcement.Load()
	if s == nil {
		return Snapshot{}, false
	}
	return *s, true
}

// Changes returns a channel with the latest state. A slow reader misses intermediate states.
func (l *Lease) Changes() <-chan State { return l.changes }

// Resign releases the role and waits until the platform confirms the release, so that a successor need not wait
// for the end of the term. The host no longer holds the role once Resign is called.
func (l *Lease) Resign(ctx context.Context) error {
	l.resigned.Store(true)
	l.manager.post(func(now time.Time) { l.manager.step(l, now, l.core.Resign) })
	select {
	case <-l.ended:
		return nil
	case <-l.manager.stopped:
		return nil
	case <-ctx.Done():
		return &ResignError{Role: l.name}
	}
}

// ResignError is returned when the platform has not confirmed the release of a role in time.
type ResignError struct{ Role string }

func (e *ResignError) Error() string {
	return fmt.Sprintf("release role %q: no confirmation from the platform; no action is needed: a successor can acquire the role after the term", e.Role)
}

// Run campaigns until ctx ends. It then resigns all roles, waits up to releaseTimeout for their release, and sends
// nil on done.
func (m *Manager) Run(ctx context.Context, done chan<- error) {
	platformCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	m.platformCtx = platformCtx
	m.platformCalls.Add(1)
	go m.runWatch(platformCtx)
	for ctx.Err() == nil {
		m.startCampaigns(time.Now())
		m.waitForEvent(ctx.Done())
	}
	m.releaseAll()
	close(m.stopped)
	stop()
	m.platformCalls.Wait()
	done <- nil
}

// startCampaigns starts the campaigns that were requested since the last call.
func (m *Manager) startCampaigns(now time.Time) {
	m.mu.Lock()
	newLeases := m.newLeases
	m.newLeases = nil
	m.mu.Unlock()
	for _, l := range newLeases {
		if l.resigned.Load() {
			close(l.ended)
			continue
		}
		m.campaignCount++
		self := fmt.Sprintf("%s/%d", m.host, m.campaignCount)
		cfg := m.cfg
		cfg.PollInterval = m.pollInterval()
		l.core = NewCore(cfg, self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now)
		l.core.onTransition = func(t statechart.Transition[State, Event]) {
			m.onChange(Change{Role: l.name, From: t.From, Event: t.Event, To: t.To, Fence: l.core.grant.Fence})
		}
		m.leases = append(m.leases, l)
		m.step(l, now, l.core.Tick)
	}
}

// waitForEvent handles one event, or the next tick of the cores when it is due. It returns early when stop is closed.
func (m *Manager) waitForEvent(stop <-chan struct{}) {
	next := time.Now().Add(m.cfg.Term)
	for _, l := range m.leases {
		if t := l.core.NextTick(); !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	t := time.NewTimer(time.Until(next))
	defer t.Stop()
	select {
	case f := <-m.events:
		f(time.Now())
	case <-m.wake:
	case <-t.C:
		now := time.Now()
		for _, l := range slices.Clone(m.leases) {
			m.step(l, now, l.core.Tick)
		}
	case <-stop:
	}
}

// releaseAll resigns all roles and waits up to releaseTimeout for the platform to confirm.
func (m *Manager) releaseAll() {
	ctx, cancel := context.WithTimeout(m.platformCtx, releaseTimeout)
	defer cancel()
	for _, l := range slices.Clone(m.leases) {
		l.resigned.Store(true)
		m.step(l, time.Now(), l.core.Resign)
	}
	for len(m.leases) > 0 && ctx.Err() == nil {
		m.waitForEvent(ctx.Done())
	}
}

// step calls the core of a lease with f, publishes its grant and starts the calls that it asks for.
func (m *Manager) step(l *Lease, now time.Time, f func(time.Time) []Effect) {
	if l.core == nil {
		// The lease was resigned before its campaign started.
		return
	}
	era, since := store.CurrentEra(m.store)
	l.core.SetEra(now, era, since)
	before := l.core.State()
	l.core.SetHeldRoles(m.heldCount())
	effects := f(now)
	g := l.core.Grant()
	l.grant.Store(&g)
	if s, ok := l.core.Announcement(); ok {
		l.announcement.Store(&s)
	} else {
		l.announcement.Store(nil)
	}
	for _, e := range effects {
		m.platformCalls.Add(1)
		go m.callPlatform(m.platformCtx, l, e)
	}
	after := l.core.State()
	if after != before {
		l.publishState(after)
	}
	if after == Resigned {
		m.remove(l)
	}
}

func (m *Manager) heldCount() int {
	n := 0
	for _, l := range m.leases {
		if l.core.State() == Held {
			n++
		}
	}
	return n
}

func (m *Manager) remove(l *Lease) {
	for i, o := range m.leases {
		if o == l {
			m.leases = append(m.leases[:i], m.leases[i+1:]...)
			close(l.ended)
			return
		}
	}
}

// publishState replaces the state in the channel with the latest one.
func (l *Lease) publishState(s State) {
	for {
		select {
		case l.changes <- s:
			return
		default:
		}
		select {
		case <-l.changes:
		default:
		}
	}
}
