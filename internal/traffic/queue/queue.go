// Package queue orders the waiting requests of one host for one pool. Tiers are
// served in order, except that each class is guaranteed its floor, a minimum share
// of the pool's slots. Inside a class, the organisation whose recent work, divided
// by its weight, is least comes first; inside an organisation, the request that is
// due first. The priority queues are binary heaps, so an operation on one item takes time logarithmic in
// the number of waiting items.
package queue

import (
	"math"
	"sort"
	"time"

	"shallotramp/internal/traffic/request"
)

const (
	// PromptTokenWeight is the work of an input token relative to that of an output token.
	PromptTokenWeight = 0.1
	// usageTimeConstant is the time after which the weight of an organisation's work has decayed to 1/e.
	usageTimeConstant = 900 * time.Second
	// maxDecayWeight is the weight of new amounts above which the decayed sums are rebased.
	maxDecayWeight = 1e12
	// starvationLimit is the time without a start after which a class with waiting items is served next.
	starvationLimit = 5 * time.Second
	// starvationJitter is the longest addition to starvationLimit. It differs between hosts, so that they
	// do not all serve a starved class at the same moment.
	starvationJitter = 2 * time.Second
)

// Work returns the work of an input of prompt tokens and an output of output tokens, in units of output tokens.
func Work(prompt int, output float64) float64 { return PromptTokenWeight*float64(prompt) + output }

// forwardDecay implements exponential decay of sums without updates to them: the weight of new amounts
// grows with time instead. The order of two sums does not change unless one of them is added to.
// A sum divided by weightAt(now) is its decayed value.
type forwardDecay struct{ base time.Time }

// weightAt returns the factor for an amount that is added to a sum now.
func (d *forwardDecay) weightAt(now time.Time) float64 {
	if d.base.IsZero() {
		d.base = now
	}
	return math.Exp(float64(now.Sub(d.base)) / float64(usageTimeConstant))
}

func (d *forwardDecay) needsRebase(now time.Time) bool { return d.weightAt(now) > maxDecayWeight }

// rebase moves the base to now and returns the factor by which all existing sums must be multiplied.
func (d *forwardDecay) rebase(now time.Time) float64 {
	factor := 1 / d.weightAt(now)
	d.base = now
	return factor
}

// Item is a request for a queue.
type Item struct {
	Request *request.Request
	// Due is the latest start time that meets the latency target.
	Due time.Time
	// Cost is the estimated work in tokens.
	Cost float64
	// Resumed marks an item that has run before. It precedes the others of its organisation and is not shed.
	Resumed bool

	class                          *Class
	flow                           *flow
	isLate                         bool
	index, dueIndex, deadlineIndex int
}

// before reports whether it precedes other, an item of the same organisation and class.
func (it *Item) before(other *Item) bool {
	if it.Resumed != other.Resumed {
		return it.Resumed
	}
	if !it.Due.Equal(other.Due) {
		return it.Due.Before(other.Due)
	}
	return it.Request.ID < other.Request.ID
}

// Waiting reports whether the item is in a queue.
func (it *Item) Waiting() bool { return it.class != nil }

// Late reports whether the item missed its latest start time while it waited.
func (it *Item) Late() bool { return it.isLate }

// Queue holds the waiting items of one pool on one host. It is not safe for concurrent use.
type Queue struct {
	starvationLimit time.Duration
	classes         map[string]*Class
	byTier          []*Class
	weights         map[string]float64
}

// New returns an empty Queue. jitter, from 0 to 1, should differ between hosts: it delays the point at
// which a class counts as starved.
func New(jitter float64) *Queue {
	return &Queue{classes: map[string]*Class{}, starvationLimit: starvationLimit + time.Duration(jitter*float64(starvationJitter))}
}

// ClassConfig is the configuration of one class.
type ClassConfig struct {
	Name   string
	Tier   int
	Floor  float64
	Target time.Duration
}

