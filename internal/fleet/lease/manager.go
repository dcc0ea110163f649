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

	"shallotramp/internal/ops/chart"
	"shallotramp/internal/provider/store"
)

const (
	// releaseTimeout bounds the time that a stopping manager takes to give its leases up.
	releaseTimeout = time.Second
	// idlePolls is how many times slower a manager that is not eager reads.
	idlePolls = 8
	// inboxLength bounds the results that wait for the manager.
	inboxLength = 64
)

// Change is one step of a lease, for logs and explanations.
type Change struct {
	Role  string
	From  State
	Event Event
	To    State
	Fence uint64
}

// Manager campaigns for roles on behalf of one host. Its methods are safe for concurrent use.
type Manager struct {
	store   store.Store
	host    string
	cfg     Config
	observe func(Change)
	inbox   chan func(now time.Time)
	wake    chan struct{}
	ended   chan struct{}
	calls   sync.WaitGroup

	mu       sync.Mutex
	campaign []*Lease
	started  int
	eager    atomic.Bool

	// leases and work belong to the goroutine of Run.
	leases []*Lease
	// work ends the calls when the manager has stopped.
	work context.Context
}

// Option changes a [Manager].
type Option func(*Manager)

// WithConfig replaces the times.
func WithConfig(c Config) Option { return func(m *Manager) { m.cfg = c } }

// WithObserver calls f with each change, on the manager's goroutine.
func WithObserver(f func(Change)) Option { return func(m *Manager) { m.observe = f } }

// NewManager returns a Manager for a host. Nothing happens until [Manager.Run].
func NewManager(st store.Store, host string, opts ...Option) *Manager {
	m := &Manager{
		store: st, host: host + "/" + uuid.NewString()[:8], cfg: DefaultConfig(), observe: func(Change) {},
		inbox: make(chan func(time.Time), inboxLength), wake: make(chan struct{}, 1), ended: make(chan struct{}),
	}
	m.eager.Store(true)
	for _, o := range opts {
		o(m)
	}
	return m
}

// Lease is a candidature for one role.
type Lease struct {
	name  string
	m     *Manager
	core  *Core
	grant atomic.Pointer[Grant]
	// told is the record of a held lease, nil of others.
	told     atomic.Pointer[Snapshot]
	resigned atomic.Bool
	changes  chan State
	over     chan struct{}
}

// Campaign bids for the role until the lease is resigned or the manager stops.
func (m *Manager) Campaign(name string) *Lease {
	l := &Lease{name: name, m: m, changes: make(chan State, 1), over: make(chan struct{})}
	m.mu.Lock()
	m.campaign = append(m.campaign, l)
	m.mu.Unlock()
	m.nudge()
	return l
}

// SetWatching sets whether the host watches for free roles or only looks now and then. A zone needs a few eager
// hosts; the reads of the others then do not grow with the fleet.
func (m *Manager) SetWatching(eager bool) {
	if m.eager.Swap(eager) != eager {
		m.post(func(now time.Time) {
			for _, l := range m.leases {
				m.step(l, now, func(now time.Time) []Effect {
					l.core.SetPollInterval(m.poll())
					l.core.Hint(now)
					return l.core.Tick(now)
				})
			}
		})
	}
}

// Hint looks at the role at once, for another host told that it was released.
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

// HandleAnnouncement takes a record that its holder told, see [Core.Heard].
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

func (m *Manager) poll() time.Duration {
	if m.eager.Load() {
		return m.cfg.PollInterval
	}
	return m.cfg.PollInterval * idlePolls
}

func (m *Manager) nudge() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// post hands f to the manager's goroutine.
func (m *Manager) post(f func(now time.Time)) {
	select {
	case m.inbox <- f:
	case <-m.ended:
	}
}

// Name returns the role.
func (l *Lease) Name() string { return l.name }

// Held returns the fencing number if the host holds the role at now, which must be read from the clock
// directly before each use: the process may have been paused since an earlier check.
func (l *Lease) Held(now time.Time) (fence uint64, ok bool) {
	g := l.grant.Load()
	if g == nil || l.resigned.Load() || !g.Valid(now) {
		return 0, false
	}
	return g.Fence, true
}

// Valid reports whether the host holds the role at now, see [Lease.Held].
func (l *Lease) Valid(now time.Time) bool {
	_, ok := l.Held(now)
	return ok
}

