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
	"shallotramp/internal/usage/requesttag"
	"shallotramp/internal/usage/window"
)

const (
	windowLength = 5 * time.Minute
	windowGrace  = time.Minute
	leaseTerm    = 10 * time.Second
)

var organisations = []string{"derby-retail", "leicester-fitters", "mid-partners"}

// lockedRand is a random source for several goroutines.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (s *lockedRand) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.Float64() < p
}

func (s *lockedRand) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.IntN(n)
}

func (s *lockedRand) durationN(d time.Duration) time.Duration { return time.Duration(s.intN(int(d))) }

var errDisconnected = errors.New("no connection")

// fakeServers simulates backend servers that count usage. Their counts are the expected usage of the tests.
type fakeServers struct {
	mu           sync.Mutex
	counts       map[string]map[requesttag.Tag]meter.Usage
	disconnected map[string]bool
}

func newFakeServers(names ...string) *fakeServers {
	e := &fakeServers{counts: map[string]map[requesttag.Tag]meter.Usage{}, disconnected: map[string]bool{}}
	for _, n := range names {
		e.counts[n] = map[requesttag.Tag]meter.Usage{}
	}
	return e
}

func (e *fakeServers) names() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for n := range e.counts {
		out = append(out, n)
	}
	return out
}

func (e *fakeServers) count(server string, t requesttag.Tag, u meter.Usage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[server][t] = e.counts[server][t].Add(u)
}

func (e *fakeServers) setDisconnected(server string, disconnected bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disconnected[server] = disconnected
}

// Counts implements [ledger.CountReader].
func (e *fakeServers) Counts(_ context.Context, server, prefix string) (map[requesttag.Tag]meter.Usage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.disconnected[server] {
		return nil, errDisconnected
	}
	out := map[requesttag.Tag]meter.Usage{}
	for t, u := range e.counts[server] {
		if t.Incarnation == prefix || prefix == "" || strings.HasPrefix(prefix, t.Incarnation) && strings.HasPrefix(t.String(), prefix) {
			out[t] = u
		}
	}
	return out, nil
}

// usage returns the sum of the servers' counts by organisation.
func (e *fakeServers) usage() window.Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := map[uint64]string{}
	for _, o := range organisations {
		names[requesttag.HashOrganisation(o)] = o
	}
	out := window.Usage{}
	seen := map[requesttag.Tag]bool{}
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

// fakeLease is a lease that may be acquired at any time. Each reporter has its own [leaseView] of it, so that several
// reporters may consider themselves the holder at the same time.
type fakeLease struct {
	mu     sync.Mutex
	holder string
	fence  uint64
}

func (t *fakeLease) acquire(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder = name
	t.fence++
}

// leaseView is one reporter's view of the lease. After another reporter has acquired the lease, the view stays valid
// until its term ends.
type leaseView struct {
	lease      *fakeLease
	name       string
	mu         sync.Mutex
	fence      uint64
	validUntil time.Time
	// neverExpires is set for a view that stays valid forever once the reporter has held the lease.
	neverExpires bool
}

func (s *leaseView) Held(now time.Time) (uint64, bool) {
	s.lease.mu.Lock()
	holder, fence := s.lease.holder, s.lease.fence
	s.lease.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if holder == s.name {
		s.fence, s.validUntil = fence, now.Add(leaseTerm)
	}
	return s.fence, s.fence > 0 && (s.neverExpires || now.Before(s.validUntil))
}

func (s *leaseView) Valid(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence > 0 && (s.neverExpires || at.Before(s.validUntil))
}

// simulation runs hosts and reporters with injected faults.
type simulation struct {
	rng         *lockedRand
	store       *fake.Store
	servers     *fakeServers
	sink        *fake.ReportReceiver
	lease       *fakeLease
	wg          sync.WaitGroup
	mu          sync.Mutex
	connections []*fake.FaultyClient
	faultsEnded bool
	killedHosts int
	// failedIncarnations lists the incarnations of killed hosts, as other hosts would know them from heartbeats.
	failedIncarnations []string
	reporterCount      int
	leaseNeverExpires  bool
	// withoutServerCounts disables the recovery from the servers' counts.
	withoutServerCounts bool
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		rng: &lockedRand{r: rand.New(rand.NewPCG(seed, 1))}, store: fake.NewStore(),
		servers: newFakeServers("runner-1", "runner-2", "runner-3"), sink: fake.NewReportReceiver(), lease: &fakeLease{},
	}
}

func (w *simulation) faultsHaveEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faultsEnded
}

func (w *simulation) connect(kill func()) *fake.FaultyClient {
	l := fake.NewFaultyClient(w.store, rand.New(rand.NewPCG(uint64(w.rng.intN(1<<30)), 2)), kill)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.faultsEnded {
		l.SetFaultRate(0.15)
	}
	w.connections = append(w.connections, l)
	return l
}

// runHost runs a host until ctx ends. It starts a new incarnation after each kill.
func (w *simulation) runHost(ctx context.Context, name string) {
	defer w.wg.Done()
	for ctx.Err() == nil {
		w.runIncarnation(ctx, name)
		time.Sleep(w.rng.durationN(20 * time.Second))
	}
}

