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

	"shallotramp/internal/fleet/member"
	"shallotramp/internal/fleet/wire"
)

const (
	// handshakeTimeout bounds the time until both ends have said hello.
	handshakeTimeout = 5 * time.Second
	// writeTimeout bounds one write; a peer that takes nothing for longer is cut off.
	writeTimeout = 10 * time.Second
	// queueLength bounds the messages that wait for a slow peer on each stream.
	queueLength = 64
	// bufferBytes is the read buffer of a stream.
	bufferBytes = 4 << 10
)

// Link is an open link to one host. Its methods are safe for concurrent use.
type Link struct {
	// ID tells the links of this process apart.
	ID uint64
	// Peer is the host at the other end, as its certificate and hello say.
	Peer member.Host
	// Dialled tells whether this end dialled.
	Dialled bool

	session *yamux.Session
	streams [2]net.Conn
	queues  [2]chan []*wire.Envelope
	closed  chan struct{}
	once    sync.Once
	cause   error
	dropped atomic.Int64
}

// lastID is the ID of the newest link.
var lastID atomic.Uint64

// The streams of a link.
const (
	control = iota
	bulk
)

// Send queues messages, which go out in order and together, and reports whether there was room for all. Large
// messages wait on a stream of their own.
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
		case l.queues[i] <- batch:
		default:
			l.dropped.Add(int64(len(batch)))
			ok = false
		}
	}
	return ok
}

// streamOf returns the stream of a message: content must not hold heartbeats up.
func streamOf(e *wire.Envelope) int {
	switch e.GetBody().(type) {
	case *wire.Envelope_Head, *wire.Envelope_Chunk, *wire.Envelope_Members:
		return bulk
	}
	return control
}

// Dropped returns how many messages found no room.
func (l *Link) Dropped() int64 { return l.dropped.Load() }

// Close ends the link.
func (l *Link) Close() { l.fail(errors.New("closed by this host")) }

func (l *Link) fail(err error) {
	l.once.Do(func() {
		l.cause = err
		close(l.closed)
		_ = l.session.Close()
	})
}

