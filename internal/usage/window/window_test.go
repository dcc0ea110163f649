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
	begin = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	id    = window.IDAt(begin.Add(time.Minute), time.Hour)
	after = begin.Add(time.Hour + 5*time.Minute)
)

func pages() []window.Page {
	return []window.Page{
		{PageRef: window.PageRef{Ledger: "a", Page: 1}, Origin: id, Use: window.Usage{"derby": {Requests: 2, OutputTokens: 20}}},
		{PageRef: window.PageRef{Ledger: "b", Page: 4}, Origin: id, Use: window.Usage{"derby": {Requests: 1}, "mid": {PromptTokens: 7}}},
		{PageRef: window.PageRef{Ledger: "b", Page: 3}, Origin: window.IDAt(begin.Add(-time.Hour), time.Hour), Use: window.Usage{"mid": {Requests: 1}}},
	}
}

func frozen(t *testing.T, p []window.Page) window.Window {
	t.Helper()
	w := window.New(id, time.Hour)
	if err := w.Close(after); err != nil {
		t.Fatal(err)
	}
	if err := w.Freeze(after, time.Minute, p, nil); err != nil {
		t.Fatal(err)
	}
	return w
}

func TestFreeze(t *testing.T) {
	convey.Convey("A frozen window", t, func() {
		w := frozen(t, pages())
		p := pages()
		p[0], p[2] = p[2], p[0]
		convey.Convey("has figures that do not depend on the order of pages", func() {
			convey.So(frozen(t, p).Digest, convey.ShouldEqual, w.Digest)
		})
		convey.Convey("keeps late use apart and names its window", func() {
			convey.So(w.Figures, convey.ShouldResemble, window.Usage{"derby": {Requests: 3, OutputTokens: 20}, "mid": {PromptTokens: 7}})
			convey.So(w.Late[0].Origin.Start(), convey.ShouldEqual, begin.Add(-time.Hour))
			convey.So(w.Total()["mid"], convey.ShouldResemble, meter.Usage{Requests: 1, PromptTokens: 7})
		})
		convey.Convey("cannot be frozen again", func() {
			convey.So(w.Freeze(after, 0, nil, nil), convey.ShouldNotBeNil)
			convey.So(w.Has(window.PageRef{Ledger: "b", Page: 3}), convey.ShouldBeTrue)
		})
	})
}

func TestClaim(t *testing.T) {
	for name, c := range map[string]struct {
		name  string
		fence uint64
		stale bool
		took  bool
	}{
		"the same sender again":             {"one", 5, false, false},
		"a successor with a higher number":  {"two", 6, false, true},
		"a predecessor with a lower number": {"zero", 4, true, false},
		"another with the same number":      {"two", 5, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := frozen(t, nil)
			if err := w.SetSender(after, "one", 5); err != nil {
				t.Fatal(err)
			}
			err := w.SetSender(after.Add(time.Second), c.name, c.fence)
			var stale *window.StaleFenceError
			if errors.As(err, &stale) != c.stale || w.Sender.TookOver != c.took {
				t.Fatalf("error %v, sender %+v", err, w.Sender)
			}
		})
	}
}

func TestOrderOfEvents(t *testing.T) {
	for name, f := range map[string]func(w *window.Window) error{
		"closed before its end":     func(w *window.Window) error { return w.Close(begin.Add(time.Minute)) },
		"frozen while open":         func(w *window.Window) error { return w.Freeze(after, 0, nil, nil) },
		"accepted before a report":  func(w *window.Window) error { return w.MarkReported(after) },
		"claimed before the freeze": func(w *window.Window) error { return w.SetSender(after, "one", 1) },
		"frozen within the grace": func(w *window.Window) error {
			if err := w.Close(after); err != nil {
				return nil
			}
			return w.Freeze(after, time.Hour, nil, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := window.New(id, time.Hour)
			if f(&w) == nil {
				t.Fatalf("the window took the event; it is %s", w.State)
			}
		})
	}
}
