package scheduler

import (
	"testing"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// newSmallPolicy returns a policy with one server of two slots, a class of tier 1 and a preemptible class of tier 2.
func newSmallPolicy(t *testing.T, change func(*object.Set)) (*Policy, *release.Snapshot) {
	t.Helper()
	set := object.NewSet()
	set.Pools["models"] = &object.PoolSpec{Name: "models", Protocol: object.Engine, Concurrency: 2}
	set.Classes["chat"] = &object.ClassSpec{Name: "chat", Tier: 1, FirstToken: seconds(1)}
	set.Classes["brief"] = &object.ClassSpec{Name: "brief", Tier: 2, FirstToken: seconds(5), Preemptible: true}
	set.Routes["model"] = &object.RouteSpec{Name: "model", Model: "model", Pool: "models", Classes: []string{"chat", "brief"}, Idempotent: true}
	set.Organisations["org"] = &object.OrganisationSpec{Name: "org"}
	set.Keys["key"] = &object.KeySpec{Name: "key", Organisation: "org"}
	set.BackendServers["engine"] = &object.BackendServerSpec{Name: "engine", Pool: "models", Zone: "a"}
	if change != nil {
		change(set)
	}
	p, s := New(1, WithZone("a")), release.NewSnapshot(1, "test", set)
	p.Configure(simStart, s)
	return p, s
}

func newRequest(id, class string, tier int) *request.Request {
	return &request.Request{
		ID: request.ID(id), Organisation: "org", KeyName: "key", Class: class, Tier: tier, Route: "model", Pool: "models", Model: "model",
		Idempotent: true, Streaming: true, Attempts: 3, PromptTokens: 100, Arrived: simStart, Deadline: simStart.Add(time.Minute),
	}
}

// findEffect returns the first effect of the kind and ID, and fails the test if there is none.
func findEffect(t *testing.T, effects []dispatch.Effect, kind dispatch.EffectKind, id request.ID) dispatch.Effect {
	t.Helper()
	for _, e := range effects {
		if e.Kind == kind && e.ID == id {
			return e
		}
	}
	t.Fatalf("no %s of %s in %+v", kind, id, effects)
	return dispatch.Effect{}
}

// fillPool submits requests until one has to wait, and returns that one.
func fillPool(t *testing.T, p *Policy, class string, tier int) *request.Request {
	t.Helper()
	for _, id := range []string{"f1", "f2", "f3", "f4"} {
		r := newRequest(id, class, tier)
		if len(p.Arrive(simStart, r)) == 0 {
			return r
		}
	}
	t.Fatal("four requests arrived at a pool of two slots and none had to wait")
	return nil
}

func TestWithdrawnKeyEndsQueuedWork(t *testing.T) {
	p, s := newSmallPolicy(t, nil)
	r := fillPool(t, p, "chat", 1)
	delete(s.Set.Keys, "key")
	e := findEffect(t, p.Configure(simStart, release.NewSnapshot(2, "next", s.Set)), dispatch.Refuse, r.ID)
	if e.Reason != dispatch.KeyWithdrawn || e.Ran != request.NotRun {
		t.Errorf("%+v", e)
	}
}

func TestPoolWithoutServers(t *testing.T) {
	p, _ := newSmallPolicy(t, func(s *object.Set) { delete(s.BackendServers, "engine") })
	r := newRequest("r", "chat", 1)
	if e := findEffect(t, p.Arrive(simStart, r), dispatch.Refuse, r.ID); e.Reason != dispatch.NoServer || e.Ran != request.NotRun {
		t.Errorf("%+v", e)
	}
}

func TestQueuedWorkPastItsDeadline(t *testing.T) {
	p, _ := newSmallPolicy(t, nil)
	r := fillPool(t, p, "chat", 1)
	if e := findEffect(t, p.Tick(r.Deadline), dispatch.Refuse, r.ID); e.Reason != dispatch.PastDeadline || e.Ran != request.NotRun {
		t.Errorf("%+v", e)
	}
}

func TestRefusalTellsWhetherItMayHaveRun(t *testing.T) {
	tests := map[string]struct {
		outcome request.Outcome
		want    request.Ran
	}{
		"a server that could not be reached did not run it": {request.Unreachable, request.NotRun},
		"a server that rejected it did not run it":          {request.Rejected, request.NotRun},
		"a server that was lost may have run it":            {request.Broken, request.MayHaveRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, _ := newSmallPolicy(t, nil)
			r := newRequest("r", "chat", 1)
			r.Idempotent = false
			findEffect(t, p.Arrive(simStart, r), dispatch.Start, r.ID)
			now := simStart.Add(time.Second)
			effects := p.Finish(now, request.Result{ID: r.ID, Server: "engine", Outcome: test.outcome})
			for range 100 {
				now = now.Add(50 * time.Millisecond)
				effects = append(effects, p.Tick(now)...)
			}
			if e := findEffect(t, effects, dispatch.Refuse, r.ID); e.Ran != test.want {
				t.Errorf("refusal says %s", e.Ran)
			}
		})
	}
}

