package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
)

// RawServer is a backend server that writes bytes which the HTTP server of the standard library would refuse to write.
type RawServer struct {
	listener net.Listener
	requests atomic.Int64
}

// StartRawServer starts a server on a free loopback port. It passes the connection of each request to respond and closes
// the connection afterwards. The request has not been read.
func StartRawServer(respond func(c *net.TCPConn)) (*RawServer, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn), respond)
		}
	}()
	return s, nil
}

func (s *RawServer) serve(c *net.TCPConn, respond func(c *net.TCPConn)) {
	defer func() { _ = c.Close() }() // All that is sent has been written.
	s.requests.Add(1)
	respond(c)
}

// Addr returns the listen address.
func (s *RawServer) Addr() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// Requests returns the number of requests so far.
func (s *RawServer) Requests() int { return int(s.requests.Load()) }

// Close stops listening.
func (s *RawServer) Close() { _ = s.listener.Close() } // Nothing is left to do if it fails.

// Respond reads a whole request, writes response and ends the connection in order.
func Respond(response string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err == nil {
			_, _ = io.WriteString(c, response) // The client may have disconnected.
		}
	}
}

// InvalidStatuses returns responses with an invalid status. Each holds the given header lines and is followed by a valid
// response with the body "forged", which was not sent for any request.
func InvalidStatuses(lines string) map[string]string {
	out := map[string]string{}
	for _, status := range []string{"000", "001", "099", "+99", "-00", "101", "600", "999"} {
		out["status "+status] = "HTTP/1.1 " + status + " Unknown\r\n" + lines + "Content-Length: 0\r\n\r\n" +
			"HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 6\r\n\r\nforged"
	}
	return out
}

// InvalidFieldNames returns responses with the body "forged" and a header field whose name is not valid. Each holds the given
// header lines.
func InvalidFieldNames(lines string) map[string]string {
	const ok, end = "HTTP/1.1 200 OK\r\n", "Content-Length: 6\r\n\r\nforged"
	out := map[string]string{
		"a blank before the colon of a length":    ok + lines + "Content-Length : 6\r\n\r\nforged",
		"a blank before the colon of an encoding": ok + lines + "Transfer-Encoding : chunked\r\n\r\n6\r\nforged\r\n0\r\n\r\n",
		"a blank before the first name":           ok + " X: 1\r\n" + lines + end,
		"an empty name":                           ok + lines + ": 1\r\n" + end,
		"a line without a colon":                  ok + lines + "X\r\n" + end,
	}
	for _, char := range []string{" ", "\t", "\x00", "\x01", "\x0b", "\r", "\x1b", "\x7f", "\x80", "\u00a0", "(", "/"} {
		out[fmt.Sprintf("%q inside a name", char)] = ok + lines + "X" + char + "Y: 1\r\n" + end
		out[fmt.Sprintf("%q at the end of a name", char)] = ok + lines + "X" + char + ": 1\r\n" + end
	}
	return out
}

// FoldedHeads returns responses with the body "forged" and a header line that begins with a blank or a tab. Each holds the given
// header lines.
func FoldedHeads(lines string) map[string]string {
	const ok, end = "HTTP/1.1 200 OK\r\n", "Content-Length: 6\r\n\r\nforged"
	return map[string]string{
		"a blank":                          ok + lines + "A: x\r\n X: 1\r\n" + end,
		"a tab":                            ok + lines + "A: x\r\n\tX: 1\r\n" + end,
		"a blank before the last line":     ok + end[:17] + "\r\n" + lines + "A: x\r\n X: 1\r\n\r\nforged",
		"a length":                         ok + lines + "A: x\r\n Content-Length: 2\r\n\r\nforged",
		"after an informational response":  "HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n" + ok + lines + "A: x\r\n X: 1\r\n" + end,
		"inside an informational response": "HTTP/1.1 103 Early Hints\r\nA: x\r\n X: 1\r\n\r\n" + ok + lines + end,
	}
}

// ValidResponses returns responses with the body "valid" that are unusual and valid. Each holds the given header lines.
func ValidResponses(lines string) map[string]string {
	const end = "Content-Length: 5\r\n\r\nvalid"
	return map[string]string{
		"no reason phrase":                    "HTTP/1.1 200 \r\n" + lines + end,
		"neither a reason nor a blank":        "HTTP/1.1 200\r\n" + lines + end,
		"a status without a name":             "HTTP/1.1 299 Other\r\n" + lines + end,
		"an informational response before it": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + lines + end,
		"all characters of names":             "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\n" + lines + end,
		"blanks and tabs around values":       "HTTP/1.1 200 OK\r\n" + lines + "A:\t x y\t \r\nB:\r\n" + end,
		"neither a length nor chunks":         "HTTP/1.1 200 OK\r\n" + lines + "\r\nvalid",
		"chunks and a trailer":                "HTTP/1.1 200 OK\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n5\r\nvalid\r\n0\r\nA: x\r\n\r\n",
	}
}

// RespondAndReset reads the head of a request, writes response and resets the connection. The body of the request has not
// been read; a client that sends a long one is still writing it.
func RespondAndReset(response string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, response) // The client may have disconnected.
		_ = c.SetLinger(0)                 // Makes Close reset the connection.
	}
}
