package queue

import (
	"slices"
	"time"
)

// flow holds the waiting items and the recent usage of one organisation in one class.
type flow struct {
	name   string
	weight float64
	// usage is the work done for the organisation, in tokens per unit of weight. It is a sum of the
	// class's forwardDecay: divided by weightAt(now) it is the recent usage.
	usage float64
	// queuedCost is the sum of the costs of the waiting items.
	queuedCost float64
	// projectedUsage is usage plus the cost of the waiting items, in the same scale. Shedding begins with
	// the organisations that have the highest.
	projectedUsage float64
	// onTime holds the items that can still start within their latency target, late those that cannot.
	onTime, late Heap[*Item]
	// Indexes in the heaps of the class; -1 if the flow is not in the heap.
	onTimeIndex, lateIndex, projectedIndex, usageIndex int
}

// Class holds the waiting items of one class in one pool on one host and orders them by fair sharing
// between organisations.
type Class struct {
	Name string
	Tier int
	// Rank is the position of the class's tier among the tiers of the pool, from 1.
	Rank int
	// Floor is the share of the pool, from 0 to 1, that the class is guaranteed while it has waiting items.
	Floor float64
	// Target is the longest wait that still meets the target for the time to the first token.
	Target time.Duration
	// Running counts the running requests of this host, PeerRunning and PeerWaiting the running and
	// waiting requests of other hosts.
	Running, PeerRunning, PeerWaiting int
	// LastStart is when an item of the class was last started, or when the first item was queued in an
	// idle class.
	LastStart time.Time
	// Starts counts the attempts started on this host.
	Starts int
	// PeerMinUsage is the lowest usage of the organisations that are next on other hosts; negative if
	// nothing waits there.
	PeerMinUsage float64
	// ServiceTime is the mean time that a request runs on its server; zero while unknown.
	ServiceTime time.Duration

	// yieldingSince is when the class began to leave free slots to other hosts; zero if it does not.
	yieldingSince    time.Time
	decay            forwardDecay
	flows            map[string]*flow
	onTimeFlows      Heap[*flow]
	lateFlows        Heap[*flow]
	byProjectedUsage Heap[*flow]
	byUsage          Heap[*flow]
	byDue            Heap[*Item]
	byDeadline       Heap[*Item]
	waiting          int
	resumed          int
}

func newClass(name string) *Class {
	byUsage := func(a, b *flow) bool {
		if a.usage != b.usage {
			return a.usage < b.usage
		}
		return a.name < b.name
	}
	byProjectedUsage := func(a, b *flow) bool {
		if a.projectedUsage != b.projectedUsage {
			return a.projectedUsage > b.projectedUsage
		}
		return a.name < b.name
	}
	return &Class{
		Name: name, PeerMinUsage: -1, flows: map[string]*flow{},
		onTimeFlows:      NewHeap(byUsage, func(f *flow, i int) { f.onTimeIndex = i }),
		lateFlows:        NewHeap(byUsage, func(f *flow, i int) { f.lateIndex = i }),
		byProjectedUsage: NewHeap(byProjectedUsage, func(f *flow, i int) { f.projectedIndex = i }),
		byUsage:          NewHeap(func(a, b *flow) bool { return a.usage > b.usage }, func(f *flow, i int) { f.usageIndex = i }),
		byDue:            NewHeap(func(a, b *Item) bool { return a.Due.Before(b.Due) }, func(it *Item, i int) { it.dueIndex = i }),
		byDeadline:       NewHeap(func(a, b *Item) bool { return a.Request.Deadline.Before(b.Request.Deadline) }, func(it *Item, i int) { it.deadlineIndex = i }),
	}
}

// Waiting returns the number of items that wait.
func (c *Class) Waiting() int { return c.waiting }

// Sheddable returns the number of waiting items that have not run yet.
func (c *Class) Sheddable() int { return c.waiting - c.resumed }

func (c *Class) flow(org string) *flow {
	f, ok := c.flows[org]
	if !ok {
		less := func(a, b *Item) bool { return a.before(b) }
		setIndex := func(it *Item, i int) { it.index = i }
		f = &flow{name: org, weight: 1, onTime: NewHeap(less, setIndex), late: NewHeap(less, setIndex), onTimeIndex: -1, lateIndex: -1, projectedIndex: -1}
		c.flows[org] = f
		c.byUsage.Push(f)
	}
	return f
}

