package placement

import (
	"hash/fnv"
	"time"

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
	// own is this host's outstanding work.
	own   Work
	cache cache
	health
	reported   dispatch.Load
	reportedAt time.Time
	open       map[request.ID]*entry
}

// Tiers is how many tiers are told apart in outstanding work; lower ones count as the last.
const Tiers = 4

// Work is outstanding work on a server.
type Work struct {
	// Running counts requests that were sent and have not ended, Held the tokens in memory.
	Running, Held int
	// Unread counts the tokens of prompts sent and not read yet, by tier.
	Unread [Tiers]int
}

func (w *Work) add(o Work) {
	w.Running += o.Running
	w.Held += o.Held
	for i, n := range o.Unread {
		w.Unread[i] += n
	}
}

// ahead returns the unread tokens that come before a request of the tier.
func (w *Work) ahead(tier int) int {
	n := 0
	for i := range place(tier) + 1 {
		n += w.Unread[i]
	}
	return n
}

func place(tier int) int { return min(max(tier, 0), Tiers-1) }

func newServer(info backend.Server) *server {
	return &server{info: info, rank: rankOf(info.ID, 0), open: map[request.ID]*entry{}, cache: newCache()}
}

// rankOf hashes a server's name with a key: for one key, all hosts order the servers alike.
func rankOf(id string, key uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // A hash's Write returns no error.
	v := h.Sum64() ^ key*0x9e3779b97f4a7c15
	v ^= v >> 31
	v *= 0xbf58476d1ce4e5b9
	v ^= v >> 29
	return v
}

func (s *server) begin(now time.Time, e *entry) {
	s.own.add(Work{Running: 1, Held: e.held})
	s.own.Unread[place(e.req.Tier)] += e.uncached
	s.open[e.req.ID] = e
	s.cache.touch(now, e.req.Parts)
}

func (s *server) firstToken(now time.Time, e *entry) {
	s.own.Unread[place(e.req.Tier)] -= e.uncached
	s.answered(now)
}

func (s *server) end(now time.Time, e *entry, o request.Outcome) {
	s.own.add(Work{Running: -1, Held: -e.held})
	if !e.first {
		s.own.Unread[place(e.req.Tier)] -= e.uncached
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
func (p *Policy) load(s *server) Work {
	w := s.own
	for _, peer := range p.peers {
		w.add(peer.Work[s.info.ID])
	}
	return w
}

// cache remembers which parts of prompts a server has read of late.
type cache struct {
	used map[uint64]time.Time
}

func newCache() cache { return cache{used: map[uint64]time.Time{}} }

func (c *cache) touch(now time.Time, parts []request.Part) {
	for _, part := range parts {
		c.used[part.ID] = now
	}
	if len(c.used) > maxParts {
		for id, t := range c.used {
			if now.Sub(t) > cacheLifetime {
				delete(c.used, id)
			}
		}
	}
}

// uncached returns the tokens of the parts after the first that the server is not known to keep.
func (c *cache) uncached(now time.Time, parts []request.Part) int {
	n := 0
	missed := false
	for _, part := range parts {
		t, ok := c.used[part.ID]
		if missed || !ok || now.Sub(t) > cacheLifetime {
			missed = true
			n += part.Tokens
		}
	}
	return n
}

// Peer is what another host tells of its outstanding work.
type Peer struct {
	Host string
	At   time.Time
	Work map[string]Work
}

// Peer notes what another host tells.
func (p *Policy) Peer(now time.Time, peer Peer, hosts int) []dispatch.Effect {
	peer.At = now
	p.peers[peer.Host] = peer
	p.hosts = max(hosts, 1)
	return nil
}

// State returns this host's outstanding work by server.
func (p *Policy) State() map[string]Work {
	out := make(map[string]Work, len(p.servers))
	for id, s := range p.servers {
		if s.own != (Work{}) {
			out[id] = s.own
		}
	}
	return out
}