// Announcement returns the record to tell other candidates, if the host holds the role.
func (l *Lease) Announcement() (Snapshot, bool) {
	s := l.told.Load()
	if s == nil {
		return Snapshot{}, false
	}
	return *s, true
}

// Changes returns a channel with the latest state. A slow reader misses states in between.
func (l *Lease) Changes() <-chan State { return l.changes }

// Resign gives the role up and waits until the platform knows, so that a successor need not wait for the
// term. The host does not hold the role from the moment of the call.
func (l *Lease) Resign(ctx context.Context) error {
	l.resigned.Store(true)
	l.m.post(func(now time.Time) { l.m.step(l, now, l.core.Resign) })
	select {
	case <-l.over:
		return nil
	case <-l.m.ended:
		return nil
	case <-ctx.Done():
		return &ResignError{Role: l.name}
	}
}

// ResignError is a role whose release the platform has not confirmed.
type ResignError struct{ Role string }

func (e *ResignError) Error() string {
	return fmt.Sprintf("the platform has not confirmed the release of role %q; go on, a successor takes it after the term", e.Role)
}

// Run campaigns until ctx ends, gives up what the host holds and reports on done.
func (m *Manager) Run(ctx context.Context, done chan<- error) {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	m.work = work
	m.calls.Add(1)
	go m.watch(work)
	for ctx.Err() == nil {
		m.adopt(time.Now())
		m.wait(ctx.Done())
	}
	m.release()
	close(m.ended)
	stop()
	m.calls.Wait()
	done <- nil
}

// adopt begins the campaigns that were asked for.
func (m *Manager) adopt(now time.Time) {
	m.mu.Lock()
	fresh := m.campaign
	m.campaign = nil
	m.mu.Unlock()
	for _, l := range fresh {
		if l.resigned.Load() {
			close(l.over)
			continue
		}
		m.started++
		self := fmt.Sprintf("%s/%d", m.host, m.started)
		cfg := m.cfg
		cfg.PollInterval = m.poll()
		l.core = NewCore(cfg, self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now)
		l.core.notify = func(t chart.Transition[State, Event]) {
			m.observe(Change{Role: l.name, From: t.From, Event: t.Event, To: t.To, Fence: l.core.grant.Fence})
		}
		m.leases = append(m.leases, l)
		m.step(l, now, l.core.Tick)
	}
}

// wait takes one event or lets the time of the next core come.
func (m *Manager) wait(stop <-chan struct{}) {
	next := time.Now().Add(m.cfg.Term)
	for _, l := range m.leases {
		if t := l.core.NextTick(); !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	t := time.NewTimer(time.Until(next))
	defer t.Stop()
	select {
	case f := <-m.inbox:
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

// release resigns all roles and waits for the platform within bounds.
func (m *Manager) release() {
	ctx, cancel := context.WithTimeout(m.work, releaseTimeout)
	defer cancel()
	for _, l := range slices.Clone(m.leases) {
		l.resigned.Store(true)
		m.step(l, time.Now(), l.core.Resign)
	}
	for len(m.leases) > 0 && ctx.Err() == nil {
		m.wait(ctx.Done())
	}
}

// step gives one event to a core, publishes the grant and starts the calls that the core wants.
func (m *Manager) step(l *Lease, now time.Time, f func(time.Time) []Effect) {
	if l.core == nil {
		// Resigned before its campaign began.
		return
	}
	before := l.core.State()
	l.core.SetHeldRoles(m.held())
	effects := f(now)
	g := l.core.Grant()
	l.grant.Store(&g)
	if s, ok := l.core.Announcement(); ok {
		l.told.Store(&s)
	} else {
		l.told.Store(nil)
	}
	for _, e := range effects {
		m.calls.Add(1)
		go m.call(m.work, l, e)
	}
	after := l.core.State()
	if after != before {
		l.tell(after)
	}
	if after == Resigned {
		m.drop(l)
	}
}

func (m *Manager) held() int {
	n := 0
	for _, l := range m.leases {
		if l.core.State() == Held {
			n++
		}
	}
	return n
}

func (m *Manager) drop(l *Lease) {
	for i, o := range m.leases {
		if o == l {
			m.leases = append(m.leases[:i], m.leases[i+1:]...)
			close(l.over)
			return
		}
	}
}

// tell leaves the latest state for the reader.
func (l *Lease) tell(s State) {
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
