package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/fleet/membership"
)

// maxInboundLinks bounds the links that other hosts open to this one: the hosts of the zone, relays of other zones, and
// old links that are being replaced.
const maxInboundLinks = 256

// Endpoint accepts and dials the links of one host.
type Endpoint struct {
	self        membership.Host
	credentials CredentialSource
	handler     Handler
	listener    net.Listener
	// inboundSlots is a semaphore that holds an element for each accepted connection.
	inboundSlots  chan struct{}
	wg            sync.WaitGroup
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
}

// NewEndpoint returns an Endpoint that accepts links on ln and reports to h.
func NewEndpoint(self membership.Host, src CredentialSource, ln net.Listener, h Handler) *Endpoint {
	return &Endpoint{self: self, credentials: src, listener: ln, handler: h, inboundSlots: make(chan struct{}, maxInboundLinks)}
}

// Bytes returns the bytes sent and received on all connections, including TLS and framing.
func (e *Endpoint) Bytes() (sent, received int64) { return e.sentBytes.Load(), e.receivedBytes.Load() }

// Run accepts links until ctx ends, waits for all links to end and then sends the result on done.
func (e *Endpoint) Run(ctx context.Context, done chan<- error) {
	stop := context.AfterFunc(ctx, func() { _ = e.listener.Close() })
	defer stop()
	var err error
	for {
		var conn net.Conn
		if conn, err = e.listener.Accept(); err != nil {
			break
		}
		e.wg.Go(func() { e.accept(ctx, conn) })
	}
	e.wg.Wait()
	if ctx.Err() != nil {
		err = nil
	}
	done <- err
}

func (e *Endpoint) accept(ctx context.Context, conn net.Conn) {
	select {
	case e.inboundSlots <- struct{}{}:
		defer func() { <-e.inboundSlots }()
	default:
		_ = conn.Close()
		return
	}
	e.serve(ctx, tls.Server(e.countBytes(conn), serverConfig(e.credentials)), conn, false)
}

// Dial opens a link in the background and reports the result to the handler. Run waits for the link to end.
func (e *Endpoint) Dial(ctx context.Context, to netip.AddrPort) {
	e.wg.Go(func() {
		conn, err := (&net.Dialer{Timeout: handshakeTimeout}).DialContext(ctx, "tcp", to.String())
		if err != nil {
			e.handler.Refused(to, true, newRefusedError(to.String(), Unreachable, err))
			return
		}
		creds, err := e.credentials.Credentials()
		if err != nil {
			_ = conn.Close()
			e.handler.Refused(to, true, newRefusedError(to.String(), BadCertificate, err))
			return
		}
		e.serve(ctx, tls.Client(e.countBytes(conn), clientConfig(creds)), conn, true)
	})
}

// serve authenticates the connection, opens a link on it and runs the link until it ends.
func (e *Endpoint) serve(ctx context.Context, conn *tls.Conn, raw net.Conn, dialled bool) {
	remote, _ := netip.ParseAddrPort(raw.RemoteAddr().String())
	if err := tlsHandshake(ctx, conn); err != nil {
		_ = raw.Close()
		e.handler.Refused(remote, dialled, newRefusedError(remote.String(), handshakeReason(err), err))
		return
	}
	l, err := openLink(conn, dialled, e.self, nameVerifier(conn))
	if err != nil {
		_ = raw.Close()
		e.handler.Refused(remote, dialled, err)
		return
	}
	l.run(ctx, e.handler)
	_ = raw.Close()
}

func tlsHandshake(ctx context.Context, conn *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	return conn.HandshakeContext(ctx)
}

// handshakeReason returns Unreachable for timeouts and BadCertificate for all other errors of a TLS handshake.
func handshakeReason(err error) Refusal {
	var ne net.Error
	if (errors.As(err, &ne) && ne.Timeout()) || errors.Is(err, context.DeadlineExceeded) {
		return Unreachable
	}
	return BadCertificate
}

func (e *Endpoint) countBytes(c net.Conn) net.Conn { return &countingConn{Conn: c, endpoint: e} }

// countingConn adds the bytes of a connection to the counters of its endpoint.
type countingConn struct {
	net.Conn
	endpoint *Endpoint
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.endpoint.receivedBytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.endpoint.sentBytes.Add(int64(n))
	return n, err
}
