package relay

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// Rates of the two-year size, for one of 360 hosts.
const (
	requestsPerSecond = 5
	runningRequests   = 15
	progressInterval  = 800 * time.Millisecond
	workOrgs          = 1400
	workPools         = 7
)

var workClasses = []string{"urgent", "chat", "brief", "batch"}

// Workload makes up the states of one host at the two-year size, as its decisions would tell them.
type Workload struct {
	mu      sync.Mutex
	rand    *rand.Rand
	servers int
	last    time.Time
	running []work
	totals  map[string]map[string]int64
	changed map[string]map[string]time.Time
}

type work struct{ server, pool, org, class string }

// NewWorkload returns a Workload of a host whose zone has the number of servers.
func NewWorkload(seed uint64, servers int) *Workload {
	return &Workload{rand: rand.New(rand.NewPCG(seed, 3)), servers: servers, totals: map[string]map[string]int64{}, changed: map[string]map[string]time.Time{}}
}

func orgName(i int) string { return fmt.Sprintf("organisation-%04d", i) }

func (w *Workload) start() {
	n := w.rand.IntN(w.servers)
	w.running = append(w.running, work{
		fmt.Sprintf("engine-%04d", n), fmt.Sprintf("pool-%d", n%workPools),
		orgName(int(float64(workOrgs) * w.rand.Float64() * w.rand.Float64())), workClasses[w.rand.IntN(len(workClasses))],
	})
}

// At returns the state at now: since the last one, requests came and went and tokens were served.
func (w *Workload) At(now time.Time) dispatch.HostState {
	w.mu.Lock()
	defer w.mu.Unlock()
	dt := now.Sub(w.last).Seconds()
	if w.last.IsZero() || dt > 1 {
		dt = 0.25
	}
	w.last = now
	for len(w.running) < runningRequests {
		w.start()
	}
	for range int(requestsPerSecond*dt + w.rand.Float64()) {
		w.running = append(w.running[:0:0], w.running[1:]...)
		w.start()
	}
	for range int(runningRequests*dt/progressInterval.Seconds() + w.rand.Float64()) {
		w.serve(now, w.running[w.rand.IntN(len(w.running))])
	}
	return w.state(now)
}

func (w *Workload) serve(now time.Time, r work) {
	if w.totals[r.class] == nil {
		w.totals[r.class], w.changed[r.class] = map[string]int64{}, map[string]time.Time{}
	}
	w.totals[r.class][r.org] += 16
	w.changed[r.class][r.org] = now
}

func (w *Workload) state(now time.Time) dispatch.HostState {
	h := dispatch.HostState{At: now, Outstanding: map[string]int{}, Pools: map[string]dispatch.PoolState{}, ServedTokens: map[string]map[string]int64{}}
	for _, r := range w.running {
		h.Outstanding[r.server]++
		p := h.Pools[r.pool]
		if p.Classes == nil {
			p.Classes = map[string]dispatch.ClassState{}
		}
		c := p.Classes[r.class]
		c.Running++
		c.Waiting = w.rand.IntN(2)
		p.Classes[r.class] = c
		h.Pools[r.pool] = p
	}
	for class, orgs := range w.totals {
		h.ServedTokens[class] = map[string]int64{}
		for org, n := range orgs {
			if now.Sub(w.changed[class][org]) < 10*time.Second {
				h.ServedTokens[class][org] = n
			}
		}
	}
	return h
}

// Loads returns reports of the servers that polls tells to poll.
func (w *Workload) Loads(now time.Time, polls func(string) bool) []dispatch.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []dispatch.Load
	for i := range w.servers {
		name := fmt.Sprintf("engine-%04d", i)
		if polls(name) {
			out = append(out, dispatch.Load{
				Server: name, At: now.Add(-time.Duration(w.rand.IntN(200)) * time.Millisecond), Running: w.rand.IntN(16), Waiting: w.rand.IntN(4),
				QueuedTokens: w.rand.IntN(20000), Loaded: []string{"model-7b@v3", "model-7b+adapter-2"}, CacheSequence: w.rand.Uint64N(1 << 30),
			})
		}
	}
	return out
}
