// Package share divides the servers of a service among the organisations whose requests
// compete for them, by max-min fairness within each tier: no organisation gets less than
// its demand while another of its tier gets more than it. An organisation that sends many
// times its usual pays for its own burst, and a share that is not used serves others.
//
// Load pattern: the demand for a service exceeds what its servers bear, and one
// organisation of many causes most of it, at all hosts.
//
// Demand is work, in busy servers, not a number of requests. Hosts send each other their
// largest demands while a service is busy. The package does no I/O and reads no clock.
package share

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandTimeConstant is the time over which demand is averaged: long enough for organisations that send a request a
	// second, short enough for bursts of a few seconds.
	demandTimeConstant = 2 * time.Second
	// bearable is the part of the servers' time up to which requests do not delay each other beyond their goals. There is
	// nothing to divide below it.
	bearable = 0.9
	// sharedFrom is the part from which hosts tell each other their demands.
	sharedFrom = 0.5
	// maxShared is how many demands a host tells others, the largest first. minShared is the least demand among them.
	maxShared = 24
	minShared = 0.005
	// lowTierFloor is the part of the servers that a tier has to divide at least, whatever the tiers above it use.
	lowTierFloor = 0.1
	// hotFactor is how many times the mean demand of the other organisations of its tier an organisation must have before its
	// share is kept: if all send about the same, none of them makes the others wait.
	hotFactor = 2
	// forgetBelow is the demand below which a flow is dropped.
	forgetBelow = 1e-4
)

// Flow is the stream of an organisation's requests of one tier for one service.
type Flow struct {
	Service      string
	Tier         int
	Organisation string
}

// Demand is the work per second of a flow, in busy servers.
type Demand struct {
	Flow
	Work float64
}

// Load is what a service bears and gets: its number of servers, and the demand of all hosts in busy servers.
type Load struct{ Servers, Demand float64 }

// Ledger holds the demands that one host knows. Create it with [New]. It must be used by one goroutine only.
type Ledger struct {
	own   map[Flow]*flow
	peers map[string]map[Flow]float64
	// others is the sum of peers by flow.
	others map[Flow]float64
	// credit counts, by flow, the requests that are within the flow's share, in fractions of a request.
	credit map[Flow]float64
}

type flow struct {
	stored  float64
	updated time.Time
}

func (f *flow) at(now time.Time) float64 {
	return f.stored * math.Exp(-now.Sub(f.updated).Seconds()/demandTimeConstant.Seconds())
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{own: map[Flow]*flow{}, peers: map[string]map[Flow]float64{}, others: map[Flow]float64{}, credit: map[Flow]float64{}}
}

// Add records the work of a request that has arrived at this host, served or not.
func (l *Ledger) Add(now time.Time, f Flow, work time.Duration) {
	x := l.own[f]
	if x == nil {
		x = &flow{updated: now}
		l.own[f] = x
	}
	x.stored = x.at(now) + work.Seconds()/demandTimeConstant.Seconds()
	x.updated = now
}

// SetPeer replaces the demands of another host; none removes them.
func (l *Ledger) SetPeer(host string, demands []Demand) {
	for f, work := range l.peers[host] {
		if l.others[f] -= work; l.others[f] < forgetBelow {
			delete(l.others, f)
		}
	}
	if len(demands) == 0 {
		delete(l.peers, host)
		return
	}
	next := make(map[Flow]float64, len(demands))
	for _, d := range demands {
		if d.Work > 0 && !math.IsInf(d.Work, 1) {
			next[d.Flow] += d.Work
		}
	}
	for f, work := range next {
		l.others[f] += work
	}
	l.peers[host] = next
}

// Shared returns this host's largest demands for services that are busy, to be sent to other hosts.
func (l *Ledger) Shared(now time.Time, loads map[string]Load) []Demand {
	var out []Demand
	for f, x := range l.own {
		work := x.at(now)
		if work < forgetBelow {
			delete(l.own, f)
			delete(l.credit, f)
			continue
		}
		if load := loads[f.Service]; work >= minShared && load.Demand > sharedFrom*load.Servers {
			out = append(out, Demand{f, work})
		}
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Organisation, b.Organisation),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tier, b.Tier))
	})
	return out[:min(len(out), maxShared)]
}

// Within reports whether the next request of a flow is within its share. While a flow has more demand than its share, that
// part of its requests is.
func (l *Ledger) Within(now time.Time, f Flow, load Load) bool {
	ratio := l.Ratio(now, f, load)
	if ratio >= 1 {
		delete(l.credit, f)
		return true
	}
	if l.credit[f] += ratio; l.credit[f] < 1 {
		return false
	}
	l.credit[f]--
	return true
}

// Ratio returns the part of a flow's demand that its share covers; 1 if it covers all, or if the organisation has no more demand
// than is usual in its tier.
func (l *Ledger) Ratio(now time.Time, f Flow, load Load) float64 {
	if load.Demand <= bearable*load.Servers || load.Servers <= 0 {
		return 1
	}
	higher, known, sum := 0.0, 0.0, 0.0
	var tier []float64
	add := func(x Flow, work float64) {
		if x.Service != f.Service {
			return
		}
		known += work
		switch {
		case x.Tier < f.Tier:
			higher += work
		case x.Tier == f.Tier:
			tier = append(tier, work)
			sum += work
		}
	}
	for x, own := range l.own {
		add(x, own.at(now)+l.others[x])
	}
	for x, work := range l.others {
		if l.own[x] == nil {
			add(x, work)
		}
	}
	own := l.others[f]
	if x := l.own[f]; x != nil {
		own += x.at(now)
	}
	if len(tier) < 2 || own <= hotFactor*(sum-own)/float64(len(tier)-1) {
		return 1
	}
	// Hosts of other zones are known by the sum of their demand only, and are taken to have the same organisations.
	capacity := bearable * load.Servers * min(known/load.Demand, 1)
	level := Level(max(capacity-higher, lowTierFloor*capacity), tier)
	if own <= level {
		return 1
	}
	return level / own
}

// Level returns the largest share that a demand may get such that all shares together, each at most its demand, do not exceed
// the capacity; infinity if all demands fit.
func Level(capacity float64, demands []float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		if even := capacity / float64(len(demands)-i); d > even {
			return even
		}
		capacity -= d
	}
	return math.Inf(1)
}
