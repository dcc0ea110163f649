package placement

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/pace"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/serverlimit"
	"shallotramp/internal/traffic/share"
	"shallotramp/internal/traffic/suspect"
)

// server is what this host knows about one incarnation of a backend server.
type server struct {
	info backend.Server
	// rank orders the servers of a service the same way on all hosts.
	rank uint64
	// forLongPrompts servers are preferred for long prompts, the others for short ones.
	forLongPrompts bool
	// localWork is this host's outstanding work on the server, peerWork that of all other hosts.
	localWork, peerWork Work
	cache               promptCache
	health
	reported   dispatch.Load
	reportedAt time.Time
	inFlight   map[request.ID]*entry
	// listedSince is when the host first saw the server in the list.
	listedSince time.Time
	// listVersion is the number of the last server list that contained the server.
	listVersion int
	// unavailable servers are no longer listed, are draining, have no valid address or are evacuated.
	unavailable bool
	// evacuated servers are in an availability zone whose servers get nothing, not even requests for cached tokens.
	evacuated bool
	// saysLeaving servers have said in an answer that they will stop. They stay so until they start again.
	saysLeaving bool
	// closedUntil is the time until which the server takes no requests of this host.
	closedUntil time.Time
	// addressTaken servers are still listed, but another server answers at their address.
	addressTaken bool
}

// UrgencyLevels is the number of urgency levels. If there are few enough tiers, each has two levels: requests that
// can no longer meet their goal come after those that can.
const UrgencyLevels = 10

// Work is outstanding work on a server.
type Work struct {
	// KVTokens counts the tokens reserved in the KV cache.
	KVTokens int
	// InFlight counts requests that were sent and have not ended, and PendingPrefill the uncached prompt
	// tokens of those without a first token, both by urgency level.
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

// ahead returns the requests that come before a new request of the level, and their tokens to prefill. Engines
// run more urgent requests first.
func (w *Work) ahead(level int) (inFlight, pendingPrefill int) {
	for i := range level + 1 {
		inFlight += w.InFlight[i]
		pendingPrefill += w.PendingPrefill[i]
	}
	return inFlight, pendingPrefill
}

// totalInFlight returns the number of requests of all levels.
func (w *Work) totalInFlight() int {
	n, _ := w.ahead(UrgencyLevels - 1)
	return n
}

func (w *Work) totalPendingPrefill() int {
	_, n := w.ahead(UrgencyLevels - 1)
	return n
}

// urgency returns the request's urgency level; 0 is the most urgent.
func (p *Policy) urgency(e *entry) int {
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
	return &server{info: info, rank: hashID(info.ID), inFlight: map[request.ID]*entry{}, cache: newPromptCache()}
}

// hashID returns the rank of a server, which is the same on all hosts.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // A hash's Write returns no error.
	return mix(h.Sum64(), 0)
}

// mix hashes a rank with a key, so that each key gives another order of the servers.
func mix(rank, key uint64) uint64 {
	v := rank ^ key*0x9e3779b97f4a7c15
	v ^= v >> 31
	v *= 0xbf58476d1ce4e5b9
	v ^= v >> 29
	return v
}

func (s *server) begin(now time.Time, e *entry) {
	s.localWork.KVTokens += e.kvTokens
	s.localWork.InFlight[e.urgency]++
	s.localWork.PendingPrefill[e.urgency] += e.uncached
	s.inFlight[e.req.ID] = e
	for _, part := range e.req.Parts {
		s.cache.touch(now, part.ID)
	}
	if len(e.req.Parts) > 0 {
		e.svc.parts.add(sharedPrefixID(e.req.Parts), s)
	}
}

func (s *server) recordFirstToken(now time.Time, e *entry) {
	s.localWork.PendingPrefill[e.urgency] -= e.uncached
	s.recordAnswer(now)
}

func (s *server) end(now time.Time, e *entry, o request.Outcome) {
	s.localWork.KVTokens -= e.kvTokens
	s.localWork.InFlight[e.urgency]--
	if !e.gotFirstToken {
		s.localWork.PendingPrefill[e.urgency] -= e.uncached
	}
	delete(s.inFlight, e.req.ID)
	s.recordOutcome(now, e, o)
}

// firstTokenDelay returns the longest time by which a first token is overdue.
func (s *server) firstTokenDelay(now time.Time) time.Duration {
	var out time.Duration
	for _, e := range s.inFlight {
		if !e.gotFirstToken {
			out = max(out, now.Sub(e.started)-e.expectedLatency)
		}
	}
	return out
}

// totalWork returns the outstanding work of all hosts.
func (s *server) totalWork() Work {
	w := s.localWork
	w.add(s.peerWork, 1)
	return w
}

// requestCount returns the number of requests on the server: those known to the hosts, or more if the server's
// recent load report says so.
func (s *server) requestCount(now time.Time) int {
	w := s.totalWork()
	n := w.totalInFlight()
	if now.Sub(s.reportedAt) < reportLifetime {
		n = max(n, s.reported.Running+s.reported.Waiting)
	}
	return n
}

