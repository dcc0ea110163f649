package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// peer holds when another host last sent its state, and the work totals by class and organisation
// that were charged from it.
type peer struct {
	receivedAt time.Time
	served     map[string]map[string]int64
}

// Peer implements [dispatch.Policy].
func (p *Policy) Peer(now time.Time, h dispatch.HostState) []dispatch.Effect {
	p.chooser.Peer(now, h)
	p.suspects.UpdatePeer(now, h.Host, h.CrashCounts)
	p.parts.tracker.Merge(now, h.PartCrashes, h.PartAnswers)
	from, ok := p.peers[h.Host]
	if !ok {
		from = &peer{served: map[string]map[string]int64{}}
		p.peers[h.Host] = from
	}
	from.receivedAt = now
	for name, pl := range p.pools {
		state := h.Pools[name]
		pl.updatePeer(now, h.Host, &state)
	}
	p.chargePeerWork(now, from, h.ServedTokens)
	p.limiter.UpdatePeer(now, h.Host, h.Hosts, h.Demand)
	return p.advanceAll(now)
}

// chargePeerWork charges organisations for the work that another host did since its last state.
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
				// The host restarted, so its totals began at zero.
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

// expirePeers drops the states of hosts that have sent none for longer than peerTTL.
func (p *Policy) expirePeers(now time.Time) {
	p.limiter.ExpirePeers(now)
	for host, from := range p.peers {
		if now.Sub(from.receivedAt) <= peerTTL {
			continue
		}
		p.chooser.Peer(now, dispatch.HostState{Host: host, At: now})
		for _, pl := range p.pools {
			pl.updatePeer(now, host, nil)
		}
		// Its totals are kept, so that its work is not charged twice if it sends again.
		from.receivedAt = now.Add(peerExpiryInterval)
	}
}

// peerExpiryInterval delays the next expiry of a host that stays silent.
const peerExpiryInterval = time.Hour

// State implements [dispatch.Policy].
func (p *Policy) State(now time.Time) dispatch.HostState {
	out := dispatch.HostState{
		At: now, Waiting: map[string]int{}, Running: map[string]int{}, OldestWait: map[string]time.Duration{},
		Outstanding: p.chooser.Outstanding(), Pools: map[string]dispatch.PoolState{},
		ServedTokens: p.served.recent(now), UsedTokens: p.served.recentByOrg(now), CrashCounts: p.suspects.Marks(),
		Hosts: 1, Demand: p.limiter.Demand(now),
	}
	out.PartCrashes, out.PartAnswers = p.parts.tracker.Shared(now)
	out.ServerLimits = p.serverLimits(now)
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

// publishWindow is how long a total is sent to other hosts after its last change.
const publishWindow = 10 * time.Second

// workTotals holds the work done since this host started, by class and organisation.
type workTotals struct {
	byClass map[string]map[string]*orgTotal
}

type orgTotal struct {
	work    float64
	changed time.Time
}

func newWorkTotals() *workTotals { return &workTotals{byClass: map[string]map[string]*orgTotal{}} }

func (t *workTotals) add(now time.Time, class, org string, work float64) {
	orgs := t.byClass[class]
	if orgs == nil {
		orgs = map[string]*orgTotal{}
		t.byClass[class] = orgs
	}
	total := orgs[org]
	if total == nil {
		total = &orgTotal{}
		orgs[org] = total
	}
	total.work += work
	total.changed = now
}

// recent returns the totals that changed within publishWindow.
func (t *workTotals) recent(now time.Time) map[string]map[string]int64 {
	out := map[string]map[string]int64{}
	for class, orgs := range t.byClass {
		for org, total := range orgs {
			if now.Sub(total.changed) > publishWindow {
				continue
			}
			if out[class] == nil {
				out[class] = map[string]int64{}
			}
			out[class][org] = int64(total.work)
		}
	}
	return out
}

// recentByOrg returns the recent totals by organisation, summed over classes.
func (t *workTotals) recentByOrg(now time.Time) map[string]int64 {
	out := map[string]int64{}
	for _, orgs := range t.recent(now) {
		for org, n := range orgs {
			out[org] += n
		}
	}
	return out
}
