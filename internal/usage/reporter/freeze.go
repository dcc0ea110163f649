package reporter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/provider/store"
	"shallotramp/internal/usage/ledger"
	"shallotramp/internal/usage/window"
)

// errStaleWindow is returned if a page is sealed in an earlier window that appears not to be frozen. The cause is a
// stale read, because windows are frozen in order.
var errStaleWindow = errors.New("stale read of an earlier usage window, which appears not to be frozen; retry")

// freezeWindow seals all pages that belong to the window and freezes the window with their sum.
func (r *Reporter) freezeWindow(ctx context.Context, id window.ID) (*window.Window, error) {
	if err := r.recoverSilentHosts(ctx, true); err != nil {
		return nil, err
	}
	list, _, err := r.store.List(ctx, ledger.Kind)
	if err != nil {
		return nil, err
	}
	var pages []window.Page
	for _, o := range list {
		s, err := r.sealPages(ctx, o, id)
		if err != nil {
			return nil, err
		}
		if s != nil {
			pages = append(pages, s.SealedPages(id)...)
		}
	}
	return r.updateWindow(ctx, id, func(w *window.Window) error {
		return w.Freeze(time.Now(), r.grace, pages, r.unreadCounts)
	})
}

// sealPages seals the unsealed pages of a ledger in the window, and deletes the pages that earlier windows include. It
// returns nil if the ledger does not exist any more.
func (r *Reporter) sealPages(ctx context.Context, o store.Object, id window.ID) (*ledger.Spec, error) {
	s, err := r.updateLedger(ctx, o, func(s *ledger.Spec) (bool, error) {
		cleaned, err := r.cleanPages(ctx, s, id)
		return s.Seal(id) || cleaned, err
	})
	if err != nil || s == nil {
		return nil, err
	}
	if len(s.Pages) == 0 && ledgerExpired(s) {
		// No usage is lost: frozen windows include the pages, and the tags of the incarnation are too old for a
		// recovery.
		err = r.store.Delete(ctx, store.Object{Kind: ledger.Kind, Name: s.Incarnation, Version: o.Version})
		r.log.Info().Str("Incarnation", s.Incarnation).Err(err).Msg("deleted the usage ledger of a stopped host")
	}
	return s, nil
}

// cleanPages deletes the pages that earlier windows include. It unseals pages that are sealed in an earlier window but
// not included in it: a reporter that was paused sealed them after the window was frozen. It reports whether s changed.
func (r *Reporter) cleanPages(ctx context.Context, s *ledger.Spec, id window.ID) (bool, error) {
	changed := false
	included := map[uint64]bool{}
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
			included[p.Number] = true
			continue
		}
		p.SealedIn = ""
		changed = true
	}
	return s.Prune(func(p ledger.Page) bool { return included[p.Number] }) || changed, nil
}

// frozenWindow returns a window that is frozen or reported, and an error if the window is neither.
func (r *Reporter) frozenWindow(ctx context.Context, id window.ID) (*window.Window, error) {
	if w, ok := r.frozenCache[id]; ok {
		return w, nil
	}
	o, err := r.store.Get(ctx, window.Kind, string(id))
	if err != nil {
		return nil, err
	}
	w, err := decodeWindow(o)
	if err != nil {
		return nil, err
	}
	if w.State < window.Frozen {
		return nil, errStaleWindow
	}
	if len(r.frozenCache) > 4 {
		clear(r.frozenCache)
	}
	r.frozenCache[id] = w
	return w, nil
}

// updateLedger applies the function apply to the ledger in o by a conditional update. After a conflict it reads the
// ledger and tries again. It returns nil if the ledger does not exist any more.
func (r *Reporter) updateLedger(ctx context.Context, o store.Object, apply func(*ledger.Spec) (bool, error)) (*ledger.Spec, error) {
	name := o.Name
	var err error
	for range maxUpdateTries {
		var s *ledger.Spec
		if s, err = ledger.Decode(o); err != nil {
			return nil, err
		}
		var changed bool
		if changed, err = apply(s); err != nil || !changed {
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

// ledgerExpired reports whether the ledger was not written for longer than ledgers are retained.
func ledgerExpired(s *ledger.Spec) bool {
	return time.Since(s.Flushed) > ledgerRetention && startedLongerAgo(s.Incarnation, ledgerRetention)
}
