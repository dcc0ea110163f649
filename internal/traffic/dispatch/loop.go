package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/request"
)

const (
	// tickInterval is how often time passes for a policy without other events.
	tickInterval = 50 * time.Millisecond
	// eventBuffer bounds events that wait for the loop; senders wait when it is full.
	eventBuffer = 4096
	// ticketBuffer holds the effects of one request that its owner has not read.
	ticketBuffer = 8
)

// event is one input of a policy.
type event interface {
	apply(l *Loop, now time.Time) []Effect
}

type (
	configure struct{ snap *release.Snapshot }
	arrive    struct{ ticket *Ticket }
	cancel    struct{ id request.ID }
	progress  struct {
		id     request.ID
		tokens int
	}
	finish struct {
		result request.Result
		last   bool
	}
	report     struct{ load Load }
	cacheEvent struct{ event CacheEvent }
	server     struct{ state ServerState }
	peer       struct{ state HostState }
	apply      struct{ change func(now time.Time) []Effect }
	stateQuery struct{ answer chan<- HostState }
)

func (e configure) apply(l *Loop, now time.Time) []Effect {
	if p, ok := l.policy.(Policy); ok {
		return p.Configure(now, e.snap)
	}
	return nil
}

func (e arrive) apply(l *Loop, now time.Time) []Effect {
	l.tickets[e.ticket.Request.ID] = e.ticket
	return l.policy.Arrive(now, e.ticket.Request)
}

func (e cancel) apply(l *Loop, now time.Time) []Effect {
	t, ok := l.tickets[e.id]
	if !ok {
		return nil
	}
	delete(l.tickets, e.id)
	out := l.policy.Cancel(now, e.id)
	// The owner reads no more: a start on its way to it will not happen.
	for {
		select {
		case eff := <-t.Effects:
			if eff.Kind == Start {
				out = append(out, l.policy.Finish(now, cancelled(eff))...)
			}
		default:
			return out
		}
	}
}

func cancelled(e Effect) request.Result {
	return request.Result{ID: e.ID, Server: e.Server, Outcome: request.Cancelled}
}

func (e progress) apply(l *Loop, now time.Time) []Effect {
	l.policy.Progress(now, e.id, e.tokens)
	return nil
}

func (e finish) apply(l *Loop, now time.Time) []Effect {
	if e.last {
		delete(l.tickets, e.result.ID)
	}
	return l.policy.Finish(now, e.result)
}

func (e report) apply(l *Loop, now time.Time) []Effect { return l.policy.Report(now, e.load) }

func (e cacheEvent) apply(l *Loop, now time.Time) []Effect {
	if o, ok := l.policy.(CacheObserver); ok {
		o.Cache(now, e.event)
	}
	return nil
}

func (e server) apply(l *Loop, now time.Time) []Effect {
	if p, ok := l.policy.(Policy); ok {
		return p.Server(now, e.state)
	}
	return nil
}

func (e peer) apply(l *Loop, now time.Time) []Effect {
	if p, ok := l.policy.(Policy); ok {
		return p.Peer(now, e.state)
	}
	return nil
}

func (e apply) apply(_ *Loop, now time.Time) []Effect { return e.change(now) }

func (e stateQuery) apply(l *Loop, now time.Time) []Effect {
	var s HostState
	if p, ok := l.policy.(Policy); ok {
		s = p.State(now)
	}
	e.answer <- s
	return nil
}

// Ticket is a request in the loop's care. Its owner reads Effects until the request is over.
type Ticket struct {
	Request *request.Request
	Effects chan Effect
	preempt atomic.Pointer[func()]
}

// OnPreempt sets what ends the running attempt when a higher tier needs its place; nil between attempts.
func (t *Ticket) OnPreempt(f func()) {
	if f == nil {
		t.preempt.Store(nil)
		return
	}
	t.preempt.Store(&f)
}

// Loop owns a policy and connects it to traffic. Its methods are safe for concurrent use.
type Loop struct {
	policy  CorePolicy
	events  chan event
	tickets map[request.ID]*Ticket
	observe func(Effect)
	ended   chan struct{}
}

