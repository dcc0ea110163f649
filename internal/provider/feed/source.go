package feed

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/provider/reflector"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/provider/transport"
)

const (
	// listTimeout is the timeout of a list from a neighbour. A request for changes times out waitMargin after its wait.
	listTimeout = 500 * time.Millisecond
	waitMargin  = 400 * time.Millisecond
	// maxPageBytes bounds a page of a neighbour, and maxHeaderBytes its header.
	maxPageBytes   = 32 << 20
	maxHeaderBytes = 16 << 10
	// failureBackoff is how long a neighbour receives no requests after a failed one.
	failureBackoff = 3 * time.Second
	// maxNotReadyLists is the number of lists requested from neighbours that have none yet before the store is asked.
	// When all hosts start together, each would otherwise list all objects from the store.
	maxNotReadyLists = 3
)

// Source reads objects from neighbours, which are hosts that read them from the store, or from the store itself. It
// implements [reflector.Source]. Its methods are safe for concurrent use.
type Source struct {
	store reflector.Source
	// neighbours returns the hosts to ask, in this order. It returns none if this host must read from the store itself.
	neighbours func() []netip.AddrPort
	// others returns further hosts to ask, in this order, while the store does not answer this host.
	others func() []netip.AddrPort
	// maxHostWait is the longest time that a request to another host waits for changes; 0 for that of the caller.
	maxHostWait time.Duration
	// onFailure is called when a request to a neighbour fails.
	onFailure func(n netip.AddrPort, err error)
	http      *http.Client

	mu       sync.Mutex
	failedAt map[netip.AddrPort]time.Time
	// storeFailedAt is when a call to the store failed, or zero if a later one succeeded.
	storeFailedAt time.Time
	// notReadyLists counts the lists that were requested while the neighbours had none yet.
	notReadyLists int
	// stale is set while the neighbours' copies are known to be behind the store.
	stale bool
	// direct is set if the last response came from the store itself.
	direct bool
}

var _ reflector.Source = (*Source)(nil)

// Option configures a [Source].
type Option func(*Source)

// WithOthers makes the source read from the hosts that others returns while the store does not answer.
func WithOthers(others func() []netip.AddrPort) Option { return func(s *Source) { s.others = others } }

// WithMaxHostWait limits the time that a request to another host waits for changes, so that one that has fallen silent is
// noticed in that time.
func WithMaxHostWait(wait time.Duration) Option { return func(s *Source) { s.maxHostWait = wait } }

// NewSource returns a Source that reads from the hosts that neighbours returns, or from st. It calls onFailure when a
// request to a neighbour fails.
func NewSource(st reflector.Source, neighbours func() []netip.AddrPort, onFailure func(n netip.AddrPort, err error), opts ...Option) *Source {
	s := &Source{
		store: st, neighbours: neighbours, onFailure: onFailure, failedAt: map[netip.AddrPort]time.Time{},
		others: func() []netip.AddrPort { return nil },
		http: &http.Client{Transport: transport.Transport{Transport: &http.Transport{
			DialContext:            transport.Dial(&net.Dialer{Timeout: listTimeout / 2}),
			MaxIdleConnsPerHost:    2,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}}},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Direct reports whether the last response came from the store itself.
func (s *Source) Direct() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.direct
}

// MarkStale makes the next calls read from the store itself until it has returned a list or a change. Call it when the
// store has a change that the neighbours have not reported.
func (s *Source) MarkStale() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = true
}

// List implements [reflector.Source].
func (s *Source) List(ctx context.Context, kind string) ([]store.Object, string, error) {
	if !s.isStale() {
		p, err := s.askNeighbours(ctx, listTimeout, kind, nil)
		if err == nil {
			return p.Objects, p.Version, nil
		}
		if s.shouldRetryNeighbours(err) {
			return nil, "", err
		}
	}
	if s.storeRecentlyFailed() {
		if p, err := s.ask(ctx, s.others(), listTimeout, kind, nil); err == nil {
			return p.Objects, p.Version, nil
		}
	}
	s.setDirect(true)
	objects, version, err := s.store.List(ctx, kind)
	s.recordStoreCall(ctx, err)
	if err != nil {
		if p, otherErr := s.ask(ctx, s.others(), listTimeout, kind, nil); otherErr == nil {
			return p.Objects, p.Version, nil
		}
		s.setDirect(true)
		return nil, "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = false
	return objects, version, nil
}

func (s *Source) storeRecentlyFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.storeFailedAt) < failureBackoff
}

