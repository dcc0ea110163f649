package transport

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Conn is a connection on which a reset is not taken for the end of the peer's bytes. The kernel reports a reset once, to a
// read or to a write. If a write gets the error, the next read returns [io.EOF], and a response that ends with its connection
// looks complete.
type Conn struct {
	net.Conn
	raw syscall.RawConn
	// expected is the scanner of the next response until a read takes it over as head.
	expected atomic.Pointer[headScanner]
	head     *headScanner
	writeMu  sync.Mutex
	// writeErr is the first error of a write.
	writeErr error
}

// Dial returns a function for [http.Transport] that opens a [Conn] with d.
func Dial(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := DialConn(ctx, d, network, addr)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
}

// DialConn opens a connection with d.
func DialConn(ctx context.Context, d *net.Dialer, network, addr string) (*Conn, error) {
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		_ = c.Close() // It cannot be used.
		return nil, errors.Newf("a connection of type %T has no file descriptor; dial a TCP address", c)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		_ = c.Close() // It cannot be used.
		return nil, err
	}
	return &Conn{Conn: c, raw: raw}, nil
}

// SyscallConn implements [syscall.Conn].
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// ExpectHead makes the connection check the head of the next response, of which the bytes in buffered have been read already.
// It returns a [MalformedError] if these are not valid.
func (c *Conn) ExpectHead(buffered []byte) error {
	s := &headScanner{}
	err := s.scan(buffered)
	c.expected.Store(s)
	return err
}

// Read implements [net.Conn]. It returns [io.EOF] only if the peer has ended its bytes.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if s := c.expected.Swap(nil); s != nil {
		c.head = s
	}
	if c.head != nil {
		if err := c.head.scan(p[:n]); err != nil {
			return 0, err
		}
	}
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// Write implements [net.Conn].
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endError returns the error that has ended the connection, or [io.EOF] if the peer has ended its bytes before.
func (c *Conn) endError() error {
	hungUp, err := c.hungUp()
	switch {
	case err != nil:
		// The connection was closed on this side while it was read.
		return err
	case !hungUp:
		return io.EOF
	}
	c.writeMu.Lock() // A write on such a connection does not block.
	defer c.writeMu.Unlock()
	err = c.writeErr
	if err == nil {
		err = c.socketError()
	}
	if errors.Is(err, syscall.EPIPE) {
		// Linux reports a reset that comes after the end of the peer's bytes in this way.
		return io.EOF
	}
	return errors.Wrap(err, "the connection broke before the end of the response")
}

// hungUp reports whether the connection has ended in both directions. This side never ends its direction alone, so the
// connection was reset or timed out.
func (c *Conn) hungUp() (bool, error) {
	var fds [1]unix.PollFd
	var pollErr error
	err := c.raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		for pollErr = unix.EINTR; pollErr == unix.EINTR; {
			_, pollErr = unix.Poll(fds[:], 0)
		}
	})
	return fds[0].Revents&unix.POLLHUP != 0, errors.CombineErrors(err, pollErr)
}

// socketError returns the error that the kernel has not reported yet. Without one, it returns [syscall.ECONNRESET].
func (c *Conn) socketError() error {
	code := 0
	var optErr error
	err := c.raw.Control(func(fd uintptr) { code, optErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) })
	if err = errors.CombineErrors(err, optErr); err != nil {
		return err
	}
	if code == 0 {
		return syscall.ECONNRESET
	}
	return syscall.Errno(code)
}
