package balance

import (
	"time"

	"shallotramp/internal/traffic/request"
)

const (
	// ejectFailures is the sum of failures without a completion between that ejects a server.
	ejectFailures = 3
	// unreachableFailures is what a refused connection counts, for nothing listens there.
	unreachableFailures = 2
	// ejectTime doubles with each ejection up to maxEjectTime.
	ejectTime    = 2 * time.Second
	maxEjectTime = time.Minute
	// maxEjected is the share of a pool's servers that may be ejected at once, of one server none.
	maxEjected = 0.3
)

// judge counts failures against a server and ejects it when there are too many.
func (b *Balancer) judge(now time.Time, v *server, o request.Outcome) {
	switch o {
	case request.Completed:
		v.failures, v.ejections, v.ejected = 0, 0, b.readmit(v)
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

// readmit ends an ejection.
func (b *Balancer) readmit(v *server) bool {
	if v.ejected {
		v.pool.ejected--
	}
	return false
}

// eject takes the server out for a while if the bound of its pool allows.
func (b *Balancer) eject(now time.Time, v *server) {
	p := v.pool
	if !v.ejected {
		if p.ejected >= p.maxEjected() {
			return
		}
		p.ejected++
		v.ejected = true
	}
	d := ejectTime
	for range v.ejections {
		d = min(2*d, maxEjectTime)
	}
	v.ejections++
	v.ejectedUntil = now.Add(d)
	// It returns with few requests, one of which must complete.
	v.slowSince = v.ejectedUntil
	v.failures = ejectFailures - 1
}

// maxEjected is at least one for pools of several servers.
func (p *pool) maxEjected() int {
	if len(p.servers) < 2 {
		return 0
	}
	return max(1, int(maxEjected*float64(len(p.servers))))
}
