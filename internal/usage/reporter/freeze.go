package reporter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/provider/store"
	"shallotramp/internal/usage/ledger"
	"shallotramp/internal/usage/window"
)

// errStaleWindow is a page whose earlier window was read as not yet frozen, by a stale read.
var errStaleWindow = errors.New("an earlier usage window was read as not frozen; the read was stale, retry")

// freeze seals all pages that belong to the window and freezes their sum.
func (r *Reporter) freeze(ctx context.Context, id window.ID) (*window.Window, error) {
	if err := r.settleSilent(ctx, true); err != nil {
		return nil, err
	}
	list, _, err := r.store.List(ctx, ledger.Kind)
	if err != nil {
		return nil, err
	}
	var pages []window.Page
	for _, o := range list {
		s, err := r.seal(ctx, o, id)
		if err != nil {
			return nil, err
		}
		if s != nil {
			pages = append(pages, s.SealedPages(id)...)
		}
	}
	return r.change(ctx, id, func(w *window.Window) error {
		return w.Freeze(time.Now(), r.grace, pages, r.unread)
	})
}

// seal seals a ledger's pages in the window, and drops those that earlier windows hold. It returns nil for a ledger that is gone.
func (r *Reporter) seal(ctx context.Context, o store.Object, id window.ID) (*ledger.Spec, error) {
	s, err := r.changeLedger(ctx, o, func(s *ledger.Spec) (bool, error) {
		tidied, err := r.tidy(ctx, s, id)
		return s.Seal(id) || tidied, err
	})
	if err != nil || s == nil {
		return nil, err
	}
	if len(s.Pages) == 0 && expired(s) {
		// Nothing is lost: its pages stand in frozen windows, and its tags are too old to be booked.
		err = r.store.Delete(ctx, store.Object{Kind: ledger.Kind, Name: s.Incarnation, Version: o.Version})
		r.log.Info().Str("Incarnation", s.Incarnation).Err(err).Msg("usage ledger of a vanished host dropped")
	}
	return s, nil
}

// tidy drops pages that earlier windows hold, and opens those that a paused reporter sealed
// in a window after it was frozen.
func (r *Reporter) tidy(ctx context.Context, s *ledger.Spec, id window.ID) (bool, error) {
	changed := false
	held := map[uint64]bool{}
	for i := range s.Pages {
		p := &s.Pages[i]
		if p.SealedIn == "" || p.SealedIn >= id {
			continue
		}
		w, err := r.frozenWindow(ctx, p.SealedIn)
		if err != nil {
			return false, err
		}
		if w.Has(window.PageRef{Ledger: s.Incarnation, Page: p.Number}) {
			held[p.Number] = true
			continue
		}
		p.SealedIn = ""
		changed = true
	}
	return s.Prune(func(p ledger.Page) bool { return held[p.Number] }) || changed, nil
}

// frozenWindow returns a window that is frozen or reported.
func (r *Reporter) frozenWindow(ctx context.Context, id window.ID) (*window.Window, error) {
	if w, ok := r.frozen[id]; ok {
		return w, nil
	}
	o, err := r.store.Get(ctx, window.Kind, string(id))
	if err != nil {
		return nil, err
	}
	w, err := decode(o)
	if err != nil {
		return nil, err
	}
	if w.State < window.Frozen {
		return nil, errStaleWindow
	}
	if len(r.frozen) > 4 {
		clear(r.frozen)
	}
	r.frozen[id] = w
	return w, nil
}

// changeLedger applies f to a ledger by conditional update, starting from o, until it takes
// effect or changes nothing. It returns nil for a ledger that is gone.
func (r *Reporter) changeLedger(ctx context.Context, o store.Object, f func(*ledger.Spec) (bool, error)) (*ledger.Spec, error) {
	name := o.Name
	var err error
	for range updateTries {
		var s *ledger.Spec
		if s, err = ledger.Decode(o); err != nil {
			return nil, err
		}
		var changed bool
		if changed, err = f(s); err != nil || !changed {
			return s, err
		}
		var next store.Object
		if next, err = s.Encode(o.Version); err != nil {
			return nil, err
		}
		if _, err = r.store.Update(ctx, next); err == nil {
			return s, nil
		}
		if !store.Failed(err, store.Conflict) {
			return nil, err
		}
		o, err = r.store.Get(ctx, ledger.Kind, name)
		if store.Failed(err, store.NotFound) {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, err
}

func expired(s *ledger.Spec) bool {
	return time.Since(s.Flushed) > keepLedgers && startedBefore(s.Incarnation, keepLedgers)
}
