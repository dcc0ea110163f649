package placement_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/placement"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/route"
)

// contactTime is the time after which hosts have to know of the fifth crash, and maxTaintedAfter the number of requests
// with the part that may reach servers later.
const (
	contactTime     = 3 * time.Second
	maxTaintedAfter = 3
)

// taintedLoad is a load of which a share of the requests has a part that crashes servers.
type taintedLoad struct {
	hosts, servers int
	perSecond      float64
	share          float64
	// from and until bound the time in which requests have the part.
	from, until time.Duration
	// soundBefore says that requests with the part are sound until from.
	soundBefore bool
	// alone says that requests with the part always have the same part before it, which no other request has before
	// pairedFrom.
	alone      bool
	pairedFrom time.Duration
	// soundHeldPercent is how many of a hundred sound requests may be refused as suspects.
	soundHeldPercent int
	// outages are the times at which a third of the servers ends for another reason.
	outages []time.Duration
}

// taintedRun is a run of a load on several hosts that exchange their states.
type taintedRun struct {
	load    taintedLoad
	rng     *rand.Rand
	now     time.Time
	hosts   []*placement.Policy
	servers []backend.Server
	downTo  map[string]time.Time
	running map[request.ID]*taintedAttempt
	lastID  int
	steps   int

	crashes           int
	fifthCrash        time.Time
	taintedAfter      int
	soundHeld         int
	soundSent, soundN int
}

type taintedAttempt struct {
	host     int
	server   string
	tainted  bool
	beginsAt time.Time
	endsAt   time.Time
	begun    bool
}

const taintedPart = 0xdead

func newTaintedRun(load taintedLoad, seed uint64) *taintedRun {
	r := &taintedRun{load: load, rng: rand.New(rand.NewPCG(seed, 2)), now: start, downTo: map[string]time.Time{}, running: map[request.ID]*taintedAttempt{}}
	for i := range load.servers {
		r.servers = append(r.servers, backend.Server{
			ID: fmt.Sprintf("i-%03d", i), Service: "pool", Zone: "a", Slots: 64, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80),
		})
	}
	table := route.New(1, nil, []*route.Service{{Name: "pool", Engine: &route.Engine{Slots: 64, CacheTokens: 500_000}}}, route.Limits{}, false, nil)
	for i := range load.hosts {
		p := placement.New(seed+uint64(i), placement.WithZone("a"), placement.WithRetryLimits(placement.RetryLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}))
		p.Configure(start, table)
		p.SetServers(start, r.servers)
		r.hosts = append(r.hosts, p)
	}
	return r
}

func (r *taintedRun) run(length time.Duration) {
	const (
		step          = 10 * time.Millisecond
		stateInterval = 600 * time.Millisecond
	)
	for ; r.now.Sub(start) < length; r.steps++ {
		r.now = r.now.Add(step)
		for _, at := range r.load.outages {
			if r.now.Sub(start) >= at && r.now.Sub(start) < at+step {
				r.outage()
			}
		}
		r.progress()
		for arrivals := r.load.perSecond * step.Seconds(); arrivals > r.rng.Float64(); arrivals-- {
			r.arrive()
		}
		for i, p := range r.hosts {
			r.carryOut(i, p.Tick(r.now))
			if (r.steps+i*7)%int(stateInterval/step) == 0 {
				state := p.State(r.now)
				state.Host = fmt.Sprint("host-", i)
				for j, o := range r.hosts {
					if j != i {
						r.carryOut(j, o.UpdatePeer(r.now, state, len(r.hosts)))
					}
				}
			}
		}
	}
}

// arrive sends a request to a host. Its prompt has a common beginning, a part of its own kind, perhaps the tainted part,
// and a part of its own.
func (r *taintedRun) arrive() {
	r.lastID++
	host, age := r.rng.IntN(len(r.hosts)), r.now.Sub(start)
	hasPart := r.rng.Float64() < r.load.share && age < r.load.until && (age >= r.load.from || r.load.soundBefore)
	tainted := hasPart && age >= r.load.from
	parts := []request.Part{{ID: 100 + uint64(r.rng.IntN(4)), Tokens: 2500}, {ID: 200 + uint64(r.rng.IntN(40)), Tokens: 1000}}
	switch {
	case r.load.alone && hasPart:
		parts[1].ID = 300
	case r.load.alone && age >= r.load.pairedFrom && r.rng.Float64() < r.load.share:
		parts[1].ID = 300
	}
	if hasPart {
		parts = append(parts, request.Part{ID: taintedPart, Tokens: 800})
	}
	parts = append(parts, request.Part{ID: uint64(1_000_000 + r.lastID), Tokens: 300})
	req := &request.Request{
		ID: request.ID(fmt.Sprint(r.lastID)), Pool: "pool", Attempts: 2, Idempotent: true, Streaming: true, PromptTokens: 4000, MaxTokens: 50,
		Parts: parts, Fingerprint: uint64(r.lastID), Organisation: "org", Arrived: r.now, Deadline: r.now.Add(5 * time.Second), Goal: 400 * time.Millisecond,
	}
	r.running[req.ID] = &taintedAttempt{host: host, tainted: tainted}
	settled := !r.fifthCrash.IsZero() && r.now.Sub(r.fifthCrash) > 2*contactTime
	effects := r.hosts[host].Arrive(r.now, req)
	if !tainted && settled {
		r.soundN++
		for _, e := range effects {
			switch {
			case e.Kind == dispatch.Start:
				r.soundSent++
			case e.Reason == dispatch.CrashSuspect:
				r.soundHeld++
			}
		}
	}
	r.carryOut(host, effects)
}

