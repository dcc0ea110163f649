// Package admission bounds what the callers of a listener make the process hold before their requests are handled:
// connections, and the bytes of heads. Callers may be out of anybody's control.
package admission

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"shallotramp/internal/engine/bodybuffer"
)

const (
	// DefaultHeadBytes limits a head if the configuration sets no limit.
	DefaultHeadBytes = 64 << 10
	// headSlop is what a connection may bring beyond its head's limit, as a read may contain the begin of the body.
	headSlop = 4 << 10
	// freeHeadBytes of a head do not draw from the share, so that ordinary requests get in while it is used up.
	freeHeadBytes = 4 << 10
	// headCost is the memory that one byte of a head takes once its fields are parsed, for the shortest fields.
	headCost = 16
	// connBytes is the memory for which a connection counts: buffers, stack, the free part of a head and of a body.
	connBytes = 64 << 10
	// reservedFds are the descriptors for files, the platform and other hosts; of few descriptors, a quarter.
	reservedFds = 200
	// freshTime is how long a body that is being read is not closed to make room for another connection.
	freshTime = time.Second
	// minConns is the least number of connections that are kept open, whatever the settings.
	minConns = 8
	// refusalTimeout bounds the write of a refusal.
	refusalTimeout = 100 * time.Millisecond
)

// Conns returns the number of connections of callers for a process with this memory and these descriptors; 0 is unknown.
// A third of the descriptors is for connections to backend servers and a third for the other listeners, and half of the
// memory is for other things.
func Conns(memoryBytes int64, fds int) int {
	if fds <= 0 {
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
			fds = int(min(limit.Cur, 1<<20))
		}
	}
	n := (fds - min(reservedFds, fds/4)) / 3
	if memoryBytes > 0 {
		n = min(n, int(memoryBytes/2/connBytes))
	}
	return max(n, minConns)
}

// phase is what a connection does.
type phase uint8

const (
	// awaitsHead is a connection that has not sent a complete head.
	awaitsHead phase = iota
	idle
	// readsBody is a connection whose request is not complete, and so has not run.
	readsBody
	serving
	closed
)

// Gate bounds the connections of one listener. Create it with [New].
type Gate struct {
	maxConns  int
	headBytes func() int64
	share     *bodybuffer.Share
	refused   func(Kind, netip.Addr)

	mu    sync.Mutex
	conns map[*conn]bool
}

// Option configures a [Gate].
type Option func(*Gate)

// WithHeadBytes sets the function that returns the largest head; the default applies while it returns 0.
func WithHeadBytes(f func() int64) Option { return func(g *Gate) { g.headBytes = f } }

// WithShare sets the memory from which large heads draw.
func WithShare(s *bodybuffer.Share) Option { return func(g *Gate) { g.share = s } }

// WithObserver sets the function that is told of each refusal.
func WithObserver(f func(Kind, netip.Addr)) Option { return func(g *Gate) { g.refused = f } }

// New returns a Gate for at most maxConns connections.
func New(maxConns int, opts ...Option) *Gate {
	g := &Gate{maxConns: maxConns, headBytes: func() int64 { return 0 }, refused: func(Kind, netip.Addr) {}, conns: map[*conn]bool{}}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Serve serves srv on l through the gate.
func (g *Gate) Serve(srv *http.Server, l net.Listener) error {
	next := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			complete := r.Body == nil || r.Body == http.NoBody
			if !c.begin(complete) {
				panic(http.ErrAbortHandler) // The connection was closed to make room for another; the request does not run.
			}
			if !complete {
				r.Body = &body{r.Body, c}
			}
		}
		next.ServeHTTP(w, r)
	})
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	srv.ConnState = func(nc net.Conn, s http.ConnState) {
		if c, ok := nc.(*conn); ok && (s == http.StateIdle || s == http.StateActive) {
			c.setState(s)
		}
	}
	return srv.Serve(listener{l, g})
}

type connKey struct{}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection for which there is room.
func (l listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(nc, time.Now()); c != nil {
			return c, nil
		}
		_ = nc.Close()
	}
}

// admit returns a connection of the gate, or nil if there is no room. To make room it closes the connection that has
// waited longest without a complete head, or else the one that has been idle longest, or else the one whose body takes
// longest.
func (g *Gate) admit(nc net.Conn, now time.Time) *conn {
	c := &conn{Conn: nc, gate: g, since: now}
	g.mu.Lock()
	var victim *conn
	full := len(g.conns) >= g.maxConns
	if full {
		if victim = g.victimLocked(now); victim == nil {
			g.mu.Unlock()
			g.refused(NoRoom, c.addr())
			return nil
		}
		victim.phase = closed
		delete(g.conns, victim)
	}
	g.conns[c] = true
	g.mu.Unlock()
	if victim != nil {
		g.refused(MadeRoom, victim.addr())
		_ = victim.Close()
	}
	return c
}

