package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// account follows the served work of one source, whose totals begin anew when it restarts.
type account struct {
	at   time.Time
	last dispatch.HostState
	seen map[[2]string]int64
}

// Sum adds the states of several sources up to one that reads like that of a host.
type Sum struct {
	sources map[string]*account
	// served only grows while this host sums up, whichever sources come and go.
	served map[string]map[string]int64
}

// NewSum returns an empty Sum.
func NewSum() *Sum {
	return &Sum{sources: map[string]*account{}, served: map[string]map[string]int64{}}
}

// Put replaces the state of its source.
func (s *Sum) Put(now time.Time, h *dispatch.HostState) {
	a, ok := s.sources[h.Host]
	if !ok {
		a = &account{seen: map[[2]string]int64{}}
		s.sources[h.Host] = a
	}
	a.at, a.last = now, *h
	for class, orgs := range h.ServedTokens {
		for org, total := range orgs {
			s.charge(a, class, org, total, ok)
		}
	}
}

// charge adds what the source served since it was last heard. What a new source served before is history.
func (s *Sum) charge(a *account, class, org string, total int64, known bool) {
	k := [2]string{class, org}
	work := total - a.seen[k]
	if work < 0 {
		work = total
	}
	a.seen[k] = total
	if !known || work == 0 {
		return
	}
	if s.served[class] == nil {
		s.served[class] = map[string]int64{}
	}
	s.served[class][org] += work
}

// DropStale forgets sources that were not heard since the given time.
func (s *Sum) DropStale(before time.Time) {
	for name, a := range s.sources {
		if a.at.Before(before) {
			delete(s.sources, name)
		}
	}
}

// Len returns how many sources are summed up.
func (s *Sum) Len() int { return len(s.sources) }

// State returns the sum. The level wanted is the highest of any source and the level applied the
// lowest, and none if a source applies none.
func (s *Sum) State() dispatch.HostState {
	out := dispatch.HostState{
		OldestWait: map[string]time.Duration{}, Outstanding: map[string]int{}, CrashCounts: map[uint64]int{},
		Pools: map[string]dispatch.PoolState{}, ServedTokens: make(map[string]map[string]int64, len(s.served)),
	}
	for class, orgs := range s.served {
		out.ServedTokens[class] = maps.Clone(orgs)
	}
	out.Demand = map[string]dispatch.Demand{}
	first := true
	// The order decides the sample of uses, which must be the same in each run.
	for _, name := range slices.Sorted(maps.Keys(s.sources)) {
		a := s.sources[name]
		for class, d := range a.last.OldestWait {
			out.OldestWait[class] = max(out.OldestWait[class], d)
		}
		for server, n := range a.last.Outstanding {
			out.Outstanding[server] += n
		}
		out.Hosts += max(1, a.last.Hosts)
		for org, d := range a.last.Demand {
			e := out.Demand[org]
			out.Demand[org] = dispatch.Demand{Requests: e.Requests + d.Requests, Tokens: e.Tokens + d.Tokens, Streams: e.Streams + d.Streams}
		}
		for f, n := range a.last.CrashCounts {
			out.CrashCounts[f] = max(out.CrashCounts[f], n)
		}
		addPools(out.Pools, a.last.Pools, first)
		first = false
	}
	return out
}

func addPools(sum, more map[string]dispatch.PoolState, first bool) {
	for name, p := range more {
		t, known := sum[name]
		if !known {
			t = dispatch.PoolState{AppliedThrottleTier: p.AppliedThrottleTier, Classes: map[string]dispatch.ClassState{}}
			if !first {
				// A source before told nothing of the pool, so it applies no level.
				t.AppliedThrottleTier = 0
			}
		}
		t.WantedThrottleTier = higher(t.WantedThrottleTier, p.WantedThrottleTier)
		t.AppliedThrottleTier = lower(t.AppliedThrottleTier, p.AppliedThrottleTier)
		for class, c := range p.Classes {
			d := t.Classes[class]
			addUses(&d, &c)
			d.Waiting += c.Waiting
			d.Sheddable += c.Sheddable
			d.Running += c.Running
			d.Started += c.Started
			t.Classes[class] = d
		}
		sum[name] = t
	}
	for name, t := range sum {
		if _, ok := more[name]; !ok {
			t.AppliedThrottleTier = 0
			sum[name] = t
		}
	}
}

// usesKept bounds the sample of uses of a sum.
const usesKept = 8

// addUses merges the uses of c into those of sum, before its counts are added.
func addUses(sum, c *dispatch.ClassState) {
	if c.Waiting > 0 && (sum.Waiting == 0 || c.LeastUse < sum.LeastUse) {
		sum.LeastUse = c.LeastUse
	}
	type part struct{ use, count float64 }
	var all []part
	for _, s := range []*dispatch.ClassState{sum, c} {
		for _, u := range s.Uses {
			all = append(all, part{u, float64(s.Sheddable) / float64(len(s.Uses))})
		}
	}
	slices.SortFunc(all, func(a, b part) int { return cmp.Compare(a.use, b.use) })
	total := float64(sum.Sheddable + c.Sheddable)
	n := min(usesKept, sum.Sheddable+c.Sheddable)
	sum.Uses = nil
	var before float64
	for _, p := range all {
		before += p.count
		// Each use that is kept stands for an equal part of what waits.
		for len(sum.Uses) < n && (float64(len(sum.Uses))+0.5)*total/float64(n) <= before {
			sum.Uses = append(sum.Uses, p.use)
		}
	}
}

// higher returns the higher of two tiers, where 1 is the highest and 0 is none.
func higher(a, b int) int {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// lower returns the lower of two tiers, and none if one of them is none.
func lower(a, b int) int {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}
