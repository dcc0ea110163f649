package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"shallotramp/internal/ops/statechart"
	"shallotramp/internal/provider/fake"
	"shallotramp/internal/traffic/request"
)

// fault is a kind of failure that the simulation can inject.
type fault int

const (
	storeResponsesLost fault = iota
	storeDown
	storeSlow
	staleReads
	storeThrottles
	serverResponsesLost
	serverRefuses
	serverSlow
	hostsPause
	hostsCrash
	queueRefuses
	faultCount
)

var faultNames = [...]string{
	"store responses lost", "store down", "store slow", "stale reads", "store throttles",
	"server responses lost", "server refuses connections", "server slow", "hosts pause", "hosts crash", "queue refuses",
}

// defect is a deliberate error in the protocol, which the checks must detect.
type defect int

const (
	noDefect defect = iota
	sendWithoutConfirmation
	unconditionalWrites
	refusalWithoutProof
	sendWithoutClaim
	releaseAfterSending
)

// host is a simulated host.
type host struct {
	core        *Core
	crashed     bool
	pausedUntil time.Duration
	ticks       int
}

// scheduledEvent runs at a simulated time, if its host has not crashed. It has no host if it is not on a host.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	host     *host
	run      func()
}

// clientRequest is one request of a caller and its result.
type clientRequest struct {
	client      int
	key         int
	id          request.ID
	fingerprint Fingerprint
	host        *host
	begun, end  time.Duration
	// answered is set when the caller got an answer; otherwise it gave up or its host crashed.
	answered bool
	verdict  Verdict
	// body names the execution whose reply the caller got.
	body string
	// refusedUnsent is set when this request got the verdict [NeverRan].
	refusedUnsent bool
}

// execution is one execution of a call on the backend server.
type execution struct {
	at   time.Duration
	id   request.ID
	body string
}

// simulation runs hosts and clients against a fake store. It runs one event at a time, in an order that
// depends only on the seed.
type simulation struct {
	rng         *rand.Rand
	cfg         Config
	enabled     [faultCount]bool
	store       *fake.Store
	now         time.Duration
	eventCount  int
	events      []scheduledEvent
	hosts       []*host
	hostStarts  int
	requests    []*clientRequest
	runs        map[int][]execution
	defect      defect
	transitions map[statechart.Transition[State, Event]]bool
	problems    []string
}

const (
	simulatedHosts, simulatedKeys = 3, 3
	// maxSends is the number of times that a client sends a call at most.
	maxSends    = 4
	faultPeriod = 40 * time.Second
	// minCallerTimeout is the shortest time after which a caller gives up and resends the call; the longest is twice that.
	minCallerTimeout = 6 * time.Second
)

func newSimulation(seed uint64, cfg Config, faults ...fault) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), cfg: cfg, store: fake.NewStore(), runs: map[int][]execution{},
		transitions: map[statechart.Transition[State, Event]]bool{},
	}
	for _, f := range faults {
		sim.enabled[f] = true
	}
	for range simulatedHosts {
		sim.hosts = append(sim.hosts, sim.newHost())
	}
	for key := range simulatedKeys {
		sim.client(2*key, key)
		if sim.chance(0.5) {
			// A second client of the same organisation uses the same key.
			sim.client(2*key+1, key)
		}
	}
	return sim
}

func (sim *simulation) newHost() *host {
	sim.hostStarts++
	h := &host{core: NewCore(sim.cfg, fmt.Sprintf("h%d", sim.hostStarts), rand.New(rand.NewPCG(sim.rng.Uint64(), 1)))}
	h.core.onTransition = func(_ request.ID, t statechart.Transition[State, Event]) { sim.transitions[t] = true }
	return h
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

func (sim *simulation) active(f fault) bool { return sim.enabled[f] && sim.now < faultPeriod }

func (sim *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d)))
}

func timeAt(now time.Duration) time.Time { return time.Unix(1_800_000_000, 0).Add(now) }

