// Package statesync encodes the states that hosts send each other, for example
// their waiting requests and their outstanding work on backend servers, as
// size-limited messages with the changes since the previous state. It sums them up
// for other zones. The package does no I/O and reads no clock.
package statesync

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/serverlimit"
	"shallotramp/internal/traffic/suspect"
)

// kind is what a value measures. Each kind has a quota in each message, so that none starves.
type kind byte

const (
	tierKind        kind = 'L' // wanted and applied throttle tiers of a pool
	countKind       kind = 'Q' // request counts of a class in a pool
	useKind         kind = 'U' // least use and sampled uses of a class in a pool, see dispatch.ClassState
	outstandingKind kind = 'O' // outstanding requests of a backend server
	servedKind      kind = 'S' // served tokens of a class and organisation
	waitKind        kind = 'W' // oldest wait of a class
	crashKind       kind = 'M' // crashes of backend servers by the fingerprint of the request that ran
	partCrashKind   kind = 'P' // time of a server's crash by a shared part of the prompt that ran, in Unix milliseconds
	partAnswerKind  kind = 'A' // time of the last answer that began, by shared part, in Unix milliseconds
	limitKind       kind = 'R' // limit that a backend server named, and when
	demandKind      kind = 'D' // demand of an organisation
	hostKind        kind = 'H' // number of hosts whose states are in a sum
)

// kinds lists all kinds in order of urgency, the most urgent first.
var kinds = []kind{tierKind, hostKind, limitKind, crashKind, partAnswerKind, partCrashKind, countKind, useKind, outstandingKind, demandKind, waitKind, servedKind}

// key identifies one value of a state.
type key struct {
	kind kind
	// The names depend on the kind; those not listed are empty.
	//   - tierKind: pool, tier name
	//   - countKind: pool, class, count name
	//   - useKind: pool, class, index in the sample or headUsageIndex
	//   - outstandingKind: server
	//   - servedKind: class, organisation
	//   - waitKind: class
	//   - crashKind: fingerprint
	//   - partCrashKind: server, part
	//   - partAnswerKind: part
	//   - limitKind: server, value name
	//   - demandKind: organisation, demand name
	//   - hostKind: hostCount
	a, b, c string
}

func (k key) names() [3]string { return [3]string{k.a, k.b, k.c} }

// The names of values whose kind has several per pool, class, organisation or host.
const (
	wantedTier     = "w"
	appliedTier    = "a"
	waitingCount   = "w"
	sheddableCount = "s"
	runningCount   = "r"
	startedCount   = "n"

	requestRate = "r"
	tokenRate   = "t"
	streamCount = "s"
	hostCount   = "n"

	limitRate = "r"
	limitTime = "t"
)

// noLimit stands for a server that answered without a limit, and limitTimeUnit is the unit of the times of limits: servers
// name them in each answer, and each new time is a change.
const (
	noLimit       = -1
	limitTimeUnit = time.Second
)

// rateScale converts rates per second to the unit in which they are sent, thousandths per second.
const rateScale = 1000

// values holds the values of a state by key, without those that are 0.
type values map[key]int64

func (v values) set(k key, n int64) {
	if n != 0 {
		v[k] = n
	}
}

// headUsageIndex stands in the key of ClassState.HeadUsage where the keys of samples have their index.
const headUsageIndex = "l"

// setUseValues stores the uses of a class plus 1 each, because values omits those that are 0.
func (v values) setUseValues(pool, class string, c dispatch.ClassState) {
	if c.Waiting > 0 {
		v.set(key{useKind, pool, class, headUsageIndex}, int64(c.HeadUsage)+1)
	}
	for i, u := range c.UsageSamples {
		v.set(key{useKind, pool, class, strconv.Itoa(i)}, int64(u)+1)
	}
}

// setLater stores a time unless a later one is stored.
func (v values) setLater(k key, at time.Time) { v.set(k, max(v[k], at.UnixMilli())) }

