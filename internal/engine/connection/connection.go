// Package connection pools HTTP/1.1 connections to backend servers. A connection
// carries one request at a time. It is reused only if it is clean: the last
// request was written completely, the last response was read completely and no
// other bytes have arrived. The caller identifies responses that belong to an
// earlier request, and the connection discards them.
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

	"shallotramp/internal/provider/transport"
)

const (
	// readBufferBytes is enough for the header of a response and for typical stream events.
	readBufferBytes = 4 << 10
	// maxInlineBodyBytes is the longest body that is written before the response is read. A longer body is written
	// concurrently, because the server may respond before it has read the whole body.
	maxInlineBodyBytes = 8 << 10
	// maxStaleResponses limits how many responses to earlier requests are discarded while one request waits for its own.
	maxStaleResponses = 3
	// maxStaleBodyBytes limits the body of a discarded response.
	maxStaleBodyBytes = 1 << 20
	// maxHeadBytes limits the status line and the header of a response, and maxInformational the informational responses
	// before it. A faulty server may send either without end.
	maxHeadBytes     = 64 << 10
	maxInformational = 5
	// tcpUserTimeout closes a connection whose peer stops acknowledging data. During a network partition no reset
	// arrives.
	tcpUserTimeout = 2 * time.Second
)

// Error reports a request that got no usable response.
type Error struct {
	Addr netip.AddrPort
	// Sent is true if the server may have received the request.
	Sent bool
	// Reused is true if the connection had carried earlier requests.
	Reused bool
	Cause  error
}

func (e *Error) Error() string {
	if !e.Sent {
		return fmt.Sprintf("backend server %s: connection failed: %v; the request was not sent and can go to another server", e.Addr, e.Cause)
	}
	return fmt.Sprintf("backend server %s: no response: %v; the request may have run", e.Addr, e.Cause)
}

// Unwrap returns e.Cause.
func (e *Error) Unwrap() error { return e.Cause }

// Conn is an HTTP/1.1 connection that carries one request at a time.
type Conn struct {
	addr    netip.AddrPort
	netConn *transport.Conn
	in      *limitedReader
	br      *bufio.Reader
	// requests counts the requests sent on the connection, including the current one.
	requests int
	// idleLimit is how long after idleSince the connection may still be reused.
	idleSince time.Time
	idleLimit time.Duration
	// writeDone receives the result of a concurrent write; nil if the request was written inline.
	writeDone chan error
	response  *http.Response
	// bodyRead is true after the body of the response was read to its end.
	bodyRead bool
}

// dial opens a connection within ctx and timeout.
func dial(ctx context.Context, addr netip.AddrPort, timeout time.Duration) (*Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: func(_, _ string, rc syscall.RawConn) error {
		var sockErr error
		if err := rc.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
		}); err != nil {
			return err
		}
		return sockErr
	}}
	c, err := transport.DialConn(ctx, &d, "tcp4", addr.String())
	if err != nil {
		return nil, &Error{Addr: addr, Cause: err}
	}
	in := &limitedReader{r: c}
	return &Conn{addr: addr, netConn: c, in: in, br: bufio.NewReaderSize(in, readBufferBytes)}, nil
}

// Reused reports whether the connection carried a request before the current one.
func (c *Conn) Reused() bool { return c.requests > 1 }

// Close closes the connection.
func (c *Conn) Close() { _ = c.netConn.Close() } // The error is ignored because nothing is left to send.

