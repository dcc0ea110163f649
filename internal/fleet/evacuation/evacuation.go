// Package evacuation keeps the availability zones that the operator is evacuating:
// their backend servers get nothing until the evacuation is taken back. It follows
// the objects of the platform's store and remembers them while the store is away.
//
// A store that is restored from a copy may lack an evacuation until the operator
// writes it again, or have one again that was taken back. A zone that gets nothing
// for too long costs capacity; one that gets requests too early breaks a promise.
// In doubt, a zone is therefore evacuated.
//
// The package does no I/O and reads no clock.
package evacuation

import (
	"slices"
	"strings"
	"time"

	"shallotramp/internal/provider/store"
)

// List is the list of evacuated availability zones. Create it with [New].
type List struct {
	doubt time.Duration
	zones map[string]Zone
	// era is the store's era in the last update, and doubtUntil the time until which an evacuation may be missing because
	// the store was restored from a copy. doubted holds the missing ones.
	era        int64
	doubtUntil time.Time
	doubted    map[string]bool
	known      bool
}

// Zone is an evacuated availability zone.
type Zone struct {
	Name string
	// Since is when this host learned of the evacuation, and Version the store's version of it.
	Since   time.Time
	Version string
}

// New returns an empty List. An evacuation that the store lacks after it was restored from a copy is kept for doubt.
func New(doubt time.Duration) *List {
	return &List{doubt: doubt, zones: map[string]Zone{}, doubted: map[string]bool{}}
}

// Known reports whether the list has been read from the store.
func (l *List) Known() bool { return l.known }

// Replace replaces the list with all evacuations in the store at a version of it.
func (l *List) Replace(now time.Time, list []store.Object, version string) {
	l.noteEra(now, version)
	l.known = true
	present := make(map[string]bool, len(list))
	for _, o := range list {
		present[o.Name] = true
		l.put(now, o)
	}
	for name := range l.zones {
		if !present[name] {
			l.remove(now, name)
		}
	}
}

// Apply applies changes up to a version of the store.
func (l *List) Apply(now time.Time, events []store.Event, version string) {
	restored := l.noteEra(now, version)
	for _, e := range events {
		switch {
		case e.Type != store.Deleted:
			l.put(now, e.Object)
		case restored:
			// A neighbour reports what the restored store lacks as deleted.
			l.remove(now, e.Object.Name)
		default:
			l.drop(e.Object.Name)
		}
	}
}

// noteEra reports whether the store was restored from a copy since the last update.
func (l *List) noteEra(now time.Time, version string) bool {
	era := store.EraOf(version)
	restored := l.known && era > l.era
	if restored {
		l.doubtUntil = now.Add(l.doubt)
	}
	l.era = max(l.era, era)
	return restored
}

func (l *List) put(now time.Time, o store.Object) {
	z, ok := l.zones[o.Name]
	if !ok {
		z = Zone{Name: o.Name, Since: now}
	}
	z.Version = o.Version
	l.zones[o.Name] = z
	delete(l.doubted, o.Name)
}

// remove removes an evacuation that the store no longer has, unless it may lack it because it was restored from a copy.
func (l *List) remove(now time.Time, name string) {
	if _, ok := l.zones[name]; ok && now.Before(l.doubtUntil) {
		l.doubted[name] = true
		return
	}
	l.drop(name)
}

func (l *List) drop(name string) {
	delete(l.zones, name)
	delete(l.doubted, name)
}

// Expire drops the evacuations that were not written again after the store was restored from a copy. It reports whether
// there were any.
func (l *List) Expire(now time.Time) bool {
	if len(l.doubted) == 0 || now.Before(l.doubtUntil) {
		return false
	}
	for name := range l.doubted {
		l.drop(name)
	}
	return true
}

// Zones returns the evacuated zones, sorted by name.
func (l *List) Zones() []Zone {
	out := make([]Zone, 0, len(l.zones))
	for _, z := range l.zones {
		out = append(out, z)
	}
	slices.SortFunc(out, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
	return out
}
