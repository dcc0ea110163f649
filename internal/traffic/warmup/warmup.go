// Package warmup divides the requests that a cold backend server takes among the hosts
// of its availability zone. A server that has just started, or has become cold again,
// takes a small rate of requests from all hosts together and crashes well above it.
// Hosts of other zones send it nothing until it is warm. Within the zone, each request
// has a turn, as in package serverlimit, which belongs to one host.
//
// Load pattern: the servers of a zone come back at once, all cold, while callers of the
// zone go on. Hosts join and leave, some are cut off from the others, and news of a
// server arrives late.
//
// Hosts agree on the owner of a turn as long as their views of the zone agree. A view
// therefore changes slowly. A host that has started uses no turns until it knows as many
// hosts as those that were there before, and they know it. A host that falls silent keeps
// its turns for a while. A host that has lost the majority of its view gives its turns up
// before the others divide them. Not covered are a cut within a zone that lasts longer
// than minorityEnd, or longer than aloneDelay if all hosts of one side start anew behind
// it, and a second cut of another shape before the first has healed.
//
// The package does no I/O and reads no clock.
package warmup

import (
	"time"

	"shallotramp/internal/traffic/serverlimit"
)

const (
	// joinDelay is how long a host that has started leaves its turns unused, until the hosts of its zone have received
	// its packets and it has received theirs.
	joinDelay = 4 * time.Second
	// aloneDelay is how long a host that has started waits for a host that was there before. It is longer than hosts are
	// usually cut off from each other.
	aloneDelay = 30 * time.Second
	// viewRetention is how long a silent host keeps its turns. minorityUse is how long a host that no longer hears from
	// the majority of its view uses its own; it is shorter, as its clock for that may start later.
	viewRetention = 10 * time.Second
	minorityUse   = 6 * time.Second
	// minorityEnd is how long a host waits for the majority of its view before it takes the others for ended. It is several
	// times as long as hosts are usually cut off from each other.
	minorityEnd = 2 * time.Minute
	// minValidity is the shortest time for which a turn may be used: a host looks at its waiting requests that often.
	minValidity = 100 * time.Millisecond
	// validityShare is the part of the bound's excess over the rate that turns which are used late may take. The rest is
	// left for hosts whose views or clocks differ for a moment.
	validityShare = 0.5
)

// timing holds the durations that keep the views of hosts from giving a turn to two of them.
type timing struct{ joinDelay, aloneDelay, viewRetention, minorityUse time.Duration }

// member is another host of the view.
type member struct {
	firstSeen, lastSeen time.Time
	// voter members count for the majority of the view. Hosts that join behind a cut must not make a majority there.
	voter bool
}

// Bound is the number of requests that a cold server may get in any second: Overshoot times its rate, and Allowance more.
type Bound struct{ Overshoot, Allowance float64 }

// Pacer decides when one host may send requests to the cold servers of its availability zone. Create it with [New]. It must
// be used by one goroutine only.
type Pacer struct {
	turns  *serverlimit.Limits
	self   string
	timing timing
	// startedAt is when the host began to learn of the others, and joined is set once it may use turns.
	startedAt time.Time
	joined    bool
	// rejoinedAt is when the host last regained the majority of its view after it had given its turns up.
	rejoinedAt time.Time
	// updatedAt is when the host last looked for the others.
	updatedAt time.Time
	// view holds the hosts of the view, this one excluded.
	view map[string]*member
	// minoritySince is when the host lost the majority of its view; zero while it has one.
	minoritySince time.Time
	coldUntil     map[string]time.Time
}

// Option configures a [Pacer].
type Option func(*Pacer)

// WithFirstStart is for a host that starts together with all others of the deployment, before there are requests. It does
// not wait for a host that was there before.
func WithFirstStart() Option { return func(p *Pacer) { p.timing.aloneDelay = p.timing.joinDelay } }

