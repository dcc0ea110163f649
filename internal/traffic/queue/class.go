package queue

import (
	"slices"
	"time"
)

// flow is the waiting work of one organisation in one class.
type flow struct {
	name   string
	weight float64
	// used is the work done for the organisation, decayed over time, per unit of weight.
	used float64
	// queued is the estimated work that waits.
	queued float64
	// claim is used plus what waits, the order in which organisations lose waiting work.
	claim float64
	// onTime and late hold items that can and cannot start within their latency target any more.
	onTime, late Heap[*Item]
	// Places in the heaps of the class; -1 outside.
	readyPlace, latePlace, longestPlace, usePlace int
}

// Class is the waiting work of one class in one pool on one host, in fair order.
type Class struct {
	Name string
	Tier int
	// Rank numbers the tiers of the pool from 1.
	Rank int
	// Floor is the class's share of the pool, from 0 to 1, while it has work waiting.
	Floor float64
	// Target is the wait that the first-token target allows.
	Target time.Duration
	// Running counts the host's own running requests, PeerRunning and PeerWaiting those of other hosts.
	Running, PeerRunning, PeerWaiting int
	// LastStart is when work of the class was last started, or when work came to wait in an idle class.
	LastStart time.Time
	// Starts counts the attempts on this host.
	Starts int
	// PeerMinUsage is the least use of an organisation whose work waits on another host; negative if none does.
	PeerMinUsage float64
	// ServiceTime is the mean time of a request on its server; zero while unknown.
	ServiceTime time.Duration

	// yielded is since when the class leaves places to work of other hosts.
	yielded time.Time
	clock   decay
	flows   map[string]*flow
	ready   Heap[*flow]
	late    Heap[*flow]
	longest Heap[*flow]
	most    Heap[*flow]
	due     Heap[*Item]
	expiry  Heap[*Item]
	waiting int
	urgent  int
}

func newClass(name string) *Class {
	byUse := func(a, b *flow) bool {
		if a.used != b.used {
			return a.used < b.used
		}
		return a.name < b.name
	}
	byClaim := func(a, b *flow) bool {
		if a.claim != b.claim {
			return a.claim > b.claim
		}
		return a.name < b.name
	}
	return &Class{
		Name: name, PeerMinUsage: -1, flows: map[string]*flow{},
		ready:   NewHeap(byUse, func(f *flow, i int) { f.readyPlace = i }),
		late:    NewHeap(byUse, func(f *flow, i int) { f.latePlace = i }),
		longest: NewHeap(byClaim, func(f *flow, i int) { f.longestPlace = i }),
		most:    NewHeap(func(a, b *flow) bool { return a.used > b.used }, func(f *flow, i int) { f.usePlace = i }),
		due:     NewHeap(func(a, b *Item) bool { return a.Due.Before(b.Due) }, func(it *Item, i int) { it.duePlace = i }),
		expiry:  NewHeap(func(a, b *Item) bool { return a.Request.Deadline.Before(b.Request.Deadline) }, func(it *Item, i int) { it.expiryPlace = i }),
	}
}

// Waiting returns the number of items that wait.
func (c *Class) Waiting() int { return c.waiting }

// Sheddable returns the number of waiting items that have not run yet.
func (c *Class) Sheddable() int { return c.waiting - c.urgent }

func (c *Class) flow(org string) *flow {
	f, ok := c.flows[org]
	if !ok {
		order := func(a, b *Item) bool { return a.before(b) }
		placed := func(it *Item, i int) { it.place = i }
		f = &flow{name: org, weight: 1, onTime: NewHeap(order, placed), late: NewHeap(order, placed), readyPlace: -1, latePlace: -1, longestPlace: -1}
		c.flows[org] = f
		c.most.Push(f)
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
		c.due.Push(it)
	}
	c.expiry.Push(it)
	f.queued += it.Cost
	c.waiting++
	if it.Resumed {
		c.urgent++
	}
	c.place(now, f)
}

func (c *Class) heapOf(it *Item) *Heap[*Item] {
	if it.isLate {
		return &it.flow.late
	}
	return &it.flow.onTime
}

// place keeps f in those heaps of the class in which it has something.
func (c *Class) place(now time.Time, f *flow) {
	f.claim = f.used + f.queued/f.weight*c.clock.growth(now)
	c.most.Fix(f.usePlace)
	settle(&c.ready, f, f.readyPlace, f.onTime.Len() > 0)
	settle(&c.late, f, f.latePlace, f.late.Len() > 0)
	settle(&c.longest, f, f.longestPlace, f.onTime.Len()+f.late.Len() > 0)
}

func settle(h *Heap[*flow], f *flow, place int, in bool) {
	switch {
	case in && place < 0:
		h.Push(f)
	case in:
		h.Fix(place)
	case place >= 0:
		h.Remove(place)
	}
}

func (c *Class) remove(now time.Time, it *Item) {
	f := it.flow
	c.heapOf(it).Remove(it.place)
	if it.duePlace >= 0 {
		c.due.Remove(it.duePlace)
	}
	if it.expiryPlace >= 0 {
		c.expiry.Remove(it.expiryPlace)
	}
	f.queued -= it.Cost
	c.waiting--
	if it.Resumed {
		c.urgent--
	}
	it.class, it.flow = nil, nil
	c.place(now, f)
}

