package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"shallotramp/internal/ops/chart"
	"shallotramp/internal/provider/fake"
	"shallotramp/internal/traffic/request"
)

// fault is one of the failures that the brief lists, as far as it touches a booking.
type fault int

const (
	platformAnswersLost fault = iota
	platformDown
	platformSlow
	staleReads
	platformThrottles
	serviceAnswersLost
	serviceRefuses
	serviceLate
	hostsPause
	hostsVanish
	queueRefuses
	faultCount
)

var faultNames = [...]string{
	"platform answers lost", "platform down", "platform slow", "stale reads", "platform throttles",
	"service answers lost", "service refuses connections", "service runs late", "hosts pause", "hosts vanish", "queue refuses",
}

// defect is a fault of the protocol itself, which the checks must catch.
type defect int

const (
	sound defect = iota
	sendWithoutConfirmation
	unconditionalWrites
	refusalWithoutProof
	sendWithoutClaim
	releaseAfterSending
)

// node is a host of the world.
type node struct {
	core   *Core
	gone   bool
	paused time.Duration
	ticks  int
}

type queued struct {
	at    time.Duration
	order int
	node  *node
	run   func()
}

// sending is one request of a caller and what came back.
type sending struct {
	client    int
	key       int
	id        request.ID
	print     Fingerprint
	node      *node
	call, end time.Duration
	// told is set when the caller got an answer itself; else it gave up or its host vanished.
	told    bool
	verdict Verdict
	// body is the run that the answer tells of.
	body string
	// neverSent tells that this request was refused as not run.
	neverSent bool
}

// run is one execution on the service.
type run struct {
	at   time.Duration
	id   request.ID
	body string
}

// world runs cores against the platform's stand-in, one event at a time in an order drawn from a seed.
type world struct {
	rng      *rand.Rand
	cfg      Config
	on       [faultCount]bool
	store    *fake.Store
	now      time.Duration
	order    int
	queue    []queued
	nodes    []*node
	starts   int
	sent     []*sending
	runs     map[int][]run
	broken   defect
	taken    map[chart.Transition[State, Event]]bool
	problems []string
}

const (
	worldNodes, worldKeys = 3, 3
	worldCalls            = 4
	faultyTime            = 40 * time.Second
	// callerPatience is when a caller gives up and sends again.
	callerPatience = 6 * time.Second
)

func newWorld(seed uint64, cfg Config, faults ...fault) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), cfg: cfg, store: fake.NewStore(), runs: map[int][]run{},
		taken: map[chart.Transition[State, Event]]bool{},
	}
	for _, f := range faults {
		w.on[f] = true
	}
	for range worldNodes {
		w.nodes = append(w.nodes, w.newNode())
	}
	for key := range worldKeys {
		w.client(2*key, key)
		if w.chance(0.5) {
			// A second client of the same organisation uses the same key.
			w.client(2*key+1, key)
		}
	}
	return w
}

func (w *world) newNode() *node {
	w.starts++
	n := &node{core: NewCore(w.cfg, fmt.Sprintf("h%d", w.starts), rand.New(rand.NewPCG(w.rng.Uint64(), 1)))}
	n.core.notify = func(_ request.ID, t chart.Transition[State, Event]) { w.taken[t] = true }
	return n
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) faulty(f fault) bool { return w.on[f] && w.now < faultyTime }

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

func clock(now time.Duration) time.Time { return time.Unix(1_800_000_000, 0).Add(now) }

func (w *world) after(d time.Duration, n *node, run func()) {
	w.order++
	w.queue = append(w.queue, queued{w.now + d, w.order, n, run})
}

// run takes events in order of time until none is left before end.
func (w *world) run(end time.Duration) {
	for {
		first := -1
		for i, q := range w.queue {
			if first < 0 || q.at < w.queue[first].at || q.at == w.queue[first].at && q.order < w.queue[first].order {
				first = i
			}
		}
		if first < 0 || w.queue[first].at > end {
			w.now = end
			return
		}
		q := w.queue[first]
		w.queue[first] = w.queue[len(w.queue)-1]
		w.queue = w.queue[:len(w.queue)-1]
		w.now = q.at
		switch {
		case q.node == nil:
			q.run()
		case q.node.gone:
		case q.node.paused > w.now:
			w.queue = append(w.queue, queued{q.node.paused, q.order, q.node, q.run})
		default:
			q.run()
		}
	}
}