func (c *Class) push(now time.Time, it *Item) {
	if c.waiting == 0 && c.LastStart.Before(now) && c.Running == 0 {
		c.LastStart = now
	}
	f := c.flow(it.Request.Organisation)
	it.flow, it.class = f, c
	it.isLate = !it.Resumed && now.After(it.Due)
	c.heapOf(it).Push(it)
	if !it.isLate && !it.Resumed {
		c.byDue.Push(it)
	}
	c.byDeadline.Push(it)
	f.queuedCost += it.Cost
	c.waiting++
	if it.Resumed {
		c.resumed++
	}
	c.updateFlow(now, f)
}

// heapOf returns the heap of the item's flow that holds the item.
func (c *Class) heapOf(it *Item) *Heap[*Item] {
	if it.isLate {
		return &it.flow.late
	}
	return &it.flow.onTime
}

// updateFlow restores the position of f in the heaps of the class after a change, and adds it to or
// removes it from those that hold only flows with waiting items.
func (c *Class) updateFlow(now time.Time, f *flow) {
	f.projectedUsage = f.usage + f.queuedCost/f.weight*c.decay.weightAt(now)
	c.byUsage.Fix(f.usageIndex)
	updateHeap(&c.onTimeFlows, f, f.onTimeIndex, f.onTime.Len() > 0)
	updateHeap(&c.lateFlows, f, f.lateIndex, f.late.Len() > 0)
	updateHeap(&c.byProjectedUsage, f, f.projectedIndex, f.onTime.Len()+f.late.Len() > 0)
}

// updateHeap adds f to h, fixes its position or removes it, so that h contains f if and only if in is true.
func updateHeap(h *Heap[*flow], f *flow, index int, in bool) {
	switch {
	case in && index < 0:
		h.Push(f)
	case in:
		h.Fix(index)
	case index >= 0:
		h.Remove(index)
	}
}

func (c *Class) remove(now time.Time, it *Item) {
	f := it.flow
	c.heapOf(it).Remove(it.index)
	if it.dueIndex >= 0 {
		c.byDue.Remove(it.dueIndex)
	}
	if it.deadlineIndex >= 0 {
		c.byDeadline.Remove(it.deadlineIndex)
	}
	f.queuedCost -= it.Cost
	c.waiting--
	if it.Resumed {
		c.resumed--
	}
	it.class, it.flow = nil, nil
	c.updateFlow(now, f)
}

// UnderservedRatio is the ratio of two organisations' usage below which the one with less counts as
// underserved.
const UnderservedRatio = 0.98

// head returns the item to start next, from the organisation with the lowest usage; nil if none waits.
// On-time items precede late ones unless the late ones belong to an underserved organisation.
func (c *Class) head() *Item {
	switch {
	case c.lateFlows.Len() == 0 && c.onTimeFlows.Len() == 0:
		return nil
	case c.onTimeFlows.Len() == 0 || c.lateFlows.Len() > 0 && c.lateFlows.Peek().usage < UnderservedRatio*c.onTimeFlows.Peek().usage:
		return c.lateFlows.Peek().late.Peek()
	}
	return c.onTimeFlows.Peek().onTime.Peek()
}

// MaxUsage returns the highest recent usage of any organisation, in tokens per unit of weight.
func (c *Class) MaxUsage(now time.Time) float64 {
	if c.byUsage.Len() == 0 {
		return 0
	}
	return c.byUsage.Peek().usage / c.decay.weightAt(now)
}

// HeadUsage returns the recent usage, in tokens per unit of weight, of the organisation whose item is
// next; 0 if none waits.
func (c *Class) HeadUsage(now time.Time) float64 {
	it := c.head()
	if it == nil {
		return 0
	}
	return it.flow.usage / c.decay.weightAt(now)
}

