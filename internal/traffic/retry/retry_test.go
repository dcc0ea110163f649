package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

var start = time.Date(2026, 12, 4, 15, 0, 0, 0, time.UTC)

func newRequest(id int) *request.Request {
	return &request.Request{
		ID: request.ID(fmt.Sprint(id)), Class: "chat", Route: "briefs", Pool: "models",
		Idempotent: true, Attempts: 3, Arrived: start, Deadline: start.Add(time.Hour),
	}
}

func TestDecideOnOneFailure(t *testing.T) {
	tests := map[string]struct {
		change func(*request.Request)
		res    request.Result
		retry  bool
		reason dispatch.RefusalReason
		ran    request.Ran
	}{
		"a refused connection is retried and proves that the request did not run": {
			res: request.Result{Outcome: request.Unreachable}, retry: true, ran: request.NotRun,
		},
		"a rejected request is retried and the rejection proves that it did not run": {
			res: request.Result{Outcome: request.Rejected}, retry: true, ran: request.NotRun,
		},
		"a request whose server was lost is retried and may have run": {
			res: request.Result{Outcome: request.Broken}, retry: true, ran: request.MayHaveRun,
		},
		"a request with a server error is retried and did run": {
			res: request.Result{Outcome: request.Failed}, retry: true, ran: request.DidRun,
		},
		"a non-idempotent request is not retried": {
			change: func(r *request.Request) { r.Idempotent = false },
			res:    request.Result{Outcome: request.Broken}, reason: dispatch.Exhausted, ran: request.MayHaveRun,
		},
		"a non-idempotent request is not resumed after preemption": {
			change: func(r *request.Request) { r.Idempotent = false },
			res:    request.Result{Outcome: request.Preempted}, reason: dispatch.Exhausted, ran: request.MayHaveRun,
		},
		"a stream that can be continued from the token where it broke is resumed": {
			res:   request.Result{Outcome: request.Broken, OutputTokens: 9, Delivered: 9, Resumable: true},
			retry: true, ran: request.DidRun,
		},
		"a stream of which the caller received output and that cannot be continued is not retried": {
			res:    request.Result{Outcome: request.Broken, OutputTokens: 9, Delivered: 9},
			reason: dispatch.Exhausted, ran: request.DidRun,
		},
		"a request is not retried past its deadline": {
			change: func(r *request.Request) { r.Deadline = start },
			res:    request.Result{Outcome: request.Unreachable}, reason: dispatch.PastDeadline, ran: request.NotRun,
		},
		"a completed request is not retried": {
			res: request.Result{Outcome: request.Completed, OutputTokens: 3, Delivered: 3}, ran: request.DidRun, reason: dispatch.Exhausted,
		},
		"a cancelled request is not retried and may have run": {
			res: request.Result{Outcome: request.Cancelled}, ran: request.MayHaveRun, reason: dispatch.Exhausted,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRequest(1)
			if tc.change != nil {
				tc.change(r)
			}
			tc.res.ID, tc.res.Server = r.ID, "a1"
			d := New(1).Decide(start, r, 1, tc.res)
			convey.Convey("the decision follows from the result of the attempt", t, func() {
				convey.So(d.Retry, convey.ShouldEqual, tc.retry)
				convey.So(d.Ran, convey.ShouldEqual, tc.ran)
				if !tc.retry {
					convey.So(d.Reason, convey.ShouldEqual, tc.reason)
					return
				}
				convey.So(d.Exclude, convey.ShouldResemble, []string{"a1"})
				convey.So(d.Delay, convey.ShouldBeLessThan, rejectedBaseDelay)
			})
		})
	}
}

func TestNotRunOnlyWhenEveryAttemptProvesIt(t *testing.T) {
	outcomes := []request.Outcome{request.Rejected, request.Unreachable, request.Broken, request.Failed, request.Preempted}
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 0))
		p, r, provenNotRun := New(seed), newRequest(1), true
		r.Attempts = 5
		for attempt := 1; attempt <= 5; attempt++ {
			o := outcomes[rng.IntN(len(outcomes))]
			provenNotRun = provenNotRun && (o == request.Rejected || o == request.Unreachable)
			d := p.Decide(start, r, attempt, request.Result{ID: r.ID, Server: fmt.Sprint(attempt), Outcome: o})
			if (d.Ran == request.NotRun) != provenNotRun {
				t.Fatalf("seed %d attempt %d: Ran is %v; all attempts prove that the request did not run: %v", seed, attempt, d.Ran, provenNotRun)
			}
		}
	}
}

func TestResumeAfterEarlierDelivery(t *testing.T) {
	p, r := New(1), newRequest(1)
	d := p.Decide(start, r, 1, request.Result{ID: r.ID, Server: "a1", Outcome: request.Broken, Delivered: 4, OutputTokens: 4, Resumable: true})
	if !d.Retry {
		t.Fatal("a resumable stream was not resumed")
	}
	d = p.Decide(start, r, 2, request.Result{ID: r.ID, Server: "a2", Outcome: request.Broken})
	if d.Retry || d.Ran != request.DidRun {
		t.Fatalf("a stream of which the caller had received output was restarted, or Ran is not DidRun: %+v", d)
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	s := object.NewSet()
	s.Classes["chat"] = &object.ClassSpec{Name: "chat", Tier: 1}
	s.Routes["briefs"] = &object.RouteSpec{Name: "briefs", Retry: object.RetrySpec{Budget: 0.2}}
	p := New(1)
	p.Configure(release.NewSnapshot(1, "", s))
	const first = 1000
	retries := 0
	for i := range first {
		r := newRequest(i)
		for attempt := 1; ; attempt++ {
			if !p.Decide(start, r, attempt, request.Result{ID: r.ID, Server: "a1", Outcome: request.Broken}).Retry {
				break
			}
			retries++
		}
		p.Forget(r.ID)
	}
	if retries > first*2/10+int(minRateBurst) || retries < first*2/10 {
		t.Errorf("%d retries of %d first attempts at a budget of 0.2", retries, first)
	}
	if len(p.records) != 0 {
		t.Errorf("%d records of forgotten requests remain", len(p.records))
	}
	r := newRequest(first)
	d := p.Decide(start.Add(2*time.Second), r, 1, request.Result{ID: r.ID, Server: "a1", Outcome: request.Broken})
	if !d.Retry {
		t.Error("no retry was granted at the minimum rate after two seconds")
	}
}

func TestPreemptionIsNotCharged(t *testing.T) {
	p, r := New(1), newRequest(1)
	b := p.budget(start, r.Class)
	b.balance = 0
	for attempt := 1; attempt <= 10; attempt++ {
		d := p.Decide(start, r, attempt, request.Result{ID: r.ID, Server: "a1", Outcome: request.Preempted, Delivered: 5, OutputTokens: 5, Resumable: true})
		if !d.Retry || d.Delay != 0 || len(d.Exclude) != 0 {
			t.Fatalf("attempt %d was not resumed at once without excluded servers: %+v", attempt, d)
		}
	}
	if b.balance > defaultBudgetRatio {
		t.Errorf("balance of the budget is %v, want at most what one first attempt earns", b.balance)
	}
}
