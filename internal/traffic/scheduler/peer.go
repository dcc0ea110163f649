package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// peer is another host.
type peer struct {
	lastHeard time.Time
	served    map[string]map[string]int64
}

// Peer implements [dispatch.Policy].
func (p *Policy) Peer(now time.Time, h dispatch.HostState) []dispatch.Effect {
	p.chooser.Peer(now, h)
	p.suspects.MergeFrom(now, h.Host, h.Marked)
	from, ok := p.peers[h.Host]
	if !ok {
		from = &peer{served: map[string]map[string]int64{}}
		p.peers[h.Host] = from
	}
	from.lastHeard = now
	for name, pl := range p.pools {
		state := h.Pools[name]
		pl.mergePeer(now, h.Host, &state)
	}
	p.chargePeerWork(now, from, h.Served)
	p.limiter.Peer(now, h.Host, h.Hosts, h.Demand)
	return p.advanceAll(now)
}

// chargePeerWork charges organisations with the work that another host did for them.
func (p *Policy) chargePeerWork(now time.Time, from *peer, served map[string]map[string]int64) {
	for class, orgs := range served {
		seen := from.served[class]
		if seen == nil {
			seen = map[string]int64{}
			from.served[class] = seen
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
				if pl.servesClass(class) {
					pl.q.Charge(now, class, org, float64(work))
				}
			}
		}
	}
}

func (p *pool) servesClass(class string) bool {
	for _, c := range p.q.Classes() {
		if c.Name == class {
			return true
		}
	}
	return false
}

// expirePeers drops what hosts told that were not heard of late.
func (p *Policy) expirePeers(now time.Time) {
	p.limiter.Forget(now)
	for host, from := range p.peers {
		if now.Sub(from.lastHeard) <= peerStateTTL {
			continue
		}
		p.chooser.Peer(now, dispatch.HostState{Host: host, At: now})
		for _, pl := range p.pools {
			pl.mergePeer(now, host, nil)
		}
		// Their totals stay known, so that a host heard again is not charged twice.
		from.lastHeard = now.Add(peerExpiryInterval)
	}
}

// peerExpiryInterval spaces the repetition of forgetting a silent host.
const peerExpiryInterval = time.Hour

// State implements [dispatch.Policy].
func (p *Policy) State(now time.Time) dispatch.HostState {
	out := dispatch.HostState{
		At: now, Waiting: map[string]int{}, Running: map[string]int{}, OldestWait: map[string]time.Duration{},
		Outstanding: p.chooser.Outstanding(), Pools: map[string]dispatch.PoolState{},
		Served: p.served.recent(now), Used: p.served.recentByOrg(now), Marked: p.suspects.Marks(),
		Hosts: 1, Demand: p.limiter.Demand(now),
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

// publishWindow is how long a changed total is told to other hosts.
const publishWindow = 10 * time.Second

// workTotals holds the work done since the host started, by class and organisation.
type workTotals struct {
	byClass map[string]map[string]*orgTotal
}

type orgTotal struct {
	work    float64
	changed time.Time
}

func newWorkTotals() *workTotals { return &workTotals{byClass: map[string]map[string]*orgTotal{}} }

func (l *workTotals) add(now time.Time, class, org string, work float64) {
	orgs := l.byClass[class]
	if orgs == nil {
		orgs = map[string]*orgTotal{}
		l.byClass[class] = orgs
	}
	a := orgs[org]
	if a == nil {
		a = &orgTotal{}
		orgs[org] = a
	}
	a.work += work
	a.changed = now
}

// recent returns the totals that changed within the window.
func (l *workTotals) recent(now time.Time) map[string]map[string]int64 {
	out := map[string]map[string]int64{}
	for class, orgs := range l.byClass {
		for org, a := range orgs {
			if now.Sub(a.changed) > publishWindow {
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

// recentByOrg returns the recent totals by organisation over all classes.
func (l *workTotals) recentByOrg(now time.Time) map[string]int64 {
	out := map[string]int64{}
	for _, orgs := range l.recent(now) {
		for org, n := range orgs {
			out[org] += n
		}
	}
	return out
}
