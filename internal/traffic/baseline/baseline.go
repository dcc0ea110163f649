// Package baseline implements the policy that other policies are compared with:
// a first-in, first-out queue for each pool, round robin over the pool's
// servers, and retries without delay or limit by a budget.
package baseline

import (
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// Policy is the baseline policy. It implements [dispatch.Policy].
type Policy struct {
	snap      *release.Snapshot
	queues    map[string][]*item
	items     map[request.ID]*item
	nextIndex map[string]int
	running   map[string]int
	unusable  map[string]bool
}

// item is a waiting or running request. server is empty while it waits.
type item struct {
	req     *request.Request
	attempt int
	server  string
	ran     request.Ran
}

var _ dispatch.Policy = (*Policy)(nil)

// New returns a Policy without a configuration.
func New() *Policy {
	return &Policy{
		queues:    map[string][]*item{},
		items:     map[request.ID]*item{},
		nextIndex: map[string]int{},
		running:   map[string]int{},
		unusable:  map[string]bool{},
	}
}

// Configure implements [dispatch.Policy].
func (p *Policy) Configure(now time.Time, s *release.Snapshot) []dispatch.Effect {
	p.snap = s
	return p.Tick(now)
}

// Arrive implements [dispatch.Policy].
func (p *Policy) Arrive(_ time.Time, r *request.Request) []dispatch.Effect {
	it := &item{req: r}
	p.items[r.ID] = it
	if p.snap == nil || len(p.snap.Servers(r.Pool)) == 0 {
		return p.refuse(it, dispatch.NoServer)
	}
	p.queues[r.Pool] = append(p.queues[r.Pool], it)
	return p.drain(r.Pool)
}

// refuse drops a request and returns the effect that refuses it.
func (p *Policy) refuse(it *item, why dispatch.RefusalReason) []dispatch.Effect {
	delete(p.items, it.req.ID)
	return []dispatch.Effect{{Kind: dispatch.Refuse, ID: it.req.ID, Reason: why, RetryAfter: time.Second, Ran: it.ran}}
}

// drain starts waiting requests of a pool in the order of its queue while a server has a free slot.
func (p *Policy) drain(pool string) []dispatch.Effect {
	var out []dispatch.Effect
	for len(p.queues[pool]) > 0 {
		s, ok := p.pick(pool)
		if !ok {
			break
		}
		it := p.queues[pool][0]
		p.queues[pool] = p.queues[pool][1:]
		it.server = s
		it.attempt++
		it.ran = request.MayHaveRun
		p.running[s]++
		out = append(out, dispatch.Effect{Kind: dispatch.Start, ID: it.req.ID, Server: s, Attempt: it.attempt, Why: "next server by round robin"})
	}
	return out
}

// pick returns the next usable server of a pool in turn that has a free slot.
func (p *Policy) pick(pool string) (string, bool) {
	list := p.snap.Servers(pool)
	spec, ok := p.snap.Set.Pools[pool]
	if !ok {
		return "", false
	}
	for range list {
		s := list[p.nextIndex[pool]%len(list)]
		p.nextIndex[pool]++
		if !p.unusable[s.Name] && p.running[s.Name] < spec.Concurrency {
			return s.Name, true
		}
	}
	return "", false
}

// Cancel implements [dispatch.Policy].
func (p *Policy) Cancel(_ time.Time, id request.ID) []dispatch.Effect {
	it, ok := p.items[id]
	if !ok || it.server != "" {
		return nil
	}
	delete(p.items, id)
	q := p.queues[it.req.Pool]
	for i := range q {
		if q[i] == it {
			p.queues[it.req.Pool] = append(q[:i:i], q[i+1:]...)
			break
		}
	}
	return nil
}

// Progress implements [dispatch.Policy].
func (p *Policy) Progress(time.Time, request.ID, int) {}

// Finish implements [dispatch.Policy].
func (p *Policy) Finish(_ time.Time, r request.Result) []dispatch.Effect {
	it, ok := p.items[r.ID]
	if !ok {
		return nil
	}
	p.running[r.Server]--
	it.server = ""
	var out []dispatch.Effect
	switch {
	case r.Outcome == request.Completed, r.Outcome == request.Cancelled:
		delete(p.items, r.ID)
	case it.attempt < it.req.Attempts && it.req.Idempotent && r.Delivered == 0:
		p.queues[it.req.Pool] = append(p.queues[it.req.Pool], it)
	default:
		out = p.refuse(it, dispatch.Exhausted)
	}
	return append(out, p.drain(it.req.Pool)...)
}

// Report implements [dispatch.Policy].
func (p *Policy) Report(time.Time, dispatch.Load) []dispatch.Effect { return nil }

// Server implements [dispatch.Policy].
func (p *Policy) Server(_ time.Time, s dispatch.ServerState) []dispatch.Effect {
	p.unusable[s.Server] = s.Leaving || s.Gone
	return nil
}

// Peer implements [dispatch.Policy].
func (p *Policy) Peer(time.Time, dispatch.HostState) []dispatch.Effect { return nil }

// State implements [dispatch.Policy].
func (p *Policy) State(now time.Time) dispatch.HostState { return dispatch.HostState{At: now} }

// Tick implements [dispatch.Policy].
func (p *Policy) Tick(now time.Time) []dispatch.Effect {
	var out []dispatch.Effect
	for pool, q := range p.queues {
		kept := q[:0:0]
		for _, it := range q {
			if now.Before(it.req.Deadline) {
				kept = append(kept, it)
				continue
			}
			out = append(out, p.refuse(it, dispatch.PastDeadline)...)
		}
		p.queues[pool] = kept
		out = append(out, p.drain(pool)...)
	}
	return out
}
