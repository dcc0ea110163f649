package scheduler

import (
	"math"
	"time"

	"shallotramp/internal/traffic/queue"
)

const (
	// leastRate is the share of a pool that work is taken to get however much of higher tiers runs.
	leastRate = 0.05
	// leastRetry and mostRetry bound the advice when to come again.
	leastRetry = time.Second
	mostRetry  = time.Minute
)

// outlook is what the waiting work of all hosts means for one class.
type outlook struct {
	class *queue.Class
	// waiting counts the sheddable requests of all hosts, and allowed those that can meet their target.
	waiting, allowed int
	// floor counts the requests that the class's floor serves within its target.
	floor int
	// wait is the expected time until a new request starts.
	wait time.Duration
}

// outlooks works out the expected waits in order of tier. Higher tiers delay lower ones and
// floors take their share from all, so the outlook of a class never depends on lower tiers
// beyond their floors: it is the same on every host up to the delay of what they tell.
func (p *pool) outlooks(slots int) []outlook {
	classes := p.q.Classes()
	out := make([]outlook, 0, len(classes))
	rate, backlog := float64(slots), 0.0
	for _, c := range classes {
		rate -= p.floorOf(c, slots)
	}
	for _, c := range classes {
		st := p.class(c.Name)
		service := st.service.or(firstService.Seconds())
		rate += p.floorOf(c, slots)
		effective := max(rate, leastRate*float64(slots))
		o := outlook{class: c, waiting: c.Sheddable() + st.peerSheddable}
		target := targetShare * max(c.Target.Seconds()/4, c.Target.Seconds()-st.prefill.or(0))
		o.floor = max(1, int(c.Floor*float64(slots)*target/service))
		o.allowed = max(o.floor, int((target*effective-backlog)/service))
		backlog += float64(c.Waiting()+c.PeerWaiting) * service
		o.wait = time.Duration(backlog / effective * float64(time.Second))
		rate -= float64(c.Running + c.PeerRunning)
		out = append(out, o)
	}
	return out
}

// floorOf returns the places that a class with waiting work has by its floor.
func (p *pool) floorOf(c *queue.Class, slots int) float64 {
	if c.Waiting()+c.PeerWaiting == 0 {
		return 0
	}
	return c.Floor * float64(slots)
}

// victims removes the waiting work that must be shed so that the rest meets its targets. The
// highest tier with too much work sets the level. Lower tiers keep what their floors serve;
// the level's own work is shed only after all hosts have told that lower tiers are down to that.
func (p *pool) overload(slots int) []*queue.Item {
	list := p.outlooks(slots)
	level := math.MaxInt
	for _, o := range list {
		if o.waiting > o.allowed {
			level = o.class.Tier
			break
		}
	}
	var out []*queue.Item
	hosts := 1 + len(p.peers)
	lowerGone := true
	for i := len(list) - 1; i >= 0 && list[i].class.Tier >= level; i-- {
		o := list[i]
		if o.class.Tier == level {
			if lowerGone {
				out = append(out, p.q.Shed(o.class, o.share(o.allowed, hosts))...)
			}
			continue
		}
		out = append(out, p.q.Shed(o.class, o.share(o.floor, hosts))...)
		if o.waiting > max(o.floor, hosts) {
			lowerGone = false
		}
	}
	return out
}

// share returns how many of n requests of the class may wait on this host: in proportion to
// what waits here, and no less than an equal share.
func (o outlook) share(n, hosts int) int {
	own := 0
	if o.waiting > 0 {
		own = n * o.class.Sheddable() / o.waiting
	}
	return max(1, own, n/hosts)
}

// retryAfter returns when a refused request of a class may be admitted: once the backlog has
// drained to what meets the target. jitter, from 0 to 1, spreads those who come again.
func (p *pool) retryAfter(class string, slots int, jitter float64) time.Duration {
	d := leastRetry
	for _, o := range p.outlooks(slots) {
		if o.class.Name == class {
			d = o.wait - time.Duration(targetShare*float64(o.class.Target))
		}
	}
	d = min(mostRetry, max(leastRetry, d))
	return d + time.Duration(jitter/2*float64(d))
}