// UnderservedRatio is the share of the most use of an organisation below which another had clearly less.
const UnderservedRatio = 0.98

// head returns the item to start next: of the organisation with the least use. Work in time goes
// before late work, unless that is of an organisation that had clearly less.
func (c *Class) head() *Item {
	switch {
	case c.late.Len() == 0 && c.ready.Len() == 0:
		return nil
	case c.ready.Len() == 0 || c.late.Len() > 0 && c.late.Peek().used < UnderservedRatio*c.ready.Peek().used:
		return c.late.Peek().late.Peek()
	}
	return c.ready.Peek().onTime.Peek()
}

// MaxUsage returns the most recent work that an organisation had, in tokens by weight.
func (c *Class) MaxUsage(now time.Time) float64 {
	if c.most.Len() == 0 {
		return 0
	}
	return c.most.Peek().used / c.clock.growth(now)
}

// HeadUsage returns the recent work, in tokens by weight, of the organisation that is next; 0 if none waits.
func (c *Class) HeadUsage(now time.Time) float64 {
	it := c.head()
	if it == nil {
		return 0
	}
	return it.flow.used / c.clock.growth(now)
}

// SampleUsage samples, in ascending order, the use that comes before each waiting item that may be shed:
// the recent work of its organisation and the work of it that waits ahead, in tokens by weight.
func (c *Class) SampleUsage(now time.Time, most int) []float64 {
	var all []float64
	growth := c.clock.growth(now)
	for i := 0; i < c.longest.Len() && len(all) < maxUses; i++ {
		f := c.longest.At(i)
		use := f.used / growth
		for _, h := range []*Heap[*Item]{&f.onTime, &f.late} {
			for j := range h.Len() {
				if it := h.At(j); !it.Resumed {
					all = append(all, use)
					use += it.Cost / f.weight
				}
			}
		}
	}
	slices.Sort(all)
	if len(all) <= most {
		return all
	}
	out := make([]float64, most)
	for i := range out {
		out[i] = all[(2*i+1)*len(all)/(2*most)]
	}
	return out
}

// maxUses bounds the items that a sample of uses is drawn from.
const maxUses = 1024

const (
	// yieldShare is how much more than that of another host an organisation may have had to go first.
	yieldShare = 1.05
	// yieldTime is how long at most a class leaves a free place to another host.
	yieldTime = 1500 * time.Millisecond
	// yieldService is the part of a request's time for which a place is left: an idle place must
	// cost little beside the work that will use it.
	yieldService = 8
)

// yields reports whether the class leaves a place to work of another host, of an organisation
// that had clearly less.
func (c *Class) yields(now time.Time) bool {
	if c.PeerMinUsage < 0 || c.HeadUsage(now) <= yieldShare*c.PeerMinUsage+c.head().Cost {
		c.yielded = time.Time{}
		return false
	}
	if c.yielded.IsZero() {
		c.yielded = now
	}
	patience := yieldTime
	if c.ServiceTime > 0 {
		patience = min(patience, c.ServiceTime/yieldService)
	}
	return now.Sub(c.yielded) < patience
}

// pass moves items that cannot start within their target any more behind those that can.
func (c *Class) pass(now time.Time) {
	for c.due.Len() > 0 && now.After(c.due.Peek().Due) {
		it := c.due.Pop()
		it.flow.onTime.Remove(it.place)
		it.isLate = true
		it.flow.late.Push(it)
		c.place(now, it.flow)
	}
}

// charge adds work done for an organisation, or takes it back when negative.
func (c *Class) charge(now time.Time, org string, work float64) {
	if c.clock.stale(now) {
		factor := c.clock.restart(now)
		for _, f := range c.flows {
			f.used *= factor
		}
	}
	f := c.flow(org)
	f.used = max(0, f.used+work/f.weight*c.clock.growth(now))
	c.place(now, f)
}

// victim returns the item to shed first, of the organisation with the most work had and waiting,
// unless the cut spares it. Late items of an organisation go first, then the newest.
func (c *Class) victim(now time.Time, by ShedFilter) *Item {
	growth := c.clock.growth(now)
	for i := range min(victimTries, c.longest.Len()) {
		f := c.longest.At(i)
		it := last(&f.late, by.ArrivedSince)
		if it == nil {
			it = last(&f.onTime, by.ArrivedSince)
		}
		if it != nil && f.claim/growth-it.Cost/f.weight >= by.MinUsage {
			return it
		}
	}
	return nil
}

// victimTries bounds the organisations looked at for an item that may be shed.
const victimTries = 16

// lastCandidates bounds the search for the last item of an organisation.
const lastCandidates = 8

// last returns about the newest item of h that has not run and arrived since a time. Items come in about the order in
// which they are due, so the newest is among the last leaves.
func last(h *Heap[*Item], since time.Time) *Item {
	var out *Item
	for i := h.Len() - 1; i >= max(0, h.Len()-lastCandidates); i-- {
		it := h.At(i)
		if !it.Resumed && !it.Request.Arrived.Before(since) && (out == nil || out.before(it)) {
			out = it
		}
	}
	return out
}