// recordStoreCall records whether the store answered. A call that the caller ended says nothing, and neither does one
// for changes that the store no longer has.
func (s *Source) recordStoreCall(ctx context.Context, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil, store.Failed(err, store.Expired):
		s.storeFailedAt = time.Time{}
	case ctx.Err() == nil:
		s.storeFailedAt = time.Now()
	}
}

// shouldRetryNeighbours reports whether to request the list from the neighbours again, as they may have one soon. The
// parameter err is the error of the last request.
func (s *Source) shouldRetryNeighbours(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !errors.Is(err, errNotReady) || s.notReadyLists >= maxNotReadyLists {
		s.notReadyLists = 0
		return false
	}
	s.notReadyLists++
	return true
}

func (s *Source) isStale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stale
}

// Changes implements [reflector.Source].
func (s *Source) Changes(ctx context.Context, kind, version string, wait time.Duration) ([]store.Event, string, error) {
	hostWait := wait
	if s.maxHostWait > 0 {
		hostWait = min(wait, s.maxHostWait)
	}
	query := url.Values{"After": {version}, "Wait": {hostWait.String()}}
	if !s.isStale() {
		p, err := s.askNeighbours(ctx, hostWait+waitMargin, kind, query)
		if err == nil || store.Failed(err, store.Expired) {
			return p.Events, p.Version, err
		}
	}
	if s.storeRecentlyFailed() {
		p, err := s.ask(ctx, s.others(), hostWait+waitMargin, kind, query)
		if err == nil || store.Failed(err, store.Expired) {
			return p.Events, p.Version, err
		}
	}
	return s.changesFromStore(ctx, kind, version, wait)
}

// changesFromStore reads the changes from the store itself. Once the store has returned a change, the neighbours are no
// longer considered stale.
func (s *Source) changesFromStore(ctx context.Context, kind, version string, wait time.Duration) ([]store.Event, string, error) {
	s.setDirect(true)
	events, at, err := s.store.Changes(ctx, kind, version, wait)
	s.recordStoreCall(ctx, err)
	if err == nil && len(events) > 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stale = false
	}
	return events, at, err
}

func (s *Source) askNeighbours(ctx context.Context, timeout time.Duration, kind string, query url.Values) (Page, error) {
	return s.ask(ctx, s.neighbours(), timeout, kind, query)
}

// ask returns the response of the first of the hosts that has objects and has not failed recently.
func (s *Source) ask(ctx context.Context, hosts []netip.AddrPort, timeout time.Duration, kind string, query url.Values) (Page, error) {
	reason := errNoNeighbour
	for _, n := range hosts {
		if s.recentlyFailed(n) {
			continue
		}
		p, err := s.fetch(ctx, timeout, n, kind, query)
		if errors.Is(err, errNotReady) {
			reason = errNotReady
			continue
		}
		if err != nil && ctx.Err() == nil && !store.Failed(err, store.Expired) {
			s.onFailure(n, err)
			s.recordFailure(n)
			continue
		}
		s.setDirect(false)
		return p, err
	}
	s.setDirect(true)
	return Page{}, reason
}

var (
	errNoNeighbour = errors.New("no neighbour could serve the objects; read them from the store")
	errNotReady    = errors.New("the neighbours have not listed the objects yet; retry, then read them from the store")
)

func (s *Source) setDirect(direct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.direct = direct
}

func (s *Source) recentlyFailed(n netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.failedAt[n]) < failureBackoff
}

func (s *Source) recordFailure(n netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, t := range s.failedAt {
		if time.Since(t) > failureBackoff {
			delete(s.failedAt, a)
		}
	}
	s.failedAt[n] = time.Now()
}

func (s *Source) fetch(ctx context.Context, timeout time.Duration, n netip.AddrPort, kind string, query url.Values) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: n.String(), Path: PathPrefix + kind, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Page{}, err
	}
	res, err := s.http.Do(req)
	if err != nil {
		return Page{}, err
	}
	defer func() { _ = res.Body.Close() }() // The body has been read completely, or the call has failed already.
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return Page{}, &store.Error{Reason: store.Expired, Kind: kind}
	case http.StatusTooEarly:
		return Page{}, errNotReady
	default:
		return Page{}, &store.Error{Reason: store.Unavailable, Kind: kind, Cause: errors.Newf("neighbour %s responded with status %d", n, res.StatusCode)}
	}
	var p Page
	// The limit applies to the decompressed page: a small response can grow without end.
	return p, json.NewDecoder(io.LimitReader(res.Body, maxPageBytes)).Decode(&p)
}
