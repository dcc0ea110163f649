package relay

import (
	"container/heap"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/fleet/acceptance"
	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/traffic/dispatch"
)

// Delays and timeouts of the simulated network and platform.
const (
	simLatency       = 1500 * time.Microsecond
	simPollInterval  = 2 * time.Second
	simCallTimeout   = 5 * time.Second
	simPlatformDelay = 5 * time.Millisecond
)

var simStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// sim runs cores on virtual time, over a simulated network that can be partitioned.
type sim struct {
	t     testing.TB
	now   time.Time
	rand  *rand.Rand
	tasks taskQueue
	seq   int
	hosts map[string]*simHost
	// blockedPairs holds the pairs of sending and receiving zone whose messages are held back. The platform is the zone
	// "platform".
	blockedPairs map[[2]string]bool
	// platformDelay is how long a call to the platform takes.
	platformDelay time.Duration
	// tickInterval is how often [Core.Tick] is called; long simulations set a longer one.
	tickInterval time.Duration
	head         release.Entry
	content      map[string][]byte
	// reads counts the reads of the head, writes the calls to the platform that write statuses.
	reads, writes int
	// statuses are the zones' statuses at the platform.
	statuses   map[string]acceptance.ZoneStatus
	lastLinkID LinkID
	// traffic counts the bytes sent and received; nil to count none.
	traffic *traffic
}

type taskQueue []task

type task struct {
	at  time.Time
	seq int
	run func()
}

func (a taskQueue) Len() int { return len(a) }
func (a taskQueue) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a taskQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *taskQueue) Push(x any)   { *a = append(*a, x.(task)) }
func (a *taskQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// simHost is a simulated host with a real [Core], [release.Holder] and [release.Cache].
type simHost struct {
	s      *sim
	self   membership.Host
	core   *Core
	holder *release.Holder
	cache  *release.Cache
	links  map[LinkID]*simLinkEnd
	// followRun numbers the runs of the follower, so that polls of an earlier run stop; 0 if the host does not follow.
	followRun int
	down      bool
	leased    bool
	// state returns the state of the host's dispatcher; nil if there is none. peerStates holds the states delivered to
	// the dispatcher, by source.
	state      func() dispatch.HostState
	peerStates map[string]dispatch.HostState
	// loads holds the load reports delivered to the dispatcher, by server.
	loads map[string]dispatch.Load
	// highestRelease is the last release in force, to detect a host that returns to an earlier one.
	highestRelease uint64
}

// simLinkEnd is one end of a simulated link.
type simLinkEnd struct {
	id         LinkID
	owner      *simHost
	peer       *simLinkEnd
	open       bool
	queued     []*wire.Envelope
	delivering bool
}

func newSim(t testing.TB, zones, perZone int) *sim {
	s := &sim{t: t, now: simStart, rand: rand.New(rand.NewPCG(7, 11)), hosts: map[string]*simHost{}, blockedPairs: map[[2]string]bool{}, platformDelay: simPlatformDelay, tickInterval: TickInterval, statuses: map[string]acceptance.ZoneStatus{}}
	for z := range zones {
		for i := range perZone {
			s.start(membership.Host{
				Name: fmt.Sprintf("z%02d-h%02d", z, i), Zone: fmt.Sprintf("z%02d", z), Incarnation: 1,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(i + 1)}), 7300),
			})
		}
	}
	return s
}

// start starts a host. The host gets the list of all hosts from the platform, unless the platform cannot be reached.
func (s *sim) start(self membership.Host, seeds ...netip.AddrPort) *simHost {
	h := &simHost{s: s, self: self, holder: &release.Holder{}, cache: &release.Cache{}, links: map[LinkID]*simLinkEnd{}, peerStates: map[string]dispatch.HostState{}, loads: map[string]dispatch.Load{}}
	h.core = NewCore(s.now, self, seeds, h.cache, rand.New(rand.NewPCG(s.rand.Uint64(), s.rand.Uint64())))
	s.hosts[self.Name] = h
	s.after(time.Duration(s.rand.Int64N(int64(TickInterval))), h.tick)
	s.after(simPlatformDelay, func() {
		if !s.blocked(self.Zone, "platform") {
			h.apply(h.core.AddListedHosts(s.now, s.hostList()))
		}
	})
	return h
}

func (s *sim) hostList() []membership.Host {
	var out []membership.Host
	for _, n := range s.names() {
		out = append(out, s.hosts[n].self)
	}
	return out
}

func (s *sim) names() []string {
	var out []string
	for n := range s.hosts {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.tasks, task{s.now.Add(d), s.seq, run})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.tasks) > 0 && !s.tasks[0].at.After(end) {
		next := heap.Pop(&s.tasks).(task)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *sim) blocked(a, b string) bool { return a != b && s.blockedPairs[[2]string{a, b}] }

