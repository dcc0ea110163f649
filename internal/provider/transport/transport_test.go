package transport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/provider/transport"
)

// TestSilentConnections guards against a client that needs one timeout for each idle connection after all have fallen
// silent.
func TestSilentConnections(t *testing.T) {
	const (
		idle = 4
		// shortTimeout is for the call that has to time out, longTimeout for those that have to succeed.
		shortTimeout = 200 * time.Millisecond
		longTimeout  = 20 * time.Second
	)
	var silent atomic.Bool
	var together sync.WaitGroup
	together.Add(idle)
	type wasOpen struct{}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if opened := !silent.Load(); opened {
			// All first calls are open at once, so that each has its own connection.
			together.Done()
			together.Wait()
		} else if r.Context().Value(wasOpen{}) == true {
			<-r.Context().Done()
		}
	}))
	srv.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, wasOpen{}, !silent.Load())
	}
	srv.Start()
	defer srv.Close()
	client := &http.Client{Transport: transport.Transport{Transport: &http.Transport{MaxIdleConnsPerHost: idle}}}
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL, nil)
		if err != nil {
			return err
		}
		res, err := client.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = res.Body.Close() }() // The body is empty.
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	var opened sync.WaitGroup
	for range idle {
		opened.Go(func() {
			if err := call(longTimeout); err != nil {
				t.Error(err)
			}
		})
	}
	opened.Wait()
	silent.Store(true)
	if err := call(shortTimeout); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("the first call on a silent connection: %v, want a timeout", err)
	}
	if err := call(longTimeout); err != nil {
		t.Fatalf("the call after the timeout: %v, want a new connection", err)
	}
}