func (sim *simulation) after(d time.Duration, h *host, run func()) {
	sim.eventCount++
	sim.events = append(sim.events, scheduledEvent{sim.now + d, sim.eventCount, h, run})
}

// run runs the events in order of time until none is left before end.
func (sim *simulation) run(end time.Duration) {
	for {
		first := -1
		for i, e := range sim.events {
			if first < 0 || e.at < sim.events[first].at || e.at == sim.events[first].at && e.sequence < sim.events[first].sequence {
				first = i
			}
		}
		if first < 0 || sim.events[first].at > end {
			sim.now = end
			return
		}
		e := sim.events[first]
		sim.events[first] = sim.events[len(sim.events)-1]
		sim.events = sim.events[:len(sim.events)-1]
		sim.now = e.at
		switch {
		case e.host == nil:
			e.run()
		case e.host.crashed:
		case e.host.pausedUntil > sim.now:
			sim.events = append(sim.events, scheduledEvent{e.host.pausedUntil, e.sequence, e.host, e.run})
		default:
			e.run()
		}
	}
}

// step calls the core of a host with f and carries out the effects.
func (sim *simulation) step(h *host, f func(now time.Time) []Effect) {
	for _, e := range f(timeAt(sim.now)) {
		sim.execute(h, e)
	}
	if next := h.core.NextTick(); !next.IsZero() {
		h.ticks++
		tick := h.ticks
		sim.after(max(0, next.Sub(timeAt(sim.now))), h, func() {
			if tick == h.ticks {
				sim.step(h, h.core.Tick)
			}
		})
	}
	if sim.active(hostsPause) && sim.chance(0.06) {
		h.pausedUntil = sim.now + sim.randomDuration(15*time.Second)
	}
	if sim.active(hostsCrash) && sim.chance(0.02) {
		sim.crash(h)
	}
}

func (sim *simulation) crash(h *host) {
	h.crashed = true
	for i, o := range sim.hosts {
		if o == h {
			sim.hosts[i] = sim.newHost()
		}
	}
}

func (sim *simulation) execute(h *host, e Effect) {
	switch e.Kind {
	case ReadShard, WriteShard:
		sim.callStore(h, e)
	case Proceed:
		if sim.defect == sendWithoutClaim {
			sim.runOnServer(e.ID, func(time.Duration, Result) {})
			return
		}
		sim.dispatch(h, e.ID)
	case SendCall:
		sim.after(sim.schedulingDelay(), h, func() { sim.sendToServer(h, e) })
	case Tell:
		sim.respond(e.ID, e.Verdict, string(e.Reply.Body))
	}
}

// schedulingDelay returns a random delay between two steps on a host. If hosts pause, it may contain a pause.
func (sim *simulation) schedulingDelay() time.Duration {
	d := sim.randomDuration(2 * time.Millisecond)
	if sim.active(hostsPause) && sim.chance(0.1) {
		d += sim.randomDuration(20 * time.Second)
	}
	return d
}

// dispatch simulates the queue and the choice of a server.
func (sim *simulation) dispatch(h *host, id request.ID) {
	refused := sim.active(queueRefuses) && sim.chance(0.4)
	sim.after(sim.randomDuration(500*time.Millisecond), h, func() {
		if refused && sim.defect == refusalWithoutProof {
			sim.respond(id, NeverRan, "")
			return
		}
		if refused {
			sim.step(h, func(now time.Time) []Effect { return h.core.Refuse(now, id) })
			return
		}
		sim.step(h, func(now time.Time) []Effect { return h.core.Claim(now, id) })
		if sim.active(queueRefuses) && sim.chance(0.2) {
			// The caller's deadline or a withdrawn API key ends the request while it is being claimed.
			sim.after(0, h, func() { sim.refuseWhileClaiming(h, id) })
		}
	})
}