// step gives one event to a host's core and carries out its effects.
func (w *world) step(n *node, f func(now time.Time) []Effect) {
	for _, e := range f(clock(w.now)) {
		w.effect(n, e)
	}
	if next := n.core.NextTick(); !next.IsZero() {
		n.ticks++
		tick := n.ticks
		w.after(max(0, next.Sub(clock(w.now))), n, func() {
			if tick == n.ticks {
				w.step(n, n.core.Tick)
			}
		})
	}
	if w.faulty(hostsPause) && w.chance(0.06) {
		n.paused = w.now + w.upTo(15*time.Second)
	}
	if w.faulty(hostsVanish) && w.chance(0.02) {
		w.vanish(n)
	}
}

func (w *world) vanish(n *node) {
	n.gone = true
	for i, o := range w.nodes {
		if o == n {
			w.nodes[i] = w.newNode()
		}
	}
}

func (w *world) effect(n *node, e Effect) {
	switch e.Kind {
	case ReadShard, WriteShard:
		w.platform(n, e)
	case Proceed:
		if w.broken == sendWithoutClaim {
			w.deliver(e.ID, func(time.Duration, Result) {})
			return
		}
		w.dispatch(n, e.ID)
	case SendCall:
		w.after(w.gap(), n, func() { w.send(n, e) })
	case Tell:
		w.answer(e.ID, e.Verdict, string(e.Reply.Body))
	}
}

// gap is the time between two steps of one host's threads; a paused host may stop in any of them.
func (w *world) gap() time.Duration {
	d := w.upTo(2 * time.Millisecond)
	if w.faulty(hostsPause) && w.chance(0.1) {
		d += w.upTo(20 * time.Second)
	}
	return d
}

// dispatch stands for the queue and the choice of a server.
func (w *world) dispatch(n *node, id request.ID) {
	refused := w.faulty(queueRefuses) && w.chance(0.4)
	w.after(w.upTo(500*time.Millisecond), n, func() {
		if refused && w.broken == refusalWithoutProof {
			w.answer(id, NeverRan, "")
			return
		}
		if refused {
			w.step(n, func(now time.Time) []Effect { return n.core.Refuse(now, id) })
			return
		}
		w.step(n, func(now time.Time) []Effect { return n.core.Claim(now, id) })
		if w.faulty(queueRefuses) && w.chance(0.2) {
			// The caller's deadline or a withdrawn key ends the request while it is being claimed.
			w.after(0, n, func() { w.withdraw(n, id) })
		}
	})
}

func (w *world) withdraw(n *node, id request.ID) {
	if k, ok := n.core.calls[id]; ok && k.machine.State() == Claiming {
		w.step(n, func(now time.Time) []Effect { return n.core.RefuseUnsent(now, id) })
	}
}

// platform carries a call to the stand-in, with the faults that are on.
func (w *world) platform(n *node, e Effect) {
	const timeout = 2 * time.Second
	there, back := time.Millisecond+w.upTo(4*time.Millisecond), time.Millisecond+w.upTo(4*time.Millisecond)
	if w.faulty(platformSlow) && w.chance(0.5) {
		there, back = w.upTo(3*time.Second), w.upTo(time.Second)
	}
	lost := there+back > timeout || w.faulty(platformAnswersLost) && w.chance(0.4)
	if lost {
		back = timeout
		w.after(timeout, n, func() { w.step(n, func(now time.Time) []Effect { return w.noAnswer(n, now, e) }) })
	}
	w.after(there, nil, func() {
		done := w.perform(n, e)
		if !lost {
			w.after(back, n, func() { w.step(n, done) })
		}
	})
}

func (w *world) noAnswer(n *node, now time.Time, e Effect) []Effect {
	if e.Kind == ReadShard {
		return n.core.ReadDone(now, e.Shard, Content{}, "", false)
	}
	if w.broken == sendWithoutConfirmation {
		return n.core.WriteDone(now, e.Shard, Written, "0")
	}
	return n.core.WriteDone(now, e.Shard, Lost, "")
}

// perform makes a call to the stand-in and returns what the host learns.
func (w *world) perform(n *node, e Effect) func(time.Time) []Effect {
	f := fake.Faults{Down: w.faulty(platformDown) && (w.now/time.Second)%12 < 6}
	if w.faulty(staleReads) && w.chance(0.4) {
		f.StaleReads = 1 + w.rng.IntN(6)
	}
	w.store.SetFaults(f)
	if e.Kind == ReadShard {
		content, version, ok := readShard(context.Background(), w.store, e.Shard)
		return func(now time.Time) []Effect { return n.core.ReadDone(now, e.Shard, content, version, ok) }
	}
	if w.broken == unconditionalWrites {
		w.store.SetFaults(fake.Faults{})
		_, e.Version, _ = readShard(context.Background(), w.store, e.Shard)
		w.store.SetFaults(f)
	}
	o, version := Denied, ""
	if !w.faulty(platformThrottles) || !w.chance(0.4) {
		o, version = writeShard(context.Background(), w.store, e)
	}
	return func(now time.Time) []Effect { return n.core.WriteDone(now, e.Shard, o, version) }
}

