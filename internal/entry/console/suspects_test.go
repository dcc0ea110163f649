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

// markedPolicy is a scheduling policy whose marks are set by the test.
type markedPolicy struct {
	*scheduler.Policy
	marks *suspect.Tracker
}

func (p markedPolicy) Suspects(now time.Time) []suspect.Suspect { return p.marks.Suspects(now) }

func (p markedPolicy) Lift(_ time.Time, fp uint64) []dispatch.Effect {
	p.marks.Lift(fp)
	return nil
}

// TestOperatorSeesAndLiftsMarks lists a marked request, lifts its mark and checks that the list is empty.
func TestOperatorSeesAndLiftsMarks(t *testing.T) {
	marks := suspect.New()
	for i := range 3 {
		id, server := request.ID(fmt.Sprint(i)), fmt.Sprint("s", i)
		marks.Started(time.Now(), 1<<63+5, id, server)
		marks.Finished(time.Now(), id, request.Result{ID: id, Server: server, Outcome: request.Broken})
	}
	loop := dispatch.NewLoop(markedPolicy{scheduler.New(1), marks})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go loop.Run(ctx, done)
	h := SuspectsHandler(loop)
	call := func(method, url string) (int, string) {
		rec := httptest.NewRecorder()
		h(rec, httptest.NewRequest(method, url, http.NoBody))
		return rec.Code, rec.Body.String()
	}
	if _, body := call(http.MethodGet, "/suspects"); !strings.Contains(body, `"Fingerprint":"8000000000000005","Own":3,"Total":3`) || !strings.Contains(body, `"Verdict":"Held"`) {
		t.Errorf("list of marked requests: %s", body)
	}
	if code, _ := call(http.MethodDelete, "/suspects?Fingerprint=x"); code != http.StatusBadRequest {
		t.Errorf("DELETE with an invalid fingerprint returns %d", code)
	}
	if code, _ := call(http.MethodDelete, "/suspects?Fingerprint=8000000000000005"); code != http.StatusNoContent {
		t.Errorf("DELETE of a mark returns %d", code)
	}
	if _, body := call(http.MethodGet, "/suspects"); strings.TrimSpace(body) != "[]" {
		t.Errorf("list after the DELETE: %s", body)
	}
	cancel()
	<-done
}
