package link

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/fleet/wire"
)

const (
	// handshakeTimeout bounds each step of opening a link: the TCP dial, the TLS handshake, and the exchange of hellos.
	handshakeTimeout = 5 * time.Second
	// writeTimeout bounds one write. The link to a peer that reads nothing for longer is closed.
	writeTimeout = 10 * time.Second
	// sendQueueBatches bounds the batches of messages that are queued for a slow peer on each stream.
	sendQueueBatches = 64
	// streamBufferBytes is the size of the read buffer and of the write buffer of a stream.
	streamBufferBytes = 4 << 10
)

// Link is an open link to one host. Its methods are safe for concurrent use.
type Link struct {
	// ID is unique among the links of this process.
	ID uint64
	// Peer is the host at the other end, as in its hello. Its name is verified against its certificate.
	Peer membership.Host
	// Dialled reports whether this host dialled.
	Dialled bool

	session    *yamux.Session
	streams    [2]net.Conn
	sendQueues [2]chan []*wire.Envelope
	closed     chan struct{}
	closeOnce  sync.Once
	// cause is why the link ended. It is set before closed is closed.
	cause   error
	dropped atomic.Int64
}

var lastID atomic.Uint64

// Indexes of the streams of a link.
const (
	controlStream = iota
	bulkStream
)

// Send queues messages and reports whether the queues had room for all of them. Those of one stream are sent in order
// and together, or dropped together if its queue is full. Bulk messages use a separate stream.
func (l *Link) Send(messages ...*wire.Envelope) bool {
	var batches [2][]*wire.Envelope
	for _, e := range messages {
		batches[streamOf(e)] = append(batches[streamOf(e)], e)
	}
	ok := true
	for i, batch := range batches {
		if len(batch) == 0 {
			continue
		}
		select {
		case l.sendQueues[i] <- batch:
		default:
			l.dropped.Add(int64(len(batch)))
			ok = false
		}
	}
	return ok
}

// streamOf returns the index of the stream that carries a message. Bulk content must not delay heartbeats.
func streamOf(e *wire.Envelope) int {
	switch e.GetBody().(type) {
	case *wire.Envelope_Head, *wire.Envelope_Chunk, *wire.Envelope_Members:
		return bulkStream
	}
	return controlStream
}

// Dropped returns how many messages were dropped because a queue was full.
func (l *Link) Dropped() int64 { return l.dropped.Load() }

// Close ends the link.
func (l *Link) Close() { l.fail(errors.New("this host closed the link")) }

// fail ends the link with err as its cause, unless it has ended already.
func (l *Link) fail(err error) {
	l.closeOnce.Do(func() {
		l.cause = err
		close(l.closed)
		_ = l.session.Close()
	})
}