// flatten returns the values of h. It omits Waiting, Running and UsedTokens, which unflatten derives from others.
func flatten(h *dispatch.HostState) values {
	v := values{}
	for pool, p := range h.Pools {
		v.set(key{tierKind, pool, wantedTier, ""}, int64(p.WantedThrottleTier))
		v.set(key{tierKind, pool, appliedTier, ""}, int64(p.AppliedThrottleTier))
		for class, c := range p.Classes {
			v.set(key{countKind, pool, class, waitingCount}, int64(c.Waiting))
			v.set(key{countKind, pool, class, sheddableCount}, int64(c.Sheddable))
			v.set(key{countKind, pool, class, runningCount}, int64(c.Running))
			v.set(key{countKind, pool, class, startedCount}, int64(c.Started))
			v.setUseValues(pool, class, c)
		}
	}
	for server, n := range h.Outstanding {
		v.set(key{kind: outstandingKind, a: server}, int64(n))
	}
	for class, d := range h.OldestWait {
		v.set(key{kind: waitKind, a: class}, int64(d/time.Millisecond))
	}
	for class, orgs := range h.ServedTokens {
		for org, n := range orgs {
			v.set(key{servedKind, class, org, ""}, n)
		}
	}
	for org, d := range h.Demand {
		v.set(key{demandKind, org, requestRate, ""}, int64(d.Requests*rateScale))
		v.set(key{demandKind, org, tokenRate, ""}, int64(d.Tokens*rateScale))
		v.set(key{demandKind, org, streamCount, ""}, int64(d.Streams))
	}
	v.set(key{kind: hostKind, a: hostCount}, int64(h.Hosts))
	for _, c := range h.PartCrashes {
		for _, part := range c.Parts {
			v.setLater(key{partCrashKind, c.Server, formatFingerprint(part), ""}, c.At)
		}
	}
	for _, a := range h.PartAnswers {
		v.setLater(key{kind: partAnswerKind, a: formatFingerprint(a.Part)}, a.At)
	}
	for _, l := range h.ServerLimits {
		rate := int64(noLimit)
		if l.Limited {
			rate = max(int64(l.Rate*rateScale), 1)
		}
		v.set(key{limitKind, l.Server, limitRate, ""}, rate)
		v.set(key{limitKind, l.Server, limitTime, ""}, l.At.UnixMilli()/limitTimeUnit.Milliseconds())
	}
	for f, n := range h.CrashCounts {
		v.set(key{kind: crashKind, a: formatFingerprint(f)}, int64(n))
	}
	return v
}

// unflatten returns the state with the given values. It takes served tokens from changes only.
func unflatten(v values, changes values) dispatch.HostState {
	h := dispatch.HostState{
		Waiting: map[string]int{}, Running: map[string]int{}, OldestWait: map[string]time.Duration{}, Outstanding: map[string]int{},
		UsedTokens: map[string]int64{}, CrashCounts: map[uint64]int{}, Pools: map[string]dispatch.PoolState{}, ServedTokens: map[string]map[string]int64{},
		Demand: map[string]dispatch.Demand{},
	}
	for k, n := range v {
		h = setValue(h, k, n)
	}
	slices.SortFunc(h.PartCrashes, func(a, b suspect.PartCrash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server)) })
	slices.SortFunc(h.PartAnswers, func(a, b suspect.PartAnswer) int { return cmp.Compare(a.Part, b.Part) })
	slices.SortFunc(h.ServerLimits, func(a, b serverlimit.Notice) int { return cmp.Compare(a.Server, b.Server) })
	for k, n := range changes {
		if k.kind != servedKind {
			continue
		}
		if h.ServedTokens[k.a] == nil {
			h.ServedTokens[k.a] = map[string]int64{}
		}
		h.ServedTokens[k.a][k.b] = n
		h.UsedTokens[k.b] += n
	}
	return h
}

