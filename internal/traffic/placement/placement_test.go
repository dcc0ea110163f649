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

// desk drives one policy through time.
type desk struct {
	*placement.Policy
	now    time.Time
	serial int
}

func newDesk(servers ...backend.Server) *desk {
	d := &desk{now: start, Policy: placement.New(1, placement.WithZone("a"),
		placement.WithRetryLimits(placement.RetryLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}))}
	d.Configure(start, route.New(1, nil, []*route.Service{
		{Name: "app"}, {Name: "pool", Engine: &route.Engine{Slots: 8, CacheTokens: 200000}},
	}, route.Limits{}, false, nil))
	d.Servers(start, servers)
	return d
}

func server(service, id, zone string, slots int) backend.Server {
	return backend.Server{ID: id, Service: service, Zone: zone, Slots: slots, Addr: netip.MustParseAddrPort("10.0.0.1:80")}
}

// ask brings a request and returns what the policy wants.
func (d *desk) ask(change func(*request.Request)) (request.ID, []dispatch.Effect) {
	d.serial++
	r := &request.Request{
		ID: request.ID(fmt.Sprint(d.serial)), Pool: "app", Attempts: 1, Arrived: d.now, Deadline: d.now.Add(5 * time.Second),
		Goal: 200 * time.Millisecond,
	}
	if change != nil {
		change(r)
	}
	return r.ID, d.Arrive(d.now, r)
}

func safe(r *request.Request) { r.Idempotent, r.Attempts = true, 3 }

func (d *desk) finish(id request.ID, o request.Outcome) []dispatch.Effect {
	return d.Finish(d.now, request.Result{ID: id, Outcome: o})
}

func (d *desk) pass(t time.Duration) []dispatch.Effect {
	d.now = d.now.Add(t)
	return d.Tick(d.now)
}

func prompt(r *request.Request) {
	r.Pool, r.Streaming, r.PromptTokens, r.Goal = "pool", true, 9000, 400*time.Millisecond
	r.Parts = []request.Part{{ID: 1, Tokens: 2500}, {ID: 2, Tokens: 3800}, {ID: uint64(r.Arrived.UnixNano()), Tokens: 2700}}
}

