package reconcile

import (
	"context"
	"sync"
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// stateLifetime is how long a host's state counts after it was received.
const stateLifetime = 10 * time.Second

// Dispatcher exchanges load states with other hosts. [dispatch.Loop] implements it.
type Dispatcher interface {
	State(ctx context.Context) (dispatch.HostState, error)
	Peer(s dispatch.HostState)
	Report(l dispatch.Load)
}

// LoadAggregator passes host states on to a [Dispatcher] and sums up the load of pools and servers in them. It
// implements [LoadSource] and is safe for concurrent use.
type LoadAggregator struct {
	Dispatcher
	localHost string

	mu     sync.Mutex
	states map[string]receivedState
}

// receivedState is a host's state and the time when it was received.
type receivedState struct {
	state      dispatch.HostState
	receivedAt time.Time
}

// NewLoadAggregator returns a LoadAggregator for the host with the name localHost.
func NewLoadAggregator(localHost string, d Dispatcher) *LoadAggregator {
	return &LoadAggregator{Dispatcher: d, localHost: localHost, states: map[string]receivedState{}}
}

// State returns the state of the local host, and counts it.
func (a *LoadAggregator) State(ctx context.Context) (dispatch.HostState, error) {
	s, err := a.Dispatcher.State(ctx)
	if err == nil {
		a.record(a.localHost, s)
	}
	return s, err
}

// Peer receives the state of another host, or the sum over a zone.
func (a *LoadAggregator) Peer(s dispatch.HostState) {
	a.record(s.Host, s)
	a.Dispatcher.Peer(s)
}

func (a *LoadAggregator) record(host string, s dispatch.HostState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.states[host] = receivedState{s, time.Now()}
}

// forEachCurrent calls f with each state that is not older than stateLifetime, and deletes the others.
func (a *LoadAggregator) forEachCurrent(f func(dispatch.HostState)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for host, s := range a.states {
		if time.Since(s.receivedAt) > stateLifetime {
			delete(a.states, host)
			continue
		}
		f(s.state)
	}
}

// Requests implements [LoadSource].
func (a *LoadAggregator) Requests(pool string) map[string]int {
	out := map[string]int{}
	a.forEachCurrent(func(s dispatch.HostState) {
		for class, c := range s.Pools[pool].Classes {
			out[class] += c.Running + c.Waiting
		}
	})
	return out
}

// Outstanding implements [LoadSource].
func (a *LoadAggregator) Outstanding() map[string]int {
	out := map[string]int{}
	a.forEachCurrent(func(s dispatch.HostState) {
		for server, n := range s.Outstanding {
			out[server] += n
		}
	})
	return out
}