// send is the traffic side: it looks at the clock directly before the sending.
func (w *world) send(n *node, e Effect) {
	finish := func(d time.Duration, r Result) {
		if w.broken == releaseAfterSending && r.Kind == ServerLost {
			w.after(d, n, func() { w.step(n, func(now time.Time) []Effect { return n.core.RefuseUnsent(now, e.ID) }) })
			return
		}
		w.after(d, n, func() { w.step(n, func(now time.Time) []Effect { return n.core.Finish(now, e.ID, r) }) })
	}
	if !clock(w.now).Before(e.SendBefore) || w.faulty(serviceRefuses) && w.chance(0.5) {
		finish(time.Millisecond, Result{Kind: ServerUnreached})
		if w.chance(0.5) {
			w.after(5*time.Millisecond, n, func() { w.step(n, func(now time.Time) []Effect { return n.core.Refuse(now, e.ID) }) })
		} else {
			w.after(5*time.Millisecond, n, func() { w.step(n, func(now time.Time) []Effect { return n.core.Claim(now, e.ID) }) })
		}
		return
	}
	w.after(w.gap(), nil, func() { w.deliver(e.ID, finish) })
}

// deliver brings a call to the service, which runs it whenever it comes.
func (w *world) deliver(id request.ID, finish func(time.Duration, Result)) {
	s := w.sending(id)
	d := w.upTo(50 * time.Millisecond)
	if w.faulty(serviceLate) && w.chance(0.5) {
		d = w.upTo(12 * time.Second)
	}
	body := fmt.Sprintf("%s by %s", s.print, id)
	w.after(d, nil, func() {
		if s.neverSent {
			w.problem("%s ran after it was refused as not run", id)
		}
		w.runs[s.key] = append(w.runs[s.key], run{w.now, id, body})
	})
	switch {
	case w.faulty(serviceAnswersLost) && w.chance(0.6), d > 5*time.Second:
		// The host gives up, perhaps before the service even begins.
		finish(min(d, 5*time.Second), Result{Kind: ServerLost})
	default:
		finish(d+time.Millisecond, Result{Kind: ServerAnswered, Reply: Reply{Status: 201, Body: []byte(body)}})
		w.after(d+time.Millisecond, s.node, func() { w.answer(id, Replay, body) })
		return
	}
	w.after(min(d, 5*time.Second)+time.Millisecond, s.node, func() { w.answer(id, MayHaveRun, "") })
}

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

func (w *world) sending(id request.ID) *sending {
	for _, s := range w.sent {
		if s.id == id {
			return s
		}
	}
	return nil
}

// client sends a call and, until it has a final answer, sends it again with the same key to any host.
func (w *world) client(client, key int) {
	mark := Fingerprint("a")
	if client%2 == 1 && w.chance(0.3) {
		mark = "b"
	}
	w.after(w.upTo(20*time.Second), nil, func() { w.request(client, key, mark, 1) })
}

func (w *world) request(client, key int, mark Fingerprint, n int) {
	s := &sending{
		client: client, key: key, print: mark, call: w.now, node: w.nodes[w.rng.IntN(len(w.nodes))],
		id: request.ID(fmt.Sprintf("r%d-%d-%d", client, key, n)),
	}
	w.sent = append(w.sent, s)
	a := Request{ID: s.id, Key: KeyOf("org", "bookings", fmt.Sprint(key)), Fingerprint: mark, Deadline: clock(w.now + 30*time.Second)}
	w.after(w.gap(), s.node, func() { w.step(s.node, func(now time.Time) []Effect { return s.node.core.Begin(now, a) }) })
	w.after(callerPatience+w.upTo(callerPatience), nil, func() { w.again(s, n) })
}

// answer ends the caller's wait. A caller that has given up hears nothing.
func (w *world) answer(id request.ID, v Verdict, body string) {
	s := w.sending(id)
	s.neverSent = s.neverSent || v == NeverRan
	if s.end != 0 {
		return
	}
	s.end, s.told, s.verdict, s.body = w.now, true, v, body
}

func (w *world) again(s *sending, n int) {
	if s.end == 0 {
		s.end = w.now
	}
	if s.told && (s.verdict == Replay && w.chance(0.7) || s.verdict == OtherPrint) || n >= worldCalls {
		return
	}
	w.after(w.upTo(4*time.Second), nil, func() { w.request(s.client, s.key, s.print, n+1) })
}
