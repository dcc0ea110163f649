package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"shallotramp/internal/traffic/pace"
)

const (
	// paceInterval is the time between two updates of the lasting paces.
	paceInterval = 200 * time.Millisecond
	// minEvents is the number of events of a stream from which their intervals are a measurement.
	minEvents = 4
)

// scale returns d multiplied by a pace.
func scale(d time.Duration, pace float64) time.Duration {
	if pace == 1 {
		return d
	}
	return time.Duration(float64(d) * pace)
}

// updatePaces derives the lasting paces of all servers. If one has changed, the servers for long prompts are chosen anew.
func (p *Policy) updatePaces(now time.Time) {
	if now.Sub(p.pacesAt) < paceInterval {
		return
	}
	p.pacesAt = now
	for _, s := range p.services {
		if s.paces.Update(now) {
			s.partition()
		}
	}
}

// measureFirstToken records the time to a first token. Of an engine, only prompts that are long enough show its pace.
func (s *service) measureFirstToken(now time.Time, e *entry) {
	if s.engine != nil && e.uncached >= minSampleTokens {
		s.paces.FirstToken(now, e.server.info.ID, now.Sub(e.started), e.usualLatency)
	}
}

// measureAnswer records the interval between the events of a complete answer that one server gave.
func (s *service) measureAnswer(now time.Time, e *entry, events int) {
	if s.engine != nil && e.sends == 1 && e.gotFirstToken && events >= minEvents {
		s.paces.Events(now, e.server.info.ID, now.Sub(e.firstTokenAt)/time.Duration(events-1))
	}
}

// hearPaces records the news of another host.
func (p *Policy) hearPaces(now time.Time, notices []pace.Notice) {
	for _, n := range notices {
		if s := p.servers[n.Server]; s != nil {
			p.service(s.info.Service).paces.Hear(now, n)
		}
	}
}

// paceNotices returns the servers whose lasting pace differs from that of their service.
func (p *Policy) paceNotices() []pace.Notice {
	var out []pace.Notice
	for _, s := range p.services {
		out = append(out, s.paces.Notices()...)
	}
	return out
}

// homeRank returns the order of a server as home of a key, lower ones first: weighted rendezvous hashing, in which a
// server gets prefixes in proportion to its speed. Servers of equal speed have the order of [mix].
func (s *service) homeRank(x *server, key uint64) float64 {
	rank := mix(x.rank, key)
	if !s.paces.Differs() {
		return float64(rank)
	}
	u := float64(rank) / math.MaxUint64
	return -math.Log1p(-min(u, 1-1e-16)) * s.paces.Lasting(x.info.ID).Prefill
}

// partitionByPace chooses the servers of a zone for long prompts, the fastest first, until they have longPromptServersPercent
// of the zone's speed. Prefill on a slow engine delays the streams there for longer.
func (s *service) partitionByPace(zone []*server) {
	speed := func(x *server) float64 { return 1 / s.paces.Lasting(x.info.ID).Prefill }
	byPace := slices.Clone(zone)
	slices.SortStableFunc(byPace, func(a, b *server) int { return cmp.Compare(speed(b), speed(a)) })
	total := 0.0
	for _, x := range zone {
		total += speed(x)
	}
	chosen := 0.0
	for _, x := range byPace {
		x.forLongPrompts = chosen+speed(x)/2 <= total*longPromptServersPercent/100
		chosen += speed(x)
	}
}

// hostBias returns the cost by which this host prefers other servers to s, below maxHostBias. If servers differ in speed, it is
// drawn so that equally costly servers are each the best one for a share of the hosts in proportion to their speed.
func (p *Policy) hostBias(svc *service, s *server) time.Duration {
	rank := mix(s.rank, p.hostSeed)
	if !svc.paces.Differs() {
		return time.Duration(rank % uint64(maxHostBias))
	}
	u := float64(rank%uint64(maxHostBias)) / float64(maxHostBias)
	return min(time.Duration(-math.Log1p(-u)*svc.paces.Lasting(s.info.ID).Prefill*float64(maxHostBias)/2), 2*maxHostBias)
}

// ownGain returns how much sooner a faster engine than usual handles a request alone. That does not make it cheaper, or all
// hosts would choose it until they learn of each other's requests. What waits there, and hostBias, make it so.
func ownGain(usual time.Duration, pace float64) time.Duration {
	return max(usual-scale(usual, pace), 0)
}
