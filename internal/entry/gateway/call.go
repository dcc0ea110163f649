package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/usage/meter"
)

// call is one caller's request on its way through the host.
type call struct {
	w      http.ResponseWriter
	r      *http.Request
	req    *request.Request
	digest string
	secret string
	body   []byte
	snap   *release.Snapshot
	end    context.CancelCauseFunc
	// keep rules out that the running attempt is preempted.
	keep    func()
	account UsageRecorder
	once    once
	// answer is what the caller has got so far.
	answer answerState
}

// answerState tells what has reached the caller, and lets a stream resume where it broke.
type answerState struct {
	begun  bool
	tokens int
	text   []byte
	// first is the time from arrival to the first token.
	first time.Duration
	// id is the stream's id, kept when another server resumes it.
	id string
	// prompt counts input tokens as the first server reported them.
	prompt int
	// unresumable answers hold more than the text of one choice.
	unresumable bool
	// wantsUsage tells that the caller asked for usage in the stream.
	wantsUsage bool
}

// registry holds the open calls, so that a withdrawn key can end them.
type registry struct {
	mu    sync.Mutex
	calls map[request.ID]*call
}

func newRegistry() *registry { return &registry{calls: map[request.ID]*call{}} }

func (r *registry) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c.req.ID] = c
}

func (r *registry) remove(id request.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, id)
}

func (r *registry) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

func (r *registry) endWhere(f func(*call) *Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		if fault := f(c); fault != nil {
			c.end(fault)
		}
	}
}

// serve takes c through queue, choice, attempts and answer.
func (g *Gateway) serve(c *call) {
	if g.accounts != nil {
		c.account = g.accounts(c.req.Organisation)
		c.req.ID = request.ID(c.account.ID())
		defer c.account.End()
	}
	ctx, end := context.WithCancelCause(c.r.Context())
	defer end(nil)
	ctx, stop := context.WithDeadlineCause(ctx, c.req.Deadline, &Fault{Kind: TimedOut, Code: "deadline", Message: "the request's deadline passed", Remedy: "retry with a later deadline"})
	defer stop()
	c.end = end
	g.open.add(c)
	defer g.open.remove(c.req.ID)
	// A release adopted since the check is seen by Enforce only for calls in the registry: check again.
	if f := allowed(g.holder.Current(), g.holder.Confirmed(), c, time.Now()); f != nil {
		f.write(c.w, c.req.ID)
		return
	}
	c.w.Header().Set("X-Request-Id", string(c.req.ID))
	g.book.Begin(c.req)
	g.book.Note(c.req.ID, c.req.Arrived, "arrived", fmt.Sprintf("class %s, tier %d, route %s, pool %s, zone %s", c.req.Class, c.req.Tier, c.req.Route, c.req.Pool, g.zone))
	g.count("requests_total", c)
	score := g.scores.of(c.req.Class)
	score.offered.Add(1)
	if g.look(ctx, c) {
		defer g.leave(c)
		g.drive(ctx, c)
	}
	g.metrics.GetOrCreateHistogram(fmt.Sprintf(`request_duration_seconds{class=%q}`, c.req.Class)).UpdateDuration(c.req.Arrived)
}

func (g *Gateway) count(name string, c *call) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`%s{class=%q,route=%q}`, name, c.req.Class, c.req.Route)).Inc()
}

