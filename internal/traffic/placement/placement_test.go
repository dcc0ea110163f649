package placement_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/placement"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/route"
)

var start = time.Unix(1_800_000_000, 0)

// fixture drives a policy with a simulated clock.
type fixture struct {
	*placement.Policy
	now    time.Time
	lastID int
}

func newFixture(servers ...backend.Server) *fixture {
	d := &fixture{now: start, Policy: placement.New(1, placement.WithZone("a"),
		placement.WithRetryLimits(placement.RetryLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}))}
	d.Configure(start, route.New(1, nil, []*route.Service{
		{Name: "app"}, {Name: "pool", Engine: &route.Engine{Slots: 8, CacheTokens: 200000}},
	}, route.Limits{}, false, nil))
	d.SetServers(start, servers)
	return d
}

func server(service, id, zone string, slots int) backend.Server {
	return backend.Server{ID: id, Service: service, Zone: zone, Slots: slots, Addr: netip.MustParseAddrPort("10.0.0.1:80")}
}

// arrive submits a request and returns its effects.
func (f *fixture) arrive(modify func(*request.Request)) (request.ID, []dispatch.Effect) {
	f.lastID++
	r := &request.Request{
		ID: request.ID(fmt.Sprint(f.lastID)), Pool: "app", Attempts: 1, Arrived: f.now, Deadline: f.now.Add(5 * time.Second),
		Goal: 200 * time.Millisecond,
	}
	if modify != nil {
		modify(r)
	}
	return r.ID, f.Arrive(f.now, r)
}

func idempotent(r *request.Request) { r.Idempotent, r.Attempts = true, 3 }

func (f *fixture) finish(id request.ID, o request.Outcome) []dispatch.Effect {
	return f.Finish(f.now, request.Result{ID: id, Outcome: o})
}

func (f *fixture) advance(by time.Duration) []dispatch.Effect {
	f.now = f.now.Add(by)
	return f.Tick(f.now)
}

func promptRequest(r *request.Request) {
	r.Pool, r.Streaming, r.PromptTokens, r.Goal = "pool", true, 9000, 400*time.Millisecond
	r.Parts = []request.Part{{ID: 1, Tokens: 2500}, {ID: 2, Tokens: 3800}, {ID: uint64(r.Arrived.UnixNano()), Tokens: 2700}}
}

