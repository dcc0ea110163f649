package reporter_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"shallotramp/internal/provider/fake"
	"shallotramp/internal/usage/ledger"
	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/reporter"
	"shallotramp/internal/usage/tag"
	"shallotramp/internal/usage/window"
)

const (
	windowLength = 5 * time.Minute
	windowGrace  = time.Minute
	leaseTerm    = 10 * time.Second
)

var organisations = []string{"derby-retail", "leicester-fitters", "mid-partners"}

// source is a seeded source shared by goroutines.
type source struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (s *source) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.Float64() < p
}

func (s *source) n(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.IntN(n)
}

func (s *source) upTo(d time.Duration) time.Duration { return time.Duration(s.n(int(d))) }

var errLine = errors.New("no connection")

// engines are backend servers with their own counts, the truth of each test.
type engines struct {
	mu     sync.Mutex
	counts map[string]map[tag.Tag]meter.Usage
	cut    map[string]bool
}

func newEngines(names ...string) *engines {
	e := &engines{counts: map[string]map[tag.Tag]meter.Usage{}, cut: map[string]bool{}}
	for _, n := range names {
		e.counts[n] = map[tag.Tag]meter.Usage{}
	}
	return e
}

func (e *engines) names() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for n := range e.counts {
		out = append(out, n)
	}
	return out
}

func (e *engines) run(server string, t tag.Tag, u meter.Usage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[server][t] = e.counts[server][t].Add(u)
}

func (e *engines) setCut(server string, cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut[server] = cut
}

// Counts implements [ledger.CountReader].
func (e *engines) Counts(_ context.Context, server, prefix string) (map[tag.Tag]meter.Usage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cut[server] {
		return nil, errLine
	}
	out := map[tag.Tag]meter.Usage{}
	for t, u := range e.counts[server] {
		if t.Incarnation == prefix || prefix == "" || strings.HasPrefix(prefix, t.Incarnation) && strings.HasPrefix(t.String(), prefix) {
			out[t] = u
		}
	}
	return out, nil
}

// truth sums the engines' counts by organisation.
func (e *engines) truth() window.Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := map[uint64]string{}
	for _, o := range organisations {
		names[tag.HashOrganisation(o)] = o
	}
	out := window.Usage{}
	seen := map[tag.Tag]bool{}
	for _, counts := range e.counts {
		for t, u := range counts {
			if !seen[t] {
				u.Requests = 1
			}
			seen[t] = true
			out.Add(names[t.Organisation], u)
		}
	}
	return out
}

// term is a lease whose holder may be believed in by two at once, up to its term and, in tests of
// that, beyond.
type term struct {
	mu     sync.Mutex
	holder string
	fence  uint64
}

func (t *term) take(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder = name
	t.fence++
}

// seat is one reporter's view of the lease: it learns late that the lease moved on.
type seat struct {
	t     *term
	name  string
	mu    sync.Mutex
	fence uint64
	until time.Time
	// deaf seats never learn it: they believe for good.
	deaf bool
}

func (s *seat) Held(now time.Time) (uint64, bool) {
	s.t.mu.Lock()
	holder, fence := s.t.holder, s.t.fence
	s.t.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if holder == s.name {
		s.fence, s.until = fence, now.Add(leaseTerm)
	}
	return s.fence, s.fence > 0 && (s.deaf || now.Before(s.until))
}

func (s *seat) Valid(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence > 0 && (s.deaf || at.Before(s.until))
}

// world runs hosts and reporters among faults.
type world struct {
	src     *source
	store   *fake.Store
	engines *engines
	sink    *fake.Reports
	lease   *term
	wg      sync.WaitGroup
	mu      sync.Mutex
	lines   []*fake.Line
	calm    bool
	kills   int
	// dead lists vanished incarnations, as other hosts know them from heartbeats.
	dead    []string
	reports int
	deaf    bool
	// alone leaves out the servers' own counts.
	alone bool
}

func newWorld(seed uint64) *world {
	return &world{
		src: &source{r: rand.New(rand.NewPCG(seed, 1))}, store: fake.NewStore(),
		engines: newEngines("runner-1", "runner-2", "runner-3"), sink: fake.NewReports(), lease: &term{},
	}
}

func (w *world) isCalm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calm
}

func (w *world) line(kill func()) *fake.Line {
	l := fake.NewLine(w.store, rand.New(rand.NewPCG(uint64(w.src.n(1<<30)), 2)), kill)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.calm {
		l.SetTrouble(0.15)
	}
	w.lines = append(w.lines, l)
	return l
}

// host runs incarnations of one host, each until it is killed, until ctx ends.
func (w *world) host(ctx context.Context, name string) {
	defer w.wg.Done()
	for ctx.Err() == nil {
		w.incarnation(ctx, name)
		time.Sleep(w.src.upTo(20 * time.Second))
	}
}

