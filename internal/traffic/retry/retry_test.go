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
		again  bool
		reason dispatch.RefusalReason
		ran    request.Ran
	}{
		"a refused connection is tried again and proves that nothing ran": {
			res: request.Result{Outcome: request.Unreachable}, again: true, ran: request.NotRun,
		},
		"a rejection is tried again and proves that nothing ran": {
			res: request.Result{Outcome: request.Rejected}, again: true, ran: request.NotRun,
		},
		"a broken attempt may have run": {
			res: request.Result{Outcome: request.Broken}, again: true, ran: request.MayHaveRun,
		},
		"a server error did run": {
			res: request.Result{Outcome: request.Failed}, again: true, ran: request.DidRun,
		},
		"non-idempotent work is not repeated": {
			change: func(r *request.Request) { r.Idempotent = false },
			res:    request.Result{Outcome: request.Broken}, reason: dispatch.Exhausted, ran: request.MayHaveRun,
		},
		"non-idempotent work is not resumed after preemption": {
			change: func(r *request.Request) { r.Idempotent = false },
			res:    request.Result{Outcome: request.Preempted}, reason: dispatch.Exhausted, ran: request.MayHaveRun,
		},
		"a stream that can be continued exactly is resumed": {
			res:   request.Result{Outcome: request.Broken, OutputTokens: 9, Delivered: 9, Resumable: true},
			again: true, ran: request.DidRun,
		},
		"a stream that the caller saw and that cannot be continued ends": {
			res:    request.Result{Outcome: request.Broken, OutputTokens: 9, Delivered: 9},
			reason: dispatch.Exhausted, ran: request.DidRun,
		},
		"a retry past the deadline is not made": {
			change: func(r *request.Request) { r.Deadline = start },
			res:    request.Result{Outcome: request.Unreachable}, reason: dispatch.PastDeadline, ran: request.NotRun,
		},
		"a completed request is over": {
			res: request.Result{Outcome: request.Completed, OutputTokens: 3, Delivered: 3}, ran: request.DidRun, reason: dispatch.Exhausted,
		},
		"a cancelled request is over and may have run": {
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
			convey.Convey("the decision fits the proof", t, func() {
				convey.So(d.Retry, convey.ShouldEqual, tc.again)
				convey.So(d.Ran, convey.ShouldEqual, tc.ran)
				if !tc.again {
					convey.So(d.Reason, convey.ShouldEqual, tc.reason)
					return
				}
				convey.So(d.Exclude, convey.ShouldResemble, []string{"a1"})
				convey.So(d.Delay, convey.ShouldBeLessThan, rejectedDelay)
			})
		})
	}
}

func TestNotRunOnlyWhenEveryAttemptProvesIt(t *testing.T) {
	outcomes := []request.Outcome{request.Rejected, request.Unreachable, request.Broken, request.Failed, request.Preempted}
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 0))
		p, r, proof := New(seed), newRequest(1), true
		r.Attempts = 5
		for attempt := 1; attempt <= 5; attempt++ {
			o := outcomes[rng.IntN(len(outcomes))]
			proof = proof && (o == request.Rejected || o == request.Unreachable)
			d := p.Decide(start, r, attempt, request.Result{ID: r.ID, Server: fmt.Sprint(attempt), Outcome: o})
			if (d.Ran == request.NotRun) != proof {
				t.Fatalf("seed %d attempt %d: ran %v though proof is %v", seed, attempt, d.Ran, proof)
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
		t.Fatalf("a stream that the caller saw was started afresh: %+v", d)
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
	if retries > first*2/10+int(floorRetries) || retries < first*2/10 {
		t.Errorf("%d retries of %d first tries at a budget of 0.2", retries, first)
	}
	if len(p.records) != 0 {
		t.Errorf("%d forgotten requests are kept", len(p.records))
	}
	r := newRequest(first)
	d := p.Decide(start.Add(2*time.Second), r, 1, request.Result{ID: r.ID, Server: "a1", Outcome: request.Broken})
	if !d.Retry {
		t.Error("the floor granted nothing after two seconds")
	}
}

func TestPreemptionIsNotCharged(t *testing.T) {
	p, r := New(1), newRequest(1)
	b := p.budget(start, r.Class)
	b.left = 0
	for attempt := 1; attempt <= 10; attempt++ {
		d := p.Decide(start, r, attempt, request.Result{ID: r.ID, Server: "a1", Outcome: request.Preempted, Delivered: 5, OutputTokens: 5, Resumable: true})
		if !d.Retry || d.Delay != 0 || len(d.Exclude) != 0 {
			t.Fatalf("attempt %d: %+v", attempt, d)
		}
	}
	if b.left > defaultRatio {
		t.Errorf("budget %v", b.left)
	}
}