// open makes a link of an authenticated connection. check verifies the name that the peer gives.
func open(conn net.Conn, dialled bool, self member.Host, check func(name string) error) (*Link, error) {
	peer := conn.RemoteAddr().String()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	l := &Link{ID: lastID.Add(1), Dialled: dialled, closed: make(chan struct{})}
	if err := l.mux(conn); err != nil {
		_ = conn.Close()
		return nil, refuse(peer, Unreachable, err)
	}
	if err := l.meet(peer, self, check); err != nil {
		_ = l.session.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	for i := range l.queues {
		_ = l.streams[i].SetDeadline(time.Time{})
		l.queues[i] = make(chan []*wire.Envelope, queueLength)
	}
	return l, nil
}

// meet exchanges hellos and judges the peer by its own. A peer that refuses this host closes at once, so that
// sending may fail: what its hello says is the reason then.
func (l *Link) meet(peer string, self member.Host, check func(name string) error) error {
	hello, sent, err := l.greet(self)
	if err != nil {
		return refuse(peer, Unreachable, err)
	}
	l.Peer = HostFromWire(hello.GetHost())
	if err := check(l.Peer.Name); err != nil {
		return refuse(peer, WrongName, err)
	}
	if l.Peer.Name == self.Name {
		return refuse(peer, SelfDialled, errors.New("the peer is this host"))
	}
	if sent != nil {
		return refuse(peer, Unreachable, sent)
	}
	return nil
}

// mux opens the session and its two streams; the dialling end opens them in order.
func (l *Link) mux(conn net.Conn) error {
	cfg := yamux.DefaultConfig()
	// Heartbeats of the fleet find a silent peer sooner than those of the session.
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = handshakeTimeout
	conn = &framedConn{Conn: conn}
	var err error
	next := func() (net.Conn, error) { return l.session.Accept() }
	if l.Dialled {
		l.session, err = yamux.Client(conn, cfg)
		next = func() (net.Conn, error) { return l.session.Open() }
	} else {
		l.session, err = yamux.Server(conn, cfg)
	}
	if err != nil {
		return err
	}
	for i := range l.streams {
		if l.streams[i], err = next(); err != nil {
			_ = l.session.Close()
			return err
		}
		_ = l.streams[i].SetDeadline(time.Now().Add(handshakeTimeout))
	}
	return nil
}

// greet exchanges hellos on the control stream and returns the peer's, or why there is none, and how the
// sending of this host's ended.
func (l *Link) greet(self member.Host) (hello *wire.Hello, sendErr, err error) {
	out := &wire.Envelope{Body: &wire.Envelope_Hello{Hello: &wire.Hello{
		Host: HostToWire(self), Version: wire.Version, OldestVersion: wire.OldestVersion,
	}}}
	sent := make(chan error, 1)
	go func() {
		_, err := wire.Write(l.streams[control], out)
		sent <- err
	}()
	// The buffer holds one message only: what follows the hello is left for the reader.
	in, err := wire.Read(bufio.NewReaderSize(byteReader{l.streams[control]}, 16))
	sendErr = <-sent
	if err != nil {
		return nil, sendErr, err
	}
	hello = in.GetHello()
	if hello.GetHost().GetName() == "" {
		return nil, sendErr, &wire.MessageError{Cause: errors.New("the first message is no hello")}
	}
	return hello, sendErr, wire.CheckVersion(hello)
}

// byteReader reads one byte at a time, so that a buffered reader takes no more than it returns.
type byteReader struct{ r io.Reader }

func (b byteReader) Read(p []byte) (int, error) { return b.r.Read(p[:min(1, len(p))]) }

// Handler takes what happens on links. Its methods are called from several goroutines.
type Handler interface {
	Up(l *Link)
	Receive(l *Link, e *wire.Envelope)
	Down(l *Link, cause error)
	// Refused tells of a link that did not open; dialled tells whether this host dialled.
	Refused(peer netip.AddrPort, dialled bool, err error)
}

// run moves messages until the link ends.
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

func (l *Link) read(i int, h Handler, done chan<- error) {
	r := bufio.NewReaderSize(l.streams[i], bufferBytes)
	for {
		e, err := wire.Read(r)
		if err != nil {
			done <- err
			return
		}
		h.Receive(l, e)
	}
}

func (l *Link) write(i int, done chan<- error) {
	w := bufio.NewWriterSize(l.streams[i], bufferBytes)
	for {
		select {
		case batch := <-l.queues[i]:
			_ = l.streams[i].SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := l.flush(w, i, batch); err != nil {
				done <- err
				return
			}
		case <-l.closed:
			done <- nil
			return
		}
	}
}

// flush writes the batch and what else waits as one frame.
func (l *Link) flush(w *bufio.Writer, i int, batch []*wire.Envelope) error {
	for {
		for _, e := range batch {
			if _, err := wire.Write(w, e); err != nil {
				return err
			}
		}
		select {
		case batch = <-l.queues[i]:
		default:
			return w.Flush()
		}
	}
}

// HostFromWire returns the host of a message. A bad address is left out.
func HostFromWire(h *wire.Host) member.Host {
	out := member.Host{Name: h.GetName(), Zone: h.GetZone(), Incarnation: h.GetIncarnation()}
	var a netip.AddrPort
	if a.UnmarshalBinary(h.GetAddress()) == nil {
		out.Address = a
	}
	return out
}

// HostToWire returns the message of h.
func HostToWire(h member.Host) *wire.Host {
	a, _ := h.Address.MarshalBinary()
	return &wire.Host{Name: h.Name, Zone: h.Zone, Address: a, Incarnation: h.Incarnation}
}

// nameCheck returns the check of a peer's name against its certificate.
func nameCheck(conn *tls.Conn) func(string) error {
	return func(name string) error {
		return conn.ConnectionState().PeerCertificates[0].VerifyHostname(name)
	}
}
