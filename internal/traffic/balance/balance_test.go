package balance

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

// newSet returns a set with n servers in the pool "models", spread over the zones in turn. Every fourth server is
// reclaimable.
func newSet(n, concurrency int, zones ...string) *object.Set {
	s := object.NewSet()
	s.Pools["models"] = &object.PoolSpec{Name: "models", Protocol: object.Engine, Concurrency: concurrency}
	s.Classes["chat"] = &object.ClassSpec{Name: "chat", Tier: 1}
	s.Classes["batch"] = &object.ClassSpec{Name: "batch", Tier: 2, Reclaimable: true}
	s.Routes["briefs"] = &object.RouteSpec{Name: "briefs", Model: "m", Pool: "models", Classes: []string{"chat", "batch"}}
	for i := range n {
		name := fmt.Sprintf("s%04d", i)
		s.BackendServers[name] = &object.BackendServerSpec{
			Name: name, Pool: "models", Zone: zones[i%len(zones)], Reclaimable: i%4 == 3, Price: 1,
		}
	}
	return s
}

func newBalancer(seed uint64, s *object.Set) *Balancer {
	b := New("a", seed)
	b.Configure(start, release.NewSnapshot(1, "", s))
	return b
}

func newRequest(id int, class string) *request.Request {
	tier := map[string]int{"chat": 1, "batch": 2}[class]
	return &request.Request{
		ID: request.ID(fmt.Sprint(id)), Class: class, Tier: tier, Pool: "models", Model: "m",
		Streaming: true, PromptTokens: 500, Arrived: start,
	}
}

// send chooses servers for n requests with ids from id on and starts them. It returns how many each server got.
func send(b *Balancer, now time.Time, class string, id, n int) map[string]int {
	out := map[string]int{}
	for i := range n {
		r := newRequest(id+i, class)
		if s, _, ok := b.Choose(now, r, nil); ok {
			b.Started(now, r, s)
			out[s]++
		}
	}
	return out
}

// finish starts a request on a server and ends it with the outcome o.
func finish(b *Balancer, now time.Time, id int, server string, o request.Outcome) {
	r := newRequest(id, "chat")
	b.Started(now, r, server)
	b.Finished(now, r, request.Result{ID: r.ID, Server: server, Outcome: o})
}

