package connection_test

import (
	"io"
	"net/http"
	"net/url"
	"testing"
	"time"

	"shallotramp/internal/engine/fake"
)

// TestResetDuringUpload guards against a response without a length that looks complete although its connection was reset.
// The kernel reports a reset once: the write of the request body takes the error, and the next read sees an ordinary end.
func TestResetDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\n"
	tests := map[string]string{
		"neither a length nor chunks": head + "\r\npart",
		"a length":                    head + "Content-Length: 100\r\n\r\npart",
		"chunks":                      head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"a head that does not end":    head,
	}
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := fake.StartRawServer(fake.RespondAndReset(response))
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			for range 20 {
				c, err := newPool(new(int)).Get(t.Context(), s.Addr(), true)
				if err != nil {
					t.Fatal(err)
				}
				req := &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{"Id": {"a"}}}
				res, err := c.Do(t.Context(), req, make([]byte, 8<<20), func(*http.Response) bool { return true })
				if err != nil {
					continue // The read of the head has seen the reset.
				}
				time.Sleep(5 * time.Millisecond) // Lets the write fail first.
				if body, err := io.ReadAll(res.Body); err == nil {
					t.Errorf("the body %q counts as complete", body)
				}
				_ = res.Body.Close() // ReadAll has returned the error.
			}
		})
	}
}
