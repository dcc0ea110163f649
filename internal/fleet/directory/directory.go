// Package directory keeps the list of backend servers from the entries in the
// platform's store. Entries lapse while the store is away, though their servers
// live: those that are missing when it returns are kept for a short time. It
// does no I/O and reads no clock.
package directory

import (
	"slices"
	"strings"
	"time"

	"shallotramp/internal/fleet/backend"
)

const (
	// returnGrace is how long after the store's return a missing entry may come back: live servers renew
	// theirs within about two seconds, and a server that is gone must get nothing more after them.
	returnGrace = 1800 * time.Millisecond
)

// Directory is the list of servers. The zero value is not usable; create it with [New].
type Directory struct {
	servers map[string]backend.Server
	// missing servers had an entry before the store was away, each with the time from which it is gone.
	missing map[string]time.Time
	away    bool
	grace   time.Time
}

// New returns an empty Directory.
func New() *Directory {
	return &Directory{servers: map[string]backend.Server{}, missing: map[string]time.Time{}}
}

// StoreUnavailable notes that the store does not answer: entries may lapse unseen.
func (d *Directory) StoreUnavailable() { d.away = true }

// StoreAnswered notes an answer of the store. After it was away, entries that are missing get time to return.
func (d *Directory) StoreAnswered(now time.Time) {
	if d.away {
		d.grace = now.Add(returnGrace)
	}
	d.away = false
}

// Replace takes a whole list.
func (d *Directory) Replace(now time.Time, list []backend.Server) {
	present := make(map[string]bool, len(list))
	for _, s := range list {
		present[s.ID] = true
		d.Put(s)
	}
	for id := range d.servers {
		if !present[id] {
			d.Remove(now, id)
		}
	}
}

// Put takes one entry.
func (d *Directory) Put(s backend.Server) {
	d.servers[s.ID] = s
	delete(d.missing, s.ID)
}

// Remove takes the end of an entry. Servers that had told their leaving are gone at once.
func (d *Directory) Remove(now time.Time, id string) {
	s, ok := d.servers[id]
	if !ok {
		return
	}
	if _, known := d.missing[id]; known && now.Before(d.missing[id]) {
		return
	}
	if now.Before(d.grace) && !s.Leaving {
		d.missing[id] = d.grace
		return
	}
	delete(d.servers, id)
	delete(d.missing, id)
}

// Expire drops missing servers whose time is over and reports whether the list has changed.
func (d *Directory) Expire(now time.Time) bool {
	changed := false
	for id, t := range d.missing {
		if !now.Before(t) {
			delete(d.servers, id)
			delete(d.missing, id)
			changed = true
		}
	}
	return changed
}

// List returns the servers by ID.
func (d *Directory) List() []backend.Server {
	out := make([]backend.Server, 0, len(d.servers))
	for _, s := range d.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b backend.Server) int { return strings.Compare(a.ID, b.ID) })
	return out
}