// LoopOption changes a [Loop].
type LoopOption func(*Loop)

// WithObserver calls f on the loop's goroutine with each effect, for explanations and metrics.
func WithObserver(f func(Effect)) LoopOption {
	return func(l *Loop) { l.observe = f }
}

// NewLoop returns a Loop around p, which nothing else may use from now on.
func NewLoop(p CorePolicy, opts ...LoopOption) *Loop {
	l := &Loop{
		policy:  p,
		events:  make(chan event, eventBuffer),
		tickets: map[request.ID]*Ticket{},
		observe: func(Effect) {},
		ended:   make(chan struct{}),
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Run feeds the policy until ctx ends and then reports on done.
func (l *Loop) Run(ctx context.Context, done chan<- error) {
	defer close(l.ended)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case e := <-l.events:
			l.deliver(e.apply(l, time.Now()))
		case now := <-t.C:
			l.deliver(l.policy.Tick(now))
		case <-ctx.Done():
			done <- nil
			return
		}
	}
}

func (l *Loop) deliver(effects []Effect) {
	for _, e := range effects {
		l.observe(e)
		t, ok := l.tickets[e.ID]
		if !ok {
			l.abandon(e)
			continue
		}
		if e.Kind == Preempt {
			if f := t.preempt.Load(); f != nil {
				(*f)()
			}
			continue
		}
		select {
		case t.Effects <- e:
		default:
			// The owner has left without reading; its Finish or Cancel is on the way.
			l.abandon(e)
		}
		if e.Kind == Refuse {
			delete(l.tickets, e.ID)
		}
	}
}

// abandon tells the policy that a start will not happen, for the request's owner is gone.
func (l *Loop) abandon(e Effect) {
	if e.Kind == Start {
		l.deliver(l.policy.Finish(time.Now(), cancelled(e)))
	}
}

func (l *Loop) post(e event) {
	select {
	case l.events <- e:
	case <-l.ended:
	}
}

// Submit hands r to the policy. The owner must end with [Loop.Finish], last true, or [Loop.Cancel],
// unless the request is refused.
func (l *Loop) Submit(r *request.Request) *Ticket {
	t := &Ticket{Request: r, Effects: make(chan Effect, ticketBuffer)}
	l.post(arrive{t})
	return t
}

// Cancel withdraws a request that its owner has not started. The owner must not read Effects any more.
func (l *Loop) Cancel(id request.ID) { l.post(cancel{id}) }

// Progress notes generated tokens.
func (l *Loop) Progress(id request.ID, tokens int) { l.post(progress{id, tokens}) }

// Finish notes the end of an attempt; last tells that the owner awaits no further effect.
func (l *Loop) Finish(r request.Result, last bool) { l.post(finish{r, last}) }

// Configure adopts a release.
func (l *Loop) Configure(s *release.Snapshot) { l.post(configure{s}) }

// Report passes on a load report.
func (l *Loop) Report(r Load) { l.post(report{r}) }

// Cache passes on a cache event, to a policy that is a [CacheObserver].
func (l *Loop) Cache(e CacheEvent) { l.post(cacheEvent{e}) }

// Server passes on a change in a server's life.
func (l *Loop) Server(s ServerState) { l.post(server{s}) }

// Peer passes on another host's state.
func (l *Loop) Peer(s HostState) { l.post(peer{s}) }

// Apply runs change on the loop's goroutine, for inputs that only one policy knows, and carries its effects out.
func (l *Loop) Apply(change func(now time.Time) []Effect) { l.post(apply{change}) }

// State asks the policy for what this host tells the others.
func (l *Loop) State(ctx context.Context) (HostState, error) {
	ch := make(chan HostState, 1)
	l.post(stateQuery{ch})
	select {
	case s := <-ch:
		return s, nil
	case <-l.ended:
		return HostState{}, context.Canceled
	case <-ctx.Done():
		return HostState{}, ctx.Err()
	}
}
