package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	enginefake "shallotramp/internal/engine/fake"
	"shallotramp/internal/entry/gateway"
	"shallotramp/internal/traffic/scheduler"
)

// TestMismatchedResponseReachesNoCaller guards against a response that reaches the wrong caller. The backend server
// responds to each request with the id and body of another request.
func TestMismatchedResponseReachesNoCaller(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", "of-another-request")
		_, _ = io.WriteString(w, `{"secret":"of another organisation"}`)
	}))
	defer srv.Close()
	g := newTestGateway(t)
	g.set.BackendServers["s"].Address = addr(srv)
	g.publish(2)
	res, body := g.post("/open/x", "", "{}")
	if res.StatusCode < http.StatusInternalServerError || strings.Contains(body, "secret") {
		t.Errorf("got %d %s", res.StatusCode, body)
	}
}

// TestResumedStreamIsExact guards against lost or repeated tokens in resumed streams. Both engines break each stream, so
// it is resumed several times, also after all servers have been tried.
func TestResumedStreamIsExact(t *testing.T) {
	g := newTestGatewayWithPolicy(t, scheduler.New(1))
	g.set.Routes["m"].Retry.Attempts = 8
	g.publish(2)
	for round := range 4 {
		g.engines[0].SetFaults(enginefake.Faults{BreakAfter: 14 + round})
		g.engines[1].SetFaults(enginefake.Faults{BreakAfter: 14 + round})
		prompt := fmt.Sprintf("round %d tokens=40", round)
		_, body := g.post("/v1/chat/completions", secretA, chat(prompt, true))
		var text strings.Builder
		ids := map[string]bool{}
		for _, line := range strings.Split(body, "\n") {
			data, ok := strings.CutPrefix(line, "data: ")
			if ok && data != "[DONE]" {
				text.WriteString(gjson.Get(data, "choices.0.delta.content").String())
				ids[gjson.Get(data, "id").String()] = true
			}
		}
		if text.String() != wantText(prompt, 40) || !strings.HasSuffix(body, "data: [DONE]\n\n") {
			t.Errorf("round %d: got %q, want %q", round, text.String(), wantText(prompt, 40))
		}
		if len(ids) != 1 {
			t.Errorf("round %d: the stream changed its id: %v", round, ids)
		}
	}
}

// TestErrorInsideStream guards against an error response that a caller finds in the middle of its stream: the first engine
// breaks off, and the next one answers with an error.
func TestErrorInsideStream(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusCreated, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			g := newTestGatewayWithPolicy(t, scheduler.New(1))
			g.set.Routes["m"].Retry.Attempts = 3
			var attempts atomic.Int32
			engine := g.engines[0]
			engine.SetFaults(enginefake.Faults{BreakAfter: 5})
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost && attempts.Add(1) > 1 {
					w.WriteHeader(status)
					_, _ = io.WriteString(w, `{"error":"out of order"}`)
					return
				}
				engine.ServeHTTP(w, r)
			}))
			defer srv.Close()
			for _, b := range g.set.BackendServers {
				if b.Pool == "engines" {
					b.Address = addr(srv)
				}
			}
			g.publish(2)
			req, err := http.NewRequest(http.MethodPost, g.url+"/v1/chat/completions", strings.NewReader(chat("tokens=40", true)))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+secretA)
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }() // The body has been read.
			body, err := io.ReadAll(res.Body)
			if err == nil || strings.Contains(string(body), "out of order") || strings.HasSuffix(string(body), "[DONE]\n\n") {
				t.Errorf("the caller got %q, error %v after %d attempts; want the begin of a stream and an error", body, err, attempts.Load())
			}
			if attempts.Load() < 2 {
				t.Errorf("%d attempts, want that the stream is resumed", attempts.Load())
			}
		})
	}
}

// TestTruncatedHead guards against a response whose head the server did not finish, and which a caller gets as a complete
// one with an empty or short body.
func TestTruncatedHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n"
	for n := 1; n <= len(head); n++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 4096))
				_, _ = io.WriteString(c, head[:n])
				_ = c.Close() // The head ends here.
			}
		}()
		g := newTestGateway(t)
		g.set.BackendServers["s"].Address = netip.MustParseAddrPort(l.Addr().String())
		g.publish(2)
		if res, body := g.post("/open/x", "", "{}"); res.StatusCode < http.StatusInternalServerError {
			t.Errorf("a head of %d bytes: the caller got status %d, body %q", n, res.StatusCode, body)
		}
		_ = l.Close() // No request is open.
	}
}

// junkWriter passes on a number of writes and then writes junk, again and again until the caller closes the connection.
type junkWriter struct {
	http.ResponseWriter
	left int
	junk string
}

