package statesync

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/serverlimit"
)

// sourceState is the last state of one source.
type sourceState struct {
	receivedAt time.Time
	state      dispatch.HostState
	// servedTotals holds the last served tokens by class and organisation. They restart at 0 with the source.
	servedTotals map[[2]string]int64
}

// Sum combines the states of several sources into one state of the same form as that of a single host.
type Sum struct {
	sources map[string]*sourceState
	// served holds served tokens by class and organisation since the Sum was created. It never decreases, also when
	// sources are dropped.
	served map[string]map[string]int64
}

// NewSum returns an empty Sum.
func NewSum() *Sum {
	return &Sum{sources: map[string]*sourceState{}, served: map[string]map[string]int64{}}
}

// Put replaces the state of the source h.Host.
func (s *Sum) Put(now time.Time, h *dispatch.HostState) {
	src, known := s.sources[h.Host]
	if !known {
		src = &sourceState{servedTotals: map[[2]string]int64{}}
		s.sources[h.Host] = src
	}
	src.receivedAt, src.state = now, *h
	for class, orgs := range h.ServedTokens {
		for org, total := range orgs {
			s.addServed(src, class, org, total, known)
		}
	}
}

// addServed adds the tokens that the source served since its last state. A total that decreased has restarted at 0.
// Tokens that a new source served before its first state do not count.
func (s *Sum) addServed(src *sourceState, class, org string, total int64, known bool) {
	k := [2]string{class, org}
	tokens := total - src.servedTotals[k]
	if tokens < 0 {
		tokens = total
	}
	src.servedTotals[k] = total
	if !known || tokens == 0 {
		return
	}
	if s.served[class] == nil {
		s.served[class] = map[string]int64{}
	}
	s.served[class][org] += tokens
}

// DropStale removes sources whose last state was received before the given time.
func (s *Sum) DropStale(before time.Time) {
	for name, src := range s.sources {
		if src.receivedAt.Before(before) {
			delete(s.sources, name)
		}
	}
}

// Len returns the number of sources.
func (s *Sum) Len() int { return len(s.sources) }

// State returns the sum. Its wanted throttle tier is the highest of any source. Its applied throttle tier is the
// lowest, or none if any source applies none.
func (s *Sum) State() dispatch.HostState {
	out := dispatch.HostState{
		OldestWait: map[string]time.Duration{}, Outstanding: map[string]int{}, CrashCounts: map[uint64]int{},
		Pools: map[string]dispatch.PoolState{}, ServedTokens: make(map[string]map[string]int64, len(s.served)),
	}
	for class, orgs := range s.served {
		out.ServedTokens[class] = maps.Clone(orgs)
	}
	out.Demand = map[string]dispatch.Demand{}
	firstSource := true
	// The sample of uses depends on the order of the sources; sorting makes it deterministic.
	for _, name := range slices.Sorted(maps.Keys(s.sources)) {
		src := s.sources[name]
		for class, d := range src.state.OldestWait {
			out.OldestWait[class] = max(out.OldestWait[class], d)
		}
		for server, n := range src.state.Outstanding {
			out.Outstanding[server] += n
		}
		out.Hosts += max(1, src.state.Hosts)
		for org, d := range src.state.Demand {
			total := out.Demand[org]
			out.Demand[org] = dispatch.Demand{Requests: total.Requests + d.Requests, Tokens: total.Tokens + d.Tokens, Streams: total.Streams + d.Streams}
		}
		for f, n := range src.state.CrashCounts {
			out.CrashCounts[f] = max(out.CrashCounts[f], n)
		}
		// The receiver ignores what it knows from several sources.
		out.PartCrashes = append(out.PartCrashes, src.state.PartCrashes...)
		out.PartAnswers = append(out.PartAnswers, src.state.PartAnswers...)
		out.ServerLimits = mergeLimits(out.ServerLimits, src.state.ServerLimits)
		mergePools(out.Pools, src.state.Pools, firstSource)
		firstSource = false
	}
	return out
}

// mergeLimits adds the limits of one source to sum, which keeps the newest of each server.
func mergeLimits(sum, more []serverlimit.Notice) []serverlimit.Notice {
	for _, l := range more {
		i := slices.IndexFunc(sum, func(known serverlimit.Notice) bool { return known.Server == l.Server })
		switch {
		case i < 0:
			sum = append(sum, l)
		case l.At.After(sum[i].At):
			sum[i] = l
		}
	}
	return sum
}

// mergePools adds the pools of one source to sum. firstSource reports whether sum holds no source yet.
func mergePools(sum, more map[string]dispatch.PoolState, firstSource bool) {
	for name, p := range more {
		t, known := sum[name]
		if !known {
			t = dispatch.PoolState{AppliedThrottleTier: p.AppliedThrottleTier, Classes: map[string]dispatch.ClassState{}}
			if !firstSource {
				// An earlier source did not report the pool, so it applies no tier.
				t.AppliedThrottleTier = 0
			}
		}
		t.WantedThrottleTier = higherTier(t.WantedThrottleTier, p.WantedThrottleTier)
		t.AppliedThrottleTier = lowerTier(t.AppliedThrottleTier, p.AppliedThrottleTier)
		for class, c := range p.Classes {
			d := t.Classes[class]
			mergeUses(&d, &c)
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

// maxUseSamples bounds the sample of uses of a class in a sum.
const maxUseSamples = 8

// mergeUses merges the uses of c into those of sum. The counts of c must not have been added to sum yet.
func mergeUses(sum, c *dispatch.ClassState) {
	if c.Waiting > 0 && (sum.Waiting == 0 || c.HeadUsage < sum.HeadUsage) {
		sum.HeadUsage = c.HeadUsage
	}
	type weightedUse struct{ use, count float64 }
	var all []weightedUse
	for _, s := range []*dispatch.ClassState{sum, c} {
		for _, u := range s.UsageSamples {
			all = append(all, weightedUse{u, float64(s.Sheddable) / float64(len(s.UsageSamples))})
		}
	}
	slices.SortFunc(all, func(a, b weightedUse) int { return cmp.Compare(a.use, b.use) })
	total := float64(sum.Sheddable + c.Sheddable)
	n := min(maxUseSamples, sum.Sheddable+c.Sheddable)
	sum.UsageSamples = nil
	var cumulative float64
	for _, p := range all {
		cumulative += p.count
		// Each sampled use represents an equal share of the sheddable requests.
		for len(sum.UsageSamples) < n && (float64(len(sum.UsageSamples))+0.5)*total/float64(n) <= cumulative {
			sum.UsageSamples = append(sum.UsageSamples, p.use)
		}
	}
}

// higherTier returns the higher of two tiers. 1 is the highest tier and 0 means none.
func higherTier(a, b int) int {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// lowerTier returns the lower of two tiers, or 0 (none) if either is 0.
func lowerTier(a, b int) int {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}
