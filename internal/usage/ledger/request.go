package ledger

import (
	"context"
	"slices"
	"time"

	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/requesttag"
	"shallotramp/internal/usage/window"
)

const (
	// confirmInterval is the minimum time between two reads of a server's count. A count is final when two reads in
	// succession return the same.
	confirmInterval = time.Second
	// confirmTimeout is how long a server's count is requested before the host's estimate is recorded instead.
	confirmTimeout = 30 * time.Minute
	// retryDivisor determines the backoff: the wait before the next read is the time since the request's end divided by
	// retryDivisor.
	retryDivisor = 16
	// readTimeout limits one read of a server's count.
	readTimeout = 2 * time.Second
)

// serverUsage is the usage of a request on one server.
type serverUsage struct {
	usage meter.Usage
	exact bool
	// readAt is when the server's count was last read.
	readAt time.Time
}

// Request is a request in a [Ledger]. Until [Request.End] it must be used by one goroutine only.
type Request struct {
	ledger       *Ledger
	tag          requesttag.Tag
	organisation string
	servers      map[string]*serverUsage
	hasRun       bool
	endedAt      time.Time
}

// ID returns the text form of the request's tag, which must be sent to backend servers as the request id.
func (r *Request) ID() string { return r.tag.String() }

// Attempt adds the usage of one attempt on a server. If exact is true, u is the server's final count. Otherwise the
// usage is replaced by the count that is read from the server later.
func (r *Request) Attempt(server string, u meter.Usage, exact bool) {
	s, ok := r.servers[server]
	if !ok {
		s = &serverUsage{exact: true}
		r.servers[server] = s
	}
	s.usage = s.usage.Add(u)
	s.exact = s.exact && exact
	r.hasRun = r.hasRun || u.Requests > 0
}

// usage returns the sum over all servers. The request counts once, even if several servers ran it.
func (r *Request) usage() meter.Usage {
	var sum meter.Usage
	for _, s := range r.servers {
		sum = sum.Add(s.usage)
	}
	sum.Requests = 0
	if r.hasRun || sum != (meter.Usage{}) {
		sum.Requests = 1
	}
	return sum
}

func (r *Request) exact() bool {
	for _, s := range r.servers {
		if !s.exact {
			return false
		}
	}
	return true
}

// End ends the request. Exact usage is recorded immediately, and other usage when the servers' counts are known.
func (r *Request) End() {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.exact() || l.countReader == nil {
		l.recordRequest(r, !r.exact())
		return
	}
	r.endedAt = time.Now()
	l.unconfirmed = append(l.unconfirmed, r)
}

// recordRequest records the usage of an ended request. The caller must hold l.mu.
func (l *Ledger) recordRequest(r *Request, estimated bool) {
	if r.tag.Incarnation != l.incarnation {
		// The ledger of the request's incarnation was deleted, see restart.
		return
	}
	delete(l.open, r.tag.Number)
	l.addEntry(entry{
		requestNumber: r.tag.Number, organisation: r.organisation, usage: r.usage(),
		origin: window.IDAt(time.Now(), l.windowLength), estimated: estimated,
	})
}

// confirmUsage reads the counts of the unconfirmed requests from the servers.
func (l *Ledger) confirmUsage(ctx context.Context) {
	l.mu.Lock()
	list := slices.Clone(l.unconfirmed)
	l.mu.Unlock()
	failed := map[string]bool{}
	for _, r := range list {
		late := time.Since(r.endedAt) > confirmTimeout
		if !l.readCounts(ctx, r, failed) && !late {
			continue
		}
		l.finishUnconfirmed(r, !r.exact())
	}
}

// unconfirmedCount returns the number of ended requests that wait for a server's count.
func (l *Ledger) unconfirmedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unconfirmed)
}

func (l *Ledger) finishUnconfirmed(r *Request, estimated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.unconfirmed, r); i >= 0 {
		l.unconfirmed = slices.Delete(l.unconfirmed, i, i+1)
		l.recordRequest(r, estimated)
	}
}

// readCounts reads the count of r once from each server whose count is not final, and reports whether all counts are
// final now. Servers that do not respond are added to failed; those in failed are skipped.
func (l *Ledger) readCounts(ctx context.Context, r *Request, failed map[string]bool) bool {
	allFinal := true
	for server, s := range r.servers {
		if s.exact {
			continue
		}
		allFinal = l.readCount(ctx, r, server, s, failed) && allFinal
	}
	return allFinal
}

func (l *Ledger) readCount(ctx context.Context, r *Request, server string, s *serverUsage, failed map[string]bool) bool {
	wait := max(confirmInterval, time.Since(r.endedAt)/retryDivisor)
	if failed[server] || time.Since(s.readAt) < wait {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	counts, err := l.countReader.Counts(ctx, server, r.ID())
	if err != nil {
		failed[server] = true
		l.log.Warn().Err(err).Str("Server", server).Msg("cannot read the usage of an interrupted request from the backend server; retrying")
		return false
	}
	u := counts[r.tag]
	s.exact = !s.readAt.IsZero() && u == s.usage
	s.usage, s.readAt = u, time.Now()
	return s.exact
}
