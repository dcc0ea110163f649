// Package loadpoller polls the metrics and the loaded models of backend servers and
// passes them to the policy that selects servers for requests.
package loadpoller

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/provider/transport"
	"shallotramp/internal/traffic/dispatch"
)

const (
	// DefaultInterval is the mean time between two polls of a server.
	DefaultInterval = time.Second
	// jitterFraction is the maximum random deviation from an interval, as a fraction of it. It keeps the polls of
	// hosts and servers from synchronising.
	jitterFraction = 0.2
	// modelsInterval is how often the list of loaded models is read.
	modelsInterval = 5 * time.Second
	// DefaultTimeout limits the duration of one poll.
	DefaultTimeout = time.Second
	// maxConcurrentPolls limits concurrent polls; further servers wait until the next scheduleInterval.
	maxConcurrentPolls = 32
	// goneThreshold is the number of consecutive failed polls after which a server counts as gone.
	goneThreshold = 3
	// scheduleInterval is how often the poller starts the polls that are due.
	scheduleInterval = 50 * time.Millisecond
)

// Sink receives the results of polls. [dispatch.Loop] implements it.
type Sink interface {
	Report(l dispatch.Load)
	Server(s dispatch.ServerState)
}

// Poller polls the load of backend servers.
type Poller struct {
	zone     string
	holder   *release.Holder
	sink     Sink
	client   *http.Client
	interval time.Duration
	timeout  time.Duration
	rng      *rand.Rand
	log      zerolog.Logger
	// assigned reports which servers this host polls; nil selects those of its own zone.
	assigned      atomic.Pointer[func(server string) bool]
	forwardReport func(l dispatch.Load)

	release      uint64
	servers      map[string]*server
	results      chan result
	pollsRunning int
	// followersRunning counts the running goroutines of cacheFollowers; each sends its server to endedFollowers when it
	// ends.
	followersRunning int
	endedFollowers   chan *server
}

// server is the state of a polled backend server.
type server struct {
	spec     *object.BackendServerSpec
	protocol object.Protocol
	nextPoll time.Time
	// polling is true while a poll of the server is running.
	polling bool
	// failures counts consecutive failed polls.
	failures     int
	leaving      bool
	models       []string
	modelsReadAt time.Time
	// stopFollower stops the server's cacheFollower; nil if none is running.
	stopFollower context.CancelFunc
}

// result is the result of one poll.
type result struct {
	server *server
	load   dispatch.Load
	// hasModels is true if the poll read the list of models.
	hasModels bool
	// loadUnknown is true if the server responded without reporting its load.
	loadUnknown bool
	at          time.Time
	err         error
}

// Option configures a [Poller].
type Option func(*Poller)

// WithInterval sets the mean time between two polls of a server.
func WithInterval(d time.Duration) Option { return func(p *Poller) { p.interval = d } }

// WithTimeout sets the timeout of one poll.
func WithTimeout(d time.Duration) Option { return func(p *Poller) { p.timeout = d } }

// WithLog sets the logger for servers that stop responding, recover or announce that they leave.
func WithLog(log zerolog.Logger) Option { return func(p *Poller) { p.log = log } }

// WithTransport sets the transport for requests to servers.
func WithTransport(t http.RoundTripper) Option { return func(p *Poller) { p.client.Transport = t } }

// WithSeed sets the seed of the jitter.
func WithSeed(seed uint64) Option {
	return func(p *Poller) { p.rng = rand.New(rand.NewPCG(seed, 0x6c6f6164)) }
}

// WithReportForwarder sets a function that receives each load report read by this host, to pass it on to other hosts.
func WithReportForwarder(f func(l dispatch.Load)) Option {
	return func(p *Poller) { p.forwardReport = f }
}