// addPeerWork adds another host's outstanding work to the servers, n times; n may be negative.
func (p *Policy) addPeerWork(peer HostState, n int) {
	for id, w := range peer.Work {
		if s := p.servers[id]; s != nil {
			s.peerWork.add(w, n)
		}
	}
}

// promptCache records which prompt parts a server has used recently and so keeps in its KV cache.
type promptCache struct {
	lastUsed *simplelru.LRU[uint64, time.Time]
}

func newPromptCache() promptCache {
	l, err := simplelru.NewLRU[uint64, time.Time](maxParts, nil)
	if err != nil {
		panic(err) // The size is a constant above 0.
	}
	return promptCache{lastUsed: l}
}

func (c *promptCache) touch(now time.Time, id uint64) { c.lastUsed.Add(id, now) }

// uncachedTokens returns the number of tokens from the first uncached part to the end: only a prefix can be reused.
func (c *promptCache) uncachedTokens(now time.Time, parts []request.Part) int {
	n := 0
	for _, part := range parts {
		t, ok := c.lastUsed.Peek(part.ID)
		if n > 0 || !ok || now.Sub(t) > cacheLifetime {
			n += part.Tokens
		}
	}
	return n
}

// partIndex records the servers to which each shared part was sent last, newest first.
type partIndex struct {
	servers *simplelru.LRU[uint64, []*server]
}

func newPartIndex() partIndex {
	l, err := simplelru.NewLRU[uint64, []*server](maxParts, nil)
	if err != nil {
		panic(err) // The size is a constant above 0.
	}
	return partIndex{servers: l}
}

func (i *partIndex) add(id uint64, s *server) {
	old, _ := i.servers.Get(id)
	next := append(make([]*server, 0, maxServersPerPart), s)
	for _, o := range old {
		if o != s && len(next) < maxServersPerPart {
			next = append(next, o)
		}
	}
	i.servers.Add(id, next)
}

// lookup returns the servers to which the prompt's shared prefix was sent last.
func (i *partIndex) lookup(parts []request.Part) []*server {
	if len(parts) == 0 {
		return nil
	}
	l, _ := i.servers.Get(sharedPrefixID(parts))
	return l
}

// PartLocation says that a server was sent a prompt with a shared part.
type PartLocation struct {
	Server string
	Part   uint64
}

// recordPartLocations records for other hosts that s was sent the shared parts of a prompt. The last part is not
// shared.
func (p *Policy) recordPartLocations(s *server, parts []request.Part) {
	for i, part := range parts {
		if i == len(parts)-1 && i > 0 || part.Tokens < minSharedPartTokens {
			continue
		}
		p.partLocations = append(p.partLocations, PartLocation{s.info.ID, part.ID})
	}
	if len(p.partLocations) > maxPartLocations {
		p.partLocations = p.partLocations[len(p.partLocations)-maxPartLocations:]
	}
}

// HostState is what a host reports to the other hosts about its outstanding work.
type HostState struct {
	Host string
	At   time.Time
	// Lifetime is how long the state is used; a shorter one than the minimum is raised to it.
	Lifetime      time.Duration
	Work          map[string]Work
	PartLocations []PartLocation
	// ServerDemand is the number of fully busy servers that the host's requests need, by service.
	ServerDemand map[string]float64
	Zone         string
	// OrganisationDemands are the host's largest demands by organisation, while a service is busy. OverShare counts its
	// requests beyond the shares.
	OrganisationDemands []share.Demand
	OverShare           int
	// Crashes are recent crashes seen by the host itself.
	Crashes []Crash
	// PartCrashes and PartAnswers are crashes and answers by part of the prompt, those of other hosts included.
	PartCrashes []suspect.PartCrash
	PartAnswers []suspect.PartAnswer
	// Limits are the newest limits that servers have named, those that other hosts have reported included.
	Limits []serverlimit.Notice
	// ColdServers is the number of servers that are cold, and ZoneView that of hosts which divide their rate; 0 before this
	// host has used any of it. UsesTurns is set while it may use its part.
	ColdServers, ZoneView int
	UsesTurns             bool
	// Paces are the servers whose lasting pace differs from that of their service, those that other hosts have reported
	// included.
	Paces []pace.Notice
	// HeldParts are the parts because of which this host refuses requests.
	HeldParts []uint64
	// Overload reports the host's own decisions in overload, by service. It is not sent to other hosts.
	Overload map[string]OverloadReport
	// NewsAge is the age of the oldest state of another host in use. It is not sent to other hosts.
	NewsAge time.Duration
}

