package connection_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/engine/connection"
)

// serve starts a server that passes each connection and its number, from 1, to handle.
func serve(t *testing.T, handle func(n int, c net.Conn, br *bufio.Reader)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// writeResponse writes a response to the request with the given id.
func writeResponse(c net.Conn, id, body string, headers ...string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), strings.Join(headers, ""), body)
}

// readRequest reads one request with its body and returns its id.
func readRequest(br *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(br)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id"), err
}

// roundTrip sends one request through the pool and returns the response body.
func roundTrip(ctx context.Context, p *connection.Pool, addr netip.AddrPort, id string, body []byte, fresh bool) (string, *connection.Conn, error) {
	c, err := p.Get(ctx, addr, fresh)
	if err != nil {
		return "", nil, err
	}
	req := &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{"Id": {id}}}
	res, err := c.Do(ctx, req, body, func(r *http.Response) bool { return r.Header.Get("Id") == id })
	if err != nil {
		return "", c, err
	}
	raw, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil {
		c.Close()
		return "", c, err
	}
	p.Put(c)
	return string(raw), c, nil
}

// newPool returns a pool that counts its dials in *dials.
func newPool(dials *int) *connection.Pool {
	return connection.NewPool(func(netip.AddrPort, error) { *dials++ })
}

func TestReuse(t *testing.T) {
	echo := func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			id, err := readRequest(br)
			if err != nil {
				return
			}
			writeResponse(c, id, "to "+id)
		}
	}
	tests := map[string]struct {
		handle func(n int, c net.Conn, br *bufio.Reader)
		dials  int
	}{
		"a clean connection is reused": {echo, 1},
		"a connection with the header Connection: close is not reused": {func(_ int, c net.Conn, br *bufio.Reader) {
			if id, err := readRequest(br); err == nil {
				writeResponse(c, id, "to "+id, "Connection: close\r\n")
			}
		}, 2},
		"a connection that the server has closed is not reused": {func(_ int, c net.Conn, br *bufio.Reader) {
			if id, err := readRequest(br); err == nil {
				writeResponse(c, id, "to "+id)
			}
		}, 2},
		"a connection with bytes after the response is not reused": {func(n int, c net.Conn, br *bufio.Reader) {
			if n > 1 {
				echo(n, c, br)
				return
			}
			if id, err := readRequest(br); err == nil {
				writeResponse(c, id, "to "+id)
				writeResponse(c, "stray", "to nobody")
				_, _ = readRequest(br)
			}
		}, 2},
		"a connection with a Keep-Alive timeout of zero is not reused": {func(_ int, c net.Conn, br *bufio.Reader) {
			for {
				id, err := readRequest(br)
				if err != nil {
					return
				}
				writeResponse(c, id, "to "+id, "Keep-Alive: timeout=0\r\n")
			}
		}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, test.handle)
			dials := 0
			p := newPool(&dials)
			for _, id := range []string{"a", "b"} {
				got, _, err := roundTrip(context.Background(), p, addr, id, []byte("body"), false)
				if err != nil || got != "to "+id {
					t.Fatalf("request %s got %q, error %v", id, got, err)
				}
				// Give an unexpected response or the server's close time to arrive.
				time.Sleep(20 * time.Millisecond)
			}
			if dials != test.dials {
				t.Fatalf("%d connections, want %d", dials, test.dials)
			}
		})
	}
}

func TestLateAnswerOfAnotherRequest(t *testing.T) {
	convey.Convey("A response to an earlier request is discarded", t, func() {
		addr := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
			if id, err := readRequest(br); err == nil {
				writeResponse(c, "earlier", "not yours")
				writeResponse(c, id, "yours")
			}
		})
		dials := 0
		got, _, err := roundTrip(context.Background(), newPool(&dials), addr, "a", nil, false)
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldEqual, "yours")
	})
}

func TestEarlyAnswer(t *testing.T) {
	convey.Convey("A connection on which the server responds before it has read a long body", t, func() {
		addr := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
			if _, err := br.ReadString('\n'); err == nil {
				writeResponse(c, "a", "too long")
				time.Sleep(50 * time.Millisecond)
			}
		})
		dials := 0
		p := newPool(&dials)
		got, _, err := roundTrip(context.Background(), p, addr, "a", make([]byte, 8<<20), false)
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldEqual, "too long")
		convey.Convey("is not reused while that body is still being written", func() {
			_, _, _ = roundTrip(context.Background(), p, addr, "a", nil, false)
			convey.So(dials, convey.ShouldEqual, 2)
		})
	})
}

func TestErrors(t *testing.T) {
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unused := netip.MustParseAddrPort(closed.Addr().String())
	_ = closed.Close()
	silent := serve(t, func(_ int, _ net.Conn, br *bufio.Reader) { _, _ = readRequest(br); _, _ = readRequest(br) })
	garbage := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
		_, _ = readRequest(br)
		_, _ = io.WriteString(c, "no answer\r\n\r\n")
	})
	broken := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
		_, _ = readRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 100\r\n\r\nhalf")
	})
	tests := map[string]struct {
		addr netip.AddrPort
		sent bool
	}{
		"no server listens":                              {unused, false},
		"the server never responds":                      {silent, true},
		"the response is not HTTP":                       {garbage, true},
		"the connection closes within the response body": {broken, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			dials := 0
			got, _, err := roundTrip(ctx, newPool(&dials), test.addr, "a", nil, false)
			if err == nil {
				t.Fatalf("got %q without an error", got)
			}
			var e *connection.Error
			if errors.As(err, &e) && e.Sent != test.sent {
				t.Fatalf("%v: sent %t, want %t", err, e.Sent, test.sent)
			}
		})
	}
}

func TestPrune(t *testing.T) {
	convey.Convey("Idle connections to a server that was removed are closed", t, func() {
		readErr := make(chan error, 1)
		addr := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
			if id, err := readRequest(br); err == nil {
				writeResponse(c, id, "x")
				_, err := br.ReadByte()
				readErr <- err
			}
		})
		dials := 0
		p := newPool(&dials)
		_, _, err := roundTrip(context.Background(), p, addr, "a", nil, false)
		convey.So(err, convey.ShouldBeNil)
		p.Prune(time.Now(), slices.Values([]netip.AddrPort{netip.MustParseAddrPort("10.0.0.9:1")}))
		convey.So(<-readErr, convey.ShouldEqual, io.EOF)
	})
}

func BenchmarkRequest(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	addr := netip.MustParseAddrPort(l.Addr().String())
	b.Run("pool", func(b *testing.B) {
		dials := 0
		p := newPool(&dials)
		b.ReportAllocs()
		for b.Loop() {
			if _, _, err := roundTrip(context.Background(), p, addr, "a", nil, false); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("net/http's transport", func(b *testing.B) {
		c := &http.Client{Transport: &http.Transport{}}
		b.ReportAllocs()
		for b.Loop() {
			res, err := c.Post("http://"+addr.String()+"/x", "text/plain", nil)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	})
}