func (w *junkWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *junkWriter) Write(b []byte) (int, error) {
	if w.left--; w.left >= 0 {
		return w.ResponseWriter.Write(b)
	}
	for {
		if _, err := io.WriteString(w.ResponseWriter, w.junk); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// TestForeignBytesInModelStream guards against bytes that are no event of the engine and that a caller finds in its stream,
// or that keep the stream open until its deadline.
func TestForeignBytesInModelStream(t *testing.T) {
	tests := map[string]string{
		"a stack trace with blank lines":   "panic: index out of range [64]\n\ngoroutine 41 [running]:\nmain.step(0x40)\n\n",
		"an event that is no JSON":         "data: out of order\n\n",
		"an event with an error":           "data: {\"error\":\"out of order\"}\n\n",
		"an event that is no object":       "data: [\"out of order\"]\n\n",
		"an event that ends early":         "data: {\"choices\":[],\"out of order\n\n",
		"a line that is no field":          "out of order\n",
		"blank lines":                      "\n\n",
		"binary zeros":                     "\x00\x00\x00\n\n",
		"text without a line end":          strings.Repeat("out of order ", 100),
		"the head of another response":     "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 12\r\n\r\nout of order",
		"an event with choices of no kind": "data: {\"choices\":\"out of order\"}\n\n",
	}
	for name, junk := range tests {
		t.Run(name, func(t *testing.T) {
			g := newTestGatewayWithPolicy(t, scheduler.New(1))
			g.set.Routes["m"].Retry.Attempts = 3
			var attempts atomic.Int32
			engine := g.engines[0]
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost && attempts.Add(1) == 1 {
					w = &junkWriter{w, 5, junk}
				}
				engine.ServeHTTP(w, r)
			}))
			defer srv.Close()
			for _, b := range g.set.BackendServers {
				if b.Pool == "engines" {
					b.Address = addr(srv)
				}
			}
			g.publish(2)
			prompt := "tokens=40"
			request := strings.Replace(chat(prompt, true), `{`, `{"stream_options":{"include_usage":true},`, 1)
			res, body := g.post("/v1/chat/completions", secretA, request)
			var text strings.Builder
			for _, line := range strings.Split(body, "\n") {
				if data, ok := strings.CutPrefix(line, "data: "); ok && data != "[DONE]" {
					text.WriteString(gjson.Get(data, "choices.0.delta.content").String())
				}
			}
			if res.StatusCode != http.StatusOK || text.String() != wantText(prompt, 40) || !strings.HasSuffix(body, "data: [DONE]\n\n") {
				t.Errorf("status %d, text %q; want %q and a regular end", res.StatusCode, text.String(), wantText(prompt, 40))
			}
			if strings.Contains(body, "out of order") || strings.Contains(body, "panic") {
				t.Errorf("the caller got bytes that are no event: %q", body)
			}
			if n := attempts.Load(); n != 2 {
				t.Errorf("%d attempts, want 2", n)
			}
		})
	}
}

// TestManyBodiesWithoutEnd guards against responses of a failing service that are kept, each up to its limit, until the host
// has no memory left. Each of them is open at the same time.
func TestManyBodiesWithoutEnd(t *testing.T) {
	const (
		requests, bodyBytes = 40, 1 << 20
		bufferBytes         = 8 << 20
	)
	ctx, cancel := context.WithCancel(context.Background())
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", bodyBytes))
		_ = http.NewResponseController(w).Flush()
		select { // More bytes would follow.
		case <-ctx.Done():
		case <-r.Context().Done():
		}
	}))
	defer srv.Close() // Waits for its requests, which end with ctx.
	defer cancel()
	g := newTestGateway(t, gateway.WithLimits(gateway.Limits{BufferBytes: bufferBytes}))
	g.set.BackendServers["s"].Address = addr(srv)
	g.publish(2)
	ended := make(chan int, requests)
	for range requests {
		go func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+"/open/x", strings.NewReader("{}"))
			if err != nil {
				ended <- 0
				return
			}
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				ended <- 0
				return
			}
			_ = res.Body.Close()
			ended <- res.StatusCode
		}()
	}
	open := requests
	for timeout := time.After(10 * time.Second); open*bodyBytes > bufferBytes; {
		select {
		case status := <-ended:
			if open--; status < http.StatusInternalServerError {
				t.Errorf("status %d for a body that does not end", status)
			}
			continue
		case <-timeout:
		}
		break
	}
	if open*bodyBytes > bufferBytes {
		t.Errorf("%d of %d bodies of %d bytes are kept, want at most %d bytes", open, requests, bodyBytes, bufferBytes)
	}
}
