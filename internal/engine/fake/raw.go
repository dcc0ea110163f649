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

// Requests returns the number of requests so far. Each has a connection of its own.
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

// response returns a response with this status and body, and with these header lines before its length.
func response(status, lines, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, lines, len(body), body)
}

// InvalidStatuses returns responses with an invalid status, each with these header lines. A valid response with the body
// follows, which was not sent for any request.
func InvalidStatuses(lines, body string) map[string]string {
	out := map[string]string{}
	for _, status := range []string{"000", "001", "099", "+99", "-00", "101", "600", "999"} {
		out["status "+status] = response(status+" Unknown", lines, "") + response("200 OK", lines, body)
		out["status "+status+" with the body"] = response(status+" Unknown", lines, body)
	}
	return out
}

// InvalidFieldNames returns responses with this body, these header lines and a header field whose name is not valid.
func InvalidFieldNames(lines, body string) map[string]string {
	const ok = "200 OK"
	out := map[string]string{
		"a blank before the colon of a length":    fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length : %d\r\n\r\n%s", ok, lines, len(body), body),
		"a blank before the colon of an encoding": fmt.Sprintf("HTTP/1.1 %s\r\n%sTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", ok, lines, len(body), body),
		"a blank before the first name":           response(ok, " X: 1\r\n"+lines, body),
		"an empty name":                           response(ok, lines+": 1\r\n", body),
		"a line without a colon":                  response(ok, lines+"X\r\n", body),
	}
	for _, char := range []string{" ", "\t", "\x00", "\x01", "\x0b", "\r", "\x1b", "\x7f", "\x80", "\u00a0", "(", "/"} {
		out[fmt.Sprintf("%q inside a name", char)] = response(ok, lines+"X"+char+"Y: 1\r\n", body)
		out[fmt.Sprintf("%q at the end of a name", char)] = response(ok, lines+"X"+char+": 1\r\n", body)
	}
	return out
}

// FoldedHeads returns responses with this body, these header lines and a line that begins with a blank or a tab.
func FoldedHeads(lines, body string) map[string]string {
	const ok, informational = "200 OK", "HTTP/1.1 103 Early Hints\r\n"
	return map[string]string{
		"a blank":                          response(ok, lines+"A: x\r\n X: 1\r\n", body),
		"a tab":                            response(ok, lines+"A: x\r\n\tX: 1\r\n", body),
		"a blank after the first line":     response(ok, "A: x\r\n X: 1\r\n"+lines, body),
		"a length":                         "HTTP/1.1 200 OK\r\n" + lines + "A: x\r\n Content-Length: 2\r\n\r\n" + body,
		"after an informational response":  informational + "A: x\r\n\r\n" + response(ok, lines+"A: x\r\n X: 1\r\n", body),
		"inside an informational response": informational + "A: x\r\n X: 1\r\n\r\n" + response(ok, lines, body),
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
