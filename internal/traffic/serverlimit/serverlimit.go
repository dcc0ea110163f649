// Package serverlimit divides the request rate that a backend server takes from all
// hosts together among them. A server in need names the rate in its answers. Time is
// divided into turns of about one request, and each turn belongs to one host, chosen
// by rendezvous hashing from the hosts that are alive. So the hosts together keep to
// the rate, also one below the number of hosts, without asking each other, and the
// server still gets its whole rate. Hosts whose views of the fleet differ disagree only
// about the turns of the hosts in which the views differ.
//
// The package does no I/O and reads no clock.
package serverlimit

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// minTurn is the length of the shortest turn; the others are that length doubled any number of times, so that hosts
	// which have heard of different rates of a server mostly agree about its turns. A turn has at most one request, or
	// more if the rate is above one in minTurn.
	minTurn = 100 * time.Millisecond
	// minPerTurn and maxPerTurn are the requests per turn between which the length of the turns is kept when the rate
	// changes.
	minPerTurn, maxPerTurn = 0.4, 1.25
	// minRate is the lowest rate that is used. A server that takes nothing gets a request now and then all the same,
	// as only an answer shows that the limit has ended.
	minRate = 0.1
	// baseValidity and validTurns are the time for which a turn may be used after it has begun: a fixed time and a number
	// of turns. Unused turns are lost, so that hosts do not save them up and send many requests at once.
	baseValidity = time.Second
	validTurns   = 2
	// maxLookahead bounds the search for a host's next turn.
	maxLookahead = 20 * time.Second
	// endedRetention is how long the end of a limit is remembered and sent to other hosts, whose news of the limit
	// itself may arrive later.
	endedRetention = 10 * time.Second
)

// Notice says what a backend server has said about its limit.
type Notice struct {
	Server string
	// Limited is set if the server has a limit, and Rate is that limit in requests per second. Otherwise the server
	// answered without one.
	Limited bool
	Rate    float64
	// At is when the answer with the limit arrived. For an answer without one, it is when the request was sent, because
	// a request that was sent before the limit began does not end it.
	At time.Time
}

// Limits holds the limits of all servers on one host. Create it with [New]. It must be used by one goroutine only.
type Limits struct {
	self uint64
	// hosts are the hashes of the hosts that are alive, this one included. If zones are set, they are those of this host's
	// availability zone.
	hosts []uint64
	// zones are the availability zones with their numbers of hosts, and zone is the hash of this host's. There are none if
	// all hosts are known by name.
	zones   []weightedZone
	zone    uint64
	servers map[string]*limit
	// commonAt is the common time of all hosts when this host's clock was setAt. Both are zero if this host's clock counts as
	// the common time.
	setAt, commonAt time.Time
	// validity returns the time for which a turn of a limit may be used after it has begun.
	validity func(rate float64, turn time.Duration) time.Duration
}

// limit is the state of one server's limit.
type limit struct {
	Notice
	key uint64
	// turn is the length of a turn.
	turn time.Duration
	// next is the first turn that has not been looked at, and open are this host's turns with requests left.
	next int64
	open []openTurn
	// upcoming is this host's first turn from next on, or the turn from which to go on with the search for it.
	upcoming int64
	found    bool
}

// openTurn is a turn of this host that has begun.
type openTurn struct {
	ends     time.Time
	requests int
}

// Option configures [Limits].
type Option func(*Limits)

// WithValidity sets the time for which a turn may be used after it has begun, by the limit's rate and the length of a turn.
func WithValidity(f func(rate float64, turn time.Duration) time.Duration) Option {
	return func(l *Limits) { l.validity = f }
}

func defaultValidity(_ float64, turn time.Duration) time.Duration {
	return baseValidity + validTurns*turn
}

// New returns empty Limits for the host self.
func New(self string, opts ...Option) *Limits {
	h := hash(self)
	l := &Limits{self: h, hosts: []uint64{h}, servers: map[string]*limit{}, validity: defaultValidity}
	for _, o := range opts {
		o(l)
	}
	return l
}