// UpdatePeer replaces the state of another host; hosts is the number of hosts.
func (p *Policy) UpdatePeer(now time.Time, peer HostState, hosts int) []dispatch.Effect {
	peer.At = now
	for _, location := range peer.PartLocations {
		if s := p.servers[location.Server]; s != nil {
			s.cache.touch(now, location.Part)
			p.service(s.info.Service).parts.add(location.Part, s)
		}
	}
	for _, c := range peer.Crashes {
		p.crashes.add(now, c)
	}
	p.parts.Merge(now, peer.PartCrashes, peer.PartAnswers)
	for _, n := range peer.Limits {
		p.noteLimit(now, n)
	}
	p.hearPaces(now, peer.Paces)
	p.shares.SetPeer(peer.Host, peer.OrganisationDemands)
	peer.PartLocations, peer.Crashes, peer.PartCrashes, peer.PartAnswers = nil, nil, nil, nil
	peer.Limits, peer.Paces, peer.OrganisationDemands = nil, nil, nil
	p.addPeerWork(p.peers[peer.Host], -1)
	p.addPeerWork(peer, 1)
	p.peers[peer.Host] = peer
	p.hostCount = max(hosts, 1)
	return nil
}

// State returns this host's outstanding work and the parts that were sent since the previous call.
func (p *Policy) State(now time.Time) HostState {
	out := HostState{At: now, Zone: p.zone, Work: make(map[string]Work, len(p.servers)), PartLocations: p.partLocations, ServerDemand: map[string]float64{}, Crashes: p.crashes.recentLocal(), HeldParts: p.parts.HeldParts(), Overload: p.overloadReports(), NewsAge: p.maxPeerStateAge(now)}
	out.PartCrashes, out.PartAnswers = p.parts.Shared(now)
	out.Limits = p.serverLimits.Notices(now)
	out.OrganisationDemands, out.OverShare = p.shares.Shared(now, p.serviceLoads()), p.overShareCount
	out.ColdServers, out.ZoneView = p.coldServers(now), p.ZoneView()
	out.UsesTurns = p.cold != nil && p.cold.UsesTurns(now)
	out.Paces = p.paceNotices()
	for id, s := range p.servers {
		if s.localWork != (Work{}) {
			out.Work[id] = s.localWork
		}
	}
	for name, s := range p.services {
		if s.engine != nil {
			out.ServerDemand[name] = p.localDemand(now, s)
		}
	}
	p.partLocations = nil
	return out
}

// ZoneState returns the outstanding work of all hosts of the own availability zone as one state.
func (p *Policy) ZoneState(now time.Time) HostState {
	out := HostState{At: now, Zone: p.zone, Work: make(map[string]Work, len(p.servers)), ServerDemand: map[string]float64{}}
	add := func(id string, w Work) {
		sum := out.Work[id]
		sum.add(w, 1)
		out.Work[id] = sum
	}
	for id, s := range p.servers {
		if s.localWork != (Work{}) {
			add(id, s.localWork)
		}
	}
	for name, s := range p.services {
		if s.engine != nil {
			out.ServerDemand[name] = p.localDemand(now, s)
		}
	}
	for _, peer := range p.peers {
		if peer.Zone != p.zone {
			continue
		}
		for id, w := range peer.Work {
			add(id, w)
		}
		for name, v := range peer.ServerDemand {
			out.ServerDemand[name] += v
		}
	}
	return out
}

// maxPeerStateAge returns the age of the oldest state of another host that is in use.
func (p *Policy) maxPeerStateAge(now time.Time) time.Duration {
	var age time.Duration
	for _, peer := range p.peers {
		age = max(age, now.Sub(peer.At))
	}
	return age
}

// DemandByZone returns the number of fully busy servers that a service's requests need, by availability zone.
func (p *Policy) DemandByZone(now time.Time, service string) map[string]float64 {
	out := map[string]float64{}
	if s := p.services[service]; s != nil {
		out[p.zone] = p.localDemand(now, s)
	}
	for _, peer := range p.peers {
		out[peer.Zone] += peer.ServerDemand[service]
	}
	return out
}

// localDemand returns the number of fully busy servers that this host's requests need: the prefill time of their
// prompts per second plus the share of slots that they occupy.
func (p *Policy) localDemand(now time.Time, s *service) float64 {
	inFlight, slots := 0, 1
	for _, x := range s.servers {
		inFlight += x.localWork.totalInFlight()
		slots = max(slots, x.info.Slots)
	}
	return s.prefillLoad.valueAt(now) + float64(inFlight)/float64(slots)
}

// decayedRate is an exponentially weighted rate of work, in seconds of work per second.
type decayedRate struct {
	stored  float64
	updated time.Time
}

func (m *decayedRate) add(now time.Time, work time.Duration) {
	m.stored = m.valueAt(now) + work.Seconds()/demandTimeConstant.Seconds()
	m.updated = now
}

func (m *decayedRate) valueAt(now time.Time) float64 {
	if m.stored == 0 {
		return 0
	}
	return m.stored * math.Exp(-now.Sub(m.updated).Seconds()/demandTimeConstant.Seconds())
}