func setValue(h dispatch.HostState, k key, n int64) dispatch.HostState {
	switch k.kind {
	case tierKind, countKind, useKind:
		h.Pools[k.a] = setPoolValue(h, h.Pools[k.a], k, n)
	case outstandingKind:
		h.Outstanding[k.a] = int(n)
	case waitKind:
		h.OldestWait[k.a] = time.Duration(n) * time.Millisecond
	case demandKind:
		h.Demand[k.a] = setDemandValue(h.Demand[k.a], k.b, n)
	case hostKind:
		h.Hosts = int(n)
	case partCrashKind:
		if part, ok := parseFingerprint(k.b); ok {
			h.PartCrashes = addPartCrash(h.PartCrashes, k.a, time.UnixMilli(n), part)
		}
	case partAnswerKind:
		if part, ok := parseFingerprint(k.a); ok {
			h.PartAnswers = append(h.PartAnswers, suspect.PartAnswer{Part: part, At: time.UnixMilli(n)})
		}
	case limitKind:
		h.ServerLimits = setLimitValue(h.ServerLimits, k, n)
	case crashKind:
		if f, ok := parseFingerprint(k.a); ok {
			h.CrashCounts[f] = int(n)
		}
	}
	return h
}

// setLimitValue sets one of the values of a server's limit.
func setLimitValue(limits []serverlimit.Notice, k key, n int64) []serverlimit.Notice {
	i := slices.IndexFunc(limits, func(l serverlimit.Notice) bool { return l.Server == k.a })
	if i < 0 {
		i = len(limits)
		limits = append(limits, serverlimit.Notice{Server: k.a})
	}
	switch k.b {
	case limitRate:
		if n != noLimit {
			limits[i].Limited, limits[i].Rate = true, float64(n)/rateScale
		}
	case limitTime:
		limits[i].At = time.UnixMilli(n * limitTimeUnit.Milliseconds())
	}
	return limits
}

// addPartCrash adds a part to the crash of a server at a time. Requests that broke with the server at the same millisecond
// become one crash.
func addPartCrash(crashes []suspect.PartCrash, server string, at time.Time, part uint64) []suspect.PartCrash {
	i := slices.IndexFunc(crashes, func(c suspect.PartCrash) bool { return c.Server == server && c.At.Equal(at) })
	if i < 0 {
		return append(crashes, suspect.PartCrash{Server: server, At: at, Parts: []uint64{part}})
	}
	n, _ := slices.BinarySearch(crashes[i].Parts, part)
	crashes[i].Parts = slices.Insert(crashes[i].Parts, n, part)
	return crashes
}

func setPoolValue(h dispatch.HostState, p dispatch.PoolState, k key, n int64) dispatch.PoolState {
	if p.Classes == nil {
		p.Classes = map[string]dispatch.ClassState{}
	}
	if k.kind == tierKind {
		if k.b == wantedTier {
			p.WantedThrottleTier = int(n)
		} else {
			p.AppliedThrottleTier = int(n)
		}
		return p
	}
	c := p.Classes[k.b]
	if k.kind == useKind {
		p.Classes[k.b] = addUse(c, k.c, float64(n-1))
		return p
	}
	switch k.c {
	case waitingCount:
		c.Waiting = int(n)
		h.Waiting[k.b] += int(n)
	case sheddableCount:
		c.Sheddable = int(n)
	case startedCount:
		c.Started = int(n)
	case runningCount:
		c.Running = int(n)
		h.Running[k.b] += int(n)
	}
	p.Classes[k.b] = c
	return p
}

func setDemandValue(d dispatch.Demand, name string, n int64) dispatch.Demand {
	switch name {
	case requestRate:
		d.Requests = float64(n) / rateScale
	case tokenRate:
		d.Tokens = float64(n) / rateScale
	case streamCount:
		d.Streams = int(n)
	}
	return d
}

func addUse(c dispatch.ClassState, index string, use float64) dispatch.ClassState {
	if index == headUsageIndex {
		c.HeadUsage = use
		return c
	}
	i, _ := slices.BinarySearch(c.UsageSamples, use)
	c.UsageSamples = slices.Insert(c.UsageSamples, i, use)
	return c
}
