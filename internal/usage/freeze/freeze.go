// Package freeze keeps, in one object of the platform's store, the usage figures
// that were decided and those that are still growing. A window's figures are
// written there before they are reported, under the object's version: whoever
// reports the window later reports the same. The growing figures let a new
// holder go on when all hosts have lost theirs.
package freeze

import (
	"context"
	"encoding/json"

	"shallotramp/internal/provider/store"
	"shallotramp/internal/usage/tally"
)

const (
	// Kind is the kind of the object.
	Kind = "Usage"
	// Name is the name of the only object.
	Name = "ledger"
	// keptFrozen is how many decided windows are kept: those that may still be reported again.
	keptFrozen = 12
	// keptOpen is how many windows before the newest keep their growing figures.
	keptOpen = 3
)

// Record is what the store keeps.
type Record struct {
	// Frozen holds the decided figures.
	Frozen map[tally.Window]tally.Counts
	// Reported is the newest window of which the platform has the figures, and all before it.
	Reported tally.Window
	// Hosts holds the figures of windows that are not decided, by process.
	Hosts map[string]map[tally.Window]tally.Counts `json:",omitempty"`
}

// CachedRecord is the holder's copy of the record. It is used by one goroutine.
type CachedRecord struct {
	store   store.Store
	version string
	known   bool
	record  Record
}

// New returns a Book that has to be loaded.
func New(st store.Store) *CachedRecord { return &CachedRecord{store: st} }

// Loaded reports whether the copy is the store's as far as this host knows.
func (b *CachedRecord) Loaded() bool { return b.known }

// Doubt makes the copy unknown: another host may have written.
func (b *CachedRecord) Doubt() { b.known = false }

// Load reads the record and returns the growing figures in it.
func (b *CachedRecord) Load(ctx context.Context) (map[string]map[tally.Window]tally.Counts, error) {
	o, err := b.store.Get(ctx, Kind, Name)
	switch {
	case store.Failed(err, store.NotFound):
		b.version, b.record = "", Record{}
	case err != nil:
		return nil, err
	default:
		var r Record
		if err := json.Unmarshal(o.Spec, &r); err != nil {
			return nil, err
		}
		b.version, b.record = o.Version, r
	}
	if b.record.Frozen == nil {
		b.record.Frozen = map[tally.Window]tally.Counts{}
	}
	b.known = true
	return b.record.Hosts, nil
}

// Frozen returns the decided figures of a window.
func (b *CachedRecord) Frozen(w tally.Window) (tally.Counts, bool) {
	c, ok := b.record.Frozen[w]
	return c, ok
}

// Reported returns the newest window of which the platform has the figures, 0 if there is none.
func (b *CachedRecord) Reported() tally.Window { return b.record.Reported }

// SetReported notes that the platform has a window's figures; the next Save tells.
func (b *CachedRecord) SetReported(w tally.Window) { b.record.Reported = max(b.record.Reported, w) }

// Save writes the record with newly decided windows and the growing figures. Decided figures never change.
// After an error the book must be loaded again: the write may have taken effect.
func (b *CachedRecord) Save(ctx context.Context, decided map[tally.Window]tally.Counts, growing map[string]map[tally.Window]tally.Counts) error {
	next := Record{Frozen: map[tally.Window]tally.Counts{}, Reported: b.record.Reported}
	newest := b.record.Reported
	for w := range b.record.Frozen {
		newest = max(newest, w)
	}
	for w := range decided {
		newest = max(newest, w)
	}
	for w, c := range decided {
		next.Frozen[w] = c
	}
	for w, c := range b.record.Frozen {
		if w > newest-keptFrozen {
			next.Frozen[w] = c
		}
	}
	next.Hosts = open(growing, next.Frozen)
	spec, err := json.Marshal(next)
	if err != nil {
		return err
	}
	o := store.Object{Kind: Kind, Name: Name, Version: b.version, Spec: spec}
	if b.version == "" {
		o, err = b.store.Create(ctx, o)
	} else {
		o, err = b.store.Update(ctx, o)
	}
	if err != nil {
		b.known = false
		return err
	}
	b.version, b.record = o.Version, next
	return nil
}

// open keeps the newest figures of windows that are not decided.
func open(growing map[string]map[tally.Window]tally.Counts, frozen map[tally.Window]tally.Counts) map[string]map[tally.Window]tally.Counts {
	var newest tally.Window
	for _, windows := range growing {
		for w := range windows {
			newest = max(newest, w)
		}
	}
	out := map[string]map[tally.Window]tally.Counts{}
	for h, windows := range growing {
		for w, c := range windows {
			if _, ok := frozen[w]; ok || w <= newest-keptOpen {
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
