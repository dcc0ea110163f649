// Package load reads what backend servers publish of themselves, their metrics
// and the models they have loaded, and posts it to the decisions.
package load

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
)

const (
	// DefaultInterval is the mean time between two polls of a server.
	DefaultInterval = time.Second
	// jitter is the share by which an interval varies, so that hosts and servers do not fall into step.
	jitter = 0.2
	// modelsInterval is how often the list of loaded models is read.
	modelsInterval = 5 * time.Second
	// DefaultTimeout bounds one poll.
	DefaultTimeout = time.Second
	// maxPolls bounds polls at once; further servers wait for the next step.
	maxPolls = 32
	// goneFailures in a row declare a server gone.
	goneFailures = 3
	// step is how often servers that are due are looked for.
	step = 50 * time.Millisecond
)

// Sink takes what was read. [dispatch.Loop] is one.
type Sink interface {
	Report(l dispatch.Load)
	Server(s dispatch.ServerState)
}

// Poller polls backend servers.
type Poller struct {
	zone     string
	holder   *release.Holder
	sink     Sink
	client   *http.Client
	interval time.Duration
	timeout  time.Duration
	rng      *rand.Rand
	log      zerolog.Logger
	share    atomic.Pointer[func(server string) bool]
	carry    func(l dispatch.Load)

	release uint64
	servers map[string]*server
	results chan result
	polls   int
	// readers counts the goroutines that follow servers' caches, ended tells of their ends.
	readers int
	ended   chan *server
}

// server is what the poller knows of a backend server.
type server struct {
	spec     *object.BackendServerSpec
	protocol object.Protocol
	due      time.Time
	busy     bool
	failures int
	leaving  bool
	models   []string
	modelsAt time.Time
	// unfollow ends the reader of the server's cache; nil for none.
	unfollow context.CancelFunc
}

// result is the end of one poll.
type result struct {
	server *server
	load   dispatch.Load
	// listed tells that the poll read the list of models.
	listed bool
	// untold results show that the server lives, and nothing of its load.
	untold bool
	at     time.Time
	err    error
}

// Option changes a [Poller].
type Option func(*Poller)

// WithInterval sets the mean time between two polls of a server.
func WithInterval(d time.Duration) Option { return func(p *Poller) { p.interval = d } }

// WithTimeout bounds one poll.
func WithTimeout(d time.Duration) Option { return func(p *Poller) { p.timeout = d } }

// WithLog sets where changes in servers' lives are logged.
func WithLog(log zerolog.Logger) Option { return func(p *Poller) { p.log = log } }

// WithTransport sets how servers are reached.
func WithTransport(t http.RoundTripper) Option { return func(p *Poller) { p.client.Transport = t } }

// WithSeed sets the seed of the jitter.
func WithSeed(seed uint64) Option {
	return func(p *Poller) { p.rng = rand.New(rand.NewPCG(seed, 0x6c6f6164)) }
}

// WithReportForwarder calls f with each report that this host read, to be passed on to other hosts.
func WithReportForwarder(f func(l dispatch.Load)) Option { return func(p *Poller) { p.carry = f } }

// New returns a Poller for a host in zone that polls the servers of the release in force. It polls
// those of its own zone until [Poller.SetAssigned] says otherwise.
func New(zone string, holder *release.Holder, sink Sink, opts ...Option) *Poller {
	p := &Poller{
		zone: zone, holder: holder, sink: sink, interval: DefaultInterval, timeout: DefaultTimeout,
		log: zerolog.Nop(), carry: func(dispatch.Load) {},
		servers: map[string]*server{}, results: make(chan result, maxPolls), ended: make(chan *server),
		// The transport has no proxy: a server's address is that of the release.
		client: &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	WithSeed(rand.Uint64())(p)
	for _, o := range opts {
		o(p)
	}
	return p
}

// SetAssigned sets which servers this host polls. It may be called at any time. The hosts of a zone
// share its servers out; the reports of the others come from them.
func (p *Poller) SetAssigned(f func(server string) bool) { p.share.Store(&f) }

// Run polls until ctx ends and then reports on done.
func (p *Poller) Run(ctx context.Context, done chan<- error) {
	t := time.NewTicker(step)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			p.configure(now)
			p.start(ctx, now)
		case r := <-p.results:
			p.polls--
			p.finish(ctx, r)
		case v := <-p.ended:
			p.readers--
			v.unfollow()
			v.unfollow = nil
		case <-ctx.Done():
			for ; p.polls > 0; p.polls-- {
				<-p.results
			}
			for ; p.readers > 0; p.readers-- {
				<-p.ended
			}
			p.client.CloseIdleConnections()
			done <- nil
			return
		}
	}
}

