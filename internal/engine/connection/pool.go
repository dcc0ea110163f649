package connection

import (
	"bufio"
	"context"
	"io"
	"iter"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// dialTimeout limits connection establishment: during a network partition a server never answers.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleLimit is how long an idle connection may be reused if the server sends no Keep-Alive timeout.
	defaultIdleLimit = 4 * time.Second
	// idleLimitMargin is subtracted from the server's Keep-Alive timeout, so that no request is sent while the server
	// closes the connection.
	idleLimitMargin = 500 * time.Millisecond
	// freshIdleLimit is the longest idle time of a connection for a request that cannot be retried.
	freshIdleLimit = 1500 * time.Millisecond
	// maxIdlePerServer limits the idle connections to one server.
	maxIdlePerServer = 32
)

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// bodyReader reads a body without an intermediate copy.
type bodyReader struct{ b []byte }

// Read implements [io.Reader].
func (r *bodyReader) Read(p []byte) (int, error) {
	if len(r.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.b)
	r.b = r.b[n:]
	return n, nil
}

// WriteTo implements [io.WriterTo].
func (r *bodyReader) WriteTo(w io.Writer) (int64, error) {
	n, err := w.Write(r.b)
	r.b = r.b[n:]
	return int64(n), err
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu sync.Mutex
	// idle holds the connections of each address, the most recently used last.
	idle   map[netip.AddrPort][]*Conn
	onDial func(addr netip.AddrPort, err error)
}

// NewPool returns an empty pool that calls onDial after each attempt to open a connection.
func NewPool(onDial func(addr netip.AddrPort, err error)) *Pool {
	return &Pool{idle: map[netip.AddrPort][]*Conn{}, onDial: onDial}
}

// Get returns a clean connection to addr and opens one if none is idle. If fresh is true, it does not reuse a
// connection that was idle for long: the server may be closing it, and a request sent meanwhile is lost and cannot
// be retried. It does not reuse one of the connections in except.
func (p *Pool) Get(ctx context.Context, addr netip.AddrPort, fresh bool, except ...*Conn) (*Conn, error) {
	now := time.Now()
	for {
		c := p.pop(addr, except)
		if c == nil {
			break
		}
		limit := c.idleLimit
		if fresh {
			limit = min(limit, freshIdleLimit)
		}
		if now.Sub(c.idleSince) < limit && c.stillIdle() {
			return c, nil
		}
		c.Close()
	}
	c, err := dial(ctx, addr, dialTimeout)
	p.onDial(addr, err)
	return c, err
}

// pop removes and returns the most recently used connection to addr that is not in except, or nil.
func (p *Pool) pop(addr netip.AddrPort, except []*Conn) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[addr]
	for i := len(l) - 1; i >= 0; i-- {
		if c := l[i]; !slices.Contains(except, c) {
			p.idle[addr] = slices.Delete(l, i, i+1)
			return c
		}
	}
	return nil
}

// Put returns a connection to the pool after the response body was read and closed. It closes the connection unless
// it is clean.
func (p *Pool) Put(c *Conn) {
	if !c.exchangeComplete() || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	c.idleSince, c.idleLimit = time.Now(), parseIdleLimit(c.response.Header)
	c.response, c.bodyRead = nil, false
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdlePerServer || c.idleLimit <= 0 {
		c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// parseIdleLimit returns how long an idle connection may be reused, from the server's Keep-Alive header.
func parseIdleLimit(h http.Header) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for field := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
				return time.Duration(n)*time.Second - idleLimitMargin
			}
		}
	}
	return defaultIdleLimit
}

// Prune closes idle connections to addresses that are not in keep, and those that have exceeded their idle limit.
func (p *Pool) Prune(now time.Time, keep iter.Seq[netip.AddrPort]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[netip.AddrPort]bool, len(p.idle))
	for addr := range keep {
		if _, ok := p.idle[addr]; ok {
			wanted[addr] = true
		}
	}
	for addr, l := range p.idle {
		kept := l[:0]
		for _, c := range l {
			if wanted[addr] && now.Sub(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}