func (w *world) incarnation(ctx context.Context, name string) {
	life, kill := context.WithCancel(ctx)
	defer kill()
	l := w.line(kill)
	book := ledger.New(l, name, "mid-a", ledger.WithCountReader(w.engines), ledger.WithWindowLength(windowLength))
	done := make(chan error, 1)
	go book.Run(life, done)
	if !w.isCalm() {
		context.AfterFunc(life, func() {
			if ctx.Err() == nil {
				l.End()
			}
		})
		time.AfterFunc(time.Minute+w.src.upTo(20*time.Minute), func() {
			if !w.isCalm() {
				kill()
			}
		})
	}
	var requests sync.WaitGroup
	for life.Err() == nil {
		requests.Go(func() { w.request(life, book) })
		time.Sleep(time.Second + w.src.upTo(8*time.Second))
	}
	requests.Wait()
	<-done
	if ctx.Err() == nil {
		w.mu.Lock()
		w.kills++
		w.dead = append(w.dead, book.Incarnation())
		w.mu.Unlock()
		return
	}
	_ = book.Close(context.WithoutCancel(ctx))
}

// request runs one request, on up to three servers, that ends exactly, breaks off or dies with its host.
func (w *world) request(life context.Context, book *ledger.Ledger) {
	organisation := organisations[w.src.n(len(organisations))]
	r := book.Begin(organisation)
	t, err := tag.Parse(r.ID())
	if err != nil {
		panic(err)
	}
	servers := w.engines.names()
	for range 3 {
		server := servers[w.src.n(len(servers))]
		u := meter.Usage{PromptTokens: int64(1 + w.src.n(50))}
		w.engines.run(server, t, u)
		broken := w.src.chance(0.2)
		for range 1 + w.src.n(6) {
			time.Sleep(w.src.upTo(3 * time.Second))
			out := meter.Usage{OutputTokens: int64(1 + w.src.n(20))}
			w.engines.run(server, t, out)
			if life.Err() != nil {
				// The host is gone; the server counted to here.
				return
			}
			u = u.Add(out)
		}
		if !broken {
			u.Requests = 1
			r.Attempt(server, u, true)
			break
		}
		// What the host saw falls short of what the server did.
		w.engines.run(server, t, meter.Usage{OutputTokens: 1})
		r.Attempt(server, u, false)
	}
	r.End()
}

func (w *world) deadHosts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.dead...)
}

// reporterSeat runs one reporter after the other until ctx ends.
func (w *world) reporterSeat(ctx context.Context) {
	defer w.wg.Done()
	for ctx.Err() == nil {
		life, kill := context.WithCancel(ctx)
		w.mu.Lock()
		w.reports++
		name := fmt.Sprintf("reporter-%d", w.reports)
		w.mu.Unlock()
		s := &seat{t: w.lease, name: name, deaf: w.deaf}
		opts := []reporter.Option{reporter.WithWindow(windowLength, windowGrace), reporter.WithLeaseTerm(leaseTerm)}
		if !w.alone {
			opts = append(opts, reporter.WithCountReader(w.engines, w.engines.names, func() []string { return organisations }))
		}
		r := reporter.New(name, w.line(kill), s, w.sink, opts...)
		for life.Err() == nil {
			if w.src.chance(0.05) {
				w.lease.take(name)
			}
			for _, incarnation := range w.deadHosts() {
				r.HostFailed(time.Now(), incarnation)
			}
			_ = r.Step(life)
			time.Sleep(time.Second + w.src.upTo(9*time.Second))
		}
		kill()
	}
}

// trouble cuts processes, servers and the platform off for a while, again and again.
func (w *world) trouble(ctx context.Context) {
	defer w.wg.Done()
	for ctx.Err() == nil && !w.isCalm() {
		time.Sleep(w.src.upTo(3 * time.Minute))
		switch w.src.n(5) {
		case 0:
			w.store.SetFaults(fake.Faults{Down: true})
		case 1:
			w.store.SetFaults(fake.Faults{Delay: w.src.upTo(3 * time.Second)})
		case 2:
			w.sink.SetFaults(fake.ReportFaults{LoseAnswers: w.src.n(8), Delay: w.src.upTo(7 * time.Second)})
		case 3:
			w.mu.Lock()
			l := w.lines[w.src.n(len(w.lines))]
			w.mu.Unlock()
			l.SetCut(true)
			time.AfterFunc(w.src.upTo(5*time.Minute), func() { l.SetCut(false) })
		case 4:
			w.engines.setCut(w.engines.names()[w.src.n(3)], true)
		}
		time.Sleep(w.src.upTo(2 * time.Minute))
		w.heal()
	}
}

func (w *world) heal() {
	w.store.SetFaults(fake.Faults{})
	// Each fault leaves one answer to be lost, so that each run has reports that are sent again.
	w.sink.SetFaults(fake.ReportFaults{LoseAnswers: 1})
	for _, n := range w.engines.names() {
		w.engines.setCut(n, false)
	}
}

// settle ends all faults for good.
func (w *world) settle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calm = true
	w.heal()
	for _, l := range w.lines {
		l.SetCut(false)
		l.SetTrouble(0)
	}
}

// reported sums the accepted reports by organisation, one for each window.
func (w *world) reported() (window.Usage, map[window.ID]map[string]bool) {
	digests := map[window.ID]map[string]bool{}
	sum := window.Usage{}
	for _, r := range w.sink.All() {
		id := r.Report.Window
		if digests[id] == nil {
			digests[id] = map[string]bool{}
			sum.Merge(r.Report.Figures)
		}
		digests[id][r.Report.Digest+fmt.Sprint(r.Report.Figures)] = true
	}
	return sum, digests
}
