package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/queue"
)

func (p *Policy) enqueue(now time.Time, e *entry, due time.Time) {
	e.item = &queue.Item{Request: e.req, Due: due, Cost: e.pool.estimateWork(e), Resumed: e.attempts > 0}
	e.pool.q.Push(now, e.item)
	p.waiting++
}

// reschedule starts the waiting requests of a pool that may start now, sheds those that exceed what
// the servers can do, and preempts running ones of lower tiers.
func (p *Policy) reschedule(now time.Time, pl *pool) []dispatch.Effect {
	pl.updateThrottle(now, p.slots(pl))
	out := p.start(now, pl)
	for _, it := range pl.shedOverload(now, p.slots(pl)) {
		out = append(out, p.refuseShed(now, it, "more requests of its tier are waiting than can start within their latency target"))
	}
	for p.waiting > maxWaiting {
		it := p.shedLowest(now)
		if it == nil {
			break
		}
		out = append(out, p.refuseShed(now, it, "the host's queue is full"))
	}
	return append(out, p.preempt(now, pl)...)
}

// shedLowest removes and returns a sheddable request of the lowest tier that waits on the host; nil if there is none.
func (p *Policy) shedLowest(now time.Time) *queue.Item {
	var class *queue.Class
	var from *pool
	for _, pl := range p.pools {
		for _, c := range pl.q.Classes() {
			if c.Sheddable() > 0 && (class == nil || c.Tier > class.Tier || c.Tier == class.Tier && pl.name < from.name) {
				class, from = c, pl
			}
		}
	}
	if class == nil {
		return nil
	}
	if items := from.q.Shed(now, class, class.Sheddable()-1, queue.ShedFilter{}); len(items) > 0 {
		return items[0]
	}
	return nil
}

// refuseShed refuses an item that was removed from its queue.
func (p *Policy) refuseShed(now time.Time, it *queue.Item, why string) dispatch.Effect {
	p.waiting--
	return p.refuse(now, p.entries[it.Request.ID], dispatch.Overload, why)
}

func (p *Policy) slots(pl *pool) int { return max(1, p.chooser.Usable(pl.name)*pl.concurrency) }

// start starts waiting requests while servers have free slots.
func (p *Policy) start(now time.Time, pl *pool) []dispatch.Effect {
	var out []dispatch.Effect
	var passedOver []*entry
	slots := p.slots(pl)
	for len(passedOver) < maxPassedOver {
		s := queue.Capacity{
			Slots: slots, ThrottleTier: pl.throttle.applied, FreeSlots: pl.freeSlots(slots),
			HasRoom: func(rank int) bool { return p.room(now, pl, rank, slots) },
		}
		it, floor := pl.q.Next(now, s)
		if it == nil {
			break
		}
		e := p.entries[it.Request.ID]
		if !e.trial && p.heldByPart(now, e) {
			out = append(out, p.refuseHeldPart(now, e))
			continue
		}
		name, why, ok := p.choose(now, e, floor)
		p.removeQueued(now, e)
		if !ok {
			passedOver = append(passedOver, e)
			continue
		}
		if floor {
			why = floorWhyPrefix + why
		}
		out = append(out, p.startAttempt(now, e, name, why))
	}
	for _, e := range passedOver {
		p.enqueue(now, e, e.item.Due)
	}
	return out
}

// reservedSlots returns how many of the pool's slots only its top tier may use now.
func (p *pool) reservedSlots(slots int) float64 { return p.reserveShare * float64(slots) }

const (
	// initialReserveShare, minReserveShare and maxReserveShare are shares of a pool's slots.
	initialReserveShare = 0.15
	minReserveShare     = 0.08
	maxReserveShare     = 0.4
	// reserveStep is the share of the slots that is added to the reserve after a late first token of
	// the top tier.
	reserveStep = 0.015
	// targetLateShare is the share of late first tokens at which the reserve stays constant. It is
	// less than a third of the 1% that the target allows, because the reserve grows only after a
	// first token was late.
	targetLateShare = 0.003
)

// adjustReserve grows or shrinks the reserve by whether a first token of the top tier was late.
// The reserve has to adapt: engines that run no more requests than they have slots need a larger one
// than engines that take more and slow down.
func (p *pool) adjustReserve(late bool) {
	if late {
		p.reserveShare = min(maxReserveShare, p.reserveShare+reserveStep)
		return
	}
	p.reserveShare = max(minReserveShare, p.reserveShare-reserveStep*targetLateShare/(1-targetLateShare))
}

// room reports whether requests of a rank may start: a server must have a free slot, and lower tiers
// must leave the reserve free, so that the top tier need not wait for a long answer to end.
func (p *Policy) room(now time.Time, pl *pool, rank, slots int) bool {
	if rank > 1 {
		usable := float64(slots) - pl.reservedSlots(slots)
		own, all := pl.runningCounts()
		if float64(all) >= usable || float64(own) >= pl.hostQuota(usable) {
			return false
		}
	}
	return p.chooser.Room(now, pl.name, rank)
}

// floorWhyPrefix begins the explanation of a start that the class's floor allowed.
const floorWhyPrefix = "floor of the class; "

// choose picks a server, and excludes those on which the request failed unless that leaves none. A
// start through a floor may use the slots that are reserved for the top tier.
func (p *Policy) choose(now time.Time, e *entry, floor bool) (name, why string, ok bool) {
	if e.isolate {
		return p.chooseIsolated(now, e)
	}
	r := e.req
	if floor {
		promoted := *r
		promoted.Tier = e.pool.q.Classes()[0].Tier
		r = &promoted
	}
	if name, why, ok = p.chooser.Choose(now, r, e.exclude); ok || len(e.exclude) == 0 {
		return name, why, ok
	}
	if len(e.exclude) < p.chooser.Usable(e.req.Pool) {
		return "", "", false
	}
	return p.chooser.Choose(now, r, nil)
}

func (p *Policy) removeQueued(now time.Time, e *entry) {
	if e.item != nil && e.item.Waiting() {
		e.pool.q.Remove(now, e.item)
		p.waiting--
	}
}

func (p *Policy) startAttempt(now time.Time, e *entry, server, why string) dispatch.Effect {
	e.server, e.started = server, now
	e.attempts++
	e.generated = 0
	e.charged, e.publishedWork = 0, 0
	p.charge(now, e, e.item.Cost)
	e.pool.q.Started(now, e.req.Class)
	p.chooser.Started(now, e.req, server)
	p.suspects.Started(now, e.req.Fingerprint, e.req.ID, server)
	if e.isolate {
		p.isolatedByServer[server] = e.req.ID
	}
	p.addVictim(e)
	return dispatch.Effect{Kind: dispatch.Start, ID: e.req.ID, Server: server, Attempt: e.attempts, Limited: p.limited(server), Why: why}
}

// charge adds expected work to the organisation's usage, or subtracts it if negative.
func (p *Policy) charge(now time.Time, e *entry, work float64) {
	e.charged += work
	e.pool.q.Charge(now, e.req.Class, e.req.Organisation, work)
}

// publishWork adds work that was done to the totals that are sent to other hosts. Estimates are not
// added, so that the totals never fall.
func (p *Policy) publishWork(now time.Time, e *entry, work float64) {
	if work > e.publishedWork {
		p.served.add(now, e.req.Class, e.req.Organisation, work-e.publishedWork)
		e.publishedWork = work
	}
}