// Configure sets the classes and the weights of organisations. An organisation without an entry has
// weight 1. Classes that are no longer configured keep their waiting items until those are removed.
func (q *Queue) Configure(now time.Time, classes []ClassConfig, weights map[string]float64) {
	q.weights = weights
	for _, cfg := range classes {
		c := q.Class(cfg.Name)
		c.Tier, c.Floor, c.Target = cfg.Tier, cfg.Floor, cfg.Target
	}
	q.byTier = q.byTier[:0]
	for _, c := range q.classes {
		q.byTier = append(q.byTier, c)
		for _, f := range c.flows {
			old := f.weight
			f.weight = q.weight(f.name)
			f.usage *= old / f.weight
			c.updateFlow(now, f)
		}
	}
	q.sort()
}

// sort orders the classes by tier and assigns their ranks.
func (q *Queue) sort() {
	sort.Slice(q.byTier, func(i, j int) bool {
		a, b := q.byTier[i], q.byTier[j]
		if a.Tier != b.Tier {
			return a.Tier < b.Tier
		}
		return a.Name < b.Name
	})
	for i, c := range q.byTier {
		switch {
		case i == 0:
			c.Rank = 1
		case q.byTier[i-1].Tier == c.Tier:
			c.Rank = q.byTier[i-1].Rank
		default:
			c.Rank = q.byTier[i-1].Rank + 1
		}
	}
}

// weight returns the weight of an organisation, 1 if none is configured.
func (q *Queue) weight(org string) float64 {
	if w := q.weights[org]; w > 0 {
		return w
	}
	return 1
}

// Class returns the class with the given name and creates it if there is none.
func (q *Queue) Class(name string) *Class {
	c, ok := q.classes[name]
	if !ok {
		c = newClass(name)
		q.classes[name] = c
		q.byTier = append(q.byTier, c)
		q.sort()
	}
	return c
}

// Classes lists the classes in order of tier. The caller must not change the slice.
func (q *Queue) Classes() []*Class { return q.byTier }

// Push adds an item.
func (q *Queue) Push(now time.Time, it *Item) {
	c := q.Class(it.Request.Class)
	it.dueIndex, it.deadlineIndex = -1, -1
	if _, ok := c.flows[it.Request.Organisation]; !ok {
		c.flow(it.Request.Organisation).weight = q.weight(it.Request.Organisation)
	}
	c.push(now, it)
}

// Remove removes an item. It does nothing if the item is not in the queue.
func (q *Queue) Remove(now time.Time, it *Item) {
	if it.class != nil {
		it.class.remove(now, it)
	}
}

// Charge adds work in tokens, done on this host or another, to an organisation's usage in a class. A
// negative amount corrects an estimate that was too high.
func (q *Queue) Charge(now time.Time, class, org string, work float64) {
	c := q.Class(class)
	if _, ok := c.flows[org]; !ok {
		c.flow(org).weight = q.weight(org)
	}
	c.charge(now, org, work)
}

// Started records that an item of the class has started.
func (q *Queue) Started(now time.Time, class string) {
	c := q.Class(class)
	c.Running++
	c.Starts++
	c.LastStart = now
	c.yieldingSince = time.Time{}
}

// Ended records that a running item of the class has ended.
func (q *Queue) Ended(class string) { q.Class(class).Running-- }

// Capacity describes what the pool can run at present.
type Capacity struct {
	// Slots is the number of requests that the pool can run at once, over all hosts.
	Slots int
	// ThrottleTier is the tier below which classes (those with higher tier numbers) start items within
	// their floors only. 0 restricts no class.
	ThrottleTier int
	// FreeSlots is the number of requests that the pool can run in addition to the running ones.
	FreeSlots int
	// HasRoom reports whether a slot is free now for an item of a rank; rank 1 is the pool's top tier.
	HasRoom func(rank int) bool
}

