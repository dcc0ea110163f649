package transport

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"

	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status that RFC 9110, section 15, defines as valid.
const maxStatus = 599

// MalformedError reports a response that net/http accepts although it is not valid HTTP/1.1.
type MalformedError struct{ What string }

func (e *MalformedError) Error() string {
	return "malformed response: " + e.What + "; check the server that sent it"
}

// CheckHead returns a [MalformedError] if the head of an informational or final response is not valid. Status 101 is not
// valid either, as no request asks for another protocol.
func CheckHead(res *http.Response) error {
	if res.StatusCode < http.StatusContinue || res.StatusCode > maxStatus || res.StatusCode == http.StatusSwitchingProtocols {
		return &MalformedError{fmt.Sprintf("status %03d", res.StatusCode)}
	}
	for name := range res.Header {
		// net/http keeps names that hold blanks. It does not recognise such a length or encoding.
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedError{fmt.Sprintf("field name %q", name)}
		}
	}
	return nil
}

// Checked is an [http.Transport] that returns an error for a response whose head is not valid, and closes its connection. With
// [Dial] it also rejects folded header lines, but for connections with TLS, and notices resets.
type Checked struct{ *http.Transport }

// RoundTrip implements [http.RoundTripper].
func (t Checked) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		conn = i.Conn
		if c, ok := conn.(*Conn); ok {
			_ = c.ExpectHead(nil) // Without bytes there is no error.
		}
	}})
	res, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(res); err != nil {
		// The connection may be idle already, and the bytes that follow on it belong to no request.
		_ = conn.Close()
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}
