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
	"shallotramp/internal/fleet/member"
	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/traffic/dispatch"
)

// Times of the simulated network and platform.
const (
	simLatency  = 1500 * time.Microsecond
	simPoll     = 2 * time.Second
	simTimeout  = 5 * time.Second
	simPlatform = 5 * time.Millisecond
)

var simStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// sim runs cores on virtual time over a network that can be cut.
type sim struct {
	t     testing.TB
	now   time.Time
	rand  *rand.Rand
	due   agenda
	seq   int
	hosts map[string]*simHost
	// cut holds the directed pairs of zones whose messages are held back; the zone "platform" is the platform's.
	cut map[[2]string]bool
	// slow is how long the platform takes for a call.
	slow time.Duration
	// tick is how often cores tick; long runs take it slower.
	tick    time.Duration
	head    release.Entry
	content map[string][]byte
	// reads counts the reads of the head, writes the calls that write statuses.
	reads, writes int
	// statuses are the zones' statuses at the platform.
	statuses map[string]acceptance.ZoneStatus
	links    LinkID
	// traffic counts bytes while it is set.
	traffic *traffic
}

type agenda []task

type task struct {
	at  time.Time
	seq int
	do  func()
}

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(task)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// simHost is one host: a core with the real holder and shelf.
type simHost struct {
	s      *sim
	self   member.Host
	core   *Core
	holder *release.Holder
	shelf  *release.Shelf
	ends   map[LinkID]*simEnd
	follow int
	down   bool
	leased bool
	// state is what the host's decisions tell, and told what they were told, by source.
	state func() dispatch.HostState
	told  map[string]dispatch.HostState
	// loads are the reports of servers that the decisions were told.
	loads map[string]dispatch.Load
	// peak is the highest release ever in force, to find one that goes back.
	peak uint64
}

// simEnd is one end of a link.
type simEnd struct {
	id       LinkID
	owner    *simHost
	other    *simEnd
	open     bool
	held     []*wire.Envelope
	flushing bool
}

func newSim(t testing.TB, zones, perZone int) *sim {
	s := &sim{t: t, now: simStart, rand: rand.New(rand.NewPCG(7, 11)), hosts: map[string]*simHost{}, cut: map[[2]string]bool{}, slow: simPlatform, tick: TickInterval, statuses: map[string]acceptance.ZoneStatus{}}
	for z := range zones {
		for i := range perZone {
			s.start(member.Host{
				Name: fmt.Sprintf("z%02d-h%02d", z, i), Zone: fmt.Sprintf("z%02d", z), Incarnation: 1,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(i + 1)}), 7300),
			})
		}
	}
	return s
}

// start starts a host that knows all others from the platform's list, unless the platform is cut off.
func (s *sim) start(self member.Host, seeds ...netip.AddrPort) *simHost {
	h := &simHost{s: s, self: self, holder: &release.Holder{}, shelf: &release.Shelf{}, ends: map[LinkID]*simEnd{}, told: map[string]dispatch.HostState{}, loads: map[string]dispatch.Load{}}
	h.core = NewCore(s.now, self, seeds, h.shelf, rand.New(rand.NewPCG(s.rand.Uint64(), s.rand.Uint64())))
	s.hosts[self.Name] = h
	s.after(time.Duration(s.rand.Int64N(int64(TickInterval))), h.tick)
	s.after(simPlatform, func() {
		if !s.blocked(self.Zone, "platform") {
			h.apply(h.core.AddSeeds(s.now, s.list()))
		}
	})
	return h
}

func (s *sim) list() []member.Host {
	var out []member.Host
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

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.due, task{s.now.Add(d), s.seq, do})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.due) > 0 && !s.due[0].at.After(end) {
		next := heap.Pop(&s.due).(task)
		s.now = next.at
		next.do()
	}
	s.now = end
}

func (s *sim) blocked(a, b string) bool { return a != b && s.cut[[2]string{a, b}] }

// sever cuts both ways between the zones.
func (s *sim) sever(a, b string) { s.cut[[2]string{a, b}], s.cut[[2]string{b, a}] = true, true }

// heal ends all cuts and lets held messages through.
func (s *sim) heal() {
	s.cut = map[[2]string]bool{}
	for _, n := range s.names() {
		h := s.hosts[n]
		for _, id := range h.linkIDs() {
			h.ends[id].flush()
		}
	}
}

