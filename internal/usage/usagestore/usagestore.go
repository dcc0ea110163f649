// Package usagestore stores usage counts in one platform object. The counts of a window are frozen, which means written
// there by a conditional update, before they are reported. So each later report of the window has the same counts,
// whichever host sends it. The object also holds the counts of open windows, so that a new holder of the duties lease
// can continue if all hosts have lost theirs.
package usagestore

import (
	"context"
	"encoding/json"

	"shallotramp/internal/provider/store"
	"shallotramp/internal/usage/tally"
)

const (
	// Kind is the kind of the platform object.
	Kind = "Usage"
	// Name is the name of the only object of this kind.
	Name = "ledger"
	// retainedFrozenWindows is the number of frozen windows that are kept, because they may be reported again.
	retainedFrozenWindows = 12
	// retainedOpenWindows is the number of windows, counted back from the newest, whose counts are kept until they are
	// frozen.
	retainedOpenWindows = 3
)

// Record is the content of the platform object.
type Record struct {
	// Frozen holds the counts that are final.
	Frozen map[tally.Window]tally.Counts
	// Reported is the newest reported window. All windows before it are reported too.
	Reported tally.Window
	// Hosts holds the counts of open windows by process ID. They may still grow.
	Hosts map[string]map[tally.Window]tally.Counts `json:",omitempty"`
}

// CachedRecord is the lease holder's copy of the [Record]. It must be used by one goroutine only.
type CachedRecord struct {
	store   store.Store
	version string
	loaded  bool
	record  Record
}

// New returns a CachedRecord. Call [CachedRecord.Load] before other methods.
func New(st store.Store) *CachedRecord { return &CachedRecord{store: st} }

// Loaded reports whether the copy equals the stored record, as far as this host knows.
func (cr *CachedRecord) Loaded() bool { return cr.loaded }

// MarkStale marks the copy as stale, because another host may have changed the stored record.
func (cr *CachedRecord) MarkStale() { cr.loaded = false }

// Load reads the record and returns the counts of open windows in it.
func (cr *CachedRecord) Load(ctx context.Context) (map[string]map[tally.Window]tally.Counts, error) {
	o, err := cr.store.Get(ctx, Kind, Name)
	switch {
	case store.Failed(err, store.NotFound):
		cr.version, cr.record = "", Record{}
	case err != nil:
		return nil, err
	default:
		var r Record
		if err := json.Unmarshal(o.Spec, &r); err != nil {
			return nil, err
		}
		cr.version, cr.record = o.Version, r
	}
	if cr.record.Frozen == nil {
		cr.record.Frozen = map[tally.Window]tally.Counts{}
	}
	cr.loaded = true
	return cr.record.Hosts, nil
}

// Frozen returns the frozen counts of a window, or false if the window is not frozen.
func (cr *CachedRecord) Frozen(w tally.Window) (tally.Counts, bool) {
	c, ok := cr.record.Frozen[w]
	return c, ok
}

// Reported returns the newest reported window, or 0 if there is none.
func (cr *CachedRecord) Reported() tally.Window { return cr.record.Reported }

// SetReported marks a window as reported. The next [CachedRecord.Save] writes this to the store.
func (cr *CachedRecord) SetReported(w tally.Window) { cr.record.Reported = max(cr.record.Reported, w) }

// Save freezes the counts in frozen and writes the record with the counts in open. Windows that are already frozen do
// not change. After an error the record must be loaded again, because the write may have taken effect.
func (cr *CachedRecord) Save(ctx context.Context, frozen map[tally.Window]tally.Counts, open map[string]map[tally.Window]tally.Counts) error {
	next := Record{Frozen: map[tally.Window]tally.Counts{}, Reported: cr.record.Reported}
	newest := cr.record.Reported
	for w := range cr.record.Frozen {
		newest = max(newest, w)
	}
	for w := range frozen {
		newest = max(newest, w)
	}
	for w, c := range frozen {
		next.Frozen[w] = c
	}
	for w, c := range cr.record.Frozen {
		if w > newest-retainedFrozenWindows {
			next.Frozen[w] = c
		}
	}
	next.Hosts = openWindows(open, next.Frozen)
	spec, err := json.Marshal(next)
	if err != nil {
		return err
	}
	o := store.Object{Kind: Kind, Name: Name, Version: cr.version, Spec: spec}
	if cr.version == "" {
		o, err = cr.store.Create(ctx, o)
	} else {
		o, err = cr.store.Update(ctx, o)
	}
	if err != nil {
		cr.loaded = false
		return err
	}
	cr.version, cr.record = o.Version, next
	return nil
}

// openWindows returns the counts of the newest windows that are not frozen.
func openWindows(open map[string]map[tally.Window]tally.Counts, frozen map[tally.Window]tally.Counts) map[string]map[tally.Window]tally.Counts {
	var newest tally.Window
	for _, windows := range open {
		for w := range windows {
			newest = max(newest, w)
		}
	}
	out := map[string]map[tally.Window]tally.Counts{}
	for h, windows := range open {
		for w, c := range windows {
			if _, ok := frozen[w]; ok || w <= newest-retainedOpenWindows {
				continue
			}
			if out[h] == nil {
				out[h] = map[tally.Window]tally.Counts{}
			}
			out[h][w] = c
		}
	}
	return out
}
