package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	enginefake "shallotramp/internal/engine/fake"
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
