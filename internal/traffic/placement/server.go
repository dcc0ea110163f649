package placement

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// server is what this host knows of one incarnation of a backend server.
type server struct {
	info backend.Server
	// rank orders the servers of a service the same way on all hosts.
	rank uint64
	// forLong servers take long prompts first, the others short ones.
	forLong bool
	// own is this host's outstanding work, others that of the other hosts.
	own, others Work
	cache       cache
	health
	reported   dispatch.Load
	reportedAt time.Time
	open       map[request.ID]*entry
	// listed is the number of the last list that had the server.
	listed int
	// gone servers are no longer listed, or leave.
	gone bool
	// elsewhere servers have an entry, and another server answers at their address.
	elsewhere bool
}

// UrgencyLevels is how many levels of urgency are told apart: two for each tier, if there are few enough. Within a
// tier, requests that can no longer be on time come after those that can.
const UrgencyLevels = 10

// Work is outstanding work on a server.
type Work struct {
	// KVTokens counts the tokens in memory.
	KVTokens int
	// InFlight counts requests that were sent and have not ended, Unread the tokens of prompts sent and not
	// read yet, both by level.
	InFlight, PendingPrefill [UrgencyLevels]int
}

// add adds o, n times; n may be negative.
func (w *Work) add(o Work, n int) {
	w.KVTokens += n * o.KVTokens
	for i := range UrgencyLevels {
		w.InFlight[i] += n * o.InFlight[i]
		w.PendingPrefill[i] += n * o.PendingPrefill[i]
	}
}

// ahead returns the requests and the unread tokens that come before a request of the level: engines take
// the more urgent first.
func (w *Work) ahead(level int) (running, unread int) {
	for i := range level + 1 {
		running += w.InFlight[i]
		unread += w.PendingPrefill[i]
	}
	return running, unread
}

// all returns the requests of all levels.
func (w *Work) all() int {
	n, _ := w.ahead(UrgencyLevels - 1)
	return n
}

func (w *Work) allUnread() int {
	_, n := w.ahead(UrgencyLevels - 1)
	return n
}

// level returns the request's urgency, 0 the most urgent.
func (p *Policy) level(e *entry) int {
	tier := max(e.req.Tier, 0)
	if p.table == nil || 2*p.table.TierCount() > UrgencyLevels {
		return min(tier, UrgencyLevels-1)
	}
	l := min(2*tier, UrgencyLevels-2)
	if e.late {
		l++
	}
	return l
}

func newServer(info backend.Server) *server {
	return &server{info: info, rank: rankOf(info.ID), open: map[request.ID]*entry{}, cache: newCache()}
}

// rankOf hashes a server's name: all hosts order the servers alike.
func rankOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // A hash's Write returns no error.
	return mix(h.Sum64(), 0)
}

// mix hashes a rank with a key, for another order of the servers by each key.
func mix(rank, key uint64) uint64 {
	v := rank ^ key*0x9e3779b97f4a7c15
	v ^= v >> 31
	v *= 0xbf58476d1ce4e5b9
	v ^= v >> 29
	return v
}

func (s *server) begin(now time.Time, e *entry) {
	s.own.KVTokens += e.held
	s.own.InFlight[e.level]++
	s.own.PendingPrefill[e.level] += e.uncached
	s.open[e.req.ID] = e
	for _, part := range e.req.Parts {
		s.cache.touch(now, part.ID)
	}
	if len(e.req.Parts) > 0 {
		e.svc.holders.add(affinity(e.req.Parts), s)
	}
}

func (s *server) firstToken(now time.Time, e *entry) {
	s.own.PendingPrefill[e.level] -= e.uncached
	s.answered(now)
}

func (s *server) end(now time.Time, e *entry, o request.Outcome) {
	s.own.KVTokens -= e.held
	s.own.InFlight[e.level]--
	if !e.first {
		s.own.PendingPrefill[e.level] -= e.uncached
	}
	delete(s.open, e.req.ID)
	s.note(now, e, o)
}

// oldest returns how long the oldest request has waited for its first token.
func (s *server) oldest(now time.Time) time.Duration {
	var out time.Duration
	for _, e := range s.open {
		if !e.first {
			out = max(out, now.Sub(e.started)-e.outlook)
		}
	}
	return out
}

// load returns the outstanding work of all hosts.
func (s *server) load() Work {
	w := s.own
	w.add(s.others, 1)
	return w
}

// taken returns the requests on the server: those that hosts know of, or more if it has just said so itself.
func (s *server) taken(now time.Time) int {
	w := s.load()
	n := w.all()
	if now.Sub(s.reportedAt) < reportLifetime {
		n = max(n, s.reported.Running+s.reported.Waiting)
	}
	return n
}

// count adds what another host told to the servers, n times.
func (p *Policy) count(peer HostState, n int) {
	for id, w := range peer.Work {
		if s := p.servers[id]; s != nil {
			s.others.add(w, n)
		}
	}
}

// cache remembers which parts of prompts a server has read of late.
type cache struct {
	used *simplelru.LRU[uint64, time.Time]
}