func TestChoice(t *testing.T) {
	convey.Convey("Given eight servers with four slots each in two zones", t, func() {
		b := newBalancer(1, newSet(8, 4, "a", "b"))
		convey.Convey("a class that may not use reclaimable servers fills only the others", func() {
			got := send(b, start, "chat", 0, 100)
			convey.So(got, convey.ShouldHaveLength, 6)
			for _, n := range got {
				// The top tier may use a quarter more slots.
				convey.So(n, convey.ShouldEqual, 5)
			}
			convey.So(b.Room(start, "models", 1), convey.ShouldBeFalse)
			convey.So(b.Room(start, "models", 2), convey.ShouldBeTrue)
			convey.So(send(b, start, "batch", 100, 100), convey.ShouldResemble, map[string]int{"s0003": 4, "s0007": 4})
			convey.So(b.Room(start, "models", 2), convey.ShouldBeFalse)
		})
		convey.Convey("servers in the host's zone are chosen first", func() {
			for s := range send(b, start, "chat", 0, 8) {
				convey.So(b.servers[s].spec.Zone, convey.ShouldEqual, "a")
			}
		})
		convey.Convey("attempts that started after a load report are added to it, and those that ended after it are subtracted", func() {
			r := newRequest(1, "chat")
			b.Started(start, r, "s0000")
			b.Report(start.Add(5*time.Second), dispatch.Load{Server: "s0000", At: start.Add(time.Second), Running: 3})
			convey.So(b.servers["s0000"].outstanding(start.Add(5*time.Second)), convey.ShouldEqual, 3)
			b.Finished(start.Add(6*time.Second), r, request.Result{ID: r.ID, Server: "s0000", Outcome: request.Completed})
			b.Report(start.Add(7*time.Second), dispatch.Load{Server: "s0000", At: start.Add(2 * time.Second), Running: 3})
			convey.So(b.servers["s0000"].outstanding(start.Add(7*time.Second)), convey.ShouldEqual, 2)
			b.Started(start.Add(8*time.Second), newRequest(2, "chat"), "s0000")
			b.Report(start.Add(9*time.Second), dispatch.Load{Server: "s0000", At: start.Add(7 * time.Second), Running: 2})
			convey.So(b.servers["s0000"].outstanding(start.Add(9*time.Second)), convey.ShouldEqual, 3)
			convey.So(b.servers["s0000"].outstanding(start.Add(time.Minute)), convey.ShouldEqual, 1)
		})
		convey.Convey("a leaving server gets no requests until the source that reported it leaving says otherwise", func() {
			b.Server(start, dispatch.ServerState{Server: "s0000", Leaving: true})
			b.Report(start, dispatch.Load{Server: "s0002", At: start, Leaving: true})
			b.Report(start.Add(time.Second), dispatch.Load{Server: "s0000", At: start.Add(time.Second)})
			got := send(b, start.Add(time.Second), "chat", 0, 100)
			convey.So(got["s0000"]+got["s0002"], convey.ShouldEqual, 0)
			convey.So(b.Usable("models"), convey.ShouldEqual, 6)
			b.Server(start.Add(2*time.Second), dispatch.ServerState{Server: "s0000"})
			convey.So(b.Usable("models"), convey.ShouldEqual, 7)
		})
		convey.Convey("a server that is gone returns with a later load report and then starts slowly", func() {
			b.Server(start, dispatch.ServerState{Server: "s0000", Gone: true})
			b.Report(start, dispatch.Load{Server: "s0000", At: start.Add(-time.Second)})
			convey.So(b.Usable("models"), convey.ShouldEqual, 7)
			b.Report(start.Add(time.Second), dispatch.Load{Server: "s0000", At: start.Add(time.Second)})
			convey.So(send(b, start.Add(time.Second), "chat", 0, 100)["s0000"], convey.ShouldEqual, 1)
			later := start.Add(time.Second + slowStart)
			convey.So(send(b, later, "batch", 200, 100)["s0000"], convey.ShouldEqual, 3)
		})
		convey.Convey("a retry avoids the excluded server and prefers another zone", func() {
			s, why, ok := b.Choose(start, newRequest(1, "chat"), []string{"s0000"})
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(b.servers[s].spec.Zone, convey.ShouldEqual, "b")
			convey.So(why, convey.ShouldEqual, whyRemote)
		})
		convey.Convey("failing servers are ejected up to the maximum, and get a request after the ejection", func() {
			for i := range 8 {
				for range 3 {
					finish(b, start, i, fmt.Sprintf("s%04d", i), request.Broken)
				}
			}
			convey.So(b.Usable("models"), convey.ShouldEqual, 6)
			later := start.Add(baseEjectTime + time.Millisecond)
			convey.So(send(b, later, "batch", 100, 100)["s0000"], convey.ShouldEqual, 1)
			finish(b, later, 1, "s0000", request.Completed)
			convey.So(b.pools["models"].ejected, convey.ShouldEqual, 1)
		})
		convey.Convey("a new release keeps the state of its servers, and new servers start slowly", func() {
			send(b, start, "chat", 0, 4)
			set := newSet(9, 4, "a", "b")
			delete(set.BackendServers, "s0001")
			b.Configure(start, release.NewSnapshot(2, "", set))
			convey.So(b.Usable("models"), convey.ShouldEqual, 8)
			sum := 0
			for _, n := range b.Outstanding() {
				sum += n
			}
			convey.So(sum, convey.ShouldEqual, 4)
			convey.So(send(b, start, "chat", 100, 100)["s0008"], convey.ShouldEqual, 1)
		})
	})
}