func (sim *simulation) refuseWhileClaiming(h *host, id request.ID) {
	if req, ok := h.core.requests[id]; ok && req.machine.State() == Claiming {
		sim.step(h, func(now time.Time) []Effect { return h.core.RefuseUnsent(now, id) })
	}
}

// callStore reads or writes a shard of the fake store, subject to the active faults.
func (sim *simulation) callStore(h *host, e Effect) {
	const timeout = 2 * time.Second
	requestDelay, responseDelay := time.Millisecond+sim.randomDuration(4*time.Millisecond), time.Millisecond+sim.randomDuration(4*time.Millisecond)
	if sim.active(storeSlow) && sim.chance(0.5) {
		requestDelay, responseDelay = sim.randomDuration(3*time.Second), sim.randomDuration(time.Second)
	}
	lost := requestDelay+responseDelay > timeout || sim.active(storeResponsesLost) && sim.chance(0.4)
	if lost {
		responseDelay = timeout
		sim.after(timeout, h, func() { sim.step(h, func(now time.Time) []Effect { return sim.timeOut(h, now, e) }) })
	}
	sim.after(requestDelay, nil, func() {
		done := sim.accessStore(h, e)
		if !lost {
			sim.after(responseDelay, h, func() { sim.step(h, done) })
		}
	})
}

func (sim *simulation) timeOut(h *host, now time.Time, e Effect) []Effect {
	if e.Kind == ReadShard {
		return h.core.ReadDone(now, e.Shard, Content{}, "", false)
	}
	if sim.defect == sendWithoutConfirmation {
		return h.core.WriteDone(now, e.Shard, Written, "0")
	}
	return h.core.WriteDone(now, e.Shard, Lost, "")
}

// accessStore reads or writes the fake store and returns the event that gives the result to the core.
func (sim *simulation) accessStore(h *host, e Effect) func(time.Time) []Effect {
	f := fake.Faults{Down: sim.active(storeDown) && (sim.now/time.Second)%12 < 6}
	if sim.active(staleReads) && sim.chance(0.4) {
		f.StaleReads = 1 + sim.rng.IntN(6)
	}
	sim.store.SetFaults(f)
	if e.Kind == ReadShard {
		content, version, ok := readShard(context.Background(), sim.store, e.Shard)
		return func(now time.Time) []Effect { return h.core.ReadDone(now, e.Shard, content, version, ok) }
	}
	if sim.defect == unconditionalWrites {
		sim.store.SetFaults(fake.Faults{})
		_, e.Version, _ = readShard(context.Background(), sim.store, e.Shard)
		sim.store.SetFaults(f)
	}
	o, version := Denied, ""
	if !sim.active(storeThrottles) || !sim.chance(0.4) {
		o, version = writeShard(context.Background(), sim.store, e)
	}
	return func(now time.Time) []Effect { return h.core.WriteDone(now, e.Shard, o, version) }
}

// sendToServer simulates the owner of a request, which checks the clock immediately before it sends.
func (sim *simulation) sendToServer(h *host, e Effect) {
	finish := func(d time.Duration, r Result) {
		if sim.defect == releaseAfterSending && r.Kind == ServerLost {
			sim.after(d, h, func() { sim.step(h, func(now time.Time) []Effect { return h.core.RefuseUnsent(now, e.ID) }) })
			return
		}
		sim.after(d, h, func() { sim.step(h, func(now time.Time) []Effect { return h.core.Finish(now, e.ID, r) }) })
	}
	if !timeAt(sim.now).Before(e.SendBefore) || sim.active(serverRefuses) && sim.chance(0.5) {
		finish(time.Millisecond, Result{Kind: ServerUnreached})
		if sim.chance(0.5) {
			sim.after(5*time.Millisecond, h, func() { sim.step(h, func(now time.Time) []Effect { return h.core.Refuse(now, e.ID) }) })
		} else {
			sim.after(5*time.Millisecond, h, func() { sim.step(h, func(now time.Time) []Effect { return h.core.Claim(now, e.ID) }) })
		}
		return
	}
	sim.after(sim.schedulingDelay(), nil, func() { sim.runOnServer(e.ID, finish) })
}

