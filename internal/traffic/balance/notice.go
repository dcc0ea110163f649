package balance

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/serverlimit"
)

// WithHost sets the name of the host, which shares the limits of servers with its peers.
func WithHost(name string) Option {
	return func(b *Balancer) { b.limits = serverlimit.New(name) }
}

// Notice applies what a server has said about itself in an answer.
func (b *Balancer) Notice(now time.Time, n dispatch.Notice) {
	v, ok := b.servers[n.Server]
	if !ok {
		return
	}
	at := n.SentAt
	if n.Limited {
		at = n.At
	}
	b.limits.Note(now, serverlimit.Notice{Server: n.Server, Limited: n.Limited, Rate: n.Rate, At: at})
	v.saysLeaving = v.saysLeaving || n.Leaving
	if until := n.At.Add(n.RetryAfter); until.After(v.closedUntil) {
		v.closedUntil = until
	}
	b.update(now, v)
}

// Limited reports whether a server has named a limit of its requests.
func (b *Balancer) Limited(server string) bool { return b.limits.Limited(server) }

// ServerLimits returns the newest limits, for other hosts.
func (b *Balancer) ServerLimits(now time.Time) []serverlimit.Notice { return b.limits.Notices(now) }

// applyPeerLimits applies the limits that another host reports.
func (b *Balancer) applyPeerLimits(now time.Time, notices []serverlimit.Notice) {
	for _, n := range notices {
		if v, ok := b.servers[n.Server]; ok && b.limits.Note(now, n) {
			b.update(now, v)
		}
	}
}

// updateLimitShares sets the hosts among which the limits of servers are divided: this one and its peers.
func (b *Balancer) updateLimitShares() {
	zones := map[string]int{b.zone: 1}
	var names []string
	for name, p := range b.peers {
		zones[p.zone] += p.hosts
		if p.zone == b.zone {
			names = append(names, name)
		}
	}
	b.limits.SetHosts(names)
	b.limits.SetZones(b.zone, zones)
}

// untilTaken returns the time until a server takes a request of this host: until the host's next turn if the server limits
// its requests, and for the time that it has named in a refusal. Load pattern: most servers of a pool limit their requests
// to rates below the number of hosts, or refuse them, while the load stays the same.
func (b *Balancer) untilTaken(now time.Time, v *server) time.Duration {
	return max(b.limits.Wait(now, v.spec.Name), v.closedUntil.Sub(now), 0)
}
