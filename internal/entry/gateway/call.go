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
	"shallotramp/internal/engine/bodybuffer"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/usage/meter"
)

// call is the state of one request in the gateway, from its arrival to the end of the response.
type call struct {
	w         http.ResponseWriter
	r         *http.Request
	req       *request.Request
	keyDigest string
	secret    string
	body      []byte
	// callerBody holds the memory of body until the request is over; nil if there is none.
	callerBody *bodybuffer.Body
	snap       *release.Snapshot
	cancel     context.CancelCauseFunc
	// disablePreemption is set while an attempt runs. It keeps the dispatcher from preempting the running attempt.
	disablePreemption func()
	// attempt is the present attempt, and sentAt when it began.
	attempt       dispatch.Effect
	sentAt        time.Time
	usageRecorder UsageRecorder
	atMostOnce    atMostOnceState
	response      responseState
}

// responseState is what has been sent to the caller so far. Another attempt resumes a broken stream from it.
type responseState struct {
	started bool
	tokens  int
	text    []byte
	// firstToken is the time from the arrival of the request to the first token.
	firstToken time.Duration
	// streamID is the id in the events of the stream. It stays the same when another server resumes the stream.
	streamID string
	// promptTokens is the number of prompt tokens that the first server reported.
	promptTokens int
	// unresumable is set if another server cannot resume the response: it has more than the text of one choice,
	// or its text is longer than maxResumeBytes.
	unresumable bool
	// wantsUsage is set if the caller asked for a usage event at the end of the stream.
	wantsUsage bool
}

// callRegistry holds the open calls, so that they can be cancelled when their API key is withdrawn.
type callRegistry struct {
	mu    sync.Mutex
	calls map[request.ID]*call
}

func newCallRegistry() *callRegistry { return &callRegistry{calls: map[request.ID]*call{}} }

func (r *callRegistry) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c.req.ID] = c
}

func (r *callRegistry) remove(id request.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, id)
}

func (r *callRegistry) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

// cancelWhere cancels each call for which f returns a Fault, with this Fault as the cause.
func (r *callRegistry) cancelWhere(f func(*call) *Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		if fault := f(c); fault != nil {
			c.cancel(fault)
		}
	}
}

// serve handles c: it checks for an earlier claim, queues the request, runs its attempts and sends the response.
func (g *Gateway) serve(c *call) {
	if g.newUsageRecorder != nil {
		c.usageRecorder = g.newUsageRecorder(c.req.Organisation)
		c.req.ID = request.ID(c.usageRecorder.ID())
		defer c.usageRecorder.End()
	}
	ctx, cancel := context.WithCancelCause(c.r.Context())
	defer cancel(nil)
	ctx, cancelDeadline := context.WithDeadlineCause(ctx, c.req.Deadline, &Fault{Kind: TimedOut, Code: "deadline", Message: "the deadline of the request passed", Remedy: "retry with a later deadline"})
	defer cancelDeadline()
	c.cancel = cancel
	g.openCalls.add(c)
	defer g.openCalls.remove(c.req.ID)
	// Enforce sees only the calls in the registry. The check is repeated here for a configuration that took
	// effect between the first check and the registration.
	if f := checkOpenCall(g.holder.Current(), g.holder.Confirmed(), c, time.Now()); f != nil {
		f.write(c.w, c.req.ID)
		return
	}
	c.w.Header().Set("X-Request-Id", string(c.req.ID))
	g.decisionLog.Begin(c.req)
	g.decisionLog.AddStep(c.req.ID, c.req.Arrived, "arrived", fmt.Sprintf("class %s, tier %d, route %s, pool %s, zone %s", c.req.Class, c.req.Tier, c.req.Route, c.req.Pool, g.zone))
	g.incCounter("requests_total", c)
	counters := g.classStats.get(c.req.Class)
	counters.offered.Add(1)
	if g.checkClaim(ctx, c) {
		defer g.releaseClaim(c)
		g.runAttempts(ctx, c)
	}
	g.metrics.GetOrCreateHistogram(fmt.Sprintf(`request_duration_seconds{class=%q}`, c.req.Class)).UpdateDuration(c.req.Arrived)
}

func (g *Gateway) incCounter(name string, c *call) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`%s{class=%q,route=%q}`, name, c.req.Class, c.req.Route)).Inc()
}

