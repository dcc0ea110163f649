package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/fleet/member"
)

// maxLinks bounds the links that others open to this host: a zone, the relays and replaced ones.
const maxLinks = 256

// Endpoint accepts and dials links of one host.
type Endpoint struct {
	self     member.Host
	source   CredentialSource
	handler  Handler
	listener net.Listener
	slots    chan struct{}
	wg       sync.WaitGroup
	sent     atomic.Int64
	received atomic.Int64
}

// NewEndpoint returns an Endpoint that accepts links on ln and reports to h.
func NewEndpoint(self member.Host, src CredentialSource, ln net.Listener, h Handler) *Endpoint {
	return &Endpoint{self: self, source: src, listener: ln, handler: h, slots: make(chan struct{}, maxLinks)}
}

// Bytes returns the bytes sent and received on connections, with TLS and framing.
func (p *Endpoint) Bytes() (sent, received int64) { return p.sent.Load(), p.received.Load() }

// Run accepts links until ctx ends, waits for all links to end and then reports on done.
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
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	default:
		_ = conn.Close()
		return
	}
	p.keep(ctx, tls.Server(p.count(conn), serverConfig(p.source)), conn, false)
}

// Dial opens a link in the background; the handler learns how it goes. Run waits for it.
func (p *Endpoint) Dial(ctx context.Context, to netip.AddrPort) {
	p.wg.Go(func() {
		conn, err := (&net.Dialer{Timeout: handshakeTimeout}).DialContext(ctx, "tcp", to.String())
		if err != nil {
			p.handler.Refused(to, true, refuse(to.String(), Unreachable, err))
			return
		}
		m, err := p.source.Credentials()
		if err != nil {
			_ = conn.Close()
			p.handler.Refused(to, true, refuse(to.String(), BadCertificate, err))
			return
		}
		p.keep(ctx, tls.Client(p.count(conn), clientConfig(m)), conn, true)
	})
}

// keep authenticates the connection, opens the link and runs it to its end.
func (p *Endpoint) keep(ctx context.Context, conn *tls.Conn, raw net.Conn, dialled bool) {
	remote, _ := netip.ParseAddrPort(raw.RemoteAddr().String())
	if err := handshake(ctx, conn); err != nil {
		_ = raw.Close()
		p.handler.Refused(remote, dialled, refuse(remote.String(), handshakeReason(err), err))
		return
	}
	l, err := open(conn, dialled, p.self, nameCheck(conn))
	if err != nil {
		_ = raw.Close()
		p.handler.Refused(remote, dialled, err)
		return
	}
	l.run(ctx, p.handler)
	_ = raw.Close()
}

func handshake(ctx context.Context, conn *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	return conn.HandshakeContext(ctx)
}

// handshakeReason tells a peer that is away from one with a bad certificate.
func handshakeReason(err error) Refusal {
	var ne net.Error
	if (errors.As(err, &ne) && ne.Timeout()) || errors.Is(err, context.DeadlineExceeded) {
		return Unreachable
	}
	return BadCertificate
}

func (p *Endpoint) count(c net.Conn) net.Conn { return &countedConn{Conn: c, p: p} }

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	p *Endpoint
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.p.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.p.sent.Add(int64(n))
	return n, err
}