func TestPreemptedWorkIsResumed(t *testing.T) {
	p, _ := newSmallPolicy(t, nil)
	p.pools["models"].preemptionBudget = 1000
	brief := newRequest("brief", "brief", 2)
	findEffect(t, p.Arrive(simStart, brief), dispatch.Start, brief.ID)
	p.Progress(simStart.Add(time.Second), brief.ID, 10)
	var effects []dispatch.Effect
	for _, id := range []string{"c1", "c2", "c3"} {
		effects = append(effects, p.Arrive(simStart.Add(time.Second), newRequest(id, "chat", 1))...)
	}
	findEffect(t, effects, dispatch.Preempt, brief.ID)
	now := simStart.Add(2 * time.Second)
	effects = p.Finish(now, request.Result{ID: brief.ID, Server: "engine", Outcome: request.Preempted, OutputTokens: 10, Delivered: 10, Resumable: true})
	for _, id := range []request.ID{"c1", "c2", "c3"} {
		now = now.Add(time.Second)
		effects = append(effects, p.Finish(now, request.Result{ID: id, Server: "engine", Outcome: request.Completed, OutputTokens: 10, Delivered: 10, Elapsed: time.Second})...)
		effects = append(effects, p.Tick(now.Add(100*time.Millisecond))...)
	}
	if e := findEffect(t, effects, dispatch.Start, brief.ID); e.Attempt != 2 {
		t.Errorf("%+v", e)
	}
}

func TestOverLimitRefusalTellsWhenToRetry(t *testing.T) {
	p, _ := newSmallPolicy(t, func(s *object.Set) {
		s.Limits["slow"] = &object.LimitSpec{Name: "slow", RequestsPerSecond: 0.5}
		s.Organisations["org"].Limit = "slow"
	})
	findEffect(t, p.Arrive(simStart, newRequest("r1", "chat", 1)), dispatch.Start, "r1")
	e := findEffect(t, p.Arrive(simStart, newRequest("r2", "chat", 1)), dispatch.Refuse, "r2")
	if e.Reason != dispatch.OverLimit || e.Ran != request.NotRun || e.RetryAfter < 2*time.Second || e.RetryAfter > 3*time.Second {
		t.Errorf("%+v", e)
	}
}

func TestRequestOverItsLimitWaitsForAShortTime(t *testing.T) {
	p, _ := newSmallPolicy(t, func(s *object.Set) {
		s.Limits["slow"] = &object.LimitSpec{Name: "slow", RequestsPerSecond: 2}
		s.Organisations["org"].Limit = "slow"
	})
	for _, id := range []request.ID{"r1", "r2"} {
		findEffect(t, p.Arrive(simStart, newRequest(string(id), "chat", 1)), dispatch.Start, id)
	}
	if out := p.Arrive(simStart, newRequest("r3", "chat", 1)); len(out) != 0 {
		t.Fatalf("%+v", out)
	}
	p.Finish(simStart, request.Result{ID: "r1", Server: "engine", Outcome: request.Completed, Elapsed: time.Second})
	findEffect(t, p.Tick(simStart.Add(600*time.Millisecond)), dispatch.Start, "r3")
}

func TestCancelledWorkLeavesNothing(t *testing.T) {
	p, _ := newSmallPolicy(t, nil)
	r := fillPool(t, p, "chat", 1)
	p.Cancel(simStart, r.ID)
	for id := range p.entries {
		p.Finish(simStart, request.Result{ID: id, Server: "engine", Outcome: request.Cancelled})
	}
	if len(p.entries) != 0 || p.waiting != 0 || len(p.chooser.Outstanding()) != 0 {
		t.Errorf("%d entries, %d waiting, %v outstanding", len(p.entries), p.waiting, p.chooser.Outstanding())
	}
	if s := p.State(simStart).Pools["models"].Classes["chat"]; s.Waiting != 0 || s.Running != 0 {
		t.Errorf("%+v", s)
	}
}
