package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/request"
)

const (
	// tickInterval is the interval between calls of the policy's Tick.
	tickInterval = 50 * time.Millisecond
	// eventBuffer bounds the events queued for the loop; senders block when it is full.
	eventBuffer = 4096
	// effectBuffer bounds the effects of one request that its owner has not read yet.
	effectBuffer = 8
)

// event is an input of a policy.
type event interface {
	apply(l *Loop, now time.Time) []Effect
}

type (
	configureEvent struct{ snap *release.Snapshot }
	arriveEvent    struct{ handle *Handle }
	cancelEvent    struct{ id request.ID }
	progressEvent  struct {
		id     request.ID
		tokens int
	}
	finishEvent struct {
		result request.Result
		last   bool
	}
	reportEvent struct{ load Load }
	noticeEvent struct{ notice Notice }
	cacheEvent  struct{ event CacheEvent }
	serverEvent struct{ state ServerState }
	peerEvent   struct{ state HostState }
	applyEvent  struct{ change func(now time.Time) []Effect }
	stateQuery  struct{ answer chan<- HostState }
)

func (e configureEvent) apply(l *Loop, now time.Time) []Effect {
	if p, ok := l.policy.(Policy); ok {
		return p.Configure(now, e.snap)
	}
	return nil
}

func (e arriveEvent) apply(l *Loop, now time.Time) []Effect {
	l.handles[e.handle.Request.ID] = e.handle
	return l.policy.Arrive(now, e.handle.Request)
}

func (e cancelEvent) apply(l *Loop, now time.Time) []Effect {
	h, ok := l.handles[e.id]
	if !ok {
		return nil
	}
	delete(l.handles, e.id)
	out := l.policy.Cancel(now, e.id)
	// The owner reads no further effects, so a start still in the channel will not be executed.
	for {
		select {
		case eff := <-h.Effects:
			if eff.Kind == Start {
				out = append(out, l.policy.Finish(now, cancelledResult(eff))...)
			}
		default:
			return out
		}
	}
}

func cancelledResult(e Effect) request.Result {
	return request.Result{ID: e.ID, Server: e.Server, Outcome: request.Cancelled}
}

func (e progressEvent) apply(l *Loop, now time.Time) []Effect {
	l.policy.Progress(now, e.id, e.tokens)
	return nil
}

func (e finishEvent) apply(l *Loop, now time.Time) []Effect {
	if e.last {
		delete(l.handles, e.result.ID)
	}
	return l.policy.Finish(now, e.result)
}

func (e reportEvent) apply(l *Loop, now time.Time) []Effect { return l.policy.Report(now, e.load) }

func (e noticeEvent) apply(l *Loop, now time.Time) []Effect {
	if o, ok := l.policy.(NoticeObserver); ok {
		return o.Notice(now, e.notice)
	}
	return nil
}

func (e cacheEvent) apply(l *Loop, now time.Time) []Effect {
	if o, ok := l.policy.(CacheObserver); ok {
		o.Cache(now, e.event)
	}
	return nil
}

func (e serverEvent) apply(l *Loop, now time.Time) []Effect {
	if p, ok := l.policy.(Policy); ok {
		return p.Server(now, e.state)
	}
	return nil
}

func (e peerEvent) apply(l *Loop, now time.Time) []Effect {
	if p, ok := l.policy.(Policy); ok {
		return p.Peer(now, e.state)
	}
	return nil
}

func (e applyEvent) apply(_ *Loop, now time.Time) []Effect { return e.change(now) }

func (e stateQuery) apply(l *Loop, now time.Time) []Effect {
	var s HostState
	if p, ok := l.policy.(Policy); ok {
		s = p.State(now)
	}
	e.answer <- s
	return nil
}

// Handle represents a submitted request. The request's owner reads Effects until the request has ended.
type Handle struct {
	Request *request.Request
	Effects chan Effect
	preempt atomic.Pointer[func()]
}