// Next returns the item to start now, or nil if none may start. floor is true if the item starts
// because its class is starved: below its floor, or too long without a start.
func (q *Queue) Next(now time.Time, capacity Capacity) (it *Item, floor bool) {
	if !capacity.HasRoom(1) {
		return nil, false
	}
	if c := q.starved(now, capacity.Slots); c != nil {
		return c.head(), true
	}
	for i, c := range q.byTier {
		if c.waiting == 0 {
			continue
		}
		// Items of higher tiers that wait on other hosts have priority for the free slots.
		ahead := q.peersWaitingAbove(c.Tier)
		if capacity.ThrottleTier > 0 && c.Tier > capacity.ThrottleTier || ahead > 0 && ahead >= capacity.FreeSlots || !capacity.HasRoom(c.Rank) {
			return nil, false
		}
		if c = q.earliestOfTier(i); c.yieldsToPeer(now) {
			return nil, false
		}
		return c.head(), false
	}
	return nil, false
}

// peersWaitingAbove returns the number of requests of higher tiers than tier that wait on other hosts.
func (q *Queue) peersWaitingAbove(tier int) int {
	n := 0
	for _, c := range q.byTier {
		if c.Tier < tier {
			n += c.PeerWaiting
		}
	}
	return n
}

// earliestOfTier returns the class whose next item is due first, among class i of byTier and the later
// classes of the same tier.
func (q *Queue) earliestOfTier(i int) *Class {
	best := q.byTier[i]
	for _, c := range q.byTier[i+1:] {
		if c.Tier != best.Tier {
			break
		}
		if c.waiting > 0 && c.head().Due.Before(best.head().Due) {
			best = c
		}
	}
	return best
}

// starved returns the last class in tier order with waiting items that has started none for
// starvationLimit or runs fewer requests than its floor and does not yield to another host.
func (q *Queue) starved(now time.Time, slots int) *Class {
	for i := len(q.byTier) - 1; i >= 0; i-- {
		c := q.byTier[i]
		if c.waiting == 0 {
			continue
		}
		if now.Sub(c.LastStart) >= q.starvationLimit || float64(c.Running+c.PeerRunning) < c.Floor*float64(slots) && !c.yieldsToPeer(now) {
			return c
		}
	}
	return nil
}

// Advance updates the queue to the time now: it marks items as late, and removes and returns those
// whose deadline has been reached.
func (q *Queue) Advance(now time.Time) []*Item {
	var out []*Item
	for _, c := range q.byTier {
		c.markLate(now)
		for c.byDeadline.Len() > 0 && !now.Before(c.byDeadline.Peek().Request.Deadline) {
			it := c.byDeadline.Peek()
			c.remove(now, it)
			out = append(out, it)
		}
	}
	return out
}

// ShedFilter selects the items to shed: those with at least MinUsage before them, in tokens per unit of
// weight, that arrived at ArrivedSince or later. An item has before it the recent usage of its
// organisation and the cost of that organisation's other waiting items.
type ShedFilter struct {
	MinUsage     float64
	ArrivedSince time.Time
}

// Shed removes and returns items of a class that the filter selects, until only keep sheddable items
// wait.
func (q *Queue) Shed(now time.Time, c *Class, keep int, filter ShedFilter) []*Item {
	var out []*Item
	for c.Sheddable() > keep {
		it := c.nextToShed(now, filter)
		if it == nil {
			break
		}
		c.remove(now, it)
		out = append(out, it)
	}
	return out
}

// Where returns the waiting items for whose request f returns true.
func (q *Queue) Where(f func(*request.Request) bool) []*Item {
	var out []*Item
	for _, c := range q.byTier {
		for i := range c.byDeadline.Len() {
			if it := c.byDeadline.At(i); f(it.Request) {
				out = append(out, it)
			}
		}
	}
	return out
}

// ForgetOrganisations drops the organisations for which known returns false and that have no waiting items.
func (q *Queue) ForgetOrganisations(known func(org string) bool) {
	for _, c := range q.byTier {
		for name, f := range c.flows {
			if !known(name) && f.projectedIndex < 0 {
				c.byUsage.Remove(f.usageIndex)
				delete(c.flows, name)
			}
		}
	}
}
