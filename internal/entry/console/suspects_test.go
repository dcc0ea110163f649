package console

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/traffic/scheduler"
	"shallotramp/internal/traffic/suspect"
)

// holder is a policy with marks made by hand.
type holder struct {
	*scheduler.Policy
	marks *suspect.Tracker
}

func (h holder) Suspects(now time.Time) []suspect.Suspect { return h.marks.Suspects(now) }

func (h holder) Lift(_ time.Time, fp uint64) []dispatch.Effect {
	h.marks.Lift(fp)
	return nil
}

func TestOperatorSeesAndLiftsMarks(t *testing.T) {
	marks := suspect.New()
	for i := range 3 {
		id, server := request.ID(fmt.Sprint(i)), fmt.Sprint("s", i)
		marks.Started(time.Now(), 1<<63+5, id, server)
		marks.Finished(time.Now(), id, request.Result{ID: id, Server: server, Outcome: request.Broken})
	}
	loop := dispatch.NewLoop(holder{scheduler.New(1), marks})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go loop.Run(ctx, done)
	h := SuspectsHandler(loop)
	ask := func(method, url string) (int, string) {
		rec := httptest.NewRecorder()
		h(rec, httptest.NewRequest(method, url, http.NoBody))
		return rec.Code, rec.Body.String()
	}
	if _, body := ask(http.MethodGet, "/suspects"); !strings.Contains(body, `"Fingerprint":"8000000000000005","Own":3,"Total":3`) || !strings.Contains(body, `"Verdict":"Held"`) {
		t.Errorf("listed: %s", body)
	}
	if code, _ := ask(http.MethodDelete, "/suspects?Fingerprint=x"); code != http.StatusBadRequest {
		t.Errorf("a wrong fingerprint gives %d", code)
	}
	if code, _ := ask(http.MethodDelete, "/suspects?Fingerprint=8000000000000005"); code != http.StatusNoContent {
		t.Errorf("lifting gives %d", code)
	}
	if _, body := ask(http.MethodGet, "/suspects"); strings.TrimSpace(body) != "[]" {
		t.Errorf("after lifting: %s", body)
	}
	cancel()
	<-done
}
