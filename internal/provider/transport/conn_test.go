package transport_test

import (
	"io"
	"net"
	"testing"
	"time"

	"shallotramp/internal/engine/fake"
	"shallotramp/internal/provider/transport"
)

// TestEndOfConnection guards against a reset that looks like the end of the server's bytes because a write has got the error.
func TestEndOfConnection(t *testing.T) {
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) } // Makes Close, which follows, reset the connection.
	tests := map[string]struct {
		end     func(c *net.TCPConn)
		wantErr bool
	}{
		"a reset": {reset, true},
		"an end after which the server reads on": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c) // Ends when the client closes the connection.
		}, false},
		"an end after which the server does not read": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
		}, false},
		"an end with a reset right after it": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			reset(c)
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := fake.StartRawServer(func(c *net.TCPConn) {
				if _, err := c.Read(make([]byte, 1)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "bytes") // The client may have disconnected.
				test.end(c)
			})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			for range 20 {
				c, err := transport.Dial(&net.Dialer{})(t.Context(), "tcp4", s.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				written := make(chan error, 1)
				go func() {
					_, err := c.Write(make([]byte, 16<<20))
					written <- err
				}()
				time.Sleep(5 * time.Millisecond) // Lets the write fail first.
				got, err := io.ReadAll(c)
				if (err != nil) != test.wantErr || string(got) != "bytes" {
					t.Errorf("read %q, error %v; want an error: %t", got, err, test.wantErr)
				}
				_ = c.Close() // Ends the write.
				<-written
			}
		})
	}
}