// SetHosts replaces the names of the hosts that are alive. This host always counts as alive.
func (l *Limits) SetHosts(names []string) {
	hosts := []uint64{l.self}
	for _, n := range names {
		if h := hash(n); h != l.self {
			hosts = append(hosts, h)
		}
	}
	slices.Sort(hosts)
	if hosts = slices.Compact(hosts); slices.Equal(hosts, l.hosts) {
		return
	}
	l.hosts = hosts
	l.searchAgain()
}

type weightedZone struct {
	key   uint64
	hosts int
}

// SetZones sets the numbers of hosts of all availability zones, for fleets in which a host knows only those of its own zone
// by name. A turn then belongs to a zone first, in proportion to its number of hosts, and to one of its hosts second.
func (l *Limits) SetZones(own string, hosts map[string]int) {
	var zones []weightedZone
	for name, n := range hosts {
		if n > 0 {
			zones = append(zones, weightedZone{hash(name), n})
		}
	}
	slices.SortFunc(zones, func(a, b weightedZone) int { return cmp.Compare(a.key, b.key) })
	if l.zone = hash(own); slices.Equal(zones, l.zones) {
		return
	}
	l.zones = zones
	l.searchAgain()
}

// searchAgain makes the next turn of this host for each server be looked for again.
func (l *Limits) searchAgain() {
	for _, s := range l.servers {
		s.upcoming, s.found = s.next, false
	}
}

// SetTime sets the common time of all hosts at now. Without it, now counts as the common time.
func (l *Limits) SetTime(now, common time.Time) { l.setAt, l.commonAt = now, common.Round(0) }

// Note records what a server has said, and reports whether it changed the server's limit. Notices may arrive late and in
// any order; the newest one counts.
func (l *Limits) Note(now time.Time, n Notice) bool {
	old := l.servers[n.Server]
	if old == nil && !n.Limited || old != nil && !n.At.After(old.At) {
		return false
	}
	if n.Rate = max(n.Rate, minRate); !n.Limited || math.IsNaN(n.Rate) || math.IsInf(n.Rate, 1) {
		n.Limited, n.Rate = false, 0
	}
	if old != nil && old.Limited == n.Limited && old.Rate == n.Rate {
		old.At = n.At
		return false
	}
	s := &limit{Notice: n, key: hash(n.Server)}
	l.servers[n.Server] = s
	if !n.Limited {
		return true
	}
	s.turn = turnLength(n.Rate)
	from := l.common(now)
	if old != nil && old.Limited {
		// A server may change its limit with each answer, so the turns go on from the last one that has begun.
		l.open(old, from)
		s.open, from = old.open, old.start(old.next)
		if p := n.Rate * old.turn.Seconds(); p >= minPerTurn && p <= maxPerTurn {
			s.turn = old.turn
		}
	}
	s.next = s.index(from.Add(s.turn - 1))
	s.upcoming = s.next
	return true
}

// Forget drops what is known of a server.
func (l *Limits) Forget(server string) { delete(l.servers, server) }

// Limit returns what a server has said about its limit, and whether it has one.
func (l *Limits) Limit(server string) (Notice, bool) {
	s := l.servers[server]
	if s == nil || !s.Limited {
		return Notice{}, false
	}
	return s.Notice, true
}

// Limited reports whether a server has a limit.
func (l *Limits) Limited(server string) bool {
	s := l.servers[server]
	return s != nil && s.Limited
}

// Wait returns the time until this host may send a request to a server: 0 if it may now, and at most maxLookahead.
func (l *Limits) Wait(now time.Time, server string) time.Duration {
	s := l.servers[server]
	if s == nil || !s.Limited {
		return 0
	}
	common := l.common(now)
	l.open(s, common)
	if len(s.open) > 0 {
		return 0
	}
	return l.untilNext(s, common)
}

// Take records a request that this host sends to a server.
func (l *Limits) Take(now time.Time, server string) {
	s := l.servers[server]
	if s == nil || !s.Limited {
		return
	}
	l.open(s, l.common(now))
	if len(s.open) == 0 {
		return
	}
	if s.open[0].requests--; s.open[0].requests == 0 {
		s.open = s.open[1:]
	}
}

