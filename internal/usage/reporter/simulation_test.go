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

func (s *fakeServers) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for n := range s.counts {
		out = append(out, n)
	}
	return out
}

func (s *fakeServers) count(server string, t requesttag.Tag, u meter.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[server][t] = s.counts[server][t].Add(u)
}

func (s *fakeServers) setDisconnected(server string, disconnected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnected[server] = disconnected
}

// Counts implements [ledger.CountReader].
func (s *fakeServers) Counts(_ context.Context, server, prefix string) (map[requesttag.Tag]meter.Usage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disconnected[server] {
		return nil, errDisconnected
	}
	out := map[requesttag.Tag]meter.Usage{}
	for t, u := range s.counts[server] {
		if t.Incarnation == prefix || prefix == "" || strings.HasPrefix(prefix, t.Incarnation) && strings.HasPrefix(t.String(), prefix) {
			out[t] = u
		}
	}
	return out, nil
}

// usage returns the sum of the servers' counts by organisation.
func (s *fakeServers) usage() window.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := map[uint64]string{}
	for _, o := range organisations {
		names[requesttag.HashOrganisation(o)] = o
	}
	out := window.Usage{}
	seen := map[requesttag.Tag]bool{}
	for _, counts := range s.counts {
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

func (l *fakeLease) acquire(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = name
	l.fence++
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

func (v *leaseView) Held(now time.Time) (uint64, bool) {
	v.lease.mu.Lock()
	holder, fence := v.lease.holder, v.lease.fence
	v.lease.mu.Unlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	if holder == v.name {
		v.fence, v.validUntil = fence, now.Add(leaseTerm)
	}
	return v.fence, v.fence > 0 && (v.neverExpires || now.Before(v.validUntil))
}

func (v *leaseView) Valid(at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fence > 0 && (v.neverExpires || at.Before(v.validUntil))
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

func (sim *simulation) faultsHaveEnded() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.faultsEnded
}

func (sim *simulation) connect(kill func()) *fake.FaultyClient {
	l := fake.NewFaultyClient(sim.store, rand.New(rand.NewPCG(uint64(sim.rng.intN(1<<30)), 2)), kill)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if !sim.faultsEnded {
		l.SetFaultRate(0.15)
	}
	sim.connections = append(sim.connections, l)
	return l
}

// runHost runs a host until ctx ends. It starts a new incarnation after each kill.
func (sim *simulation) runHost(ctx context.Context, name string) {
	defer sim.wg.Done()
	for ctx.Err() == nil {
		sim.runIncarnation(ctx, name)
		time.Sleep(sim.rng.durationN(20 * time.Second))
	}
}

func (sim *simulation) runIncarnation(ctx context.Context, name string) {
	hostCtx, kill := context.WithCancel(ctx)
	defer kill()
	l := sim.connect(kill)
	usageLedger := ledger.New(l, name, "mid-a", ledger.WithCountReader(sim.servers), ledger.WithWindowLength(windowLength))
	done := make(chan error, 1)
	go usageLedger.Run(hostCtx, done)
	if !sim.faultsHaveEnded() {
		context.AfterFunc(hostCtx, func() {
			if ctx.Err() == nil {
				l.Stop()
			}
		})
		time.AfterFunc(time.Minute+sim.rng.durationN(20*time.Minute), func() {
			if !sim.faultsHaveEnded() {
				kill()
			}
		})
	}
	var requests sync.WaitGroup
	for hostCtx.Err() == nil {
		requests.Go(func() { sim.runRequest(hostCtx, usageLedger) })
		time.Sleep(time.Second + sim.rng.durationN(8*time.Second))
	}
	requests.Wait()
	<-done
	if ctx.Err() == nil {
		sim.mu.Lock()
		sim.killedHosts++
		sim.failedIncarnations = append(sim.failedIncarnations, usageLedger.Incarnation())
		sim.mu.Unlock()
		return
	}
	_ = usageLedger.Close(context.WithoutCancel(ctx))
}

// runRequest runs one request with up to three attempts. An attempt ends with an exact count, is interrupted, or ends
// with its host.
func (sim *simulation) runRequest(hostCtx context.Context, usageLedger *ledger.Ledger) {
	organisation := organisations[sim.rng.intN(len(organisations))]
	r := usageLedger.Begin(organisation)
	t, err := requesttag.Parse(r.ID())
	if err != nil {
		panic(err)
	}
	servers := sim.servers.names()
	for range 3 {
		server := servers[sim.rng.intN(len(servers))]
		u := meter.Usage{PromptTokens: int64(1 + sim.rng.intN(50))}
		sim.servers.count(server, t, u)
		interrupted := sim.rng.chance(0.2)
		for range 1 + sim.rng.intN(6) {
			time.Sleep(sim.rng.durationN(3 * time.Second))
			out := meter.Usage{OutputTokens: int64(1 + sim.rng.intN(20))}
			sim.servers.count(server, t, out)
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
		sim.servers.count(server, t, meter.Usage{OutputTokens: 1})
		r.Attempt(server, u, false)
	}
	r.End()
}

func (sim *simulation) failedHosts() []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return append([]string(nil), sim.failedIncarnations...)
}

// runReporters runs reporters until ctx ends. It starts a new one after each kill.
func (sim *simulation) runReporters(ctx context.Context) {
	defer sim.wg.Done()
	for ctx.Err() == nil {
		reporterCtx, kill := context.WithCancel(ctx)
		sim.mu.Lock()
		sim.reporterCount++
		name := fmt.Sprintf("reporter-%d", sim.reporterCount)
		sim.mu.Unlock()
		s := &leaseView{lease: sim.lease, name: name, neverExpires: sim.leaseNeverExpires}
		opts := []reporter.Option{reporter.WithWindow(windowLength, windowGrace), reporter.WithLeaseTerm(leaseTerm)}
		if !sim.withoutServerCounts {
			opts = append(opts, reporter.WithCountReader(sim.servers, sim.servers.names, func() []string { return organisations }))
		}
		r := reporter.New(name, sim.connect(kill), s, sim.sink, opts...)
		for reporterCtx.Err() == nil {
			if sim.rng.chance(0.05) {
				sim.lease.acquire(name)
			}
			for _, incarnation := range sim.failedHosts() {
				r.HostFailed(time.Now(), incarnation)
			}
			_ = r.Step(reporterCtx)
			time.Sleep(time.Second + sim.rng.durationN(9*time.Second))
		}
		kill()
	}
}

// injectFaults repeatedly disconnects or delays processes, servers or the platform for a random time.
func (sim *simulation) injectFaults(ctx context.Context) {
	defer sim.wg.Done()
	for ctx.Err() == nil && !sim.faultsHaveEnded() {
		time.Sleep(sim.rng.durationN(3 * time.Minute))
		switch sim.rng.intN(5) {
		case 0:
			sim.store.SetFaults(fake.Faults{Down: true})
		case 1:
			sim.store.SetFaults(fake.Faults{Delay: sim.rng.durationN(3 * time.Second)})
		case 2:
			sim.sink.SetFaults(fake.ReportFaults{LoseAnswers: sim.rng.intN(8), Delay: sim.rng.durationN(7 * time.Second)})
		case 3:
			sim.mu.Lock()
			l := sim.connections[sim.rng.intN(len(sim.connections))]
			sim.mu.Unlock()
			l.SetDisconnected(true)
			time.AfterFunc(sim.rng.durationN(5*time.Minute), func() { l.SetDisconnected(false) })
		case 4:
			sim.servers.setDisconnected(sim.servers.names()[sim.rng.intN(3)], true)
		}
		time.Sleep(sim.rng.durationN(2 * time.Minute))
		sim.clearFaults()
	}
}

func (sim *simulation) clearFaults() {
	sim.store.SetFaults(fake.Faults{})
	// After each fault the response to one report is lost, so that each run has reports that are sent again.
	sim.sink.SetFaults(fake.ReportFaults{LoseAnswers: 1})
	for _, n := range sim.servers.names() {
		sim.servers.setDisconnected(n, false)
	}
}

// endFaults ends all faults and prevents new ones.
func (sim *simulation) endFaults() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faultsEnded = true
	sim.clearFaults()
	for _, l := range sim.connections {
		l.SetDisconnected(false)
		l.SetFaultRate(0)
	}
}

// reported returns the sum of the first accepted reports of all windows by organisation, and the different digests and
// figures that were reported for each window.
func (sim *simulation) reported() (window.Usage, map[window.ID]map[string]bool) {
	digests := map[window.ID]map[string]bool{}
	sum := window.Usage{}
	for _, r := range sim.sink.All() {
		id := r.Report.Window
		if digests[id] == nil {
			digests[id] = map[string]bool{}
			sum.Merge(r.Report.Figures)
		}
		digests[id][r.Report.Digest+fmt.Sprint(r.Report.Figures)] = true
	}
	return sum, digests
}
