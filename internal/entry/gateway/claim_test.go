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

// withClaims returns an option with a running book on st, like that of a host.
func withClaims(t testing.TB, st *fake.Store, host string) gateway.Option {
	t.Helper()
	cfg := claim.DefaultConfig()
	cfg.ClaimTimeout, cfg.ReleaseTimeout, cfg.WaitTimeout = time.Second, time.Second, time.Second
	b := claim.NewClaimer(st, host, claim.WithConfig(cfg))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go b.Run(ctx, done)
	t.Cleanup(func() { cancel(); <-done })
	return gateway.WithClaims(b)
}

// twoHosts returns two gateways that share the platform and the first one's service.
func twoHosts(t *testing.T) (st *fake.Store, a, b *bench) {
	st = fake.NewStore()
	a = newBench(t, withClaims(t, st, "a"))
	b = newBench(t, withClaims(t, st, "b"))
	b.set.BackendServers["s"] = a.set.BackendServers["s"]
	b.publish(2)
	return st, a, b
}

func (b *bench) book(key, body string) (*http.Response, string) {
	b.t.Helper()
	return b.post("/book/slot", secretA, body, "Idempotency-Key", key)
}

func ran(res *http.Response) string { return res.Header.Get("X-Request-Ran") }

func TestResendToAnotherHostGetsTheRecordedOutcome(t *testing.T) {
	_, a, b := twoHosts(t)
	first, body := a.book("k", "wardrobe")
	again, bodyAgain := b.book("k", "wardrobe")
	if first.StatusCode != http.StatusCreated || again.StatusCode != http.StatusCreated || body != bodyAgain {
		t.Errorf("first %d %q, again %d %q", first.StatusCode, body, again.StatusCode, bodyAgain)
	}
	if again.Header.Get("Idempotent-Replayed") != "true" || again.Header.Get("Content-Type") != first.Header.Get("Content-Type") {
		t.Errorf("headers of the recorded answer: %v", again.Header)
	}
	other, _ := b.book("k", "cot")
	if other.StatusCode != http.StatusConflict {
		t.Errorf("the same key with another body got %d", other.StatusCode)
	}
	a.mustHaveRun(1)
}

func TestLostAnswerMayHaveRun(t *testing.T) {
	_, a, b := twoHosts(t)
	a.service.SetFaults(enginefake.ServiceFaults{LoseAnswers: 1})
	for i, host := range []*bench{a, b, a} {
		res, _ := host.book("k", "wardrobe")
		if ran(res) != "may have run" {
			t.Errorf("request %d: %d %s", i, res.StatusCode, ran(res))
		}
	}
	a.mustHaveRun(1)
}

func TestRefusedConnectionIsNotRunAndSetsTheKeyFree(t *testing.T) {
	_, a, b := twoHosts(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := *a.set.BackendServers["s"]
	nobody.Address = netip.MustParseAddrPort(ln.Addr().String())
	_ = ln.Close()
	somebody := b.set.BackendServers["s"]
	a.set.BackendServers["s"] = &nobody
	a.publish(3)
	res, text := a.post("/book/slot", secretA, "wardrobe", "Idempotency-Key", "k", "X-Request-Timeout", "2s")
	if ran(res) != "not run" {
		t.Errorf("got %d %s %s", res.StatusCode, ran(res), text)
	}
	b.set.BackendServers["s"] = somebody
	b.publish(3)
	b.mustBook("the resend")
	a.mustHaveRun(1)
}

// mustHaveRun checks how often the service ran the call with the key "k".
func (b *bench) mustHaveRun(want int) {
	b.t.Helper()
	if n := b.service.Runs()["k"]; n != want {
		b.t.Errorf("ran %d times, want %d", n, want)
	}
}

// mustBook sends the call with the key "k" and checks that it is answered as run.
func (b *bench) mustBook(what string) {
	b.t.Helper()
	if res, text := b.book("k", "wardrobe"); res.StatusCode != http.StatusCreated {
		b.t.Errorf("%s got %d %s", what, res.StatusCode, text)
	}
}

func TestNothingIsSentWithoutAClaim(t *testing.T) {
	st, a, _ := twoHosts(t)
	st.SetFaults(fake.Faults{Down: true})
	res, _ := a.book("k", "wardrobe")
	if res.StatusCode != http.StatusServiceUnavailable || ran(res) != "may have run" || res.Header.Get("Retry-After") == "" {
		t.Errorf("got %d %s", res.StatusCode, ran(res))
	}
	a.mustHaveRun(0)
	st.SetFaults(fake.Faults{LoseAnswers: 3})
	a.mustBook("after the outage, with lost answers")
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
		t.Fatal("the caller did not leave")
	}
	b.mustBook("the resend, which waits for the outcome,")
	a.mustHaveRun(1)
}

func TestDeadlineOfAResendThatWaits(t *testing.T) {
	_, a, b := twoHosts(t)
	a.service.SetFaults(enginefake.ServiceFaults{Delay: 500 * time.Millisecond})
	done := make(chan int, 1)
	go func() {
		res, _ := a.book("k", "wardrobe")
		done <- res.StatusCode
	}()
	for len(a.service.Seen()) == 0 {
		time.Sleep(time.Millisecond)
	}
	res, text := b.post("/book/slot", secretA, "wardrobe", "Idempotency-Key", "k", "X-Request-Timeout", "0.1")
	// The wait and the request end at the same time; whichever is told first tells the same of the run.
	if s := res.StatusCode; s != http.StatusGatewayTimeout && s != http.StatusConflict || ran(res) != "may have run" {
		t.Errorf("got %d %s %s", res.StatusCode, ran(res), text)
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
			res, text := []*bench{a, b}[i%2].book("k", "wardrobe")
			if res.StatusCode != http.StatusCreated {
				t.Errorf("got %d %s", res.StatusCode, text)
			}
		})
	}
	wg.Wait()
	a.mustHaveRun(1)
}

// closingServer answers the first call of a connection and closes the connection after it has read the
// second, which is where a client resends what it takes for replayable.
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
	for what, body := range map[string]string{"with a body": "wardrobe", "without a body": ""} {
		t.Run(what, func(t *testing.T) {
			s := newClosingServer(t)
			b := newBench(t, withClaims(t, fake.NewStore(), "a"))
			server := *b.set.BackendServers["s"]
			server.Address = netip.MustParseAddrPort(s.ln.Addr().String())
			b.set.BackendServers["s"] = &server
			b.publish(2)
			if res, text := b.book("first", body); res.StatusCode != http.StatusCreated {
				t.Fatalf("got %d %s", res.StatusCode, text)
			}
			res, _ := b.book("broken", body)
			if ran(res) != "may have run" {
				t.Errorf("told %q", ran(res))
			}
			if n := s.deliveries("broken"); n != 1 {
				t.Errorf("delivered %d times", n)
			}
		})
	}
}

func TestThePlainTransportResendsACall(t *testing.T) {
	// This is why calls that run at most once have a transport of their own.
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
		t.Errorf("delivered %d times: the server no longer provokes a resend", n)
	}
}