// SampleUsage returns at most size samples, in ascending order, of the usage that precedes each
// sheddable item: the recent usage of its organisation plus the cost of that organisation's sheddable
// items counted before it, in tokens per unit of weight.
func (c *Class) SampleUsage(now time.Time, size int) []float64 {
	var all []float64
	weightNow := c.decay.weightAt(now)
	for i := 0; i < c.byProjectedUsage.Len() && len(all) < maxSampledItems; i++ {
		f := c.byProjectedUsage.At(i)
		usage := f.usage / weightNow
		for _, h := range []*Heap[*Item]{&f.onTime, &f.late} {
			for j := range h.Len() {
				if it := h.At(j); !it.Resumed {
					all = append(all, usage)
					usage += it.Cost / f.weight
				}
			}
		}
	}
	slices.Sort(all)
	if len(all) <= size {
		return all
	}
	out := make([]float64, size)
	for i := range out {
		out[i] = all[(2*i+1)*len(all)/(2*size)]
	}
	return out
}

// maxSampledItems limits the items that [Class.SampleUsage] collects: it adds no further organisation
// once it has this many.
const maxSampledItems = 1024

const (
	// yieldUsageRatio is the highest ratio of the local organisation's usage to that of the organisation
	// next on another host at which the class does not yield. One item's cost is allowed on top.
	yieldUsageRatio = 1.05
	// maxYieldTime is the longest time for which a class leaves a free slot to another host.
	maxYieldTime = 1500 * time.Millisecond
	// yieldServiceDivisor limits the yield time to this fraction of the service time, because an idle
	// slot must cost little compared to the request that will use it.
	yieldServiceDivisor = 8
)

// yieldsToPeer reports whether the class leaves a free slot to another host because the organisation
// next there has clearly less usage than the one next here.
func (c *Class) yieldsToPeer(now time.Time) bool {
	if c.PeerMinUsage < 0 || c.HeadUsage(now) <= yieldUsageRatio*c.PeerMinUsage+c.head().Cost {
		c.yieldingSince = time.Time{}
		return false
	}
	if c.yieldingSince.IsZero() {
		c.yieldingSince = now
	}
	limit := maxYieldTime
	if c.ServiceTime > 0 {
		limit = min(limit, c.ServiceTime/yieldServiceDivisor)
	}
	return now.Sub(c.yieldingSince) < limit
}

// markLate moves the items that can no longer start within their latency target to the late heaps.
func (c *Class) markLate(now time.Time) {
	for c.byDue.Len() > 0 && now.After(c.byDue.Peek().Due) {
		it := c.byDue.Pop()
		it.flow.onTime.Remove(it.index)
		it.isLate = true
		it.flow.late.Push(it)
		c.updateFlow(now, it.flow)
	}
}

// charge adds work in tokens to an organisation's usage, or subtracts it if negative.
func (c *Class) charge(now time.Time, org string, work float64) {
	if c.decay.needsRebase(now) {
		factor := c.decay.rebase(now)
		for _, f := range c.flows {
			f.usage *= factor
		}
	}
	f := c.flow(org)
	f.usage = max(0, f.usage+work/f.weight*c.decay.weightAt(now))
	c.updateFlow(now, f)
}

// nextToShed returns the next item to shed, from the organisation with the highest projected usage of
// which the filter selects an item; nil if there is none. Late items of an organisation are shed
// before on-time ones, and newer items before older ones.
func (c *Class) nextToShed(now time.Time, filter ShedFilter) *Item {
	weightNow := c.decay.weightAt(now)
	for i := range min(maxShedFlows, c.byProjectedUsage.Len()) {
		f := c.byProjectedUsage.At(i)
		it := newestSheddable(&f.late, filter.ArrivedSince)
		if it == nil {
			it = newestSheddable(&f.onTime, filter.ArrivedSince)
		}
		if it != nil && f.projectedUsage/weightNow-it.Cost/f.weight >= filter.MinUsage {
			return it
		}
	}
	return nil
}

// maxShedFlows limits the organisations that are searched for an item to shed.
const maxShedFlows = 16

// newestCandidates limits the items of an organisation that are searched for the newest.
const newestCandidates = 8

// newestSheddable returns approximately the newest item of h that has not run and did not arrive
// before since; nil if it finds none. It examines the last leaves of the heap only: items arrive
// roughly in the order in which they are due, so the newest is among them.
func newestSheddable(h *Heap[*Item], since time.Time) *Item {
	var out *Item
	for i := h.Len() - 1; i >= max(0, h.Len()-newestCandidates); i-- {
		it := h.At(i)
		if !it.Resumed && !it.Request.Arrived.Before(since) && (out == nil || out.before(it)) {
			out = it
		}
	}
	return out
}
