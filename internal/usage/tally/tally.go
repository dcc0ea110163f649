// Package tally counts the requests of each organisation that started to run in each usage window, and merges the
// counts of all hosts. Hosts of the edge command use it. Counts only increase, so copies of a host's counts may be
// merged in any order and more than once.
package tally

import (
	"maps"
	"sync"
	"time"
)

// retainedWindows is the number of windows that a host keeps: those that are not reported yet, and some more for
// messages that arrive late.
const retainedWindows = 8

// Window is the number of a usage window: the Unix time of its start divided by the length of a window.
type Window int64

// Counts holds the number of requests of each organisation.
type Counts map[string]int64

// Tally holds the counts of all hosts, as far as this host knows them. Its methods are safe for concurrent use.
type Tally struct {
	length time.Duration
	// self is the ID of this process.
	self string

	mu sync.Mutex
	// processes holds the counts by process ID and window.
	processes map[string]map[Window]Counts
	// receivedUntil is the time up to which all counts of another process are received, by that process's estimate of
	// true time.
	receivedUntil map[string]time.Time
}

// New returns an empty tally of the process self. A process must never reuse the ID of another one: a restarted host
// starts new counts, and the counts of its previous process are kept.
func New(length time.Duration, self string) *Tally {
	return &Tally{length: length, self: self, processes: map[string]map[Window]Counts{self: {}}, receivedUntil: map[string]time.Time{}}
}

// Window returns the window that contains a time.
func (t *Tally) Window(at time.Time) Window {
	return Window(at.UnixNano() / int64(t.length))
}

// End returns the end of a window.
func (t *Tally) End(w Window) time.Time { return time.Unix(0, (int64(w)+1)*int64(t.length)) }

// Count counts a request of the organisation that started to run at the given time.
func (t *Tally) Count(organisation string, at time.Time) {
	w := t.Window(at)
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.processes[t.self]
	if own[w] == nil {
		own[w] = Counts{}
		pruneWindows(own, w)
	}
	own[w][organisation]++
}

// pruneWindows deletes the windows that are too old to be retained when newest is the newest window.
func pruneWindows(windows map[Window]Counts, newest Window) {
	for w := range windows {
		if w <= newest-retainedWindows {
			delete(windows, w)
		}
	}
}

// Own returns a copy of this process's counts, to be sent to other hosts.
func (t *Tally) Own() map[Window]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[Window]Counts, len(t.processes[t.self]))
	for w, c := range t.processes[t.self] {
		out[w] = maps.Clone(c)
	}
	return out
}

// All returns a copy of the counts of all processes.
func (t *Tally) All() map[string]map[Window]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]map[Window]Counts, len(t.processes))
	for h, windows := range t.processes {
		out[h] = make(map[Window]Counts, len(windows))
		for w, c := range windows {
			out[h][w] = maps.Clone(c)
		}
	}
	return out
}

// Merge merges the counts of another process, which may come from that process or from a third one.
func (t *Tally) Merge(process string, windows map[Window]Counts) {
	if process == t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.processes[process]
	if known == nil {
		known = map[Window]Counts{}
		t.processes[process] = known
	}
	for w, counts := range windows {
		if known[w] == nil {
			known[w] = Counts{}
		}
		for o, n := range counts {
			known[w][o] = max(known[w][o], n)
		}
	}
}

// MarkReceived records that all counts of a process up to the given time have been merged.
func (t *Tally) MarkReceived(process string, upTo time.Time) {
	if process == t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if upTo.After(t.receivedUntil[process]) {
		t.receivedUntil[process] = upTo
	}
}

// MarkEnded records that a process has ended and that all its counts have been merged.
func (t *Tally) MarkEnded(process string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.receivedUntil, process)
}

// AllReceived reports whether the counts up to the end of the window have been received from all live processes and
// from all others that were active in the window. Of the latter it ignores those for which replaced returns true,
// because another process has taken their place.
func (t *Tally) AllReceived(w Window, live []string, replaced func(process string) bool) bool {
	start, end := t.End(w-1), t.End(w)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, process := range live {
		if t.receivedUntil[process].Before(end) {
			return false
		}
	}
	for process, upTo := range t.receivedUntil {
		if !upTo.Before(start) && upTo.Before(end) && !replaced(process) {
			return false
		}
	}
	return true
}

// EndedProcessCounts returns copies of the counts of other processes for which isLive returns false, to be sent to
// hosts that do not have them.
func (t *Tally) EndedProcessCounts(isLive func(process string) bool) map[string]map[Window]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]map[Window]Counts{}
	for process, windows := range t.processes {
		if process == t.self || isLive(process) {
			continue
		}
		out[process] = make(map[Window]Counts, len(windows))
		for w, c := range windows {
			out[process][w] = maps.Clone(c)
		}
	}
	return out
}

// Total returns the sum of the counts of all processes in a window.
func (t *Tally) Total(w Window) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Counts{}
	for _, windows := range t.processes {
		for o, n := range windows[w] {
			out[o] += n
		}
	}
	return out
}

// Prune deletes the windows that are too old to be retained, and processes without any window.
func (t *Tally) Prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := t.Window(now)
	for h, windows := range t.processes {
		pruneWindows(windows, newest)
		if len(windows) == 0 && h != t.self {
			delete(t.processes, h)
		}
	}
	for p, upTo := range t.receivedUntil {
		if t.Window(upTo) <= newest-retainedWindows {
			delete(t.receivedUntil, p)
		}
	}
}