func TestLoadedModels(t *testing.T) {
	tests := map[string]struct {
		loaded                  []string
		model, adapter, version string
		want                    bool
	}{
		"a server that reports nothing is assumed to have all": {nil, "m", "x", "", true},
		"a base model serves requests without an adapter":      {[]string{"m"}, "m", "", "", true},
		"a base model does not serve an adapter":               {[]string{"m"}, "m", "x", "", false},
		"a loaded adapter serves":                              {[]string{"m", "m+x"}, "m", "x", "", true},
		"another version does not serve":                       {[]string{"m", "m@1"}, "m", "", "2", false},
		"the version serves":                                   {[]string{"m@2"}, "m", "", "2", true},
		"another model does not serve":                         {[]string{"n"}, "m", "", "", false},
		"both adapter and version must be loaded":              {[]string{"m", "m+x"}, "m", "x", "2", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(1, newSet(1, 4, "a"))
			b.Report(start, dispatch.Load{Server: "s0000", At: start, Loaded: tc.loaded})
			r := newRequest(1, "chat")
			r.Model, r.Adapter, r.Version = tc.model, tc.adapter, tc.version
			if _, _, ok := b.Choose(start, r, nil); ok != tc.want {
				t.Errorf("Choose returned ok = %v", ok)
			}
		})
	}
}

func TestSlowServerIsLearnedAndRecovers(t *testing.T) {
	b := newBalancer(1, newSet(4, 8, "a"))
	now := start
	for i := range 40 {
		for k := range 4 {
			r := newRequest(i*4+k, "batch")
			s := fmt.Sprintf("s%04d", k)
			b.Started(now, r, s)
			d := time.Second
			if k == 0 {
				d *= 5
			}
			b.Finished(now.Add(d), r, request.Result{ID: r.ID, Server: s, Outcome: request.Completed, OutputTokens: 50, FirstToken: time.Millisecond})
		}
		now = now.Add(time.Second)
	}
	if s := b.servers["s0000"].speed; s > 0.35 {
		t.Fatalf("speed %v of a server that is five times slower than the others", s)
	}
	got := send(b, now, "batch", 1000, 100)
	if got["s0000"] > 3 || got["s0001"] != 8 {
		t.Errorf("the slow server got %d requests of %v", got["s0000"], got)
	}
	for i := range 100 {
		b.Finished(now, newRequest(1000+i, "batch"), request.Result{Outcome: request.Cancelled})
	}
	for i := range 20 {
		r := newRequest(2000+i, "batch")
		b.Started(now, r, "s0000")
		b.Finished(now.Add(time.Second), r, request.Result{ID: r.ID, Server: "s0000", Outcome: request.Completed, OutputTokens: 50, FirstToken: time.Millisecond})
	}
	if s := b.servers["s0000"].speed; s < fullSpeed {
		t.Errorf("speed %v of a server that is fast again", s)
	}
}

// TestShortAnswersAreNoStall checks that a server is not taken for stalled when its answers are too short for a report
// of progress.
func TestShortAnswersAreNoStall(t *testing.T) {
	b := newBalancer(1, newSet(2, 8, "a"))
	for _, name := range []string{"s0000", "s0001"} {
		b.recordTokenRate(start, b.servers[name], 40, time.Second)
	}
	now := start
	for i := range 100 {
		now = now.Add(200 * time.Millisecond)
		b.Started(now, newRequest(i, "batch"), "s0000")
		if i >= 4 {
			r := newRequest(i-4, "batch")
			b.Finished(now, r, request.Result{ID: r.ID, Server: "s0000", Outcome: request.Completed, OutputTokens: 3})
		}
	}
	if s := b.servers["s0000"].speed; s < fullSpeed {
		t.Errorf("speed %v of a server that gives short answers", s)
	}
}

