package feed

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/provider/mirror"
	"shallotramp/internal/provider/store"
)

const (
	// listTimeout bounds the reading of a list from a neighbour, and waitSlack what a wait may take longer.
	listTimeout = 500 * time.Millisecond
	waitSlack   = 400 * time.Millisecond
	// avoidFor is how long a neighbour that failed is not asked.
	avoidFor = 3 * time.Second
	// notReadyTries is how many lists are asked of neighbours that have none yet before the store is asked:
	// when all hosts start together, each would ask it for all objects.
	notReadyTries = 3
)

// Source reads objects from neighbours that have them from the store, or from the store. It implements
// [mirror.Source]. Its methods are safe for concurrent use.
type Source struct {
	store mirror.Source
	// neighbours returns the hosts to ask, none if this host is to ask the store itself.
	neighbours func() []netip.AddrPort
	// unanswered is told of a neighbour that did not tell.
	unanswered func(n netip.AddrPort, err error)
	http       *http.Client

	mu     sync.Mutex
	failed map[netip.AddrPort]time.Time
	// notReady counts lists that neighbours could not give yet.
	notReady int
	// doubted tells that the neighbours were found behind.
	doubted bool
	direct  bool
}

var _ mirror.Source = (*Source)(nil)

// NewSource returns a Source; unanswered is told of a neighbour that did not tell.
func NewSource(st mirror.Source, neighbours func() []netip.AddrPort, unanswered func(n netip.AddrPort, err error)) *Source {
	return &Source{
		store: st, neighbours: neighbours, unanswered: unanswered, failed: map[netip.AddrPort]time.Time{},
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: listTimeout / 2}).DialContext,
			MaxIdleConnsPerHost: 2,
		}},
	}
}

// Direct reports whether the last answer came from the store itself.
func (s *Source) Direct() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.direct
}

// MarkStale asks the store itself for the next list: there is word of news that the neighbours have not told.
func (s *Source) MarkStale() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doubted = true
}

// List implements [mirror.Source].
func (s *Source) List(ctx context.Context, kind string) ([]store.Object, string, error) {
	if !s.isDoubted() {
		p, err := s.ask(ctx, listTimeout, kind, nil)
		if err == nil {
			return p.Objects, p.Version, nil
		}
		if s.mayWait(err) {
			return nil, "", err
		}
	}
	s.note(true)
	objects, version, err := s.store.List(ctx, kind)
	if err == nil {
		s.mu.Lock()
		s.doubted = false
		s.mu.Unlock()
	}
	return objects, version, err
}

// mayWait reports whether the neighbours may have a list soon.
func (s *Source) mayWait(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !errors.Is(err, errNotReady) || s.notReady >= notReadyTries {
		s.notReady = 0
		return false
	}
	s.notReady++
	return true
}

func (s *Source) isDoubted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doubted
}

// Changes implements [mirror.Source].
func (s *Source) Changes(ctx context.Context, kind, version string, wait time.Duration) ([]store.Event, string, error) {
	if s.isDoubted() {
		return s.catchUp(ctx, kind, version, wait)
	}
	p, err := s.ask(ctx, wait+waitSlack, kind, url.Values{"After": {version}, "Wait": {wait.String()}})
	switch {
	case err == nil:
		return p.Events, p.Version, nil
	case store.Failed(err, store.Expired):
		return nil, "", err
	}
	return s.store.Changes(ctx, kind, version, wait)
}

// catchUp asks the store itself. The doubt is over once it has told something.
func (s *Source) catchUp(ctx context.Context, kind, version string, wait time.Duration) ([]store.Event, string, error) {
	s.note(true)
	events, at, err := s.store.Changes(ctx, kind, version, wait)
	if err == nil && len(events) > 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.doubted = false
	}
	return events, at, err
}

// ask asks the first neighbour that has not failed of late.
func (s *Source) ask(ctx context.Context, timeout time.Duration, kind string, query url.Values) (Page, error) {
	reason := errNoNeighbour
	for _, n := range s.neighbours() {
		if s.avoided(n) {
			continue
		}
		p, err := s.get(ctx, timeout, n, kind, query)
		if errors.Is(err, errNotReady) {
			reason = errNotReady
			continue
		}
		if err != nil && ctx.Err() == nil && !store.Failed(err, store.Expired) {
			s.unanswered(n, err)
			s.avoid(n)
			continue
		}
		s.note(false)
		return p, err
	}
	s.note(true)
	return Page{}, reason
}

var (
	errNoNeighbour = errors.New("no neighbour has the objects; ask the store")
	errNotReady    = errors.New("the neighbours have just started; ask again, then the store")
)

func (s *Source) note(direct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.direct = direct
}

func (s *Source) avoided(n netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.failed[n]) < avoidFor
}

func (s *Source) avoid(n netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, t := range s.failed {
		if time.Since(t) > avoidFor {
			delete(s.failed, a)
		}
	}
	s.failed[n] = time.Now()
}

func (s *Source) get(ctx context.Context, timeout time.Duration, n netip.AddrPort, kind string, query url.Values) (Page, error) {
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
	defer func() { _ = res.Body.Close() }() // The body was read whole or the call failed already.
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return Page{}, &store.Error{Reason: store.Expired, Kind: kind}
	case http.StatusTooEarly:
		return Page{}, errNotReady
	default:
		return Page{}, &store.Error{Reason: store.Unavailable, Kind: kind, Cause: errors.Newf("neighbour %s: status %d", n, res.StatusCode)}
	}
	var p Page
	return p, json.NewDecoder(res.Body).Decode(&p)
}