func (h *simHost) linkIDs() []LinkID {
	var out []LinkID
	for id := range h.ends {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// publish commits a release at the platform and tells the followers.
func (s *sim) publish() uint64 {
	b := fmt.Appendf(nil, `[{"Release":%d}]`, s.head.Number+1)
	sum := sha256.Sum256(b)
	d := hex.EncodeToString(sum[:])
	refs := []release.Ref{{Digest: d, Bytes: len(b)}}
	s.head = release.Entry{Number: s.head.Number + 1, Digest: release.DigestOf(refs), Chunks: refs}
	s.content = map[string][]byte{d: b}
	for _, n := range s.names() {
		if h := s.hosts[n]; h.follow != 0 {
			s.after(s.slow, func() { h.read(nil) })
		}
	}
	return s.head.Number
}

func (h *simHost) tick() {
	if h.down {
		return
	}
	h.local()
	h.apply(h.core.Tick(h.s.now, h.leased))
	h.s.after(h.s.tick, h.tick)
}

func (h *simHost) local() {
	if s := h.holder.Current(); s != nil {
		if s.Number < h.peak {
			h.s.t.Fatalf("%s went back from release %d to %d", h.self.Name, h.peak, s.Number)
		}
		h.peak = s.Number
		h.apply(h.core.SetLocalRelease(h.s.now, s.Number, h.holder.Confirmed()))
	}
}

// read reads the platform's head; done, if any, learns how it went.
func (h *simHost) read(done func(error)) {
	s, asked := h.s, h.s.now
	s.reads++
	if s.blocked(h.self.Zone, "platform") || s.slow > simTimeout {
		s.after(simTimeout, func() {
			if done != nil {
				done(errors.New("the platform does not answer"))
			}
		})
		return
	}
	s.after(s.slow, func() {
		if h.down {
			return
		}
		if s.head.Number > 0 {
			h.adopt(s.head, s.content)
			h.holder.Confirm(s.head.Number, asked)
			h.local()
		}
		if done != nil {
			done(nil)
		}
	})
}

func (h *simHost) adopt(e release.Entry, content map[string][]byte) {
	h.shelf.Put(e, content)
	h.holder.Adopt(release.NewSnapshot(e.Number, e.Digest, object.NewSet()))
	h.local()
}

func (h *simHost) apply(effects []Effect) {
	framed := map[LinkID]bool{}
	for _, e := range effects {
		switch e := e.(type) {
		case Dial:
			h.dial(e.Address)
		case CloseLink:
			if end := h.ends[e.Link]; end != nil {
				h.close(end)
			}
		case Send:
			if end := h.ends[e.Link]; end != nil {
				h.s.count(h, end.other.owner, e.Message, !framed[e.Link])
				framed[e.Link] = true
				end.held = append(end.held, e.Message)
				end.flush()
			}
		case FollowPlatform:
			h.follow++
			if e.On {
				h.poll(h.follow)
			} else {
				h.follow = 0
			}
		case ReadPlatform:
			h.read(func(err error) { h.apply(h.core.PlatformReadDone(h.s.now, err)) })
		case Adopt:
			content, err := Unpack(e, h.shelf)
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
			h.told[e.State.Host] = e.State
		case DeliverLoad:
			h.loads[e.Load.Server] = e.Load
		case WriteStatus:
			h.writeStatus(e)
		case Confirm:
			h.holder.Confirm(e.Number, e.At)
		}
	}
}

// writeStatus merges the status into the one that the platform has.
func (h *simHost) writeStatus(w WriteStatus) {
	s, z := h.s, w.Status
	s.writes += 2
	written := func(err error) {
		if !w.Forwarded {
			h.apply(h.core.StatusWritten(s.now, err))
		}
	}
	if s.blocked(h.self.Zone, "platform") || s.slow > simTimeout {
		s.after(simTimeout, func() { written(errors.New("the platform does not answer")) })
		return
	}
	s.after(s.slow, func() {
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

func (h *simHost) poll(run int) {
	if h.follow != run || h.down {
		return
	}
	h.read(nil)
	h.s.after(simPoll, func() { h.poll(run) })
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
		s.after(simTimeout, func() { h.apply(h.core.DialFailed(s.now, to, "no answer")) })
		return
	}
	s.after(3*simLatency, func() {
		if h.down || other.down {
			return
		}
		s.links += 2
		a := &simEnd{id: s.links, owner: h, open: true}
		b := &simEnd{id: s.links + 1, owner: other, open: true, other: a}
		a.other = b
		h.ends[a.id], other.ends[b.id] = a, b
		h.apply(h.core.LinkUp(s.now, a.id, other.self, true))
		other.apply(other.core.LinkUp(s.now, b.id, h.self, false))
	})
}

// flush delivers held messages in order while the way is open; like TCP, it holds them over a cut.
func (e *simEnd) flush() {
	s := e.owner.s
	if e.flushing || len(e.held) == 0 || s.blocked(e.owner.self.Zone, e.other.owner.self.Zone) {
		return
	}
	e.flushing = true
	s.after(simLatency, func() {
		e.flushing = false
		if s.blocked(e.owner.self.Zone, e.other.owner.self.Zone) {
			return
		}
		batch := e.held
		e.held = nil
		for _, m := range batch {
			if to := e.other; to.open && !to.owner.down {
				to.owner.apply(to.owner.core.Receive(s.now, to.id, m))
			}
		}
		e.flush()
	})
}

func (h *simHost) close(e *simEnd) {
	if !e.open {
		return
	}
	e.open = false
	delete(h.ends, e.id)
	h.apply(h.core.LinkDown(h.s.now, e.id, "closed"))
	h.s.after(simLatency, func() {
		if !h.s.blocked(h.self.Zone, e.other.owner.self.Zone) && !e.other.owner.down {
			e.other.owner.close(e.other)
		}
	})
}

// stop makes a host vanish without a word.
func (s *sim) stop(name string) {
	h := s.hosts[name]
	h.down, h.follow = true, 0
	for _, id := range h.linkIDs() {
		e := h.ends[id]
		e.open = false
		s.after(simLatency, func() { e.other.owner.close(e.other) })
	}
}

func (h *simHost) release() uint64 {
	if s := h.holder.Current(); s != nil {
		return s.Number
	}
	return 0
}

// age is how long ago the host's release was last confirmed.
func (h *simHost) age() time.Duration { return h.s.now.Sub(h.holder.Confirmed()) }

// lag runs until each live host has the release, at most for limit, and returns how long it took.
func (s *sim) lag(number uint64, limit time.Duration, zones ...string) time.Duration {
	from := s.now
	for s.now.Sub(from) < limit && !s.reached(number, zones) {
		s.run(20 * time.Millisecond)
	}
	return s.now.Sub(from)
}

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

// acting lists the hosts that relay.
func (s *sim) acting() []string {
	var out []string
	for _, n := range s.names() {
		if h := s.hosts[n]; h.core.acting && !h.down {
			out = append(out, n)
		}
	}
	return out
}