func TestSlowServerIsSparedByTightClasses(t *testing.T) {
	convey.Convey("Given a server that is five times slower than the others", t, func() {
		set := newSet(4, 8, "a")
		set.Classes["batch"].BetweenTokens = object.Duration(76 * time.Millisecond)
		set.Classes["slack"] = &object.ClassSpec{Name: "slack", Tier: 2, Reclaimable: true, SharesTier: true}
		b := newBalancer(1, set)
		for k := range 4 {
			v := b.servers[fmt.Sprintf("s%04d", k)]
			b.recordTokenRate(start, v, 40, time.Second)
		}
		v := b.servers["s0000"]
		for range 30 {
			b.recordTokenRate(start, v, 8, time.Second)
		}
		now := start.Add(time.Second)
		convey.Convey("a class whose target it misses waits for another server", func() {
			convey.So(send(b, now, "batch", 0, 100), convey.ShouldNotContainKey, "s0000")
		})
		convey.Convey("a class without a target uses it for a few requests", func() {
			convey.So(send(b, now, "slack", 0, 100)["s0000"], convey.ShouldBeBetween, 0, 4)
		})
		convey.Convey("after probeInterval it gets a single request", func() {
			convey.So(send(b, now.Add(probeInterval), "batch", 0, 100)["s0000"], convey.ShouldEqual, 1)
		})
		convey.Convey("a request that meets its deadline only on a faster server does not use it either", func() {
			r := newRequest(1, "slack")
			r.Deadline = now.Add(4 * time.Second)
			_, _, ok := b.Choose(now, r, []string{"s0001", "s0002", "s0003"})
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}

func TestStalledServerGetsLess(t *testing.T) {
	b := newBalancer(1, newSet(4, 8, "a"))
	for k := range 4 {
		r := newRequest(k, "batch")
		s := fmt.Sprintf("s%04d", k)
		b.Started(start, r, s)
		for i := range 5 {
			if k > 0 || i < 2 {
				b.Progress(start.Add(time.Duration(i+1)*time.Second), r.ID, 16)
			}
		}
	}
	now := start.Add(12 * time.Second)
	b.update(now, b.servers["s0000"])
	if s := b.servers["s0000"].speed; s > 0.5 {
		t.Errorf("speed %v of a server without progress for 10 s", s)
	}
}

func TestPrefixAffinity(t *testing.T) {
	convey.Convey("Given a server of many that has run a prompt", t, func() {
		b := newBalancer(1, newSet(40, 4, "a"))
		r := newRequest(1, "chat")
		r.Prefix, r.PromptTokens = []uint64{1, 2, 3, 4}, 1100
		b.Started(start, r, "s0004")
		b.Finished(start.Add(2*time.Second), r, request.Result{ID: r.ID, Server: "s0004", Outcome: request.Completed})
		next := newRequest(2, "chat")
		next.Prefix, next.PromptTokens = []uint64{1, 2, 3, 9}, 1100
		choose := func() string {
			s, _, _ := b.Choose(start, next, nil)
			return s
		}
		convey.Convey("a prompt with the same beginning goes to that server", func() {
			s, why, _ := b.Choose(start, next, nil)
			convey.So(s, convey.ShouldEqual, "s0004")
			convey.So(why, convey.ShouldEqual, whyCached)
		})
		convey.Convey("it goes to another server when that one is loaded", func() {
			at := start.Add(2 * time.Second)
			b.Report(at, dispatch.Load{Server: "s0004", At: at, Running: 3})
			convey.So(choose(), convey.ShouldNotEqual, "s0004")
		})
		convey.Convey("no block matches after the server has reported the blocks as evicted", func() {
			b.Cache(start, dispatch.CacheEvent{Server: "s0004", Sequence: 1, Evicted: []uint64{1, 2, 3, 4}})
			convey.So(b.prefixes.matchedBlocks(b.servers["s0004"], next.Prefix), convey.ShouldEqual, 0)
		})
		convey.Convey("no block matches after the server has restarted", func() {
			b.Report(start, dispatch.Load{Server: "s0004", At: start, CacheSequence: 50})
			b.Report(start, dispatch.Load{Server: "s0004", At: start.Add(time.Second), CacheSequence: 2})
			convey.So(b.prefixes.matchedBlocks(b.servers["s0004"], next.Prefix), convey.ShouldEqual, 0)
		})
	})
}

func TestPrefillAndDecodeServers(t *testing.T) {
	convey.Convey("Given two servers that read prompts and two that generate", t, func() {
		b := newBalancer(1, newSet(4, 2, "a"))
		for i, role := range []dispatch.Role{dispatch.Prefill, dispatch.Prefill, dispatch.Decode, dispatch.Decode} {
			b.Report(start, dispatch.Load{Server: fmt.Sprintf("s%04d", i), At: start, Role: role})
		}
		r := newRequest(1, "batch")
		r.PromptTokens = 8000
		convey.Convey("a long prompt gets one of each", func() {
			first, second, ok := b.ChoosePair(start, r, nil)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(b.servers[first].role, convey.ShouldEqual, dispatch.Prefill)
			convey.So(b.servers[second].role, convey.ShouldEqual, dispatch.Decode)
		})
		convey.Convey("a short prompt runs on one server", func() {
			r.PromptTokens = 500
			_, _, ok := b.ChoosePair(start, r, nil)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("requests that run on one server never get a server that only reads prompts", func() {
			got := send(b, start, "batch", 0, 20)
			convey.So(got, convey.ShouldResemble, map[string]int{"s0002": 2, "s0003": 2})
			convey.So(b.Room(start, "models", 2), convey.ShouldBeFalse)
		})
	})
}

func TestCacheGaps(t *testing.T) {
	convey.Convey("Given a server's cache events with one missing", t, func() {
		b := newBalancer(1, newSet(2, 4, "a"))
		v := b.servers["s0000"]
		b.Cache(start, dispatch.CacheEvent{Server: "s0000", Sequence: 1, Stored: []uint64{1}})
		b.Cache(start, dispatch.CacheEvent{Server: "s0000", Sequence: 3, Stored: []uint64{3}})
		convey.So(v.cache.partial, convey.ShouldBeTrue)
		convey.So(v.cache.confidence(), convey.ShouldEqual, partialConfidence)
		convey.Convey("the whole cache is asked for after missingEventTimeout", func() {
			convey.So(b.PartialCaches(start), convey.ShouldBeEmpty)
			convey.So(b.PartialCaches(start.Add(missingEventTimeout)), convey.ShouldResemble, []string{"s0000"})
			b.Cache(start, dispatch.CacheEvent{Server: "s0000", Sequence: 4, Stored: []uint64{7}, Whole: true})
			convey.So(v.cache.partial, convey.ShouldBeFalse)
			convey.So(b.prefixes.matchedBlocks(v, []uint64{1}), convey.ShouldEqual, 0)
			convey.So(b.prefixes.matchedBlocks(v, []uint64{7}), convey.ShouldEqual, 1)
		})
		convey.Convey("the missing event closes the gap", func() {
			b.Cache(start, dispatch.CacheEvent{Server: "s0000", Sequence: 2, Stored: []uint64{2}})
			convey.So(v.cache.partial, convey.ShouldBeFalse)
			convey.So(b.prefixes.matchedBlocks(v, []uint64{2}), convey.ShouldEqual, 1)
		})
		convey.Convey("an event that was seen before changes nothing", func() {
			b.Cache(start, dispatch.CacheEvent{Server: "s0000", Sequence: 3, Evicted: []uint64{3}})
			convey.So(b.prefixes.matchedBlocks(v, []uint64{3}), convey.ShouldEqual, 1)
		})
		convey.Convey("load reports with a higher sequence than the events show that the last events are missing", func() {
			b.Cache(start, dispatch.CacheEvent{Server: "s0000", Sequence: 2})
			for i := range 2 {
				at := start.Add(time.Duration(i) * time.Second)
				b.Report(at, dispatch.Load{Server: "s0000", At: at, CacheSequence: uint64(9 + i)})
			}
			convey.So(v.cache.partial, convey.ShouldBeTrue)
		})
	})
}

func TestSameSeedSameChoices(t *testing.T) {
	run := func() string {
		out := ""
		b, now := newBalancer(7, newSet(60, 4, "a", "b")), start
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range 2000 {
			now = now.Add(10 * time.Millisecond)
			r := newRequest(i, "batch")
			s, _, _ := b.Choose(now, r, nil)
			out += s
			b.Started(now, r, s)
			if i > 100 {
				b.Finished(now, newRequest(i-100, "batch"), request.Result{Outcome: request.Completed, OutputTokens: 20})
			}
			if i%20 == 0 {
				b.Peer(now, dispatch.HostState{Host: fmt.Sprint(rng.IntN(5)), Zone: "a", At: now, Outstanding: map[string]int{
					"s0001": rng.IntN(4), "s0002": rng.IntN(4), "s0003": rng.IntN(4), "s0005": rng.IntN(4),
				}})
			}
		}
		return out
	}
	first, second := run(), run()
	if first != second {
		t.Error("two runs with the same seed chose different servers")
	}
}

// TestListsAgreeWithServers applies random events. After each it compares the counts of the pool and the positions in
// the lists with a scan of all servers.
func TestListsAgreeWithServers(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		b, now := newBalancer(seed, newSet(20, 3, "a", "b")), start
		for i := range 400 {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			randomEvent(b, rng, now, i)
			checkLists(t, b, seed, i)
		}
	}
}

func randomEvent(b *Balancer, rng *rand.Rand, now time.Time, i int) {
	name := fmt.Sprintf("s%04d", rng.IntN(20))
	switch rng.IntN(9) {
	case 0:
		b.Report(now, dispatch.Load{Server: name, At: now.Add(-time.Second), Running: rng.IntN(4), Loaded: []string{"m", "n"}[rng.IntN(2):], Leaving: rng.IntN(9) == 0, Role: dispatch.Role(rng.IntN(3))})
	case 1:
		b.Server(now, dispatch.ServerState{Server: name, Leaving: rng.IntN(4) == 0, Gone: rng.IntN(4) == 0})
	case 2:
		b.Peer(now, dispatch.HostState{Host: fmt.Sprint(rng.IntN(3)), Zone: "a", At: now, Outstanding: map[string]int{name: rng.IntN(3)}})
	case 3:
		b.Configure(now, release.NewSnapshot(uint64(i), "", newSet(15+rng.IntN(6), 3, "a", "b")))
	case 4, 5:
		r := newRequest(rng.IntN(i+1), "batch")
		o := []request.Outcome{request.Completed, request.Broken, request.Unreachable}[rng.IntN(3)]
		b.Finished(now, r, request.Result{ID: r.ID, Outcome: o, OutputTokens: 10})
	default:
		r := newRequest(i, "batch")
		if s, _, ok := b.Choose(now, r, nil); ok {
			b.Started(now, r, s)
		}
	}
}

func checkLists(t *testing.T, b *Balancer, seed uint64, step int) {
	t.Helper()
	p := b.pools["models"]
	usable, ejected, withRoom, own := 0, 0, 0, 0
	for _, v := range p.servers {
		own += v.ownAttempts
		if v.usable {
			usable++
		}
		if v.ejected {
			ejected++
		}
		if v.level != noRoom && v.role != dispatch.Prefill {
			withRoom++
		}
		if v.level != noRoom && !v.usable {
			t.Fatalf("seed %d step %d: %s has room but is not usable", seed, step, v.spec.Name)
		}
		for _, m := range v.memberships {
			if (m.pos >= 0) != (v.level != noRoom) || m.pos >= 0 && (*m.bucket(v))[m.pos].server != v {
				t.Fatalf("seed %d step %d: %s is not at the position of its membership", seed, step, v.spec.Name)
			}
		}
	}
	attempts := 0
	for _, a := range b.attempts {
		if !a.server.removed {
			attempts++
		}
	}
	if usable != p.usable || ejected != p.ejected || withRoom != p.withRoom[0][0]+p.withRoom[0][1]+p.withRoom[1][0]+p.withRoom[1][1] || own != attempts || ejected > p.maxEjected() {
		t.Fatalf("seed %d step %d: servers/pool: usable %d/%d ejected %d/%d with room %d/%v own attempts %d/%d", seed, step, usable, p.usable, ejected, p.ejected, withRoom, p.withRoom, own, attempts)
	}
}