func TestPlainService(t *testing.T) {
	convey.Convey("Requests to a plain service with two servers of two places", t, func() {
		d := newDesk(server("app", "near", "a", 2), server("app", "far", "b", 2))
		convey.Convey("go to the own availability zone first", func() {
			_, e := d.ask(nil)
			convey.So(e[0].Server, convey.ShouldEqual, "near")
		})
		convey.Convey("wait when all places and as many waiting ones are taken, and start when one is free", func() {
			var ids []request.ID
			var waiting request.ID
			for waiting == "" {
				id, e := d.ask(nil)
				if len(e) == 0 {
					waiting = id
				} else {
					ids = append(ids, id)
				}
			}
			convey.So(len(ids), convey.ShouldBeBetweenOrEqual, 8, 9)
			e := d.finish(ids[0], request.Completed)
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
			convey.So(e[0].ID, convey.ShouldEqual, waiting)
		})
		convey.Convey("are refused at once when a place would come too late", func() {
			var last dispatch.Effect
			for range 60 {
				_, e := d.ask(func(r *request.Request) { r.Deadline = d.now.Add(250 * time.Millisecond) })
				if len(e) > 0 {
					last = e[0]
				}
			}
			convey.So(last.Kind, convey.ShouldEqual, dispatch.Refuse)
			convey.So(last.Ran, convey.ShouldEqual, request.NotRun)
			convey.So(last.RetryAfter, convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("that wait are dropped when their callers leave", func() {
			var waiting request.ID
			var first request.ID
			for waiting == "" {
				id, e := d.ask(nil)
				if first == "" {
					first = id
				}
				if len(e) == 0 {
					waiting = id
				}
			}
			convey.So(d.Cancel(d.now, waiting), convey.ShouldBeEmpty)
			convey.So(d.finish(first, request.Completed), convey.ShouldBeEmpty)
		})
	})
	convey.Convey("A service without a server refuses, as not run", t, func() {
		_, e := newDesk().ask(nil)
		convey.So(e[0].Reason, convey.ShouldEqual, dispatch.NoServer)
		convey.So(e[0].Ran, convey.ShouldEqual, request.NotRun)
	})
	convey.Convey("A leaving server gets nothing", t, func() {
		leaving := server("app", "near", "a", 2)
		leaving.Leaving = true
		d := newDesk(leaving, server("app", "far", "b", 2))
		for range 4 {
			_, e := d.ask(nil)
			convey.So(e[0].Server, convey.ShouldEqual, "far")
		}
	})
}

func TestRepeats(t *testing.T) {
	two := func() *desk { return newDesk(server("app", "x", "a", 8), server("app", "y", "a", 8)) }
	tests := map[string]struct {
		change  func(*request.Request)
		outcome request.Outcome
		again   bool
		ran     request.Ran
	}{
		"a rejected request goes to another server":                {nil, request.Rejected, true, 0},
		"one that reached no server goes to another":               {nil, request.Unreachable, true, 0},
		"a broken one that may not be repeated ends":               {nil, request.Broken, false, request.MayHaveRun},
		"a failed one that may not be repeated ends":               {nil, request.Failed, false, request.MayHaveRun},
		"a broken one that may be repeated goes to another server": {safe, request.Broken, true, 0},
		"a failed one that may be repeated goes to another server": {safe, request.Failed, true, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := two()
			id, first := d.ask(test.change)
			e := d.finish(id, test.outcome)
			if len(e) != 1 || (e[0].Kind == dispatch.Start) != test.again {
				t.Fatalf("effects %+v", e)
			}
			if test.again && e[0].Server == first[0].Server {
				t.Fatalf("sent to %s again", e[0].Server)
			}
			if !test.again && e[0].Ran != test.ran {
				t.Fatalf("told %s, want %s", e[0].Ran, test.ran)
			}
		})
	}
	convey.Convey("A stream that broke is resumed only if it can go on exactly", t, func() {
		for _, resumable := range []bool{true, false} {
			d := two()
			id, _ := d.ask(safe)
			e := d.Finish(d.now, request.Result{ID: id, Outcome: request.Broken, Delivered: 7, Resumable: resumable})
			convey.So(e[0].Kind == dispatch.Start, convey.ShouldEqual, resumable)
		}
	})
	convey.Convey("A stream that broke late is resumed: its caller waits from the break on", t, func() {
		d := newDesk(server("pool", "x", "a", 8), server("pool", "y", "a", 8))
		id, _ := d.ask(func(r *request.Request) {
			prompt(r)
			safe(r)
			r.Deadline = d.now.Add(15 * time.Second)
		})
		d.now = d.now.Add(6 * time.Second)
		e := d.Finish(d.now, request.Result{ID: id, Outcome: request.Broken, Delivered: 40, Resumable: true})
		convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
	})
}

// TestRetryStorm replays servers that fail every request.
func TestRetryStorm(t *testing.T) {
	convey.Convey("When all servers fail, repeats stay within this host's share of the budget", t, func() {
		d := newDesk(server("app", "x", "a", 8), server("app", "y", "a", 8))
		d.Peer(d.now, placement.Peer{Host: "other"}, 5)
		repeats := 0
		for range 400 {
			id, e := d.ask(safe)
			for len(e) > 0 && e[0].Kind == dispatch.Start {
				if e[0].Attempt > 1 {
					repeats++
				}
				e = d.finish(id, request.Failed)
			}
			d.pass(10 * time.Millisecond)
		}
		convey.So(repeats, convey.ShouldBeGreaterThan, 0)
		convey.So(repeats, convey.ShouldBeLessThanOrEqualTo, int(0.2*400+50.0/5))
	})
}

func TestFailingServers(t *testing.T) {
	share := func(d *desk, n int) float64 {
		bad := 0
		for range n {
			id, e := d.ask(nil)
			if e[0].Server == "bad" {
				bad++
			}
			d.pass(20 * time.Millisecond)
			d.finish(id, request.Completed)
		}
		return float64(bad) / float64(n)
	}
	outcomes := map[string]request.Outcome{
		"cannot be reached":  request.Unreachable,
		"breaks connections": request.Broken,
		"answers failures":   request.Failed,
	}
	for name, outcome := range outcomes {
		t.Run("a server that "+name, func(t *testing.T) {
			d := newDesk(server("app", "bad", "a", 8), server("app", "good", "a", 8))
			for range 40 {
				id, e := d.ask(nil)
				for len(e) > 0 && e[0].Kind == dispatch.Start {
					o := request.Completed
					if e[0].Server == "bad" {
						o = outcome
					}
					d.pass(5 * time.Millisecond)
					e = d.finish(id, o)
				}
			}
			if got := share(d, 10); got > 0.2 {
				t.Fatalf("gets %.2f of the requests right after", got)
			}
			d.pass(30 * time.Second)
			if got := share(d, 40); got < 0.2 {
				t.Fatalf("gets %.2f of the requests half a minute later", got)
			}
		})
	}
	convey.Convey("A server that hangs gets little while its requests are open", t, func() {
		d := newDesk(server("app", "bad", "a", 8), server("app", "good", "a", 8))
		for range 20 {
			id, e := d.ask(nil)
			d.pass(5 * time.Millisecond)
			if e[0].Server == "good" {
				d.finish(id, request.Completed)
			}
		}
		d.pass(time.Second)
		convey.So(share(d, 20), convey.ShouldBeLessThan, 0.1)
	})
	convey.Convey("When all servers fail, they are still used", t, func() {
		d := newDesk(server("app", "bad", "a", 8))
		id, _ := d.ask(nil)
		d.finish(id, request.Unreachable)
		_, e := d.ask(nil)
		convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
	})
}

func TestSharedParts(t *testing.T) {
	convey.Convey("Prompts that share parts", t, func() {
		d := newDesk(server("pool", "x", "a", 8), server("pool", "y", "a", 8), server("pool", "z", "b", 8))
		id, e := d.ask(prompt)
		first := e[0].Server
		convey.So(e[0].From, convey.ShouldBeEmpty)
		d.Progress(d.now, id, 1)
		d.finish(id, request.Completed)
		convey.Convey("go where the parts are kept", func() {
			d.pass(time.Second)
			_, e := d.ask(prompt)
			convey.So(e[0].Server, convey.ShouldEqual, first)
			convey.So(e[0].From, convey.ShouldBeEmpty)
		})
		convey.Convey("fetch them when that server has much to read", func() {
			d.Peer(d.now, placement.Peer{Host: "h", Work: map[string]placement.Work{first: {Unread: [placement.Levels]int{0, 0, 60000}}}}, 2)
			_, e := d.ask(func(r *request.Request) {
				prompt(r)
				r.Tier = 1
			})
			convey.So(e[0].Server, convey.ShouldNotEqual, first)
			convey.So(e[0].From, convey.ShouldEqual, first)
		})
		convey.Convey("are told to other hosts, which then know", func() {
			state := d.State(d.now)
			convey.So(state.Seen, convey.ShouldNotBeEmpty)
			o := newDesk(server("pool", "x", "a", 8), server("pool", "y", "a", 8), server("pool", "z", "b", 8))
			state.Host = "d"
			o.Peer(o.now, state, 2)
			_, e := o.ask(prompt)
			convey.So(e[0].Server == first || e[0].From == first, convey.ShouldBeTrue)
		})
	})
}

func TestTiers(t *testing.T) {
	convey.Convey("Engines that have much less urgent work to read", t, func() {
		d := newDesk(server("pool", "x", "a", 8), server("pool", "y", "a", 8))
		busy := map[string]placement.Work{}
		for _, id := range []string{"x", "y"} {
			w := placement.Work{}
			w.Unread[2], w.Running[2] = 400000, 20
			busy[id] = w
		}
		d.Peer(d.now, placement.Peer{Host: "h", Work: busy}, 2)
		convey.Convey("take an urgent request, as if that work were not there", func() {
			_, e := d.ask(prompt)
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
			convey.So(e[0].Urgency, convey.ShouldEqual, 0)
		})
		convey.Convey("refuse one that is as urgent as that work, as not run", func() {
			_, e := d.ask(func(r *request.Request) {
				prompt(r)
				r.Tier = 1
			})
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Refuse)
			convey.So(e[0].Ran, convey.ShouldEqual, request.NotRun)
		})
	})
	convey.Convey("A request that cannot be on time comes after those of its tier that can, before the next tier", t, func() {
		d := newDesk(server("pool", "x", "a", 64))
		w := placement.Work{}
		w.Unread[2] = 25000
		d.Peer(d.now, placement.Peer{Host: "h", Work: map[string]placement.Work{"x": w}}, 2)
		_, e := d.ask(func(r *request.Request) {
			prompt(r)
			r.Tier = 1
		})
		convey.So(e[0].Urgency, convey.ShouldEqual, 3)
	})
	convey.Convey("What a host told long ago counts no more", t, func() {
		d := newDesk(server("pool", "x", "a", 8))
		w := placement.Work{}
		w.Unread[0] = 900000
		d.Peer(d.now, placement.Peer{Host: "h", Work: map[string]placement.Work{"x": w}}, 2)
		d.pass(5 * time.Second)
		_, e := d.ask(prompt)
		convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
	})
}

func TestRestartedServer(t *testing.T) {
	convey.Convey("A server that starts again under its name has read nothing", t, func() {
		d := newDesk(server("pool", "x", "a", 8))
		id, _ := d.ask(prompt)
		d.Progress(d.now, id, 1)
		d.finish(id, request.Completed)
		again := server("pool", "x", "a", 8)
		again.StartedAt = start
		d.Servers(d.now, []backend.Server{again, server("pool", "y", "a", 8)})
		_, e := d.ask(prompt)
		convey.So(e[0].From, convey.ShouldBeEmpty)
	})
	convey.Convey("The end of a request on a server that is gone is taken", t, func() {
		d := newDesk(server("app", "x", "a", 8))
		id, _ := d.ask(safe)
		d.Servers(d.now, []backend.Server{server("app", "y", "a", 8)})
		e := d.finish(id, request.Broken)
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
			d := newDesk(list...)
			b.ReportAllocs()
			for b.Loop() {
				id, _ := d.ask(prompt)
				d.finish(id, request.Completed)
				d.now = d.now.Add(time.Millisecond)
			}
		})
	}
}

