package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/route"
)

// TestBodyWithoutEnd guards against a body that was cut off at the limit and then sent to the caller as a complete
// answer.
func TestBodyWithoutEnd(t *testing.T) {
	tests := map[string]struct{ head, repeated string }{
		"a body that ends with its connection": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", strings.Repeat("x", 64<<10)},
		"a chunked body":                       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"},
		"a body of a false length":             {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", strings.Repeat("x", 64<<10)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, _ = fmt.Fprint(c, test.head)
				for err == nil {
					_, err = io.WriteString(c, test.repeated)
				}
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			w := httptest.NewRecorder()
			tx := &transaction{proxy: New("z", nil, nil), w: w, ctx: ctx, arrived: time.Now(), route: &route.Route{Kind: route.Unsafe}}
			conn, err := tx.proxy.pool.Get(ctx, netip.MustParseAddrPort(l.Addr().String()), true)
			if err != nil {
				t.Fatal(err)
			}
			req := httptest.NewRequest(http.MethodPost, "http://a.example/x", nil)
			resp, err := conn.Do(ctx, req, nil, func(*http.Response) bool { return true })
			if err != nil {
				t.Fatal(err)
			}
			outcome, done := tx.forwardBuffered(conn, resp, ResponseHeaders{Sealed: true})
			if outcome != request.Broken || done {
				t.Errorf("outcome %s, done %t; want %s and a decision of the policy", outcome, done, request.Broken)
			}
			if n := w.Body.Len(); n > 0 {
				t.Errorf("the caller got %d bytes of a body that does not end", n)
			}
		})
	}
}
