package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestExpired guards against a wrong statement about a request whose deadline passes before a server responds. The
// status says that the request has not run, and invites a retry, only if no server can have run it.
func TestExpired(t *testing.T) {
	tests := map[string]struct {
		attempts   int
		mayHaveRun bool
		status     int
		retry      bool
	}{
		"a request that was still queued has not run and may be retried":                         {0, false, http.StatusServiceUnavailable, true},
		"a request whose servers were unreachable or rejected it has not run and may be retried": {2, false, http.StatusServiceUnavailable, true},
		"a request that a server received may have run and gets no Retry-After":                  {1, true, http.StatusGatewayTimeout, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithDeadlineCause(context.Background(), time.Now(), errTimeout)
			defer cancel()
			<-ctx.Done()
			w := httptest.NewRecorder()
			tx := &transaction{proxy: New("z", nil, nil), w: w, ctx: ctx, arrived: time.Now(), attempts: test.attempts, mayHaveRun: test.mayHaveRun}
			tx.handleContextEnd()
			if w.Code != test.status || (w.Header().Get("Retry-After") != "") != test.retry {
				t.Fatalf("status %d, Retry-After %q; want %d", w.Code, w.Header().Get("Retry-After"), test.status)
			}
		})
	}
}
