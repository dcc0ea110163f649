package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// peer is another host.
type peer struct {
	heard  time.Time
	served map[string]map[string]int64
}

// Peer implements [dispatch.Policy].
func (p *Policy) Peer(now time.Time, h dispatch.HostState) []dispatch.Effect {
	p.chooser.Peer(now, h)
	p.suspect.MergeFrom(now, h.Host, h.CrashCounts)
	q, ok := p.peers[h.Host]
	if !ok {
		q = &peer{served: map[string]map[string]int64{}}
		p.peers[h.Host] = q
	}
	q.heard = now
	for name, pl := range p.pools {
		told := h.Pools[name]
		pl.merge(now, h.Host, &told)
	}
	p.credit(now, q, h.ServedTokens)
	p.limit.Peer(now, h.Host, h.Hosts, h.Demand)
	return p.drainAll(now)
}

// credit charges organisations with the work that another host did for them.
func (p *Policy) credit(now time.Time, q *peer, served map[string]map[string]int64) {
	for class, orgs := range served {
		seen := q.served[class]
		if seen == nil {
			seen = map[string]int64{}
			q.served[class] = seen
		}
		for org, total := range orgs {
			work := total - seen[org]
			if work < 0 {
				// The host started anew.
				work = total
			}
			seen[org] = total
			if work == 0 {
				continue
			}
			for _, pl := range p.pools {
				if pl.serves(class) {
					pl.q.Charge(now, class, org, float64(work))
				}
			}
		}
	}
}

func (p *pool) serves(class string) bool {
	for _, c := range p.q.Classes() {
		if c.Name == class {
			return true
		}
	}
	return false
}

// forgetPeers drops what hosts told that were not heard of late.
func (p *Policy) forgetPeers(now time.Time) {
	p.limit.Forget(now)
	for host, q := range p.peers {
		if now.Sub(q.heard) <= peerLifetime {
			continue
		}
		p.chooser.Peer(now, dispatch.HostState{Host: host, At: now})
		for _, pl := range p.pools {
			pl.merge(now, host, nil)
		}
		// Their totals stay known, so that a host heard again is not charged twice.
		q.heard = now.Add(forgetAgain)
	}
}

// forgetAgain spaces the repetition of forgetting a silent host.
const forgetAgain = time.Hour

// State implements [dispatch.Policy].
func (p *Policy) State(now time.Time) dispatch.HostState {
	out := dispatch.HostState{
		At: now, Waiting: map[string]int{}, Running: map[string]int{}, OldestWait: map[string]time.Duration{},
		Outstanding: p.chooser.Outstanding(), Pools: map[string]dispatch.PoolState{},
		ServedTokens: p.served.recent(now), UsedTokens: p.served.used(now), CrashCounts: p.suspect.Marks(),
		Hosts: 1, Demand: p.limit.Demand(now),
	}
	for name, pl := range p.pools {
		s := pl.state(now)
		out.Pools[name] = s
		for class, c := range s.Classes {
			out.Waiting[class] += c.Waiting
			out.Running[class] += c.Running
		}
	}
	return out
}

// ledgerWindow is how long a changed total is told to other hosts.
const ledgerWindow = 10 * time.Second

// ledger holds the work done since the host started, by class and organisation.
type ledger struct {
	totals map[string]map[string]*account
}

type account struct {
	work    float64
	changed time.Time
}

func newLedger() *ledger { return &ledger{totals: map[string]map[string]*account{}} }

func (l *ledger) add(now time.Time, class, org string, work float64) {
	orgs := l.totals[class]
	if orgs == nil {
		orgs = map[string]*account{}
		l.totals[class] = orgs
	}
	a := orgs[org]
	if a == nil {
		a = &account{}
		orgs[org] = a
	}
	a.work += work
	a.changed = now
}

// recent returns the totals that changed within the window.
func (l *ledger) recent(now time.Time) map[string]map[string]int64 {
	out := map[string]map[string]int64{}
	for class, orgs := range l.totals {
		for org, a := range orgs {
			if now.Sub(a.changed) > ledgerWindow {
				continue
			}
			if out[class] == nil {
				out[class] = map[string]int64{}
			}
			out[class][org] = int64(a.work)
		}
	}
	return out
}

// used returns the recent totals by organisation over all classes.
func (l *ledger) used(now time.Time) map[string]int64 {
	out := map[string]int64{}
	for _, orgs := range l.recent(now) {
		for org, n := range orgs {
			out[org] += n
		}
	}
	return out
}
