package stock

import (
	"context"
	"sync"
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// stateLifetime is how long what a host told counts.
const stateLifetime = 10 * time.Second

// Dispatcher are a host's decisions, such as a [dispatch.Loop].
type Dispatcher interface {
	State(ctx context.Context) (dispatch.HostState, error)
	Peer(s dispatch.HostState)
	Report(l dispatch.Load)
}

// LoadAggregator passes host states through to a host's decisions and sums up what they tell of pools and
// servers. It implements [Load] and is safe for concurrent use.
type LoadAggregator struct {
	Dispatcher
	self string

	mu     sync.Mutex
	states map[string]told
}

// told is a state and when it came.
type told struct {
	state dispatch.HostState
	at    time.Time
}

// NewLoadAggregator returns a Tally of the host self.
func NewLoadAggregator(self string, d Dispatcher) *LoadAggregator {
	return &LoadAggregator{Dispatcher: d, self: self, states: map[string]told{}}
}

// State returns the host's own state.
func (t *LoadAggregator) State(ctx context.Context) (dispatch.HostState, error) {
	s, err := t.Dispatcher.State(ctx)
	if err == nil {
		t.keep(t.self, s)
	}
	return s, err
}

// Peer takes the state of another host, or the sum of a zone.
func (t *LoadAggregator) Peer(s dispatch.HostState) {
	t.keep(s.Host, s)
	t.Dispatcher.Peer(s)
}

func (t *LoadAggregator) keep(host string, s dispatch.HostState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.states[host] = told{s, time.Now()}
}

// each calls f with the states that still count.
func (t *LoadAggregator) each(f func(dispatch.HostState)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for host, s := range t.states {
		if time.Since(s.at) > stateLifetime {
			delete(t.states, host)
			continue
		}
		f(s.state)
	}
}

// Requests implements [Load].
func (t *LoadAggregator) Requests(pool string) map[string]int {
	out := map[string]int{}
	t.each(func(s dispatch.HostState) {
		for class, c := range s.Pools[pool].Classes {
			out[class] += c.Running + c.Waiting
		}
	})
	return out
}

// Outstanding implements [Load].
func (t *LoadAggregator) Outstanding() map[string]int {
	out := map[string]int{}
	t.each(func(s dispatch.HostState) {
		for server, n := range s.Outstanding {
			out[server] += n
		}
	})
	return out
}
