package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	enginefake "shallotramp/internal/engine/fake"
	"shallotramp/internal/entry/gateway"
	"shallotramp/internal/provider/fake"
	"shallotramp/internal/traffic/claim"
)

// withClaims returns an option that stores claims in store, as the given host does.
func withClaims(t testing.TB, store *fake.Store, host string) gateway.Option {
	t.Helper()
	cfg := claim.DefaultConfig()
	cfg.ClaimTimeout, cfg.ReleaseTimeout, cfg.WaitTimeout = time.Second, time.Second, time.Second
	claimer := claim.NewClaimer(store, host, claim.WithConfig(cfg))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go claimer.Run(ctx, done)
	t.Cleanup(func() { cancel(); <-done })
	return gateway.WithClaims(claimer)
}

// twoHosts returns two gateways that share the claim store and the service of the first one.
func twoHosts(t *testing.T) (store *fake.Store, a, b *testGateway) {
	store = fake.NewStore()
	a = newTestGateway(t, withClaims(t, store, "a"))
	b = newTestGateway(t, withClaims(t, store, "b"))
	b.set.BackendServers["s"] = a.set.BackendServers["s"]
	b.publish(2)
	return store, a, b
}

// postBooking sends a non-idempotent call with an Idempotency-Key.
func (g *testGateway) postBooking(key, body string) (*http.Response, string) {
	g.t.Helper()
	return g.post("/book/slot", secretA, body, "Idempotency-Key", key)
}

// ranHeader returns what the response says about whether the call ran.
func ranHeader(res *http.Response) string { return res.Header.Get("X-Request-Ran") }

func TestResendToAnotherHostGetsTheRecordedOutcome(t *testing.T) {
	_, a, b := twoHosts(t)
	first, body := a.postBooking("k", "wardrobe")
	again, bodyAgain := b.postBooking("k", "wardrobe")
	if first.StatusCode != http.StatusCreated || again.StatusCode != http.StatusCreated || body != bodyAgain {
		t.Errorf("first %d %q, again %d %q", first.StatusCode, body, again.StatusCode, bodyAgain)
	}
	if again.Header.Get("Idempotent-Replayed") != "true" || again.Header.Get("Content-Type") != first.Header.Get("Content-Type") {
		t.Errorf("headers of the recorded response: %v", again.Header)
	}
	other, _ := b.postBooking("k", "cot")
	if other.StatusCode != http.StatusConflict {
		t.Errorf("the same key with another body got %d", other.StatusCode)
	}
	a.checkRuns(1)
}

func TestLostAnswerMayHaveRun(t *testing.T) {
	_, a, b := twoHosts(t)
	a.service.SetFaults(enginefake.ServiceFaults{LoseAnswers: 1})
	for i, host := range []*testGateway{a, b, a} {
		res, _ := host.postBooking("k", "wardrobe")
		if ranHeader(res) != "may have run" {
			t.Errorf("request %d: %d %s", i, res.StatusCode, ranHeader(res))
		}
	}
	a.checkRuns(1)
}

