// Package tally counts the requests of each organisation that began to run in
// each usage window, and puts the counts of all hosts together. Counts only
// grow, so any copy of a host's counts may be merged at any time.
package tally

import (
	"maps"
	"sync"
	"time"
)

// keptWindows is how many windows a host remembers: those that are not due yet, and some for late words.
const keptWindows = 8

// Window numbers a usage window: the time since 1970 by the window's length.
type Window int64

// Counts are requests by organisation.
type Counts map[string]int64

// Tally is one host's view of all hosts' counts. Its methods are safe for concurrent use.
type Tally struct {
	length time.Duration
	self   string

	mu    sync.Mutex
	hosts map[string]map[Window]Counts
	// told is up to when another process has told all its counts, by its own estimate of true time.
	told map[string]time.Time
}

// New returns an empty tally of the process named self, whose name no other process ever had: a restarted
// host counts anew, and its predecessor's counts stay.
func New(length time.Duration, self string) *Tally {
	return &Tally{length: length, self: self, hosts: map[string]map[Window]Counts{self: {}}, told: map[string]time.Time{}}
}

// Window returns the window of a time.
func (t *Tally) Window(at time.Time) Window {
	return Window(at.UnixNano() / int64(t.length))
}

// End returns when a window ends.
func (t *Tally) End(w Window) time.Time { return time.Unix(0, (int64(w)+1)*int64(t.length)) }

// Count counts a request of the organisation that began to run at a time.
func (t *Tally) Count(organisation string, at time.Time) {
	w := t.Window(at)
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.hosts[t.self]
	if own[w] == nil {
		own[w] = Counts{}
		forget(own, w)
	}
	own[w][organisation]++
}

func forget(windows map[Window]Counts, newest Window) {
	for w := range windows {
		if w <= newest-keptWindows {
			delete(windows, w)
		}
	}
}

// Own returns a copy of this host's counts, for other hosts.
func (t *Tally) Own() map[Window]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[Window]Counts, len(t.hosts[t.self]))
	for w, c := range t.hosts[t.self] {
		out[w] = maps.Clone(c)
	}
	return out
}

// All returns a copy of the counts of all hosts.
func (t *Tally) All() map[string]map[Window]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]map[Window]Counts, len(t.hosts))
	for h, windows := range t.hosts {
		out[h] = make(map[Window]Counts, len(windows))
		for w, c := range windows {
			out[h][w] = maps.Clone(c)
		}
	}
	return out
}

// Merge takes the counts of another host, as it or a third host told them.
func (t *Tally) Merge(host string, windows map[Window]Counts) {
	if host == t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	mine := t.hosts[host]
	if mine == nil {
		mine = map[Window]Counts{}
		t.hosts[host] = mine
	}
	for w, counts := range windows {
		if mine[w] == nil {
			mine[w] = Counts{}
		}
		for o, n := range counts {
			mine[w][o] = max(mine[w][o], n)
		}
	}
}

// MarkReceived notes that a process has told all its counts up to a time.
func (t *Tally) MarkReceived(host string, upTo time.Time) {
	if host == t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if upTo.After(t.told[host]) {
		t.told[host] = upTo
	}
}

// MarkEnded notes that a process counts no more: all its counts are known.
func (t *Tally) MarkEnded(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.told, host)
}

// AllReceived reports whether all processes that live now, or lived in the window, have told their counts since
// its end. It does not wait for those of which over returns true: another process has taken their place.
func (t *Tally) AllReceived(w Window, live []string, over func(host string) bool) bool {
	begin, end := t.End(w-1), t.End(w)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, host := range live {
		if t.told[host].Before(end) {
			return false
		}
	}
	for host, upTo := range t.told {
		if !upTo.Before(begin) && upTo.Before(end) && !over(host) {
			return false
		}
	}
	return true
}

// EndedProcessCounts returns the counts of other processes that live rejects, for hosts that have not heard them.
func (t *Tally) EndedProcessCounts(live func(host string) bool) map[string]map[Window]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]map[Window]Counts{}
	for host, windows := range t.hosts {
		if host == t.self || live(host) {
			continue
		}
		out[host] = make(map[Window]Counts, len(windows))
		for w, c := range windows {
			out[host][w] = maps.Clone(c)
		}
	}
	return out
}

// Total returns the counts of all hosts in a window.
func (t *Tally) Total(w Window) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Counts{}
	for _, windows := range t.hosts {
		for o, n := range windows[w] {
			out[o] += n
		}
	}
	return out
}

// Prune drops all windows that are long over, and hosts without any.
func (t *Tally) Prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := t.Window(now)
	for h, windows := range t.hosts {
		forget(windows, newest)
		if len(windows) == 0 && h != t.self {
			delete(t.hosts, h)
		}
	}
	for h, upTo := range t.told {
		if t.Window(upTo) <= newest-keptWindows {
			delete(t.told, h)
		}
	}
}