func TestPlainService(t *testing.T) {
	convey.Convey("Requests to a plain service with two servers of two slots, each in another availability zone", t, func() {
		f := newFixture(server("app", "near", "a", 2), server("app", "far", "b", 2))
		convey.Convey("go to the own availability zone first", func() {
			_, e := f.arrive(nil)
			convey.So(e[0].Server, convey.ShouldEqual, "near")
		})
		convey.Convey("wait when all slots and as many positions in the queue are taken, and start when a slot is free", func() {
			var ids []request.ID
			var waiting request.ID
			for waiting == "" {
				id, e := f.arrive(nil)
				if len(e) == 0 {
					waiting = id
				} else {
					ids = append(ids, id)
				}
			}
			convey.So(len(ids), convey.ShouldBeBetweenOrEqual, 8, 9)
			e := f.finish(ids[0], request.Completed)
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
			convey.So(e[0].ID, convey.ShouldEqual, waiting)
		})
		convey.Convey("are refused at once when a slot would become free too late", func() {
			var last dispatch.Effect
			for range 60 {
				_, e := f.arrive(func(r *request.Request) { r.Deadline = f.now.Add(250 * time.Millisecond) })
				if len(e) > 0 {
					last = e[0]
				}
			}
			convey.So(last.Kind, convey.ShouldEqual, dispatch.Refuse)
			convey.So(last.Ran, convey.ShouldEqual, request.NotRun)
			convey.So(last.RetryAfter, convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("that wait are dropped when their callers disconnect", func() {
			var waiting request.ID
			var first request.ID
			for waiting == "" {
				id, e := f.arrive(nil)
				if first == "" {
					first = id
				}
				if len(e) == 0 {
					waiting = id
				}
			}
			convey.So(f.Cancel(f.now, waiting), convey.ShouldBeEmpty)
			convey.So(f.finish(first, request.Completed), convey.ShouldBeEmpty)
		})
	})
	convey.Convey("A service without a server refuses requests and reports them as not run", t, func() {
		_, e := newFixture().arrive(nil)
		convey.So(e[0].Reason, convey.ShouldEqual, dispatch.NoServer)
		convey.So(e[0].Ran, convey.ShouldEqual, request.NotRun)
	})
	convey.Convey("A draining server gets no requests", t, func() {
		leaving := server("app", "near", "a", 2)
		leaving.Leaving = true
		f := newFixture(leaving, server("app", "far", "b", 2))
		for range 4 {
			_, e := f.arrive(nil)
			convey.So(e[0].Server, convey.ShouldEqual, "far")
		}
	})
}

func TestRetries(t *testing.T) {
	newPair := func() *fixture { return newFixture(server("app", "x", "a", 8), server("app", "y", "a", 8)) }
	tests := map[string]struct {
		modify  func(*request.Request)
		outcome request.Outcome
		retried bool
		ran     request.Ran
	}{
		"a rejected request goes to another server":                 {nil, request.Rejected, true, 0},
		"a request that could not reach its server goes to another": {nil, request.Unreachable, true, 0},
		"a broken request that is not idempotent is refused":        {nil, request.Broken, false, request.MayHaveRun},
		"a failed request that is not idempotent is refused":        {nil, request.Failed, false, request.MayHaveRun},
		"a broken idempotent request goes to another server":        {idempotent, request.Broken, true, 0},
		"a failed idempotent request goes to another server":        {idempotent, request.Failed, true, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newPair()
			id, first := d.arrive(test.modify)
			e := d.finish(id, test.outcome)
			if len(e) != 1 || (e[0].Kind == dispatch.Start) != test.retried {
				t.Fatalf("unexpected effects %+v", e)
			}
			if test.retried && e[0].Server == first[0].Server {
				t.Fatalf("request is retried on %s, which failed it", e[0].Server)
			}
			if !test.retried && e[0].Ran != test.ran {
				t.Fatalf("request is reported as %s, want %s", e[0].Ran, test.ran)
			}
		})
	}
	convey.Convey("A broken stream is resumed only if it can be continued exactly", t, func() {
		for _, resumable := range []bool{true, false} {
			d := newPair()
			id, _ := d.arrive(idempotent)
			e := d.Finish(d.now, request.Result{ID: id, Outcome: request.Broken, Delivered: 7, Resumable: resumable})
			convey.So(e[0].Kind == dispatch.Start, convey.ShouldEqual, resumable)
		}
	})
	convey.Convey("A stream that broke late is resumed, because its caller has waited only since the break", t, func() {
		f := newFixture(server("pool", "x", "a", 8), server("pool", "y", "a", 8))
		id, _ := f.arrive(func(r *request.Request) {
			promptRequest(r)
			idempotent(r)
			r.Deadline = f.now.Add(15 * time.Second)
		})
		f.now = f.now.Add(6 * time.Second)
		e := f.Finish(f.now, request.Result{ID: id, Outcome: request.Broken, Delivered: 40, Resumable: true})
		convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
	})
}

// TestRetryStorm guards against retries that multiply the load while every server fails every request.
func TestRetryStorm(t *testing.T) {
	convey.Convey("When all servers fail, retries stay within this host's share of the budget", t, func() {
		f := newFixture(server("app", "x", "a", 8), server("app", "y", "a", 8))
		f.UpdatePeer(f.now, placement.HostState{Host: "other"}, 5)
		retries := 0
		for range 400 {
			id, e := f.arrive(idempotent)
			for len(e) > 0 && e[0].Kind == dispatch.Start {
				if e[0].Attempt > 1 {
					retries++
				}
				e = f.finish(id, request.Failed)
			}
			f.advance(10 * time.Millisecond)
		}
		convey.So(retries, convey.ShouldBeGreaterThan, 0)
		convey.So(retries, convey.ShouldBeLessThanOrEqualTo, int(0.2*400+50.0/5))
	})
}

func TestFailingServers(t *testing.T) {
	badShare := func(f *fixture, n int) float64 {
		bad := 0
		for range n {
			id, e := f.arrive(nil)
			if e[0].Server == "bad" {
				bad++
			}
			f.advance(20 * time.Millisecond)
			f.finish(id, request.Completed)
		}
		return float64(bad) / float64(n)
	}
	outcomes := map[string]request.Outcome{
		"cannot be reached":   request.Unreachable,
		"breaks connections":  request.Broken,
		"answers with errors": request.Failed,
	}
	for name, outcome := range outcomes {
		t.Run("a server that "+name, func(t *testing.T) {
			f := newFixture(server("app", "bad", "a", 8), server("app", "good", "a", 8))
			for range 40 {
				id, e := f.arrive(nil)
				for len(e) > 0 && e[0].Kind == dispatch.Start {
					o := request.Completed
					if e[0].Server == "bad" {
						o = outcome
					}
					f.advance(5 * time.Millisecond)
					e = f.finish(id, o)
				}
			}
			if got := badShare(f, 10); got > 0.2 {
				t.Fatalf("server gets %.2f of the requests right after its failures, want 0.2 at most", got)
			}
			f.advance(30 * time.Second)
			if got := badShare(f, 40); got < 0.2 {
				t.Fatalf("server gets %.2f of the requests half a minute later, want 0.2 at least", got)
			}
		})
	}
	convey.Convey("A server that hangs gets few requests while earlier ones are in flight", t, func() {
		f := newFixture(server("app", "bad", "a", 8), server("app", "good", "a", 8))
		for range 20 {
			id, e := f.arrive(nil)
			f.advance(5 * time.Millisecond)
			if e[0].Server == "good" {
				f.finish(id, request.Completed)
			}
		}
		f.advance(time.Second)
		convey.So(badShare(f, 20), convey.ShouldBeLessThan, 0.1)
	})
	convey.Convey("When all servers fail, they are still used", t, func() {
		f := newFixture(server("app", "bad", "a", 8))
		id, _ := f.arrive(nil)
		f.finish(id, request.Unreachable)
		_, e := f.arrive(nil)
		convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
	})
}

func TestSharedParts(t *testing.T) {
	convey.Convey("Prompts with shared parts", t, func() {
		f := newFixture(server("pool", "x", "a", 8), server("pool", "y", "a", 8), server("pool", "z", "b", 8))
		id, e := f.arrive(promptRequest)
		first := e[0].Server
		convey.So(e[0].FetchFrom, convey.ShouldBeEmpty)
		f.Progress(f.now, id, 1)
		f.finish(id, request.Completed)
		convey.Convey("go to the server that has cached the parts", func() {
			f.advance(time.Second)
			_, e := f.arrive(promptRequest)
			convey.So(e[0].Server, convey.ShouldEqual, first)
			convey.So(e[0].FetchFrom, convey.ShouldBeEmpty)
		})
		convey.Convey("fetch them from that server when it has much to prefill", func() {
			f.UpdatePeer(f.now, placement.HostState{Host: "h", Work: map[string]placement.Work{first: {PendingPrefill: [placement.UrgencyLevels]int{0, 0, 60000}}}}, 2)
			_, e := f.arrive(func(r *request.Request) {
				promptRequest(r)
				r.Tier = 1
			})
			convey.So(e[0].Server, convey.ShouldNotEqual, first)
			convey.So(e[0].FetchFrom, convey.ShouldEqual, first)
		})
		convey.Convey("are reported to other hosts, which then use that server", func() {
			state := f.State(f.now)
			convey.So(state.PartLocations, convey.ShouldNotBeEmpty)
			o := newFixture(server("pool", "x", "a", 8), server("pool", "y", "a", 8), server("pool", "z", "b", 8))
			state.Host = "d"
			o.UpdatePeer(o.now, state, 2)
			_, e := o.arrive(promptRequest)
			convey.So(e[0].Server == first || e[0].FetchFrom == first, convey.ShouldBeTrue)
		})
	})
}

func TestTiers(t *testing.T) {
	convey.Convey("Engines with much less urgent work to prefill", t, func() {
		f := newFixture(server("pool", "x", "a", 8), server("pool", "y", "a", 8))
		peerWork := map[string]placement.Work{}
		for _, id := range []string{"x", "y"} {
			w := placement.Work{}
			w.PendingPrefill[2], w.InFlight[2] = 400000, 20
			peerWork[id] = w
		}
		f.UpdatePeer(f.now, placement.HostState{Host: "h", Work: peerWork}, 2)
		convey.Convey("take an urgent request as if that work were not there", func() {
			_, e := f.arrive(promptRequest)
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
			convey.So(e[0].Urgency, convey.ShouldEqual, 0)
		})
		convey.Convey("refuse a request of the same urgency and report it as not run", func() {
			_, e := f.arrive(func(r *request.Request) {
				promptRequest(r)
				r.Tier = 1
			})
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Refuse)
			convey.So(e[0].Ran, convey.ShouldEqual, request.NotRun)
		})
	})
	convey.Convey("A request that cannot meet its goal comes after those of its tier that can, but before the next tier", t, func() {
		f := newFixture(server("pool", "x", "a", 64))
		w := placement.Work{}
		w.PendingPrefill[2] = 25000
		f.UpdatePeer(f.now, placement.HostState{Host: "h", Work: map[string]placement.Work{"x": w}}, 2)
		_, e := f.arrive(func(r *request.Request) {
			promptRequest(r)
			r.Tier = 1
		})
		convey.So(e[0].Urgency, convey.ShouldEqual, 3)
	})
	convey.Convey("An old state of another host is not used", t, func() {
		f := newFixture(server("pool", "x", "a", 8))
		w := placement.Work{}
		w.PendingPrefill[0] = 900000
		f.UpdatePeer(f.now, placement.HostState{Host: "h", Work: map[string]placement.Work{"x": w}}, 2)
		f.advance(5 * time.Second)
		_, e := f.arrive(promptRequest)
		convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
	})
}

func TestRestartedServer(t *testing.T) {
	convey.Convey("A server that restarts under its ID has an empty cache", t, func() {
		f := newFixture(server("pool", "x", "a", 8))
		id, _ := f.arrive(promptRequest)
		f.Progress(f.now, id, 1)
		f.finish(id, request.Completed)
		restarted := server("pool", "x", "a", 8)
		restarted.StartedAt = start
		f.SetServers(f.now, []backend.Server{restarted, server("pool", "y", "a", 8)})
		_, e := f.arrive(promptRequest)
		convey.So(e[0].FetchFrom, convey.ShouldBeEmpty)
	})
	convey.Convey("A request that ends on a server that is no longer listed is retried", t, func() {
		f := newFixture(server("app", "x", "a", 8))
		id, _ := f.arrive(idempotent)
		f.SetServers(f.now, []backend.Server{server("app", "y", "a", 8)})
		e := f.finish(id, request.Broken)
		convey.So(e[0].Server, convey.ShouldEqual, "y")
	})
}

func BenchmarkArrive(b *testing.B) {
	for _, n := range []int{18, 90, 1100} {
		b.Run(fmt.Sprintf("%d servers", n), func(b *testing.B) {
			var list []backend.Server
			for i := range n {
				list = append(list, server("pool", fmt.Sprintf("i-%d", i), fmt.Sprintf("z-%d", i%3), 64))
			}
			f := newFixture(list...)
			b.ReportAllocs()
			for b.Loop() {
				id, _ := f.arrive(promptRequest)
				f.finish(id, request.Completed)
				f.now = f.now.Add(time.Millisecond)
			}
		})
	}
}

func TestReportedLoad(t *testing.T) {
	convey.Convey("A server that has just reported that it is full gets no request while another has a free slot", t, func() {
		f := newFixture(server("app", "near", "a", 2), server("app", "far", "b", 2))
		f.Report(f.now, dispatch.Load{Server: "near", Running: 2, Waiting: 3})
		_, e := f.arrive(nil)
		convey.So(e[0].Server, convey.ShouldEqual, "far")
		convey.Convey("and gets requests again soon", func() {
			f.advance(time.Second)
			_, e := f.arrive(nil)
			convey.So(e[0].Server, convey.ShouldEqual, "near")
		})
	})
}

// TestCrashingRequest guards against a request that crashes each server that runs it and is sent again, to any host.
// It must be refused, and requests that only ran on crashed servers must not.
func TestCrashingRequest(t *testing.T) {
	poison := func(r *request.Request) { r.Fingerprint = 7 }
	newServers := func(n int) []backend.Server {
		var out []backend.Server
		for i := range n {
			out = append(out, server("app", fmt.Sprintf("i-%d", i), "a", 8))
		}
		return out
	}
	// crash runs the request once on a host and reports whether the host sent it to a server.
	crash := func(f *fixture) bool {
		id, e := f.arrive(poison)
		if len(e) != 1 || e[0].Kind != dispatch.Start {
			return false
		}
		f.advance(50 * time.Millisecond)
		f.finish(id, request.Broken)
		f.advance(400 * time.Millisecond)
		return true
	}
	convey.Convey("A request that crashes each server that runs it", t, func() {
		f := newFixture(newServers(9)...)
		for range 3 {
			convey.So(crash(f), convey.ShouldBeTrue)
		}
		convey.Convey("is refused and reported as not run", func() {
			_, e := f.arrive(poison)
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Refuse)
			convey.So(e[0].Reason, convey.ShouldEqual, dispatch.CrashSuspect)
			convey.So(e[0].Ran, convey.ShouldEqual, request.NotRun)
			convey.So(e[0].RetryAfter, convey.ShouldBeGreaterThan, time.Second)
		})
		convey.Convey("does not block other requests", func() {
			_, e := f.arrive(func(r *request.Request) { r.Fingerprint = 8 })
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
		})
		convey.Convey("may run again after its crashes are forgotten", func() {
			f.advance(3 * time.Minute)
			convey.So(crash(f), convey.ShouldBeTrue)
		})
	})
	convey.Convey("Hosts that each saw one crash of a request report it to each other and refuse the request", t, func() {
		fixtures := []*fixture{newFixture(newServers(9)...), newFixture(newServers(9)...), newFixture(newServers(9)...)}
		for i, f := range fixtures {
			// Each host has other servers, because those that crashed are gone.
			f.SetServers(f.now, newServers(9)[3*i:3*i+3])
			for f.now.Sub(start) < time.Duration(i)*time.Second {
				f.advance(50 * time.Millisecond)
			}
			convey.So(crash(f), convey.ShouldBeTrue)
		}
		last := fixtures[2]
		for i, f := range fixtures[:2] {
			state := f.State(f.now)
			state.Host = fmt.Sprint("host-", i)
			last.UpdatePeer(last.now, state, 3)
		}
		convey.So(crash(last), convey.ShouldBeFalse)
	})
	scenarios := map[string]func(f *fixture){
		"servers that lose answers without a crash": func(f *fixture) {
			for range 6 {
				id, _ := f.arrive(poison)
				f.advance(50 * time.Millisecond)
				f.finish(id, request.Broken)
				// The server answers another request.
				other, _ := f.arrive(func(r *request.Request) { r.Fingerprint = 8 })
				for range 9 {
					f.finish(other, request.Completed)
					other, _ = f.arrive(func(r *request.Request) { r.Fingerprint = 8 })
				}
			}
		},
		"servers that crash at the same time": func(f *fixture) {
			var ids []request.ID
			for range 6 {
				id, _ := f.arrive(poison)
				ids = append(ids, id)
			}
			f.advance(time.Second)
			for _, id := range ids {
				f.finish(id, request.Broken)
			}
			f.advance(400 * time.Millisecond)
		},
		"a request that completes between crashes": func(f *fixture) {
			for range 5 {
				crash(f)
				crash(f)
				id, _ := f.arrive(poison)
				f.advance(50 * time.Millisecond)
				f.finish(id, request.Completed)
			}
		},
	}
	for name, scenario := range scenarios {
		t.Run("not blocked: "+name, func(t *testing.T) {
			f := newFixture(newServers(12)...)
			scenario(f)
			if _, e := f.arrive(poison); e[0].Kind != dispatch.Start {
				t.Fatalf("request is refused: %s", e[0].Why)
			}
		})
	}
}