func newCache() cache {
	l, err := simplelru.NewLRU[uint64, time.Time](maxParts, nil)
	if err != nil {
		panic(err) // The size is a constant above 0.
	}
	return cache{used: l}
}

func (c *cache) touch(now time.Time, id uint64) { c.used.Add(id, now) }

// missing returns the tokens from the first part on that the server is not known to keep.
func (c *cache) missing(now time.Time, parts []request.Part) int {
	n := 0
	for _, part := range parts {
		t, ok := c.used.Peek(part.ID)
		if n > 0 || !ok || now.Sub(t) > cacheLifetime {
			n += part.Tokens
		}
	}
	return n
}

// holders remembers which servers were sent a shared part last.
type holders struct {
	by *simplelru.LRU[uint64, []*server]
}

func newHolders() holders {
	l, err := simplelru.NewLRU[uint64, []*server](maxParts, nil)
	if err != nil {
		panic(err) // The size is a constant above 0.
	}
	return holders{by: l}
}

func (h *holders) add(id uint64, s *server) {
	old, _ := h.by.Get(id)
	next := append(make([]*server, 0, maxHolders), s)
	for _, o := range old {
		if o != s && len(next) < maxHolders {
			next = append(next, o)
		}
	}
	h.by.Add(id, next)
}

func (h *holders) of(parts []request.Part) []*server {
	if len(parts) == 0 {
		return nil
	}
	l, _ := h.by.Get(affinity(parts))
	return l
}

// PartLocation tells that a server was sent a prompt with a shared part.
type PartLocation struct {
	Server string
	Part   uint64
}

// sawPart notes for other hosts where a shared part went.
func (p *Policy) sawPart(s *server, parts []request.Part) {
	for i, part := range parts {
		if i == len(parts)-1 && i > 0 || part.Tokens < toldTokens {
			continue
		}
		p.seen = append(p.seen, PartLocation{s.info.ID, part.ID})
	}
	if len(p.seen) > maxSeen {
		p.seen = p.seen[len(p.seen)-maxSeen:]
	}
}

// HostState is what another host tells of its outstanding work.
type HostState struct {
	Host string
	At   time.Time
	// Lifetime is how long the word counts; there is a least one.
	Lifetime      time.Duration
	Work          map[string]Work
	PartLocations []PartLocation
	// ServerDemand is the need of the host's callers, by service.
	ServerDemand map[string]float64
	Zone         string
	// Crashes are the host's own of late.
	Crashes []Crash
}

// HostState notes what another host tells.
func (p *Policy) UpdatePeer(now time.Time, peer HostState, hosts int) []dispatch.Effect {
	peer.At = now
	for _, seen := range peer.PartLocations {
		if s := p.servers[seen.Server]; s != nil {
			s.cache.touch(now, seen.Part)
			p.service(s.info.Service).holders.add(seen.Part, s)
		}
	}
	for _, c := range peer.Crashes {
		p.suspects.add(now, c)
	}
	peer.PartLocations, peer.Crashes = nil, nil
	p.count(p.peers[peer.Host], -1)
	p.count(peer, 1)
	p.peers[peer.Host] = peer
	p.hosts = max(hosts, 1)
	return nil
}

// State returns this host's outstanding work and the parts that were sent since the last call.
func (p *Policy) State(now time.Time) HostState {
	out := HostState{At: now, Zone: p.zone, Work: make(map[string]Work, len(p.servers)), PartLocations: p.seen, ServerDemand: map[string]float64{}, Crashes: p.suspects.recent()}
	for id, s := range p.servers {
		if s.own != (Work{}) {
			out.Work[id] = s.own
		}
	}
	for name, s := range p.services {
		if s.engine != nil {
			out.ServerDemand[name] = p.busy(now, s)
		}
	}
	p.seen = nil
	return out
}

// oldestWord returns the age of the oldest word of another host's work that is counted.
func (p *Policy) oldestWord(now time.Time) time.Duration {
	var age time.Duration
	for _, peer := range p.peers {
		age = max(age, now.Sub(peer.At))
	}
	return age
}

// DemandByZone returns the need of a service's callers by availability zone, in servers that are busy to the full.
func (p *Policy) DemandByZone(now time.Time, service string) map[string]float64 {
	out := map[string]float64{}
	if s := p.services[service]; s != nil {
		out[p.zone] = p.busy(now, s)
	}
	for _, peer := range p.peers {
		out[peer.Zone] += peer.ServerDemand[service]
	}
	return out
}

// busy returns the need of this host's callers: the time to read their prompts and the places that they fill.
func (p *Policy) busy(now time.Time, s *service) float64 {
	running, slots := 0, 1
	for _, x := range s.servers {
		running += x.own.all()
		slots = max(slots, x.info.Slots)
	}
	return s.reading.rate(now) + float64(running)/float64(slots)
}

// meter is an exponentially weighted rate of work, in seconds a second.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) add(now time.Time, work time.Duration) {
	m.value = m.rate(now) + work.Seconds()/meterTime.Seconds()
	m.at = now
}

func (m *meter) rate(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/meterTime.Seconds())
}
