package balance

import (
	"time"

	"shallotramp/internal/traffic/request"
)

const (
	// ejectFailures is the number of failures without a completion in between that ejects a server.
	ejectFailures = 3
	// unreachableFailures is the number of failures that a refused connection counts as, because nothing
	// listens at the address.
	unreachableFailures = 2
	// baseEjectTime is the time of a first ejection. It doubles with each further one up to maxEjectTime.
	baseEjectTime = 2 * time.Second
	maxEjectTime  = time.Minute
	// maxEjectedShare is the share of a pool's servers that may be ejected at the same time.
	maxEjectedShare = 0.3
)

// recordOutcome counts the failures of a server and ejects it when there are too many.
func (b *Balancer) recordOutcome(now time.Time, v *server, o request.Outcome) {
	switch o {
	case request.Completed:
		v.failures, v.ejections, v.ejected = 0, 0, b.endEjection(v)
		return
	case request.Unreachable:
		v.failures += unreachableFailures
	case request.Broken, request.Failed:
		v.failures++
	default:
		return
	}
	if v.failures < ejectFailures || v.removed {
		return
	}
	if v.ejected && now.Before(v.ejectedUntil) {
		return
	}
	b.eject(now, v)
}

// endEjection removes v from the pool's count of ejected servers and returns the new value of v.ejected.
func (b *Balancer) endEjection(v *server) bool {
	if v.ejected {
		v.pool.ejected--
	}
	return false
}

// eject ejects the server for a while, unless as many servers of its pool are ejected as allowed.
func (b *Balancer) eject(now time.Time, v *server) {
	p := v.pool
	if !v.ejected {
		if p.ejected >= p.maxEjected() {
			return
		}
		p.ejected++
		v.ejected = true
	}
	d := baseEjectTime
	for range v.ejections {
		d = min(2*d, maxEjectTime)
	}
	v.ejections++
	v.ejectedUntil = now.Add(d)
	// After the ejection the server starts slowly, and a single failure ejects it again until a request
	// completes.
	v.slowStartAt = v.ejectedUntil
	v.failures = ejectFailures - 1
}

// maxEjected is how many servers may be ejected at the same time: none of a single server, at least one of several.
func (p *pool) maxEjected() int {
	if len(p.servers) < 2 {
		return 0
	}
	return max(1, int(maxEjectedShare*float64(len(p.servers))))
}
