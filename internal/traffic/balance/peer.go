package balance

import (
	"sort"
	"time"

	"shallotramp/internal/traffic/dispatch"
)

const (
	// peerLife is how long a host counts that does not report.
	peerLife = 10 * time.Second
	// idlePeerWeight is the share of a server kept for a host without work, against 1 for one with work.
	idlePeerWeight = 0.25
	// maxHeard bounds one measured time between a host's reports.
	maxHeard = 2 * time.Second
)

// peer is what another host last told.
type peer struct {
	// at is by the other host's clock, heard by this one's.
	at, heard time.Time
	zone      string
	weight    float64
	// waits tells that it has work waiting.
	waits       bool
	outstanding map[string]int
}

// Peer notes what another host reports of its outstanding work.
func (b *Balancer) Peer(now time.Time, h dispatch.HostState) {
	p, ok := b.peers[h.Host]
	if !ok {
		p = &peer{}
		b.peers[h.Host] = p
	}
	if ok && h.At.Before(p.at) && now.Sub(p.heard) < peerLife {
		return
	}
	if ok {
		b.heard.add(min(maxHeard, now.Sub(p.heard)).Seconds())
	}
	b.contenders[p.zone] -= p.weight
	b.farWaits -= b.farWait(p)
	old, oldZone := p.outstanding, p.zone
	p.at, p.heard, p.zone, p.weight, p.outstanding = h.At, now, h.Zone, weightOf(h), h.Outstanding
	p.waits = waits(h)
	b.farWaits += b.farWait(p)
	b.contenders[p.zone] += p.weight
	b.shift(now, oldZone, h.Zone, old, h.Outstanding)
}

// farWait is 1 for a host, or a sum of hosts, of another zone with work waiting.
func (b *Balancer) farWait(p *peer) int {
	if p.waits && p.zone != b.zone {
		return 1
	}
	return 0
}

func waits(h dispatch.HostState) bool {
	for _, p := range h.Pools {
		for _, c := range p.Classes {
			if c.Waiting > 0 {
				return true
			}
		}
	}
	return false
}

// weightOf tells how much of the servers' room a host may want before it is heard again.
func weightOf(h dispatch.HostState) float64 {
	for _, n := range h.Waiting {
		if n > 0 {
			return 1
		}
	}
	for _, n := range h.Running {
		if n > 0 {
			return 1
		}
	}
	return idlePeerWeight
}

// shift replaces one host's outstanding work by server.
func (b *Balancer) shift(now time.Time, oldZone, zone string, from, to map[string]int) {
	var names []string
	for name, n := range to {
		if from[name] != n || zone != oldZone {
			names = append(names, name)
		}
	}
	for name := range from {
		if _, ok := to[name]; !ok {
			names = append(names, name)
		}
	}
	// The order of the map must not decide the order of the lists that are drawn from.
	sort.Strings(names)
	for _, name := range names {
		if v, ok := b.servers[name]; ok {
			v.others = max(0, v.others+to[name]-from[name])
			v.users = max(0, v.users+v.guest(zone, to[name])-v.guest(oldZone, from[name]))
			b.update(now, v)
		}
	}
}

// guest is 1 for a host of another zone with work on the server.
func (v *server) guest(zone string, n int) int {
	if n > 0 && zone != v.spec.Zone {
		return 1
	}
	return 0
}

// expirePeers forgets hosts that were not heard for long.
func (b *Balancer) expirePeers(now time.Time) {
	if now.Sub(b.peersSeen) < time.Second {
		return
	}
	b.peersSeen = now
	var gone []string
	for name, p := range b.peers {
		if now.Sub(p.heard) > peerLife {
			gone = append(gone, name)
		}
	}
	sort.Strings(gone)
	for _, name := range gone {
		p := b.peers[name]
		delete(b.peers, name)
		b.farWaits -= b.farWait(p)
		b.contenders[p.zone] = max(0, b.contenders[p.zone]-p.weight)
		b.shift(now, p.zone, p.zone, p.outstanding, nil)
	}
}