// runAttempts submits c to the dispatcher and runs the attempts that it starts, until the request has ended.
func (g *Gateway) runAttempts(ctx context.Context, c *call) {
	t := g.dispatcher.Submit(c.req)
	ran := request.NotRun
	_, queueSpan := g.tracer.Start(ctx, "queue", trace.WithAttributes(attribute.String("class", c.req.Class)))
	for {
		select {
		case e := <-t.Effects:
			queueSpan.End()
			if e.Kind == dispatch.Refuse {
				g.refuse(c, e)
				return
			}
			_, choiceSpan := g.tracer.Start(ctx, "choice", trace.WithAttributes(attribute.String("server", e.Server), attribute.String("why", e.Why)))
			choiceSpan.End()
			g.decisionLog.AddStep(c.req.ID, time.Now(), "start", fmt.Sprintf("attempt %d on %s: %s", e.Attempt, e.Server, e.Why))
			res, fault := g.runAttempt(ctx, c, t, e)
			if res.Outcome != request.Unreachable && res.Outcome != request.Rejected {
				ran = request.MayHaveRun
			}
			last := res.Outcome == request.Completed || res.Outcome == request.Cancelled
			g.dispatcher.Finish(res, last)
			g.recordUsage(c, res)
			g.decisionLog.AddStep(c.req.ID, time.Now(), "finish", fmt.Sprintf("attempt %d on %s: %s, %d tokens", e.Attempt, e.Server, res.Outcome, res.OutputTokens))
			if last {
				g.finish(ctx, c, res, fault)
				return
			}
		case <-ctx.Done():
			queueSpan.End()
			g.dispatcher.Cancel(c.req.ID)
			g.respondInterrupted(ctx, c, ran)
			return
		}
	}
}

func (g *Gateway) refuse(c *call, e dispatch.Effect) {
	g.decisionLog.AddStep(c.req.ID, time.Now(), "refused", e.Reason.String()+" "+e.Why)
	g.classStats.get(c.req.Class).refused.Add(1)
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`refusals_total{class=%q,reason=%q}`, c.req.Class, e.Reason)).Inc()
	g.fail(c, refusalFault(e))
}

// finish ends c after its last attempt.
func (g *Gateway) finish(ctx context.Context, c *call, res request.Result, fault *Fault) {
	if res.Outcome == request.Completed {
		g.incCounter("completed_total", c)
		g.classStats.get(c.req.Class).recordCompleted(c, res)
		return
	}
	if c.atMostOnce.responded {
		return
	}
	if fault != nil {
		g.fail(c, fault)
		return
	}
	g.respondInterrupted(ctx, c, request.MayHaveRun)
}

// stoppingFault ends the requests that are open when the host stops.
var stoppingFault = Fault{Kind: TimedOut, Code: "host_stops", Message: "the host stops before the request is complete", Remedy: "send the request again"}

// EndRequests ends the open requests, because the process is about to end: their callers get an answer, which says whether the
// request may have run. A stream that has begun is cut.
func (g *Gateway) EndRequests() {
	g.openCalls.cancelWhere(func(*call) *Fault { return &stoppingFault })
}

// respondInterrupted ends c after its context ended: the deadline passed, the configuration no longer allows the
// request, the host stops, or the caller closed the connection.
func (g *Gateway) respondInterrupted(ctx context.Context, c *call, ran request.Ran) {
	g.incCounter("interrupted_total", c)
	f, ok := context.Cause(ctx).(*Fault)
	if !ok {
		// The caller closed the connection, so no response can be sent.
		g.decisionLog.AddStep(c.req.ID, time.Now(), "cancelled", "the caller closed the connection")
		return
	}
	out := *f
	out.Ran = ran
	if f == &stoppingFault && ran == request.NotRun {
		out.Kind = NotReady // Another host can take the request at once.
	}
	g.decisionLog.AddStep(c.req.ID, time.Now(), "ended", out.Code)
	g.fail(c, &out)
}

// fail reports f to the caller. If the response has not started, it sends an error status. Otherwise it writes the
// error into the stream, if there is one, and aborts the connection, so that no client takes the response for a
// complete one.
func (g *Gateway) fail(c *call, f *Fault) {
	if f = g.finalizeFault(c, f); f == nil {
		return
	}
	if !c.response.started {
		f.write(c.w, c.req.ID)
		return
	}
	if c.req.Streaming {
		_, _ = c.w.Write([]byte("data: " + string(f.body(c.req.ID)) + "\n\n"))
		_ = http.NewResponseController(c.w).Flush()
	}
	panic(http.ErrAbortHandler)
}

// recordUsage records the usage of one attempt.
func (g *Gateway) recordUsage(c *call, res request.Result) {
	u := meter.Usage{PromptTokens: int64(res.PromptTokens), OutputTokens: int64(res.OutputTokens)}
	if res.Outcome == request.Completed {
		u.Requests = 1
	}
	if c.usageRecorder != nil {
		c.usageRecorder.Attempt(res.Server, u, exactUsage(c, res))
	}
	if u != (meter.Usage{}) {
		g.usageCounter.Count(c.req.Organisation, u)
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`output_tokens_total{class=%q}`, c.req.Class)).Add(res.OutputTokens)
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`delivered_tokens_total{class=%q}`, c.req.Class)).Add(res.Delivered)
}

// exactUsage reports whether the token counts in res are the final counts of the server. They are when the server
// completed the response, and when the request was rejected before it ran and so used nothing. They always are for
// plain HTTP services, which count no tokens.
func exactUsage(c *call, res request.Result) bool {
	switch res.Outcome {
	case request.Completed, request.Unreachable, request.Rejected:
		return true
	}
	return c.req.Model == ""
}
