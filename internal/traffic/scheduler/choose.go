package scheduler

import (
	"math/rand/v2"
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/queue"
	"shallotramp/internal/traffic/request"
)

// Chooser picks the backend server of a request and knows which have room.
type Chooser interface {
	Configure(now time.Time, s *release.Snapshot)
	// Choose picks a server; ok is false when none has room now.
	Choose(now time.Time, r *request.Request, exclude []string) (server, why string, ok bool)
	// Room reports whether a server of the pool may have room for work of a rank. Rank 1 is the
	// first of the tiers that the pool serves.
	Room(now time.Time, pool string, rank int) bool
	Started(now time.Time, r *request.Request, server string)
	Progress(now time.Time, id request.ID, tokens int)
	Finished(now time.Time, r *request.Request, res request.Result)
	Report(now time.Time, l dispatch.Load)
	Server(now time.Time, s dispatch.ServerState)
	Peer(now time.Time, h dispatch.HostState)
	// Outstanding counts the host's own running requests by server.
	Outstanding() map[string]int
	// Usable counts the servers of a pool that take work.
	Usable(pool string) int
}

const (
	// suspension is how long a server that could not be reached gets no work.
	suspension = 2 * time.Second
	// paceMemory is the weight of the newest pace of a server in its average.
	paceMemory = 0.2
)

// leastOutstanding sends work to the server with the least outstanding work for its pace.
type leastOutstanding struct {
	pools   map[string]*serverPool
	servers map[string]*server
	peers   map[string]map[string]int
	runs    map[request.ID]*run
	rnd     *rand.Rand
}

type serverPool struct {
	concurrency, overcommit int
	heap                    queue.Heap[*server]
	usual                   float64
}

type server struct {
	name        string
	pool        *serverPool
	own, others int
	unusable    bool
	until       time.Time
	// interval is the average time between tokens, in seconds.
	interval float64
	place    int
	// bias tells servers of equal load apart, differently on each host.
	bias float64
}

type run struct {
	server *server
	last   time.Time
}

func newLeastOutstanding(seed uint64) *leastOutstanding {
	return &leastOutstanding{
		pools: map[string]*serverPool{}, servers: map[string]*server{},
		peers: map[string]map[string]int{}, runs: map[request.ID]*run{},
		rnd: rand.New(rand.NewPCG(seed, 1)),
	}
}

func (s *server) load() float64 {
	n := float64(s.own+s.others) + envf("BIAS", 4)*s.bias
	if s.unusable {
		return n + 1e9
	}
	if s.pool.usual > 0 && s.interval > 0 {
		return (n + 1) * max(0.5, s.interval/s.pool.usual)
	}
	return n + 1
}

func (s *server) moved() { s.pool.heap.Fix(s.place) }

func newServerPool(concurrency int) *serverPool {
	return &serverPool{
		concurrency: concurrency,
		overcommit:  int(envf("OVER", 0.25) * float64(concurrency)),
		heap: queue.NewHeap(func(a, b *server) bool {
			if a.load() != b.load() {
				return a.load() < b.load()
			}
			return a.name < b.name
		}, func(s *server, i int) { s.place = i }),
	}
}

func (c *leastOutstanding) Configure(_ time.Time, s *release.Snapshot) {
	old := c.servers
	c.pools, c.servers = map[string]*serverPool{}, map[string]*server{}
	for name, spec := range s.Set.Pools {
		p := newServerPool(spec.Concurrency)
		c.pools[name] = p
		for _, b := range s.Servers(name) {
			v, ok := old[b.Name]
			if !ok {
				v = &server{name: b.Name, bias: c.rnd.Float64()}
			}
			v.pool = p
			c.servers[b.Name] = v
			p.heap.Push(v)
		}
	}
}

func (c *leastOutstanding) capacity(p *serverPool, rank int) int {
	if rank == 1 {
		return p.concurrency + p.overcommit
	}
	return p.concurrency
}

