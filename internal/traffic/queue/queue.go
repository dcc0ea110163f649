// Package queue orders the waiting requests of one host for one pool: tiers in
// order, floor shares that no class falls below, organisations inside a class
// by the tokens of work that they had, and deadlines inside an organisation.
// Each operation costs the logarithm of what waits.
package queue

import (
	"math"
	"sort"
	"time"

	"shallotramp/internal/traffic/request"
)

const (
	// PromptTokenWeight is the work of an input token relative to an output token.
	PromptTokenWeight = 0.1
	// useMemory is the time after which work that an organisation had counts 1/e.
	useMemory = 900 * time.Second
	// maxGrowth bounds the scale of the decayed sums before they are rebased.
	maxGrowth = 1e12
	// serviceWindow is the longest time for which a class with waiting work is left without a start.
	serviceWindow = 5 * time.Second
	// windowSpread spreads the ends of that time over hosts, so that not all of them start work then.
	windowSpread = 2 * time.Second
)

// Work returns the tokens of work of an input and an output.
func Work(prompt int, output float64) float64 { return PromptTokenWeight*float64(prompt) + output }

// decay weighs amounts so that sums of them fall exponentially over time without being
// touched: newer amounts grow instead, and the order of sums never changes by itself.
type decay struct{ base time.Time }

func (d *decay) growth(now time.Time) float64 {
	if d.base.IsZero() {
		d.base = now
	}
	return math.Exp(float64(now.Sub(d.base)) / float64(useMemory))
}

func (d *decay) stale(now time.Time) bool { return d.growth(now) > maxGrowth }

// restart moves the base to now and returns the factor for the sums so far.
func (d *decay) restart(now time.Time) float64 {
	factor := 1 / d.growth(now)
	d.base = now
	return factor
}

// Item is a request that waits.
type Item struct {
	Request *request.Request
	// Due is the latest start that meets the latency target.
	Due time.Time
	// Cost is the estimated work in tokens.
	Cost float64
	// Resumed items ran before; they go first in their organisation and are not shed.
	Resumed bool

	class                        *Class
	flow                         *flow
	isLate                       bool
	place, duePlace, expiryPlace int
}

// before orders the items of one organisation in one class.
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

// Late reports whether the item waits and has missed its latest start.
func (it *Item) Late() bool { return it.isLate }

// Queue is the waiting work of one pool on one host. It is used by one goroutine.
type Queue struct {
	window  time.Duration
	classes map[string]*Class
	order   []*Class
	weights map[string]float64
}

// New returns an empty Queue. spread, from 0 to 1, differs between hosts.
func New(spread float64) *Queue {
	return &Queue{classes: map[string]*Class{}, window: serviceWindow + time.Duration(spread*float64(windowSpread))}
}

// ClassConfig is the configuration of one class.
type ClassConfig struct {
	Name   string
	Tier   int
	Floor  float64
	Target time.Duration
}

// Configure sets classes and the weights of organisations, where missing ones weigh 1. Classes
// that are gone keep their waiting work until it is removed.
func (q *Queue) Configure(now time.Time, levels []ClassConfig, weights map[string]float64) {
	q.weights = weights
	for _, l := range levels {
		c := q.Class(l.Name)
		c.Tier, c.Floor, c.Target = l.Tier, l.Floor, l.Target
	}
	q.order = q.order[:0]
	for _, c := range q.classes {
		q.order = append(q.order, c)
		for _, f := range c.flows {
			old := f.weight
			f.weight = q.weight(f.name)
			f.used *= old / f.weight
			c.place(now, f)
		}
	}
	q.sort()
}

// sort orders the classes and numbers their ranks.
func (q *Queue) sort() {
	sort.Slice(q.order, func(i, j int) bool {
		a, b := q.order[i], q.order[j]
		if a.Tier != b.Tier {
			return a.Tier < b.Tier
		}
		return a.Name < b.Name
	})
	for i, c := range q.order {
		switch {
		case i == 0:
			c.Rank = 1
		case q.order[i-1].Tier == c.Tier:
			c.Rank = q.order[i-1].Rank
		default:
			c.Rank = q.order[i-1].Rank + 1
		}
	}
}

func (q *Queue) weight(org string) float64 {
	if w := q.weights[org]; w > 0 {
		return w
	}
	return 1
}

// Class returns the class of a name, which is created when missing.
func (q *Queue) Class(name string) *Class {
	c, ok := q.classes[name]
	if !ok {
		c = newClass(name)
		q.classes[name] = c
		q.order = append(q.order, c)
		q.sort()
	}
	return c
}

// Classes lists the classes in order of tier. The caller must not change the slice.
func (q *Queue) Classes() []*Class { return q.order }

// Push adds an item.
func (q *Queue) Push(now time.Time, it *Item) {
	c := q.Class(it.Request.Class)
	it.duePlace, it.expiryPlace = -1, -1
	if _, ok := c.flows[it.Request.Organisation]; !ok {
		c.flow(it.Request.Organisation).weight = q.weight(it.Request.Organisation)
	}
	c.push(now, it)
}

