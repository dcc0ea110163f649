package link

import (
	"encoding/binary"
	"net"
)

// Layout of a header of the session's frames.
const (
	headerBytes  = 12
	headerType   = 1
	headerLength = 8
	typeData     = 0
)

// framedConn joins the header of a data frame with its body, which the session writes one after the other, so that
// they take one TLS record and one call of the system. The session writes from one goroutine.
type framedConn struct {
	net.Conn
	header []byte
}

// Write implements [net.Conn].
func (c *framedConn) Write(b []byte) (int, error) {
	if c.header == nil && announcesBody(b) {
		c.header = append([]byte(nil), b...)
		return len(b), nil
	}
	if c.header == nil {
		return c.Conn.Write(b)
	}
	frame := append(c.header, b...)
	c.header = nil
	if n, err := c.Conn.Write(frame); err != nil {
		return max(0, n-headerBytes), err
	}
	return len(b), nil
}

// announcesBody reports whether b is the header of a data frame that is not empty.
func announcesBody(b []byte) bool {
	return len(b) == headerBytes && b[headerType] == typeData && binary.BigEndian.Uint32(b[headerLength:]) > 0
}