func (c *leastOutstanding) Room(_ time.Time, pool string, rank int) bool {
	p, ok := c.pools[pool]
	if !ok || p.heap.Len() == 0 {
		return false
	}
	for i := range min(3, p.heap.Len()) {
		if s := p.heap.At(i); !s.unusable && s.own+s.others < c.capacity(p, rank) {
			return true
		}
	}
	return false
}

func (c *leastOutstanding) Choose(_ time.Time, r *request.Request, exclude []string) (name, why string, ok bool) {
	p, found := c.pools[r.Pool]
	if !found {
		return "", "", false
	}
	var aside []*server
	for p.heap.Len() > 0 && !ok {
		s := p.heap.Peek()
		if s.unusable {
			break
		}
		if contains(exclude, s.name) || s.own+s.others >= p.concurrency+p.overcommit {
			aside = append(aside, p.heap.Pop())
			continue
		}
		name, why, ok = s.name, "least outstanding work for its pace", true
	}
	for _, s := range aside {
		p.heap.Push(s)
	}
	return name, why, ok
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

func (c *leastOutstanding) Started(now time.Time, r *request.Request, name string) {
	if s, ok := c.servers[name]; ok {
		s.own++
		c.runs[r.ID] = &run{server: s, last: now}
		s.moved()
	}
}

func (c *leastOutstanding) Progress(now time.Time, id request.ID, tokens int) {
	r, ok := c.runs[id]
	if !ok || tokens == 0 {
		return
	}
	s, per := r.server, now.Sub(r.last).Seconds()/float64(tokens)
	r.last = now
	if s.interval == 0 {
		s.interval = per
	}
	s.interval += paceMemory * (per - s.interval)
	if s.pool.usual == 0 {
		s.pool.usual = per
	}
	s.pool.usual += paceMemory / 10 * (min(per, 2*s.pool.usual) - s.pool.usual)
	s.moved()
}

func (c *leastOutstanding) Finished(now time.Time, r *request.Request, res request.Result) {
	delete(c.runs, r.ID)
	s, ok := c.servers[res.Server]
	if !ok {
		return
	}
	s.own--
	if res.Outcome == request.Unreachable || res.Outcome == request.Broken {
		s.unusable, s.until = true, now.Add(suspension)
	}
	s.moved()
}

func (c *leastOutstanding) Report(time.Time, dispatch.Load) {}

func (c *leastOutstanding) Server(_ time.Time, st dispatch.ServerState) {
	if s, ok := c.servers[st.Server]; ok {
		s.unusable, s.until = st.Leaving || st.Gone, time.Time{}
		s.moved()
	}
}

func (c *leastOutstanding) Peer(now time.Time, h dispatch.HostState) {
	for name, n := range c.peers[h.Host] {
		c.add(name, -n)
	}
	c.peers[h.Host] = h.Outstanding
	for name, n := range h.Outstanding {
		c.add(name, n)
	}
	c.readmit(now)
}

// readmit takes servers back whose suspension is over.
func (c *leastOutstanding) readmit(now time.Time) {
	for _, s := range c.servers {
		if s.unusable && !s.until.IsZero() && !now.Before(s.until) {
			s.unusable = false
			s.moved()
		}
	}
}

func (c *leastOutstanding) add(name string, n int) {
	if s, ok := c.servers[name]; ok {
		s.others += n
		s.moved()
	}
}

func (c *leastOutstanding) Outstanding() map[string]int {
	out := map[string]int{}
	for name, s := range c.servers {
		if s.own > 0 {
			out[name] = s.own
		}
	}
	return out
}

func (c *leastOutstanding) Usable(pool string) int {
	p, ok := c.pools[pool]
	if !ok {
		return 0
	}
	n := 0
	for i := range p.heap.Len() {
		if !p.heap.At(i).unusable {
			n++
		}
	}
	return n
}
