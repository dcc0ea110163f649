// Package exchange carries the states of hosts between them: as changes since the
// state before, bounded in size, and summed up for other zones. All of it is pure.
package exchange

import (
	"slices"
	"strconv"
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// kind tells what a value counts. Kinds have a quota of each message, so that none starves.
type kind byte

const (
	levels      kind = 'L'
	queues      kind = 'Q'
	uses        kind = 'U'
	outstanding kind = 'O'
	served      kind = 'S'
	waits       kind = 'W'
	marks       kind = 'M'
	demand      kind = 'D'
	hosts       kind = 'H'
)

// kinds lists all kinds, the most urgent first.
var kinds = []kind{levels, hosts, marks, queues, uses, outstanding, demand, waits, served}

// key names one value: its kind and the names that it belongs to.
type key struct {
	kind kind
	// a, b and c are, by kind: pool and level; pool, class and count; pool, class and place; server; organisation and rate; class and organisation; class; fingerprint.
	a, b, c string
}

// names returns the names of the key.
func (k key) names() [3]string { return [3]string{k.a, k.b, k.c} }

// Names of the values of levels and queues.
const (
	wanted    = "w"
	applied   = "a"
	waiting   = "w"
	sheddable = "s"
	running   = "r"
	started   = "n"

	requestRate = "r"
	tokenRate   = "t"
	streams     = "s"
	hostCount   = "n"
)

// rateScale is the unit of told rates: thousandths per second.
const rateScale = 1000

// values are the values of a state by key. Zero values are left out.
type values map[key]int64

func (v values) set(k key, n int64) {
	if n != 0 {
		v[k] = n
	}
}

// least is the place of a class's least use.
const least = "l"

// setUses keeps the uses of a class, one more each, so that none is left out as zero.
func (v values) setUses(pool, class string, c dispatch.ClassState) {
	if c.Waiting > 0 {
		v.set(key{uses, pool, class, least}, int64(c.LeastUse)+1)
	}
	for i, u := range c.Uses {
		v.set(key{uses, pool, class, strconv.Itoa(i)}, int64(u)+1)
	}
}

// flatten returns the values of h. Waiting, Running and Used follow from others and are left out.
func flatten(h *dispatch.HostState) values {
	v := values{}
	for pool, p := range h.Pools {
		v.set(key{levels, pool, wanted, ""}, int64(p.WantedThrottleTier))
		v.set(key{levels, pool, applied, ""}, int64(p.AppliedThrottleTier))
		for class, c := range p.Classes {
			v.set(key{queues, pool, class, waiting}, int64(c.Waiting))
			v.set(key{queues, pool, class, sheddable}, int64(c.Sheddable))
			v.set(key{queues, pool, class, running}, int64(c.Running))
			v.set(key{queues, pool, class, started}, int64(c.Started))
			v.setUses(pool, class, c)
		}
	}
	for server, n := range h.Outstanding {
		v.set(key{kind: outstanding, a: server}, int64(n))
	}
	for class, d := range h.OldestWait {
		v.set(key{kind: waits, a: class}, int64(d/time.Millisecond))
	}
	for class, orgs := range h.ServedTokens {
		for org, n := range orgs {
			v.set(key{served, class, org, ""}, n)
		}
	}
	for org, d := range h.Demand {
		v.set(key{demand, org, requestRate, ""}, int64(d.Requests*rateScale))
		v.set(key{demand, org, tokenRate, ""}, int64(d.Tokens*rateScale))
		v.set(key{demand, org, streams, ""}, int64(d.Streams))
	}
	v.set(key{kind: hosts, a: hostCount}, int64(h.Hosts))
	for f, n := range h.CrashCounts {
		v.set(key{kind: marks, a: fingerprint(f)}, int64(n))
	}
	return v
}

// unflatten returns the state with the values of all kinds but served, of which only recent ones are told.
func unflatten(v values, recent values) dispatch.HostState {
	h := dispatch.HostState{
		Waiting: map[string]int{}, Running: map[string]int{}, OldestWait: map[string]time.Duration{}, Outstanding: map[string]int{},
		UsedTokens: map[string]int64{}, CrashCounts: map[uint64]int{}, Pools: map[string]dispatch.PoolState{}, ServedTokens: map[string]map[string]int64{},
		Demand: map[string]dispatch.Demand{},
	}
	for k, n := range v {
		h = put(h, k, n)
	}
	for k, n := range recent {
		if k.kind != served {
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

func put(h dispatch.HostState, k key, n int64) dispatch.HostState {
	switch k.kind {
	case levels, queues, uses:
		h.Pools[k.a] = putPool(h, h.Pools[k.a], k, n)
	case outstanding:
		h.Outstanding[k.a] = int(n)
	case waits:
		h.OldestWait[k.a] = time.Duration(n) * time.Millisecond
	case demand:
		h.Demand[k.a] = putDemand(h.Demand[k.a], k.b, n)
	case hosts:
		h.Hosts = int(n)
	case marks:
		if f, ok := parseFingerprint(k.a); ok {
			h.CrashCounts[f] = int(n)
		}
	}
	return h
}

func putPool(h dispatch.HostState, p dispatch.PoolState, k key, n int64) dispatch.PoolState {
	if p.Classes == nil {
		p.Classes = map[string]dispatch.ClassState{}
	}
	if k.kind == levels {
		if k.b == wanted {
			p.WantedThrottleTier = int(n)
		} else {
			p.AppliedThrottleTier = int(n)
		}
		return p
	}
	c := p.Classes[k.b]
	if k.kind == uses {
		p.Classes[k.b] = putUse(c, k.c, float64(n-1))
		return p
	}
	switch k.c {
	case waiting:
		c.Waiting = int(n)
		h.Waiting[k.b] += int(n)
	case sheddable:
		c.Sheddable = int(n)
	case started:
		c.Started = int(n)
	case running:
		c.Running = int(n)
		h.Running[k.b] += int(n)
	}
	p.Classes[k.b] = c
	return p
}

func putDemand(d dispatch.Demand, name string, n int64) dispatch.Demand {
	switch name {
	case requestRate:
		d.Requests = float64(n) / rateScale
	case tokenRate:
		d.Tokens = float64(n) / rateScale
	case streams:
		d.Streams = int(n)
	}
	return d
}

func putUse(c dispatch.ClassState, place string, use float64) dispatch.ClassState {
	if place == least {
		c.LeastUse = use
		return c
	}
	i, _ := slices.BinarySearch(c.Uses, use)
	c.Uses = slices.Insert(c.Uses, i, use)
	return c
}