func (g *Gate) victimLocked(now time.Time) *conn {
	var victim *conn
	for c := range g.conns {
		switch {
		case c.phase > readsBody, c.phase == readsBody && now.Sub(c.since) < freshTime:
		case victim == nil, c.phase < victim.phase, c.phase == victim.phase && c.since.Before(victim.since):
			victim = c
		}
	}
	return victim
}

// conn is a connection of a caller. The fields phase, since, headBytes and drawn are guarded by the gate's mutex.
type conn struct {
	net.Conn
	gate  *Gate
	phase phase
	since time.Time
	// headBytes are the bytes read since the connection began to wait for a head, and drawn what they drew from the share.
	headBytes, drawn int64
}

func (c *conn) addr() netip.Addr {
	a, _ := netip.ParseAddrPort(c.RemoteAddr().String())
	return a.Addr()
}

// Read implements [net.Conn]. It refuses a head that is too large or for which there is no memory.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	kind, ok := c.count(int64(n))
	if ok {
		return n, err
	}
	c.gate.refused(kind, c.addr())
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, kind.response()) // The caller may have closed the connection.
	_ = c.Close()
	return 0, io.EOF
}

// count counts n bytes of a head. It returns false if the connection must end.
func (c *conn) count(n int64) (Kind, bool) {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase != awaitsHead && c.phase != idle {
		return 0, true
	}
	limit := g.headBytes()
	if limit <= 0 {
		limit = DefaultHeadBytes
	}
	if c.headBytes += n; c.headBytes > limit+headSlop {
		return HeadTooLarge, false
	}
	if g.share == nil {
		return 0, true
	}
	need := max(0, c.headBytes-freeHeadBytes) * headCost
	if need > c.drawn {
		if !g.share.Acquire(need - c.drawn) {
			return NoHeadMemory, false
		}
		c.drawn = need
	}
	return 0, true
}

// body is the body of a request on a connection.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements [io.Reader]. The request can no longer be closed for others once its body is complete.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.begin(true) {
		return n, net.ErrClosed
	}
	return n, err
}

// begin notes that the head, or the complete request, has come. It returns false if the connection was closed before.
func (c *conn) begin(complete bool) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.phase == closed {
		return false
	}
	c.phase, c.since = readsBody, time.Now()
	if complete {
		c.phase = serving
	}
	return true
}

func (c *conn) setState(s http.ConnState) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	switch {
	case c.phase == closed:
	case s == http.StateIdle:
		c.phase, c.since = idle, time.Now()
		c.releaseLocked()
	case c.phase == idle:
		c.phase, c.since = awaitsHead, time.Now()
	}
}

func (c *conn) releaseLocked() {
	if c.drawn > 0 {
		c.gate.share.Return(c.drawn)
	}
	c.headBytes, c.drawn = 0, 0
}

// CloseWrite closes the sending side, so that a response is not lost by a reset.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	c.gate.mu.Lock()
	c.phase = closed
	delete(c.gate.conns, c)
	c.releaseLocked()
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// Kind is the reason for which a caller is refused.
type Kind uint8

// The reasons, with the names of the metric's labels.
const (
	// HeadTooLarge is a head above the limit, or empty lines without end.
	HeadTooLarge Kind = iota
	// NoHeadMemory is a large head for which there is no memory.
	NoHeadMemory
	// NoRoom is a new connection while all others have requests in progress.
	NoRoom
	// MadeRoom is a connection that was closed for a new one.
	MadeRoom
	// NoBodyMemory is a body for which there is no memory.
	NoBodyMemory
	// SlowBody is a body that did not come on while others needed its memory.
	SlowBody
	// BodyTooLarge is a body above the limit.
	BodyTooLarge
	// LateBody is a body that was not complete in time.
	LateBody
)

var kindNames = map[Kind]string{
	HeadTooLarge: "head_too_large", NoHeadMemory: "no_head_memory", NoRoom: "no_connection", MadeRoom: "connection_replaced",
	NoBodyMemory: "no_body_memory", SlowBody: "slow_body", BodyTooLarge: "body_too_large", LateBody: "late_body",
}

// String returns the name of the kind on the metrics address and in the log.
func (k Kind) String() string { return kindNames[k] }

func (k Kind) response() string {
	status, more, text := "431 Request Header Fields Too Large", "", "the head is larger than the limit; the request has not run; send a smaller head"
	if k == NoHeadMemory {
		status, more = "503 Service Unavailable", "Retry-After: 1\r\n"
		text = "the host has no memory left for a head of this size; the request has not run; send it again"
	}
	body := fmt.Sprintf("{\"error\":%q}\n", text)
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/json\r\nX-Request-Ran: not run\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", status, more, len(body), body)
}