// New returns a Pacer of the host self.
func New(self string, b Bound, opts ...Option) *Pacer {
	validity := func(rate float64, _ time.Duration) time.Duration {
		excess := max(b.Overshoot-1, 0) + b.Allowance/rate
		return max(time.Duration(validityShare*excess*float64(time.Second)), minValidity)
	}
	p := &Pacer{
		turns: serverlimit.New(self, serverlimit.WithValidity(validity)), self: self,
		timing: timing{joinDelay, aloneDelay, viewRetention, minorityUse},
		view:   map[string]*member{}, coldUntil: map[string]time.Time{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Peer is another host of the availability zone that is alive.
type Peer struct {
	Name string
	// View is the number of hosts that it says are in its view, see [Pacer.View].
	View int
}

// SetHosts sets the other hosts of the zone that are alive, and the common time of all hosts at now.
func (p *Pacer) SetHosts(now, common time.Time, alive []Peer) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	if !p.updatedAt.IsZero() && now.Sub(p.updatedAt) >= p.timing.minorityUse {
		p.rejoinedAt = now // The process stood meanwhile, and the others may have divided its turns.
	}
	p.updatedAt = now
	largestView := 0
	for _, peer := range alive {
		if peer.Name == p.self {
			continue
		}
		m := p.view[peer.Name]
		if m == nil {
			m = &member{firstSeen: now}
			p.view[peer.Name] = m
		}
		m.lastSeen = now
		largestView = max(largestView, peer.View)
	}
	p.updateMajority(now)
	p.join(now, largestView)
	view := make([]string, 0, len(p.view))
	for name := range p.view {
		view = append(view, name)
	}
	p.turns.SetHosts(view)
	p.turns.SetTime(now, common)
}

// updateMajority checks whether the majority of the view is alive. While it is, and once it has been away for minorityEnd,
// silent hosts leave the view and new ones become voters.
func (p *Pacer) updateMajority(now time.Time) {
	alive, voters := 1, 1
	for _, m := range p.view {
		if m.voter {
			voters++
			if m.lastSeen.Equal(now) {
				alive++
			}
		}
	}
	if 2*alive <= voters {
		if p.minoritySince.IsZero() {
			p.minoritySince = now
		}
		if now.Sub(p.minoritySince) < minorityEnd {
			return
		}
	}
	if !p.minoritySince.IsZero() && now.Sub(p.minoritySince) >= p.timing.minorityUse {
		p.rejoinedAt = now // The others have divided this host's turns among themselves.
	}
	p.minoritySince = time.Time{}
	for name, m := range p.view {
		switch {
		case now.Sub(m.lastSeen) > p.timing.viewRetention:
			delete(p.view, name)
		case now.Sub(m.firstSeen) >= p.timing.joinDelay:
			m.voter = true
		}
	}
}

// join lets the host use turns once its view is as large as those of the hosts that were there before.
func (p *Pacer) join(now time.Time, largestView int) {
	age := now.Sub(p.startedAt)
	switch {
	case p.joined || age < p.timing.joinDelay:
	case largestView > 0:
		p.joined = len(p.view)+1 >= largestView
	default:
		p.joined = age >= p.timing.aloneDelay
	}
}

// SetCold records that a server is cold until a time and takes rate requests per second meanwhile. A later time replaces an
// earlier one.
func (p *Pacer) SetCold(now time.Time, server string, rate float64, until time.Time) {
	if rate <= 0 || !until.After(now) || !until.After(p.coldUntil[server]) {
		return
	}
	p.coldUntil[server] = until
	p.turns.Note(now, serverlimit.Notice{Server: server, Limited: true, Rate: rate, At: now})
}

// Forget drops what is known of a server.
func (p *Pacer) Forget(server string) {
	delete(p.coldUntil, server)
	p.turns.Forget(server)
}

// Cold returns the number of cold servers and drops those that are warm.
func (p *Pacer) Cold(now time.Time) int {
	for server, until := range p.coldUntil {
		if !now.Before(until) {
			p.Forget(server)
		}
	}
	return len(p.coldUntil)
}

// Wait returns the time until this host may send a request to a server; 0 if it may now. A host of another availability zone
// waits until the server is warm.
func (p *Pacer) Wait(now time.Time, server string, sameZone bool) time.Duration {
	until, ok := p.coldUntil[server]
	if !ok || !now.Before(until) {
		return 0
	}
	warm := until.Sub(now)
	if !sameZone || !p.UsesTurns(now) {
		return warm
	}
	return min(p.turns.Wait(now, server), warm)
}

// UsesTurns reports whether this host uses its turns: no other host does.
func (p *Pacer) UsesTurns(now time.Time) bool {
	if now.Sub(p.updatedAt) >= p.timing.minorityUse {
		return false
	}
	return p.joined && now.Sub(p.rejoinedAt) >= p.timing.joinDelay && (p.minoritySince.IsZero() || now.Sub(p.minoritySince) < p.timing.minorityUse)
}

// Take records a request that this host sends to a server.
func (p *Pacer) Take(now time.Time, server string) {
	if until, ok := p.coldUntil[server]; ok && now.Before(until) {
		p.turns.Take(now, server)
	}
}

// View returns the number of hosts among which the turns are divided, this one included; 0 before the host uses turns for
// the first time. It stays as it is while the host has given its turns up.
func (p *Pacer) View() int {
	if !p.joined {
		return 0
	}
	return len(p.view) + 1
}
