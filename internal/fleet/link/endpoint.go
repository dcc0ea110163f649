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
func (p *Endpoint) Bytes() (sent, received int64) { return p.sentBytes.Load(), p.receivedBytes.Load() }

// Run accepts links until ctx ends, waits for all links to end and then sends the result on done.
func (p *Endpoint) Run(ctx context.Context, done chan<- error) {
	stop := context.AfterFunc(ctx, func() { _ = p.listener.Close() })
	defer stop()
	var err error
	for {
		var conn net.Conn
		if conn, err = p.listener.Accept(); err != nil {
			break
		}
		p.wg.Go(func() { p.accept(ctx, conn) })
	}
	p.wg.Wait()
	if ctx.Err() != nil {
		err = nil
	}
	done <- err
}

func (p *Endpoint) accept(ctx context.Context, conn net.Conn) {
	select {
	case p.inboundSlots <- struct{}{}:
		defer func() { <-p.inboundSlots }()
	default:
		_ = conn.Close()
		return
	}
	p.serve(ctx, tls.Server(p.countBytes(conn), serverConfig(p.credentials)), conn, false)
}

// Dial opens a link in the background and reports the result to the handler. Run waits for the link to end.
func (p *Endpoint) Dial(ctx context.Context, to netip.AddrPort) {
	p.wg.Go(func() {
		conn, err := (&net.Dialer{Timeout: handshakeTimeout}).DialContext(ctx, "tcp", to.String())
		if err != nil {
			p.handler.Refused(to, true, newRefusedError(to.String(), Unreachable, err))
			return
		}
		creds, err := p.credentials.Credentials()
		if err != nil {
			_ = conn.Close()
			p.handler.Refused(to, true, newRefusedError(to.String(), BadCertificate, err))
			return
		}
		p.serve(ctx, tls.Client(p.countBytes(conn), clientConfig(creds)), conn, true)
	})
}

// serve authenticates the connection, opens a link on it and runs the link until it ends.
func (p *Endpoint) serve(ctx context.Context, conn *tls.Conn, raw net.Conn, dialled bool) {
	remote, _ := netip.ParseAddrPort(raw.RemoteAddr().String())
	if err := tlsHandshake(ctx, conn); err != nil {
		_ = raw.Close()
		p.handler.Refused(remote, dialled, newRefusedError(remote.String(), handshakeReason(err), err))
		return
	}
	l, err := openLink(conn, dialled, p.self, nameVerifier(conn))
	if err != nil {
		_ = raw.Close()
		p.handler.Refused(remote, dialled, err)
		return
	}
	l.run(ctx, p.handler)
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

func (p *Endpoint) countBytes(c net.Conn) net.Conn { return &countingConn{Conn: c, endpoint: p} }

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