func (r *taintedRun) carryOut(host int, effects []dispatch.Effect) {
	for _, e := range effects {
		a := r.running[e.ID]
		if e.Kind != dispatch.Start {
			delete(r.running, e.ID)
			continue
		}
		if r.now.Before(r.downTo[e.Server]) {
			r.carryOut(host, r.hosts[host].Finish(r.now, request.Result{ID: e.ID, Server: e.Server, Outcome: request.Unreachable}))
			continue
		}
		if a.tainted && !r.fifthCrash.IsZero() && r.now.Sub(r.fifthCrash) > contactTime {
			r.taintedAfter++
		}
		a.server, a.begun = e.Server, false
		a.beginsAt = r.now.Add(time.Duration(80+r.rng.IntN(120)) * time.Millisecond)
		a.endsAt = a.beginsAt.Add(time.Duration(500+r.rng.IntN(1000)) * time.Millisecond)
	}
}

// progress begins and ends answers, and ends the servers that begin to answer a request with the tainted part.
func (r *taintedRun) progress() {
	for _, id := range r.ids() {
		a := r.running[id]
		switch {
		case a == nil || a.server == "" || r.now.Before(a.beginsAt):
		case a.tainted:
			r.crashes++
			if r.crashes == 5 {
				r.fifthCrash = r.now
			}
			r.end(a.server)
		case !a.begun:
			a.begun = true
			r.hosts[a.host].Progress(r.now, id, 1)
		case !r.now.Before(a.endsAt):
			r.finish(id, request.Completed)
		}
	}
}

// ids returns the IDs of the open requests in the same order in each run.
func (r *taintedRun) ids() []request.ID { return slices.Sorted(maps.Keys(r.running)) }

// end ends a server, which is back after 3 s.
func (r *taintedRun) end(server string) {
	r.downTo[server] = r.now.Add(3 * time.Second)
	for _, id := range r.ids() {
		if a := r.running[id]; a != nil && a.server == server {
			r.finish(id, request.Broken)
		}
	}
}

func (r *taintedRun) outage() {
	for i := 0; i < len(r.servers); i += 3 {
		r.end(r.servers[i].ID)
	}
}

func (r *taintedRun) finish(id request.ID, outcome request.Outcome) {
	a := r.running[id]
	res := request.Result{ID: id, Server: a.server, Outcome: outcome, Resumable: true}
	if a.begun {
		res.Delivered = 1
	}
	a.server = ""
	if outcome == request.Completed {
		delete(r.running, id)
	}
	r.carryOut(a.host, r.hosts[a.host].Finish(r.now, res))
}

// TestPartThatCrashesServers guards against requests with one part in their prompts that crash server after server, each
// with another content and at another host, and against the refusal of sound requests that share the rest with them.
func TestPartThatCrashesServers(t *testing.T) {
	const length = 36 * time.Second
	base := taintedLoad{hosts: 7, servers: 9, perSecond: 33, share: 0.05, from: 4 * time.Second, until: 30 * time.Second}
	with := func(modify func(*taintedLoad)) taintedLoad {
		l := base
		modify(&l)
		return l
	}
	tests := map[string]taintedLoad{
		"a new part in one of twenty requests": base,
		"a new part in half of the requests":   with(func(l *taintedLoad) { l.share = 0.5 }),
		"a part that was sound before":         with(func(l *taintedLoad) { l.share, l.soundBefore, l.soundHeldPercent = 0.1, true, 5 }),
		"a part from the first request on":     with(func(l *taintedLoad) { l.from = 0 }),
		"servers that crash for other reasons too": with(func(l *taintedLoad) {
			l.outages = []time.Duration{3 * time.Second, 6 * time.Second, 9 * time.Second, 14 * time.Second}
		}),
		"a part that always follows the same part": with(func(l *taintedLoad) { l.share, l.alone, l.pairedFrom, l.soundHeldPercent = 0.1, true, 8*time.Second, 5 }),
		"many hosts and servers":                   with(func(l *taintedLoad) { l.hosts, l.servers, l.perSecond = 30, 40, 200 }),
		"few requests at each of many hosts":       with(func(l *taintedLoad) { l.hosts, l.share = 30, 0.1 }),
		"no part, but servers that end in a series": with(func(l *taintedLoad) {
			l.share, l.outages = 0, []time.Duration{4 * time.Second, 6 * time.Second, 8 * time.Second, 10 * time.Second, 12 * time.Second}
		}),
	}
	for name, load := range tests {
		seeds := uint64(3)
		if load.hosts > base.hosts {
			seeds = 1
		}
		for seed := range seeds {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				r := newTaintedRun(load, seed)
				if load.share == 0 {
					r.fifthCrash = start.Add(load.outages[0])
				}
				r.run(length)
				if r.taintedAfter > maxTaintedAfter {
					t.Errorf("%d requests with the part reached servers later than %s after the fifth crash, want at most %d; %d crashes", r.taintedAfter, contactTime, maxTaintedAfter, r.crashes)
				}
				if r.soundHeld > r.soundN*load.soundHeldPercent/100 || r.soundSent < r.soundN/2 {
					t.Errorf("of %d sound requests, %d were refused as suspects and %d sent at once", r.soundN, r.soundHeld, r.soundSent)
				}
			})
		}
	}
}