// TestAddressesTakenByOtherServers guards against requests lost to stale entries. For some seconds after an outage of
// the store, servers that have ended are still listed, while other servers answer at their addresses.
func TestAddressesTakenByOtherServers(t *testing.T) {
	convey.Convey("Servers that have ended, with other servers at their addresses", t, func() {
		var list []backend.Server
		for i := range 6 {
			list = append(list, server("app", fmt.Sprintf("i-%d", i), "a", 8))
		}
		f := newFixture(list...)
		rejectAsWrongServer := func(id request.ID) []dispatch.Effect {
			return f.Finish(f.now, request.Result{ID: id, Outcome: request.Rejected, WrongServer: true})
		}
		id, e := f.arrive(nil)
		visited := map[string]bool{}
		for range 5 {
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
			visited[e[0].Server] = true
			e = rejectAsWrongServer(id)
		}
		convey.Convey("do not use up the attempts of a request while a server is left", func() {
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
			convey.So(visited[e[0].Server], convey.ShouldBeFalse)
		})
		convey.Convey("get no more requests although they are still listed", func() {
			f.advance(10 * time.Second)
			f.SetServers(f.now, list)
			for range 10 {
				_, e := f.arrive(nil)
				convey.So(visited[e[0].Server], convey.ShouldBeFalse)
			}
		})
		convey.Convey("are used again after a restart", func() {
			for i := range list {
				list[i].StartedAt = f.now
			}
			f.SetServers(f.now, list[:5])
			_, e := f.arrive(nil)
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
		})
		convey.Convey("cause a refusal reported as not run when there is no other server", func() {
			e = rejectAsWrongServer(id)
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Refuse)
			convey.So(e[0].Ran, convey.ShouldEqual, request.NotRun)
		})
	})
}