// Gap returns the mean time between two requests of this host to a server, 0 if the server has no limit.
func (l *Limits) Gap(server string) time.Duration {
	s := l.servers[server]
	if s == nil || !s.Limited {
		return 0
	}
	hosts := len(l.hosts)
	if len(l.zones) > 0 {
		hosts = 0
		for _, z := range l.zones {
			hosts += z.hosts
		}
	}
	return time.Duration(float64(hosts) * float64(time.Second) / s.Rate)
}

// Notices returns the newest notice of each server, to be sent to other hosts, and drops those of limits that ended long
// ago.
func (l *Limits) Notices(now time.Time) []Notice {
	out := make([]Notice, 0, len(l.servers))
	for id, s := range l.servers {
		if !s.Limited && now.Sub(s.At) > endedRetention {
			delete(l.servers, id)
			continue
		}
		out = append(out, s.Notice)
	}
	return out
}

// common returns the common time at now. It does not depend on jumps of the wall clock since SetTime if now has a monotonic
// reading.
func (l *Limits) common(now time.Time) time.Time {
	if l.setAt.IsZero() {
		return now.Round(0)
	}
	return l.commonAt.Add(now.Sub(l.setAt))
}

// open looks at the turns that have begun since the last call and drops those that may no longer be used.
func (l *Limits) open(s *limit, common time.Time) {
	current := s.index(common)
	validity := l.validity(s.Rate, s.turn)
	s.next = max(s.next, s.index(common.Add(-validity)))
	for ; s.next <= current; s.next++ {
		if n := s.requests(s.next); n > 0 && l.owns(s, s.next) {
			s.open = append(s.open, openTurn{s.start(s.next).Add(validity), n})
		}
	}
	for len(s.open) > 0 && !common.Before(s.open[0].ends) {
		s.open = s.open[1:]
	}
}

// untilNext returns the time until this host's next turn begins, or maxLookahead if that is not near.
func (l *Limits) untilNext(s *limit, common time.Time) time.Duration {
	if s.upcoming < s.next {
		s.upcoming, s.found = s.next, false
	}
	end := s.index(common.Add(maxLookahead))
	for !s.found && s.upcoming < end {
		if s.requests(s.upcoming) > 0 && l.owns(s, s.upcoming) {
			s.found = true
			break
		}
		s.upcoming++
	}
	if !s.found {
		return maxLookahead
	}
	return max(s.start(s.upcoming).Sub(common), time.Millisecond)
}

// owns reports whether a turn belongs to this host.
func (l *Limits) owns(s *limit, turn int64) bool {
	key := mix(s.key ^ mix(uint64(turn)))
	if len(l.zones) > 0 && l.zoneOf(key) != l.zone {
		return false
	}
	own := mix(l.self ^ key)
	for _, h := range l.hosts {
		if h != l.self && mix(h^key) > own {
			return false
		}
	}
	return true
}

func (s *limit) index(common time.Time) int64 { return common.UnixNano() / int64(s.turn) }
func (s *limit) start(turn int64) time.Time   { return time.Unix(0, turn*int64(s.turn)) }

// zoneOf returns the availability zone to which a turn belongs, by weighted rendezvous hashing.
func (l *Limits) zoneOf(key uint64) uint64 {
	var best uint64
	bestScore := math.Inf(1)
	for _, z := range l.zones {
		// The logarithm of a uniform number in (0, 1], divided by the weight.
		u := (float64(mix(z.key^key)>>11) + 1) / (1 << 53)
		if score := -math.Log(u) / float64(z.hosts); score < bestScore {
			best, bestScore = z.key, score
		}
	}
	return best
}

// turnLength returns the length of a server's turns.
func turnLength(rate float64) time.Duration {
	d := minTurn
	for 2*d.Seconds()*rate <= 1 {
		d *= 2
	}
	return d
}

// turnCycle is the number of turns after which the fractions of a request per turn begin anew.
const turnCycle = 1 << 20

// requests returns the number of requests in a turn: the whole requests that come due in it at an even rate.
func (s *limit) requests(turn int64) int {
	perTurn, i := s.Rate*s.turn.Seconds(), float64(turn%turnCycle)
	return int(math.Floor((i+1)*perTurn) - math.Floor(i*perTurn))
}

func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // A hash's Write returns no error.
	return mix(h.Sum64())
}

// mix is the finaliser of SplitMix64.
func mix(v uint64) uint64 {
	v += 0x9e3779b97f4a7c15
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