func (w *simulation) runIncarnation(ctx context.Context, name string) {
	hostCtx, kill := context.WithCancel(ctx)
	defer kill()
	l := w.connect(kill)
	usageLedger := ledger.New(l, name, "mid-a", ledger.WithCountReader(w.servers), ledger.WithWindowLength(windowLength))
	done := make(chan error, 1)
	go usageLedger.Run(hostCtx, done)
	if !w.faultsHaveEnded() {
		context.AfterFunc(hostCtx, func() {
			if ctx.Err() == nil {
				l.Stop()
			}
		})
		time.AfterFunc(time.Minute+w.rng.durationN(20*time.Minute), func() {
			if !w.faultsHaveEnded() {
				kill()
			}
		})
	}
	var requests sync.WaitGroup
	for hostCtx.Err() == nil {
		requests.Go(func() { w.runRequest(hostCtx, usageLedger) })
		time.Sleep(time.Second + w.rng.durationN(8*time.Second))
	}
	requests.Wait()
	<-done
	if ctx.Err() == nil {
		w.mu.Lock()
		w.killedHosts++
		w.failedIncarnations = append(w.failedIncarnations, usageLedger.Incarnation())
		w.mu.Unlock()
		return
	}
	_ = usageLedger.Close(context.WithoutCancel(ctx))
}

// runRequest runs one request with up to three attempts. An attempt ends with an exact count, is interrupted, or ends
// with its host.
func (w *simulation) runRequest(hostCtx context.Context, usageLedger *ledger.Ledger) {
	organisation := organisations[w.rng.intN(len(organisations))]
	r := usageLedger.Begin(organisation)
	t, err := requesttag.Parse(r.ID())
	if err != nil {
		panic(err)
	}
	servers := w.servers.names()
	for range 3 {
		server := servers[w.rng.intN(len(servers))]
		u := meter.Usage{PromptTokens: int64(1 + w.rng.intN(50))}
		w.servers.count(server, t, u)
		interrupted := w.rng.chance(0.2)
		for range 1 + w.rng.intN(6) {
			time.Sleep(w.rng.durationN(3 * time.Second))
			out := meter.Usage{OutputTokens: int64(1 + w.rng.intN(20))}
			w.servers.count(server, t, out)
			if hostCtx.Err() != nil {
				// The host was killed, so only the server has counted this usage.
				return
			}
			u = u.Add(out)
		}
		if !interrupted {
			u.Requests = 1
			r.Attempt(server, u, true)
			break
		}
		// After an interruption the host knows less usage than the server has counted.
		w.servers.count(server, t, meter.Usage{OutputTokens: 1})
		r.Attempt(server, u, false)
	}
	r.End()
}

func (w *simulation) failedHosts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.failedIncarnations...)
}

// runReporters runs reporters until ctx ends. It starts a new one after each kill.
func (w *simulation) runReporters(ctx context.Context) {
	defer w.wg.Done()
	for ctx.Err() == nil {
		reporterCtx, kill := context.WithCancel(ctx)
		w.mu.Lock()
		w.reporterCount++
		name := fmt.Sprintf("reporter-%d", w.reporterCount)
		w.mu.Unlock()
		s := &leaseView{lease: w.lease, name: name, neverExpires: w.leaseNeverExpires}
		opts := []reporter.Option{reporter.WithWindow(windowLength, windowGrace), reporter.WithLeaseTerm(leaseTerm)}
		if !w.withoutServerCounts {
			opts = append(opts, reporter.WithCountReader(w.servers, w.servers.names, func() []string { return organisations }))
		}
		r := reporter.New(name, w.connect(kill), s, w.sink, opts...)
		for reporterCtx.Err() == nil {
			if w.rng.chance(0.05) {
				w.lease.acquire(name)
			}
			for _, incarnation := range w.failedHosts() {
				r.HostFailed(time.Now(), incarnation)
			}
			_ = r.Step(reporterCtx)
			time.Sleep(time.Second + w.rng.durationN(9*time.Second))
		}
		kill()
	}
}

// injectFaults repeatedly disconnects or delays processes, servers or the platform for a random time.
func (w *simulation) injectFaults(ctx context.Context) {
	defer w.wg.Done()
	for ctx.Err() == nil && !w.faultsHaveEnded() {
		time.Sleep(w.rng.durationN(3 * time.Minute))
		switch w.rng.intN(5) {
		case 0:
			w.store.SetFaults(fake.Faults{Down: true})
		case 1:
			w.store.SetFaults(fake.Faults{Delay: w.rng.durationN(3 * time.Second)})
		case 2:
			w.sink.SetFaults(fake.ReportFaults{LoseAnswers: w.rng.intN(8), Delay: w.rng.durationN(7 * time.Second)})
		case 3:
			w.mu.Lock()
			l := w.connections[w.rng.intN(len(w.connections))]
			w.mu.Unlock()
			l.SetDisconnected(true)
			time.AfterFunc(w.rng.durationN(5*time.Minute), func() { l.SetDisconnected(false) })
		case 4:
			w.servers.setDisconnected(w.servers.names()[w.rng.intN(3)], true)
		}
		time.Sleep(w.rng.durationN(2 * time.Minute))
		w.clearFaults()
	}
}

func (w *simulation) clearFaults() {
	w.store.SetFaults(fake.Faults{})
	// After each fault the response to one report is lost, so that each run has reports that are sent again.
	w.sink.SetFaults(fake.ReportFaults{LoseAnswers: 1})
	for _, n := range w.servers.names() {
		w.servers.setDisconnected(n, false)
	}
}

// endFaults ends all faults and prevents new ones.
func (w *simulation) endFaults() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultsEnded = true
	w.clearFaults()
	for _, l := range w.connections {
		l.SetDisconnected(false)
		l.SetFaultRate(0)
	}
}

// reported returns the sum of the first accepted reports of all windows by organisation, and the different digests and
// figures that were reported for each window.
func (w *simulation) reported() (window.Usage, map[window.ID]map[string]bool) {
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
