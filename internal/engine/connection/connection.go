// Package connection keeps HTTP/1.1 connections to backend servers. A connection
// carries one request at a time and is used again only while it is known to be
// clean: the last answer was read whole, the last request was written whole and
// nothing else has arrived. Answers that belong to an earlier request are told
// apart by the caller and passed over.
package connection

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// readBuffer holds an answer's head and the usual events of a stream.
	readBuffer = 4 << 10
	// inlineBody is the longest body that is written before the answer is read. A longer one may be answered early.
	inlineBody = 8 << 10
	// maxStray bounds the answers to earlier requests that are passed over on one connection.
	maxStray = 3
	// strayBytes bounds the body of such an answer.
	strayBytes = 1 << 20
	// unackedTimeout ends a connection whose peer acknowledges nothing: behind a partition no reset arrives.
	unackedTimeout = 2 * time.Second
)

// Error is a request that got no usable answer.
type Error struct {
	Addr netip.AddrPort
	// Sent tells that the server may have got the request.
	Sent bool
	// Reused tells that the connection had carried requests before.
	Reused bool
	Cause  error
}

func (e *Error) Error() string {
	if !e.Sent {
		return fmt.Sprintf("backend server %s: not reached: %v; another server may get the request", e.Addr, e.Cause)
	}
	return fmt.Sprintf("backend server %s: no answer: %v; the request may have run", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Conn is a connection that carries one request at a time.
type Conn struct {
	addr netip.AddrPort
	c    net.Conn
	br   *bufio.Reader
	uses int
	// idleSince and idleLimit bound how long the server keeps an idle connection.
	idleSince time.Time
	idleLimit time.Duration
	written   chan error
	response  *http.Response
	ended     bool
}

// Dial connects within ctx.
func dial(ctx context.Context, addr netip.AddrPort, timeout time.Duration) (*Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: func(_, _ string, rc syscall.RawConn) error {
		var set error
		if err := rc.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		}); err != nil {
			return err
		}
		return set
	}}
	c, err := d.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return nil, &Error{Addr: addr, Cause: err}
	}
	return &Conn{addr: addr, c: c, br: bufio.NewReaderSize(c, readBuffer)}, nil
}

// Reused reports whether the connection carried a request before this one.
func (c *Conn) Reused() bool { return c.uses > 1 }

// Close ends the connection.
func (c *Conn) Close() { _ = c.c.Close() } // Nothing is owed to the server any more.

// Do sends req with body and returns the first answer that mine accepts; others belong to earlier requests.
// The body of the answer ends with ctx. After an error the connection is closed.
func (c *Conn) Do(ctx context.Context, req *http.Request, body []byte, mine func(*http.Response) bool) (*http.Response, error) {
	c.uses++
	stop := context.AfterFunc(ctx, func() { _ = c.c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := c.write(req, body); err != nil {
		return nil, c.fail(ctx, err)
	}
	for range maxStray + 1 {
		res, err := c.read(req)
		if err != nil {
			return nil, c.fail(ctx, err)
		}
		if mine(res) {
			c.response = res
			res.Body = &answerBody{conn: c, ctx: ctx, body: res.Body}
			return res, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, strayBytes)); err != nil || res.Close || res.ContentLength < 0 && !chunked(res) {
			return nil, c.fail(ctx, errors.New("an answer to another request came and the connection ended"))
		}
	}
	return nil, c.fail(ctx, errors.New("only answers to other requests came"))
}

func chunked(res *http.Response) bool {
	return len(res.TransferEncoding) > 0 && res.TransferEncoding[0] == "chunked"
}

func (c *Conn) write(req *http.Request, body []byte) error {
	c.written = nil
	if len(body) <= inlineBody {
		return c.writeAll(req, body)
	}
	written := make(chan error, 1)
	c.written = written
	go func() { written <- c.writeAll(req, body) }()
	return nil
}

func (c *Conn) writeAll(req *http.Request, body []byte) error {
	bw := writers.Get().(*bufio.Writer)
	defer writers.Put(bw)
	bw.Reset(c.c)
	if body != nil {
		req.Body = io.NopCloser(&bodyReader{b: body})
		req.ContentLength = int64(len(body))
		if len(body) == 0 {
			req.Body = http.NoBody
		}
	}
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// read returns the next final answer; informational ones are passed over.
func (c *Conn) read(req *http.Request) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK || res.StatusCode == http.StatusSwitchingProtocols {
			return res, nil
		}
	}
}

func (c *Conn) fail(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	c.Close()
	return &Error{Addr: c.addr, Sent: true, Reused: c.uses > 1, Cause: err}
}

// whole reports whether the request was written and the answer read to their ends.
func (c *Conn) whole() bool {
	if !c.ended || c.response == nil || c.response.Close {
		return false
	}
	if c.response.ContentLength < 0 && !chunked(c.response) && c.response.StatusCode != http.StatusNoContent {
		return false
	}
	if c.written != nil {
		select {
		case err := <-c.written:
			return err == nil
		default:
			return false
		}
	}
	return true
}

// quiet reports whether nothing has arrived since the last answer and the server has not closed.
func (c *Conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.c.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	var peek error
	if err := rc.Read(func(fd uintptr) bool {
		_, _, peek = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	}); err != nil {
		return false
	}
	return errors.Is(peek, unix.EAGAIN)
}

// answerBody notes the end of an answer and ends with the request's context.
type answerBody struct {
	conn *Conn
	ctx  context.Context
	body io.ReadCloser
	stop func() bool
}

// Read implements [io.Reader].
func (b *answerBody) Read(p []byte) (int, error) {
	if b.stop == nil {
		b.stop = context.AfterFunc(b.ctx, func() { _ = b.conn.c.SetDeadline(time.Unix(1, 0)) })
	}
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.conn.ended = true
	}
	if err != nil && b.ctx.Err() != nil && err != io.EOF {
		err = context.Cause(b.ctx)
	}
	return n, err
}

// Close implements [io.Closer].
func (b *answerBody) Close() error {
	if b.stop != nil && !b.stop() {
		b.conn.ended = false
	}
	return b.body.Close()
}