// New returns a Poller for a host in zone. It polls the servers of the current release that are in the same zone,
// unless [Poller.SetAssigned] selects others.
func New(zone string, holder *release.Holder, sink Sink, opts ...Option) *Poller {
	p := &Poller{
		zone: zone, holder: holder, sink: sink, interval: DefaultInterval, timeout: DefaultTimeout,
		log: zerolog.Nop(), forwardReport: func(dispatch.Load) {},
		servers: map[string]*server{}, results: make(chan result, maxConcurrentPolls), endedFollowers: make(chan *server),
		// The transport uses no proxy, because requests must go to the address in the release.
		client: &http.Client{
			Transport: transport.Checked{Transport: &http.Transport{
				DialContext: transport.Dial(&net.Dialer{}), MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute,
			}},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	WithSeed(rand.Uint64())(p)
	for _, o := range opts {
		o(p)
	}
	return p
}

// SetAssigned sets the function that reports whether this host polls a server. It may be called at any time. The hosts
// of a zone divide its servers among themselves and receive the reports of the other servers from each other.
func (p *Poller) SetAssigned(f func(server string) bool) { p.assigned.Store(&f) }

// Run polls until ctx ends, waits for running polls and cacheFollowers and then sends nil on done.
func (p *Poller) Run(ctx context.Context, done chan<- error) {
	t := time.NewTicker(scheduleInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			p.updateServers(now)
			p.startPolls(ctx, now)
		case r := <-p.results:
			p.pollsRunning--
			p.handleResult(ctx, r)
		case v := <-p.endedFollowers:
			p.followersRunning--
			v.stopFollower()
			v.stopFollower = nil
		case <-ctx.Done():
			for ; p.pollsRunning > 0; p.pollsRunning-- {
				<-p.results
			}
			for ; p.followersRunning > 0; p.followersRunning-- {
				<-p.endedFollowers
			}
			p.client.CloseIdleConnections()
			done <- nil
			return
		}
	}
}

// updateServers applies the servers of a new release. The first polls of new servers are spread over one interval.
func (p *Poller) updateServers(now time.Time) {
	s := p.holder.Current()
	if s == nil || s.Number == p.release {
		return
	}
	p.release = s.Number
	old := p.servers
	p.servers = make(map[string]*server, len(s.Set.BackendServers))
	// Sorted by name, so that a seed always gives the same jitter.
	for _, name := range slices.Sorted(maps.Keys(s.Set.BackendServers)) {
		spec := s.Set.BackendServers[name]
		pool, ok := s.Set.Pools[spec.Pool]
		if !ok {
			continue
		}
		v, ok := old[name]
		if !ok || v.spec.Address != spec.Address {
			v = &server{nextPoll: now.Add(time.Duration(p.rng.Float64() * float64(p.interval)))}
		}
		v.spec, v.protocol = spec, pool.Protocol
		p.servers[name] = v
	}
	for name, v := range old {
		if p.servers[name] != v && v.stopFollower != nil {
			v.stopFollower()
		}
	}
}

// isAssigned reports whether this host polls v.
func (p *Poller) isAssigned(v *server) bool {
	if f := p.assigned.Load(); f != nil {
		return (*f)(v.spec.Name)
	}
	return v.spec.Zone == p.zone
}

// startPolls starts the polls that are due, in the order of their due times.
func (p *Poller) startPolls(ctx context.Context, now time.Time) {
	var due []*server
	for _, v := range p.servers {
		if !v.polling && !now.Before(v.nextPoll) && p.isAssigned(v) {
			due = append(due, v)
		}
	}
	slices.SortFunc(due, func(a, b *server) int {
		return cmp.Or(a.nextPoll.Compare(b.nextPoll), cmp.Compare(a.spec.Name, b.spec.Name))
	})
	for _, v := range due[:min(len(due), maxConcurrentPolls-p.pollsRunning)] {
		v.polling = true
		v.nextPoll = now.Add(time.Duration(float64(p.interval) * (1 - jitterFraction + 2*jitterFraction*p.rng.Float64())))
		p.pollsRunning++
		withModels := v.protocol == object.Engine && now.Sub(v.modelsReadAt) >= modelsInterval
		go p.poll(ctx, v, v.spec.Address.String(), withModels)
	}
}

// handleResult passes the result of a poll to the sink. It ignores servers that a newer release removed or moved.
func (p *Poller) handleResult(ctx context.Context, r result) {
	v := r.server
	v.polling = false
	if p.servers[v.spec.Name] != v {
		return
	}
	if r.err != nil {
		p.handleFailure(v, r.err)
		return
	}
	if v.failures >= goneThreshold {
		p.log.Info().Str("Server", v.spec.Name).Msg("backend server responds again")
	}
	v.failures = 0
	if r.loadUnknown {
		return
	}
	if r.hasModels {
		v.models, v.modelsReadAt = r.load.Loaded, r.at
	}
	r.load.Server, r.load.Loaded = v.spec.Name, v.models
	if r.load.Leaving && !v.leaving {
		p.log.Info().Str("Server", v.spec.Name).Msg("backend server announces that it is leaving; it receives no new requests")
	}
	v.leaving = r.load.Leaving
	p.sink.Report(r.load)
	p.forwardReport(r.load)
	p.updateFollower(ctx, v, r.load.CacheSequence)
}

// handleFailure counts failed polls and reports the server as gone at goneThreshold. The sink considers the server
// present again with its next load report.
func (p *Poller) handleFailure(v *server, err error) {
	v.failures++
	if v.failures != goneThreshold {
		return
	}
	p.log.Warn().Err(err).Str("Server", v.spec.Name).Msg("backend server does not respond; it receives no requests until it does")
	p.sink.Server(dispatch.ServerState{Server: v.spec.Name, Zone: v.spec.Zone, Leaving: v.leaving, Gone: true})
}