// disconnect blocks messages between the zones in both directions.
func (s *sim) disconnect(a, b string) {
	s.blockedPairs[[2]string{a, b}], s.blockedPairs[[2]string{b, a}] = true, true
}

// heal unblocks all pairs of zones and delivers the messages held back.
func (s *sim) heal() {
	s.blockedPairs = map[[2]string]bool{}
	for _, n := range s.names() {
		h := s.hosts[n]
		for _, id := range h.linkIDs() {
			h.links[id].deliver()
		}
	}
}

func (h *simHost) linkIDs() []LinkID {
	var out []LinkID
	for id := range h.links {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// publish commits a release at the platform and notifies the followers.
func (s *sim) publish() uint64 {
	b := fmt.Appendf(nil, `[{"Release":%d}]`, s.head.Number+1)
	sum := sha256.Sum256(b)
	d := hex.EncodeToString(sum[:])
	refs := []release.ChunkRef{{Digest: d, Bytes: len(b)}}
	s.head = release.Entry{Number: s.head.Number + 1, Digest: release.DigestOf(refs), Chunks: refs}
	s.content = map[string][]byte{d: b}
	for _, n := range s.names() {
		if h := s.hosts[n]; h.followRun != 0 {
			s.after(s.platformDelay, func() { h.readPlatform(nil) })
		}
	}
	return s.head.Number
}

func (h *simHost) tick() {
	if h.down {
		return
	}
	h.updateLocalRelease()
	h.apply(h.core.Tick(h.s.now, h.leased))
	h.s.after(h.s.tickInterval, h.tick)
}

func (h *simHost) updateLocalRelease() {
	if s := h.holder.Current(); s != nil {
		if s.Number < h.highestRelease {
			h.s.t.Fatalf("%s returned from release %d to %d", h.self.Name, h.highestRelease, s.Number)
		}
		h.highestRelease = s.Number
		h.apply(h.core.SetLocalRelease(h.s.now, s.Number, h.holder.Confirmed()))
	}
}

// readPlatform reads the platform's head. It calls done, if not nil, with the result.
func (h *simHost) readPlatform(done func(error)) {
	s, readAt := h.s, h.s.now
	s.reads++
	if s.blocked(h.self.Zone, "platform") || s.platformDelay > simCallTimeout {
		s.after(simCallTimeout, func() {
			if done != nil {
				done(errors.New("the platform does not answer"))
			}
		})
		return
	}
	s.after(s.platformDelay, func() {
		if h.down {
			return
		}
		if s.head.Number > 0 {
			h.adopt(s.head, s.content)
			h.holder.Confirm(s.head.Number, readAt)
			h.updateLocalRelease()
		}
		if done != nil {
			done(nil)
		}
	})
}

func (h *simHost) adopt(e release.Entry, content map[string][]byte) {
	h.cache.Put(e, content)
	h.holder.Adopt(release.NewSnapshot(e.Number, e.Digest, object.NewSet()))
	h.updateLocalRelease()
}

func (h *simHost) apply(effects []Effect) {
	sentOn := map[LinkID]bool{}
	for _, e := range effects {
		switch e := e.(type) {
		case Dial:
			h.dial(e.Address)
		case CloseLink:
			if end := h.links[e.Link]; end != nil {
				h.close(end)
			}
		case Send:
			if end := h.links[e.Link]; end != nil {
				h.s.countTraffic(h, end.peer.owner, e.Message, !sentOn[e.Link])
				sentOn[e.Link] = true
				end.queued = append(end.queued, e.Message)
				end.deliver()
			}
		case FollowPlatform:
			h.followRun++
			if e.On {
				h.pollPlatform(h.followRun)
			} else {
				h.followRun = 0
			}
		case ReadPlatform:
			h.readPlatform(func(err error) { h.apply(h.core.PlatformReadDone(h.s.now, err)) })
		case Adopt:
			content, err := Unpack(e, h.cache)
			if err != nil {
				h.apply(h.core.AdoptFailed(h.s.now, e.Entry.Number, err))
				continue
			}
			h.adopt(e.Entry, content)
		case ReadLocalState:
			if h.state == nil {
				h.apply(h.core.LocalStateUnavailable())
				continue
			}
			h.apply(h.core.SetLocalState(h.s.now, h.state()))
		case DeliverState:
			h.peerStates[e.State.Host] = e.State
		case DeliverLoad:
			h.loads[e.Load.Server] = e.Load
		case WriteStatus:
			h.writeStatus(e)
		case Confirm:
			h.holder.Confirm(e.Number, e.At)
		}
	}
}

// writeStatus merges the status with the platform's and writes it.
func (h *simHost) writeStatus(w WriteStatus) {
	s, z := h.s, w.Status
	s.writes += 2
	written := func(err error) {
		if !w.Forwarded {
			h.apply(h.core.StatusWritten(s.now, err))
		}
	}
	if s.blocked(h.self.Zone, "platform") || s.platformDelay > simCallTimeout {
		s.after(simCallTimeout, func() { written(errors.New("the platform does not answer")) })
		return
	}
	s.after(s.platformDelay, func() {
		old, ok := s.statuses[z.Zone]
		if ok {
			z.Merge(&old)
		}
		if !ok || old.Release <= z.Release {
			s.statuses[z.Zone] = z
		}
		written(nil)
	})
}

func (h *simHost) pollPlatform(run int) {
	if h.followRun != run || h.down {
		return
	}
	h.readPlatform(nil)
	h.s.after(simPollInterval, func() { h.pollPlatform(run) })
}

func (h *simHost) dial(to netip.AddrPort) {
	s := h.s
	var other *simHost
	for _, n := range s.names() {
		if s.hosts[n].self.Address == to && !s.hosts[n].down {
			other = s.hosts[n]
		}
	}
	if other == nil || s.blocked(h.self.Zone, other.self.Zone) || s.blocked(other.self.Zone, h.self.Zone) {
		s.after(simCallTimeout, func() { h.apply(h.core.DialFailed(s.now, to, "no answer")) })
		return
	}
	s.after(3*simLatency, func() {
		if h.down || other.down {
			return
		}
		s.lastLinkID += 2
		a := &simLinkEnd{id: s.lastLinkID, owner: h, open: true}
		b := &simLinkEnd{id: s.lastLinkID + 1, owner: other, open: true, peer: a}
		a.peer = b
		h.links[a.id], other.links[b.id] = a, b
		h.apply(h.core.LinkUp(s.now, a.id, other.self, true))
		other.apply(other.core.LinkUp(s.now, b.id, h.self, false))
	})
}

// deliver delivers queued messages in order unless their direction is blocked. Like TCP, it keeps blocked messages and
// delivers them later.
func (e *simLinkEnd) deliver() {
	s := e.owner.s
	if e.delivering || len(e.queued) == 0 || s.blocked(e.owner.self.Zone, e.peer.owner.self.Zone) {
		return
	}
	e.delivering = true
	s.after(simLatency, func() {
		e.delivering = false
		if s.blocked(e.owner.self.Zone, e.peer.owner.self.Zone) {
			return
		}
		batch := e.queued
		e.queued = nil
		for _, m := range batch {
			if to := e.peer; to.open && !to.owner.down {
				to.owner.apply(to.owner.core.Receive(s.now, to.id, m))
			}
		}
		e.deliver()
	})
}

func (h *simHost) close(e *simLinkEnd) {
	if !e.open {
		return
	}
	e.open = false
	delete(h.links, e.id)
	h.apply(h.core.LinkDown(h.s.now, e.id, "closed"))
	h.s.after(simLatency, func() {
		if !h.s.blocked(h.self.Zone, e.peer.owner.self.Zone) && !e.peer.owner.down {
			e.peer.owner.close(e.peer)
		}
	})
}

// crash stops a host without announcing the stop.
func (s *sim) crash(name string) {
	h := s.hosts[name]
	h.down, h.followRun = true, 0
	for _, id := range h.linkIDs() {
		e := h.links[id]
		e.open = false
		s.after(simLatency, func() { e.peer.owner.close(e.peer) })
	}
}

func (h *simHost) release() uint64 {
	if s := h.holder.Current(); s != nil {
		return s.Number
	}
	return 0
}

// confirmationAge returns how long ago the host's release was last confirmed.
func (h *simHost) confirmationAge() time.Duration { return h.s.now.Sub(h.holder.Confirmed()) }

// runUntilReached runs until each live host of the zones has the release, but not longer than limit, and returns how long
// it ran. No zones means all.
func (s *sim) runUntilReached(number uint64, limit time.Duration, zones ...string) time.Duration {
	from := s.now
	for s.now.Sub(from) < limit && !s.reached(number, zones) {
		s.run(20 * time.Millisecond)
	}
	return s.now.Sub(from)
}

// reached reports whether each live host of the zones has the release or a later one. No zones means all.
func (s *sim) reached(number uint64, zones []string) bool {
	for _, h := range s.hosts {
		in := len(zones) == 0
		for _, z := range zones {
			in = in || z == h.self.Zone
		}
		if in && !h.down && h.release() < number {
			return false
		}
	}
	return true
}

// acting lists the live hosts that act as relays.
func (s *sim) acting() []string {
	var out []string
	for _, n := range s.names() {
		if h := s.hosts[n]; h.core.acting && !h.down {
			out = append(out, n)
		}
	}
	return out
}
