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

// sendReport reports a frozen window. The sender is recorded first. A successor thus knows that the sender's report may
// still be in flight, and waits until this is no longer possible.
func (r *Reporter) sendReport(ctx context.Context, w *window.Window) (*window.Window, error) {
	w, err := r.updateWindow(ctx, w.ID, func(w *window.Window) error {
		return w.SetSender(time.Now(), r.name, r.fence)
	})
	if err != nil || w.State == window.Reported {
		return w, err
	}
	if w.Sender.TookOver && time.Since(w.Sender.Since) < r.leaseTerm+sendTimeout {
		return w, nil
	}
	if err := r.sendWithinLease(ctx, w); err != nil {
		return w, err
	}
	return r.updateWindow(ctx, w.ID, func(w *window.Window) error { return w.MarkReported(time.Now()) })
}

// sendWithinLease sends the report once if the lease stays valid for the whole timeout of the call.
func (r *Reporter) sendWithinLease(ctx context.Context, w *window.Window) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if !r.lease.Valid(time.Now().Add(sendTimeout)) {
		return &LeaseExpiringError{w.ID}
	}
	return r.sink.Send(ctx, report.FromWindow(w), w.Sender.Fence)
}

// LeaseExpiringError is returned if a report was not sent because the lease may expire during the call.
type LeaseExpiringError struct{ Window window.ID }

func (e *LeaseExpiringError) Error() string {
	return "usage window " + string(e.Window) + " was not reported, because the usage lease expires too soon; retry after the next renewal"
}

// Windows returns summaries of all windows that the platform keeps, oldest first. The figures of windows that are not
// frozen are the usage that hosts have flushed so far. If reader is nil, the summaries have no differences.
func Windows(ctx context.Context, st store.Store, reader report.Reader) ([]window.Summary, error) {
	r := &Reporter{store: st}
	all, err := r.listWindows(ctx)
	if err != nil {
		return nil, err
	}
	flushed, err := flushedUsage(ctx, st)
	if err != nil {
		return nil, err
	}
	out := make([]window.Summary, 0, len(all))
	for _, w := range all {
		s := w.Summary()
		if w.State < window.Frozen {
			s.Figures = flushed[w.ID]
		}
		if reader != nil && w.State == window.Reported {
			if err := addDifference(ctx, reader, w, &s); err != nil {
				return nil, err
			}
		}
		out = append(out, s)
	}
	return out, nil
}

// Windows returns summaries of all windows, see the function [Windows].
func (r *Reporter) Windows(ctx context.Context) ([]window.Summary, error) {
	reader, _ := r.sink.(report.Reader)
	return Windows(ctx, r.store, reader)
}

// addDifference sets the difference between the platform's report of w and the figures of w.
func addDifference(ctx context.Context, reader report.Reader, w *window.Window, s *window.Summary) error {
	got, found, err := reader.Fetch(ctx, w.ID)
	if err != nil {
		return errors.Wrap(err, "cannot read the usage report from the platform; retry later")
	}
	if !found {
		got.Figures = nil
	}
	s.Difference = window.Difference(got.Figures, w.Total())
	return nil
}

// flushedUsage returns the usage in the ledgers by the window in which it was counted.
func flushedUsage(ctx context.Context, st store.Store) (map[window.ID]window.Usage, error) {
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
