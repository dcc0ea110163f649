package reporter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/provider/report"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/usage/ledger"
	"shallotramp/internal/usage/window"
)

// send reports a frozen window. The sender is recorded first, so that a successor knows of
// a report that may be on its way and waits until it can no longer be sent.
func (r *Reporter) send(ctx context.Context, w *window.Window) (*window.Window, error) {
	w, err := r.change(ctx, w.ID, func(w *window.Window) error {
		return w.SetSender(time.Now(), r.name, r.fence)
	})
	if err != nil || w.State == window.Reported {
		return w, err
	}
	if w.Sender.TookOver && time.Since(w.Sender.Since) < r.term+sendTimeout {
		return w, nil
	}
	if err := r.sendOnce(ctx, w); err != nil {
		return w, err
	}
	return r.change(ctx, w.ID, func(w *window.Window) error { return w.MarkReported(time.Now()) })
}

// sendOnce sends within the lease: it must still hold when the time for the send is over.
func (r *Reporter) sendOnce(ctx context.Context, w *window.Window) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if !r.lease.Valid(time.Now().Add(sendTimeout)) {
		return &LeaseExpiringError{w.ID}
	}
	return r.sink.Send(ctx, report.Of(w), w.Sender.Fence)
}

// LeaseExpiringError is a report that was not sent because the lease would run out under way.
type LeaseExpiringError struct{ Window window.ID }

func (e *LeaseExpiringError) Error() string {
	return "usage window " + string(e.Window) + " was not reported: the reporter's lease ends too soon; it is sent after the next renewal"
}

// Windows returns all windows that the platform keeps, oldest first, for operators. Figures of windows
// that are not frozen are what hosts have flushed so far. A nil reader leaves differences out.
func Windows(ctx context.Context, st store.Store, reader report.Reader) ([]window.Summary, error) {
	r := &Reporter{store: st}
	all, err := r.windows(ctx)
	if err != nil {
		return nil, err
	}
	running, err := runningSums(ctx, st)
	if err != nil {
		return nil, err
	}
	out := make([]window.Summary, 0, len(all))
	for _, w := range all {
		s := w.Summary()
		if w.State < window.Frozen {
			s.Figures = running[w.ID]
		}
		if reader != nil && w.State == window.Reported {
			if err := compare(ctx, reader, w, &s); err != nil {
				return nil, err
			}
		}
		out = append(out, s)
	}
	return out, nil
}

// Windows returns all windows, see the function [Windows].
func (r *Reporter) Windows(ctx context.Context) ([]window.Summary, error) {
	reader, _ := r.sink.(report.Reader)
	return Windows(ctx, r.store, reader)
}

func compare(ctx context.Context, reader report.Reader, w *window.Window, s *window.Summary) error {
	got, found, err := reader.Fetch(ctx, w.ID)
	if err != nil {
		return errors.Wrap(err, "the platform's reports cannot be read; retry later")
	}
	if !found {
		got.Figures = nil
	}
	s.Difference = window.Difference(got.Figures, w.Total())
	return nil
}

// runningSums returns what hosts have flushed for windows that are not frozen.
func runningSums(ctx context.Context, st store.Store) (map[window.ID]window.Usage, error) {
	list, _, err := st.List(ctx, ledger.Kind)
	if err != nil {
		return nil, err
	}
	out := map[window.ID]window.Usage{}
	for _, o := range list {
		s, err := ledger.Decode(o)
		if err != nil {
			return nil, err
		}
		for _, p := range s.Pages {
			if out[p.Origin] == nil {
				out[p.Origin] = window.Usage{}
			}
			out[p.Origin].Merge(p.Use)
		}
	}
	return out, nil
}