// Do sends req with body and returns the first response for which matches returns true. It discards responses that
// do not match, because they belong to earlier requests. Reads of the response body fail once ctx ends. On an error
// Do closes the connection.
func (c *Conn) Do(ctx context.Context, req *http.Request, body []byte, matches func(*http.Response) bool) (*http.Response, error) {
	c.requests++
	stop := context.AfterFunc(ctx, func() { _ = c.netConn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := c.write(req, body); err != nil {
		return nil, c.fail(ctx, err)
	}
	for range maxStaleResponses + 1 {
		res, err := c.read(req)
		if err != nil {
			return nil, c.fail(ctx, err)
		}
		if matches(res) {
			c.response = res
			res.Body = &responseBody{conn: c, ctx: ctx, body: res.Body}
			return res, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxStaleBodyBytes+1))
		if err != nil || n > maxStaleBodyBytes || res.Close || res.ContentLength < 0 && !isChunked(res) {
			return nil, c.fail(ctx, errors.New("the server sent a response to another request, after which the connection could not be used"))
		}
	}
	return nil, c.fail(ctx, errors.New("the server sent only responses to other requests"))
}

func isChunked(res *http.Response) bool {
	return len(res.TransferEncoding) > 0 && res.TransferEncoding[0] == "chunked"
}

func (c *Conn) write(req *http.Request, body []byte) error {
	c.writeDone = nil
	if len(body) <= maxInlineBodyBytes {
		return c.writeAll(req, body)
	}
	done := make(chan error, 1)
	c.writeDone = done
	go func() { done <- c.writeAll(req, body) }()
	return nil
}

func (c *Conn) writeAll(req *http.Request, body []byte) error {
	bw := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(bw)
	bw.Reset(c.netConn)
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

// read returns the next final response and skips informational ones.
func (c *Conn) read(req *http.Request) (*http.Response, error) {
	// A response to an earlier request may have come together with bytes of this one.
	buffered, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.netConn.ExpectHead(buffered); err != nil {
		return nil, err
	}
	for range maxInformational + 1 {
		c.in.limit(maxHeadBytes)
		res, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		c.in.unlimit()
		if err := transport.CheckHead(res); err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
	return nil, errors.Newf("the server sent more than %d informational responses", maxInformational)
}

// limitedReader returns an error after a number of bytes if a limit is set.
type limitedReader struct {
	r       io.Reader
	limited bool
	left    int
}

func (l *limitedReader) limit(n int) { l.limited, l.left = true, n }
func (l *limitedReader) unlimit()    { l.limited = false }

// Read implements [io.Reader].
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errors.Newf("the response header is larger than %d bytes", maxHeadBytes)
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// fail closes the connection and wraps err, or the cause of ctx if ctx has ended.
func (c *Conn) fail(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	c.Close()
	return &Error{Addr: c.addr, Sent: true, Reused: c.requests > 1, Cause: err}
}

// exchangeComplete reports whether the request was written and the response read completely, and whether the server
// keeps the connection open after it.
func (c *Conn) exchangeComplete() bool {
	if !c.bodyRead || c.response == nil || c.response.Close {
		return false
	}
	if c.response.ContentLength < 0 && !isChunked(c.response) && c.response.StatusCode != http.StatusNoContent {
		return false
	}
	if c.writeDone != nil {
		select {
		case err := <-c.writeDone:
			return err == nil
		default:
			return false
		}
	}
	return true
}

// stillIdle reports whether no bytes have arrived since the last response and the server has not closed the
// connection.
func (c *Conn) stillIdle() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	rc, err := c.netConn.SyscallConn()
	if err != nil {
		return false
	}
	var buf [1]byte
	var peekErr error
	if err := rc.Read(func(fd uintptr) bool {
		_, _, peekErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	}); err != nil {
		return false
	}
	return errors.Is(peekErr, unix.EAGAIN)
}

// responseBody records on its connection that the body was read completely. Reads fail once the request's context
// ends.
type responseBody struct {
	conn *Conn
	ctx  context.Context
	body io.ReadCloser
	stop func() bool
}

// Read implements [io.Reader].
func (b *responseBody) Read(p []byte) (int, error) {
	if b.stop == nil {
		b.stop = context.AfterFunc(b.ctx, func() { _ = b.conn.netConn.SetDeadline(time.Unix(1, 0)) })
	}
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.conn.bodyRead = true
	}
	if err != nil && b.ctx.Err() != nil && err != io.EOF {
		err = context.Cause(b.ctx)
	}
	return n, err
}

// Close implements [io.Closer]. If the body has not been read to its end, Close closes the connection first: closing the
// body of net/http would read the rest, which may have no end.
func (b *responseBody) Close() error {
	if b.stop != nil && !b.stop() {
		// The context ended and set a deadline on the connection, which cannot be reused.
		b.conn.bodyRead = false
	}
	if !b.conn.bodyRead {
		b.conn.Close()
	}
	return b.body.Close()
}