func TestReportedLoad(t *testing.T) {
	convey.Convey("A server that has just said that it is full gets nothing while another has a place", t, func() {
		d := newDesk(server("app", "near", "a", 2), server("app", "far", "b", 2))
		d.Report(d.now, dispatch.Load{Server: "near", Running: 2, Waiting: 3})
		_, e := d.ask(nil)
		convey.So(e[0].Server, convey.ShouldEqual, "far")
		convey.Convey("and is asked again soon", func() {
			d.pass(time.Second)
			_, e := d.ask(nil)
			convey.So(e[0].Server, convey.ShouldEqual, "near")
		})
	})
}

// TestCrashingRequest replays a request that crashes each server that runs it, and comes again at any host.
func TestCrashingRequest(t *testing.T) {
	poison := func(r *request.Request) { r.Fingerprint = 7 }
	fresh := func(n int) []backend.Server {
		var out []backend.Server
		for i := range n {
			out = append(out, server("app", fmt.Sprintf("i-%d", i), "a", 8))
		}
		return out
	}
	// crash runs the request once on a host; it reports whether the host sent it.
	crash := func(d *desk) bool {
		id, e := d.ask(poison)
		if len(e) != 1 || e[0].Kind != dispatch.Start {
			return false
		}
		d.pass(50 * time.Millisecond)
		d.finish(id, request.Broken)
		d.pass(400 * time.Millisecond)
		return true
	}
	convey.Convey("A request that crashes each server that runs it", t, func() {
		d := newDesk(fresh(9)...)
		for range 3 {
			convey.So(crash(d), convey.ShouldBeTrue)
		}
		convey.Convey("runs no more, which its caller is told", func() {
			_, e := d.ask(poison)
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Refuse)
			convey.So(e[0].Reason, convey.ShouldEqual, dispatch.CrashSuspect)
			convey.So(e[0].Ran, convey.ShouldEqual, request.NotRun)
			convey.So(e[0].RetryAfter, convey.ShouldBeGreaterThan, time.Second)
		})
		convey.Convey("holds no other request up", func() {
			_, e := d.ask(func(r *request.Request) { r.Fingerprint = 8 })
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
		})
		convey.Convey("is tried again long after", func() {
			d.pass(3 * time.Minute)
			convey.So(crash(d), convey.ShouldBeTrue)
		})
	})
	convey.Convey("Hosts that each saw one crash tell each other", t, func() {
		hosts := []*desk{newDesk(fresh(9)...), newDesk(fresh(9)...), newDesk(fresh(9)...)}
		for i, d := range hosts {
			// Each host sends it elsewhere: the servers that crashed are gone.
			d.Servers(d.now, fresh(9)[3*i:3*i+3])
			for d.now.Sub(start) < time.Duration(i)*time.Second {
				d.pass(50 * time.Millisecond)
			}
			convey.So(crash(d), convey.ShouldBeTrue)
		}
		last := hosts[2]
		for i, d := range hosts[:2] {
			word := d.State(d.now)
			word.Host = fmt.Sprint("host-", i)
			last.Peer(last.now, word, 3)
		}
		convey.So(crash(last), convey.ShouldBeFalse)
	})
	innocent := map[string]func(d *desk){
		"servers that live and lose answers": func(d *desk) {
			for range 6 {
				id, _ := d.ask(poison)
				d.pass(50 * time.Millisecond)
				d.finish(id, request.Broken)
				// The server answers another request.
				other, _ := d.ask(func(r *request.Request) { r.Fingerprint = 8 })
				for range 9 {
					d.finish(other, request.Completed)
					other, _ = d.ask(func(r *request.Request) { r.Fingerprint = 8 })
				}
			}
		},
		"servers that crash together": func(d *desk) {
			var ids []request.ID
			for range 6 {
				id, _ := d.ask(poison)
				ids = append(ids, id)
			}
			d.pass(time.Second)
			for _, id := range ids {
				d.finish(id, request.Broken)
			}
			d.pass(400 * time.Millisecond)
		},
		"a request that completes between crashes": func(d *desk) {
			for range 5 {
				crash(d)
				crash(d)
				id, _ := d.ask(poison)
				d.pass(50 * time.Millisecond)
				d.finish(id, request.Completed)
			}
		},
	}
	for name, happen := range innocent {
		t.Run("spared: "+name, func(t *testing.T) {
			d := newDesk(fresh(12)...)
			happen(d)
			if _, e := d.ask(poison); e[0].Kind != dispatch.Start {
				t.Fatalf("refused: %s", e[0].Why)
			}
		})
	}
}