// configure takes over the servers of a new release. First polls are spread over one interval.
func (p *Poller) configure(now time.Time) {
	s := p.holder.Current()
	if s == nil || s.Number == p.release {
		return
	}
	p.release = s.Number
	old := p.servers
	p.servers = make(map[string]*server, len(s.Set.BackendServers))
	// In order of name, for the seed to give the same jitter each time.
	for _, name := range slices.Sorted(maps.Keys(s.Set.BackendServers)) {
		spec := s.Set.BackendServers[name]
		pool, ok := s.Set.Pools[spec.Pool]
		if !ok {
			continue
		}
		v, ok := old[name]
		if !ok || v.spec.Address != spec.Address {
			v = &server{due: now.Add(time.Duration(p.rng.Float64() * float64(p.interval)))}
		}
		v.spec, v.protocol = spec, pool.Protocol
		p.servers[name] = v
	}
	for name, v := range old {
		if p.servers[name] != v && v.unfollow != nil {
			v.unfollow()
		}
	}
}

func (p *Poller) mine(v *server) bool {
	if f := p.share.Load(); f != nil {
		return (*f)(v.spec.Name)
	}
	return v.spec.Zone == p.zone
}

// start polls servers that are due, those that are due longest first.
func (p *Poller) start(ctx context.Context, now time.Time) {
	var due []*server
	for _, v := range p.servers {
		if !v.busy && !now.Before(v.due) && p.mine(v) {
			due = append(due, v)
		}
	}
	slices.SortFunc(due, func(a, b *server) int {
		return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.spec.Name, b.spec.Name))
	})
	for _, v := range due[:min(len(due), maxPolls-p.polls)] {
		v.busy = true
		v.due = now.Add(time.Duration(float64(p.interval) * (1 - jitter + 2*jitter*p.rng.Float64())))
		p.polls++
		list := v.protocol == object.Engine && now.Sub(v.modelsAt) >= modelsInterval
		go p.poll(ctx, v, v.spec.Address.String(), list)
	}
}

// finish posts the result of a poll.
func (p *Poller) finish(ctx context.Context, r result) {
	v := r.server
	v.busy = false
	if p.servers[v.spec.Name] != v {
		return
	}
	if r.err != nil {
		p.fail(v, r.err)
		return
	}
	if v.failures >= goneFailures {
		p.log.Info().Str("Server", v.spec.Name).Msg("backend server answers again")
	}
	v.failures = 0
	if r.untold {
		return
	}
	if r.listed {
		v.models, v.modelsAt = r.load.Loaded, r.at
	}
	r.load.Server, r.load.Loaded = v.spec.Name, v.models
	if r.load.Leaving && !v.leaving {
		p.log.Info().Str("Server", v.spec.Name).Msg("backend server announces that it leaves; it gets no new work")
	}
	v.leaving = r.load.Leaving
	p.sink.Report(r.load)
	p.carry(r.load)
	p.follow(ctx, v, r.load.CacheSequence)
}

// fail counts failed polls. A server that is gone returns with its next report.
func (p *Poller) fail(v *server, err error) {
	v.failures++
	if v.failures != goneFailures {
		return
	}
	p.log.Warn().Err(err).Str("Server", v.spec.Name).Msg("backend server does not answer; it gets no work until it does")
	p.sink.Server(dispatch.ServerState{Server: v.spec.Name, Zone: v.spec.Zone, Leaving: v.leaving, Gone: true})
}
