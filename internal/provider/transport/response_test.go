package transport_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"shallotramp/internal/engine/fake"
	"shallotramp/internal/provider/transport"
)

func newTransport() *http.Transport {
	return &http.Transport{DialContext: transport.Dial(&net.Dialer{})}
}

// testMalformed checks that both transports reject a response and close its connection.
func testMalformed(t *testing.T, response string) {
	t.Helper()
	closed := make(chan struct{}, 1)
	s, err := fake.StartRawServer(func(c *net.TCPConn) {
		fake.Respond(response)(c)
		_, _ = io.Copy(io.Discard, c) // Ends when the client closes the connection.
		closed <- struct{}{}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, rt := range []http.RoundTripper{transport.Checked{Transport: newTransport()}, transport.Transport{Transport: newTransport()}} {
		res, err := rt.RoundTrip(httptest.NewRequest(http.MethodPost, "http://"+s.Addr().String(), nil))
		if err == nil {
			t.Errorf("%T: got the response %v, want an error", rt, res)
			_ = res.Body.Close() // Closes the connection, as the body has not been read.
		}
		select {
		case <-closed:
		case <-time.After(5 * time.Second):
			t.Fatalf("%T: the connection is still open", rt)
		}
	}
}

func TestInvalidStatus(t *testing.T) {
	for name, response := range fake.InvalidStatuses("", "forged") {
		t.Run(name, func(t *testing.T) { testMalformed(t, response) })
	}
	t.Run("status 000 with nothing after it", func(t *testing.T) { testMalformed(t, "HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n") })
}

func TestInvalidFieldNames(t *testing.T) {
	for name, response := range fake.InvalidFieldNames("", "forged") {
		t.Run(name, func(t *testing.T) { testMalformed(t, response) })
	}
}

func TestFoldedHeads(t *testing.T) {
	for name, response := range fake.FoldedHeads("", "forged") {
		t.Run(name, func(t *testing.T) { testMalformed(t, response) })
	}
}

func TestValidResponses(t *testing.T) {
	for name, response := range fake.ValidResponses("") {
		t.Run(name, func(t *testing.T) {
			s, err := fake.StartRawServer(fake.Respond(response))
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			res, err := transport.Checked{Transport: newTransport()}.RoundTrip(httptest.NewRequest(http.MethodPost, "http://"+s.Addr().String(), nil))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }() // The body has been read.
			if body, err := io.ReadAll(res.Body); err != nil || string(body) != "valid" {
				t.Errorf("got the body %q, error %v", body, err)
			}
		})
	}
}
