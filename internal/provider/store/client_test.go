package store_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"shallotramp/internal/provider/fake"
	"shallotramp/internal/provider/store"
)

func specWithValue(s string) json.RawMessage { return json.RawMessage(`{"V":"` + s + `"}`) }

// TestClientAgainstFake makes each call over HTTP to a fake of the platform. It guards against a client that maps a
// response to the wrong reason, or treats a write whose response was lost as rejected.
func TestClientAgainstFake(t *testing.T) {
	st := fake.NewStore()
	srv := httptest.NewServer(st.Handler())
	defer srv.Close()
	c := store.NewClient(srv.URL)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	watch, err := c.Watch(ctx, "Thing", "a", "")
	if err != nil {
		t.Fatal(err)
	}
	a, err := c.Create(ctx, store.Object{Kind: "Thing", Name: "a", Spec: specWithValue("1")})
	if err != nil || a.Version == "" {
		t.Fatalf("%+v, %v", a, err)
	}
	b := a
	b.Spec = specWithValue("2")
	if b, err = c.Update(ctx, b); err != nil || b.Version == a.Version {
		t.Fatalf("%+v, %v", b, err)
	}
	for name, tc := range map[string]struct {
		call   func() error
		reason store.Reason
	}{
		"a second create":             {func() error { _, err := c.Create(ctx, a); return err }, store.Exists},
		"an update of an old version": {func() error { _, err := c.Update(ctx, a); return err }, store.Conflict},
		"an unknown object":           {func() error { _, err := c.Get(ctx, "Thing", "none"); return err }, store.NotFound},
		"a delete of an old version":  {func() error { return c.Delete(ctx, a) }, store.Conflict},
		"an object above the size limit": {func() error {
			_, err := c.Create(ctx, store.Object{Kind: "Thing", Name: "big", Spec: specWithValue(strings.Repeat("x", store.MaxValueBytes))})
			return err
		}, store.TooLarge},
		"a watch from an invalid version": {func() error { _, err := c.Watch(ctx, "Thing", "", "x"); return err }, store.Invalid},
	} {
		if err := tc.call(); !store.Failed(err, tc.reason) {
			t.Errorf("%s: got %v, want %s", name, err, tc.reason)
		}
	}
	if list, _, err := c.List(ctx, "Thing"); err != nil || len(list) != 1 || string(list[0].Spec) != string(b.Spec) {
		t.Errorf("list: %v, %v", list, err)
	}
	if err := c.Delete(ctx, b); err != nil {
		t.Fatal(err)
	}
	var eventTypes []store.EventType
	for ev := range watch {
		if ev.Type == store.Bookmark {
			continue
		}
		eventTypes = append(eventTypes, ev.Type)
		if ev.Type == store.Deleted {
			break
		}
	}
	if len(eventTypes) != 3 || eventTypes[0] != store.Added || eventTypes[1] != store.Modified {
		t.Errorf("the watch reported %v, want Added, Modified, Deleted", eventTypes)
	}
	st.SetFaults(fake.Faults{Down: true})
	if _, err := c.Get(ctx, "Thing", "a"); !store.Failed(err, store.Unavailable) {
		t.Errorf("a call while the platform was down returned %v, want Unavailable", err)
	}
	for range watch {
	}
	st.SetFaults(fake.Faults{LoseAnswers: 1})
	if _, err := c.Create(ctx, a); !store.Failed(err, store.Unavailable) {
		t.Errorf("a write whose response was lost returned %v, want Unavailable", err)
	}
	if _, err := c.Get(ctx, "Thing", "a"); err != nil {
		t.Errorf("the write whose response was lost had no effect: %v", err)
	}
	if c.Calls() < 10 {
		t.Errorf("counted %d requests, want at least 10", c.Calls())
	}
}

// TestTokenFileIsReadAgain guards against a client that caches the token and is rejected after a rotation.
func TestTokenFileIsReadAgain(t *testing.T) {
	var sentHeaders []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sentHeaders = append(sentHeaders, r.Header.Get("Authorization"))
		w.WriteHeader(http.StatusNotFound)
	}))
	defer srv.Close()
	file := filepath.Join(t.TempDir(), "token")
	c := store.NewClient(srv.URL, store.WithTokenFile(file))
	for _, token := range []string{"one", "two"} {
		if err := os.WriteFile(file, []byte(token+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		_, _ = c.Get(context.Background(), "Thing", "a")
	}
	if len(sentHeaders) != 2 || sentHeaders[0] != "Bearer one" || sentHeaders[1] != "Bearer two" {
		t.Errorf("sent the Authorization headers %v, want the token of each file content", sentHeaders)
	}
	_ = os.Remove(file)
	if _, err := c.Get(context.Background(), "Thing", "a"); !store.Failed(err, store.Invalid) {
		t.Errorf("a call without the token file returned %v, want Invalid", err)
	}
}

// TestListWithUnreadableObject guards against one object that nobody can read and that hides the others of its list.
func TestListWithUnreadableObject(t *testing.T) {
	for name, spec := range map[string]string{
		"nested deeply": strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001),
		"not UTF-8":     "{\"V\":\"\xff\"}",
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				object := func(name, spec string) string {
					return `{"kind":"Thing","metadata":{"name":"` + name + `","resourceVersion":"7"},"spec":` + spec + `}`
				}
				_, _ = w.Write([]byte(`{"metadata":{"resourceVersion":"9"},"items":[` + object("odd", spec) + "," + object("a", `{"V":"1"}`) + `]}`))
			}))
			defer srv.Close()
			list, version, err := store.NewClient(srv.URL).List(t.Context(), "Thing")
			if err != nil || version != "9" || len(list) != 2 {
				t.Fatalf("%d objects, version %q, error %v; want 2 objects", len(list), version, err)
			}
			if list[0].Name != "odd" || list[0].Version != "7" || len(list[0].Spec) > 0 {
				t.Errorf("the unreadable object is %+v, want its name and version without content", list[0])
			}
			if list[1].Name != "a" || string(list[1].Spec) != `{"V":"1"}` {
				t.Errorf("the other object is %+v", list[1])
			}
		})
	}
}
