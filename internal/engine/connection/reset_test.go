package connection_test

import (
	"testing"

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
				if body, _, err := roundTrip(t.Context(), newPool(new(int)), s.Addr(), "a", make([]byte, 8<<20), true); err == nil {
					t.Errorf("the body %q counts as complete", body)
				}
			}
		})
	}
}
