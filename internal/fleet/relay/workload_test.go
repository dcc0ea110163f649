package relay

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// Workload of one of 360 hosts at the fleet size planned in two years.
const (
	requestsPerSecond  = 5
	concurrentRequests = 15
	progressInterval   = 800 * time.Millisecond
	workloadOrgs       = 1400
	workloadPools      = 7
)

var workloadClasses = []string{"urgent", "chat", "brief", "batch"}

// Workload simulates the requests of one host at the planned fleet size. It returns states like the host's dispatcher.
type Workload struct {
	mu           sync.Mutex
	rand         *rand.Rand
	servers      int
	last         time.Time
	running      []workItem
	servedTokens map[string]map[string]int64
	lastServed   map[string]map[string]time.Time
}

type workItem struct{ server, pool, org, class string }

// NewWorkload returns a Workload of a host whose zone has the given number of servers.
func NewWorkload(seed uint64, servers int) *Workload {
	return &Workload{rand: rand.New(rand.NewPCG(seed, 3)), servers: servers, servedTokens: map[string]map[string]int64{}, lastServed: map[string]map[string]time.Time{}}
}

func orgName(i int) string { return fmt.Sprintf("organisation-%04d", i) }

func (w *Workload) startRequest() {
	n := w.rand.IntN(w.servers)
	w.running = append(w.running, workItem{
		fmt.Sprintf("engine-%04d", n), fmt.Sprintf("pool-%d", n%workloadPools),
		orgName(int(float64(workloadOrgs) * w.rand.Float64() * w.rand.Float64())), workloadClasses[w.rand.IntN(len(workloadClasses))],
	})
}

// At returns the state at now. It simulates the requests that started and ended and the tokens that were served since the
// last call.
func (w *Workload) At(now time.Time) dispatch.HostState {
	w.mu.Lock()
	defer w.mu.Unlock()
	dt := now.Sub(w.last).Seconds()
	if w.last.IsZero() || dt > 1 {
		dt = 0.25
	}
	w.last = now
	for len(w.running) < concurrentRequests {
		w.startRequest()
	}
	for range int(requestsPerSecond*dt + w.rand.Float64()) {
		w.running = append(w.running[:0:0], w.running[1:]...)
		w.startRequest()
	}
	for range int(concurrentRequests*dt/progressInterval.Seconds() + w.rand.Float64()) {
		w.addServedTokens(now, w.running[w.rand.IntN(len(w.running))])
	}
	return w.state(now)
}

func (w *Workload) addServedTokens(now time.Time, r workItem) {
	if w.servedTokens[r.class] == nil {
		w.servedTokens[r.class], w.lastServed[r.class] = map[string]int64{}, map[string]time.Time{}
	}
	w.servedTokens[r.class][r.org] += 16
	w.lastServed[r.class][r.org] = now
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
	for class, orgs := range w.servedTokens {
		h.ServedTokens[class] = map[string]int64{}
		for org, n := range orgs {
			if now.Sub(w.lastServed[class][org]) < 10*time.Second {
				h.ServedTokens[class][org] = n
			}
		}
	}
	return h
}

// Loads returns load reports of the servers for which polls returns true.
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
