package scheduler

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// loadedPolicy is a policy with a full pool and requests waiting, and records which requests run.
type loadedPolicy struct {
	p       *Policy
	now     time.Time
	n       int
	orgs    int
	running []request.ID
	servers map[request.ID]string
}

func newLoadedPolicy(servers, orgs int) *loadedPolicy {
	set := object.NewSet()
	set.Pools["models"] = &object.PoolSpec{Name: "models", Protocol: object.Engine, Concurrency: simEngineSlots}
	set.Classes["chat"] = &object.ClassSpec{Name: "chat", Tier: 1, FirstToken: seconds(0.8), Floor: 0.1}
	set.Classes["brief"] = &object.ClassSpec{Name: "brief", Tier: 2, FirstToken: seconds(5), Floor: 0.1, Preemptible: true}
	set.Routes["model"] = &object.RouteSpec{Name: "model", Model: "model", Pool: "models", Classes: []string{"chat", "brief"}, Idempotent: true}
	for i := range orgs {
		n := fmt.Sprintf("org-%d", i)
		set.Organisations[n] = &object.OrganisationSpec{Name: n}
		set.Keys[n] = &object.KeySpec{Name: n, Organisation: n}
	}
	for i := range servers {
		n := fmt.Sprintf("engine-%04d", i)
		set.BackendServers[n] = &object.BackendServerSpec{Name: n, Pool: "models", Zone: fmt.Sprintf("zone-%d", i%4), Address: netip.MustParseAddrPort("127.0.0.1:9000")}
	}
	l := &loadedPolicy{p: New(1, WithZone("zone-0")), now: simStart, orgs: orgs, servers: map[request.ID]string{}}
	l.p.Configure(l.now, release.NewSnapshot(1, "bench", set))
	for len(l.running) < servers*simEngineSlots*9/10 && l.n < 2*servers*simEngineSlots {
		l.arrive()
	}
	for range 50 + orgs/10 {
		l.arrive()
	}
	return l
}

func (l *loadedPolicy) recordStarts(effects []dispatch.Effect) {
	for _, e := range effects {
		if e.Kind == dispatch.Start {
			l.running = append(l.running, e.ID)
			l.servers[e.ID] = e.Server
		}
	}
}

// arrive submits one request; every fourth one is of tier 1.
func (l *loadedPolicy) arrive() {
	l.n++
	r := &request.Request{
		ID: request.ID(fmt.Sprintf("r%d", l.n)), Organisation: fmt.Sprintf("org-%d", l.n*7919%l.orgs), Class: "brief", Tier: 2, Route: "model",
		Pool: "models", Model: "model", Idempotent: true, Streaming: true, Attempts: 3, PromptTokens: 500,
		Arrived: l.now, Deadline: l.now.Add(5 * time.Minute), Fingerprint: uint64(l.n), Zone: "zone-0",
	}
	r.KeyName = r.Organisation
	if l.n%4 == 0 {
		r.Class, r.Tier = "chat", 1
	}
	l.recordStarts(l.p.Arrive(l.now, r))
}

// cycle submits one request and completes another one that runs.
func (l *loadedPolicy) cycle() {
	l.now = l.now.Add(time.Millisecond)
	l.arrive()
	if len(l.running) == 0 {
		return
	}
	i := l.n * 104729 % len(l.running)
	id := l.running[i]
	l.running[i] = l.running[len(l.running)-1]
	l.running = l.running[:len(l.running)-1]
	l.p.Progress(l.now, id, 100)
	l.recordStarts(l.p.Finish(l.now, request.Result{
		ID: id, Server: l.servers[id], Outcome: request.Completed, OutputTokens: 100, Delivered: 100, Resumable: true, PromptTokens: 500, Elapsed: 3 * time.Second,
	}))
	delete(l.servers, id)
}

// benchSizes are the sizes of one large customer today, of a region, and of the whole fleet expected in two years.
var benchSizes = []struct{ servers, orgs int }{{11, 14}, {110, 140}, {1100, 1400}}

// BenchmarkDecision measures all decisions on one request. The target is 20 µs at the largest size.
func BenchmarkDecision(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d/organisations=%d", s.servers, s.orgs), func(b *testing.B) {
			l := newLoadedPolicy(s.servers, s.orgs)
			b.ResetTimer()
			for b.Loop() {
				l.cycle()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "µs/request")
		})
	}
}

// BenchmarkTick measures one tick after 50 ms.
func BenchmarkTick(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d/organisations=%d", s.servers, s.orgs), func(b *testing.B) {
			l := newLoadedPolicy(s.servers, s.orgs)
			b.ResetTimer()
			for b.Loop() {
				l.now = l.now.Add(50 * time.Millisecond)
				l.p.Tick(l.now)
			}
		})
	}
}