func TestRefusedConnectionIsNotRunAndReleasesTheKey(t *testing.T) {
	_, a, b := twoHosts(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := *a.set.BackendServers["s"]
	unreachable.Address = netip.MustParseAddrPort(ln.Addr().String())
	_ = ln.Close()
	reachable := b.set.BackendServers["s"]
	a.set.BackendServers["s"] = &unreachable
	a.publish(3)
	res, text := a.post("/book/slot", secretA, "wardrobe", "Idempotency-Key", "k", "X-Request-Timeout", "2s")
	if ranHeader(res) != "not run" {
		t.Errorf("got %d %s %s", res.StatusCode, ranHeader(res), text)
	}
	b.set.BackendServers["s"] = reachable
	b.publish(3)
	b.checkBooked("the resent request")
	a.checkRuns(1)
}

// checkRuns checks how often the service ran the call with the Idempotency-Key "k".
func (g *testGateway) checkRuns(want int) {
	g.t.Helper()
	if n := g.service.Runs()["k"]; n != want {
		g.t.Errorf("ran %d times, want %d", n, want)
	}
}

// checkBooked sends the call with the Idempotency-Key "k" and checks that its response is that of a call that ran.
func (g *testGateway) checkBooked(request string) {
	g.t.Helper()
	if res, text := g.postBooking("k", "wardrobe"); res.StatusCode != http.StatusCreated {
		g.t.Errorf("%s got %d %s", request, res.StatusCode, text)
	}
}

func TestNothingIsSentWithoutAClaim(t *testing.T) {
	store, a, _ := twoHosts(t)
	store.SetFaults(fake.Faults{Down: true})
	res, _ := a.postBooking("k", "wardrobe")
	if res.StatusCode != http.StatusServiceUnavailable || ranHeader(res) != "may have run" || res.Header.Get("Retry-After") == "" {
		t.Errorf("got %d %s", res.StatusCode, ranHeader(res))
	}
	a.checkRuns(0)
	store.SetFaults(fake.Faults{LoseAnswers: 3})
	a.checkBooked("the request after the outage, with lost responses of the store,")
}

func TestOutcomeIsRecordedWhenTheCallerHasLeft(t *testing.T) {
	_, a, b := twoHosts(t)
	a.service.SetFaults(enginefake.ServiceFaults{Delay: 300 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, a.url+"/book/slot", strings.NewReader("wardrobe"))
	req.Header.Set("Authorization", "Bearer "+secretA)
	req.Header.Set("Idempotency-Key", "k")
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Fatal("the request completed before the caller disconnected")
	}
	b.checkBooked("the resent request, which waits for the outcome,")
	a.checkRuns(1)
}

func TestDeadlineOfAResendThatWaits(t *testing.T) {
	_, a, b := twoHosts(t)
	a.service.SetFaults(enginefake.ServiceFaults{Delay: 500 * time.Millisecond})
	done := make(chan int, 1)
	go func() {
		res, _ := a.postBooking("k", "wardrobe")
		done <- res.StatusCode
	}()
	for len(a.service.Requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	res, text := b.post("/book/slot", secretA, "wardrobe", "Idempotency-Key", "k", "X-Request-Timeout", "0.1")
	// The wait for the first request and the deadline of the second end at about the same time. Whichever comes
	// first, the response must say that the call may have run.
	if s := res.StatusCode; s != http.StatusGatewayTimeout && s != http.StatusConflict || ranHeader(res) != "may have run" {
		t.Errorf("got %d %s %s", res.StatusCode, ranHeader(res), text)
	}
	if status := <-done; status != http.StatusCreated {
		t.Errorf("the first request got %d", status)
	}
}

func TestResendsAtOnceRunOnce(t *testing.T) {
	_, a, b := twoHosts(t)
	a.service.SetFaults(enginefake.ServiceFaults{Delay: 50 * time.Millisecond})
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			res, text := []*testGateway{a, b}[i%2].postBooking("k", "wardrobe")
			if res.StatusCode != http.StatusCreated {
				t.Errorf("got %d %s", res.StatusCode, text)
			}
		})
	}
	wg.Wait()
	a.checkRuns(1)
}

// closingServer serves up to two requests per connection. After it has read a request with the Idempotency-Key
// "broken", it closes the connection without a response. If that was the second request of the connection, an HTTP
// client retries it when it takes it for replayable.
type closingServer struct {
	ln   net.Listener
	mu   sync.Mutex
	seen map[string]int
}

func newClosingServer(t *testing.T) *closingServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &closingServer{ln: ln, seen: map[string]int{}}
	t.Cleanup(func() { _ = ln.Close() })
	go s.accept()
	return s
}

func (s *closingServer) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *closingServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		key := req.Header.Get("Idempotency-Key")
		s.mu.Lock()
		s.seen[key]++
		s.mu.Unlock()
		if key == "broken" {
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (s *closingServer) deliveries(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[key]
}

func TestTransportNeverResendsACall(t *testing.T) {
	for name, body := range map[string]string{"with a body": "wardrobe", "without a body": ""} {
		t.Run(name, func(t *testing.T) {
			s := newClosingServer(t)
			g := newTestGateway(t, withClaims(t, fake.NewStore(), "a"))
			server := *g.set.BackendServers["s"]
			server.Address = netip.MustParseAddrPort(s.ln.Addr().String())
			g.set.BackendServers["s"] = &server
			g.publish(2)
			if res, text := g.postBooking("first", body); res.StatusCode != http.StatusCreated {
				t.Fatalf("got %d %s", res.StatusCode, text)
			}
			res, _ := g.postBooking("broken", body)
			if ranHeader(res) != "may have run" {
				t.Errorf("X-Request-Ran is %q, want \"may have run\"", ranHeader(res))
			}
			if n := s.deliveries("broken"); n != 1 {
				t.Errorf("the call was delivered %d times, want once", n)
			}
		})
	}
}

func TestThePlainTransportResendsACall(t *testing.T) {
	// The standard transport retries a request with an Idempotency-Key. This is why calls that must run at most
	// once use a separate transport.
	s := newClosingServer(t)
	client := &http.Client{Transport: &http.Transport{}}
	for _, key := range []string{"first", "broken"} {
		req, _ := http.NewRequest(http.MethodPost, "http://"+s.ln.Addr().String()+"/", bytes.NewReader([]byte("wardrobe")))
		req.Header.Set("Idempotency-Key", key)
		if res, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	}
	if n := s.deliveries("broken"); n < 2 {
		t.Errorf("delivered %d times: the test server no longer makes the client retry", n)
	}
}
