package ledger

import (
	"context"
	"slices"
	"time"

	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/tag"
	"shallotramp/internal/usage/window"
)

const (
	// settleInterval lies between two equal readings of a server's count that are taken for final.
	settleInterval = time.Second
	// settleTimeout is how long a server's count is asked for before the host's own is booked.
	settleTimeout = 30 * time.Minute
	// settleBackoff is the part of the time spent so far after which a server is asked again.
	settleBackoff = 16
	// readTimeout bounds one reading of a server's count.
	readTimeout = 2 * time.Second
)

// share is one server's part of a request.
type share struct {
	use   meter.Usage
	exact bool
	// read is when the server's own count was last read.
	read time.Time
}

// Request is one open request in a [Ledger]. One goroutine uses it until [Request.End].
type Request struct {
	l            *Ledger
	tag          tag.Tag
	organisation string
	shares       map[string]*share
	ran          bool
	doubted      time.Time
}

// ID returns the request's tag as text: the request id that backend servers must see.
func (r *Request) ID() string { return r.tag.String() }

// Attempt adds what an attempt used on a server. Exact use is the server's own final count;
// any other is replaced by what the server tells when asked.
func (r *Request) Attempt(server string, u meter.Usage, exact bool) {
	s, ok := r.shares[server]
	if !ok {
		s = &share{exact: true}
		r.shares[server] = s
	}
	s.use = s.use.Add(u)
	s.exact = s.exact && exact
	r.ran = r.ran || u.Requests > 0
}

// use returns the sum over servers. A request counts once however many servers ran it.
func (r *Request) use() meter.Usage {
	var sum meter.Usage
	for _, s := range r.shares {
		sum = sum.Add(s.use)
	}
	sum.Requests = 0
	if r.ran || sum != (meter.Usage{}) {
		sum.Requests = 1
	}
	return sum
}

func (r *Request) exact() bool {
	for _, s := range r.shares {
		if !s.exact {
			return false
		}
	}
	return true
}

// End closes the request and books its use, at once if it is exact.
func (r *Request) End() {
	l := r.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.exact() || l.records == nil {
		l.settle(r, !r.exact())
		return
	}
	r.doubted = time.Now()
	l.doubtful = append(l.doubtful, r)
}

// settle books a request. The caller holds l.mu.
func (l *Ledger) settle(r *Request, estimated bool) {
	if r.tag.Incarnation != l.incarnation {
		// The ledger that it was counted in is gone, see restart.
		return
	}
	delete(l.open, r.tag.Number)
	l.book(ended{
		number: r.tag.Number, organisation: r.organisation, use: r.use(),
		origin: window.IDAt(time.Now(), l.length), estimated: estimated,
	})
}

// resolve asks servers for the counts of requests that ended without them.
func (l *Ledger) resolve(ctx context.Context) {
	l.mu.Lock()
	list := slices.Clone(l.doubtful)
	l.mu.Unlock()
	silent := map[string]bool{}
	for _, r := range list {
		late := time.Since(r.doubted) > settleTimeout
		if !l.read(ctx, r, silent) && !late {
			continue
		}
		l.remove(r, !r.exact())
	}
}

// doubts returns how many ended requests wait for a server's count.
func (l *Ledger) doubts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.doubtful)
}

func (l *Ledger) remove(r *Request, estimated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.doubtful, r); i >= 0 {
		l.doubtful = slices.Delete(l.doubtful, i, i+1)
		l.settle(r, estimated)
	}
}

// read asks each server in doubt once, and reports whether all have given the same count twice.
// Servers that do not answer are added to silent and not asked again.
func (l *Ledger) read(ctx context.Context, r *Request, silent map[string]bool) bool {
	all := true
	for server, s := range r.shares {
		if s.exact {
			continue
		}
		all = l.readShare(ctx, r, server, s, silent) && all
	}
	return all
}

func (l *Ledger) readShare(ctx context.Context, r *Request, server string, s *share, silent map[string]bool) bool {
	wait := max(settleInterval, time.Since(r.doubted)/settleBackoff)
	if silent[server] || time.Since(s.read) < wait {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	counts, err := l.records.Counts(ctx, server, r.ID())
	if err != nil {
		silent[server] = true
		l.log.Warn().Err(err).Str("Server", server).Msg("a broken request's use is not known yet; asking again")
		return false
	}
	u := counts[r.tag]
	s.exact = !s.read.IsZero() && u == s.use
	s.use, s.read = u, time.Now()
	return s.exact
}
