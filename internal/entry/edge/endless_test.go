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

// TestManyBodiesWithoutEnd guards against responses of failing servers that are kept, each up to its limit, until the host
// has no memory left. Each of them is open at the same time.
func TestManyBodiesWithoutEnd(t *testing.T) {
	const (
		requests, bodyBytes = 40, 1000 << 10
		bufferBytes         = 8 << 20
	)
	tests := map[string]string{
		"failures":                "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n\r\n",
		"successes":               "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"a stream of one event":   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: ",
		"a stream of many events": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: ",
	}
	for name, head := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						_, _ = io.WriteString(c, head)
						for range bodyBytes / 4096 {
							if _, err := io.WriteString(c, strings.Repeat("x", 4096)); err != nil {
								break
							}
						}
						<-ctx.Done() // Until then the connection stays open, as if more bytes followed.
						_ = c.Close()
					}()
				}
			}()
			p := New("z", noFields{}, nil, WithBufferBytes(bufferBytes))
			kind := route.Unsafe
			if strings.Contains(name, "stream") {
				kind = route.Stream
			}
			ended := make(chan struct{}, requests)
			for range requests {
				go func() {
					defer func() { ended <- struct{}{} }()
					tx := &transaction{proxy: p, w: httptest.NewRecorder(), ctx: ctx, arrived: time.Now(), route: &route.Route{Kind: kind}, usageCounted: true}
					conn, err := p.pool.Get(ctx, netip.MustParseAddrPort(l.Addr().String()), true)
					if err != nil {
						return
					}
					resp, err := conn.Do(ctx, httptest.NewRequest(http.MethodPost, "http://a.example/x", nil), nil, func(*http.Response) bool { return true })
					if err != nil {
						return
					}
					if kind == route.Stream {
						tx.headerSent = true // The event loop of this test is nil.
						_, _ = tx.copyEvents(resp)
						return
					}
					_, _ = tx.forwardBuffered(conn, resp, ResponseHeaders{Sealed: true})
				}()
			}
			// The bodies that the proxy keeps are those of the requests that have not ended.
			open := requests
			for timeout := time.After(10 * time.Second); open*bodyBytes > bufferBytes; {
				select {
				case <-ended:
					open--
					continue
				case <-timeout:
				}
				break
			}
			cancel()
			if open*bodyBytes > bufferBytes {
				t.Errorf("%d of %d bodies of %d bytes are kept, want at most %d bytes", open, requests, bodyBytes, bufferBytes)
			}
			for ; open > 0; open-- {
				<-ended
			}
		})
	}
}

// noFields is a codec of a platform whose events have the standard fields only.
type noFields struct{ Codec }

func (noFields) EventFields() []string { return nil }
