package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"shallotramp/internal/provider/store"
	"shallotramp/internal/traffic/request"
)

const (
	// storeTimeout bounds one read or write of a shard in the platform's store.
	storeTimeout = 3 * time.Second
	// flushTimeout bounds how long a stopping [Claimer] waits for calls to end and for their results to be written.
	flushTimeout = 5 * time.Second
	// eventBuffer is the capacity of the event channel of a [Claimer].
	eventBuffer = 1024
	// effectBuffer is the capacity of the effect channel of a [Handle].
	effectBuffer = 4
)

// Answer is the result that a request's caller gets when the request is not sent. Reply is set for [Replay] and [Ran].
type Answer struct {
	Verdict Verdict
	Reply   Reply
}

// Claimer claims the non-idempotent calls of one host: it runs the event loop of a [Core] and carries out
// its effects. Its methods are safe for concurrent use.
type Claimer struct {
	store      store.Store
	core       *Core
	cfg        Config
	events     chan func(now time.Time) []Effect
	stopped    chan struct{}
	storeCalls sync.WaitGroup

	// handles and storeCtx are used only by the goroutine of Run.
	handles  map[request.ID]*Handle
	storeCtx context.Context
}

// Option changes a [Claimer].
type Option func(*Claimer)

// WithConfig replaces the configuration.
func WithConfig(cfg Config) Option { return func(c *Claimer) { c.cfg = cfg } }

// NewClaimer returns a Claimer of a host. It serves requests while [Claimer.Run] runs.
func NewClaimer(st store.Store, host string, opts ...Option) *Claimer {
	c := &Claimer{
		store: st, cfg: DefaultConfig(), handles: map[request.ID]*Handle{},
		events: make(chan func(time.Time) []Effect, eventBuffer), stopped: make(chan struct{}),
	}
	for _, o := range opts {
		o(c)
	}
	name := host + "/" + uuid.NewString()[:8]
	c.core = NewCore(c.cfg, name, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return c
}

// Run serves requests until ctx ends. It then waits up to flushTimeout for the sent calls to end and for
// pending operations to be written, and sends nil on done.
func (c *Claimer) Run(ctx context.Context, done chan<- error) {
	storeCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	c.storeCtx = storeCtx
	for ctx.Err() == nil {
		c.step(ctx.Done())
	}
	flushCtx, cancel := context.WithTimeout(storeCtx, flushTimeout)
	for c.core.Pending() > 0 && flushCtx.Err() == nil {
		c.step(flushCtx.Done())
	}
	cancel()
	close(c.stopped)
	stop()
	c.storeCalls.Wait()
	done <- nil
}

// step handles one event, or the next tick of the core when it is due. It returns early when stop is closed.
func (c *Claimer) step(stop <-chan struct{}) {
	var due <-chan time.Time
	if next := c.core.NextTick(); !next.IsZero() {
		t := time.NewTimer(time.Until(next))
		defer t.Stop()
		due = t.C
	}
	select {
	case event := <-c.events:
		c.execute(event(time.Now()))
	case now := <-due:
		c.execute(c.core.Tick(now))
	case <-stop:
	}
}

func (c *Claimer) execute(effects []Effect) {
	for _, e := range effects {
		switch e.Kind {
		case ReadShard, WriteShard:
			c.storeCalls.Add(1)
			go c.callStore(c.storeCtx, e)
			continue
		}
		h, ok := c.handles[e.ID]
		if !ok {
			continue
		}
		if e.Kind == Tell {
			delete(c.handles, e.ID)
		}
		select {
		case h.effects <- e:
		default:
			// The buffer is full: the owner no longer reads effects and will not act on this one.
		}
	}
}

// callStore carries out a read or write of a shard and posts its result to the event loop.
func (c *Claimer) callStore(ctx context.Context, e Effect) {
	defer c.storeCalls.Done()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if e.Kind == ReadShard {
		content, version, ok := readShard(ctx, c.store, e.Shard)
		c.post(func(now time.Time) []Effect { return c.core.ReadDone(now, e.Shard, content, version, ok) })
		return
	}
	o, version := writeShard(ctx, c.store, e)
	c.post(func(now time.Time) []Effect { return c.core.WriteDone(now, e.Shard, o, version) })
}

func (c *Claimer) post(event func(now time.Time) []Effect) {
	select {
	case c.events <- event:
	case <-c.stopped:
	}
}

// Handle represents one request. Its owner ends it with [Handle.Finish] or [Handle.Refuse].
type Handle struct {
	claimer    *Claimer
	id         request.ID
	effects    chan Effect
	sendBefore time.Time
}

// Begin checks whether the call was claimed by an earlier request, and if so waits for the result of that
// request. It returns a handle if no other request holds a claim, and an answer for the caller otherwise.
func (c *Claimer) Begin(ctx context.Context, req Request) (*Handle, *Answer) {
	h := &Handle{claimer: c, id: req.ID, effects: make(chan Effect, effectBuffer)}
	c.post(func(now time.Time) []Effect {
		c.handles[req.ID] = h
		return c.core.Begin(now, req)
	})
	select {
	case e := <-h.effects:
		if e.Kind == Proceed {
			return h, nil
		}
		return nil, answerOf(e)
	case <-ctx.Done():
	case <-c.stopped:
	}
	answer := h.Refuse()
	return nil, &answer
}

func answerOf(e Effect) *Answer { return &Answer{Verdict: e.Verdict, Reply: e.Reply} }

// Claim claims the call. It returns nil once the claim is confirmed: the call may then be sent while
// [Handle.MaySend] returns true. Otherwise it returns an answer for the caller. If ctx ends first, Claim
// returns its error, and the owner must call [Handle.Refuse].
func (h *Handle) Claim(ctx context.Context) (*Answer, error) {
	for {
		h.claimer.post(func(now time.Time) []Effect { return h.claimer.core.Claim(now, h.id) })
		select {
		case e := <-h.effects:
			switch e.Kind {
			case SendCall:
				h.sendBefore = e.SendBefore
				return nil, nil
			case Tell:
				return answerOf(e), nil
			}
			// Proceed: another request has released its claim, so the call can be claimed again.
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-h.claimer.stopped:
			return nil, context.Canceled
		}
	}
}

// MaySend reports whether the call may be sent at now. The owner must read now from the clock immediately
// before it sends. Both the monotonic and the wall clock must be before the end of the send window.
func (h *Handle) MaySend(now time.Time) bool {
	return now.Before(h.sendBefore) && now.Round(0).Before(h.sendBefore.Round(0))
}

// Finish reports the result of sending the call. After [ServerUnreached] the owner must call [Handle.Claim]
// or [Handle.Refuse].
func (h *Handle) Finish(r Result) {
	h.claimer.post(func(now time.Time) []Effect { return h.claimer.core.Finish(now, h.id, r) })
}

// Refuse ends a request that has not been sent to a backend server. It waits until the platform's store confirms that
// the call has not run, and returns [Unasked] if there is no result within a bounded time.
func (h *Handle) Refuse() Answer {
	h.claimer.post(func(now time.Time) []Effect { return h.claimer.core.RefuseUnsent(now, h.id) })
	timeout := time.NewTimer(h.claimer.cfg.ReleaseTimeout + storeTimeout)
	defer timeout.Stop()
	for {
		select {
		case e := <-h.effects:
			if e.Kind == Tell {
				return *answerOf(e)
			}
		case <-timeout.C:
			return Answer{Verdict: Unasked}
		case <-h.claimer.stopped:
			return Answer{Verdict: Unasked}
		}
	}
}