// runOnServer delivers a call to the backend server, which runs it after a delay.
func (sim *simulation) runOnServer(id request.ID, finish func(time.Duration, Result)) {
	req := sim.find(id)
	d := sim.randomDuration(50 * time.Millisecond)
	if sim.active(serverSlow) && sim.chance(0.5) {
		d = sim.randomDuration(12 * time.Second)
	}
	body := fmt.Sprintf("%s by %s", req.fingerprint, id)
	sim.after(d, nil, func() {
		if req.refusedUnsent {
			sim.addProblem("%s ran after it was refused as not run", id)
		}
		sim.runs[req.key] = append(sim.runs[req.key], execution{sim.now, id, body})
	})
	switch {
	case sim.active(serverResponsesLost) && sim.chance(0.6), d > 5*time.Second:
		// The host gives up, possibly before the server runs the call.
		finish(min(d, 5*time.Second), Result{Kind: ServerLost})
	default:
		finish(d+time.Millisecond, Result{Kind: ServerAnswered, Reply: Reply{Status: 201, Body: []byte(body)}})
		sim.after(d+time.Millisecond, req.host, func() { sim.respond(id, Replay, body) })
		return
	}
	sim.after(min(d, 5*time.Second)+time.Millisecond, req.host, func() { sim.respond(id, MayHaveRun, "") })
}

func (sim *simulation) addProblem(format string, args ...any) {
	sim.problems = append(sim.problems, fmt.Sprintf(format, args...))
}

func (sim *simulation) find(id request.ID) *clientRequest {
	for _, req := range sim.requests {
		if req.id == id {
			return req
		}
	}
	return nil
}

// client sends a call. Until it has a final answer, it resends the call with the same key to a random host.
func (sim *simulation) client(client, key int) {
	fingerprint := Fingerprint("a")
	if client%2 == 1 && sim.chance(0.3) {
		fingerprint = "b"
	}
	sim.after(sim.randomDuration(20*time.Second), nil, func() { sim.request(client, key, fingerprint, 1) })
}

func (sim *simulation) request(client, key int, fingerprint Fingerprint, n int) {
	req := &clientRequest{
		client: client, key: key, fingerprint: fingerprint, begun: sim.now, host: sim.hosts[sim.rng.IntN(len(sim.hosts))],
		id: request.ID(fmt.Sprintf("r%d-%d-%d", client, key, n)),
	}
	sim.requests = append(sim.requests, req)
	r := Request{ID: req.id, Key: KeyOf("org", "bookings", fmt.Sprint(key)), Fingerprint: fingerprint, Deadline: timeAt(sim.now + 30*time.Second)}
	sim.after(sim.schedulingDelay(), req.host, func() { sim.step(req.host, func(now time.Time) []Effect { return req.host.core.Begin(now, r) }) })
	sim.after(minCallerTimeout+sim.randomDuration(minCallerTimeout), nil, func() { sim.resend(req, n) })
}

// respond gives the caller its answer, unless it has given up.
func (sim *simulation) respond(id request.ID, v Verdict, body string) {
	req := sim.find(id)
	req.refusedUnsent = req.refusedUnsent || v == NeverRan
	if req.end != 0 {
		return
	}
	req.end, req.answered, req.verdict, req.body = sim.now, true, v, body
}

func (sim *simulation) resend(req *clientRequest, n int) {
	if req.end == 0 {
		req.end = sim.now
	}
	if req.answered && (req.verdict == Replay && sim.chance(0.7) || req.verdict == OtherPrint) || n >= maxSends {
		return
	}
	sim.after(sim.randomDuration(4*time.Second), nil, func() { sim.request(req.client, req.key, req.fingerprint, n+1) })
}
