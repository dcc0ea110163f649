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
	// callTimeout bounds one call to the platform.
	callTimeout = 3 * time.Second
	// flushTimeout bounds the wait of a stopping book for outcomes and their records.
	flushTimeout = 5 * time.Second
	// inboxLength bounds the events that wait for the book.
	inboxLength = 1024
	// ticketBuffer holds the effects of one request that its owner has not read.
	ticketBuffer = 4
)

// Answer is what a request's caller is told instead of a sending; Reply is set for [Replay] and [Ran].
type Answer struct {
	Verdict Verdict
	Reply   Reply
}

// Claimer claims the non-idempotent calls of one host. Its methods are safe for concurrent use.
type Claimer struct {
	store store.Store
	core  *Core
	cfg   Config
	inbox chan func(now time.Time) []Effect
	ended chan struct{}
	calls sync.WaitGroup

	// tickets and work belong to the goroutine of Run.
	tickets map[request.ID]*Handle
	work    context.Context
}

// Option changes a [Book].
type Option func(*Claimer)

// WithConfig replaces the configuration.
func WithConfig(c Config) Option { return func(b *Claimer) { b.cfg = c } }

// NewClaimer returns a Book of a host. It answers once [Book.Run] runs.
func NewClaimer(st store.Store, host string, opts ...Option) *Claimer {
	b := &Claimer{
		store: st, cfg: DefaultConfig(), tickets: map[request.ID]*Handle{},
		inbox: make(chan func(time.Time) []Effect, inboxLength), ended: make(chan struct{}),
	}
	for _, o := range opts {
		o(b)
	}
	name := host + "/" + uuid.NewString()[:8]
	b.core = NewCore(b.cfg, name, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return b
}

// Run serves until ctx ends, writes the outcomes that are still to be recorded and reports on done.
func (b *Claimer) Run(ctx context.Context, done chan<- error) {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	b.work = work
	for ctx.Err() == nil {
		b.wait(ctx.Done())
	}
	flush, cancel := context.WithTimeout(work, flushTimeout)
	for b.core.Pending() > 0 && flush.Err() == nil {
		b.wait(flush.Done())
	}
	cancel()
	close(b.ended)
	stop()
	b.calls.Wait()
	done <- nil
}

// wait takes one event or lets the core's next time come.
func (b *Claimer) wait(stop <-chan struct{}) {
	var due <-chan time.Time
	if next := b.core.NextTick(); !next.IsZero() {
		t := time.NewTimer(time.Until(next))
		defer t.Stop()
		due = t.C
	}
	select {
	case f := <-b.inbox:
		b.carryOut(f(time.Now()))
	case now := <-due:
		b.carryOut(b.core.Tick(now))
	case <-stop:
	}
}

func (b *Claimer) carryOut(effects []Effect) {
	for _, e := range effects {
		switch e.Kind {
		case ReadShard, WriteShard:
			b.calls.Add(1)
			go b.call(b.work, e)
			continue
		}
		t, ok := b.tickets[e.ID]
		if !ok {
			continue
		}
		if e.Kind == Tell {
			delete(b.tickets, e.ID)
		}
		select {
		case t.effects <- e:
		default:
			// Its owner has left; what it was permitted will not happen.
		}
	}
}

// call carries one effect to the platform and its result back.
func (b *Claimer) call(ctx context.Context, e Effect) {
	defer b.calls.Done()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if e.Kind == ReadShard {
		content, version, ok := readShard(ctx, b.store, e.Shard)
		b.post(func(now time.Time) []Effect { return b.core.ReadDone(now, e.Shard, content, version, ok) })
		return
	}
	o, version := writeShard(ctx, b.store, e)
	b.post(func(now time.Time) []Effect { return b.core.WriteDone(now, e.Shard, o, version) })
}

func (b *Claimer) post(f func(now time.Time) []Effect) {
	select {
	case b.inbox <- f:
	case <-b.ended:
	}
}

// Handle is one request in the book's care. Its owner ends it with [Ticket.Finish] or [Ticket.Refuse].
type Handle struct {
	b       *Claimer
	id      request.ID
	effects chan Effect
	until   time.Time
}

// Begin looks whether the call was claimed before, and waits for the outcome if it is on its way. It
// returns a ticket if there is no claim, and else what the caller is told.
func (b *Claimer) Begin(ctx context.Context, a Request) (*Handle, *Answer) {
	t := &Handle{b: b, id: a.ID, effects: make(chan Effect, ticketBuffer)}
	b.post(func(now time.Time) []Effect {
		b.tickets[a.ID] = t
		return b.core.Begin(now, a)
	})
	select {
	case e := <-t.effects:
		if e.Kind == Proceed {
			return t, nil
		}
		return nil, answerOf(e)
	case <-ctx.Done():
	case <-b.ended:
	}
	a2 := t.Refuse()
	return nil, &a2
}

func answerOf(e Effect) *Answer { return &Answer{Verdict: e.Verdict, Reply: e.Reply} }

// Claim asks for the right to send. It returns nil if the call may be sent while [Ticket.MaySend] says so, or
// what the caller is told. After an error of ctx the owner calls [Ticket.Refuse].
func (t *Handle) Claim(ctx context.Context) (*Answer, error) {
	for {
		t.b.post(func(now time.Time) []Effect { return t.b.core.Claim(now, t.id) })
		select {
		case e := <-t.effects:
			switch e.Kind {
			case SendCall:
				t.until = e.SendBefore
				return nil, nil
			case Tell:
				return answerOf(e), nil
			}
			// The claim of another request was released: claim again.
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-t.b.ended:
			return nil, context.Canceled
		}
	}
}

// MaySend reports whether the sending may begin at now, which must be read from the clock directly before
// it. Both the monotonic and the wall clock must say so.
func (t *Handle) MaySend(now time.Time) bool {
	return now.Before(t.until) && now.Round(0).Before(t.until.Round(0))
}

// Finish notes how the sending ended. After [ServerUnreached] the owner may claim again or must refuse.
func (t *Handle) Finish(r Result) {
	t.b.post(func(now time.Time) []Effect { return t.b.core.Finish(now, t.id, r) })
}

// Refuse ends a request that is not on its way to a backend server, and waits until the platform has proved
// that the call has not run, or for a bounded time.
func (t *Handle) Refuse() Answer {
	t.b.post(func(now time.Time) []Effect { return t.b.core.RefuseUnsent(now, t.id) })
	limit := time.NewTimer(t.b.cfg.ReleaseTimeout + callTimeout)
	defer limit.Stop()
	for {
		select {
		case e := <-t.effects:
			if e.Kind == Tell {
				return *answerOf(e)
			}
		case <-limit.C:
			return Answer{Verdict: Unasked}
		case <-t.b.ended:
			return Answer{Verdict: Unasked}
		}
	}
}