// drive carries out the decisions for c until its answer has ended.
func (g *Gateway) drive(ctx context.Context, c *call) {
	t := g.loop.Submit(c.req)
	ran := request.NotRun
	_, queued := g.tracer.Start(ctx, "queue", trace.WithAttributes(attribute.String("class", c.req.Class)))
	for {
		select {
		case e := <-t.Effects:
			queued.End()
			if e.Kind == dispatch.Refuse {
				g.refuse(c, e)
				return
			}
			_, choice := g.tracer.Start(ctx, "choice", trace.WithAttributes(attribute.String("server", e.Server), attribute.String("why", e.Why)))
			choice.End()
			g.book.Note(c.req.ID, time.Now(), "start", fmt.Sprintf("attempt %d on %s: %s", e.Attempt, e.Server, e.Why))
			res, fault := g.attempt(ctx, c, t, e)
			if res.Outcome != request.Unreachable && res.Outcome != request.Rejected {
				ran = request.MayHaveRun
			}
			last := res.Outcome == request.Completed || res.Outcome == request.Cancelled
			g.loop.Finish(res, last)
			g.account(c, res)
			g.book.Note(c.req.ID, time.Now(), "finish", fmt.Sprintf("attempt %d on %s: %s, %d tokens", e.Attempt, e.Server, res.Outcome, res.OutputTokens))
			if last {
				g.finish(ctx, c, res, fault)
				return
			}
		case <-ctx.Done():
			queued.End()
			g.loop.Cancel(c.req.ID)
			g.interrupted(ctx, c, ran)
			return
		}
	}
}

func (g *Gateway) refuse(c *call, e dispatch.Effect) {
	g.book.Note(c.req.ID, time.Now(), "refused", e.Reason.String()+" "+e.Why)
	g.scores.of(c.req.Class).refused.Add(1)
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`refusals_total{class=%q,reason=%q}`, c.req.Class, e.Reason)).Inc()
	g.fail(c, refusal(e))
}

// finish ends an answer after its last attempt.
func (g *Gateway) finish(ctx context.Context, c *call, res request.Result, fault *Fault) {
	if res.Outcome == request.Completed {
		g.count("completed_total", c)
		g.scores.of(c.req.Class).completed(c, res)
		return
	}
	if c.once.settled {
		return
	}
	if fault != nil {
		g.fail(c, fault)
		return
	}
	g.interrupted(ctx, c, request.MayHaveRun)
}

// interrupted ends an answer whose context ended: by its deadline, a withdrawal or the caller.
func (g *Gateway) interrupted(ctx context.Context, c *call, ran request.Ran) {
	g.count("interrupted_total", c)
	f, ok := context.Cause(ctx).(*Fault)
	if !ok {
		// The caller has hung up and reads nothing any more.
		g.book.Note(c.req.ID, time.Now(), "cancelled", "the caller hung up")
		return
	}
	out := *f
	out.Ran = ran
	g.book.Note(c.req.ID, time.Now(), "ended", out.Code)
	g.fail(c, &out)
}

// fail tells the caller of a failure: as a status when nothing was sent, else inside the answer, which
// is then broken off so that no client takes it for a whole one.
func (g *Gateway) fail(c *call, f *Fault) {
	if f = g.settle(c, f); f == nil {
		return
	}
	if !c.answer.begun {
		f.write(c.w, c.req.ID)
		return
	}
	if c.req.Streaming {
		_, _ = c.w.Write([]byte("data: " + string(f.body(c.req.ID)) + "\n\n"))
		_ = http.NewResponseController(c.w).Flush()
	}
	panic(http.ErrAbortHandler)
}

// account counts what an attempt used.
func (g *Gateway) account(c *call, res request.Result) {
	u := meter.Use{PromptTokens: int64(res.PromptTokens), OutputTokens: int64(res.OutputTokens)}
	if res.Outcome == request.Completed {
		u.Requests = 1
	}
	if c.account != nil {
		c.account.Attempt(res.Server, u, exact(c, res))
	}
	if u != (meter.Use{}) {
		g.counter.Count(c.req.Organisation, u)
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`output_tokens_total{class=%q}`, c.req.Class)).Add(res.OutputTokens)
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`delivered_tokens_total{class=%q}`, c.req.Class)).Add(res.Delivered)
}

// exact reports whether the result's count is the server's own final one. Plain services count nothing
// themselves, and a request that was refused before it ran used nothing.
func exact(c *call, res request.Result) bool {
	switch res.Outcome {
	case request.Completed, request.Unreachable, request.Rejected:
		return true
	}
	return c.req.Model == ""
}