// Remove takes an item out. Items that do not wait are left alone.
func (q *Queue) Remove(now time.Time, it *Item) {
	if it.class != nil {
		it.class.remove(now, it)
	}
}

// Charge notes work that an organisation had in a class, here or on another host. A negative amount corrects an estimate.
func (q *Queue) Charge(now time.Time, class, org string, work float64) {
	c := q.Class(class)
	if _, ok := c.flows[org]; !ok {
		c.flow(org).weight = q.weight(org)
	}
	c.charge(now, org, work)
}

// Started notes that an item of the class runs.
func (q *Queue) Started(now time.Time, class string) {
	c := q.Class(class)
	c.Running++
	c.Starts++
	c.LastStart = now
	c.yielded = time.Time{}
}

// Ended notes that a running item of the class ended.
func (q *Queue) Ended(class string) { q.Class(class).Running-- }

// Capacity is what the pool offers at a moment.
type Capacity struct {
	// Slots is how many requests the pool runs at once, over all hosts.
	Slots int
	// FloorOnlyBelow is the highest tier whose lower tiers start by their floors only; 0 is none.
	FloorOnlyBelow int
	// FreeSlots is how many more than the running requests it could run.
	FreeSlots int
	// HasRoom tells whether work of a rank finds a place now; rank 1 is the pool's first tier.
	HasRoom func(rank int) bool
}

// Next returns the item to start now and whether it is by the class's floor; nil when none may start.
func (q *Queue) Next(now time.Time, s Capacity) (it *Item, floor bool) {
	if !s.HasRoom(1) {
		return nil, false
	}
	if c := q.starved(now, s.Slots); c != nil {
		return c.head(), true
	}
	for i, c := range q.order {
		if c.waiting == 0 {
			continue
		}
		// Work of a higher tier that waits on another host has the free places first.
		ahead := q.peersAbove(c.Tier)
		if s.FloorOnlyBelow > 0 && c.Tier > s.FloorOnlyBelow || ahead > 0 && ahead >= s.FreeSlots || !s.HasRoom(c.Rank) {
			return nil, false
		}
		if c = q.firstOfTier(i); c.yields(now) {
			return nil, false
		}
		return c.head(), false
	}
	return nil, false
}

// peersAbove counts what waits on other hosts in the tiers above one.
func (q *Queue) peersAbove(tier int) int {
	n := 0
	for _, c := range q.order {
		if c.Tier < tier {
			n += c.PeerWaiting
		}
	}
	return n
}

// firstOfTier returns the class with the earliest due head among those that share the tier of the class at place i.
func (q *Queue) firstOfTier(i int) *Class {
	best := q.order[i]
	for _, c := range q.order[i+1:] {
		if c.Tier != best.Tier {
			break
		}
		if c.waiting > 0 && c.head().Due.Before(best.head().Due) {
			best = c
		}
	}
	return best
}

// starved returns the lowest class with waiting work that has less than its floor.
func (q *Queue) starved(now time.Time, slots int) *Class {
	for i := len(q.order) - 1; i >= 0; i-- {
		c := q.order[i]
		if c.waiting == 0 {
			continue
		}
		if now.Sub(c.LastStart) >= q.window || float64(c.Running+c.PeerRunning) < c.Floor*float64(slots) && !c.yields(now) {
			return c
		}
	}
	return nil
}

// Advance lets time pass and returns the items whose deadline has come, which are removed.
func (q *Queue) Advance(now time.Time) []*Item {
	var out []*Item
	for _, c := range q.order {
		c.pass(now)
		for c.expiry.Len() > 0 && !now.Before(c.expiry.Peek().Request.Deadline) {
			it := c.expiry.Peek()
			c.remove(now, it)
			out = append(out, it)
		}
	}
	return out
}

// ShedFilter tells which items are shed: those before which at least Line comes, in tokens by weight,
// and that arrived at Since or later.
type ShedFilter struct {
	MinUsage     float64
	ArrivedSince time.Time
}

// Shed removes the items of a class that a cut does not spare, until keep of those wait that may be
// shed, and returns them.
func (q *Queue) Shed(now time.Time, c *Class, keep int, by ShedFilter) []*Item {
	var out []*Item
	for c.Sheddable() > keep {
		it := c.victim(now, by)
		if it == nil {
			break
		}
		c.remove(now, it)
		out = append(out, it)
	}
	return out
}

// Where returns the waiting items that f selects.
func (q *Queue) Where(f func(*request.Request) bool) []*Item {
	var out []*Item
	for _, c := range q.order {
		for i := range c.expiry.Len() {
			if it := c.expiry.At(i); f(it.Request) {
				out = append(out, it)
			}
		}
	}
	return out
}

// ForgetOrganisations drops organisations that are gone and have nothing waiting.
func (q *Queue) ForgetOrganisations(known func(org string) bool) {
	for _, c := range q.order {
		for name, f := range c.flows {
			if !known(name) && f.longestPlace < 0 {
				c.most.Remove(f.usePlace)
				delete(c.flows, name)
			}
		}
	}
}