// openLink opens a link on an authenticated connection. verifyName checks the name that the peer's hello gives.
func openLink(conn net.Conn, dialled bool, self membership.Host, verifyName func(name string) error) (*Link, error) {
	peer := conn.RemoteAddr().String()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	l := &Link{ID: lastID.Add(1), Dialled: dialled, closed: make(chan struct{})}
	if err := l.openSession(conn); err != nil {
		_ = conn.Close()
		return nil, newRefusedError(peer, Unreachable, err)
	}
	if err := l.verifyPeer(peer, self, verifyName); err != nil {
		_ = l.session.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	for i := range l.sendQueues {
		_ = l.streams[i].SetDeadline(time.Time{})
		l.sendQueues[i] = make(chan []*wire.Envelope, sendQueueBatches)
	}
	return l, nil
}

// verifyPeer exchanges hellos and verifies the peer's. A peer that refuses this host closes the connection at once, which
// may make the sending fail. The peer's hello is therefore checked first, as it gives the more precise reason.
func (l *Link) verifyPeer(peer string, self membership.Host, verifyName func(name string) error) error {
	hello, sendErr, err := l.exchangeHellos(self)
	if err != nil {
		return newRefusedError(peer, Unreachable, err)
	}
	l.Peer = HostFromWire(hello.GetHost())
	if err := verifyName(l.Peer.Name); err != nil {
		return newRefusedError(peer, WrongName, err)
	}
	if l.Peer.Name == self.Name {
		return newRefusedError(peer, SelfDialled, errors.New("the peer is this host"))
	}
	if sendErr != nil {
		return newRefusedError(peer, Unreachable, sendErr)
	}
	return nil
}

// openSession opens the yamux session and its two streams. The dialling end opens the streams, in the order of their
// indexes, and the other end accepts them.
func (l *Link) openSession(conn net.Conn) error {
	cfg := yamux.DefaultConfig()
	// The heartbeats between hosts detect a silent peer sooner than those of yamux.
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = handshakeTimeout
	conn = &coalescingConn{Conn: conn}
	var err error
	nextStream := func() (net.Conn, error) { return l.session.Accept() }
	if l.Dialled {
		l.session, err = yamux.Client(conn, cfg)
		nextStream = func() (net.Conn, error) { return l.session.Open() }
	} else {
		l.session, err = yamux.Server(conn, cfg)
	}
	if err != nil {
		return err
	}
	for i := range l.streams {
		if l.streams[i], err = nextStream(); err != nil {
			_ = l.session.Close()
			return err
		}
		_ = l.streams[i].SetDeadline(time.Now().Add(handshakeTimeout))
	}
	return nil
}

// exchangeHellos sends this host's hello on the control stream and reads the peer's. sendErr is the result of sending;
// err is why the peer's hello could not be read or its protocol version is not supported.
func (l *Link) exchangeHellos(self membership.Host) (hello *wire.Hello, sendErr, err error) {
	out := &wire.Envelope{Body: &wire.Envelope_Hello{Hello: &wire.Hello{
		Host: HostToWire(self), Version: wire.Version, OldestVersion: wire.OldestVersion,
	}}}
	sent := make(chan error, 1)
	go func() {
		_, err := wire.Write(l.streams[controlStream], out)
		sent <- err
	}()
	// byteReader keeps the buffer from taking bytes after the hello, which Link.read reads later.
	in, err := wire.Read(bufio.NewReaderSize(byteReader{l.streams[controlStream]}, 16))
	sendErr = <-sent
	if err != nil {
		return nil, sendErr, err
	}
	hello = in.GetHello()
	if hello.GetHost().GetName() == "" {
		return nil, sendErr, &wire.MessageError{Cause: errors.New("the first message is not a valid Hello")}
	}
	return hello, sendErr, wire.CheckVersion(hello)
}

// byteReader reads one byte at a time, so that a buffered reader on top of it does not read ahead.
type byteReader struct{ r io.Reader }

func (b byteReader) Read(p []byte) (int, error) { return b.r.Read(p[:min(1, len(p))]) }

// Handler receives the events of links. Its methods are called from several goroutines.
type Handler interface {
	// Up reports a link that opened.
	Up(l *Link)
	// Receive passes on a message of the peer.
	Receive(l *Link, e *wire.Envelope)
	// Down reports a link that ended, and why.
	Down(l *Link, cause error)
	// Refused reports a link that did not open. dialled is true if this host dialled.
	Refused(peer netip.AddrPort, dialled bool, err error)
}

// run sends and receives messages until the link ends.
func (l *Link) run(ctx context.Context, h Handler) {
	h.Up(l)
	done := make(chan error, 2*len(l.streams))
	for i := range l.streams {
		go l.read(i, h, done)
		go l.write(i, done)
	}
	select {
	case <-ctx.Done():
		l.fail(ctx.Err())
	case <-l.closed:
	case err := <-done:
		l.fail(err)
		done <- nil
	}
	for range cap(done) {
		<-done
	}
	h.Down(l, l.cause)
}

// read passes the messages of stream i to h until the stream fails.
func (l *Link) read(i int, h Handler, done chan<- error) {
	r := bufio.NewReaderSize(l.streams[i], streamBufferBytes)
	for {
		e, err := wire.Read(r)
		if err != nil {
			done <- err
			return
		}
		h.Receive(l, e)
	}
}

// write sends the queued messages of stream i until the stream fails or the link is closed.
func (l *Link) write(i int, done chan<- error) {
	w := bufio.NewWriterSize(l.streams[i], streamBufferBytes)
	for {
		select {
		case batch := <-l.sendQueues[i]:
			_ = l.streams[i].SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := l.writeBatches(w, i, batch); err != nil {
				done <- err
				return
			}
		case <-l.closed:
			done <- nil
			return
		}
	}
}

// writeBatches writes the batch and all others that are queued on stream i, then flushes w. Small batches thus share a
// frame.
func (l *Link) writeBatches(w *bufio.Writer, i int, batch []*wire.Envelope) error {
	for {
		for _, e := range batch {
			if _, err := wire.Write(w, e); err != nil {
				return err
			}
		}
		select {
		case batch = <-l.sendQueues[i]:
		default:
			return w.Flush()
		}
	}
}

// HostFromWire converts a host from its wire form. The address is zero if it cannot be decoded.
func HostFromWire(h *wire.Host) membership.Host {
	out := membership.Host{Name: h.GetName(), Zone: h.GetZone(), Incarnation: h.GetIncarnation()}
	var a netip.AddrPort
	if a.UnmarshalBinary(h.GetAddress()) == nil {
		out.Address = a
	}
	return out
}

// HostToWire converts h to its wire form.
func HostToWire(h membership.Host) *wire.Host {
	a, _ := h.Address.MarshalBinary()
	return &wire.Host{Name: h.Name, Zone: h.Zone, Address: a, Incarnation: h.Incarnation}
}

// nameVerifier returns a function that verifies a name against the certificate of the peer of conn.
func nameVerifier(conn *tls.Conn) func(string) error {
	return func(name string) error {
		return conn.ConnectionState().PeerCertificates[0].VerifyHostname(name)
	}
}
