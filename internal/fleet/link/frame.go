package link

import (
	"encoding/binary"
	"net"
)

// The layout of a yamux frame header.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	dataFrameType     = 0
)

// coalescingConn joins the header and the body of a yamux data frame, which the session writes one after the other, into
// one write. They then take one TLS record and one system call. It needs no lock because the session writes from one
// goroutine.
type coalescingConn struct {
	net.Conn
	// pendingHeader is a header whose body has not been written yet, or nil.
	pendingHeader []byte
}

// Write implements [net.Conn]. It holds back the header of a data frame until the body follows.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if c.pendingHeader == nil && isDataHeader(b) {
		c.pendingHeader = append([]byte(nil), b...)
		return len(b), nil
	}
	if c.pendingHeader == nil {
		return c.Conn.Write(b)
	}
	frame := append(c.pendingHeader, b...)
	c.pendingHeader = nil
	if n, err := c.Conn.Write(frame); err != nil {
		return max(0, n-frameHeaderBytes), err
	}
	return len(b), nil
}

// isDataHeader reports whether b is the header of a data frame with a body.
func isDataHeader(b []byte) bool {
	return len(b) == frameHeaderBytes && b[frameTypeOffset] == dataFrameType && binary.BigEndian.Uint32(b[frameLengthOffset:]) > 0
}