// OnPreempt sets the function that ends the running attempt when a higher tier needs its slot; nil between attempts.
func (h *Handle) OnPreempt(f func()) {
	if f == nil {
		h.preempt.Store(nil)
		return
	}
	h.preempt.Store(&f)
}

// Loop owns a policy and connects it to traffic. Its methods are safe for concurrent use.
type Loop struct {
	policy  CorePolicy
	events  chan event
	handles map[request.ID]*Handle
	observe func(Effect)
	ended   chan struct{}
}

// LoopOption configures a [Loop].
type LoopOption func(*Loop)

// WithObserver makes the loop call f on its goroutine with each effect, for explanations and metrics.
func WithObserver(f func(Effect)) LoopOption {
	return func(l *Loop) { l.observe = f }
}

// NewLoop returns a Loop that owns p; nothing else may use p from then on.
func NewLoop(p CorePolicy, opts ...LoopOption) *Loop {
	l := &Loop{
		policy:  p,
		events:  make(chan event, eventBuffer),
		handles: map[request.ID]*Handle{},
		observe: func(Effect) {},
		ended:   make(chan struct{}),
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Run passes events to the policy until ctx ends and then sends nil on done.
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

// deliver passes effects to the owners of their requests.
func (l *Loop) deliver(effects []Effect) {
	for _, e := range effects {
		l.observe(e)
		h, ok := l.handles[e.ID]
		if !ok {
			l.abandon(e)
			continue
		}
		if e.Kind == Preempt {
			if f := h.preempt.Load(); f != nil {
				(*f)()
			}
			continue
		}
		select {
		case h.Effects <- e:
		default:
			// The owner has stopped reading; its Finish or Cancel is on the way.
			l.abandon(e)
		}
		if e.Kind == Refuse {
			delete(l.handles, e.ID)
		}
	}
}

// abandon informs the policy that a start is not executed because the request's owner is gone.
func (l *Loop) abandon(e Effect) {
	if e.Kind == Start {
		l.deliver(l.policy.Finish(time.Now(), cancelledResult(e)))
	}
}

func (l *Loop) post(e event) {
	select {
	case l.events <- e:
	case <-l.ended:
	}
}

// Submit passes r to the policy. Unless the request is refused, the owner must end it by [Loop.Finish] with last
// set, or by [Loop.Cancel].
func (l *Loop) Submit(r *request.Request) *Handle {
	h := &Handle{Request: r, Effects: make(chan Effect, effectBuffer)}
	l.post(arriveEvent{h})
	return h
}

// Cancel withdraws a request that its owner has not started. The owner must not read Effects afterwards.
func (l *Loop) Cancel(id request.ID) { l.post(cancelEvent{id}) }

// Progress reports generated tokens.
func (l *Loop) Progress(id request.ID, tokens int) { l.post(progressEvent{id, tokens}) }

// Finish reports the end of an attempt; last says that the owner awaits no further effect.
func (l *Loop) Finish(r request.Result, last bool) { l.post(finishEvent{r, last}) }

// Configure passes a release to the policy.
func (l *Loop) Configure(s *release.Snapshot) { l.post(configureEvent{s}) }

// Report passes a server's load report to the policy.
func (l *Loop) Report(r Load) { l.post(reportEvent{r}) }

// Notice passes what a server says about itself to the policy if that is a [NoticeObserver].
func (l *Loop) Notice(n Notice) { l.post(noticeEvent{n}) }

// Cache passes a cache event to the policy if that is a [CacheObserver].
func (l *Loop) Cache(e CacheEvent) { l.post(cacheEvent{e}) }

// Server passes a change of a server's state to the policy.
func (l *Loop) Server(s ServerState) { l.post(serverEvent{s}) }

// Peer passes another host's state to the policy.
func (l *Loop) Peer(s HostState) { l.post(peerEvent{s}) }

// Apply runs change on the loop's goroutine and delivers its effects. It serves inputs that are specific to one
// policy.
func (l *Loop) Apply(change func(now time.Time) []Effect) { l.post(applyEvent{change}) }

// State returns the state that the policy reports to the other hosts.
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
