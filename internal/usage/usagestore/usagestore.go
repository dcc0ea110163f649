// Package usagestore stores usage counts in one platform object. The counts of a window are frozen, which means written
// there by a conditional update, before they are reported. So each later report of the window has the same counts,
// whichever host sends it. The object also holds the counts of open windows, so that a new holder of the duties lease
// can continue if all hosts have lost theirs.
package usagestore

import (
	"context"
	"encoding/json"
	"maps"

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
	// Era is the era of the store in which the record was written.
	Era int64 `json:",omitempty"`
	// Hosts holds the counts of open windows by process ID. They may still grow.
	Hosts map[string]map[tally.Window]tally.Counts `json:",omitempty"`
}

// A store that is restored from a copy has an older record: windows that were frozen and reported appear to be open. The
// process that read or wrote the lost record last still knows it. Another one cannot know what was reported, see
// [CachedRecord.Incomplete].

// CachedRecord is the lease holder's copy of the [Record]. It must be used by one goroutine only.
type CachedRecord struct {
	store   store.Store
	version string
	loaded  bool
	record  Record
	// known is what this process has read or written and nobody else can have changed since; nil if there is none.
	known *Record
	// incomplete is set if changes of the record may be lost.
	incomplete bool
}

// New returns a CachedRecord. Call [CachedRecord.Load] before other methods.
func New(st store.Store) *CachedRecord { return &CachedRecord{store: st} }

// Loaded reports whether the copy equals the stored record, as far as this host knows.
func (cr *CachedRecord) Loaded() bool { return cr.loaded }

// MarkStale marks the copy as stale. If another host may have changed the stored record since this one read it, the
// parameter changed is set.
func (cr *CachedRecord) MarkStale(changed bool) {
	cr.loaded = false
	if changed {
		cr.known = nil
	}
}

// Incomplete reports whether the store was restored from a copy since the record was written, and this process does not
// know what the record was. Windows that have ended may then have been reported already. After the next
// [CachedRecord.Save] the record is complete.
func (cr *CachedRecord) Incomplete() bool { return cr.incomplete }

func (cr *CachedRecord) era() int64 {
	era, _ := store.CurrentEra(cr.store)
	return era
}

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
	cr.incomplete = cr.record.Era < cr.era()
	if cr.incomplete && cr.known != nil {
		cr.incomplete = false
		maps.Copy(cr.record.Frozen, cr.known.Frozen)
		cr.record.Reported = max(cr.record.Reported, cr.known.Reported)
	}
	if !cr.incomplete {
		cr.remember()
	}
	cr.loaded = true
	return cr.record.Hosts, nil
}

// remember keeps the copy's windows for the case that the store is restored from a copy that lacks them.
func (cr *CachedRecord) remember() {
	cr.known = &Record{Frozen: maps.Clone(cr.record.Frozen), Reported: cr.record.Reported}
}

// Frozen returns the frozen counts of a window, or false if the window is not frozen.
func (cr *CachedRecord) Frozen(w tally.Window) (tally.Counts, bool) {
	c, ok := cr.record.Frozen[w]
	return c, ok
}

// Reported returns the newest reported window, or 0 if there is none.
func (cr *CachedRecord) Reported() tally.Window { return cr.record.Reported }

// SetReported marks a window as reported. The next [CachedRecord.Save] writes this to the store.
func (cr *CachedRecord) SetReported(w tally.Window) {
	cr.record.Reported = max(cr.record.Reported, w)
	if cr.known != nil {
		cr.known.Reported = max(cr.known.Reported, w)
	}
}

// Save freezes the counts in frozen and writes the record with the counts in open. Windows that are already frozen do
// not change. After an error the record must be loaded again, because the write may have taken effect.
func (cr *CachedRecord) Save(ctx context.Context, frozen map[tally.Window]tally.Counts, open map[string]map[tally.Window]tally.Counts) error {
	next := Record{Frozen: map[tally.Window]tally.Counts{}, Reported: cr.record.Reported, Era: cr.era()}
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
	cr.version, cr.record, cr.incomplete = o.Version, next, false
	cr.remember()
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
