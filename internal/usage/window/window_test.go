package window_test

import (
	"errors"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/window"
)

var (
	start    = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	id       = window.IDAt(start.Add(time.Minute), time.Hour)
	afterEnd = start.Add(time.Hour + 5*time.Minute)
)

func pages() []window.Page {
	return []window.Page{
		{PageRef: window.PageRef{Ledger: "a", Page: 1}, Origin: id, Use: window.Usage{"derby": {Requests: 2, OutputTokens: 20}}},
		{PageRef: window.PageRef{Ledger: "b", Page: 4}, Origin: id, Use: window.Usage{"derby": {Requests: 1}, "mid": {PromptTokens: 7}}},
		{PageRef: window.PageRef{Ledger: "b", Page: 3}, Origin: window.IDAt(start.Add(-time.Hour), time.Hour), Use: window.Usage{"mid": {Requests: 1}}},
	}
}

func frozenWindow(t *testing.T, p []window.Page) window.Window {
	t.Helper()
	w := window.New(id, time.Hour)
	if err := w.Close(afterEnd); err != nil {
		t.Fatal(err)
	}
	if err := w.Freeze(afterEnd, time.Minute, p, nil); err != nil {
		t.Fatal(err)
	}
	return w
}

func TestFreeze(t *testing.T) {
	convey.Convey("A frozen window", t, func() {
		w := frozenWindow(t, pages())
		p := pages()
		p[0], p[2] = p[2], p[0]
		convey.Convey("has figures that do not depend on the order of the pages", func() {
			convey.So(frozenWindow(t, p).Digest, convey.ShouldEqual, w.Digest)
		})
		convey.Convey("keeps late usage separate, with its original window", func() {
			convey.So(w.Figures, convey.ShouldResemble, window.Usage{"derby": {Requests: 3, OutputTokens: 20}, "mid": {PromptTokens: 7}})
			convey.So(w.Late[0].Origin.Start(), convey.ShouldEqual, start.Add(-time.Hour))
			convey.So(w.Total()["mid"], convey.ShouldResemble, meter.Usage{Requests: 1, PromptTokens: 7})
		})
		convey.Convey("cannot be frozen again", func() {
			convey.So(w.Freeze(afterEnd, 0, nil, nil), convey.ShouldNotBeNil)
			convey.So(w.Has(window.PageRef{Ledger: "b", Page: 3}), convey.ShouldBeTrue)
		})
	})
}

// TestClaim guards against reports by two reporters at once: only one with a higher fencing number may replace the
// sender.
func TestClaim(t *testing.T) {
	for name, c := range map[string]struct {
		name         string
		fence        uint64
		wantStale    bool
		wantTookOver bool
	}{
		"the same sender again":                       {"one", 5, false, false},
		"another sender with a higher fencing number": {"two", 6, false, true},
		"another sender with a lower fencing number":  {"zero", 4, true, false},
		"another sender with the same fencing number": {"two", 5, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := frozenWindow(t, nil)
			if err := w.SetSender(afterEnd, "one", 5); err != nil {
				t.Fatal(err)
			}
			err := w.SetSender(afterEnd.Add(time.Second), c.name, c.fence)
			var stale *window.StaleFenceError
			if errors.As(err, &stale) != c.wantStale || w.Sender.TookOver != c.wantTookOver {
				t.Fatalf("error %v, sender %+v", err, w.Sender)
			}
		})
	}
}

func TestOrderOfEvents(t *testing.T) {
	for name, f := range map[string]func(w *window.Window) error{
		"close before the end":      func(w *window.Window) error { return w.Close(start.Add(time.Minute)) },
		"freeze while open":         func(w *window.Window) error { return w.Freeze(afterEnd, 0, nil, nil) },
		"mark reported while open":  func(w *window.Window) error { return w.MarkReported(afterEnd) },
		"set the sender while open": func(w *window.Window) error { return w.SetSender(afterEnd, "one", 1) },
		"freeze within the grace period": func(w *window.Window) error {
			if err := w.Close(afterEnd); err != nil {
				return nil
			}
			return w.Freeze(afterEnd, time.Hour, nil, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := window.New(id, time.Hour)
			if f(&w) == nil {
				t.Fatalf("no error; the window is now %s", w.State)
			}
		})
	}
}
