package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
)

// report is a usage report that was accepted.
type report struct {
	holder string
	fence  uint64
	counts map[string]int64
}

// duties is a stand-in of the platform's interface for the duties of one machine. It checks fences.
type duties struct {
	rec *recorder

	mu       sync.Mutex
	maxFence uint64
	// last is the machine that acted last.
	last    string
	reports map[int64]report
	// conflicts are the windows of which two reports with different counts were accepted.
	conflicts []string
}

// lastHolder returns the machine that acted last.
func (d *duties) lastHolder() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last
}

// conflictCount returns the number of conflicts so far.
func (d *duties) conflictCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conflicts)
}

// ServeHTTP implements [http.Handler].
func (d *duties) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		WindowID int64            `json:"windowId"`
		Counts   map[string]int64 `json:"counts"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || r.URL.Path != "/usage" || json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	holder := r.Header.Get("X-Duty-Holder")
	if fence < d.maxFence {
		d.rec.note("usage of window %d by %s with fence %d: refused", in.WindowID, holder, fence)
		w.WriteHeader(http.StatusConflict)
		return
	}
	d.rec.note("usage of window %d by %s with fence %d: %v", in.WindowID, holder, fence, in.Counts)
	d.maxFence, d.last = fence, holder
	if old, ok := d.reports[in.WindowID]; ok && !maps.Equal(old.counts, in.Counts) {
		d.conflicts = append(d.conflicts, fmt.Sprintf("window %d: %v by %s with fence %d, then %v by %s with fence %d", in.WindowID, old.counts, old.holder, old.fence, in.Counts, holder, fence))
	}
	if _, ok := d.reports[in.WindowID]; !ok {
		d.reports[in.WindowID] = report{holder, fence, in.Counts}
	}
	w.WriteHeader(http.StatusOK)
}