// TestAddressesOfOthers replays the seconds after an outage of the store in which entries of servers stay that
// have ended, while others answer at their addresses.
func TestAddressesOfOthers(t *testing.T) {
	convey.Convey("Servers that are gone, with others at their addresses", t, func() {
		var list []backend.Server
		for i := range 6 {
			list = append(list, server("app", fmt.Sprintf("i-%d", i), "a", 8))
		}
		d := newDesk(list...)
		elsewhere := func(id request.ID) []dispatch.Effect {
			return d.Finish(d.now, request.Result{ID: id, Outcome: request.Rejected, Elsewhere: true})
		}
		id, e := d.ask(nil)
		met := map[string]bool{}
		for range 5 {
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
			met[e[0].Server] = true
			e = elsewhere(id)
		}
		convey.Convey("cost a request no try while one is left", func() {
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
			convey.So(met[e[0].Server], convey.ShouldBeFalse)
		})
		convey.Convey("get nothing more, though their entries stay", func() {
			d.pass(10 * time.Second)
			d.Servers(d.now, list)
			for range 10 {
				_, e := d.ask(nil)
				convey.So(met[e[0].Server], convey.ShouldBeFalse)
			}
		})
		convey.Convey("are used when they start again", func() {
			for i := range list {
				list[i].StartedAt = d.now
			}
			d.Servers(d.now, list[:5])
			_, e := d.ask(nil)
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Start)
		})
		convey.Convey("leave a request refused as not run when all are", func() {
			e = elsewhere(id)
			convey.So(e[0].Kind, convey.ShouldEqual, dispatch.Refuse)
			convey.So(e[0].Ran, convey.ShouldEqual, request.NotRun)
		})
	})
}
