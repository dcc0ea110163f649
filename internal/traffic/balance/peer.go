package balance

import (
	"sort"
	"time"

	"shallotramp/internal/traffic/dispatch"
)

const (
	// peerTTL is the time without a report after which a peer is dropped.
	peerTTL = 10 * time.Second
	// idlePeerWeight is the weight of a peer without requests, which may get some before its next report. A peer
	// with requests has weight 1.
	idlePeerWeight = 0.25
	// maxPeerReportInterval bounds one measured time between two reports of a peer.
	maxPeerReportInterval = 2 * time.Second
)

// peer is the last reported state of another host, or of several hosts that report together.
type peer struct {
	// reportedAt is by the peer's clock, receivedAt by the clock of this host.
	reportedAt, receivedAt time.Time
	zone                   string
	weight                 float64
	// hosts is the number of hosts that report together.
	hosts int
	// hasWaiting is set when the peer has requests waiting.
	hasWaiting  bool
	outstanding map[string]int
}

// Peer applies the state that another host reports of its requests. A state that is older than the last one is ignored,
// unless the peer has been silent for peerTTL.
func (b *Balancer) Peer(now time.Time, h dispatch.HostState) {
	p, ok := b.peers[h.Host]
	if !ok {
		p = &peer{}
		b.peers[h.Host] = p
	}
	if ok && h.At.Before(p.reportedAt) && now.Sub(p.receivedAt) < peerTTL {
		return
	}
	if ok {
		b.peerReportInterval.add(min(maxPeerReportInterval, now.Sub(p.receivedAt)).Seconds())
	}
	b.peerWeight[p.zone] -= p.weight
	b.remotePeersWaiting -= b.countRemoteWaiting(p)
	old, oldZone := p.outstanding, p.zone
	p.reportedAt, p.receivedAt, p.zone, p.weight, p.outstanding = h.At, now, h.Zone, weightOf(h), h.Outstanding
	p.hasWaiting, p.hosts = hasWaiting(h), max(h.Hosts, 1)
	b.remotePeersWaiting += b.countRemoteWaiting(p)
	b.peerWeight[p.zone] += p.weight
	b.updateOutstanding(now, oldZone, h.Zone, old, h.Outstanding)
	b.updateLimitShares()
	b.applyPeerLimits(now, h.ServerLimits)
}

// countRemoteWaiting is 1 for a peer in another zone than this host that has requests waiting, and 0 otherwise.
func (b *Balancer) countRemoteWaiting(p *peer) int {
	if p.hasWaiting && p.zone != b.zone {
		return 1
	}
	return 0
}

func hasWaiting(h dispatch.HostState) bool {
	for _, p := range h.Pools {
		for _, c := range p.Classes {
			if c.Waiting > 0 {
				return true
			}
		}
	}
	return false
}

// weightOf returns the weight of a peer when free slots are divided between hosts until its next report.
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

// updateOutstanding replaces the requests of one peer by server, from its last report to its new one.
func (b *Balancer) updateOutstanding(now time.Time, oldZone, zone string, from, to map[string]int) {
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
	// The order of the updates decides the order of the lists that servers are drawn from. It must not depend
	// on the order of the map, so that equal seeds give equal choices.
	sort.Strings(names)
	for _, name := range names {
		if v, ok := b.servers[name]; ok {
			v.peerAttempts = max(0, v.peerAttempts+to[name]-from[name])
			v.remoteUsers = max(0, v.remoteUsers+v.countRemoteUser(zone, to[name])-v.countRemoteUser(oldZone, from[name]))
			b.update(now, v)
		}
	}
}

// countRemoteUser is 1 for a peer in another zone than the server that has n > 0 requests on it, and 0 otherwise.
func (v *server) countRemoteUser(zone string, n int) int {
	if n > 0 && zone != v.spec.Zone {
		return 1
	}
	return 0
}

// expirePeers drops peers that have not reported for peerTTL.
func (b *Balancer) expirePeers(now time.Time) {
	if now.Sub(b.peersCheckedAt) < time.Second {
		return
	}
	b.peersCheckedAt = now
	var expired []string
	for name, p := range b.peers {
		if now.Sub(p.receivedAt) > peerTTL {
			expired = append(expired, name)
		}
	}
	sort.Strings(expired)
	for _, name := range expired {
		p := b.peers[name]
		delete(b.peers, name)
		b.remotePeersWaiting -= b.countRemoteWaiting(p)
		b.peerWeight[p.zone] = max(0, b.peerWeight[p.zone]-p.weight)
		b.updateOutstanding(now, p.zone, p.zone, p.outstanding, nil)
	}
	if len(expired) > 0 {
		b.updateLimitShares()
	}
}
